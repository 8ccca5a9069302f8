package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"marjoramtiller.example/marjoramtiller/standin/caller"
)

// demoUser is one of the two sample deployments.
type demoUser struct {
	name      string
	seed      uint64
	zones     []string
	perSecond float64
	kinds     []caller.Kind
	hold      map[string]func(r *rand.Rand) time.Duration // by service
}

// holdAround returns a function that draws exponentially distributed hold times. One
// in a hundred is a straggler that takes ten times longer. No time exceeds 20
// times the mean.
func holdAround(mean time.Duration) func(r *rand.Rand) time.Duration {
	return func(r *rand.Rand) time.Duration {
		d := time.Duration(r.ExpFloat64() * float64(mean))
		if r.IntN(100) == 0 {
			d *= 10
		}
		return min(d, 20*mean)
	}
}

// The request rates keep the machine that runs the demo well below its capacity.
// Bursts of load are measured by the benchmarks in virtual time.
var demoUsers = []demoUser{
	{
		name: "savings", seed: 1, zones: []string{"ub-a", "ub-b", "ub-c"}, perSecond: 240,
		kinds: []caller.Kind{
			{Method: http.MethodGet, Path: "/s/accrual/balance", Weight: 6, DeadlineMs: 10_000},
			{Method: http.MethodPost, Path: "/s/ledger/postings", Weight: 3, DeadlineMs: 20_000, BodyBytes: 200},
			{Method: http.MethodPost, Path: "/s/correction/reversals", Weight: 1, DeadlineMs: 20_000, BodyBytes: 200},
			{Method: http.MethodGet, Path: "/s/statement/yearly", Weight: 1, DeadlineMs: 30_000},
		},
		hold: map[string]func(r *rand.Rand) time.Duration{
			"accrual":    holdAround(5 * time.Millisecond),
			"ledger":     holdAround(20 * time.Millisecond),
			"correction": holdAround(20 * time.Millisecond),
			"statement":  holdAround(150 * time.Millisecond),
		},
	},
	{
		name: "eventos", seed: 2, zones: []string{"sur-1", "sur-2", "sur-3", "sur-4"}, perSecond: 240,
		kinds: []caller.Kind{
			{Method: http.MethodPost, Path: "/s/booking/seats", Weight: 3, DeadlineMs: 20_000, BodyBytes: 200},
			{Method: http.MethodGet, Path: "/s/inquiry/hall", Weight: 6, DeadlineMs: 10_000},
			{Method: http.MethodGet, Path: "/s/badge/run", Weight: 1, DeadlineMs: 30_000},
			{Method: http.MethodGet, Path: "/s/waitlist/sweep", Weight: 1, DeadlineMs: 30_000},
		},
		hold: map[string]func(r *rand.Rand) time.Duration{
			"booking":  holdAround(20 * time.Millisecond),
			"inquiry":  holdAround(5 * time.Millisecond),
			"badge":    holdAround(150 * time.Millisecond),
			"waitlist": holdAround(100 * time.Millisecond),
		},
	},
}

// demoLoad generates the requests of the callers of one deployment, with one
// generator for each entry, as a load balancer would distribute them.
type demoLoad struct {
	stop    chan struct{}
	wg      sync.WaitGroup
	results []*caller.Result
}

func (d *deployment) startLoad(ctx context.Context) *demoLoad {
	entries := d.cluster.Callers()
	l := &demoLoad{stop: make(chan struct{}), results: make([]*caller.Result, len(entries))}
	rate := d.user.perSecond / float64(len(entries))
	for i, address := range entries {
		l.wg.Go(func() {
			l.results[i] = caller.Run(ctx, caller.Options{
				URL:         fmt.Sprintf("http://%s", address),
				Seed:        d.user.seed*100 + uint64(i),
				PerSecond:   rate,
				Requests:    int(rate * demoLimit.Seconds()),
				Callers:     20,
				Kinds:       d.user.kinds,
				MaxInFlight: 256,
				Timeout:     time.Minute,
				Stop:        l.stop,
			})
		})
	}
	d.printf("callers send %.0f requests/s", d.user.perSecond)
	return l
}

func (l *demoLoad) finish() []caller.Record {
	close(l.stop)
	l.wg.Wait()
	var out []caller.Record
	for _, r := range l.results {
		out = append(out, r.Records...)
	}
	return out
}

// checkGuarantees checks the guarantees that callers can observe.
func (d *deployment) checkGuarantees(records []caller.Record, watch *demoWatch) error {
	counts := make(map[caller.Outcome]int)
	runs := d.backends.runs()
	var violations []string
	for _, r := range records {
		counts[r.Outcome]++
		n := runs[r.Key]
		switch {
		case r.Outcome == caller.Mismatched, r.Outcome == caller.Broken:
			violations = append(violations, fmt.Sprintf("request %s: %s: %s", r.ID, r.Outcome, r.Detail))
		case r.Key == "":
		case n > 1:
			violations = append(violations, fmt.Sprintf("key %s ran %d times, want at most once", r.Key, n))
		case r.Outcome == "not-run" && n != 0:
			violations = append(violations, fmt.Sprintf("key %s was rejected as not run, but ran", r.Key))
		case r.Outcome == caller.Answered && n != 1:
			violations = append(violations, fmt.Sprintf("key %s was answered, but ran %d times, want once", r.Key, n))
		}
	}
	d.printf("%d requests: %v", len(records), counts)
	if over := d.backends.requestsOverSlots(); over > 0 {
		violations = append(violations, fmt.Sprintf("backend servers received %d requests beyond their slots", over))
	}
	violations = append(violations, watch.violations()...)
	if len(records) == 0 || counts[caller.Answered] == 0 {
		violations = append(violations, "no request was answered")
	}
	if len(violations) == 0 {
		return nil
	}
	const shown = 5
	return errors.Errorf("%d violations, the first of them: %q", len(violations), violations[:min(shown, len(violations))])
}
