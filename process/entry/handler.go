package entry

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"marjoramtiller.example/marjoramtiller/connection/inbound"
	"marjoramtiller.example/marjoramtiller/request/ledgerpb"
	"marjoramtiller.example/marjoramtiller/request/outcome"
	"marjoramtiller.example/marjoramtiller/request/queue"
	"marjoramtiller.example/marjoramtiller/version/fleetpb"
)

// Paths that the entry handles itself. All others belong to services.
const (
	healthPath    = "/healthz"
	outcomesPath  = "/outcomes/"
	servicePrefix = "/s/"
)

// Request header fields of callers and their limits.
const (
	keyHeader      = "Idempotency-Key"
	callerHeader   = "Caller-Id"
	deadlineHeader = "Request-Deadline-Ms"
	maxCallerBytes = 128
)

// maxDeadline bounds Request-Deadline-Ms.
const maxDeadline = 24 * time.Hour

// defaultQueueTime bounds the wait of a request without a deadline.
const defaultQueueTime = time.Minute

// callerRequest is one caller's request.
type callerRequest struct {
	service     string
	path        string // escaped, without the service prefix
	query       string
	idempotent  bool
	arrived     time.Duration
	deadline    time.Duration // 0: none
	queued      queue.Request
	body        []byte          // if buffered in memory
	stream      *countingReader // if streamed
	record      *record         // non-idempotent only
	attempts    int
	mayHaveRun  bool  // an attempt was written
	begun       bool  // the ledger allowed this submission to run
	heldBytes   int64 // bytes of the memory pool
	countedOpen bool  // counted in Entry.openRequests
}

func (e *Entry) serve(w http.ResponseWriter, r *http.Request) {
	e.handling.Add(1)
	defer e.handling.Done()
	cw := e.newCallerWriter(w)
	w = cw
	defer inbound.LimitBodyTime(cw.ResponseWriter, r, e.newProgress())()
	switch {
	case r.URL.Path == healthPath:
		e.serveHealth(w)
	case strings.HasPrefix(r.URL.Path, outcomesPath) && r.Method == http.MethodGet:
		e.serveOutcome(w, r)
	default:
		e.serveRequest(cw, r)
	}
}

// Health returns nil while the load balancer may send callers to this entry.
func (e *Entry) Health() error {
	if !e.healthy() {
		return errors.New("entry: not serving callers: it is shutting down, has no configuration lease or first slot grant, or an invariant is violated; see its state dump")
	}
	return nil
}

func (e *Entry) serveHealth(w http.ResponseWriter) {
	w.Header().Set("Cache-Control", "no-store")
	if !e.healthy() {
		http.Error(w, "not serving", http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ok\n")
}

// finishedOutcome is the response to a query for a key whose request has run.
type finishedOutcome struct {
	Key         string `json:"key"`
	Outcome     string `json:"outcome"`
	Status      uint32 `json:"status"`
	BodyOmitted bool   `json:"body_omitted"`
}

func (e *Entry) serveOutcome(w http.ResponseWriter, r *http.Request) {
	key, err := e.options.CheckKey(strings.TrimPrefix(r.URL.Path, outcomesPath))
	if err != nil {
		outcome.New(outcome.CauseInvalidKey, err.Error()).Write(w)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), e.options.BeginWait)
	defer cancel()
	res, err := e.callLedger(ctx, key, &ledgerpb.Command{Body: &ledgerpb.Command_Query{Query: &ledgerpb.Query{Key: key}}})
	if err != nil {
		e.metrics.ledgerFailures.Add(1)
		// The request itself may have run, so the outcome is not reported as
		// not-run.
		o := outcome.New(outcome.CauseServerFailed, "the ledger cannot be reached").WithRetryAfter(unavailableRetry)
		o.Remedy = "Query the outcome again after the time in Retry-After."
		o.Write(w)
		return
	}
	if res.GetKind() != ledgerpb.Result_KIND_FINISHED {
		outcomeOf(res).Write(w)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	_ = json.NewEncoder(w).Encode(finishedOutcome{Key: key, Outcome: "finished", Status: res.GetAnswer().GetStatus(), BodyOmitted: res.GetAnswer().GetBodyOmitted()})
}

func (e *Entry) serveRequest(w *callerWriter, r *http.Request) {
	c, oerr := e.parse(r)
	service := ""
	if c != nil {
		service = c.service
		defer e.releaseLimits(c)
	}
	if oerr == nil {
		oerr = e.forwardRequest(w, r, c)
	}
	if oerr != nil {
		oerr = e.checkKeyRecord(r, c, oerr)
		e.metrics.countRequest(service, string(oerr.Kind))
		oerr.Write(w)
		return
	}
	e.metrics.countRequest(service, labelAnswered)
}

// parse reads and validates a request before it is queued.
func (e *Entry) parse(r *http.Request) (*callerRequest, *outcome.Error) {
	if e.broken.Load() {
		return nil, outcome.New(outcome.CauseUnavailable, "this entry accepts no requests because an invariant is violated").WithRetryAfter(unavailableRetry)
	}
	service, path := e.serviceAndPath(r)
	e.mu.Lock()
	now := e.now()
	valid := e.mayServe(now)
	pool := e.pools[service]
	opened := valid && pool != nil && e.openRequests.Reserve(service, 1)
	e.mu.Unlock()
	if !valid {
		var c *callerRequest
		if pool != nil {
			c = &callerRequest{service: service}
		}
		return c, outcome.New(outcome.CauseUnavailable, "this entry has no valid configuration lease").WithRetryAfter(unavailableRetry)
	}
	if pool == nil {
		return nil, outcome.New(outcome.CauseUnknownService, "neither the Host header nor the path names a configured service")
	}
	if !opened {
		return &callerRequest{service: service}, outcome.New(outcome.CauseQueueFull, "the limit of open requests of the service is reached").WithRetryAfter(unavailableRetry)
	}
	c := &callerRequest{service: service, countedOpen: true, path: path, query: r.URL.RawQuery, idempotent: outcome.Idempotent(r.Method), arrived: now}
	if err := c.setDeadline(r.Header.Get(deadlineHeader), e.defaultDeadline(pool)); err != nil {
		return c, err
	}
	c.queued = queue.Request{Service: service, Caller: callerID(r), Route: queueRoute(r.Method, path), Deadline: c.queueDeadline(pool.GetMayWait())}
	if c.idempotent {
		return c, e.readIdempotent(r, c)
	}
	return c, e.readNonIdempotent(r, c)
}

// serviceAndPath returns the service of a request, from the path prefix or the
// Host header, and the path for its backend servers.
func (e *Entry) serviceAndPath(r *http.Request) (service, path string) {
	path = r.URL.EscapedPath()
	if rest, ok := strings.CutPrefix(path, servicePrefix); ok {
		name, rest, _ := strings.Cut(rest, "/")
		return name, "/" + rest
	}
	if path == "" || path[0] != '/' {
		path = "/" + path
	}
	host := strings.ToLower(r.Host)
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	label, _, _ := strings.Cut(host, ".")
	return label, path
}

// defaultDeadline returns the time limit of a request that sends none. The
// default of the settings does not apply to a pool whose work may wait: such
// work would be rejected before its turn.
func (e *Entry) defaultDeadline(p *fleetpb.Pool) time.Duration {
	switch {
	case p.GetDefaultDeadlineMs() > 0:
		return time.Duration(p.GetDefaultDeadlineMs()) * time.Millisecond
	case p.GetMayWait():
		return 0
	}
	return e.options.DefaultDeadline
}

func (c *callerRequest) setDeadline(header string, d time.Duration) *outcome.Error {
	if header != "" {
		n, err := strconv.ParseInt(header, 10, 64)
		if err != nil || n <= 0 || n > maxDeadline.Milliseconds() {
			return outcome.New(outcome.CauseInvalidRequest, deadlineHeader+" must be a whole number of milliseconds from 1 to one day")
		}
		d = time.Duration(n) * time.Millisecond
	}
	if d > 0 {
		c.deadline = c.arrived + d
	}
	return nil
}

// queueDeadline bounds the time in the queue also for requests without a
// deadline. Otherwise they would wait without end after the last backend server
// is lost.
func (c *callerRequest) queueDeadline(mayWait bool) time.Duration {
	switch {
	case c.deadline > 0:
		return c.deadline
	case mayWait:
		return c.arrived + maxDeadline
	}
	return c.arrived + defaultQueueTime
}

// fingerprint hashes the parts with their lengths, so that two different
// requests never hash the same sequence of bytes.
func fingerprint(service, method, path string, body []byte) []byte {
	h := sha256.New()
	var size [8]byte
	for _, part := range [][]byte{[]byte(service), []byte(method), []byte(path), body} {
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		h.Write(size[:])
		h.Write(part)
	}
	return h.Sum(nil)
}

// callerID identifies a caller for fair queueing.
func callerID(r *http.Request) string {
	if id := r.Header.Get(callerHeader); id != "" {
		return id[:min(len(id), maxCallerBytes)]
	}
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}

// queueRoute returns the route under which the queue learns run times: the
// method and the first two path segments.
func queueRoute(method, path string) string {
	rest := strings.TrimPrefix(path, "/")
	first, rest, _ := strings.Cut(rest, "/")
	second, _, _ := strings.Cut(rest, "/")
	return method + " /" + first + "/" + second
}

// countingReader counts the bytes read from a streamed body. After the first
// byte the request cannot be sent again.
type countingReader struct {
	reader io.Reader
	count  atomic.Int64
}

// Read implements io.Reader.
func (c *countingReader) Read(p []byte) (int, error) {
	n, err := c.reader.Read(p)
	c.count.Add(int64(n))
	return n, err
}

func (c *callerRequest) bodyReader() (io.Reader, int64) {
	switch {
	case c.stream != nil:
		return c.stream, -1
	case len(c.body) > 0:
		return bytes.NewReader(c.body), int64(len(c.body))
	}
	return nil, 0
}

var errBodyTruncated = errors.New("the backend server's response is incomplete")
