package consensus

import (
	"slices"
	"time"

	"marjoramtiller.example/marjoramtiller/connection/wirepb"
)

type progressState int

const (
	probing     progressState = iota // one append at a time, position unknown
	replicating                      // appends are pipelined
	snapshotting
)

// progress is the leader's knowledge of one other replica.
type progress struct {
	state       progressState
	match, next uint64
	probeSent   bool
	inFlight    []uint64 // last index of each append in flight
	snapshot    uint64
	retryAt     time.Duration
	lastAck     time.Duration
	ackSeq      uint64
	needAppend  bool
}

func (p *progress) probe(next uint64) {
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
	c.reads, c.sentAt = nil, nil
	c.transferTo, c.timeoutSent = "", false
	c.uncommitted = 0
	c.syncProgress()
	c.heartbeatDue = c.now + c.cfg.HeartbeatInterval
	c.heartbeatNow = true
	// Entries of earlier terms commit only together with one of this term.
	c.appendLocal(wirepb.RaftEntry_TYPE_COMMAND, nil)
}

// syncProgress makes the progress table follow the membership.
func (c *Core) syncProgress() {
	v := c.voters()
	for _, name := range slices.Concat(v.Voters, v.Learners) {
		if name == c.cfg.ID || c.progress[name] != nil {
			continue
		}
		p := &progress{lastAck: c.now}
		p.probe(c.log.last() + 1)
		c.progress[name] = p
	}
	for name := range c.progress {
		if !isMember(v, name) {
			delete(c.progress, name)
		}
	}
}

func (c *Core) appendLocal(kind wirepb.RaftEntry_Type, data []byte) uint64 {
	e := &wirepb.RaftEntry{Term: c.term, Index: c.log.last() + 1, Type: kind, Data: data}
	if err := c.log.append(e); err != nil {
		c.fail(err)
		return 0
	}
	c.uncommitted += entrySize(e)
	for _, p := range c.progress {
		p.needAppend = true
	}
	return e.Index
}

// Propose appends a command and returns its position. The command is committed
// when an entry with this index and term is handed out.
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
	if c.uncommitted > c.cfg.MaxUncommittedBytes {
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
		c.transferTo = ""
	}
	if c.now >= c.heartbeatDue {
		c.heartbeatDue = c.now + c.cfg.HeartbeatInterval
		c.heartbeatNow = true
	}
	for _, p := range c.progress {
		if p.state == snapshotting && c.now >= p.retryAt {
			p.probe(p.match + 1)
		}
	}
}

// quorumActive is the check-quorum rule: a leader that has not heard from a
// quorum within the minimum election timeout steps down.
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

// flushLeader turns the leader's pending appends and heartbeats into messages.
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
	if !c.heartbeatNow {
		return
	}
	c.heartbeatNow = false
	c.heartbeatSeq++
	c.sentAt = append(c.sentAt, heartbeatSent{c.heartbeatSeq, c.now})
	for _, name := range slices.Concat(v.Voters, v.Learners) {
		if p := c.progress[name]; p != nil {
			c.send(&wirepb.RaftMessage{Type: wirepb.RaftMessage_TYPE_HEARTBEAT, To: name, Commit: min(c.log.commit, p.match), ReadContext: c.heartbeatSeq})
		}
	}
	c.releaseReads()
}

func (c *Core) flushAppends(name string, p *progress) {
	for c.canAppend(p) {
		prevTerm, ok := c.log.term(p.next - 1)
		if !ok || p.next <= c.log.baseIndex {
			c.sendSnapshot(name, p)
			return
		}
		entries := c.log.limited(p.next, c.cfg.MaxAppendBytes)
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
		return (p.next <= c.log.last() || p.needAppend) && len(p.inFlight) < c.cfg.MaxAppendsFlight
	}
	return false
}

func (c *Core) sendSnapshot(name string, p *progress) {
	s := c.log.snapshot
	if s == nil {
		return
	}
	p.state = snapshotting
	p.snapshot = s.Index
	p.retryAt = c.now + 2*c.cfg.ElectionTimeoutMax
	p.inFlight = nil
	c.send(&wirepb.RaftMessage{Type: wirepb.RaftMessage_TYPE_SNAPSHOT, To: name, Snapshot: s})
}

// SnapshotProgress tells a leader that a replica receives a snapshot, which is
// then not begun again.
func (c *Core) SnapshotProgress(name string) {
	if p := c.progress[name]; c.role == Leader && p != nil && p.state == snapshotting {
		p.retryAt = c.now + 2*c.cfg.ElectionTimeoutMax
	}
}

func (c *Core) handleAppendResponse(m *wirepb.RaftMessage) {
	p := c.progress[m.From]
	if c.role != Leader || p == nil {
		return
	}
	p.lastAck = c.now
	if m.Reject {
		c.handleAppendReject(m, p)
		return
	}
	if m.Index > c.log.last() {
		return
	}
	p.inFlight = slices.DeleteFunc(p.inFlight, func(i uint64) bool { return i <= m.Index })
	if m.Index > p.match {
		p.match = m.Index
	}
	p.next = max(p.next, p.match+1)
	arrived := p.state == probing || (p.state == snapshotting && p.match >= p.snapshot)
	if arrived {
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
	next, _ := c.log.hint(m.RejectHint, m.LogTerm)
	if m.RejectHint < c.log.baseIndex {
		next = m.RejectHint
	}
	if m.Index <= c.log.baseIndex {
		// The follower differs before the first entry held, so only a snapshot
		// helps.
		next = 0
	}
	p.probe(next + 1)
}

func (c *Core) handleHeartbeatResponse(m *wirepb.RaftMessage) {
	p := c.progress[m.From]
	if c.role != Leader || p == nil {
		return
	}
	p.lastAck = c.now
	p.ackSeq = max(p.ackSeq, m.ReadContext)
	p.probeSent = false
	if p.state == replicating && p.match < c.log.last() {
		// An append or its acknowledgement may be lost; an append without
		// entries makes the follower tell.
		p.needAppend = true
		if len(p.inFlight) >= c.cfg.MaxAppendsFlight {
			p.inFlight = p.inFlight[1:]
		}
	}
	if p.state == probing && p.match == c.log.last() {
		p.probeSent = true
	}
	c.releaseReads()
}

// maybeCommit advances the commit index to what a quorum has synced, if that
// entry is of the current term.
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
		c.uncommitted = max(0, c.uncommitted-entrySize(e))
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
