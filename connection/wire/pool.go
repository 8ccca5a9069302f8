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

	"github.com/hashicorp/yamux"

	"marjoramtiller.example/marjoramtiller/connection/wirepb"
)

// Pool holds one session per peer, dialled on demand. Its methods may be called
// concurrently.
type Pool struct {
	o      Options
	ctx    context.Context
	cancel context.CancelFunc
	loops  sync.WaitGroup

	mu    sync.Mutex
	peers map[string]*peer
}

type peer struct {
	name    string
	address string
	dialing chan struct{} // held while dialling
	streams chan struct{} // bounds the calls in progress
	queue   *raftQueue
	chunks  *raftQueue // chunks of consensus snapshots

	mu      sync.Mutex
	session *yamux.Session
	bootID  string
}

var errPoolClosed = errors.New("pool is closed")

// NewPool returns a pool. It dials no one yet.
func NewPool(o Options) *Pool {
	ctx, cancel := context.WithCancel(context.Background())
	return &Pool{o: o, ctx: ctx, cancel: cancel, peers: map[string]*peer{}}
}

func (p *Pool) peer(name string) (*peer, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ctx.Err() != nil {
		return nil, errPoolClosed
	}
	if known := p.peers[name]; known != nil {
		return known, nil
	}
	address, ok := p.o.address(name)
	if !ok {
		return nil, &PeerError{Detail: fmt.Sprintf("process %q is not in the table", name)}
	}
	added := &peer{
		name: name, address: address,
		dialing: make(chan struct{}, 1),
		streams: make(chan struct{}, maxStreams),
		queue:   newRaftQueue(streamRaft, raftQueueBytes, raftWriteTimeout),
		chunks:  newRaftQueue(streamSnapshot, chunkQueueBytes, chunkWriteTimeout),
	}
	p.peers[name] = added
	return added, nil
}

func (c *peer) current() *yamux.Session {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.session == nil || c.session.IsClosed() {
		return nil
	}
	return c.session
}

// session returns the open session to a peer or dials one.
func (p *Pool) session(ctx context.Context, c *peer) (*yamux.Session, error) {
	if s := c.current(); s != nil {
		return s, nil
	}
	select {
	case c.dialing <- struct{}{}:
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-p.ctx.Done():
		return nil, errPoolClosed
	}
	defer func() { <-c.dialing }()
	if s := c.current(); s != nil {
		return s, nil
	}
	return p.dial(ctx, c)
}

func (p *Pool) dial(ctx context.Context, c *peer) (*yamux.Session, error) {
	d := net.Dialer{Timeout: dialTimeout}
	if p.o.LocalIP != "" {
		d.LocalAddr = &net.TCPAddr{IP: net.ParseIP(p.o.LocalIP)}
	}
	conn, err := d.DialContext(ctx, "tcp", c.address)
	if err != nil {
		return nil, err
	}
	hello, err := p.greet(conn, c.name)
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	session, err := yamux.Client(conn, yamuxConfig())
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	c.mu.Lock()
	c.session = session
	c.bootID = hello.BootId
	c.mu.Unlock()
	if p.ctx.Err() != nil {
		_ = session.Close()
		return nil, errPoolClosed
	}
	return session, nil
}

func (p *Pool) greet(conn net.Conn, name string) (*wirepb.Hello, error) {
	if err := conn.SetDeadline(time.Now().Add(helloTimeout)); err != nil {
		return nil, err
	}
	if err := p.o.sendHello(conn); err != nil {
		return nil, err
	}
	hello, err := p.o.receiveHello(conn)
	if err != nil {
		return nil, err
	}
	if hello.Process != name && (p.o.Matches == nil || !p.o.Matches(name, hello.Process)) {
		return nil, &PeerError{Detail: fmt.Sprintf("%q answers at the address of %q", hello.Process, name)}
	}
	return hello, conn.SetDeadline(time.Time{})
}

// BootID returns the boot id that a peer sent last, "" before its first session.
func (p *Pool) BootID(name string) string {
	c, err := p.peer(name)
	if err != nil {
		return ""
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.bootID
}

// Call sends a request and waits for its response until ctx ends. A failure is
// a NotSentError or an OutcomeUnknownError.
func (p *Pool) Call(ctx context.Context, name string, req *wirepb.Request) (*wirepb.Response, error) {
	c, err := p.peer(name)
	if err != nil {
		return nil, &NotSentError{Peer: name, Err: err}
	}
	select {
	case c.streams <- struct{}{}:
	case <-ctx.Done():
		return nil, &NotSentError{Peer: name, Err: ctx.Err()}
	}
	defer func() { <-c.streams }()
	session, err := p.session(ctx, c)
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
	data, err := callFrame(ctx, req)
	if err != nil {
		return nil, &NotSentError{Peer: name, Err: err}
	}
	resp, err := exchange(ctx, stream, data)
	if err != nil {
		return nil, &OutcomeUnknownError{Peer: name, Err: err}
	}
	return resp, nil
}

// callFrame encodes a request with the time that its caller still waits.
func callFrame(ctx context.Context, req *wirepb.Request) ([]byte, error) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return frame(streamCall, req)
	}
	left := max(1, time.Until(deadline).Milliseconds())
	timed := &wirepb.Request{Body: req.GetBody(), DeadlineMs: uint32(min(left, math.MaxUint32))}
	timed.ProtoReflect().SetUnknown(req.ProtoReflect().GetUnknown())
	return frame(streamCall, timed)
}

func exchange(ctx context.Context, stream *yamux.Stream, data []byte) (*wirepb.Response, error) {
	stop := context.AfterFunc(ctx, func() { _ = stream.SetDeadline(time.Unix(1, 0)) })
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

// Close ends all sessions. Calls in progress fail.
func (p *Pool) Close() error {
	p.cancel()
	p.mu.Lock()
	var sessions []*yamux.Session
	for _, c := range p.peers {
		if s := c.current(); s != nil {
			sessions = append(sessions, s)
		}
	}
	p.mu.Unlock()
	for _, s := range sessions {
		_ = s.Close()
	}
	p.loops.Wait()
	return nil
}
