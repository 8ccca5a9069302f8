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
	wake     chan struct{} // buffered

	kind         byte // of its stream
	maxBytes     int
	writeTimeout time.Duration // of one message
}

func newRaftQueue(kind byte, maxBytes int, writeTimeout time.Duration) *raftQueue {
	return &raftQueue{wake: make(chan struct{}, 1), kind: kind, maxBytes: maxBytes, writeTimeout: writeTimeout}
}

// push adds a message and reports whether it is the first one ever.
func (q *raftQueue) push(m *wirepb.RaftMessage) (first bool) {
	size := proto.Size(m)
	q.mu.Lock()
	defer q.mu.Unlock()
	for len(q.messages) > 0 && (len(q.messages) >= raftQueueMessages || q.bytes+size > q.maxBytes) {
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

// SendRaft queues a consensus message for a peer. It never blocks. Messages to
// a peer that can't be reached are dropped. Chunks of snapshots have a queue and
// a stream of their own, so that heartbeats do not wait behind them.
func (p *Pool) SendRaft(name string, m *wirepb.RaftMessage) {
	c, err := p.peer(name)
	if err != nil {
		p.o.Logger.Debug().Err(err).Str("peer", name).Msg("consensus message dropped")
		return
	}
	q := c.queue
	if m.Type == wirepb.RaftMessage_TYPE_SNAPSHOT_CHUNK {
		q = c.chunks
	}
	if q.push(m) {
		p.start(func() { p.sendLoop(c, q) })
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

// sendLoop writes one of a peer's queues to one long-lived stream.
func (p *Pool) sendLoop(c *peer, q *raftQueue) {
	var stream *yamux.Stream
	for {
		select {
		case <-p.ctx.Done():
			return
		case <-q.wake:
		}
		var err error
		if stream == nil {
			stream, err = p.openStream(c, q.kind)
		}
		if err == nil {
			err = p.writeQueue(c, q, stream)
		}
		if err == nil {
			continue
		}
		p.o.Logger.Debug().Err(err).Str("peer", c.name).Msg("consensus messages dropped")
		if stream != nil {
			_ = stream.Close()
			stream = nil
		}
		q.take()
		select {
		case <-p.ctx.Done():
			return
		case <-time.After(redialDelay):
		}
	}
}

func (p *Pool) openStream(c *peer, kind byte) (*yamux.Stream, error) {
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
	if err := writeWithin(stream, []byte{kind}, raftWriteTimeout); err != nil {
		_ = stream.Close()
		return nil, err
	}
	return stream, nil
}

func (p *Pool) writeQueue(c *peer, q *raftQueue, stream *yamux.Stream) error {
	for _, m := range q.take() {
		data, err := frame(0, m)
		if err != nil {
			p.o.Logger.Error().Err(err).Str("peer", c.name).Msg("consensus message dropped")
			continue
		}
		if err := writeWithin(stream, data, q.writeTimeout); err != nil {
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
