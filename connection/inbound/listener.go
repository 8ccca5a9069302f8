package inbound

import (
	"bytes"
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

const (
	// Sizes of the receive and the send buffer of a connection; the kernel doubles them. Bytes
	// that have arrived and are not read count towards the memory of a process on some
	// machines. With a larger buffer large bodies arrive faster over long distances.
	SmallBuffers  = 16 << 10
	MediumBuffers = 32 << 10

	// headerLineBytes is the memory of a line of a header, in addition to its bytes.
	headerLineBytes = 128
	// writeBytes is written under one time limit.
	writeBytes = 64 << 10
	// freeHeaderBytes of the header of each request are not reserved: the number of
	// connections bounds them, and ordinary headers need no more.
	freeHeaderBytes = 8 << 10
	// Bounds of what is discarded from the connection of a refused request, so that the peer
	// can read the answer before the connection is closed.
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 256 << 10
)

// BufferSizes returns a Control function for net.ListenConfig that limits the buffers of the
// connections of a listener.
func BufferSizes(bytes int) func(network, address string, conn syscall.RawConn) error {
	return func(_, _ string, conn syscall.RawConn) error {
		var optionErr error
		err := conn.Control(func(fd uintptr) {
			optionErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, bytes)
			if optionErr == nil {
				optionErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, bytes)
			}
		})
		if err != nil {
			return err
		}
		return optionErr
	}
}

// errNoHeaderRoom reports a connection that is closed because there is no memory for the
// header of its next request.
var errNoHeaderRoom = errors.New("there is no memory left for the header of the request")

// Reasons why a listener closes connections, in metrics.
const (
	closedForNew    = "replaced" // in favour of a new one
	closedAtLimit   = "limit"    // as soon as it was accepted
	closedForHeader = "header"   // no memory for a header
)

// listener bounds the open connections of a net.Listener.
type listener struct {
	net.Listener
	limits  *Limits
	options ServeOptions

	mu    sync.Mutex
	table *connections[*conn]
}

func (l *Limits) listen(inner net.Listener, o ServeOptions) *listener {
	ln := &listener{Listener: inner, limits: l, options: o, table: newConnections[*conn](o.MaxConnections)}
	l.metrics.watchConnections(o.Name, ln.count)
	return ln
}

func (l *listener) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.table.open)
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: accepted, listener: l, header: reservation{memory: l.limits.memory}}
		if l.admit(c) {
			c.header.receive(time.Now(), c.closeForHeader)
			return c, nil
		}
		l.limits.metrics.closed(l.options.Name, closedAtLimit)
		_ = accepted.Close()
	}
}

func (l *listener) admit(c *conn) bool {
	l.mu.Lock()
	victim, evicted, admitted := l.table.add(c, time.Now())
	l.mu.Unlock()
	if evicted {
		l.limits.metrics.closed(l.options.Name, closedForNew)
		_ = victim.closeNow()
	}
	return admitted
}

// conn is a connection of a listener.
type conn struct {
	net.Conn
	listener *listener
	header   reservation // of the request whose header is being received
	handling atomic.Bool // a request's header is complete and its handler has not returned
	lingers  atomic.Bool // a request was refused: Close discards for a short time what arrives
	once     sync.Once

	headerBytes int64 // memory of the header that is being received; used by Read and end, which don't overlap
}

type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// connOf returns the connection of a request, nil if it is not one of a listener.
func connOf(ctx context.Context) *conn {
	c, _ := ctx.Value(connKey{}).(*conn)
	return c
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	now := time.Now()
	c.listener.mu.Lock()
	c.listener.table.progressed(c, now)
	c.listener.mu.Unlock()
	if !c.handling.Load() {
		cost := int64(n) + headerLineBytes*int64(bytes.Count(p[:n], []byte{'\n'}))
		c.header.receivedBytes(int64(n), now)
		if !c.growHeader(cost) {
			c.closeForHeader()
			return 0, errNoHeaderRoom
		}
	}
	return n, err
}

// growHeader reports whether there is memory for more of a header.
func (c *conn) growHeader(cost int64) bool {
	free := max(0, freeHeaderBytes-c.headerBytes)
	c.headerBytes += cost
	return cost <= free || c.header.grow(cost-free, 0)
}

func (c *conn) closeForHeader() {
	c.listener.limits.metrics.closed(c.listener.options.Name, closedForHeader)
	_ = c.closeNow()
}

// Write implements net.Conn. It sets write deadlines if the options of the listener say so.
func (c *conn) Write(p []byte) (int, error) {
	if c.listener.options.WriteTimeout == 0 {
		return c.Conn.Write(p)
	}
	total := 0
	for {
		if err := c.SetWriteDeadline(time.Now().Add(c.listener.options.WriteTimeout)); err != nil {
			return total, err
		}
		n, err := c.Conn.Write(p[:min(writeBytes, len(p))])
		total += n
		p = p[n:]
		if err != nil || len(p) == 0 {
			return total, err
		}
	}
}

// linger makes Close discard for a short time what arrives.
func (c *conn) linger() {
	if c != nil {
		c.lingers.Store(true)
	}
}

// Close implements net.Conn.
func (c *conn) Close() error {
	if !c.lingers.Swap(false) {
		return c.closeNow()
	}
	go c.discard()
	return nil
}

// discard discards what arrives until the peer closes the connection or a limit is reached,
// and closes it.
func (c *conn) discard() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	_ = c.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes)
	_ = c.closeNow()
}

func (c *conn) closeNow() error {
	err := c.Conn.Close()
	c.once.Do(func() {
		c.listener.mu.Lock()
		c.listener.table.remove(c)
		c.listener.mu.Unlock()
		c.header.end()
	})
	return err
}

// begin records that the whole request has been received.
func (c *conn) begin() {
	if c == nil {
		return
	}
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.listener.table.begin(c)
}

// handle records that the header of a request is complete.
func (c *conn) handle() {
	if c == nil {
		return
	}
	c.handling.Store(true)
	c.header.complete()
}

// end records that the handler of a request has returned.
func (c *conn) end() {
	if c == nil {
		return
	}
	now := time.Now()
	c.headerBytes = 0
	c.header.release()
	c.header.receive(now, c.closeForHeader)
	c.handling.Store(false)
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.listener.table.end(c, now)
}
