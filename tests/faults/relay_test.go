package faults

import (
	"net"
	"sync"
	"testing"
)

// relay passes TCP connections on to a target. A silent direction passes
// nothing and resets nothing, as a partition does; what was held back arrives
// once the direction is open again, as TCP sends it again.
type relay struct {
	l      net.Listener
	target string

	mu     sync.Mutex
	open   *sync.Cond
	silent [2]bool // by direction: forward, back
	conns  map[net.Conn]bool
	closed bool
}

// Directions of a relay.
const (
	forward = iota // from the process that dials to the target
	back
)

func newRelay(t *testing.T, target string) *relay {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{l: l, target: target, conns: make(map[net.Conn]bool)}
	r.open = sync.NewCond(&r.mu)
	t.Cleanup(r.close)
	go r.accept()
	return r
}

func (r *relay) address() string { return r.l.Addr().String() }

func (r *relay) accept() {
	for {
		in, err := r.l.Accept()
		if err != nil {
			return
		}
		go r.connect(in)
	}
}

func (r *relay) connect(in net.Conn) {
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

func (r *relay) copy(dst, src net.Conn, direction int) {
	defer func() { _, _ = dst.Close(), src.Close() }()
	buffer := make([]byte, 32<<10)
	for {
		n, err := src.Read(buffer)
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

// silence closes or opens the directions.
func (r *relay) silence(forwardSilent, backSilent bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.silent = [2]bool{forwardSilent, backSilent}
	r.open.Broadcast()
}

// cut breaks every connection.
func (r *relay) cut() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		_ = c.Close()
	}
}

func (r *relay) close() {
	_ = r.l.Close()
	r.mu.Lock()
	r.closed = true
	r.open.Broadcast()
	r.mu.Unlock()
	r.cut()
}
