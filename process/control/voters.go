package control

import (
	"context"
	"slices"

	"github.com/pkg/errors"

	"marjoramtiller.example/marjoramtiller/connection/wirepb"
	"marjoramtiller.example/marjoramtiller/process/consensus"
	"marjoramtiller.example/marjoramtiller/process/operator"
	"marjoramtiller.example/marjoramtiller/process/replica"
)

var voterKinds = map[operator.VoterChangeKind]wirepb.VoterRequest_Kind{
	operator.AddLearner:  wirepb.VoterRequest_KIND_ADD_LEARNER,
	operator.Promote:     wirepb.VoterRequest_KIND_PROMOTE,
	operator.RemoveVoter: wirepb.VoterRequest_KIND_REMOVE,
}

// ChangeVoter implements operator.Control. Any process can execute it: it changes the
// groups one after the other at their leaders. After a failure part way the same call
// can be repeated, because a change that is already in effect succeeds. A learner is
// promoted only after it has caught up in all groups.
func (o *Operators) ChangeVoter(ctx context.Context, c operator.VoterChange) error {
	kinds := []wirepb.VoterRequest_Kind{voterKinds[c.Kind]}
	if c.Kind == operator.Promote {
		kinds = []wirepb.VoterRequest_Kind{wirepb.VoterRequest_KIND_CHECK_CAUGHT_UP, wirepb.VoterRequest_KIND_PROMOTE}
	}
	for _, kind := range kinds {
		for _, name := range o.server.groupNames() {
			req := &wirepb.VoterRequest{Group: name, Kind: kind, Id: c.ID}
			if err := o.server.changeMemberAtLeader(ctx, req); err != nil {
				return operatorError(errors.WithMessage(err, "group "+name))
			}
		}
	}
	return nil
}

func (s *Server) changeMemberAtLeader(ctx context.Context, req *wirepb.VoterRequest) error {
	leader := s.groups[req.GetGroup()].Status().Leader
	switch leader {
	case "":
		return &UnavailableError{Group: req.GetGroup(), Cause: "no leader is known"}
	case s.options.Process:
		return s.changeMember(ctx, req)
	}
	resp, err := s.pool.Call(ctx, leader, &wirepb.Request{Body: &wirepb.Request_Voter{Voter: req}})
	return callError(req.GetGroup(), resp, err)
}

// changeMember changes the voters or learners of a group that this process leads.
func (s *Server) changeMember(ctx context.Context, req *wirepb.VoterRequest) error {
	r := s.groups[req.GetGroup()]
	if r == nil {
		return &InvalidRequestError{Message: "group " + req.GetGroup() + " does not exist: set the same number of ledger groups on all hosts"}
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	change := replica.VoterChange{Name: req.GetId()}
	switch req.GetKind() {
	case wirepb.VoterRequest_KIND_CHECK_CAUGHT_UP:
		return checkCaughtUp(ctx, r, req)
	case wirepb.VoterRequest_KIND_ADD_LEARNER:
		change.Kind = consensus.AddLearner
	case wirepb.VoterRequest_KIND_PROMOTE:
		change.Kind = consensus.Promote
	case wirepb.VoterRequest_KIND_REMOVE:
		change.Kind = consensus.Remove
	default:
		return &InvalidRequestError{Message: "the kind of voter change is unknown: run the same release on all hosts"}
	}
	err := r.ChangeVoter(ctx, change)
	// The replica validates a change only after the previous change is committed.
	// Therefore a change that is invalid because it is already in effect is committed.
	var invalid *consensus.InvalidChangeError
	if !errors.As(err, &invalid) {
		return err
	}
	if inEffect(r.Status(), req) {
		return nil
	}
	return &InvalidRequestError{Message: err.Error()}
}

func inEffect(st replica.Status, req *wirepb.VoterRequest) bool {
	voter := slices.Contains(st.Voters, req.GetId())
	learner := slices.Contains(st.Learners, req.GetId())
	switch req.GetKind() {
	case wirepb.VoterRequest_KIND_ADD_LEARNER:
		return voter || learner
	case wirepb.VoterRequest_KIND_PROMOTE:
		return voter
	default:
		return !voter && !learner
	}
}

// checkCaughtUp returns an error unless the named replica has every committed log entry
// of a group that this process leads, or is a voter of it already.
func checkCaughtUp(ctx context.Context, r *replica.Replica, req *wirepb.VoterRequest) error {
	if err := r.ReadBarrier(ctx); err != nil {
		return err
	}
	st := r.Status()
	switch {
	case slices.Contains(st.Voters, req.GetId()):
		return nil
	case !slices.Contains(st.Learners, req.GetId()):
		return &InvalidRequestError{Message: req.GetId() + " is not a member of the group: add it as a learner first"}
	case st.Match[req.GetId()] < st.Commit:
		return &UnavailableError{Group: req.GetGroup(), Cause: req.GetId() + " has not caught up with the group's log"}
	}
	return nil
}
