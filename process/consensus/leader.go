package consensus

import (
	"slices"
	"time"

	"marjoramtiller.example/marjoramtiller/connection/wirepb"
)

type progressState int

const (
	probing      progressState = iota // one append at a time; the follower's log position is unknown
	replicating                       // appends are pipelined
	snapshotting                      // waits for the follower to restore a snapshot
)

// progress is the leader's replication state for one other replica.
type progress struct {
	state           progressState
	match, next     uint64
	probeSent       bool
	inFlight        []uint64 // last entry index of each append in flight
	snapshotIndex   uint64
	snapshotRetryAt time.Duration
	lastAck         time.Duration // or the election, whichever is later
	lastHeard       time.Duration // as lastAck, but at any leader
	ackSeq          uint64
	needAppend      bool
	incarnation     uint64 // incarnation that sent the acknowledgements above; 0 before the first one
}

// sameReplica reports whether m comes from the incarnation that p describes, which
// is the first one that responds in the leader's term. A replica that has lost its
// data folder no longer has the entries acknowledged before, so its responses must
// not be added to p.
func (p *progress) sameReplica(m *wirepb.RaftMessage) bool {
	if p.incarnation == 0 {
		p.incarnation = m.Incarnation
	}
	return p.incarnation == m.Incarnation
}

// acknowledged records that the replica has answered.
func (p *progress) acknowledged(now time.Duration) { p.lastAck, p.lastHeard = now, now }

func (p *progress) startProbing(next uint64) {
	p.state = probing
	p.next = max(next, p.match+1)
	p.probeSent = false
	p.inFlight = nil
	p.needAppend = true
}

func (c *Core) becomeLeader() {
	c.role = Leader
	c.leader = c.cfg.ID
	c.progress = map[string]*progress{}
	c.pendingReads, c.sentHeartbeats = nil, nil
	c.transferTo, c.timeoutNowSent = "", false
	c.uncommittedBytes = 0
	c.updateProgress()
	c.lastHeard = nil
	c.heartbeatDue = c.now + c.cfg.HeartbeatInterval
	c.heartbeatPending = true
	// The new leader appends an entry at once, because entries of earlier terms
	// are committed only together with one of the current term.
	if c.log.lastIndex() == 0 && len(c.foundingIncarnations()) > 0 {
		v := c.voters()
		_ = c.appendVoters(&wirepb.RaftVoters{Voters: v.Voters, Learners: v.Learners, Incarnations: c.foundingIncarnations()})
		return
	}
	c.appendLocal(wirepb.RaftEntry_TYPE_COMMAND, nil)
}

// updateProgress adds and removes progress records so that there is one for each
// other member of the current membership.
func (c *Core) updateProgress() {
	v := c.voters()
	for _, name := range slices.Concat(v.Voters, v.Learners) {
		if name == c.cfg.ID || c.progress[name] != nil {
			continue
		}
		p := &progress{lastAck: c.now, lastHeard: c.heardBefore(name)}
		p.startProbing(c.log.lastIndex() + 1)
		c.progress[name] = p
	}
	for name := range c.progress {
		if !isMember(v, name) {
			delete(c.progress, name)
		}
	}
}

func (c *Core) appendLocal(kind wirepb.RaftEntry_Type, data []byte) uint64 {
	e := &wirepb.RaftEntry{Term: c.term, Index: c.log.lastIndex() + 1, Type: kind, Data: data}
	if err := c.log.append(e); err != nil {
		c.fail(err)
		return 0
	}
	c.uncommittedBytes += entrySize(e)
	for _, p := range c.progress {
		p.needAppend = true
	}
	return e.Index
}

// Propose appends a command and returns its position. The command is committed
// when an entry with this index and term appears in Ready.Committed.
func (c *Core) Propose(command []byte) (index, term uint64, err error) {
	if c.err != nil {
		return 0, 0, c.err
	}
	if c.role != Leader {
		return 0, 0, &NotLeaderError{Leader: c.leader}
	}
	if c.transferTo != "" {
		return 0, 0, &BusyError{Reason: "leadership is being transferred"}
	}
	if c.uncommittedBytes > c.cfg.MaxUncommittedBytes {
		return 0, 0, &BusyError{Reason: "too many uncommitted bytes"}
	}
	index = c.appendLocal(wirepb.RaftEntry_TYPE_COMMAND, command)
	return index, c.term, c.err
}

func (c *Core) tickLeader() {
	if !c.quorumActive() {
		c.becomeFollower(c.term, "")
		return
	}
	if c.transferTo != "" && c.now >= c.transferUntil {
		if c.timeoutNowSent {
			// The receiver did not take over. TIMEOUT_NOW has ended the lease for the rest
			// of the term, so that only another term can have a leader with one.
			c.becomeFollower(c.term, "")
			return
		}
		c.transferTo = ""
	}
	c.redirectTransfer()
	if c.now >= c.heartbeatDue {
		c.heartbeatDue = c.now + c.cfg.HeartbeatInterval
		c.heartbeatPending = true
	}
	for _, p := range c.progress {
		if p.state == snapshotting && c.now >= p.snapshotRetryAt {
			p.startProbing(p.match + 1)
		}
	}
}

// quorumActive implements check-quorum: it reports whether a quorum has responded
// within the minimum election timeout. The leader steps down otherwise.
func (c *Core) quorumActive() bool {
	active := 0
	for _, name := range c.voters().Voters {
		p := c.progress[name]
		if name == c.cfg.ID || (p != nil && c.now-p.lastAck < c.cfg.ElectionTimeoutMin) {
			active++
		}
	}
	return active >= c.quorum()
}

// flushLeader queues messages for the leader's pending appends and heartbeats.
func (c *Core) flushLeader() {
	if c.role != Leader {
		return
	}
	v := c.voters()
	for _, name := range slices.Concat(v.Voters, v.Learners) {
		if p := c.progress[name]; p != nil {
			c.flushAppends(name, p)
		}
	}
	if !c.heartbeatPending {
		return
	}
	c.heartbeatPending = false
	c.heartbeatSeq++
	c.sentHeartbeats = append(c.sentHeartbeats, sentHeartbeat{c.heartbeatSeq, c.now})
	silent := c.silentMembers()
	for _, name := range slices.Concat(v.Voters, v.Learners) {
		if p := c.progress[name]; p != nil {
			c.send(&wirepb.RaftMessage{Type: wirepb.RaftMessage_TYPE_HEARTBEAT, To: name, Commit: min(c.log.commit, p.match), ReadContext: c.heartbeatSeq, SilentMembers: silent})
		}
	}
	c.completeReads()
}

func (c *Core) flushAppends(name string, p *progress) {
	for c.canAppend(p) {
		prevTerm, ok := c.log.term(p.next - 1)
		if !ok || p.next <= c.log.baseIndex {
			c.sendSnapshot(name, p)
			return
		}
		entries := c.log.entriesFrom(p.next, c.cfg.MaxAppendBytes)
		c.send(&wirepb.RaftMessage{Type: wirepb.RaftMessage_TYPE_APPEND, To: name, Index: p.next - 1, LogTerm: prevTerm, Commit: c.log.commit, Entries: entries})
		p.needAppend = false
		if p.state == probing {
			p.probeSent = true
			return
		}
		if n := len(entries); n > 0 {
			p.next = entries[n-1].Index + 1
			p.inFlight = append(p.inFlight, p.next-1)
		}
	}
}

func (c *Core) canAppend(p *progress) bool {
	switch p.state {
	case probing:
		return !p.probeSent
	case replicating:
		return (p.next <= c.log.lastIndex() || p.needAppend) && len(p.inFlight) < c.cfg.MaxAppendsInFlight
	}
	return false
}

func (c *Core) sendSnapshot(name string, p *progress) {
	s := c.log.snapshot
	if s == nil {
		return
	}
	p.state = snapshotting
	p.snapshotIndex = s.Index
	p.snapshotRetryAt = c.now + 2*c.cfg.ElectionTimeoutMax
	p.inFlight = nil
	c.send(&wirepb.RaftMessage{Type: wirepb.RaftMessage_TYPE_SNAPSHOT, To: name, Snapshot: s})
}

// SnapshotProgress records at the leader that the transfer of a snapshot to the
// named replica makes progress. It postpones the time at which the leader gives up
// the transfer and probes the replica again.
func (c *Core) SnapshotProgress(name string) {
	if p := c.progress[name]; c.role == Leader && p != nil && p.state == snapshotting {
		p.snapshotRetryAt = c.now + 2*c.cfg.ElectionTimeoutMax
	}
}

func (c *Core) handleAppendResponse(m *wirepb.RaftMessage) {
	p := c.progress[m.From]
	if c.role != Leader || p == nil || !p.sameReplica(m) {
		return
	}
	p.acknowledged(c.now)
	if m.Reject {
		c.handleAppendReject(m, p)
		return
	}
	if m.Index > c.log.lastIndex() {
		return
	}
	p.inFlight = slices.DeleteFunc(p.inFlight, func(i uint64) bool { return i <= m.Index })
	if m.Index > p.match {
		p.match = m.Index
	}
	p.next = max(p.next, p.match+1)
	startReplicating := p.state == probing || (p.state == snapshotting && p.match >= p.snapshotIndex)
	if startReplicating {
		p.state = replicating
		p.next = p.match + 1
	}
	c.maybeCommit()
	c.maybeTransfer()
}

func (c *Core) handleAppendReject(m *wirepb.RaftMessage, p *progress) {
	stale := m.Index <= p.match || (p.state == probing && m.Index != p.next-1) || p.state == snapshotting
	if stale {
		return
	}
	next, _ := c.log.lastWithTermAtMost(m.RejectHint, m.LogTerm)
	if m.RejectHint < c.log.baseIndex {
		next = m.RejectHint
	}
	if m.Index <= c.log.baseIndex {
		// The logs conflict before the leader's first entry in memory, so the
		// follower needs a snapshot.
		next = 0
	}
	p.startProbing(next + 1)
}

func (c *Core) handleHeartbeatResponse(m *wirepb.RaftMessage) {
	p := c.progress[m.From]
	if c.role != Leader || p == nil || !p.sameReplica(m) {
		return
	}
	p.acknowledged(c.now)
	p.ackSeq = max(p.ackSeq, m.ReadContext)
	p.probeSent = false
	if p.state == replicating && p.match < c.log.lastIndex() {
		// An append or its acknowledgement may be lost. The follower rejects
		// or acknowledges the next append, which may be empty, and thereby
		// reports its log position.
		p.needAppend = true
		if len(p.inFlight) >= c.cfg.MaxAppendsInFlight {
			p.inFlight = p.inFlight[1:]
		}
	}
	if p.state == probing && p.match == c.log.lastIndex() {
		p.probeSent = true
	}
	c.completeReads()
	if m.From == c.transferTo {
		c.maybeTransfer()
	}
}

// maybeCommit advances the commit index to the last entry that a quorum has synced
// if that entry is of the current term. A leader that has committed its own removal
// steps down.
func (c *Core) maybeCommit() {
	synced := c.quorumValue(func(name string) uint64 {
		if name == c.cfg.ID {
			return c.log.stable
		}
		return c.progress[name].match
	})
	term, _ := c.log.term(synced)
	if synced <= c.log.commit || term != c.term {
		return
	}
	for _, e := range c.log.slice(c.log.commit+1, synced) {
		c.uncommittedBytes = max(0, c.uncommittedBytes-entrySize(e))
	}
	if err := c.log.commitTo(synced); err != nil {
		c.fail(err)
		return
	}
	if !c.changePending() && !c.isVoter() {
		c.becomeFollower(c.term, "")
	}
}

// quorumValue returns the largest value that a quorum of voters has reached.
func (c *Core) quorumValue(value func(name string) uint64) uint64 {
	voters := c.voters().Voters
	if len(voters) == 0 {
		return 0
	}
	values := make([]uint64, 0, len(voters))
	for _, name := range voters {
		values = append(values, value(name))
	}
	slices.Sort(values)
	return values[len(values)-c.quorum()]
}
