package consensus

import (
	"fmt"
	"time"

	"marjoramtiller.example/marjoramtiller/connection/wirepb"
)

// transferVote in read_context of a TYPE_VOTE message marks a campaign that the
// leader requested with TIMEOUT_NOW. Such a campaign overrides the leader's lease.
const transferVote = 1

// Step processes a message from another replica.
func (c *Core) Step(now time.Duration, m *wirepb.RaftMessage) error {
	if c.err != nil {
		return c.err
	}
	c.advanceClock(now)
	if m.Group != c.cfg.Group || m.To != c.cfg.ID || m.From == c.cfg.ID {
		return nil
	}
	if m.Type > wirepb.RaftMessage_TYPE_TIMEOUT_NOW {
		return nil // the caller handles the other types, such as snapshot chunks
	}
	if m.ToIncarnation != 0 && m.ToIncarnation != c.cfg.Incarnation {
		c.fail(&EmptyDiskError{ID: c.cfg.ID})
		return c.err
	}
	if c.incarnationMismatch(m) || (c.fresh && !c.stepFresh(m)) {
		return c.err
	}
	if c.stepTerm(m) {
		c.stepCurrent(m)
	}
	return c.err
}

// stepFresh reports whether a founding voter with an empty disk may process m. A
// group elects its first leader only with the pre-votes of all its voters, and
// each voter syncs its hard state before it grants one. If the group has a leader
// and this replica has no hard state, the replica has lost its disk, and
// stepFresh stops the core.
func (c *Core) stepFresh(m *wirepb.RaftMessage) bool {
	switch m.Type {
	case wirepb.RaftMessage_TYPE_PRE_VOTE:
		return m.Index == 0 && m.Term == 1
	case wirepb.RaftMessage_TYPE_PRE_VOTE_RESPONSE:
		return true
	case wirepb.RaftMessage_TYPE_APPEND, wirepb.RaftMessage_TYPE_HEARTBEAT, wirepb.RaftMessage_TYPE_SNAPSHOT, wirepb.RaftMessage_TYPE_TIMEOUT_NOW:
		c.fail(&EmptyDiskError{ID: c.cfg.ID})
	}
	return false
}

// stepTerm compares m's term with the current term, adopts a higher one if the
// message permits it, and reports whether m is to be processed.
func (c *Core) stepTerm(m *wirepb.RaftMessage) bool {
	switch {
	case m.Type == wirepb.RaftMessage_TYPE_PRE_VOTE:
		return true
	case m.Type == wirepb.RaftMessage_TYPE_PRE_VOTE_RESPONSE && !m.Reject:
		return m.Term == c.term+1
	case m.Term > c.term:
		if m.Type == wirepb.RaftMessage_TYPE_VOTE && !c.mayVote(m) {
			return false
		}
		leader := ""
		if fromLeader(m) {
			leader = m.From
		}
		c.becomeFollower(m.Term, leader)
		return true
	case m.Term < c.term:
		if fromLeader(m) {
			// The response carries the current term and makes the deposed leader
			// step down.
			c.send(&wirepb.RaftMessage{Type: wirepb.RaftMessage_TYPE_HEARTBEAT_RESPONSE, To: m.From})
		}
		return false
	}
	return true
}

func fromLeader(m *wirepb.RaftMessage) bool {
	switch m.Type {
	case wirepb.RaftMessage_TYPE_APPEND, wirepb.RaftMessage_TYPE_HEARTBEAT, wirepb.RaftMessage_TYPE_SNAPSHOT:
		return true
	}
	return false
}

func (c *Core) stepCurrent(m *wirepb.RaftMessage) {
	switch m.Type {
	case wirepb.RaftMessage_TYPE_PRE_VOTE:
		c.handlePreVote(m)
	case wirepb.RaftMessage_TYPE_VOTE:
		c.handleVote(m)
	case wirepb.RaftMessage_TYPE_PRE_VOTE_RESPONSE:
		c.handleVoteResponse(m, PreCandidate)
	case wirepb.RaftMessage_TYPE_VOTE_RESPONSE:
		c.handleVoteResponse(m, Candidate)
	case wirepb.RaftMessage_TYPE_APPEND, wirepb.RaftMessage_TYPE_HEARTBEAT, wirepb.RaftMessage_TYPE_SNAPSHOT:
		c.handleLeaderMessage(m)
	case wirepb.RaftMessage_TYPE_APPEND_RESPONSE:
		c.handleAppendResponse(m)
	case wirepb.RaftMessage_TYPE_HEARTBEAT_RESPONSE:
		c.handleHeartbeatResponse(m)
	case wirepb.RaftMessage_TYPE_TIMEOUT_NOW:
		if c.role == Follower && m.From == c.leader {
			c.campaign(Candidate, true)
		}
	}
}

// becomeFollower makes the replica a follower in term. If a higher term is adopted
// from a message of its leader, the vote is recorded for that leader, since no
// other candidate can win the term.
func (c *Core) becomeFollower(term uint64, leader string) {
	if term < c.term {
		c.fail(&InvariantError{InvariantTermMonotone, fmt.Sprintf("term would decrease to %d from %d", term, c.term)})
		return
	}
	if term > c.term {
		c.term = term
		c.vote = leader
		c.hardStateDirty = true
	}
	if c.role != Follower {
		c.clearRoleState()
		c.resetElectionDeadline()
	}
	c.role = Follower
	c.leader = leader
}

func (c *Core) clearRoleState() {
	if c.role == Leader {
		c.recordSilences()
	}
	for _, r := range c.pendingReads {
		c.readStates = append(c.readStates, ReadState{ID: r.id, Failed: true})
	}
	c.pendingReads = nil
	c.progress = nil
	c.sentHeartbeats = nil
	c.transferTo = ""
	c.votes = nil
}

// campaign starts an election round: a pre-vote if role is PreCandidate, a vote if
// it is Candidate. transfer marks a campaign that the leader requested.
func (c *Core) campaign(role Role, transfer bool) {
	if !c.mayCampaign() || c.role == Leader {
		return
	}
	c.role = role
	c.leader = ""
	term := c.term + 1
	kind := wirepb.RaftMessage_TYPE_PRE_VOTE
	if role == Candidate {
		kind = wirepb.RaftMessage_TYPE_VOTE
		c.term, c.vote = term, c.cfg.ID
		c.hardStateDirty = true
		c.fresh = false
	}
	c.votes = map[string]bool{c.cfg.ID: true}
	if role == PreCandidate {
		c.preVoteIncarnations = map[string]uint64{c.cfg.ID: c.cfg.Incarnation}
	}
	c.setCampaignDeadline()
	var context uint64
	if transfer {
		context = transferVote
	}
	for _, name := range c.voters().Voters {
		if name != c.cfg.ID {
			c.send(&wirepb.RaftMessage{Type: kind, To: name, Term: term, Index: c.log.lastIndex(), LogTerm: c.log.lastTerm(), ReadContext: context})
		}
	}
	c.tallyVotes()
}

func (c *Core) handleVoteResponse(m *wirepb.RaftMessage, role Role) {
	if c.role != role {
		return
	}
	if _, seen := c.votes[m.From]; !seen {
		c.votes[m.From] = !m.Reject
		if role == PreCandidate && !m.Reject {
			c.preVoteIncarnations[m.From] = m.Incarnation
		}
	}
	c.tallyVotes()
}

// tallyVotes counts the votes of the current voters and moves to the next role if
// the round is won or lost. A group's first election, with an empty log, needs the
// pre-votes of all voters (see stepFresh).
func (c *Core) tallyVotes() {
	granted, rejected := 0, 0
	for _, name := range c.voters().Voters {
		vote, ok := c.votes[name]
		switch {
		case ok && vote:
			granted++
		case ok:
			rejected++
		}
	}
	needed := c.quorum()
	total := len(c.voters().Voters)
	if c.role == PreCandidate && c.log.lastIndex() == 0 {
		needed = total
	}
	switch {
	case granted >= needed && c.role == PreCandidate:
		c.campaign(Candidate, false)
	case granted >= needed:
		c.becomeLeader()
	case rejected > total-needed:
		c.role = Follower
	}
}

// mayVote checks the voting rules that do not depend on the term: a replica grants
// no vote while the leader's lease may be valid, and a learner votes only for a
// candidate whose membership lists it as a voter (see isVoterFor).
func (c *Core) mayVote(m *wirepb.RaftMessage) bool {
	if !c.isVoterFor(m) {
		return false
	}
	if m.Type == wirepb.RaftMessage_TYPE_VOTE && m.ReadContext == transferVote {
		return true
	}
	return c.role != Leader && c.now >= c.denyVotesUntil
}

func (c *Core) upToDate(m *wirepb.RaftMessage) bool {
	term := c.log.lastTerm()
	return m.LogTerm > term || (m.LogTerm == term && m.Index >= c.log.lastIndex())
}

func (c *Core) handlePreVote(m *wirepb.RaftMessage) {
	if !c.isVoterFor(m) {
		return
	}
	grant := m.Term > c.term && c.mayVote(m) && c.upToDate(m)
	reply := &wirepb.RaftMessage{Type: wirepb.RaftMessage_TYPE_PRE_VOTE_RESPONSE, To: m.From, Term: m.Term}
	if !grant {
		reply.Reject = true
		reply.Term = c.term
	}
	if grant && c.fresh {
		c.fresh = false
		c.hardStateDirty = true
	}
	c.send(reply)
}

func (c *Core) handleVote(m *wirepb.RaftMessage) {
	if !c.mayVote(m) {
		return
	}
	notVoted := c.vote == "" && c.leader == ""
	grant := (notVoted || c.vote == m.From) && c.upToDate(m)
	if grant {
		c.hardStateDirty = c.hardStateDirty || c.vote != m.From
		c.vote = m.From
		c.resetElectionDeadline()
	}
	c.send(&wirepb.RaftMessage{Type: wirepb.RaftMessage_TYPE_VOTE_RESPONSE, To: m.From, Reject: !grant})
}
