package worker

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var testTiming = LeaseTiming{Lease: 4 * time.Second, MaxLease: 10 * time.Second}

// workerModel is a worker with a slow clock. Orders may reach it late; it counts
// their leases from their arrival.
type workerModel struct {
	rate     float64 // of its clock to real time
	deadline int64   // end of its lease, on its clock
}

func (m *workerModel) clock(now time.Duration) int64 {
	return int64(float64(now.Milliseconds()) * m.rate)
}

// expired reports whether the worker's lease has expired, so that all its runs have ended.
func (m *workerModel) expired(now time.Duration) bool { return m.clock(now) >= m.deadline }

// Guards against a task that is started on a second worker before the lease of a
// worker that does not answer has expired. The worker's clock runs slow, and an
// unanswered order may reach it late.
func TestLeasesExpireByIsAfterEveryLease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &workerModel{rate: 1 - rapid.Float64Range(0, maxClockDrift).Draw(t, "slow")}
		now := time.Duration(rapid.IntRange(0, 100_000).Draw(t, "begin")) * time.Millisecond
		w := New(testTiming, 3, 1, now, false)
		w.SampleClock(now, m.clock(now))
		for range rapid.IntRange(1, 30).Draw(t, "orders") {
			now += time.Duration(rapid.IntRange(1, 2500).Draw(t, "pause")) * time.Millisecond
			deadline, known := w.Grant(now)
			if !known {
				t.Fatalf("Grant reports an unknown clock after a sample of it")
			}
			if rapid.Bool().Draw(t, "answered") {
				m.deadline = max(m.deadline, deadline)
				w.SampleClock(now, m.clock(now))
				continue
			}
			w.RecordUnanswered(now)
			// A delayed order extends the lease only if that has not expired on arrival.
			arrival := now + time.Duration(rapid.IntRange(0, 12_000).Draw(t, "late"))*time.Millisecond
			if !m.expired(arrival) {
				m.deadline = max(m.deadline, m.clock(arrival)+testTiming.Lease.Milliseconds())
			}
			break // the leader grants no lease to a worker that does not answer
		}
		if at := w.LeasesExpireBy(); !m.expired(at + time.Millisecond) {
			t.Fatalf("at %s the worker's clock is %d, but its lease expires at %d", at, m.clock(at), m.deadline)
		}
	})
}

// Guards against a new leader that starts a task again while a lease granted by the
// previous leader has not expired.
func TestEarlierTermsLeasesAreAwaited(t *testing.T) {
	is := is.New(t)
	w := New(testTiming, 3, 1, time.Second, true)
	is.True(w.LeasesExpireBy() >= time.Second+2*testTiming.Lease)
	is.Equal(New(testTiming, 3, 1, time.Second, false).LeasesExpireBy(), time.Second)
}

// Guards against a fence that is not above all fences of earlier terms, and against
// the use of a list of runs that the worker sent under an older fence.
func TestFencesIncrease(t *testing.T) {
	is := is.New(t)
	w := New(testTiming, 3, 1, 0, false)
	w.RunsListed = true
	first := w.Fence()
	w.RaiseFence()
	is.Equal(w.Fence(), first+1)
	is.Equal(w.RunsListed, false)
	is.True(New(testTiming, 4, 1, 0, false).Fence() > w.Fence())
}

// Guards against a delayed answer that moves the lower bound of the worker's clock back.
func TestClockBoundNeverDecreases(t *testing.T) {
	is := is.New(t)
	w := New(testTiming, 1, 1, 0, false)
	_, known := w.Grant(0)
	is.Equal(known, false)
	w.SampleClock(time.Second, 5000)
	w.SampleClock(2*time.Second, 4000)
	deadline, known := w.Grant(2 * time.Second)
	is.True(known)
	is.Equal(deadline, int64(5000+980+4000))
}

// Guards against a delayed report that counts as contact: the worker may have ended since.
func TestDelayedMessageProvesContactOnlyForItsTime(t *testing.T) {
	is := is.New(t)
	w := New(testTiming, 3, 1, time.Minute, false)
	w.SampleClock(time.Minute, 50_000)
	w.SampleClock(time.Minute+time.Second, 51_000)
	is.Equal(w.LastContact, time.Minute+time.Second)
	w.SampleClock(time.Minute+5*time.Second, 51_400)
	is.True(w.LastContact <= time.Minute+2*time.Second)
}

// Guards against leases that are taken for lapsed although a later order without an answer
// may extend them, and against an order that counts after the worker can't carry it out.
func TestLatestUnansweredOrderCounts(t *testing.T) {
	is := is.New(t)
	w := New(testTiming, 3, 1, 0, false)
	bound := 2*time.Second + maxRealTime(2*testTiming.Lease)
	w.RecordUnanswered(time.Second)
	is.True(w.LeasesExpireBy() < bound)
	w.RecordUnanswered(2 * time.Second)
	is.Equal(w.LeasesExpireBy(), bound)
	w.RecordUnanswered(time.Second) // its failure was noticed later
	is.Equal(w.LeasesExpireBy(), bound)
	w.ClearUnanswered()
	is.Equal(w.LeasesExpireBy(), time.Duration(0))
}
