// Package caller is an open-loop load generator for tests and the demo: it sends requests at
// times drawn from a seeded random source, whether or not earlier ones have been
// answered, and checks that each response belongs to its request.
package caller

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/google/uuid"
)

// Outcome is the outcome of a request as its caller observed it.
type Outcome string

// Outcomes in addition to those in the problem documents of an entry.
const (
	Answered   Outcome = "answered"
	Broken     Outcome = "broken"  // the connection failed or the response was truncated
	Mismatched Outcome = "foreign" // the response belongs to another request
)

// Kind is one kind of request of the load.
type Kind struct {
	Method     string
	Path       string  // with the /s/{service} prefix
	Weight     float64 // share of the load
	DeadlineMs int     // 0: no Request-Deadline-Ms header
	BodyBytes  int
}

// Options configure a run.
type Options struct {
	URL       string // scheme, host and port of the entry
	Seed      uint64
	PerSecond float64
	Requests  int
	Callers   int // distinct Caller-Id values
	Kinds     []Kind
	// MaxInFlight limits the concurrent requests, and with them memory and sockets.
	// Requests beyond it are not sent and counted as skipped.
	MaxInFlight int
	Timeout     time.Duration
	// Stop ends the sending early when it is closed; requests in flight are completed.
	// Optional.
	Stop <-chan struct{}
}

// Record is one request and its outcome.
type Record struct {
	ID      string
	Key     string // idempotency key; empty for idempotent methods
	Kind    int    // index in Options.Kinds
	Start   time.Duration
	Elapsed time.Duration
	Status  int
	Outcome Outcome
	Detail  string
}

// Result holds the records and latencies of a run.
type Result struct {
	Records   []Record
	Skipped   int
	Latencies []*hdrhistogram.Histogram // of answered requests, microseconds, by kind
}

// Count returns the number of records with an outcome.
func (r *Result) Count(o Outcome) int {
	n := 0
	for _, rec := range r.Records {
		if rec.Outcome == o {
			n++
		}
	}
	return n
}

const (
	maxLatencyMicros  = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
)

// Run sends the load and waits for the outcome of every request. When ctx ends, it
// sends no more and cancels the requests in flight.
func Run(ctx context.Context, o Options) *Result {
	if o.MaxInFlight <= 0 {
		o.MaxInFlight = 256
	}
	if o.Callers <= 0 {
		o.Callers = 1
	}
	transport := &http.Transport{MaxIdleConnsPerHost: o.MaxInFlight}
	g := &generator{
		options: o,
		rng:     rand.New(rand.NewPCG(o.Seed, o.Seed)),
		client:  &http.Client{Transport: transport, Timeout: o.Timeout},
		start:   time.Now(),
		result:  &Result{},
	}
	for range o.Kinds {
		g.result.Latencies = append(g.result.Latencies, hdrhistogram.New(1, maxLatencyMicros, significantDigits))
	}
	g.run(ctx)
	transport.CloseIdleConnections()
	return g.result
}

type generator struct {
	options Options
	rng     *rand.Rand
	client  *http.Client
	start   time.Time

	mu     sync.Mutex
	result *Result
}

type request struct {
	record Record
	caller string
	body   string
}

func (g *generator) run(ctx context.Context) {
	var wg sync.WaitGroup
	inFlight := make(chan struct{}, g.options.MaxInFlight)
	arrival := time.Duration(0)
	for n := range g.options.Requests {
		arrival += time.Duration(g.rng.ExpFloat64() / g.options.PerSecond * float64(time.Second))
		r := g.drawRequest(n)
		if !g.wait(ctx, arrival-time.Since(g.start)) {
			break
		}
		select {
		case inFlight <- struct{}{}:
		default:
			g.result.Skipped++
			continue
		}
		wg.Go(func() {
			defer func() { <-inFlight }()
			g.send(ctx, r)
		})
	}
	wg.Wait()
}

// wait sleeps for d. It returns false if the sending is to end.
func (g *generator) wait(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-g.options.Stop:
		return false
	case <-t.C:
		return true
	}
}

func (g *generator) drawRequest(n int) request {
	kind := g.drawKind()
	k := g.options.Kinds[kind]
	id := fmt.Sprintf("%d-%d-%x", g.options.Seed, n, g.rng.Uint64())
	r := request{
		record: Record{ID: id, Kind: kind},
		caller: fmt.Sprintf("caller-%d", g.rng.IntN(g.options.Callers)),
		body:   id + strings.Repeat(".", max(0, k.BodyBytes-len(id))),
	}
	if k.Method == http.MethodPost || k.Method == http.MethodPatch {
		r.record.Key = uuid.Must(uuid.NewV7()).String()
	}
	return r
}

func (g *generator) drawKind() int {
	total := 0.0
	for _, k := range g.options.Kinds {
		total += k.Weight
	}
	x := g.rng.Float64() * total
	for i, k := range g.options.Kinds {
		if x -= k.Weight; x < 0 {
			return i
		}
	}
	return len(g.options.Kinds) - 1
}

func (g *generator) send(ctx context.Context, r request) {
	r.record.Start = time.Since(g.start)
	g.exchange(ctx, &r)
	r.record.Elapsed = time.Since(g.start) - r.record.Start
	g.mu.Lock()
	defer g.mu.Unlock()
	g.result.Records = append(g.result.Records, r.record)
	if r.record.Outcome == Answered {
		_ = g.result.Latencies[r.record.Kind].RecordValue(max(1, r.record.Elapsed.Microseconds()))
	}
}

func (g *generator) exchange(ctx context.Context, r *request) {
	k := g.options.Kinds[r.record.Kind]
	req, err := http.NewRequestWithContext(ctx, k.Method, g.options.URL+k.Path, strings.NewReader(r.body))
	if err != nil {
		r.record.Outcome, r.record.Detail = Broken, err.Error()
		return
	}
	req.Header.Set("X-Request", r.record.ID)
	req.Header.Set("Caller-Id", r.caller)
	if k.DeadlineMs > 0 {
		req.Header.Set("Request-Deadline-Ms", fmt.Sprint(k.DeadlineMs))
	}
	if r.record.Key != "" {
		req.Header.Set("Idempotency-Key", r.record.Key)
		req.GetBody = nil // prevents the transport from sending the request twice on its own
	}
	resp, err := g.client.Do(req)
	if err != nil {
		r.record.Outcome, r.record.Detail = Broken, err.Error()
		return
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	r.record.Status = resp.StatusCode
	r.record.Outcome, r.record.Detail = classify(r, resp, body, err)
}

func classify(r *request, resp *http.Response, body []byte, err error) (Outcome, string) {
	if err != nil {
		return Broken, err.Error()
	}
	if resp.Header.Get("Content-Type") == "application/problem+json" {
		var p struct {
			Outcome Outcome `json:"outcome"`
			Detail  string  `json:"detail"`
		}
		if err := json.Unmarshal(body, &p); err != nil {
			return Broken, err.Error()
		}
		return p.Outcome, p.Detail
	}
	if resp.Header.Get("X-Request") != r.record.ID || string(body) != r.body {
		return Mismatched, fmt.Sprintf("the response is for request %q and has %d bytes", resp.Header.Get("X-Request"), len(body))
	}
	return Answered, ""
}
