// Package operator provides the HTTP interfaces of operators and of the
// backend servers' announcements.
package operator

import (
	"context"
	"fmt"

	"marjoramtiller.example/marjoramtiller/connection/wirepb"
	"marjoramtiller.example/marjoramtiller/version/fleetpb"
)

// Control is what the operators' interface needs of the control daemon. Its
// methods return the error types of this package; any other error is reported
// as an internal error without its text.
type Control interface {
	// Configure applies a command with a Configure or HostStep body. The same
	// request id gets the same result.
	Configure(ctx context.Context, c *fleetpb.Command) (*fleetpb.Result, error)
	// Snapshot is a linearizable read of the state.
	Snapshot(ctx context.Context) (*fleetpb.Snapshot, error)
	// InForce returns the accepted version and the version in force everywhere.
	InForce(ctx context.Context) (accepted, inForce uint64, err error)
	// PauseWave pauses a wave until an operator resumes it.
	PauseWave(ctx context.Context, w WaveRequest) (*fleetpb.Result, error)
	ResumeWave(ctx context.Context, w WaveRequest) (*fleetpb.Result, error)
	// Voters lists the members of each consensus group.
	Voters(ctx context.Context) ([]Voter, error)
	// ChangeVoter changes one member in every consensus group.
	ChangeVoter(ctx context.Context, c VoterChange) error
	// Dump returns the process's state as JSON.
	Dump(ctx context.Context) ([]byte, error)
}

// Announcer is what the announcement interface needs of the entry daemon.
type Announcer interface {
	Announce(ctx context.Context, r *wirepb.AnnounceRequest) (*wirepb.AnnounceResponse, error)
}

// WaveRequest pauses or resumes a wave.
type WaveRequest struct {
	RequestID string
	Operator  string
	Wave      string
	Reason    string // pause only
}

// Voter is one member of a consensus group.
type Voter struct {
	Group    string `json:"group"`
	ID       string `json:"id"` // replica id, the process's name
	Learner  bool   `json:"learner"`
	CaughtUp bool   `json:"caught_up"` // a learner may be promoted
	Leader   bool   `json:"leader"`
}

// VoterChangeKind says how membership changes.
type VoterChangeKind string

// Kinds of voter changes.
const (
	AddLearner  VoterChangeKind = "add-learner"
	Promote     VoterChangeKind = "promote"
	RemoveVoter VoterChangeKind = "remove"
)

// VoterChange changes one member of every consensus group.
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
	return fmt.Sprintf("process %s is the leader; nothing was done; ask it", e.Leader)
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

// InvalidError means that the request is at fault; a retry does not help.
type InvalidError struct{ Reason, Remedy string }

func (e *InvalidError) Error() string { return e.Reason + "; " + e.Remedy }
