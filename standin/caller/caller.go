// Package caller is an open-loop load generator for tests: requests arrive at
// times drawn from a seeded source whether or not earlier ones were answered.
// Each answer is checked to belong to its request.
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

// Outcome is what a caller learned about one request.
type Outcome string

// Outcomes in addition to those of problem documents.
const (
	Answered Outcome = "answered"
	Broken   Outcome = "broken"  // the connection failed or the answer was cut off
	Foreign  Outcome = "foreign" // the answer belongs to another request
)

// Kind is one kind of request of the load.
type Kind struct {
	Method     string
	Path       string  // with the /s/{service} prefix
	Weight     float64 // share of the load
	DeadlineMs int     // 0: no header
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
	// MaxInFlight bounds memory and sockets; arrivals beyond it are counted as skipped.
	MaxInFlight int
	Timeout     time.Duration
	// Stop ends the arrivals early; requests in flight are finished. Optional.
	Stop <-chan struct{}
}

// Record is one request and its outcome.
type Record struct {
	ID      string
	Key     string // empty for idempotent methods
	Kind    int    // index in Options.Kinds
	Start   time.Duration
	Elapsed time.Duration
	Status  int
	Outcome Outcome
	Detail  string
}

// Result is what a run saw.
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
	maxLatencyMicros = int64(10 * time.Minute / time.Microsecond)
	digits           = 3
)

// Run sends the load and waits for every outcome, or until ctx ends.
func Run(ctx context.Context, o Options) *Result {
	if o.MaxInFlight <= 0 {
		o.MaxInFlight = 256
	}
	if o.Callers <= 0 {
		o.Callers = 1
	}
	transport := &http.Transport{MaxIdleConnsPerHost: o.MaxInFlight}
	g := &generator{
		o:      o,
		random: rand.New(rand.NewPCG(o.Seed, o.Seed)),
		client: &http.Client{Transport: transport, Timeout: o.Timeout},
		start:  time.Now(),
		result: &Result{},
	}
	for range o.Kinds {
		g.result.Latencies = append(g.result.Latencies, hdrhistogram.New(1, maxLatencyMicros, digits))
	}
	g.run(ctx)
	transport.CloseIdleConnections()
	return g.result
}

type generator struct {
	o      Options
	random *rand.Rand
	client *http.Client
	start  time.Time

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
	free := make(chan struct{}, g.o.MaxInFlight)
	at := time.Duration(0)
	for n := range g.o.Requests {
		at += time.Duration(g.random.ExpFloat64() / g.o.PerSecond * float64(time.Second))
		r := g.draw(n)
		if !g.wait(ctx, at-time.Since(g.start)) {
			break
		}
		select {
		case free <- struct{}{}:
		default:
			g.result.Skipped++
			continue
		}
		wg.Go(func() {
			defer func() { <-free }()
			g.send(ctx, r)
		})
	}
	wg.Wait()
}

// wait returns false when the arrivals are to end.
func (g *generator) wait(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-g.o.Stop:
		return false
	case <-t.C:
		return true
	}
}

func (g *generator) draw(n int) request {
	kind := g.kind()
	k := g.o.Kinds[kind]
	id := fmt.Sprintf("%d-%d-%x", g.o.Seed, n, g.random.Uint64())
	r := request{
		record: Record{ID: id, Kind: kind},
		caller: fmt.Sprintf("caller-%d", g.random.IntN(g.o.Callers)),
		body:   id + strings.Repeat(".", max(0, k.BodyBytes-len(id))),
	}
	if k.Method == http.MethodPost || k.Method == http.MethodPatch {
		r.record.Key = uuid.Must(uuid.NewV7()).String()
	}
	return r
}

func (g *generator) kind() int {
	total := 0.0
	for _, k := range g.o.Kinds {
		total += k.Weight
	}
	x := g.random.Float64() * total
	for i, k := range g.o.Kinds {
		if x -= k.Weight; x < 0 {
			return i
		}
	}
	return len(g.o.Kinds) - 1
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
	k := g.o.Kinds[r.record.Kind]
	req, err := http.NewRequestWithContext(ctx, k.Method, g.o.URL+k.Path, strings.NewReader(r.body))
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
		req.GetBody = nil // the generator's own transport must not send it twice
	}
	resp, err := g.client.Do(req)
	if err != nil {
		r.record.Outcome, r.record.Detail = Broken, err.Error()
		return
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	r.record.Status = resp.StatusCode
	r.record.Outcome, r.record.Detail = judge(r, resp, body, err)
}

func judge(r *request, resp *http.Response, body []byte, err error) (Outcome, string) {
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
		return Foreign, fmt.Sprintf("the answer is for %q with %d bytes", resp.Header.Get("X-Request"), len(body))
	}
	return Answered, ""
}
