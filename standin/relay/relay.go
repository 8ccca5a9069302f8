// Package relay is a TCP proxy for fault injection in tests: it delays traffic,
// blocks one or both directions and closes connections.
package relay

import (
	"net"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Relay forwards TCP connections to a target, which may change. Without a target it accepts
// connections and forwards them to the next one, unless their clients give up before. A blocked direction forwards no bytes
// and resets no connection, like a network partition. The bytes held back are
// delivered once the direction is unblocked, as TCP would retransmit them. It is safe
// for concurrent use.
type Relay struct {
	listener net.Listener

	mu        sync.Mutex
	target    string // empty while there is none
	unblocked *sync.Cond
	blocked   [2]bool // by direction: forward, backward
	delay     time.Duration
	conns     map[net.Conn]bool
	targets   map[net.Conn]bool // those of conns that lead to a target
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
	r := &Relay{listener: l, target: target, conns: make(map[net.Conn]bool), targets: make(map[net.Conn]bool)}
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

// SetTarget sets the target; empty means that there is none for now. Clients notice nothing:
// what they send from then on goes to the next target, and no answer of the last one comes.
func (r *Relay) SetTarget(target string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.target = target
	for c := range r.targets {
		_ = c.Close()
	}
	clear(r.targets)
}

// targetPollInterval is how often a connection without a target looks for one.
const targetPollInterval = 5 * time.Millisecond

// awaitTarget returns the target of a new connection, and what its client has sent until
// there was one. It returns false if the client or the relay has closed the connection.
func (r *Relay) awaitTarget(in net.Conn) (target string, sent []byte, ok bool) {
	buffer := make([]byte, 32<<10)
	for {
		r.mu.Lock()
		target, closed := r.target, r.closed
		r.mu.Unlock()
		if target != "" || closed {
			return target, sent, !closed && in.SetReadDeadline(time.Time{}) == nil
		}
		if err := in.SetReadDeadline(time.Now().Add(targetPollInterval)); err != nil {
			return "", nil, false
		}
		n, err := in.Read(buffer)
		sent = append(sent, buffer[:n]...)
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			return "", nil, false
		}
	}
}

func (r *Relay) connect(in net.Conn) {
	target, sent, ok := r.awaitTarget(in)
	if !ok {
		_ = in.Close()
		return
	}
	out, err := net.Dial("tcp", target)
	if err != nil {
		_ = in.Close()
		return
	}
	if _, err := out.Write(sent); err != nil {
		_, _ = in.Close(), out.Close()
		return
	}
	r.mu.Lock()
	r.conns[in], r.conns[out], r.targets[out] = true, true, true
	r.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { r.copy(out, in, forward) })
	both.Go(func() {
		r.copy(in, out, backward)
		_ = in.SetReadDeadline(time.Now()) // ends the other direction if the target was replaced
	})
	both.Wait()
	replaced := r.forget(in, out)
	if replaced {
		r.connect(in)
		return
	}
	_, _ = in.Close(), out.Close()
}

// forget removes a connection. It reports whether it leads to a target that was replaced.
func (r *Relay) forget(in, out net.Conn) (replaced bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	replaced = !r.targets[out] && r.conns[in] && !r.closed
	delete(r.conns, in)
	delete(r.conns, out)
	delete(r.targets, out)
	return replaced
}

// closeUnlessReplaced closes both ends of a connection unless its target was replaced.
func (r *Relay) closeUnlessReplaced(a, b net.Conn) {
	r.mu.Lock()
	current := r.targets[a] || r.targets[b]
	r.mu.Unlock()
	if current {
		_, _ = a.Close(), b.Close()
	}
}

func (r *Relay) copy(dst, src net.Conn, direction int) {
	defer r.closeUnlessReplaced(dst, src)
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
	clear(r.conns)
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
