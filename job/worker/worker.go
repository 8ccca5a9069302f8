// Package worker holds the control leader's view of one worker process: a lower
// bound of its clock, the leases granted to its runs, its current fence and whether
// an order has an unknown outcome. It is a pure state machine. All times are read
// from the leader's clock, which advances while the machine is suspended.
package worker

import (
	"time"
)

const (
	// maxClockDrift is the largest fraction by which a worker's clock may run slower
	// than real time.
	maxClockDrift = 0.02
	// clockTolerance is for the rounding of clocks.
	clockTolerance = 50 * time.Millisecond
	// FencesPerTerm is the number of fencing tokens that a term has for each worker.
	FencesPerTerm = 1 << 12
)

// LeaseTiming holds the durations of leases.
type LeaseTiming struct {
	Lease    time.Duration // granted by each order
	MaxLease time.Duration // the longest lease that a worker accepts
	// OrderDelay is the longest time after the sending of an order in which a process that
	// has seen no higher fence may carry it out, unless its deadline passes before. To a
	// process that begins later its deadline says nothing.
	OrderDelay time.Duration
}

// Tracker holds the leader's view of one process of a worker.
type Tracker struct {
	timing    LeaseTiming
	term      uint64
	StartedMs int64
	fence     uint64
	// firstFence is the fence with which the tracker began.
	firstFence uint64
	// LastLoggedEnd is the highest number of an ended run of this process that is in
	// the log.
	LastLoggedEnd uint64
	// RunsListed reports that the process has listed its runs under the current fence.
	RunsListed bool

	clockKnown bool
	clockMs    int64         // worker's clock when it answered, at or before sampledAt
	sampledAt  time.Duration // when the answer with clockMs was received

	maxDeadlineMs int64         // latest deadline, on the worker's clock, granted in this term
	lastGrantAt   time.Duration // of the latest order with a lease, an earlier leader's included
	// lastUnansweredAt is the time at which the latest order without an answer was sent.
	lastUnansweredAt time.Duration
	hasUnanswered    bool
	inheritedLeases  time.Duration // bound of the leases of earlier terms, counted from trackedSince
	trackedSince     time.Duration
	// foreignLeasesUntil bounds the leases of orders that another process has carried out.
	foreignLeasesUntil time.Duration
	LastContact        time.Duration // the latest time at which it is known to have sent a message
}

// New returns the tracker of a process that the leader of the given term tracks from
// now on. earlierLeases reports that an earlier leader may have granted it leases.
func New(timing LeaseTiming, term uint64, startedMs int64, now time.Duration, earlierLeases bool) *Tracker {
	w := &Tracker{timing: timing, term: term, StartedMs: startedMs, fence: term * FencesPerTerm, firstFence: term * FencesPerTerm, trackedSince: now, lastGrantAt: now, LastContact: now}
	if earlierLeases {
		w.inheritedLeases = 2 * timing.Lease
	}
	return w
}

// LastFence returns the highest fencing token of a term.
func LastFence(term uint64) uint64 { return (term+1)*FencesPerTerm - 1 }

// Fence returns the fencing token for orders to this process.
func (w *Tracker) Fence() uint64 { return w.fence }

// RaiseFence raises the fence: once the worker has received the new one, it rejects
// all orders that were sent before. The worker must then list its runs again.
func (w *Tracker) RaiseFence() {
	w.fence++
	w.RunsListed = false
}

// AdvanceFence raises the fence for the orders that follow. Unlike RaiseFence it is for a
// process without unanswered orders, whose list under the earlier fence still counts.
func (w *Tracker) AdvanceFence() { w.fence++ }

// MayAdvanceFence reports whether the term has fences for AdvanceFence. It leaves half of them
// to RaiseFence.
func (w *Tracker) MayAdvanceFence() bool { return w.fence < w.term*FencesPerTerm+FencesPerTerm/2 }

// RaiseFenceTo raises the fence to a given one, unless it is higher already. Nothing was
// ordered under the fences below.
func (w *Tracker) RaiseFenceTo(fence uint64) {
	if fence > w.fence {
		w.fence = fence
		w.RunsListed = false
	}
	w.firstFence = w.fence
}

// FirstFence returns the lowest fence of this tracker's orders. Orders to the worker that
// this tracker did not record have lower ones.
func (w *Tracker) FirstFence() uint64 { return w.firstFence }

// SampleClock records the worker's clock from a message received at now. A sample
// below the known lower bound is ignored: its message was delayed, and proves contact
// only for the time at which it was sent.
func (w *Tracker) SampleClock(now time.Duration, clockMs int64) {
	w.LastContact = max(w.LastContact, w.SentBy(now, clockMs))
	if !w.clockKnown || clockMs >= w.clockAt(now) {
		w.clockKnown, w.clockMs, w.sampledAt = true, clockMs, now
	}
}

// SentBy returns the latest time at which the worker can have sent a message that shows
// clockMs on its clock and was received by now.
func (w *Tracker) SentBy(now time.Duration, clockMs int64) time.Duration {
	if !w.clockKnown {
		return now
	}
	return now - time.Duration(max(0, w.clockAt(now)-clockMs))*time.Millisecond
}

// clockAt returns a lower bound of the worker's clock at the given time.
func (w *Tracker) clockAt(now time.Duration) int64 {
	elapsed := float64(now-w.sampledAt) * (1 - maxClockDrift)
	return w.clockMs + int64(elapsed)/int64(time.Millisecond)
}

// Grant returns the lease deadline, on the worker's clock, of an order sent at now.
// It returns false as long as no sample of that clock exists.
func (w *Tracker) Grant(now time.Duration) (deadlineMs int64, known bool) {
	if !w.clockKnown {
		return 0, false
	}
	deadlineMs = w.clockAt(now) + w.timing.Lease.Milliseconds()
	w.maxDeadlineMs = max(w.maxDeadlineMs, deadlineMs)
	w.lastGrantAt = max(w.lastGrantAt, now)
	return deadlineMs, true
}

// RecordUnanswered records that an order sent at sentAt got no answer, so that it may
// still be carried out.
func (w *Tracker) RecordUnanswered(sentAt time.Duration) {
	if !w.hasUnanswered || sentAt > w.lastUnansweredAt {
		w.lastUnansweredAt = sentAt
	}
	w.hasUnanswered = true
}

// ClearUnanswered records that no unanswered order can take effect any more.
func (w *Tracker) ClearUnanswered() { w.hasUnanswered = false }

// ExpectForeignLeases records that orders which were sent until now may be carried out by
// another process under the id than the one they were meant for. Their deadlines are times
// on the clock of that one, so that only the longest lease bounds them.
func (w *Tracker) ExpectForeignLeases(now time.Duration) {
	w.ExpectForeignLeasesUntil(w.timing.foreignLeaseEnd(now))
}

// foreignLeaseEnd returns the time until which a process may hold a lease of an order that
// was sent at a time and meant for an earlier process.
func (t LeaseTiming) foreignLeaseEnd(sent time.Duration) time.Duration {
	return sent + t.OrderDelay + maxRealTime(t.MaxLease)
}

// SettleForeignOrders records that the process has listed its runs under the fence of this
// tracker by now, so that it carries out no order any more that was meant for another one.
func (w *Tracker) SettleForeignOrders(now time.Duration) {
	w.foreignLeasesUntil = min(w.foreignLeasesUntil, now+maxRealTime(w.timing.MaxLease))
}

// LaterLeasesUntil returns the time until which a later process under the id that has not
// been heard of may be at work on what was sent to this one.
func (w *Tracker) LaterLeasesUntil() time.Duration { return w.timing.foreignLeaseEnd(w.lastGrantAt) }

// ForeignLeasesUntil returns the time until which another process under the id may hold
// leases of orders that were not meant for it, 0 if none does.
func (w *Tracker) ForeignLeasesUntil() time.Duration { return w.foreignLeasesUntil }

// ExpectForeignLeasesUntil records what an earlier tracker knew of such leases.
func (w *Tracker) ExpectForeignLeasesUntil(until time.Duration) {
	w.foreignLeasesUntil = max(w.foreignLeasesUntil, until)
}

// AnsweredByLater reports whether the answer to an order is that of a process that began
// later than this one: the clock in it is behind, and it can't be older than the order.
func (w *Tracker) AnsweredByLater(orderSent time.Duration, clockMs int64) bool {
	if !w.clockKnown {
		return false
	}
	earliest := w.clockAt(orderSent)
	if before := w.sampledAt - orderSent; before > 0 {
		earliest = w.clockMs - before.Milliseconds() // the clock does not run fast
	}
	return clockMs < earliest-clockTolerance.Milliseconds()
}

// LeasesExpireBy returns the time by which the leases of all runs of the worker have
// expired if it receives no further order.
func (w *Tracker) LeasesExpireBy() time.Duration {
	expiry := max(w.trackedSince+maxRealTime(w.inheritedLeases), w.foreignLeasesUntil)
	if w.clockKnown && w.maxDeadlineMs > 0 {
		left := time.Duration(w.maxDeadlineMs-w.clockMs) * time.Millisecond
		expiry = max(expiry, w.sampledAt+maxRealTime(left))
	}
	if w.hasUnanswered {
		// A delayed order extends the lease by Lease from its arrival. It arrives
		// before the earlier lease has expired, or else it has no effect.
		expiry = max(expiry, w.lastUnansweredAt+maxRealTime(2*w.timing.Lease))
	}
	return expiry
}

// maxRealTime returns the longest real time in which a worker's clock advances by d.
func maxRealTime(d time.Duration) time.Duration {
	return time.Duration(float64(d) / (1 - maxClockDrift))
}
