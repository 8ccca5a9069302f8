// Package worker tracks, at the control leader, what is known of one worker's
// process: its clock, the lease that its runs hold, the fence it has been shown
// and the orders whose outcome is open. It is a pure state machine; times are
// of the leader's clock that counts suspension.
package worker

import (
	"time"
)

const (
	// slowClock bounds how much slower than real time a worker's clock may run.
	slowClock = 0.02
	// FencesPerTerm is the number of fences of a term for each worker.
	FencesPerTerm = 1 << 12
)

// Timing holds the limits of the leases.
type Timing struct {
	Lease time.Duration // granted with each order
	Max   time.Duration // the longest lease that a worker accepts
}

// Tracker follows one process of a worker.
type Tracker struct {
	timing Timing
	term   uint64
	BornMs int64
	fence  uint64
	// LastSeen is the highest number of an end that is in the log.
	LastSeen uint64
	// Looked reports that the process has listed its runs under the present fence.
	Looked bool

	sampled   bool
	clockMs   int64         // worker's clock, at or before sampledAt
	sampledAt time.Duration // when the answer with clockMs was received

	grantedMs int64 // highest deadline that the worker may have accepted in this term
	// openSince is the time at which the earliest order without an answer was sent.
	openSince   time.Duration
	open        bool
	leaseSpan   time.Duration // of grants of earlier terms, counted from began
	began       time.Duration
	LastContact time.Duration
}

// New returns the tracker of a process that a leader of the given term has just
// learned of. earlier reports that an earlier leader may have granted it leases.
func New(t Timing, term uint64, bornMs int64, now time.Duration, earlier bool) *Tracker {
	w := &Tracker{timing: t, term: term, BornMs: bornMs, fence: term * FencesPerTerm, began: now, LastContact: now}
	if earlier {
		w.leaseSpan = 2 * t.Lease
	}
	return w
}

// Fence returns the fencing token for orders to this process.
func (w *Tracker) Fence() uint64 { return w.fence }

// RaiseFence makes orders that were sent before ineffective once the worker has
// seen the new fence. What runs must be listed again.
func (w *Tracker) RaiseFence() {
	w.fence++
	w.Looked = false
}

// SampleClock takes the worker's clock from an answer received at now.
func (w *Tracker) SampleClock(now time.Duration, clockMs int64) {
	w.LastContact = max(w.LastContact, now)
	if !w.sampled || clockMs >= w.clockAt(now) {
		w.sampled, w.clockMs, w.sampledAt = true, clockMs, now
	}
}

// clockAt returns a lower bound of the worker's clock.
func (w *Tracker) clockAt(now time.Duration) int64 {
	passed := float64(now-w.sampledAt) * (1 - slowClock)
	return w.clockMs + int64(passed)/int64(time.Millisecond)
}

// Grant returns the deadline, on the worker's clock, for an order sent at now. It
// returns false while the worker's clock is not known.
func (w *Tracker) Grant(now time.Duration) (deadlineMs int64, known bool) {
	if !w.sampled {
		return 0, false
	}
	deadlineMs = w.clockAt(now) + w.timing.Lease.Milliseconds()
	w.grantedMs = max(w.grantedMs, deadlineMs)
	return deadlineMs, true
}

// Unanswered records that an order sent at sentAt got no answer.
func (w *Tracker) Unanswered(sentAt time.Duration) {
	if !w.open || sentAt > w.openSince {
		w.openSince = sentAt
	}
	w.open = true
}

// Settled records that no earlier order can take effect any more.
func (w *Tracker) Settled() { w.open = false }

// LapsedAt returns the time by which everything that the worker ran has ended if
// no order reaches it any more.
func (w *Tracker) LapsedAt() time.Duration {
	lapsed := w.began + stretch(w.leaseSpan)
	if w.sampled && w.grantedMs > 0 {
		left := time.Duration(w.grantedMs-w.clockMs) * time.Millisecond
		lapsed = max(lapsed, w.sampledAt+stretch(left))
	}
	if w.open {
		// A grant that is carried out late counts from its arrival, which is before
		// the earlier lease has ended.
		lapsed = max(lapsed, w.openSince+stretch(2*w.timing.Lease))
	}
	return lapsed
}

func stretch(d time.Duration) time.Duration {
	return time.Duration(float64(d) / (1 - slowClock))
}
