package jobs

import (
	"context"
	"fmt"

	"github.com/pkg/errors"

	"marjoramtiller.example/marjoramtiller/job/jobpb"
)

// Target is the worker that an order is for.
type Target struct{ ID, Address string }

// StartOrder tells a worker to start a run of a task.
type StartOrder struct {
	Task       *jobpb.TaskRef
	Run        uint32
	Spec       string
	Checkpoint string // empty: begin anew
	Ticket     string // of the advisor, empty without one
	DeadlineMs int64  // on the worker's clock: everything there ends then
	Fence      uint64
}

// RunOrder concerns a run on a worker.
type RunOrder struct {
	Task    *jobpb.TaskRef
	Run     uint32
	Percent uint32 // Pace only: the share at which the task works
	Fence   uint64
}

// HoldOrder extends the lease of all runs on a worker and asks for a list of them.
type HoldOrder struct {
	DeadlineMs int64 // 0: extends nothing
	LastSeen   uint64
	WaitMs     int64 // how long the worker may wait for an end
	Fence      uint64
}

// Run is a run at work on a worker.
type Run struct {
	Task       *jobpb.TaskRef
	Run        uint32
	Checkpoint string
	Percent    int
	// Load is the latency tail in ms of a serving task, else the thousandths of a core in use.
	Load int64
}

// EndedRun is a run that has ended on a worker.
type EndedRun struct {
	Number     uint64 // counts from 1 in the life of a worker's process
	Task       *jobpb.TaskRef
	Run        uint32
	How        jobpb.How
	Checkpoint string
}

// Look is a worker's list of its runs.
type Look struct {
	ClockMs int64
	BornMs  int64
	Running []Run
	Ended   []EndedRun
}

// Reason is why a worker has refused an order.
type Reason string

// Reasons of refusals.
const (
	RefusedFence     Reason = "a higher fence was seen"
	RefusedOld       Reason = "a run with this number or a higher one has ended"
	RefusedLate      Reason = "the deadline has passed"
	RefusedRoom      Reason = "there is no room"
	RefusedTicket    Reason = "the advisor's ticket is missing or has expired"
	RefusedUnhealthy Reason = "the worker is unhealthy"
	RefusedReborn    Reason = "the worker's process has changed"
	RefusedInvalid   Reason = "the order is invalid"
	RefusedBusy      Reason = "the machine is not up"
	RefusedWave      Reason = "the machine is not part of the wave"
)

// RefusedError reports an order that was not and will not be carried out.
type RefusedError struct {
	Reason  Reason
	ClockMs int64 // worker's clock, 0 if not told
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("order refused: %s; plan again from the worker's list of runs", e.Reason)
}

// NotSentError reports an order of which nothing was sent: no connection could be
// opened. It is never carried out.
type NotSentError struct{ Err error }

// Error implements error.
func (e *NotSentError) Error() string {
	return fmt.Sprintf("order was not sent: %v; plan again with another worker", e.Err)
}

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Err }

// neverCarriedOut reports whether a failed order is certain to have no effect.
func neverCarriedOut(err error) bool {
	var refused *RefusedError
	var notSent *NotSentError
	return errors.As(err, &refused) || errors.As(err, &notSent)
}

// Workers sends orders to workers. A RefusedError or a NotSentError means that the
// order is never carried out; any other error that it may be, also later.
type Workers interface {
	Start(ctx context.Context, to Target, o StartOrder) (clockMs int64, err error)
	Stop(ctx context.Context, to Target, o RunOrder) (clockMs int64, err error)
	Pace(ctx context.Context, to Target, o RunOrder) (clockMs int64, err error)
	Hold(ctx context.Context, to Target, o HoldOrder) (*Look, error)
}

// Machine is a machine as the platform lists it.
type Machine struct {
	Name     string
	Pool     string
	Up       bool // neither moving nor out for upkeep nor down
	Cores    float64
	WorkerID string
}

// Machines is the platform's service for machines.
type Machines interface {
	List(ctx context.Context) ([]Machine, error)
	Move(ctx context.Context, machine, pool string, fence uint64) error
	Upkeep(ctx context.Context, machine string, wave uint64, fence uint64) error
}

// Advisor tells on which workers a step may run.
type Advisor interface {
	Advise(ctx context.Context, step string, workers []string) (tickets map[string]string, err error)
}

// Report is what a worker says of itself.
type Report struct {
	Worker   *jobpb.Worker
	Sequence uint64
	ClockMs  int64
}

// UnavailableError reports that this process can't answer now. Nothing was done.
type UnavailableError struct{ Reason string }

// Error implements error.
func (e *UnavailableError) Error() string { return e.Reason + "; retry shortly, also at another node" }

// InvalidError reports a change that can't be accepted.
type InvalidError struct{ Reason string }

// Error implements error.
func (e *InvalidError) Error() string {
	return "invalid: " + e.Reason + "; correct it and send it again"
}
