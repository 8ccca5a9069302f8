package queue

import (
	"fmt"
	"testing"
	"time"
)

var policies = []struct {
	name string
	make func([]kindOfWork) policy
}{
	{"fifo", newFIFO}, {"random", newRandom}, {"least-loaded", newLeastLoaded}, {"fixed-partition", newPartition}, {"core", newCorePolicy},
}

var workloads = []struct {
	name string
	work []kindOfWork
}{
	{"savings", savings}, {"events", events},
	{"savings-steady", steady(savings, 2)}, {"events-steady", steady(events, 2)},
	{"savings-busy", scaled(savings, 2.3)}, {"events-busy", scaled(events, 2.3)},
	{"savings-overload", scaled(savings, 4)}, {"events-overload", scaled(events, 4)},
}

const simSeed = 1

// BenchmarkWait reports the figures of every policy; they are the same on
// every run.
func BenchmarkWait(b *testing.B) {
	for _, w := range workloads {
		for _, p := range policies {
			b.Run(w.name+"/"+p.name, func(b *testing.B) {
				var with, without *figures
				for b.Loop() {
					with = simulate(w.work, arrivalsOf(w.work, true, simSeed), p.make(w.work))
					without = simulate(w.work, arrivalsOf(w.work, false, simSeed), p.make(w.work))
				}
				b.ReportMetric(with.p(50), "p50-ms")
				b.ReportMetric(with.p(99), "p99-ms")
				b.ReportMetric(without.p(50), "nolong-p50-ms")
				b.ReportMetric(without.p(99), "nolong-p99-ms")
				b.ReportMetric(100*float64(with.rejected)/float64(with.arrived), "rejected-%")
				b.ReportMetric(100*float64(with.shortRejected)/float64(with.shortArrived), "short-rejected-%")
				b.ReportMetric(100*with.busy.Seconds()/(simDuration.Seconds()*simServers*simSlots), "utilization-%")
				b.ReportMetric(100*float64(with.deferrableTime)/float64(with.deferrable), "deferrable-in-time-%")
			})
		}
	}
}

// BenchmarkQueueLength shows that the cost of an operation does not grow with
// the queue: one request is submitted, started and ended at each length.
func BenchmarkQueueLength(b *testing.B) {
	for _, n := range []int{100, 1000, 10000, 100000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			c := New()
			c.SetService("s", ServiceConfig{MaxPerCaller: n + 10, MaxQueued: 2*n + 10, LongThreshold: time.Hour})
			c.SetServer("b", "s", 1)
			for k := range n {
				if _, rej := c.Submit(0, Request{Service: "s", Caller: fmt.Sprint(k % 50), Deadline: time.Hour + time.Duration(k*7919%n)}); rej != nil {
					b.Fatal(rej)
				}
			}
			now := time.Duration(0)
			a, _ := c.Next(now)
			for b.Loop() {
				now++
				if _, rej := c.Submit(now, Request{Service: "s", Caller: "x", Deadline: 2 * time.Hour}); rej != nil {
					b.Fatal(rej)
				}
				c.Done(now, a.ID, true)
				a, _ = c.Next(now)
			}
		})
	}
}

// waitTarget is the bound on the 99th percentile wait of short work with long
// work present, relative to that without it.
const waitTarget = 1.1

func checkWaitTarget(t *testing.T, name string, work []kindOfWork) {
	t.Helper()
	with := simulate(work, arrivalsOf(work, true, simSeed), newCorePolicy(work))
	without := simulate(work, arrivalsOf(work, false, simSeed), newCorePolicy(work))
	t.Logf("%s: p99 wait %.3f ms with long work, %.3f ms without; short rejected %d and %d of %d",
		name, with.p(99), without.p(99), with.shortRejected, without.shortRejected, with.shortArrived)
	if with.p(99) > waitTarget*without.p(99) {
		t.Errorf("%s: p99 wait of short work is %.3f ms with long work and %.3f ms without; the target is a factor of %.1f",
			name, with.p(99), without.p(99), waitTarget)
	}
}

// Guards against short work that waits behind long work while its demand stays
// within the slots kept for it.
func TestShortWaitWithLongWork(t *testing.T) {
	t.Parallel()
	for _, w := range workloads[:4] {
		checkWaitTarget(t, w.name, w.work)
	}
}

// Guards against short work that waits behind long work while bursts of short
// work need more than the slots kept for it, but fewer than all.
func TestShortWaitWithLongWorkBeyondKeptSlots(t *testing.T) {
	t.Parallel()
	for _, w := range workloads[4:6] {
		checkWaitTarget(t, w.name, w.work)
	}
}

// Guards against short work that waits behind long work while bursts of short
// work exceed all slots.
func TestShortWaitWithLongWorkInOverload(t *testing.T) {
	t.Parallel()
	for _, w := range workloads[6:] {
		checkWaitTarget(t, w.name, w.work)
	}
}

// Guards against figures that differ from run to run, which would make the
// comparison of policies meaningless.
func TestSimulationIsDeterministic(t *testing.T) {
	run := func() string {
		f := simulate(savings, arrivalsOf(savings, true, simSeed), newCorePolicy(savings))
		return fmt.Sprint(f.p(50), f.p(99), f.arrived, f.rejected, f.busy, f.deferrableTime)
	}
	if a, b := run(), run(); a != b {
		t.Errorf("two runs differ: %s and %s", a, b)
	}
}
