package control

import (
	"context"
	"time"

	"marjoramtiller.example/marjoramtiller/connection/lease"
	"marjoramtiller.example/marjoramtiller/connection/wirepb"
	"marjoramtiller.example/marjoramtiller/version/fleet"
	"marjoramtiller.example/marjoramtiller/version/fleetpb"
)

// requestCounts are the requests of one service since the last sample.
type requestCounts struct {
	requests, refused, unknown, retried uint64
	shortWaitP99Ms                      uint32
}

// totals remembers the last totals that an entry's boot reported for a service.
type totals map[lease.SessionID]map[string]*wirepb.ServiceDemand

// takeCounts returns what was added to the reported totals since the last call.
// A boot that is seen for the first time counts in full, unless this leader's
// term is new: an earlier leader has then sampled its totals.
func (t *term) takeCounts(first bool) map[string]requestCounts {
	out := make(map[string]requestCounts)
	for id, demand := range t.demand {
		known := t.sampled[id]
		next := make(map[string]*wirepb.ServiceDemand, len(demand))
		for _, d := range demand {
			next[d.GetService()] = d
			before := known[d.GetService()]
			if known == nil && first {
				before = d
			}
			c := out[d.GetService()]
			c.requests += d.GetRequests() - before.GetRequests()
			c.refused += d.GetRefused() - before.GetRefused()
			c.unknown += d.GetUnknown() - before.GetUnknown()
			c.retried += d.GetRetried() - before.GetRetried()
			c.shortWaitP99Ms = max(c.shortWaitP99Ms, d.GetShortWaitP99Ms())
			out[d.GetService()] = c
		}
		t.sampled[id] = next
	}
	for id := range t.sampled {
		if t.demand[id] == nil {
			delete(t.sampled, id)
		}
	}
	return out
}

// sample adds the measured interval to the figures of the month.
func (s *Server) sample(ctx context.Context, t *term, interval time.Duration) {
	s.mu.Lock()
	counts := t.takeCounts(!t.hasSampled && t.number > firstTerm)
	t.hasSampled = true
	s.mu.Unlock()
	var samples []*fleetpb.PoolSample
	s.viewFleet(func(f *fleet.Fleet) {
		for p := range f.Pools() {
			b := fleet.Budget(f, p.GetName())
			c := counts[p.GetService()]
			delete(counts, p.GetService()) // the first pool of a service takes its requests
			samples = append(samples, &fleetpb.PoolSample{
				Pool:           p.GetName(),
				Seconds:        uint32(interval.Seconds()),
				PromisedHosts:  uint32(b.Promised),
				AvailableHosts: uint32(b.Available),
				TotalHosts:     uint32(b.Total),
				Requests:       c.requests,
				Refused:        c.refused,
				Unknown:        c.unknown,
				Retried:        c.retried,
				ShortWaitP99Ms: c.shortWaitP99Ms,
			})
		}
	})
	if len(samples) == 0 {
		return
	}
	s.submit(ctx, &fleetpb.Command{Body: &fleetpb.Command_Sample{Sample: &fleetpb.Sample{Pools: samples}}})
}

// firstTerm is the term of a new cluster's first leader.
const firstTerm = 1
