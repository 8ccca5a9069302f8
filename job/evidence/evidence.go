// Package evidence decides what proves that a run is not at work on a worker and can't
// begin there any more, so that its task may start elsewhere. It is the only place that
// does. A missing or partial answer proves nothing, and neither does an order or an
// announcement that was only sent. The package is a pure core without I/O; all times are
// read from the leader's clock.
package evidence

import (
	"time"

	"marjoramtiller.example/marjoramtiller/job/orders"
)

// Kind is what proves that a run is over. The zero value is no proof.
type Kind string

// Kinds of proof.
const (
	None Kind = ""
	// NotCarriedOut: the worker refused the order for the start, or it was never sent.
	NotCarriedOut Kind = "start not carried out"
	// Superseded: a whole list under a higher fence than that of the run's order lacks it.
	Superseded Kind = "absent under a higher fence"
	// StartSettled: a whole list that was requested after the start was confirmed lacks it.
	StartSettled Kind = "absent after its confirmed start"
	// StopSettled: a whole list that was requested after a stop was confirmed lacks it.
	StopSettled Kind = "absent after its confirmed stop"
	// LeasesLapsed: all leases that may have been granted to the worker's runs have expired.
	LeasesLapsed Kind = "leases lapsed"
	// MachineEnded: the machine service lists the worker's machine without the worker.
	MachineEnded Kind = "machine listed without it"
	// AddressReused: the worker announced its exit, and a process of another id is at its address.
	AddressReused Kind = "announced exit and reused address"
	// NoRuns: nothing is placed on the worker.
	NoRuns Kind = "no runs"
)

// FromAnswer returns what the error of a start order proves about its run. An order without
// an answer may be carried out, also later.
func FromAnswer(err error) Kind {
	if orders.NeverCarriedOut(err) {
		return NotCarriedOut
	}
	return None
}

// Order is what the leader knows of the orders for a run. The zero value stands for a run
// that was ordered before the leader began to track the worker's process.
type Order struct {
	Tracked          bool          // the tracker of the process has recorded an order for the run
	Fence            uint64        // the highest fence that an order for its start may have
	StartConfirmedAt time.Duration // 0: not confirmed
	StopConfirmedAt  time.Duration // 0: not confirmed
}

// List is a list of a worker's runs that names a run neither among the running nor among
// the ended ones.
type List struct {
	// Complete reports that the list holds every running run and every end that is not in
	// the log.
	Complete    bool
	Fence       uint64 // of the hold that requested it
	FirstFence  uint64 // with which the leader began to track the process
	RequestedAt time.Duration
}

// FromList returns what a list that lacks a run proves about it.
func FromList(o Order, l List) Kind {
	switch {
	case !l.Complete:
		return None
	case !o.Tracked && l.Fence >= l.FirstFence:
		return Superseded
	case !o.Tracked:
		return None
	case l.Fence > o.Fence:
		return Superseded
	case o.StartConfirmedAt > 0 && o.StartConfirmedAt < l.RequestedAt:
		return StartSettled
	case o.StopConfirmedAt > 0 && o.StopConfirmedAt < l.RequestedAt:
		return StopSettled
	}
	return None
}

// Process is what the leader knows of the end of a worker's process.
type Process struct {
	LeasesExpireBy time.Duration // until then its runs may be at work, if it is not reached
	SilentFor      time.Duration // since its last contact, or since the leader can hear it again
	MaxSilence     time.Duration // a process that is silent for longer gets no more leases
	ListedAsEnded  bool          // the machine service lists its machine without it
	ExitAnnounced  bool          // it has said that it exits, which it does some time later
	AddressReused  bool          // since its last answer, a process of another id has answered at its address
	Placed         int           // runs that the log places on it
	AnnouncedFor   time.Duration // since it announced its exit
}

// Limits of the proof that a process has ended.
const (
	emptyExitDelay = time.Second // from its announcement until a worker without runs is forgotten
	// ListLag is the longest time by which a list of machines may be behind when it is
	// requested.
	ListLag = time.Second
)

// FromProcess returns what proves that none of the runs is at work which a worker's process
// has itself begun.
func FromProcess(p Process, now time.Duration) Kind {
	switch {
	case p.ListedAsEnded:
		return MachineEnded
	case p.ExitAnnounced && p.AddressReused:
		return AddressReused
	case p.ExitAnnounced && p.Placed == 0 && p.AnnouncedFor > emptyExitDelay:
		return NoRuns
	case now > p.LeasesExpireBy && (p.ExitAnnounced || p.SilentFor > p.MaxSilence):
		return LeasesLapsed
	}
	return None
}

// Start is what the leader knows of the order for the start of a run on a process that has
// ended. An order names the worker's id, so that a later process under it may have received
// the order without the leader's knowledge.
type Start struct {
	Received bool // the process itself has received it: it has answered it, or listed the run
	Open     bool // its sender still waits for an answer
	// EndedAt is when its sender stopped waiting. No process that begins afterwards receives it.
	EndedAt time.Duration
}

// Later is what the leader knows of later processes under the id of one that has ended.
type Later struct {
	// AbsentAt is when the latest list of machines was requested that shows the machine
	// without any process under the id; 0 if none does.
	AbsentAt time.Duration
	// LeasesUntil is the time until which one may be at work on what was sent to the earlier
	// process.
	LeasesUntil time.Duration
}

// FromEnd returns what the proof that a process has ended says about a run on it.
func FromEnd(proof Kind, start Start, later Later, now time.Duration) Kind {
	switch {
	case proof == None, start.Received:
		return proof
	case start.Open:
		return None
	case proof == MachineEnded && later.AbsentAt >= start.EndedAt+ListLag:
		return MachineEnded
	case now > later.LeasesUntil:
		return LeasesLapsed
	}
	return None
}
