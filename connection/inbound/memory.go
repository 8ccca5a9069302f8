package inbound

import (
	"container/list"
	"sync"
	"time"
)

// Times after which a request that is being received may be cut off if others need its room.
const (
	stalledAfter = 200 * time.Millisecond // without progressBytes
	slowAfter    = 3 * time.Second        // since its begin
)

const (
	// progressBytes is what a peer must have sent for its request to count as progressing.
	progressBytes = 1 << 10
	// roomWait bounds the wait for room. It is longer than stalledAfter, so that a request can
	// wait until those that stand still give way.
	roomWait     = 300 * time.Millisecond
	roomInterval = 50 * time.Millisecond // between attempts to cut off others
)

// memory shares the byte budget of a process among its requests.
type memory struct {
	mu       sync.Mutex
	budget   *budget
	incoming *list.List    // reservations of requests that are being received, by last progress, oldest first
	leaving  int64         // bytes of requests that were cut off and have not released them yet
	released chan struct{} // closed when bytes are released
}

// reservation is what one request, or the header of the next one of a connection, holds.
type reservation struct {
	memory *memory
	cutOff func() // ends the receiving of the request; called without locks held

	// Guarded by memory.mu.
	held     int64
	received int64 // since progress
	began    time.Time
	progress time.Time
	element  *list.Element // in incoming, nil if the request is not being received
	waiting  bool          // for room
	toLarge  bool          // the room that is waited for makes it a large reservation
	cut      bool
	ended    bool
}

func newMemory(limit int64) *memory {
	return &memory{budget: newBudget(limit), incoming: list.New(), released: make(chan struct{})}
}

func (m *memory) reserved() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.budget.used
}

// receive begins the receiving of a request, which may be cut off from now on.
func (r *reservation) receive(now time.Time, cutOff func()) {
	r.memory.mu.Lock()
	defer r.memory.mu.Unlock()
	if r.ended {
		return
	}
	r.cutOff, r.began, r.progress, r.received = cutOff, now, now, 0
	r.element = r.memory.incoming.PushBack(r)
}

// receivedBytes records that n bytes of the request have arrived.
func (r *reservation) receivedBytes(n int64, now time.Time) {
	r.memory.mu.Lock()
	defer r.memory.mu.Unlock()
	if r.received += n; r.received < progressBytes || r.element == nil {
		return
	}
	r.received, r.progress = 0, now
	r.memory.incoming.MoveToBack(r.element)
}

// complete ends the receiving of the request, which isn't cut off from now on.
func (r *reservation) complete() {
	r.memory.mu.Lock()
	defer r.memory.mu.Unlock()
	r.leaveIncoming()
}

func (r *reservation) leaveIncoming() {
	if r.element != nil {
		r.memory.incoming.Remove(r.element)
		r.element = nil
	}
}

// end releases the reservation for good.
func (r *reservation) end() {
	r.memory.mu.Lock()
	defer r.memory.mu.Unlock()
	r.ended = true
	r.releaseLocked()
}

// release releases what is reserved. The reservation can be used again.
func (r *reservation) release() {
	r.memory.mu.Lock()
	defer r.memory.mu.Unlock()
	r.releaseLocked()
}

func (r *reservation) releaseLocked() {
	m := r.memory
	r.leaveIncoming()
	r.waiting = false
	m.budget.release(r.held)
	if r.cut {
		m.leaving -= r.held
		r.cut = false
	}
	if r.held > 0 {
		r.held = 0
		close(m.released)
		m.released = make(chan struct{})
	}
}

// grow reserves n more bytes and reports whether there is room for them. It waits for room
// for up to wait, and cuts off requests that stand still meanwhile.
func (r *reservation) grow(n int64, wait time.Duration) bool {
	return r.waitFor(n, wait, func(b *budget) bool {
		if !b.reserve(r.held, n) {
			return false
		}
		r.held += n
		return true
	})
}

// hasRoom is grow without the reservation itself.
func (r *reservation) hasRoom(n int64, wait time.Duration) bool {
	return r.waitFor(n, wait, func(b *budget) bool { return b.missing(r.held, n) == 0 })
}

func (r *reservation) waitFor(n int64, wait time.Duration, try func(*budget) bool) bool {
	deadline := time.Now().Add(wait)
	for {
		ok, released := r.tryOrMakeRoom(n, wait > 0, try)
		left := time.Until(deadline)
		if ok || released == nil || left <= 0 {
			return ok
		}
		timer := time.NewTimer(min(left, roomInterval))
		select {
		case <-released:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// tryOrMakeRoom tries a reservation. If there is no room, it cuts off requests and returns
// the channel that is closed when bytes are released, nil if the reservation itself has ended.
func (r *reservation) tryOrMakeRoom(n int64, wait bool, try func(*budget) bool) (ok bool, released chan struct{}) {
	m := r.memory
	m.mu.Lock()
	if r.cut || r.ended {
		m.mu.Unlock()
		return false, nil
	}
	if try(m.budget) {
		r.endWait(time.Now())
		m.mu.Unlock()
		return true, nil
	}
	r.waiting, r.toLarge = wait, m.budget.large(r.held+n) > 0
	victims := m.makeRoom(r, n, time.Now())
	released = m.released
	m.mu.Unlock()
	for _, victim := range victims {
		victim.cutOff()
	}
	return false, released
}

// endWait records that there is room. The time of the wait does not count as time without
// progress of the peer.
func (r *reservation) endWait(now time.Time) {
	if r.waiting && r.element != nil {
		r.progress, r.began = now, r.began.Add(now.Sub(r.progress))
		r.memory.incoming.MoveToBack(r.element)
	}
	r.waiting = false
}

// makeRoom chooses the requests that are cut off so that the bytes that are missing for a
// request are released, those longest without progress first. One that waits for room itself
// does not count as standing still. One that waits, and is large or holds more, gives way to a
// small one at once, so that a crowd of them does not fill the part of the small ones.
func (m *memory) makeRoom(forRequest *reservation, n int64, now time.Time) (victims []*reservation) {
	missing := m.budget.missing(forRequest.held, n) - m.leaving
	for _, isVictim := range []func(*reservation) bool{
		func(r *reservation) bool {
			return r.waiting && !forRequest.toLarge && (r.toLarge || r.held > forRequest.held+n)
		},
		func(r *reservation) bool { return !r.waiting && now.Sub(r.progress) >= stalledAfter },
		func(r *reservation) bool { return !r.waiting && now.Sub(r.began) >= slowAfter },
	} {
		for e := m.incoming.Front(); e != nil && missing > 0; {
			r := e.Value.(*reservation)
			e = e.Next()
			if r == forRequest || r.held == 0 || !isVictim(r) {
				continue
			}
			r.leaveIncoming()
			r.cut = true
			m.leaving += r.held
			missing -= r.held
			victims = append(victims, r)
		}
	}
	return victims
}
