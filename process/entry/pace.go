package entry

import (
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// A caller whose request or answer holds a slot of a backend server has to
	// be faster by this factor and gets so much less time without progress.
	slotHaste = 8
	leastWait = time.Millisecond
	// writePiece is the most that is written under one deadline; with a larger
	// piece the deadline would not follow the progress.
	writePiece = 8 << 10
)

// pace bounds the time that a caller may keep the entry waiting in reads or
// writes: grace, and more with every byte. Time in which the entry waits for a
// backend server does not count.
type pace struct {
	grace   time.Duration
	rate    int64 // bytes per second
	moved   int64
	blocked time.Duration
}

// allow returns how long the next read, or write of n bytes, may take.
func (p *pace) allow(n int) time.Duration {
	left := p.grace + p.earned(p.moved) - p.blocked
	return max(leastWait, min(p.grace, left)+p.earned(int64(n)))
}

func (p *pace) earned(bytes int64) time.Duration {
	return time.Duration(float64(bytes) / float64(p.rate) * float64(time.Second))
}

func (p *pace) add(n int, took time.Duration) {
	p.moved += int64(n)
	p.blocked += took
}

// hasten returns the pace for a caller that holds a slot.
func (p *pace) hasten() *pace { return &pace{grace: p.grace / slotHaste, rate: p.rate * slotHaste} }

func (e *Entry) newPace() *pace { return &pace{grace: e.o.CallerGrace, rate: e.o.CallerRate} }

// pacedBody reads a caller's body under read deadlines.
type pacedBody struct {
	r    io.ReadCloser
	rc   *http.ResponseController
	pace *pace

	mu      sync.Mutex
	stopped bool
}

// paceBody starts the time of a caller that has a body to send, also if the
// body is never read: net/http reads the rest of it after the answer. The
// handler calls stop before it returns.
func (e *Entry) paceBody(w http.ResponseWriter, r *http.Request) (stop func()) {
	if r.Body == nil || r.ContentLength == 0 {
		return func() {}
	}
	b := &pacedBody{r: r.Body, rc: http.NewResponseController(w), pace: e.newPace()}
	b.deadline(time.Now().Add(b.pace.allow(0)))
	r.Body = b
	return b.stop
}

// stop ends the use of the connection's read deadline. The transport may read
// the body after the handler has returned, when the connection belongs to the
// caller's next request.
func (b *pacedBody) stop() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stopped = true
}

func (b *pacedBody) deadline(at time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.stopped {
		_ = b.rc.SetReadDeadline(at)
	}
}

// Read implements io.Reader. At the end of the body the deadline is removed, as
// net/http then watches the connection for a caller that goes away.
func (b *pacedBody) Read(p []byte) (int, error) {
	began := time.Now()
	b.deadline(began.Add(b.pace.allow(0)))
	n, err := b.r.Read(p)
	b.pace.add(n, time.Since(began))
	if err == io.EOF {
		b.deadline(time.Time{})
	}
	return n, err
}

// Close implements io.Closer.
func (b *pacedBody) Close() error { return b.r.Close() }

// callerWriter writes an answer under write deadlines.
type callerWriter struct {
	http.ResponseWriter
	rc *http.ResponseController

	mu   sync.Mutex
	pace *pace
}

func (e *Entry) paceAnswer(w http.ResponseWriter) *callerWriter {
	c := &callerWriter{ResponseWriter: w, rc: http.NewResponseController(w), pace: e.newPace()}
	// The deadline of the connection's previous answer may have passed.
	_ = c.rc.SetWriteDeadline(time.Time{})
	return c
}

// Unwrap gives http.ResponseController the original writer.
func (c *callerWriter) Unwrap() http.ResponseWriter { return c.ResponseWriter }

// usePace replaces the pace, from the next write on.
func (c *callerWriter) usePace(p *pace) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pace = p
}

// WriteHeader implements http.ResponseWriter. net/http may write an answer
// without a body only after the handler has returned.
func (c *callerWriter) WriteHeader(status int) {
	c.begin(0)
	c.ResponseWriter.WriteHeader(status)
}

func (c *callerWriter) begin(n int) (*pace, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	_ = c.rc.SetWriteDeadline(now.Add(c.pace.allow(n)))
	return c.pace, now
}

// Write implements io.Writer.
func (c *callerWriter) Write(p []byte) (int, error) {
	total := 0
	for {
		n, err := c.writePiece(p[:min(writePiece, len(p))])
		total += n
		p = p[n:]
		if err != nil || len(p) == 0 {
			return total, err
		}
	}
}

func (c *callerWriter) writePiece(p []byte) (int, error) {
	pace, began := c.begin(len(p))
	n, err := c.ResponseWriter.Write(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	pace.add(n, time.Since(began))
	return n, err
}

// FlushError implements the interface that http.ResponseController looks for:
// a flush blocks as a write does.
func (c *callerWriter) FlushError() error {
	pace, began := c.begin(0)
	err := c.rc.Flush()
	c.mu.Lock()
	defer c.mu.Unlock()
	pace.add(0, time.Since(began))
	return err
}

// limitedListener closes connections above a number at once, so that a balancer
// can choose another entry.
type limitedListener struct {
	net.Listener
	free chan struct{}
}

func limitConnections(l net.Listener, most int) *limitedListener {
	return &limitedListener{Listener: l, free: make(chan struct{}, most)}
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		select {
		case l.free <- struct{}{}:
			return &limitedConn{Conn: c, l: l}, nil
		default:
			_ = c.Close()
		}
	}
}

type limitedConn struct {
	net.Conn
	l    *limitedListener
	once sync.Once
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	c.once.Do(func() { <-c.l.free })
	return c.Conn.Close()
}

var errSlowBody = errors.New("the body did not come fast enough")
