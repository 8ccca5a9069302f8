package inbound

import (
	"container/list"
	"time"
)

// unservedIdle is the time without progress after which a connection that has not sent a
// whole request yet is closed in favour of a new one, before one that has been served.
const unservedIdle = time.Second

// connections orders the open connections of a listener by their last progress and chooses
// which one is closed in favour of a new one. The type reads no clock and is not safe for
// concurrent use.
type connections[C comparable] struct {
	limit int // 0 means that there is none
	open  map[C]*connection[C]
	// Connections whose request is not complete, by last progress, oldest first.
	unserved *list.List // that have not sent a whole request yet
	served   *list.List
}

type connection[C comparable] struct {
	conn     C
	progress time.Time
	served   bool
	element  *list.Element // nil while the connection's request is handled
}

func newConnections[C comparable](limit int) *connections[C] {
	return &connections[C]{limit: limit, open: map[C]*connection[C]{}, unserved: list.New(), served: list.New()}
}

// add registers a new connection. At the limit it returns the connection that is to be
// closed instead, which is removed; accepted is false if all others have a request that is
// handled.
func (t *connections[C]) add(conn C, now time.Time) (victim C, evicted, accepted bool) {
	if t.limit > 0 && len(t.open) >= t.limit {
		if victim, evicted = t.victim(now); !evicted {
			return victim, false, false
		}
		t.remove(victim)
	}
	c := &connection[C]{conn: conn, progress: now}
	t.open[conn] = c
	c.element = t.unserved.PushBack(c)
	return victim, evicted, true
}

// victim returns the connection that has gone longest without progress. One that has sent
// no whole request for unservedIdle comes first.
func (t *connections[C]) victim(now time.Time) (conn C, found bool) {
	oldest := first[C](t.unserved)
	if oldest != nil && now.Sub(oldest.progress) >= unservedIdle {
		return oldest.conn, true
	}
	if other := first[C](t.served); oldest == nil || other != nil && other.progress.Before(oldest.progress) {
		oldest = other
	}
	if oldest == nil {
		return conn, false
	}
	return oldest.conn, true
}

func first[C comparable](l *list.List) *connection[C] {
	if l.Front() == nil {
		return nil
	}
	return l.Front().Value.(*connection[C])
}

func (t *connections[C]) listOf(c *connection[C]) *list.List {
	if c.served {
		return t.served
	}
	return t.unserved
}

// progressed records that bytes of a connection were received.
func (t *connections[C]) progressed(conn C, now time.Time) {
	c := t.open[conn]
	if c == nil || c.element == nil {
		return
	}
	c.progress = now
	t.listOf(c).MoveToBack(c.element)
}

// begin records that a whole request was received. The connection isn't closed in favour
// of others until end.
func (t *connections[C]) begin(conn C) {
	c := t.open[conn]
	if c == nil || c.element == nil {
		return
	}
	t.listOf(c).Remove(c.element)
	c.element = nil
	c.served = true
}

// end records that the handling of a request has ended.
func (t *connections[C]) end(conn C, now time.Time) {
	c := t.open[conn]
	if c == nil || c.element != nil {
		return
	}
	c.progress = now
	c.element = t.listOf(c).PushBack(c)
}

// remove removes a connection and reports whether it was registered.
func (t *connections[C]) remove(conn C) bool {
	c := t.open[conn]
	if c == nil {
		return false
	}
	if c.element != nil {
		t.listOf(c).Remove(c.element)
	}
	delete(t.open, conn)
	return true
}
