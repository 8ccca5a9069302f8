// Package forward sends one request to a chosen backend server with the
// transport of net/http. It reports whether any byte of the request was
// written, prevents the transport from sending a request a second time, and
// returns an error for an incomplete response.
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
	Connections    int    // maximum of open connections
	DialTimeout    time.Duration
	MaxHeaderBytes int64 // of a response's headers
}

// Target sends requests to one backend server. It is safe for concurrent use.
type Target struct {
	address   string
	transport *http.Transport
}

// NewTarget returns a target that dials on demand.
func NewTarget(options Options) *Target {
	if options.Connections <= 0 {
		options.Connections = defaultConnections
	}
	if options.DialTimeout <= 0 {
		options.DialTimeout = defaultDialTimeout
	}
	if options.MaxHeaderBytes <= 0 {
		options.MaxHeaderBytes = defaultMaxHeaderBytes
	}
	return &Target{
		address: options.Address,
		transport: &http.Transport{
			DialContext:            dialFunc(&net.Dialer{Timeout: options.DialTimeout}),
			MaxConnsPerHost:        options.Connections,
			MaxIdleConnsPerHost:    options.Connections,
			IdleConnTimeout:        idleConnTimeout,
			DisableCompression:     true, // the response is forwarded unchanged
			MaxResponseHeaderBytes: options.MaxHeaderBytes,
		},
	}
}

// CloseIdle closes the connections that have no request in flight.
func (t *Target) CloseIdle() { t.transport.CloseIdleConnections() }

// Request describes one attempt to send a caller's request.
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

// Response is the status and the headers of a backend server's response, with a
// body that is still to be read. The caller of Do must close Body. A body that
// ends early returns an error other than io.EOF.
type Response struct {
	Status        int
	Header        http.Header
	Body          io.ReadCloser
	ContentLength int64 // -1: unknown
	Leaving       bool  // the backend server sent Connection: close
}

// FailureKind is the reason why there is no response.
type FailureKind int

// Kinds of failures.
const (
	DialFailed   FailureKind = iota + 1 // no connection could be established
	NotAllowed                          // the lease check failed; nothing was written
	Broken                              // the connection broke, or the response is not valid
	TimedOut                            // no response within Request.Timeout
	CallerGone                          // the caller's context was cancelled
	BodyFailed                          // the caller's body could not be read to its end
	InvalidReply                        // the end of the response can't be distinguished from a broken connection
)

// Failure is returned when no response was received.
type Failure struct {
	Kind    FailureKind
	Written bool // false: no byte of the request was written, so it has not run
	Err     error
}

// Error implements error.
func (f *Failure) Error() string {
	return "forward: " + f.Err.Error() + " (written: " + strconv.FormatBool(f.Written) + ")"
}

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Err }

// body is a request body that can be read once. net/http does not recognize its
// type and the request has no GetBody, so the transport can't send the request a
// second time. Otherwise the transport replays a request that has an
// Idempotency-Key header, or that has no body and an idempotent method, when a
// reused connection is closed.
type body struct {
	reader io.Reader
	failed atomic.Bool // a read returned an error other than io.EOF
}

func (b *body) Read(p []byte) (int, error) {
	if b.reader == nil {
		return 0, io.EOF
	}
	n, err := b.reader.Read(p)
	if err != nil && err != io.EOF {
		b.failed.Store(true)
	}
	return n, err
}

// Close implements io.Closer. It does nothing: the caller of Do closes the body.
func (b *body) Close() error { return nil }

// Do sends the request and waits for the status and headers of the response.
// When ctx ends or the timeout passes, the connection is closed, so that a late
// response can't be read as the response to another request.
func (t *Target) Do(ctx context.Context, request Request) (*Response, *Failure) {
	current := &attempt{allowed: request.Allowed}
	timeout := &timer{}
	ctx, cancel := context.WithCancelCause(ctx)
	if request.Timeout > 0 {
		timeout.t = time.AfterFunc(request.Timeout, func() { cancel(context.DeadlineExceeded) })
	}
	requestBody := &body{reader: request.Body}
	req := t.build(ctx, request, requestBody, current)
	resp, err := t.transport.RoundTrip(req)
	if err == nil {
		err = checkResponseEnd(resp, request.Method)
		if err != nil {
			cancel(err)
			_ = resp.Body.Close()
		}
	}
	if err != nil {
		timeout.stop()
		cause := context.Cause(ctx)
		cancel(err)
		return nil, current.endFailed(err, cause, requestBody.failed.Load())
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

func (t *Target) build(ctx context.Context, request Request, requestBody *body, current *attempt) *http.Request {
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*conn); ok {
			c.assign(current)
		}
	}}
	requestURL := &url.URL{Scheme: "http", Host: t.address, RawQuery: request.RawQuery}
	requestURL.Path, requestURL.RawPath = request.Path, request.Path
	if path, err := url.PathUnescape(request.Path); err == nil {
		requestURL.Path = path
	}
	req := &http.Request{
		Method:        request.Method,
		URL:           requestURL,
		Host:          request.Host,
		Header:        request.Header.Clone(),
		Body:          requestBody,
		ContentLength: request.ContentLength,
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
		req.Header.Set("User-Agent", "") // otherwise net/http adds its own
	}
	return req.WithContext(httptrace.WithClientTrace(ctx, trace))
}

// checkResponseEnd returns an error for a response that ends only when the
// connection is closed, since a truncated response looks the same, and for a
// switch of protocols.
func checkResponseEnd(resp *http.Response, method string) error {
	if resp.StatusCode == http.StatusSwitchingProtocols {
		return errors.New("the backend server switched protocols, but the request has no Upgrade header")
	}
	bodiless := method == http.MethodHead || resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified
	if !bodiless && resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return errUnbounded
	}
	return nil
}

var errUnbounded = errors.New("the response has neither Content-Length nor chunked encoding; set one of them at the backend server")

// endFailed ends the attempt and classifies err. cause is the cause of the
// cancelled context, if any.
func (a *attempt) endFailed(err, cause error, bodyFailed bool) *Failure {
	written, refused := a.end()
	failure := &Failure{Kind: Broken, Written: written, Err: err}
	var opError *net.OpError
	switch {
	case refused:
		failure.Kind = NotAllowed
		failure.Err = ErrNotAllowed
	case errors.Is(cause, context.DeadlineExceeded):
		failure.Kind = TimedOut
	case cause != nil && !errors.Is(cause, err):
		failure.Kind = CallerGone
	case bodyFailed:
		failure.Kind = BodyFailed
	case errors.Is(err, errUnbounded):
		failure.Kind = InvalidReply
	case errors.As(err, &opError) && opError.Op == "dial":
		failure.Kind = DialFailed
	}
	return failure
}

type timer struct{ t *time.Timer }

func (t *timer) stop() {
	if t.t != nil {
		t.t.Stop()
	}
}

// responseBody stops the timeout and cancels the context when the body is closed.
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
	b.cancel(errAttemptEnded)
	return err
}

// hopByHopFields are the header fields that a proxy doesn't forward (RFC 9110
// section 7.6.1), and Trailer, since trailers are not forwarded.
var hopByHopFields = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Proxy-Authenticate", "Proxy-Authorization",
}

// removeHopByHop removes the hop-by-hop fields and the fields that the
// Connection header lists. If a response lists them together with "close",
// net/http has already removed the Connection header, so those fields are
// forwarded.
func removeHopByHop(h http.Header) {
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			if name = textproto.TrimString(name); name != "" && !isProtectedField(name) {
				h.Del(name)
			}
		}
	}
	for _, name := range hopByHopFields {
		h.Del(name)
	}
}

// isProtectedField reports whether a field is kept even if the Connection header
// lists it. Without Content-Length or Host, the end of the message or its
// destination would change.
func isProtectedField(name string) bool {
	return strings.EqualFold(name, "Content-Length") || strings.EqualFold(name, "Host")
}

const copyBufferBytes = 32 << 10

// CopyTo writes the response to the caller and closes its body. It returns an
// error if the body ends early or the caller has disconnected. The handler must
// then panic with http.ErrAbortHandler, so that the caller sees a broken
// connection and not a truncated response. prefix is the part of the body that
// was already read.
func (r *Response) CopyTo(w http.ResponseWriter, prefix []byte) error {
	defer r.Body.Close()
	r.writeHead(w)
	total := int64(len(prefix))
	if _, err := w.Write(prefix); err != nil && len(prefix) > 0 {
		return errors.Wrap(err, "write to the caller")
	}
	flush := http.NewResponseController(w)
	buf := make([]byte, copyBufferBytes)
	for {
		n, err := r.Body.Read(buf)
		total += int64(n)
		if n > 0 {
			if _, werr := w.Write(buf[:n]); werr != nil {
				return errors.Wrap(werr, "write to the caller")
			}
			if r.ContentLength < 0 {
				_ = flush.Flush() // don't delay a streamed response
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

// checkLength compares the length of the body with Content-Length. An empty body
// is valid, as in the response to a HEAD request.
func (r *Response) checkLength(total int64) error {
	if r.ContentLength >= 0 && total != r.ContentLength && total > 0 {
		return errors.Errorf("the response has %d bytes, its Content-Length is %d", total, r.ContentLength)
	}
	return nil
}
