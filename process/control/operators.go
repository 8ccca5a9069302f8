package control

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"marjoramtiller.example/marjoramtiller/connection/wirepb"
	"marjoramtiller.example/marjoramtiller/process/operator"
	"marjoramtiller.example/marjoramtiller/process/replica"
	"marjoramtiller.example/marjoramtiller/version/fleet"
	"marjoramtiller.example/marjoramtiller/version/fleetpb"
	"marjoramtiller.example/marjoramtiller/version/plan"
	"marjoramtiller.example/marjoramtiller/version/reconcile"
)

// Operators is the operator interface of a Server. It implements operator.Control.
type Operators struct{ server *Server }

// Operators returns the operator interface of the server.
func (s *Server) Operators() *Operators { return &Operators{s} }

var _ operator.Control = (*Operators)(nil)

// Configure implements operator.Control. If this process is not the leader, it
// forwards the command to the leader.
func (o *Operators) Configure(ctx context.Context, c *fleetpb.Command) (*fleetpb.Result, error) {
	resp, err := o.server.leaderCall(ctx, &wirepb.Request{Body: &wirepb.Request_Fleet{Fleet: &wirepb.FleetRequest{Command: c}}})
	if err != nil {
		return nil, operatorError(err)
	}
	return resp.GetFleet().GetResult(), nil
}

// Snapshot implements operator.Control. It fails if this process is not the leader.
func (o *Operators) Snapshot(ctx context.Context) (*fleetpb.Snapshot, error) {
	if _, err := o.server.leaderTerm(ctx); err != nil {
		return nil, operatorError(err)
	}
	var out *fleetpb.Snapshot
	o.server.viewFleet(func(f *fleet.Fleet) { out = f.State() })
	return proto.Clone(out).(*fleetpb.Snapshot), nil
}

// InForce implements operator.Control. It fails if this process is not the leader.
func (o *Operators) InForce(ctx context.Context) (accepted, inForce uint64, err error) {
	t, err := o.server.leaderTerm(ctx)
	if err != nil {
		return 0, 0, operatorError(err)
	}
	o.server.mu.Lock()
	defer o.server.mu.Unlock()
	accepted = o.server.version.Load()
	return accepted, t.lease.InForce(accepted, o.server.clock.Now()), nil
}

// PauseWave implements operator.Control.
func (o *Operators) PauseWave(ctx context.Context, w operator.WaveRequest) (*fleetpb.Result, error) {
	return o.waveStep(ctx, w, fleetpb.WaveState_WAVE_STATE_PAUSED, reconcile.OperatorPause+w.Reason)
}

// ResumeWave implements operator.Control.
func (o *Operators) ResumeWave(ctx context.Context, w operator.WaveRequest) (*fleetpb.Result, error) {
	return o.waveStep(ctx, w, fleetpb.WaveState_WAVE_STATE_RUNNING, "")
}

func (o *Operators) waveStep(ctx context.Context, w operator.WaveRequest, state fleetpb.WaveState, reason string) (*fleetpb.Result, error) {
	return o.Configure(ctx, &fleetpb.Command{
		RequestId: w.RequestID,
		Actor:     w.Operator,
		Body:      &fleetpb.Command_WaveStep{WaveStep: &fleetpb.WaveStep{Wave: w.Wave, State: state, Reason: reason}},
	})
}

// Voters implements operator.Control. It returns the local replicas' state.
func (o *Operators) Voters(context.Context) ([]operator.Voter, error) {
	var out []operator.Voter
	for name, r := range o.server.groups {
		st := r.Status()
		for _, id := range st.Voters {
			out = append(out, operator.Voter{Group: name, ID: id, Leader: st.Leader == id, CaughtUp: true})
		}
		for _, id := range st.Learners {
			out = append(out, operator.Voter{Group: name, ID: id, Learner: true, CaughtUp: st.Match[id] >= st.Commit})
		}
	}
	return out, nil
}

// Dump implements operator.Control.
func (o *Operators) Dump(ctx context.Context) ([]byte, error) { return o.server.Dump(ctx) }

// operatorError maps an error to the error types of package operator.
func operatorError(err error) error {
	var notLeader *replica.NotLeaderError
	var unavailable *UnavailableError
	var invalid *InvalidRequestError
	var notProposed *replica.NotProposedError
	var outcomeUnknown *OutcomeUnknownError
	var replicaUnknown *replica.OutcomeUnknownError
	switch {
	case errors.As(err, &notLeader):
		return &operator.NotLeaderError{Leader: notLeader.Leader}
	case errors.As(err, &unavailable), errors.As(err, &notProposed):
		return &operator.UnavailableError{Reason: err.Error()}
	case errors.As(err, &invalid):
		return &operator.InvalidError{Reason: err.Error(), Remedy: "correct the request"}
	case errors.As(err, &replicaUnknown), errors.As(err, &outcomeUnknown), errors.Is(err, context.DeadlineExceeded):
		return &operator.OutcomeUnknownError{Reason: err.Error()}
	}
	return &operator.UnavailableError{Reason: err.Error()}
}

// groupDump is the state of one consensus group in a dump.
type groupDump struct {
	Group           string   `json:"group"`
	Role            string   `json:"role"`
	Leader          string   `json:"leader"`
	Term            uint64   `json:"term"`
	Commit          uint64   `json:"commit"`
	Applied         uint64   `json:"applied"`
	FirstIndex      uint64   `json:"first_index"`
	LastIndex       uint64   `json:"last_index"`
	Voters          []string `json:"voters"`
	Learners        []string `json:"learners,omitempty"`
	BrokenInvariant string   `json:"broken_invariant,omitempty"`
	DiskFull        bool     `json:"disk_full,omitempty"`
}

// sessionDump is an entry's session in a dump.
type sessionDump struct {
	Entry        string `json:"entry"`
	BootID       string `json:"boot_id"`
	AckedVersion uint64 `json:"acked_version"`
	LeaseLeftMs  int64  `json:"lease_left_ms"`
}

// processDump is the dump of one process.
type processDump struct {
	Process     string             `json:"process"`
	BootID      string             `json:"boot_id"`
	Zone        string             `json:"zone"`
	Version     uint64             `json:"version"`
	Groups      []groupDump        `json:"groups"`
	Term        uint64             `json:"term,omitempty"`
	Sessions    []sessionDump      `json:"sessions,omitempty"`
	LiveServers int                `json:"live_servers"`
	CannotRun   []plan.CannotRun   `json:"cannot_run,omitempty"`
	Quarantined []plan.Quarantined `json:"quarantined,omitempty"`
}

// Dump returns this process's state as JSON.
func (s *Server) Dump(context.Context) ([]byte, error) {
	d := processDump{Process: s.options.Process, BootID: s.bootID, Zone: s.options.Zone, Version: s.version.Load()}
	for _, name := range s.groupNames() {
		st := s.groups[name].Status()
		d.Groups = append(d.Groups, groupDump{
			Group: name, Role: st.Role.String(), Leader: st.Leader, Term: st.Term,
			Commit: st.Commit, Applied: st.Applied, FirstIndex: st.FirstIndex, LastIndex: st.LastIndex,
			Voters: st.Voters, Learners: st.Learners,
			BrokenInvariant: st.BrokenInvariant, DiskFull: st.DiskFull,
		})
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if t := s.term; t != nil && isLeader(s.fleet) {
		now := s.clock.Now()
		d.Term = t.number
		for _, x := range t.lease.Sessions() {
			d.Sessions = append(d.Sessions, sessionDump{
				Entry: x.ID.Entry, BootID: x.ID.BootID, AckedVersion: x.AckedVersion,
				LeaseLeftMs: (x.LeaseEnd - now).Milliseconds(),
			})
		}
		d.LiveServers = len(t.live.added)
		d.CannotRun = t.jobs.CannotRun()
		d.Quarantined = t.jobs.Quarantined()
	}
	return json.Marshal(d)
}
