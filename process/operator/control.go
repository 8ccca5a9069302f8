// Package operator provides two HTTP interfaces: the one for operators, served
// by the control daemon, and the one on which backend servers announce
// themselves, served by the entry daemon.
package operator

import (
	"context"
	"fmt"

	"marjoramtiller.example/marjoramtiller/connection/wirepb"
	"marjoramtiller.example/marjoramtiller/version/fleetpb"
)

// Control is the part of the control daemon that the operators' interface
// calls. Its methods return the error types of this package; any other error is
// reported to the client as an internal error without its text.
type Control interface {
	// Configure applies a command with a Configure or HostStep body. A repeated
	// request id returns the result of the first request.
	Configure(ctx context.Context, c *fleetpb.Command) (*fleetpb.Result, error)
	// Snapshot returns the state from a linearizable read.
	Snapshot(ctx context.Context) (*fleetpb.Snapshot, error)
	// InForce returns the accepted version and the version in force everywhere.
	InForce(ctx context.Context) (accepted, inForce uint64, err error)
	// PauseWave pauses a wave until an operator resumes it.
	PauseWave(ctx context.Context, w WaveRequest) (*fleetpb.Result, error)
	// ResumeWave resumes a paused wave.
	ResumeWave(ctx context.Context, w WaveRequest) (*fleetpb.Result, error)
	// Voters lists the members of each consensus group.
	Voters(ctx context.Context) ([]Voter, error)
	// ChangeVoter changes one member in every consensus group.
	ChangeVoter(ctx context.Context, c VoterChange) error
	// Dump returns the internal state of the process as JSON.
	Dump(ctx context.Context) ([]byte, error)
}

// Announcer is the part of the entry daemon that the announcement interface
// calls.
type Announcer interface {
	Announce(ctx context.Context, r *wirepb.AnnounceRequest) (*wirepb.AnnounceResponse, error)
}

// WaveRequest is a request to pause or resume a wave.
type WaveRequest struct {
	RequestID string
	Operator  string
	Wave      string
	Reason    string // pause only
}

// Voter is one member of a consensus group.
type Voter struct {
	Group    string `json:"group"`
	ID       string `json:"id"` // replica id, which is the process name
	Learner  bool   `json:"learner"`
	CaughtUp bool   `json:"caught_up"` // the learner can be promoted
	Leader   bool   `json:"leader"`
}

// VoterChangeKind is the kind of a membership change.
type VoterChangeKind string

// Kinds of membership changes.
const (
	AddLearner  VoterChangeKind = "add-learner"
	Promote     VoterChangeKind = "promote"
	RemoveVoter VoterChangeKind = "remove"
)

// VoterChange is a request to change one member of every consensus group.
type VoterChange struct {
	Kind     VoterChangeKind
	ID       string // replica id
	Operator string
}

// NotLeaderError means that another process is the leader; nothing was done.
type NotLeaderError struct{ Leader string }

func (e *NotLeaderError) Error() string {
	if e.Leader == "" {
		return "there is no leader now; nothing was done; retry"
	}
	return fmt.Sprintf("process %s is the leader; nothing was done; send the request to it", e.Leader)
}

// UnavailableError means that nothing was done and a retry may succeed.
type UnavailableError struct{ Reason string }

func (e *UnavailableError) Error() string { return e.Reason + "; nothing was done; retry" }

// OutcomeUnknownError means that the change may or may not take effect.
type OutcomeUnknownError struct{ Reason string }

func (e *OutcomeUnknownError) Error() string {
	return e.Reason + "; the change may or may not take effect; send it again with the same request id"
}

// NotFoundError means that the named object does not exist.
type NotFoundError struct{ Kind, Name string }

func (e *NotFoundError) Error() string {
	return fmt.Sprintf("there is no %s named %q; correct the name", e.Kind, e.Name)
}

// InvalidError means that the request itself is invalid, so a retry of the same
// request fails again.
type InvalidError struct{ Reason, Remedy string }

func (e *InvalidError) Error() string { return e.Reason + "; " + e.Remedy }
