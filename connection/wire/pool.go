package wire

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"math"
	"net"
	"sync"
	"time"

	"marjoramtiller.example/marjoramtiller/connection/wirepb"
)

// Pool holds one session per peer, dialled on demand. Its methods may be called
// concurrently.
type Pool struct {
	options   Options
	ctx       context.Context
	cancel    context.CancelFunc
	sendLoops sync.WaitGroup

	mu    sync.Mutex
	peers map[string]*peer
}

type peer struct {
	name         string
	address      string
	dialLock     chan struct{} // has capacity 1; filled while a session is being dialled
	callSlots    chan struct{} // one element per call in progress; its capacity is the limit
	messageQueue *sendQueue    // for consensus messages
	chunkQueue   *sendQueue    // for chunks of consensus snapshots
	relayQueue   *sendQueue    // for messages between the leader of jobs and its relays

	mu      sync.Mutex
	session *muxSession
	bootID  string
}

var errPoolClosed = errors.New("pool is closed")

// NewPool returns a pool without sessions.
func NewPool(settings Options) *Pool {
	ctx, cancel := context.WithCancel(context.Background())
	return &Pool{options: settings, ctx: ctx, cancel: cancel, peers: map[string]*peer{}}
}

// peer returns the state of a peer. It adds the peer at the first use of its name.
func (p *Pool) peer(name string) (*peer, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ctx.Err() != nil {
		return nil, errPoolClosed
	}
	if existing := p.peers[name]; existing != nil {
		return existing, nil
	}
	address, ok := p.options.address(name)
	if !ok {
		return nil, &PeerError{Detail: fmt.Sprintf("process %q is not in the table", name)}
	}
	added := &peer{
		name: name, address: address,
		dialLock:     make(chan struct{}, 1),
		callSlots:    make(chan struct{}, maxStreams),
		messageQueue: newSendQueue(streamRaft, raftQueueBytes, raftWriteTimeout),
		chunkQueue:   newSendQueue(streamSnapshot, chunkQueueBytes, chunkWriteTimeout),
		relayQueue:   newSendQueue(streamRelay, relayQueueBytes, relayWriteTimeout),
	}
	p.peers[name] = added
	return added, nil
}

// openSession returns the session, or nil if there is none or it is closed.
func (c *peer) openSession() *muxSession {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.session == nil || c.session.IsClosed() {
		return nil
	}
	return c.session
}

// session returns the open session to a peer or dials one.
func (p *Pool) session(ctx context.Context, remote *peer) (*muxSession, error) {
	if s := remote.openSession(); s != nil {
		return s, nil
	}
	select {
	case remote.dialLock <- struct{}{}:
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-p.ctx.Done():
		return nil, errPoolClosed
	}
	defer func() { <-remote.dialLock }()
	if s := remote.openSession(); s != nil {
		return s, nil
	}
	return p.dial(ctx, remote)
}

func (p *Pool) dial(ctx context.Context, remote *peer) (*muxSession, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	if p.options.LocalIP != "" {
		dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(p.options.LocalIP)}
	}
	conn, err := dialer.DialContext(ctx, "tcp", remote.address)
	if err != nil {
		return nil, err
	}
	hello, err := p.exchangeHello(conn, remote.name)
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	session, err := newMuxSession(conn, startClient)
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	remote.mu.Lock()
	remote.session = session
	remote.bootID = hello.BootId
	remote.mu.Unlock()
	if p.ctx.Err() != nil {
		_ = session.Close()
		return nil, errPoolClosed
	}
	return session, nil
}

// exchangeHello sends a Hello, receives the one of the peer and checks that the
// peer is the process of that name.
func (p *Pool) exchangeHello(conn net.Conn, name string) (*wirepb.Hello, error) {
	if err := conn.SetDeadline(time.Now().Add(helloTimeout)); err != nil {
		return nil, err
	}
	if err := p.options.sendHello(conn); err != nil {
		return nil, err
	}
	hello, err := p.options.receiveHello(conn)
	if err != nil {
		return nil, err
	}
	if hello.Process != name && (p.options.Matches == nil || !p.options.Matches(name, hello.Process)) {
		return nil, &PeerError{Detail: fmt.Sprintf("%q responded at the address of %q", hello.Process, name)}
	}
	return hello, conn.SetDeadline(time.Time{})
}

// BootID returns the boot id that a peer sent last, or "" before its first session.
func (p *Pool) BootID(name string) string {
	remote, err := p.peer(name)
	if err != nil {
		return ""
	}
	remote.mu.Lock()
	defer remote.mu.Unlock()
	return remote.bootID
}

// Call sends a request and waits for its response until ctx ends. A failure is
// a NotSentError or an OutcomeUnknownError.
func (p *Pool) Call(ctx context.Context, name string, req *wirepb.Request) (*wirepb.Response, error) {
	remote, err := p.peer(name)
	if err != nil {
		return nil, &NotSentError{Peer: name, Err: err}
	}
	select {
	case remote.callSlots <- struct{}{}:
	case <-ctx.Done():
		return nil, &NotSentError{Peer: name, Err: ctx.Err()}
	}
	defer func() { <-remote.callSlots }()
	session, err := p.session(ctx, remote)
	if err != nil {
		return nil, &NotSentError{Peer: name, Err: err}
	}
	stream, err := session.OpenStream()
	if err != nil {
		return nil, &NotSentError{Peer: name, Err: err}
	}
	defer func() { _ = stream.Close() }()
	if err := ctx.Err(); err != nil {
		return nil, &NotSentError{Peer: name, Err: err}
	}
	data, err := encodeCall(ctx, req)
	if err != nil {
		return nil, &NotSentError{Peer: name, Err: err}
	}
	resp, err := exchange(ctx, stream, data)
	if err != nil {
		return nil, &OutcomeUnknownError{Peer: name, Err: err}
	}
	return resp, nil
}

// encodeCall encodes a request with the time that remains until the deadline of
// ctx.
func encodeCall(ctx context.Context, req *wirepb.Request) ([]byte, error) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return encodeFrame(streamCall, req)
	}
	remaining := max(1, time.Until(deadline).Milliseconds())
	withDeadline := &wirepb.Request{Body: req.GetBody(), DeadlineMs: uint32(min(remaining, math.MaxUint32))}
	withDeadline.ProtoReflect().SetUnknown(req.ProtoReflect().GetUnknown())
	return encodeFrame(streamCall, withDeadline)
}

// exchange writes an encoded request and reads its response. When ctx ends, it
// returns the error of ctx.
func exchange(ctx context.Context, stream *muxStream, data []byte) (*wirepb.Response, error) {
	stop := context.AfterFunc(ctx, func() { _ = stream.SetDeadline(expired) })
	defer stop()
	_, err := stream.Write(data)
	resp := &wirepb.Response{}
	if err == nil {
		err = readMessage(bufio.NewReader(stream), MaxFrameBytes, resp)
	}
	if err != nil && ctx.Err() != nil {
		return nil, ctx.Err()
	}
	return resp, err
}

// Close closes all sessions and waits for the goroutines that send messages. Calls
// in progress fail.
func (p *Pool) Close() error {
	p.cancel()
	p.mu.Lock()
	var sessions []*muxSession
	for _, c := range p.peers {
		if s := c.openSession(); s != nil {
			sessions = append(sessions, s)
		}
	}
	p.mu.Unlock()
	for _, s := range sessions {
		_ = s.Close()
	}
	p.sendLoops.Wait()
	return nil
}
