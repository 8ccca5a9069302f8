package main

import (
	"io"
	"net"
	"sync"
	"time"
)

// front is a proxy in front of an executor. While the executor is down it keeps what callers
// send, and hands it over in its order once the executor is back. It changes nothing else.
type front struct {
	listener net.Listener

	mu      sync.Mutex
	target  string // empty while the executor is down
	changed *sync.Cond
	closed  bool
	came    int // requests that waited for the executor
	next    int // number of the one that is handed over next
}

func openFront() (*front, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f := &front{listener: l}
	f.changed = sync.NewCond(&f.mu)
	go func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			go f.carry(in)
		}
	}()
	return f, nil
}

func (f *front) setTarget(target string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.target = target
	f.changed.Broadcast()
}

func (f *front) close() {
	_ = f.listener.Close()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closed = true
	f.changed.Broadcast()
}

func (f *front) down() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.target == "" && !f.closed
}

// connect connects to the executor, once it is up and the requests that came before were
// handed over. The caller of connect calls handedOver after it has written its request.
func (f *front) connect() (out net.Conn, handedOver func(), err error) {
	f.mu.Lock()
	number := f.came
	f.came++
	for !f.closed && (f.target == "" || f.next < number) {
		f.changed.Wait()
	}
	target, closed := f.target, f.closed
	f.mu.Unlock()
	handedOver = func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.next = max(f.next, number+1)
		f.changed.Broadcast()
	}
	if closed {
		return nil, handedOver, net.ErrClosed
	}
	out, err = net.Dial("tcp", target)
	return out, handedOver, err
}

// carry carries one connection. What a caller has sent is handed over even if it gives up.
func (f *front) carry(in net.Conn) {
	defer func() { _ = in.Close() }()
	var out net.Conn
	var lost chan struct{} // closed when out has ended
	buf := make([]byte, 64<<10)
	for {
		k, err := in.Read(buf)
		if k > 0 && (out == nil || isClosed(lost)) {
			var handedOver func()
			var dialErr error
			if out, handedOver, dialErr = f.connect(); dialErr != nil {
				handedOver()
				return
			}
			lost = make(chan struct{})
			go f.answer(in, out, lost)
			_, _ = out.Write(buf[:k])
			time.AfterFunc(2*time.Millisecond, handedOver)
		} else if k > 0 {
			_, _ = out.Write(buf[:k])
		}
		if err != nil {
			break
		}
	}
	if out == nil {
		return
	}
	// The answer to a caller that has gone is read and dropped.
	_ = out.SetReadDeadline(time.Now().Add(time.Second))
	<-lost
	_ = out.Close()
}

// answer carries the executor's answers. If the executor crashes, the caller's connection
// stays open: the proxy waits for the executor.
func (f *front) answer(in, out net.Conn, lost chan struct{}) {
	_, _ = io.Copy(in, out)
	close(lost)
	_ = out.Close()
	if !f.down() {
		_ = in.Close()
	}
}

func isClosed(c chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}
