package slots

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// demandRule turns what an entry sees into the demand that it reports.
type demandRule interface {
	demand(queued, running, share int) float64
}

// presentDemand reports what is queued and running; the allocator's hysteresis
// alone keeps shares from moving to and fro.
type presentDemand struct{}

func (presentDemand) demand(queued, running, _ int) float64 { return float64(queued + running) }

// slowReturn is presentDemand for an entry with a queue; one without a queue keeps
// half of the slots that it does not use. It has no memory.
type slowReturn struct{}

func (slowReturn) demand(queued, running, share int) float64 {
	return float64(queued) + float64(running+share)/2
}

// levelFeedback is an alternative that was weighed: a smoothed feedback controller
// that moves an entry's share by the level of its queue and the change of the level,
// after the idea of controlling a sender's rate by the level of the receiver's
// buffer (Huang and Xu, "SRC: Stable Rate Control for Streaming Media", Washington
// University report WUCSE-2003-9, 2003). The gains are of this simulation, not of
// the report.
type levelFeedback struct {
	smoothing, level, change float64
	smoothed                 float64
}

func (f *levelFeedback) demand(queued, running, share int) float64 {
	// An entry without a queue gives back half of the slots that it does not use.
	level := float64(queued)
	if queued == 0 {
		level = float64(running-share) / 2
	}
	before := f.smoothed
	f.smoothed += f.smoothing * (level - f.smoothed)
	return max(0, float64(share)+f.level*f.smoothed+f.change*(f.smoothed-before))
}

const (
	feedbackEntries = 6
	feedbackServers = 40
	feedbackSync    = 500 * time.Millisecond
	feedbackTime    = 120 * time.Second
	feedbackRun     = 50 * time.Millisecond // mean run time
	feedbackQuiet   = 400.0                 // requests/s at an entry
	feedbackPeak    = 3400.0                // in its turn to burst; all slots serve 6,400/s
)

type times []time.Duration

func (h times) Len() int           { return len(h) }
func (h times) Less(i, j int) bool { return h[i] < h[j] }
func (h times) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *times) Push(x any)        { *h = append(*h, x.(time.Duration)) }
func (h *times) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

type feedbackEntry struct {
	*entry
	rule    demandRule
	rng     *rand.Rand
	next    time.Duration
	queue   []time.Duration // arrivals
	running times           // ends
	waits   []time.Duration
}

// rate is an entry's arrivals a second. Bursts follow each other; a burst time of 0
// means none, and each entry gets an even part of the same load.
func (e *feedbackEntry) rate(now, burst time.Duration, i int) float64 {
	if burst == 0 {
		return (feedbackPeak + (feedbackEntries-1)*feedbackQuiet) / feedbackEntries
	}
	if int(now/burst)%feedbackEntries == i {
		return feedbackPeak
	}
	return feedbackQuiet
}

// step lets an entry run until now.
func (e *feedbackEntry) step(now, burst time.Duration, i int) {
	for e.next <= now {
		e.queue = append(e.queue, e.next)
		e.next += time.Duration(e.rng.ExpFloat64() / e.rate(e.next, burst, i) * float64(time.Second))
	}
	for len(e.running) > 0 && e.running[0] <= now {
		heap.Pop(&e.running)
	}
	share := e.total()
	for len(e.queue) > 0 && len(e.running) < share {
		e.waits = append(e.waits, now-e.queue[0])
		e.queue = e.queue[1:]
		heap.Push(&e.running, now+time.Duration(e.rng.ExpFloat64()*float64(feedbackRun)))
	}
}

// feedbackResult is the wait of requests and the slots that changed their entry.
type feedbackResult struct {
	p50, p99 time.Duration
	moved    int
}

// simulateFeedback runs six entries whose bursts follow each other, in steps of 5 ms
// of virtual time; each syncs in turn every 500 ms.
func simulateFeedback(seed uint64, burst time.Duration, rule func() demandRule) feedbackResult {
	a := New(1, nil)
	for i := range feedbackServers {
		a.SetServer(serverOf(i, 8))
	}
	var all []*feedbackEntry
	var plain []*entry
	for i := range feedbackEntries {
		e := &feedbackEntry{entry: newEntry(fmt.Sprintf("e%d", i), "1"), rule: rule(), rng: rand.New(rand.NewPCG(seed, uint64(i)))}
		all = append(all, e)
		plain = append(plain, e.entry)
	}
	settle(a, plain...)
	var out feedbackResult
	const tick = 5 * time.Millisecond
	for now := time.Duration(0); now < feedbackTime; now += tick {
		for i, e := range all {
			e.step(now, burst, i)
			if now%feedbackSync != time.Duration(i)*feedbackSync/10 {
				continue
			}
			before := e.total()
			e.entry.demand = e.rule.demand(len(e.queue), len(e.running), before)
			a.Report(e.report())
			a.Rebalance()
			e.take(a)
			out.moved += max(0, e.total()-before)
		}
	}
	var waits []time.Duration
	for _, e := range all {
		waits = append(waits, e.waits...)
	}
	slices.Sort(waits)
	out.p50, out.p99 = waits[len(waits)/2], waits[len(waits)*99/100]
	return out
}

// BenchmarkDemandFeedback compares the present demand with the alternative in
// virtual time. The figures are the same on every run.
func BenchmarkDemandFeedback(b *testing.B) {
	rules := []struct {
		name string
		make func() demandRule
	}{
		{"present", func() demandRule { return presentDemand{} }},
		{"slow-return", func() demandRule { return slowReturn{} }},
		{"feedback-slow", func() demandRule { return &levelFeedback{smoothing: 0.3, level: 0.2, change: 0.5} }},
		{"feedback-medium", func() demandRule { return &levelFeedback{smoothing: 0.5, level: 0.5, change: 1} }},
		{"feedback-fast", func() demandRule { return &levelFeedback{smoothing: 0.8, level: 1, change: 1} }},
	}
	for _, r := range rules {
		for _, burst := range []time.Duration{0, time.Second, 4 * time.Second, 12 * time.Second} {
			for seed := range uint64(2) {
				b.Run(fmt.Sprintf("%s/burst=%v/seed=%d", r.name, burst, seed+1), func(b *testing.B) {
					var got feedbackResult
					for b.Loop() {
						got = simulateFeedback(seed+1, burst, r.make)
					}
					b.ReportMetric(float64(got.p50.Milliseconds()), "p50-ms")
					b.ReportMetric(float64(got.p99.Milliseconds()), "p99-ms")
					b.ReportMetric(float64(got.moved), "moved-slots")
				})
			}
		}
	}
}
