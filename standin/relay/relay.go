// Package relay is a TCP proxy for fault injection in tests: it delays traffic,
// blocks one or both directions and closes connections.
package relay

import (
	"net"
	"sync"
	"time"
)

// Relay forwards TCP connections to a target. A blocked direction forwards no bytes
// and resets no connection, like a network partition. The bytes held back are
// delivered once the direction is unblocked, as TCP would retransmit them. It is safe
// for concurrent use.
type Relay struct {
	listener net.Listener
	target   string

	mu        sync.Mutex
	unblocked *sync.Cond
	blocked   [2]bool // by direction: forward, backward
	delay     time.Duration
	conns     map[net.Conn]bool
	closed    bool
}

// Directions of a relay.
const (
	forward = iota // from the client to the target
	backward
)

// Open starts a relay that listens on a loopback address.
func Open(target string) (*Relay, error) { return OpenAt("127.0.0.1", target) }

// OpenAt starts a relay that listens on a loopback address of its own, so that a port that
// it has freed does not go to another test's server.
func OpenAt(ip, target string) (*Relay, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	r := &Relay{listener: l, target: target, conns: make(map[net.Conn]bool)}
	r.unblocked = sync.NewCond(&r.mu)
	go r.accept()
	return r, nil
}

// Address returns the address that clients dial to reach the target.
func (r *Relay) Address() string { return r.listener.Addr().String() }

func (r *Relay) accept() {
	for {
		in, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.connect(in)
	}
}

func (r *Relay) connect(in net.Conn) {
	out, err := net.Dial("tcp", r.target)
	if err != nil {
		_ = in.Close()
		return
	}
	r.mu.Lock()
	r.conns[in], r.conns[out] = true, true
	r.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { r.copy(out, in, forward) })
	both.Go(func() { r.copy(in, out, backward) })
	both.Wait()
	r.mu.Lock()
	delete(r.conns, in)
	delete(r.conns, out)
	r.mu.Unlock()
}

func (r *Relay) copy(dst, src net.Conn, direction int) {
	defer func() { _, _ = dst.Close(), src.Close() }()
	buffer := make([]byte, 32<<10)
	for {
		n, err := src.Read(buffer)
		r.mu.Lock()
		delay := r.delay
		r.mu.Unlock()
		time.Sleep(delay)
		r.mu.Lock()
		for r.blocked[direction] && !r.closed {
			r.unblocked.Wait()
		}
		r.mu.Unlock()
		if n > 0 {
			if _, err := dst.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// SetBlocked sets which directions are blocked.
func (r *Relay) SetBlocked(forwardBlocked, backwardBlocked bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.blocked = [2]bool{forwardBlocked, backwardBlocked}
	r.unblocked.Broadcast()
}

// SetDelay sets the delay of the bytes that are read from now on; 0 means no delay.
func (r *Relay) SetDelay(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = d
}

// CloseConnections closes every connection.
func (r *Relay) CloseConnections() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		_ = c.Close()
	}
}

// Close stops accepting connections and closes the existing ones.
func (r *Relay) Close() {
	_ = r.listener.Close()
	r.mu.Lock()
	r.closed = true
	r.unblocked.Broadcast()
	r.mu.Unlock()
	r.CloseConnections()
}
