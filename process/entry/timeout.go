package entry

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"marjoramtiller.example/marjoramtiller/connection/inbound"
)

const (
	// The grace period of a caller whose request or response holds a slot of a
	// backend server is divided by slotHolderFactor, and the rate that it must
	// sustain is multiplied by it.
	slotHolderFactor = 8
	// maxWriteBytes is the most that is written under one deadline. With a
	// larger limit the deadline would not follow the progress of the caller.
	maxWriteBytes = 8 << 10
)

func (e *Entry) newProgress() *inbound.Progress {
	return inbound.NewProgress(e.options.CallerGrace, e.options.CallerRate)
}

// callerWriter writes a response under write deadlines.
type callerWriter struct {
	http.ResponseWriter
	controller *http.ResponseController

	mu       sync.Mutex
	progress *inbound.Progress
}

func (e *Entry) newCallerWriter(w http.ResponseWriter) *callerWriter {
	c := &callerWriter{ResponseWriter: w, controller: http.NewResponseController(w), progress: e.newProgress()}
	// The write deadline of the connection's previous response may have passed.
	_ = c.controller.SetWriteDeadline(time.Time{})
	return c
}

// Unwrap returns the original writer for http.ResponseController.
func (c *callerWriter) Unwrap() http.ResponseWriter { return c.ResponseWriter }

// setProgress replaces the timeout, from the next write on.
func (c *callerWriter) setProgress(p *inbound.Progress) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.progress = p
}

// WriteHeader implements http.ResponseWriter. It sets a deadline because
// net/http may write a response without a body only after the handler has
// returned.
func (c *callerWriter) WriteHeader(status int) {
	c.startWrite(0)
	c.ResponseWriter.WriteHeader(status)
}

func (c *callerWriter) startWrite(n int) (*inbound.Progress, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	_ = c.controller.SetWriteDeadline(now.Add(c.progress.Next(n)))
	return c.progress, now
}

// Write implements io.Writer.
func (c *callerWriter) Write(p []byte) (int, error) {
	total := 0
	for {
		n, err := c.writeChunk(p[:min(maxWriteBytes, len(p))])
		total += n
		p = p[n:]
		if err != nil || len(p) == 0 {
			return total, err
		}
	}
}

func (c *callerWriter) writeChunk(p []byte) (int, error) {
	progress, began := c.startWrite(len(p))
	n, err := c.ResponseWriter.Write(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	progress.Record(n, time.Since(began))
	return n, err
}

// FlushError implements the interface that http.ResponseController checks for.
// A flush blocks as a write does, so its time counts.
func (c *callerWriter) FlushError() error {
	progress, began := c.startWrite(0)
	err := c.controller.Flush()
	c.mu.Lock()
	defer c.mu.Unlock()
	progress.Record(0, time.Since(began))
	return err
}

// limitedListener closes new connections above a limit immediately, so that a
// load balancer can choose another entry.
type limitedListener struct {
	net.Listener
	semaphore chan struct{}
}

func limitConnections(l net.Listener, limit int) *limitedListener {
	return &limitedListener{Listener: l, semaphore: make(chan struct{}, limit)}
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		select {
		case l.semaphore <- struct{}{}:
			return &limitedConn{Conn: c, listener: l}, nil
		default:
			_ = c.Close()
		}
	}
}

type limitedConn struct {
	net.Conn
	listener *limitedListener
	once     sync.Once
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	c.once.Do(func() { <-c.listener.semaphore })
	return c.Conn.Close()
}

var errSlowBody = errors.New("the request body was received too slowly")
