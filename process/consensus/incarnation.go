package consensus

import (
	"slices"

	"marjoramtiller.example/marjoramtiller/connection/wirepb"
)

// A voter that has lost its folder must not take part under its old name: it may
// have voted in the current term or acknowledged entries that it has no record
// of. Each folder has an incarnation id, which every message carries. The
// membership binds a voter's name to its id: the first leader of a group binds
// the founders from the pre-votes that it needs from all of them, and a promotion
// binds the replica whose acknowledgements made it caught up. From then on
//   - nobody counts a vote or an acknowledgement of another incarnation;
//   - a message names the incarnation that its sender has bound, and a receiver
//     with another one stops;
//   - a replica stops that finds its own name bound to another one in its log.
//
// A name is therefore never used again for another folder.

// foreign reports whether m is a promise of a replica that has taken the name of
// a voter.
func (c *Core) foreign(m *wirepb.RaftMessage) bool {
	switch m.Type {
	case wirepb.RaftMessage_TYPE_PRE_VOTE_RESPONSE, wirepb.RaftMessage_TYPE_VOTE_RESPONSE,
		wirepb.RaftMessage_TYPE_APPEND_RESPONSE, wirepb.RaftMessage_TYPE_HEARTBEAT_RESPONSE:
		bound := c.voters().GetIncarnations()[m.From]
		return bound != 0 && bound != m.Incarnation
	}
	return false
}

// checkIncarnation stops the core if a membership in its log binds its name to
// another folder.
func (c *Core) checkIncarnation() {
	for _, m := range c.log.memberships {
		bound := m.voters.GetIncarnations()[c.cfg.ID]
		if bound != 0 && bound != c.cfg.Incarnation {
			c.fail(&EmptyDiskError{ID: c.cfg.ID})
		}
	}
}

// foundingIncarnations returns the ids that are known of the founders.
func (c *Core) foundingIncarnations() map[string]uint64 {
	known := map[string]uint64{}
	for _, name := range c.voters().Voters {
		if id := c.founders[name]; id != 0 {
			known[name] = id
		}
	}
	return known
}

// hasVote reports whether the candidate of m counts this replica's vote. A
// learner can't know that it was promoted while the only leader that knows is
// down; that leader then names the learner's incarnation, and without the vote a
// group that grows from one voter to two would never have a leader again.
func (c *Core) hasVote(m *wirepb.RaftMessage) bool {
	return c.isVoter() || (m.ToIncarnation != 0 && m.ToIncarnation == c.cfg.Incarnation)
}

// mayCampaign reports whether this replica may become leader: it is a voter, or
// it is the only one that has the entry that removes it, without which the
// remaining voters get no leader.
func (c *Core) mayCampaign() bool {
	if c.isVoter() {
		return true
	}
	n := len(c.log.memberships)
	return n > 1 && c.changePending() && slices.Contains(c.log.memberships[n-2].voters.GetVoters(), c.cfg.ID)
}
