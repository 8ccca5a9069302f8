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

// requestTotals turns the totals that entries report into counts since the last
// sample. Totals are kept by boot, as they start at zero with each.
type requestTotals struct {
	started   time.Duration // of this leader's term
	successor bool          // an earlier leader sampled before
	boots     map[lease.SessionID]*bootTotals
}

type bootTotals struct {
	reported time.Duration
	services map[string]*serviceTotals
}

type serviceTotals struct {
	last, sampled  requestCounts
	shortWaitP99Ms uint32
}

// totalsRetention is how long the totals of a boot that no longer reports are
// remembered. Without them a boot that comes back after a partition would be
// counted again in full.
const totalsRetention = 24 * time.Hour

func newRequestTotals(now time.Duration, successor bool) *requestTotals {
	return &requestTotals{started: now, successor: successor, boots: make(map[lease.SessionID]*bootTotals)}
}

// report takes the totals of a boot. The first report of a boot that is older
// than this leader's term adds nothing: an earlier leader has sampled its totals.
// A report overtaken by a later one lowers no total.
func (r *requestTotals) report(id lease.SessionID, uptime time.Duration, demand []*wirepb.ServiceDemand, now time.Duration) {
	b := r.boots[id]
	first := b == nil
	if first {
		b = &bootTotals{services: make(map[string]*serviceTotals)}
		r.boots[id] = b
	}
	b.reported = now
	for _, d := range demand {
		s := b.services[d.GetService()]
		if s == nil {
			s = &serviceTotals{}
			b.services[d.GetService()] = s
		}
		s.last.raise(d)
		s.shortWaitP99Ms = d.GetShortWaitP99Ms()
		if first && r.successor && uptime > now-r.started {
			s.sampled = s.last
		}
	}
}

// raise sets each count to the reported total unless it is lower.
func (c *requestCounts) raise(d *wirepb.ServiceDemand) {
	c.requests = max(c.requests, d.GetRequests())
	c.refused = max(c.refused, d.GetRefused())
	c.unknown = max(c.unknown, d.GetUnknown())
	c.retried = max(c.retried, d.GetRetried())
}

// take returns what was added since the last call. The counts of a boot that
// has ended since then are among them.
func (r *requestTotals) take(now time.Duration) map[string]requestCounts {
	out := make(map[string]requestCounts)
	for id, b := range r.boots {
		for service, s := range b.services {
			c := out[service]
			c.add(s.last, s.sampled)
			if now-b.reported < lease.ConfigLease {
				c.shortWaitP99Ms = max(c.shortWaitP99Ms, s.shortWaitP99Ms)
			}
			out[service] = c
			s.sampled = s.last
		}
		if now-b.reported > totalsRetention {
			delete(r.boots, id)
		}
	}
	return out
}

func (c *requestCounts) add(last, sampled requestCounts) {
	c.requests += last.requests - sampled.requests
	c.refused += last.refused - sampled.refused
	c.unknown += last.unknown - sampled.unknown
	c.retried += last.retried - sampled.retried
}

// sample adds the measured interval to the figures of the month.
func (s *Server) sample(ctx context.Context, t *term, interval time.Duration) {
	s.mu.Lock()
	counts := t.counts.take(s.clock.Now())
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
