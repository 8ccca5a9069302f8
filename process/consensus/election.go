package consensus

import (
	"fmt"
	"time"

	"marjoramtiller.example/marjoramtiller/connection/wirepb"
)

// transferVote in read_context of a TYPE_VOTE message marks a campaign that the
// leader asked for, which overrides the leader's lease.
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
		return nil // chunks of snapshots are the caller's
	}
	if c.fresh && !c.stepFresh(m) {
		return c.err
	}
	if c.stepTerm(m) {
		c.stepCurrent(m)
	}
	return c.err
}

// stepFresh decides whether a founding voter with an empty disk may process m.
// A group elects its first leader only with the pre-vote of all its voters, and
// each syncs a record before it grants one. A voter without that record in a
// group that has a leader has therefore lost its disk.
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

// stepTerm compares m's term with the replica's and reports whether m belongs to
// the current term from here on.
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
			// Tells a deposed leader the current term.
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
		c.handleLeader(m)
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

// becomeFollower adopts a term. A replica that learns of a term from its leader
// records its vote for that leader, since no other can win the term.
func (c *Core) becomeFollower(term uint64, leader string) {
	if term < c.term {
		c.fail(&InvariantError{InvariantTermMonotone, fmt.Sprintf("term %d after %d", term, c.term)})
		return
	}
	if term > c.term {
		c.term = term
		c.vote = leader
		c.hsDirty = true
	}
	if c.role != Follower {
		c.dropLeadership()
		c.resetElectionDeadline()
	}
	c.role = Follower
	c.leader = leader
}

func (c *Core) dropLeadership() {
	for _, r := range c.reads {
		c.readStates = append(c.readStates, ReadState{ID: r.id, Failed: true})
	}
	c.reads = nil
	c.progress = nil
	c.sentAt = nil
	c.transferTo = ""
	c.votes = nil
}

// campaign starts a pre-vote or a vote. Only a voter campaigns.
func (c *Core) campaign(role Role, transfer bool) {
	if !c.isVoter() {
		return
	}
	if c.role == Leader {
		return
	}
	c.role = role
	c.leader = ""
	term := c.term + 1
	kind := wirepb.RaftMessage_TYPE_PRE_VOTE
	if role == Candidate {
		kind = wirepb.RaftMessage_TYPE_VOTE
		c.term, c.vote = term, c.cfg.ID
		c.hsDirty = true
		c.fresh = false
	}
	c.votes = map[string]bool{c.cfg.ID: true}
	c.resetElectionDeadline()
	var context uint64
	if transfer {
		context = transferVote
	}
	for _, name := range c.voters().Voters {
		if name != c.cfg.ID {
			c.send(&wirepb.RaftMessage{Type: kind, To: name, Term: term, Index: c.log.last(), LogTerm: c.log.lastTerm(), ReadContext: context})
		}
	}
	c.tally()
}

func (c *Core) handleVoteResponse(m *wirepb.RaftMessage, role Role) {
	if c.role != role {
		return
	}
	if _, seen := c.votes[m.From]; !seen {
		c.votes[m.From] = !m.Reject
	}
	c.tally()
}

// tally counts the votes of the current voters. A group's first election, with
// an empty log, needs all pre-votes (see stepFresh).
func (c *Core) tally() {
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
	need := c.quorum()
	all := len(c.voters().Voters)
	if c.role == PreCandidate && c.log.last() == 0 {
		need = all
	}
	switch {
	case granted >= need && c.role == PreCandidate:
		c.campaign(Candidate, false)
	case granted >= need:
		c.becomeLeader()
	case rejected > all-need:
		c.role = Follower
	}
}

// mayVote applies the rules that do not depend on the term: a learner never
// votes, and nobody votes while the leader's lease may run.
func (c *Core) mayVote(m *wirepb.RaftMessage) bool {
	if !c.isVoter() {
		return false
	}
	if m.Type == wirepb.RaftMessage_TYPE_VOTE && m.ReadContext == transferVote {
		return true
	}
	return c.role != Leader && c.now >= c.denyVotesUntil
}

func (c *Core) upToDate(m *wirepb.RaftMessage) bool {
	term := c.log.lastTerm()
	return m.LogTerm > term || (m.LogTerm == term && m.Index >= c.log.last())
}

func (c *Core) handlePreVote(m *wirepb.RaftMessage) {
	if !c.isVoter() {
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
		c.hsDirty = true
	}
	c.send(reply)
}

func (c *Core) handleVote(m *wirepb.RaftMessage) {
	if !c.mayVote(m) {
		return
	}
	free := c.vote == "" && c.leader == ""
	grant := (free || c.vote == m.From) && c.upToDate(m)
	if grant {
		c.hsDirty = c.hsDirty || c.vote != m.From
		c.vote = m.From
		c.resetElectionDeadline()
	}
	c.send(&wirepb.RaftMessage{Type: wirepb.RaftMessage_TYPE_VOTE_RESPONSE, To: m.From, Reject: !grant})
}
