package inbound

import (
	"io"
	"net/http"
	"sync"
	"time"
)

// minTimeout is the shortest time limit of a read or write.
const minTimeout = time.Millisecond

// Progress bounds the time that a peer may block the process in reads or writes: a grace
// period, plus time for each byte at a minimum rate. Time in which the process waits for
// something else does not count.
type Progress struct {
	grace       time.Duration
	rate        int64 // bytes per second
	transferred int64
	blocked     time.Duration
}

// NewProgress returns a time limit with a grace period and a rate in bytes per second.
func NewProgress(grace time.Duration, rate int64) *Progress {
	return &Progress{grace: grace, rate: rate}
}

// Stricter returns a new limit with a grace period that is shorter, and a rate that is
// higher, by a factor.
func (p *Progress) Stricter(factor int64) *Progress {
	return NewProgress(p.grace/time.Duration(factor), p.rate*factor)
}

// Next returns the time limit of the next read, or of the next write of n bytes.
func (p *Progress) Next(n int) time.Duration {
	left := p.grace + p.timeFor(p.transferred) - p.blocked
	return max(minTimeout, min(p.grace, left)+p.timeFor(int64(n)))
}

func (p *Progress) timeFor(bytes int64) time.Duration {
	return time.Duration(float64(bytes) / float64(p.rate) * float64(time.Second))
}

// Record counts n bytes that were transferred in a time.
func (p *Progress) Record(n int, took time.Duration) {
	p.transferred += int64(n)
	p.blocked += took
}

// Body reads the body of a request under read deadlines.
type Body struct {
	body       io.ReadCloser
	controller *http.ResponseController
	progress   *Progress
	onEnd      func() // called once when the whole body has been read; may be nil

	mu      sync.Mutex
	stopped bool
	cut     bool
}

// LimitBodyTime sets the first read deadline of a request that has a body, and replaces the
// body by a *Body. The deadline also applies if the body is never read, as net/http reads
// the rest of it after the response. The handler calls stop before it returns.
func LimitBodyTime(w http.ResponseWriter, r *http.Request, p *Progress) (stop func()) {
	if !hasBody(r) {
		return func() {}
	}
	b := limitBody(w, r, p, nil)
	return b.stop
}

func hasBody(r *http.Request) bool { return r.Body != nil && r.ContentLength != 0 }

func limitBody(w http.ResponseWriter, r *http.Request, p *Progress, onEnd func()) *Body {
	b := &Body{body: r.Body, controller: http.NewResponseController(w), progress: p, onEnd: onEnd}
	b.setDeadline(time.Now().Add(p.Next(0)))
	r.Body = b
	return b
}

// UseStricter makes the limit of the rest of the body stricter by a factor.
func (b *Body) UseStricter(factor int64) { b.progress = b.progress.Stricter(factor) }

// stop prevents further changes of the connection's read deadline. The transport may read
// the body after the handler has returned, when the connection already serves the next
// request.
func (b *Body) stop() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stopped = true
}

// cutOff ends a read of the body that is in progress, and all later ones.
func (b *Body) cutOff() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.stopped {
		b.cut = true
		_ = b.controller.SetReadDeadline(time.Unix(1, 0))
	}
}

func (b *Body) wasCutOff() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.cut
}

// abandon ends the reading of a body that is refused, so that net/http does not wait for the
// rest of it.
func (b *Body) abandon() {
	b.cutOff()
	b.stop()
}

func (b *Body) setDeadline(at time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.stopped && !b.cut {
		_ = b.controller.SetReadDeadline(at)
	}
}

// Read implements io.Reader. At the end of the body the deadline is removed, as net/http
// then reads from the connection to detect that the peer has disconnected.
func (b *Body) Read(p []byte) (int, error) {
	began := time.Now()
	b.setDeadline(began.Add(b.progress.Next(0)))
	n, err := b.body.Read(p)
	b.progress.Record(n, time.Since(began))
	if err == io.EOF {
		b.setDeadline(time.Time{})
		if b.onEnd != nil {
			b.onEnd()
			b.onEnd = nil
		}
	}
	return n, err
}

// Close implements io.Closer.
func (b *Body) Close() error { return b.body.Close() }
