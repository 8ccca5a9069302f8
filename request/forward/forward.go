// Package forward carries one request to a chosen backend server over
// net/http's transport. It reports exactly whether any byte of the request
// was written, never lets the transport send a request a second time, and
// never passes on an incomplete response as a complete one.
package forward

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// Defaults of unset options.
const (
	defaultMaxHeaderBytes = 64 << 10
	defaultDialTimeout    = time.Second
	defaultConnections    = 10
	idleConnTimeout       = 30 * time.Second
)

// Options configure a Target.
type Options struct {
	Address        string // IP:port
	Connections    int    // most connections at once
	DialTimeout    time.Duration
	MaxHeaderBytes int64 // of a response
}

// Target is one backend server. It is safe for concurrent use.
type Target struct {
	address   string
	transport *http.Transport
}

// NewTarget returns a target that dials on demand.
func NewTarget(o Options) *Target {
	if o.Connections <= 0 {
		o.Connections = defaultConnections
	}
	if o.DialTimeout <= 0 {
		o.DialTimeout = defaultDialTimeout
	}
	if o.MaxHeaderBytes <= 0 {
		o.MaxHeaderBytes = defaultMaxHeaderBytes
	}
	return &Target{
		address: o.Address,
		transport: &http.Transport{
			DialContext:            dialer(&net.Dialer{Timeout: o.DialTimeout}),
			MaxConnsPerHost:        o.Connections,
			MaxIdleConnsPerHost:    o.Connections,
			IdleConnTimeout:        idleConnTimeout,
			DisableCompression:     true, // the answer is passed on as it is
			MaxResponseHeaderBytes: o.MaxHeaderBytes,
		},
	}
}

// CloseIdle closes the connections that carry no request.
func (t *Target) CloseIdle() { t.transport.CloseIdleConnections() }

// Request is one attempt at a caller's request.
type Request struct {
	Method        string
	Path          string // escaped path, with a leading slash
	RawQuery      string
	Host          string
	Header        http.Header // the caller's; not modified
	Body          io.Reader   // nil: none
	ContentLength int64       // -1: unknown
	// Timeout bounds the attempt from its start to the end of the response body.
	// 0: no bound.
	Timeout time.Duration
	// Allowed is called immediately before the first byte is written.
	Allowed func() bool
}

// Response is the head of a backend server's answer. The caller of Do must
// close Body. A body that ends early returns an error other than io.EOF.
type Response struct {
	Status        int
	Header        http.Header
	Body          io.ReadCloser
	ContentLength int64 // -1: unknown
	Leaving       bool  // the backend server sent Connection: close
}

// FailureKind tells why there is no response.
type FailureKind int

// Kinds of failures.
const (
	DialFailed   FailureKind = iota + 1 // no connection
	NotAllowed                          // the lease check failed; nothing was written
	Broken                              // the connection broke, or the response is not valid
	TimedOut                            // no answer in time
	CallerGone                          // the caller's context ended
	BodyFailed                          // the caller's body could not be read to its end
	InvalidReply                        // the end of the response cannot be told from a broken connection
)

// Failure is returned when no response was received.
type Failure struct {
	Kind    FailureKind
	Written bool // false: no byte of the request was written, so it was not run
	Err     error
}

// Error implements error.
func (f *Failure) Error() string {
	return "forward: " + f.Err.Error() + " (written: " + strconv.FormatBool(f.Written) + ")"
}

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Err }

// body can be read once. Its type is unknown to net/http and it sets no
// GetBody, so the transport can never send a request a second time. Without
// it the transport replays a request that carries Idempotency-Key, or that
// has no body and an idempotent method, when a reused connection is closed.
type body struct {
	r      io.Reader
	failed atomic.Bool // an error other than io.EOF
}

func (b *body) Read(p []byte) (int, error) {
	if b.r == nil {
		return 0, io.EOF
	}
	n, err := b.r.Read(p)
	if err != nil && err != io.EOF {
		b.failed.Store(true)
	}
	return n, err
}

// Close implements io.Closer. The body belongs to the caller of Do.
func (b *body) Close() error { return nil }

// Do sends the request and waits for the head of the response. When ctx ends
// or the time-out passes, the connection is closed, so that a late answer
// cannot reach another request.
func (t *Target) Do(ctx context.Context, r Request) (*Response, *Failure) {
	a := &attempt{allowed: r.Allowed}
	timeout := &timer{}
	ctx, cancel := context.WithCancelCause(ctx)
	if r.Timeout > 0 {
		timeout.t = time.AfterFunc(r.Timeout, func() { cancel(context.DeadlineExceeded) })
	}
	b := &body{r: r.Body}
	req := t.build(ctx, r, b, a)
	resp, err := t.transport.RoundTrip(req)
	if err == nil {
		err = complete(resp, r.Method)
		if err != nil {
			cancel(err)
			_ = resp.Body.Close()
		}
	}
	if err != nil {
		timeout.stop()
		cause := context.Cause(ctx)
		cancel(err)
		return nil, a.failure(err, cause, b.failed.Load())
	}
	header := resp.Header
	removeHopByHop(header)
	return &Response{
		Status:        resp.StatusCode,
		Header:        header,
		Body:          &responseBody{rc: resp.Body, timeout: timeout, cancel: cancel},
		ContentLength: resp.ContentLength,
		Leaving:       resp.Close,
	}, nil
}

func (t *Target) build(ctx context.Context, r Request, b *body, a *attempt) *http.Request {
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*conn); ok {
			c.assign(a)
		}
	}}
	u := &url.URL{Scheme: "http", Host: t.address, RawQuery: r.RawQuery}
	u.Path, u.RawPath = r.Path, r.Path
	if p, err := url.PathUnescape(r.Path); err == nil {
		u.Path = p
	}
	req := &http.Request{
		Method:        r.Method,
		URL:           u,
		Host:          r.Host,
		Header:        r.Header.Clone(),
		Body:          b,
		ContentLength: r.ContentLength,
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
	}
	if req.Header == nil {
		req.Header = make(http.Header)
	}
	removeHopByHop(req.Header)
	req.Header.Del("Expect")
	req.Header.Add("Via", "1.1 marjoramtiller")
	if _, ok := req.Header["User-Agent"]; !ok {
		req.Header.Set("User-Agent", "") // net/http would add its own
	}
	return req.WithContext(httptrace.WithClientTrace(ctx, trace))
}

// complete refuses a response whose end is marked only by the end of the
// connection, as a truncated one would look the same, and a protocol switch.
func complete(resp *http.Response, method string) error {
	if resp.StatusCode == http.StatusSwitchingProtocols {
		return errors.New("the backend server switched protocols without being asked")
	}
	bodiless := method == http.MethodHead || resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified
	if !bodiless && resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return errUnbounded
	}
	return nil
}

var errUnbounded = errors.New("the response has neither Content-Length nor chunked encoding; set one of them at the backend server")

func (a *attempt) failure(err, cause error, bodyFailed bool) *Failure {
	written, refused := a.end()
	f := &Failure{Kind: Broken, Written: written, Err: err}
	var op *net.OpError
	switch {
	case refused:
		f.Kind = NotAllowed
		f.Err = ErrNotAllowed
	case errors.Is(cause, context.DeadlineExceeded):
		f.Kind = TimedOut
	case cause != nil && !errors.Is(cause, err):
		f.Kind = CallerGone
	case bodyFailed:
		f.Kind = BodyFailed
	case errors.Is(err, errUnbounded):
		f.Kind = InvalidReply
	case errors.As(err, &op) && op.Op == "dial":
		f.Kind = DialFailed
	}
	return f
}

type timer struct{ t *time.Timer }

func (t *timer) stop() {
	if t.t != nil {
		t.t.Stop()
	}
}

// responseBody keeps the time-out and the context until the body is closed.
type responseBody struct {
	rc      io.ReadCloser
	timeout *timer
	cancel  context.CancelCauseFunc
}

func (b *responseBody) Read(p []byte) (int, error) { return b.rc.Read(p) }

// Close implements io.Closer. A body that was not read to its end closes the connection.
func (b *responseBody) Close() error {
	err := b.rc.Close()
	b.timeout.stop()
	b.cancel(errEnded)
	return err
}

// hopByHop are the header fields that a proxy consumes (RFC 9110 section
// 7.6.1), and Trailer, as trailers are not passed on.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Proxy-Authenticate", "Proxy-Authorization",
}

// removeHopByHop also removes the fields that Connection names. In a response
// that names them together with "close", net/http has removed Connection
// before it can be read, so such fields are passed on.
func removeHopByHop(h http.Header) {
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			if name = textproto.TrimString(name); name != "" && !framing(name) {
				h.Del(name)
			}
		}
	}
	for _, name := range hopByHop {
		h.Del(name)
	}
}

// framing fields stay even if Connection names them; removing them would
// change where the message ends or to whom it belongs.
func framing(name string) bool {
	return strings.EqualFold(name, "Content-Length") || strings.EqualFold(name, "Host")
}

const copyBytes = 32 << 10

// CopyTo writes the response to a caller and closes its body. If the body
// ends early or the caller is gone it returns an error; the handler must then
// panic with http.ErrAbortHandler so that the caller sees a broken connection
// rather than a short answer. prefix is a part of the body read before.
func (r *Response) CopyTo(w http.ResponseWriter, prefix []byte) error {
	defer r.Body.Close()
	r.head(w)
	total := int64(len(prefix))
	if _, err := w.Write(prefix); err != nil && len(prefix) > 0 {
		return errors.Wrap(err, "write to the caller")
	}
	flush := http.NewResponseController(w)
	buf := make([]byte, copyBytes)
	for {
		n, err := r.Body.Read(buf)
		total += int64(n)
		if n > 0 {
			if _, werr := w.Write(buf[:n]); werr != nil {
				return errors.Wrap(werr, "write to the caller")
			}
			if r.ContentLength < 0 {
				_ = flush.Flush() // a streamed answer reaches the caller as it comes
			}
		}
		if err == io.EOF {
			return r.checkLength(total)
		}
		if err != nil {
			return errors.Wrap(err, "read from the backend server")
		}
	}
}

func (r *Response) checkLength(total int64) error {
	if r.ContentLength >= 0 && total != r.ContentLength && total > 0 {
		return errors.Errorf("the response has %d bytes, its Content-Length is %d", total, r.ContentLength)
	}
	return nil
}
