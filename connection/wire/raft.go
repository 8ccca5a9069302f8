package wire

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"marjoramtiller.example/marjoramtiller/connection/wirepb"
	"marjoramtiller.example/marjoramtiller/job/jobpb"
)

// sendQueue holds the one-way messages that are to be sent to a peer. When it is full
// it drops the oldest ones: senders repeat lost messages, or act on a missing answer.
type sendQueue struct {
	mu       sync.Mutex
	messages []proto.Message
	bytes    int
	dropped  uint64
	started  bool
	ready    chan struct{} // has capacity 1; filled when messages are waiting

	kind         byte // kind of the stream that the messages are written to
	maxBytes     int
	writeTimeout time.Duration // of one message
}

func newSendQueue(kind byte, maxBytes int, writeTimeout time.Duration) *sendQueue {
	return &sendQueue{ready: make(chan struct{}, 1), kind: kind, maxBytes: maxBytes, writeTimeout: writeTimeout}
}

// push adds a message and reports whether it is the first one of the queue's
// lifetime.
func (q *sendQueue) push(message proto.Message) (first bool) {
	size := proto.Size(message)
	q.mu.Lock()
	defer q.mu.Unlock()
	for len(q.messages) > 0 && (len(q.messages) >= queueMessages || q.bytes+size > q.maxBytes) {
		q.bytes -= proto.Size(q.messages[0])
		q.messages[0] = nil
		q.messages = q.messages[1:]
		q.dropped++
	}
	q.messages = append(q.messages, message)
	q.bytes += size
	select {
	case q.ready <- struct{}{}:
	default:
	}
	first = !q.started
	q.started = true
	return first
}

// takeAll empties the queue and returns its messages.
func (q *sendQueue) takeAll() []proto.Message {
	q.mu.Lock()
	defer q.mu.Unlock()
	taken := q.messages
	q.messages, q.bytes = nil, 0
	return taken
}

// SendRaft queues a consensus message for a peer. It never blocks. Messages to
// a peer that can't be reached are dropped. Chunks of snapshots have a separate
// queue and stream, so that they don't delay heartbeats.
func (p *Pool) SendRaft(name string, raftMessage *wirepb.RaftMessage) {
	remote := p.messagePeer(name)
	if remote == nil {
		return
	}
	queue := remote.messageQueue
	if raftMessage.Type == wirepb.RaftMessage_TYPE_SNAPSHOT_CHUNK {
		queue = remote.chunkQueue
	}
	p.enqueue(remote, queue, raftMessage)
}

// SendRelay queues a message between the leader of jobs and its relays. It never blocks.
// Messages to a peer that can't be reached are dropped.
func (p *Pool) SendRelay(name string, message *jobpb.RelayMessage) {
	if remote := p.messagePeer(name); remote != nil {
		p.enqueue(remote, remote.relayQueue, message)
	}
}

// messagePeer returns the peer to send one-way messages to, nil if there is none.
func (p *Pool) messagePeer(name string) *peer {
	remote, err := p.peer(name)
	if err != nil {
		p.options.Logger.Debug().Err(err).Str("peer", name).Msg("message dropped: the peer is unknown or the pool is closed")
		return nil
	}
	return remote
}

func (p *Pool) enqueue(remote *peer, queue *sendQueue, message proto.Message) {
	if queue.push(message) {
		p.startLoop(func() { p.sendLoop(remote, queue) })
	}
}

// startLoop runs fn in a goroutine that Close waits for.
func (p *Pool) startLoop(fn func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ctx.Err() != nil {
		return
	}
	p.sendLoops.Add(1)
	go func() {
		defer p.sendLoops.Done()
		fn()
	}()
}

// sendLoop writes the messages of one queue of a peer to a long-lived stream. If
// the stream fails, it drops the queued messages and opens a new stream after
// redialDelay.
func (p *Pool) sendLoop(remote *peer, queue *sendQueue) {
	var stream *muxStream
	for {
		select {
		case <-p.ctx.Done():
			return
		case <-queue.ready:
		}
		var err error
		if stream == nil {
			stream, err = p.openStream(remote, queue.kind)
		}
		if err == nil {
			err = p.writeQueue(remote, queue, stream)
		}
		if err == nil {
			continue
		}
		p.options.Logger.Debug().Err(err).Str("peer", remote.name).Msg("queued messages dropped: the stream to the peer failed")
		if stream != nil {
			_ = stream.Close()
			stream = nil
		}
		queue.takeAll()
		select {
		case <-p.ctx.Done():
			return
		case <-time.After(redialDelay):
		}
	}
}

func (p *Pool) openStream(remote *peer, kind byte) (*muxStream, error) {
	ctx, cancel := context.WithTimeout(p.ctx, dialTimeout+helloTimeout)
	defer cancel()
	session, err := p.session(ctx, remote)
	if err != nil {
		return nil, err
	}
	stream, err := session.OpenStream()
	if err != nil {
		return nil, err
	}
	if err := writeWithTimeout(stream, []byte{kind}, raftWriteTimeout); err != nil {
		_ = stream.Close()
		return nil, err
	}
	return stream, nil
}

func (p *Pool) writeQueue(remote *peer, queue *sendQueue, stream *muxStream) error {
	for _, message := range queue.takeAll() {
		data, err := encodeFrame(0, message)
		if err != nil {
			p.options.Logger.Error().Err(err).Str("peer", remote.name).Msg("message dropped: it can't be encoded")
			continue
		}
		if err := writeWithTimeout(stream, data, queue.writeTimeout); err != nil {
			return err
		}
	}
	return nil
}

func writeWithTimeout(stream *muxStream, data []byte, limit time.Duration) error {
	if err := stream.SetWriteDeadline(time.Now().Add(limit)); err != nil {
		return err
	}
	_, err := stream.Write(data)
	return err
}
