package main

import (
	"bytes"
	"io"
	"net"
	"sync"
)

// proxy forwards connections to one address. It can lose answers on their way back.
type proxy struct {
	rig      *rig
	listener net.Listener
	target   string

	mu sync.Mutex
	// lose is the number of answers to lose, of those with status 2xx to a request that
	// begins with loseMethod.
	lose       int
	loseMethod string
}

func (r *rig) openProxy(target string) (*proxy, error) {
	host, _, err := net.SplitHostPort(target)
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return nil, err
	}
	p := &proxy{rig: r, listener: listener, target: target}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// loseAnswers makes the proxy lose the next answers with status 2xx to a method.
func (p *proxy) loseAnswers(method string, count int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.loseMethod, p.lose = method, count
}

func (p *proxy) accept() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.forward(in)
	}
}

func (p *proxy) forward(in net.Conn) {
	defer func() { _ = in.Close() }()
	out, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer func() { _ = out.Close() }()
	method := make(chan string, 1)
	go func() {
		first := make([]byte, 4096)
		n, err := in.Read(first)
		word, _, _ := bytes.Cut(first[:n], []byte(" "))
		method <- string(word)
		if err != nil {
			return
		}
		if _, err := out.Write(first[:n]); err == nil {
			_, _ = io.Copy(out, in)
		}
		_ = out.(*net.TCPConn).CloseWrite()
	}()
	first := make([]byte, 4096)
	n, err := out.Read(first)
	if n > 0 && p.loses(<-method, first[:n]) {
		// The answer is lost and the connection stays silent until the caller closes it.
		_, _ = io.Copy(io.Discard, out)
		_, _ = in.Read(make([]byte, 1))
		return
	}
	if n > 0 {
		if _, writeErr := in.Write(first[:n]); writeErr != nil {
			return
		}
	}
	if err == nil {
		_, _ = io.Copy(in, out)
	}
}

func (p *proxy) loses(method string, answer []byte) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.lose == 0 || method != p.loseMethod || !bytes.HasPrefix(answer, []byte("HTTP/1.1 2")) {
		return false
	}
	p.lose--
	p.rig.record.add("the answer of %s to a %s is lost on its way", p.target, method)
	return true
}
