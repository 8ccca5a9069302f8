package consensus

import (
	"fmt"
	"slices"

	"marjoramtiller.example/marjoramtiller/connection/wirepb"
)

// handleLeaderMessage processes a message from the leader of the current term.
func (c *Core) handleLeaderMessage(m *wirepb.RaftMessage) {
	if c.role == Leader || (c.leader != "" && c.leader != m.From) {
		currentLeader := c.leader
		c.fail(&InvariantError{InvariantSingleLeader, fmt.Sprintf("%q and %q both lead term %d", currentLeader, m.From, c.term)})
		return
	}
	c.becomeFollower(c.term, m.From)
	c.denyVotesUntil = c.now + c.cfg.ElectionTimeoutMin
	c.resetElectionDeadline()
	c.recordLeader(m)
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

// rejectAppend sends the last position at which the logs may match, so that the
// leader skips all conflicting entries of a term at once.
func (c *Core) rejectAppend(m *wirepb.RaftMessage) {
	if m.Index <= c.log.commit {
		c.fail(&InvariantError{InvariantLogMatching, fmt.Sprintf("append of leader %q in term %d has a different entry term at committed index %d", m.From, m.Term, m.Index)})
		return
	}
	hint, term := c.log.lastWithTermAtMost(m.Index, m.LogTerm)
	c.send(&wirepb.RaftMessage{Type: wirepb.RaftMessage_TYPE_APPEND_RESPONSE, To: m.From, Index: m.Index, Reject: true, RejectHint: hint, LogTerm: term})
}

// handleHeartbeat advances the commit index. The leader sends at most the index
// that this replica has acknowledged. A commit index beyond the end of the log
// therefore means that an acknowledged entry is lost, and the core stops.
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
	lostVoter := c.log.lastIndex() == 0 && !isMember(c.voters(), c.cfg.ID) && slices.Contains(s.Voters.Voters, c.cfg.ID)
	if lostVoter {
		c.fail(&EmptyDiskError{ID: c.cfg.ID})
		return
	}
	c.log.reset(s)
	if c.checkIncarnation(); c.err != nil {
		return
	}
	c.pendingSnapshot = s
	c.hardStateDirty = true
	c.acknowledge(m.From, s.Index)
}
