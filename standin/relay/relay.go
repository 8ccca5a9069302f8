// Package relay passes TCP connections on to a target, for tests: it delays them,
// silences one or both directions, and breaks them.
package relay

import (
	"net"
	"sync"
	"time"
)

// Relay passes TCP connections on to a target. A silent direction passes nothing
// and resets nothing, as a partition does; what was held back arrives once the
// direction is open again, as TCP sends it again. It is safe for concurrent use.
type Relay struct {
	l      net.Listener
	target string

	mu     sync.Mutex
	open   *sync.Cond
	silent [2]bool // by direction: forward, back
	delay  time.Duration
	conns  map[net.Conn]bool
	closed bool
}

// Directions of a relay.
const (
	forward = iota // from the process that dials to the target
	back
)

// Open starts a relay on a loopback address.
func Open(target string) (*Relay, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Relay{l: l, target: target, conns: make(map[net.Conn]bool)}
	r.open = sync.NewCond(&r.mu)
	go r.accept()
	return r, nil
}

// Address returns the address that leads to the target.
func (r *Relay) Address() string { return r.l.Addr().String() }

func (r *Relay) accept() {
	for {
		in, err := r.l.Accept()
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
	both.Go(func() { r.copy(in, out, back) })
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
		for r.silent[direction] && !r.closed {
			r.open.Wait()
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

// Silence closes or opens the directions.
func (r *Relay) Silence(forwardSilent, backSilent bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.silent = [2]bool{forwardSilent, backSilent}
	r.open.Broadcast()
}

// Delay holds what is read from now on back for a time, 0 for none.
func (r *Relay) Delay(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = d
}

// Cut breaks every connection.
func (r *Relay) Cut() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		_ = c.Close()
	}
}

// Close refuses new connections and breaks the others.
func (r *Relay) Close() {
	_ = r.l.Close()
	r.mu.Lock()
	r.closed = true
	r.open.Broadcast()
	r.mu.Unlock()
	r.Cut()
}
