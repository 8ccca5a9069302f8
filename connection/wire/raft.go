package wire

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/proto"

	"marjoramtiller.example/marjoramtiller/connection/wirepb"
)

// raftQueue holds the consensus messages that wait for a peer. It drops the
// oldest ones when it is full: a consensus message is sent again when it is
// lost, and a newer one makes it useless.
type raftQueue struct {
	mu       sync.Mutex
	messages []*wirepb.RaftMessage
	bytes    int
	dropped  uint64
	started  bool
	snapshot bool          // a snapshot is being sent
	wake     chan struct{} // buffered
}

func newRaftQueue() *raftQueue { return &raftQueue{wake: make(chan struct{}, 1)} }

// push adds a message and reports whether it is the first one ever.
func (q *raftQueue) push(m *wirepb.RaftMessage) (first bool) {
	size := proto.Size(m)
	q.mu.Lock()
	defer q.mu.Unlock()
	for len(q.messages) > 0 && (len(q.messages) >= raftQueueMessages || q.bytes+size > raftQueueBytes) {
		q.bytes -= proto.Size(q.messages[0])
		q.messages[0] = nil
		q.messages = q.messages[1:]
		q.dropped++
	}
	q.messages = append(q.messages, m)
	q.bytes += size
	select {
	case q.wake <- struct{}{}:
	default:
	}
	first = !q.started
	q.started = true
	return first
}

func (q *raftQueue) take() []*wirepb.RaftMessage {
	q.mu.Lock()
	defer q.mu.Unlock()
	taken := q.messages
	q.messages, q.bytes = nil, 0
	return taken
}

// beginSnapshot reports whether no snapshot is being sent, and marks one so.
func (q *raftQueue) beginSnapshot() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	free := !q.snapshot
	q.snapshot = true
	return free
}

func (q *raftQueue) endSnapshot() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.snapshot = false
}

// SendRaft queues a consensus message for a peer. It never blocks. Messages to
// a peer that can't be reached are dropped.
func (p *Pool) SendRaft(name string, m *wirepb.RaftMessage) {
	c, err := p.peer(name)
	if err != nil {
		p.o.Logger.Debug().Err(err).Str("peer", name).Msg("consensus message dropped")
		return
	}
	if m.Type == wirepb.RaftMessage_TYPE_SNAPSHOT {
		if c.queue.beginSnapshot() {
			p.start(func() { p.sendSnapshot(c, m) })
		}
		return
	}
	if c.queue.push(m) {
		p.start(func() { p.sendLoop(c) })
	}
}

// start runs fn on a goroutine that Close waits for.
func (p *Pool) start(fn func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ctx.Err() != nil {
		return
	}
	p.loops.Add(1)
	go func() {
		defer p.loops.Done()
		fn()
	}()
}

// sendLoop writes a peer's queue to one long-lived stream.
func (p *Pool) sendLoop(c *peer) {
	var stream *yamux.Stream
	for {
		select {
		case <-p.ctx.Done():
			return
		case <-c.queue.wake:
		}
		var err error
		if stream == nil {
			stream, err = p.openStream(c)
		}
		if err == nil {
			err = p.writeQueue(c, stream)
		}
		if err == nil {
			continue
		}
		p.o.Logger.Debug().Err(err).Str("peer", c.name).Msg("consensus messages dropped")
		if stream != nil {
			_ = stream.Close()
			stream = nil
		}
		c.queue.take()
		select {
		case <-p.ctx.Done():
			return
		case <-time.After(redialDelay):
		}
	}
}

func (p *Pool) openStream(c *peer) (*yamux.Stream, error) {
	ctx, cancel := context.WithTimeout(p.ctx, dialTimeout+helloTimeout)
	defer cancel()
	session, err := p.session(ctx, c)
	if err != nil {
		return nil, err
	}
	stream, err := session.OpenStream()
	if err != nil {
		return nil, err
	}
	if err := writeWithin(stream, []byte{streamRaft}, raftWriteTimeout); err != nil {
		_ = stream.Close()
		return nil, err
	}
	return stream, nil
}

func (p *Pool) writeQueue(c *peer, stream *yamux.Stream) error {
	for _, m := range c.queue.take() {
		data, err := frame(0, m)
		if err != nil {
			p.o.Logger.Error().Err(err).Str("peer", c.name).Msg("consensus message dropped")
			continue
		}
		if err := writeWithin(stream, data, raftWriteTimeout); err != nil {
			return err
		}
	}
	return nil
}

func writeWithin(stream *yamux.Stream, data []byte, limit time.Duration) error {
	if err := stream.SetWriteDeadline(time.Now().Add(limit)); err != nil {
		return err
	}
	_, err := stream.Write(data)
	return err
}

// sendSnapshot uses a stream of its own, so that heartbeats do not wait behind a
// large snapshot.
func (p *Pool) sendSnapshot(c *peer, m *wirepb.RaftMessage) {
	defer c.queue.endSnapshot()
	data, err := frame(streamSnapshot, m)
	if err != nil {
		p.o.Logger.Error().Err(err).Str("peer", c.name).Msg("snapshot dropped")
		return
	}
	ctx, cancel := context.WithTimeout(p.ctx, dialTimeout+helloTimeout)
	defer cancel()
	session, err := p.session(ctx, c)
	if err != nil {
		return
	}
	stream, err := session.OpenStream()
	if err != nil {
		return
	}
	defer func() { _ = stream.Close() }()
	if err := writeWithin(stream, data, snapshotTimeout); err != nil {
		p.o.Logger.Warn().Err(err).Str("peer", c.name).Msg("snapshot not sent")
	}
}
