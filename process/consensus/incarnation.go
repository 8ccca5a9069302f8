package consensus

import (
	"slices"

	"marjoramtiller.example/marjoramtiller/connection/wirepb"
)

// A voter that has lost its data folder must not continue under its old name: it
// may have voted in the current term or acknowledged entries, and the record of
// that is lost. Each data folder therefore has an incarnation id, which every
// message carries. The membership maps the names of voters to their incarnation
// ids. The first leader of a group records the ids of the founding voters, which
// it has from their pre-votes: the first election needs the pre-votes of all of
// them. A promotion records the id of the replica whose acknowledgements showed
// that the learner is caught up. Once a voter's id is recorded:
//   - votes and acknowledgements with another incarnation id are ignored;
//   - a message carries the id that the sender has recorded for the receiver, and
//     a receiver with another id stops;
//   - a replica stops if its log records another id for its own name.
//
// A name can therefore not be reused with another data folder.

// incarnationMismatch reports whether m is a vote or an acknowledgement under a
// voter's name that comes from another incarnation than the recorded one.
func (c *Core) incarnationMismatch(m *wirepb.RaftMessage) bool {
	switch m.Type {
	case wirepb.RaftMessage_TYPE_PRE_VOTE_RESPONSE, wirepb.RaftMessage_TYPE_VOTE_RESPONSE,
		wirepb.RaftMessage_TYPE_APPEND_RESPONSE, wirepb.RaftMessage_TYPE_HEARTBEAT_RESPONSE:
		bound := c.voters().GetIncarnations()[m.From]
		return bound != 0 && bound != m.Incarnation
	}
	return false
}

// checkIncarnation stops the core if a membership in its log records another
// incarnation for this replica's name.
func (c *Core) checkIncarnation() {
	for _, m := range c.log.memberships {
		bound := m.voters.GetIncarnations()[c.cfg.ID]
		if bound != 0 && bound != c.cfg.Incarnation {
			c.fail(&EmptyDiskError{ID: c.cfg.ID})
		}
	}
}

// foundingIncarnations returns the incarnation ids of the founding voters that
// have one.
func (c *Core) foundingIncarnations() map[string]uint64 {
	recorded := map[string]uint64{}
	for _, name := range c.voters().Voters {
		if id := c.preVoteIncarnations[name]; id != 0 {
			recorded[name] = id
		}
	}
	return recorded
}

// isVoterFor reports whether this replica may vote for the candidate that sent m.
// A learner may have been promoted without having received the membership entry.
// The candidate's membership then lists it as a voter, and the message carries its
// incarnation. The learner must vote in this case: if a group grows from one voter
// to two and the leader restarts before it has sent the entry, the leader needs
// this vote, and without it the group could never elect a leader again.
func (c *Core) isVoterFor(m *wirepb.RaftMessage) bool {
	return c.isVoter() || (m.ToIncarnation != 0 && m.ToIncarnation == c.cfg.Incarnation)
}

// mayCampaign reports whether this replica may become leader: it is a voter, or
// the uncommitted latest membership removes it. In the second case it may be the
// only replica with that membership entry, and the remaining voters could not
// elect a leader without the entry.
func (c *Core) mayCampaign() bool {
	if c.isVoter() {
		return true
	}
	n := len(c.log.memberships)
	return n > 1 && c.changePending() && slices.Contains(c.log.memberships[n-2].voters.GetVoters(), c.cfg.ID)
}
