package consensus

import (
	"fmt"
	"slices"

	"marjoramtiller.example/marjoramtiller/connection/wirepb"
)

// handleLeader processes a message of the current term's leader.
func (c *Core) handleLeader(m *wirepb.RaftMessage) {
	if c.role == Leader || (c.leader != "" && c.leader != m.From) {
		known := c.leader
		c.fail(&InvariantError{InvariantSingleLeader, fmt.Sprintf("%q and %q both lead term %d", known, m.From, c.term)})
		return
	}
	c.becomeFollower(c.term, m.From)
	c.denyVotesUntil = c.now + c.cfg.ElectionTimeoutMin
	c.resetElectionDeadline()
	switch m.Type {
	case wirepb.RaftMessage_TYPE_APPEND:
		c.handleAppend(m)
	case wirepb.RaftMessage_TYPE_HEARTBEAT:
		c.handleHeartbeat(m)
	case wirepb.RaftMessage_TYPE_SNAPSHOT:
		c.handleSnapshot(m)
	}
}

func (c *Core) acknowledge(to string, index uint64) {
	c.send(&wirepb.RaftMessage{Type: wirepb.RaftMessage_TYPE_APPEND_RESPONSE, To: to, Index: index})
}

func (c *Core) handleAppend(m *wirepb.RaftMessage) {
	if m.Index < c.log.commit && m.Index+uint64(len(m.Entries)) <= c.log.commit {
		c.acknowledge(m.From, c.log.commit)
		return
	}
	if m.Index >= c.log.baseIndex && !c.log.matches(m.Index, m.LogTerm) {
		c.rejectAppend(m)
		return
	}
	last, err := c.log.merge(m.Index, m.Entries)
	if c.checkIncarnation(); c.err != nil {
		return
	}
	if err == nil && min(m.Commit, last) > c.log.commit {
		err = c.log.commitTo(min(m.Commit, last))
	}
	if err != nil {
		c.fail(err)
		return
	}
	c.acknowledge(m.From, last)
}

// rejectAppend names the last position that may match, so that the leader
// skips a whole term of conflicting entries at once.
func (c *Core) rejectAppend(m *wirepb.RaftMessage) {
	if m.Index <= c.log.commit {
		c.fail(&InvariantError{InvariantLogMatching, fmt.Sprintf("leader %q of term %d has another term at committed index %d", m.From, m.Term, m.Index)})
		return
	}
	hint, term := c.log.hint(m.Index, m.LogTerm)
	c.send(&wirepb.RaftMessage{Type: wirepb.RaftMessage_TYPE_APPEND_RESPONSE, To: m.From, Index: m.Index, Reject: true, RejectHint: hint, LogTerm: term})
}

// handleHeartbeat advances the commit index. The leader sends at most the index
// that this replica has acknowledged, so a larger one means a lost entry.
func (c *Core) handleHeartbeat(m *wirepb.RaftMessage) {
	if m.Commit > c.log.commit {
		if err := c.log.commitTo(m.Commit); err != nil {
			c.fail(err)
			return
		}
	}
	c.send(&wirepb.RaftMessage{Type: wirepb.RaftMessage_TYPE_HEARTBEAT_RESPONSE, To: m.From, ReadContext: m.ReadContext})
}

func (c *Core) handleSnapshot(m *wirepb.RaftMessage) {
	s := m.Snapshot
	if s == nil || s.Voters == nil {
		return
	}
	if s.Index <= c.log.commit {
		c.acknowledge(m.From, c.log.commit)
		return
	}
	if c.log.matches(s.Index, s.Term) {
		if err := c.log.commitTo(s.Index); err != nil {
			c.fail(err)
			return
		}
		c.acknowledge(m.From, s.Index)
		return
	}
	lostVoter := c.log.last() == 0 && !isMember(c.voters(), c.cfg.ID) && slices.Contains(s.Voters.Voters, c.cfg.ID)
	if lostVoter {
		c.fail(&EmptyDiskError{ID: c.cfg.ID})
		return
	}
	c.log.reset(s)
	if c.checkIncarnation(); c.err != nil {
		return
	}
	c.pendingSnapshot = s
	c.hsDirty = true
	c.acknowledge(m.From, s.Index)
}
