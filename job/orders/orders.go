// Package orders holds the orders that the leader of jobs sends to workers, their
// answers and the errors of those that fail. It contains no I/O.
package orders

import (
	"context"
	"fmt"

	"github.com/pkg/errors"

	"marjoramtiller.example/marjoramtiller/job/jobpb"
)

// Target is the worker that an order is sent to.
type Target struct{ ID, Address string }

// StartOrder is the order to start a run of a task.
type StartOrder struct {
	Task       *jobpb.TaskRef
	Run        uint32
	Spec       string
	Checkpoint string // empty: start from the beginning
	Ticket     string // issued by the advisor, empty if none is needed
	DeadlineMs int64  // end of the lease of all runs on the worker, on the worker's clock
	Fence      uint64
}

// RunOrder is an order for one run on a worker.
type RunOrder struct {
	Task    *jobpb.TaskRef
	Run     uint32
	Percent uint32 // only for Pace: the share of full speed at which the task works
	Fence   uint64
}

// HoldOrder extends the lease of all runs on a worker and requests a list of them.
type HoldOrder struct {
	DeadlineMs int64  // 0: the lease is not extended
	LastSeen   uint64 // highest number of an end that is in the log: the worker need not list it again
	WaitMs     int64  // how long the worker may delay its answer until a run ends
	Fence      uint64
}

// Run is a run that is running on a worker.
type Run struct {
	Task       *jobpb.TaskRef
	Run        uint32
	Checkpoint string
	Percent    int
	// Load is the tail latency in ms for a serving task, else the CPU in use in
	// thousandths of a core.
	Load int64
}

// EndedRun is a run that has ended on a worker.
type EndedRun struct {
	Number     uint64 // counts from 1 for each worker process
	Task       *jobpb.TaskRef
	Run        uint32
	How        jobpb.How
	Checkpoint string
}

// RunList is a worker's list of its runs.
type RunList struct {
	ClockMs   int64 // worker's clock
	StartedMs int64 // when the worker's process started; identifies the process
	Running   []Run
	Ended     []EndedRun
	// EndsComplete reports that Ended holds every end after LastSeen of the hold; a list
	// may be cut off.
	EndsComplete bool
}

// Reason is why a worker or the machine service has refused an order.
type Reason string

// Reasons of refusals.
const (
	RefusedFence        Reason = "a higher fence was seen"
	RefusedStaleRun     Reason = "a run with this number or a higher one has ended"
	RefusedDeadline     Reason = "the deadline has passed"
	RefusedCapacity     Reason = "there is not enough free capacity"
	RefusedTicket       Reason = "the advisor's ticket is missing or has expired"
	RefusedUnhealthy    Reason = "the worker is unhealthy"
	RefusedOtherProcess Reason = "another process answers at the worker's address"
	RefusedInvalid      Reason = "the order is invalid"
	RefusedMachineDown  Reason = "the machine is not up"
	RefusedNotInWave    Reason = "the machine is not part of the wave"
)

// RefusedError reports an order that was not and will not be carried out.
type RefusedError struct {
	Reason  Reason
	ClockMs int64 // worker's clock, 0 if not reported
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("order refused: %s; plan again from the worker's list of runs", e.Reason)
}

// NotSentError reports an order that was not sent, since no connection could be
// opened. It is never carried out.
type NotSentError struct{ Err error }

// Error implements error.
func (e *NotSentError) Error() string {
	return fmt.Sprintf("order was not sent: %v; plan again with another worker", e.Err)
}

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Err }

// NeverCarriedOut reports whether a failed order is certain to have no effect.
func NeverCarriedOut(err error) bool {
	var refused *RefusedError
	var notSent *NotSentError
	return errors.As(err, &refused) || errors.As(err, &notSent)
}

// OtherProcess reports whether a process of another id has answered an order, so that the
// worker's process does not listen at its address any more. A refused connection does not
// show that: the network may have refused it.
func OtherProcess(err error) bool {
	var refused *RefusedError
	return errors.As(err, &refused) && refused.Reason == RefusedOtherProcess
}

// Workers sends orders to workers. After a RefusedError or a NotSentError the order
// is never carried out; after any other error it may be, also at a later time.
type Workers interface {
	Start(ctx context.Context, to Target, o StartOrder) (clockMs int64, err error)
	Stop(ctx context.Context, to Target, o RunOrder) (clockMs int64, err error)
	Pace(ctx context.Context, to Target, o RunOrder) (clockMs int64, err error)
	Hold(ctx context.Context, to Target, o HoldOrder) (*RunList, error)
}

// RelayError reports that the control process which was to send an order did not say
// what became of it. The order may be carried out. It says nothing about the worker.
type RelayError struct {
	Relay string
	Err   error
}

// Error implements error.
func (e *RelayError) Error() string {
	return fmt.Sprintf("no outcome from the relay %s: %v; ask the worker for its runs through another one", e.Relay, e.Err)
}

// Unwrap returns the cause.
func (e *RelayError) Unwrap() error { return e.Err }
