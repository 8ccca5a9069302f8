package main

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// proxy forwards connections to an executor. While it is blocked it forwards nothing, and
// holds back what arrives; bytes whose sender has closed the connection meanwhile are lost.
type proxy struct {
	rig      *rig
	target   string
	listener net.Listener
	cut      atomic.Bool
	refused  atomic.Bool
	mu       sync.Mutex
	conns    map[net.Conn]bool
	closed   bool
}

const proxyPoll = 5 * time.Millisecond

func newProxy(r *rig, target string) *proxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		r.cannotRun("listen for a proxy: %v", err)
	}
	p := &proxy{rig: r, target: target, listener: l, conns: map[net.Conn]bool{}}
	go p.accept(l)
	return p
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) blocked() bool { return p.cut.Load() || p.refused.Load() }

func (p *proxy) setBlocked(b bool) { p.cut.Store(b) }

// setRefused closes all connections and refuses new ones, or accepts them again.
func (p *proxy) setRefused(refused bool) {
	p.refused.Store(refused)
	p.mu.Lock()
	defer p.mu.Unlock()
	if refused {
		_ = p.listener.Close()
		for c := range p.conns {
			_ = c.Close()
		}
		p.conns = map[net.Conn]bool{}
		return
	}
	l, err := net.Listen("tcp", p.address())
	if err != nil {
		p.rig.note("listen again at %s: %v", p.address(), err)
		return
	}
	p.listener = l
	go p.accept(l)
}

func (p *proxy) accept(l net.Listener) {
	for {
		in, err := l.Accept()
		if err != nil {
			return
		}
		go p.connect(in)
	}
}

func (p *proxy) track(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		_ = c.Close()
		return false
	}
	p.conns[c] = true
	return true
}

func (p *proxy) connect(in net.Conn) {
	out, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = in.Close()
		return
	}
	if !p.track(in) || !p.track(out) {
		_ = in.Close()
		_ = out.Close()
		return
	}
	go p.copy(in, out)
	p.copy(out, in)
}

// copy forwards the bytes of one direction and closes both connections at the end.
func (p *proxy) copy(from, to net.Conn) {
	defer func() { _ = from.Close(); _ = to.Close() }()
	var held []byte
	buffer := make([]byte, 32<<10)
	for {
		_ = from.SetReadDeadline(time.Now().Add(proxyPoll))
		n, err := from.Read(buffer)
		held = append(held, buffer[:n]...)
		if timeout, ok := err.(net.Error); err != nil && !(ok && timeout.Timeout()) {
			if !p.blocked() {
				_, _ = to.Write(held)
			}
			return
		}
		if len(held) == 0 || p.blocked() {
			continue
		}
		if _, err := to.Write(held); err != nil {
			return
		}
		held = held[:0]
	}
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for c := range p.conns {
		_ = c.Close()
	}
}
