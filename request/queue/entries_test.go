package queue_test

import (
	"fmt"
	"testing"

	"marjoramtiller.example/marjoramtiller/measure/shortwork"
)

// BenchmarkEntries compares ways to share slots among entries.
func BenchmarkEntries(b *testing.B) {
	for _, w := range workloads[:2] {
		for _, how := range shortwork.Sharings() {
			for seed := range uint64(5) {
				b.Run(fmt.Sprintf("%s/%s/seed=%d", w.Name, how.Name, seed+1), func(b *testing.B) {
					var f *shortwork.Figures
					var syncs int
					for b.Loop() {
						f, syncs = shortwork.SimulateEntries(w.Work, how, seed+1)
					}
					seconds := shortwork.EntriesDuration.Seconds()
					b.ReportMetric(f.P(50), "p50-ms")
					b.ReportMetric(f.P(99), "p99-ms")
					b.ReportMetric(100*float64(f.Rejected)/float64(f.Arrived), "rejected-%")
					b.ReportMetric(100*float64(f.ShortRejected)/float64(f.ShortArrived), "short-rejected-%")
					b.ReportMetric(100*f.Busy.Seconds()/(seconds*shortwork.PoolServers*shortwork.Slots*float64(len(w.Work))), "utilization-%")
					b.ReportMetric(float64(syncs)/seconds/shortwork.Entries, "syncs/s")
				})
			}
		}
	}
}

// Guards against slots that idle at one entry while another rejects requests:
// granted shares must do nearly as much work as one queue, and reject less than
// half of what fixed shares reject.
func TestGrantedSharesAreNearOneQueue(t *testing.T) {
	t.Parallel()
	const seed = 2
	for _, w := range workloads[:2] {
		run := func(name string) *shortwork.Figures {
			for _, how := range shortwork.Sharings() {
				if how.Name == name {
					f, _ := shortwork.SimulateEntries(w.Work, how, seed)
					return f
				}
			}
			t.Fatalf("there is no sharing %s", name)
			return nil
		}
		one, fixed, granted := run("one-queue"), run("fixed-partition"), run("granted-urgent")
		if granted.Busy.Seconds() < 0.97*one.Busy.Seconds() {
			t.Errorf("%s: granted shares did %v of work, one queue %v", w.Name, granted.Busy, one.Busy)
		}
		if 2*granted.Rejected > fixed.Rejected {
			t.Errorf("%s: %d rejected with granted shares, %d with fixed ones", w.Name, granted.Rejected, fixed.Rejected)
		}
	}
}
