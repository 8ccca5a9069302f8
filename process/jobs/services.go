package jobs

import (
	"context"
	"fmt"
	"time"

	"marjoramtiller.example/marjoramtiller/job/jobpb"
)

// Machine is a machine in the machine service's list.
type Machine struct {
	Name     string
	Pool     string
	Up       bool // not being moved, not out for upkeep and not down
	Cores    float64
	WorkerID string
}

// MachineList is the machine service's list of machines.
type MachineList struct {
	Machines []Machine
	// Unreadable is the number of entries that could not be read and are left out. Such a
	// list does not show that a machine or a worker is gone.
	Unreadable int
}

// Leadership is a leader's right to order machines.
type Leadership struct {
	Fence uint64 // rises with each leader
	// Remaining returns for how long the right still lasts, 0 or less if it has ended. It is
	// called right before an order is written: an order may wait for a connection, and the
	// process may stand still meanwhile, until a successor has ordered the same machine.
	Remaining func() time.Duration
}

// Machines is the platform's machine service. An order that was not written because the
// leadership had ended returns an orders.NotSentError.
type Machines interface {
	List(ctx context.Context) (MachineList, error)
	Move(ctx context.Context, machine, pool string, l Leadership) error
	Upkeep(ctx context.Context, machine string, wave uint64, l Leadership) error
}

// Advisor decides on which workers a step may run. Advise returns a ticket for each
// allowed worker, by worker id.
type Advisor interface {
	Advise(ctx context.Context, step string, workers []string) (tickets map[string]string, err error)
}

// Report is a worker's periodic report of its own state.
type Report struct {
	Worker   *jobpb.Worker
	Sequence uint64
	ClockMs  int64
}

// UnavailableError reports that this process can't handle a request now. The request
// had no effect.
type UnavailableError struct{ Reason string }

// Error implements error.
func (e *UnavailableError) Error() string {
	return e.Reason + "; retry shortly, at this or another node"
}

// UnstorableError reports a change that the log can't hold. It changed nothing, and would
// be rejected again.
type UnstorableError struct{ Err error }

// Error implements error.
func (e *UnstorableError) Error() string {
	return fmt.Sprintf("the change can't be stored: %v; send a smaller or well-formed one", e.Err)
}

// Unwrap returns the cause.
func (e *UnstorableError) Unwrap() error { return e.Err }

// InvalidError reports a change that can't be accepted.
type InvalidError struct{ Reason string }

// Error implements error.
func (e *InvalidError) Error() string {
	return "invalid: " + e.Reason + "; correct it and send it again"
}
