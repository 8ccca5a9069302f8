package control

import (
	"context"
	"encoding/json"
	"slices"

	"github.com/pkg/errors"

	"marjoramtiller.example/marjoramtiller/connection/wirepb"
	"marjoramtiller.example/marjoramtiller/process/consensus"
	"marjoramtiller.example/marjoramtiller/process/operator"
	"marjoramtiller.example/marjoramtiller/process/replica"
)

// ChangeVoter implements operator.Control. It changes the groups that this
// process leads and leaves out those that have the change already. While another
// group lacks it, the error names that group's leader: the groups may have
// different leaders, and an operator who asks each of them changes all groups.
func (o *Operators) ChangeVoter(ctx context.Context, c operator.VoterChange) error {
	var elsewhere error
	for _, name := range o.s.groupNames() {
		r := o.s.groups[name]
		st := r.Status()
		if st.Role != consensus.Leader {
			if !o.s.leaderHasChange(ctx, name, st.Leader, c) {
				elsewhere = &operator.NotLeaderError{Leader: st.Leader}
			}
			continue
		}
		if hasChange(st.Voters, st.Learners, c) {
			continue
		}
		if err := r.ChangeVoter(ctx, replicaChange(c)); err != nil {
			return operatorError(errors.WithMessage(err, "group "+name))
		}
	}
	return elsewhere
}

func replicaChange(c operator.VoterChange) replica.VoterChange {
	change := replica.VoterChange{Name: c.ID, Kind: consensus.Remove}
	switch c.Kind {
	case operator.AddLearner:
		change.Kind = consensus.AddLearner
	case operator.Promote:
		change.Kind = consensus.Promote
	}
	return change
}

// hasChange reports whether a membership has the change.
func hasChange(voters, learners []string, c operator.VoterChange) bool {
	votes, learns := slices.Contains(voters, c.ID), slices.Contains(learners, c.ID)
	switch c.Kind {
	case operator.AddLearner:
		return votes || learns
	case operator.Promote:
		return votes
	default:
		return !votes && !learns
	}
}

// leaderHasChange asks the leader of a group for its membership, since this
// process's own copy may be old.
func (s *Server) leaderHasChange(ctx context.Context, group, leader string, c operator.VoterChange) bool {
	if leader == "" {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, barrierTimeout)
	defer cancel()
	resp, err := s.pool.Call(ctx, leader, &wirepb.Request{Body: &wirepb.Request_Dump{Dump: &wirepb.DumpRequest{}}})
	if callError(group, resp, err) != nil {
		return false
	}
	var d processDump
	if json.Unmarshal(resp.GetDump().GetJson(), &d) != nil {
		return false
	}
	for _, g := range d.Groups {
		if g.Group == group && g.Leader == d.Process {
			return hasChange(g.Voters, g.Learners, c)
		}
	}
	return false
}
