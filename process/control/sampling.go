package control

import (
	"context"
	"time"

	"marjoramtiller.example/marjoramtiller/connection/lease"
	"marjoramtiller.example/marjoramtiller/connection/wirepb"
	"marjoramtiller.example/marjoramtiller/version/fleet"
	"marjoramtiller.example/marjoramtiller/version/fleetpb"
)

// requestCounts are request counts of one service.
type requestCounts struct {
	requests, refused, unknown, retried uint64
	shortWaitP99Ms                      uint32
}

// requestTotals converts the totals that entries report into counts since the last
// sample. Totals are kept per boot, since each boot of an entry starts at zero.
type requestTotals struct {
	termStart      time.Duration // start of this leader's term
	hadPredecessor bool          // an earlier leader may have taken samples
	boots          map[lease.SessionID]*bootTotals
}

type bootTotals struct {
	reportedAt time.Duration
	sequence   uint64 // sequence number of the latest report
	services   map[string]*serviceTotals
}

type serviceTotals struct {
	last, sampled  requestCounts
	shortWaitP99Ms uint32
}

// totalsRetention is how long the totals of a boot are kept after its last report.
// Without them, the requests of a boot that reports again after a network partition
// would all be counted a second time.
const totalsRetention = 24 * time.Hour

func newRequestTotals(now time.Duration, successor bool) *requestTotals {
	return &requestTotals{termStart: now, hadPredecessor: successor, boots: make(map[lease.SessionID]*bootTotals)}
}

// acceptSequence records the sequence number of a boot's report. It returns false if a
// later report has arrived already: an outdated report could understate the work in
// flight after slots were granted on the basis of the later one.
func (r *requestTotals) acceptSequence(id lease.SessionID, sequence uint64) bool {
	b := r.forBoot(id)
	if sequence < b.sequence {
		return false
	}
	b.sequence = sequence
	return true
}

func (r *requestTotals) forBoot(id lease.SessionID) *bootTotals {
	b := r.boots[id]
	if b == nil {
		b = &bootTotals{reportedAt: neverReported, services: make(map[string]*serviceTotals)}
		r.boots[id] = b
	}
	return b
}

// neverReported is the reportedAt of a boot that has not reported.
const neverReported = -totalsRetention

// record stores the totals of a boot. If an earlier leader may have sampled and the
// boot is older than this leader's term, its first report only sets the baseline. A
// report that arrives out of order does not lower a total.
func (r *requestTotals) record(id lease.SessionID, uptime time.Duration, demand []*wirepb.ServiceDemand, now time.Duration) {
	b := r.forBoot(id)
	first := b.reportedAt < 0
	b.reportedAt = now
	for _, d := range demand {
		s := b.services[d.GetService()]
		if s == nil {
			s = &serviceTotals{}
			b.services[d.GetService()] = s
		}
		s.last.raise(d)
		s.shortWaitP99Ms = d.GetShortWaitP99Ms()
		if first && r.hadPredecessor && uptime > now-r.termStart {
			s.sampled = s.last
		}
	}
}

// raise sets each count to the reported total if that is greater.
func (c *requestCounts) raise(d *wirepb.ServiceDemand) {
	c.requests = max(c.requests, d.GetRequests())
	c.refused = max(c.refused, d.GetRefused())
	c.unknown = max(c.unknown, d.GetUnknown())
	c.retried = max(c.retried, d.GetRetried())
}

// sampleCounts returns the counts per service since the last call, including those of
// boots that have ended since then.
func (r *requestTotals) sampleCounts(now time.Duration) map[string]requestCounts {
	out := make(map[string]requestCounts)
	for id, b := range r.boots {
		for service, s := range b.services {
			c := out[service]
			c.add(s.last, s.sampled)
			if now-b.reportedAt < lease.ConfigLease {
				c.shortWaitP99Ms = max(c.shortWaitP99Ms, s.shortWaitP99Ms)
			}
			out[service] = c
			s.sampled = s.last
		}
		if now-b.reportedAt > totalsRetention {
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

// sample proposes the availability and request counts of the last interval, which the
// fleet adds to the figures of the month.
func (s *Server) sample(ctx context.Context, t *term, interval time.Duration) {
	s.mu.Lock()
	counts := t.counts.sampleCounts(s.clock.Now())
	s.mu.Unlock()
	var samples []*fleetpb.PoolSample
	s.viewFleet(func(f *fleet.Fleet) {
		for p := range f.Pools() {
			b := fleet.Budget(f, p.GetName())
			c := counts[p.GetService()]
			delete(counts, p.GetService()) // a service's requests are counted for its first pool only
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

// firstTerm is the term of the first leader of a new cluster.
const firstTerm = 1
