package consensus

import (
	"errors"
	"slices"
	"time"

	"marjoramtiller.example/marjoramtiller/connection/wirepb"
)

// Core is the state machine of one replica. See the package comment.
type Core struct {
	cfg  Config
	now  time.Duration
	err  error
	role Role
	log  raftLog

	term   uint64
	vote   string
	leader string
	// fresh is set while a founding voter's disk is empty. The replica then
	// grants only pre-votes for the group's first election, and stops if the
	// group already has a leader.
	fresh          bool
	hardStateDirty bool

	electionDeadline time.Duration
	// denyVotesUntil protects the leader's lease: the replica grants no vote
	// within the minimum election timeout after a message from the leader.
	denyVotesUntil      time.Duration
	votes               map[string]bool
	preVoteIncarnations map[string]uint64 // incarnations of the replicas that granted the pre-vote

	// lastHeard is when members were last heard of, as far as the leaders told. See silence.go.
	lastHeard        map[string]time.Duration
	progress         map[string]*progress
	heartbeatDue     time.Duration
	heartbeatSeq     uint64
	heartbeatPending bool
	sentHeartbeats   []sentHeartbeat
	pendingReads     []pendingRead
	transferTo       string
	transferSince    time.Duration
	transferUntil    time.Duration
	timeoutNowSent   bool // TIMEOUT_NOW was sent in this term; it ends the lease
	uncommittedBytes int  // estimated size of the entries appended in this term and not yet committed

	pendingSnapshot *wirepb.RaftSnapshot
	messages        []*wirepb.RaftMessage
	afterSync       []*wirepb.RaftMessage
	readStates      []ReadState
}

type sentHeartbeat struct {
	seq uint64
	at  time.Duration
}

type pendingRead struct {
	id, seq, index uint64
}

// New returns a core that starts from the durable state initial.
func New(cfg Config, now time.Duration, initial Initial) (*Core, error) {
	if err := cfg.setDefaults(); err != nil {
		return nil, err
	}
	c := &Core{cfg: cfg, now: now}
	founding := &wirepb.RaftVoters{Voters: slices.Clone(cfg.Voters)}
	c.log.memberships = []membership{{0, founding}}
	if initial.Snapshot != nil {
		c.log.reset(initial.Snapshot)
	}
	for _, e := range initial.Entries {
		if e.Index <= c.log.baseIndex {
			continue
		}
		if err := c.log.append(e); err != nil {
			return nil, err
		}
	}
	c.log.stable = c.log.lastIndex()
	if err := c.restoreHardState(initial.HardState); err != nil {
		return nil, err
	}
	empty := initial.HardState == nil && c.log.lastIndex() == 0
	c.fresh = empty && c.isVoter()
	if !empty {
		// A heartbeat that this replica acknowledged before it restarted may
		// still count towards the leader's lease.
		c.denyVotesUntil = now + cfg.ElectionTimeoutMin
	}
	c.resetElectionDeadline()
	c.checkIncarnation()
	return c, c.err
}

func (c *Core) restoreHardState(hs *wirepb.RaftHardState) error {
	c.term = c.log.lastTerm()
	if hs == nil {
		return nil
	}
	if hs.Term >= c.term {
		c.term, c.vote = hs.Term, hs.Vote
	}
	if hs.Commit <= c.log.commit {
		return nil
	}
	return c.log.commitTo(hs.Commit)
}

// Tick advances the core's clock to now, the time since the caller's start, and
// performs the work that has become due: elections, heartbeats and timeouts.
func (c *Core) Tick(now time.Duration) error {
	if c.err != nil {
		return c.err
	}
	c.advanceClock(now)
	if c.role == Leader {
		c.tickLeader()
		return c.err
	}
	if c.now >= c.electionDeadline {
		c.resetElectionDeadline()
		c.campaign(PreCandidate, false)
	}
	return c.err
}

func (c *Core) advanceClock(now time.Duration) { c.now = max(c.now, now) }

func (c *Core) resetElectionDeadline() {
	c.electionDeadline = c.now + c.between(c.cfg.ElectionTimeoutMin, c.cfg.ElectionTimeoutMax)
}

// setCampaignDeadline sets the time at which a campaign without a result is started
// again. It is earlier than a follower's deadline: there is no leader to wait for, and
// candidates that have divided the votes would otherwise leave the group without one for
// another election timeout.
func (c *Core) setCampaignDeadline() {
	c.electionDeadline = c.now + c.between(c.cfg.ElectionTimeoutMin/3, c.cfg.ElectionTimeoutMin*5/6)
}

// between returns a random duration from least up to most.
func (c *Core) between(least, most time.Duration) time.Duration {
	return least + time.Duration(c.cfg.Rand(int64(most-least)))
}

// fail stops the core. It discards the messages that were queued since the last
// Ready.
func (c *Core) fail(err error) {
	if err == nil || c.err != nil {
		return
	}
	c.err = err
	c.role = Follower
	c.messages, c.afterSync = nil, nil
}

// Err returns the error that stopped the core, or nil.
func (c *Core) Err() error { return c.err }

// BrokenInvariant returns the name of the broken invariant, or "".
func (c *Core) BrokenInvariant() string {
	var broken *InvariantError
	if errors.As(c.err, &broken) {
		return broken.Name
	}
	return ""
}

// send queues a message. A leader's requests and pre-vote requests do not depend
// on the sender's unsynced state and can be sent before the sync. All other
// messages must wait for it. Ready delays all messages if the hard state has
// changed.
func (c *Core) send(m *wirepb.RaftMessage) {
	m.Group = c.cfg.Group
	m.From = c.cfg.ID
	m.Incarnation = c.cfg.Incarnation
	m.ToIncarnation = c.voters().GetIncarnations()[m.To]
	if m.Term == 0 {
		m.Term = c.term
	}
	switch m.Type {
	case wirepb.RaftMessage_TYPE_APPEND, wirepb.RaftMessage_TYPE_HEARTBEAT, wirepb.RaftMessage_TYPE_SNAPSHOT, wirepb.RaftMessage_TYPE_PRE_VOTE:
		c.messages = append(c.messages, m)
	default:
		c.afterSync = append(c.afterSync, m)
	}
}

// Ready returns the work to carry out now. The caller passes it to Advance when
// the work is done, before it calls any other method that changes the core.
func (c *Core) Ready() Ready {
	if c.err != nil {
		return Ready{}
	}
	c.flushLeader()
	rd := Ready{
		Messages:  c.messages,
		AfterSync: c.afterSync,
		Snapshot:  c.pendingSnapshot,
		Entries:   c.log.slice(c.log.stable+1, c.log.lastIndex()),
		Reads:     c.readStates,
	}
	if c.hardStateDirty || len(rd.Entries) > 0 {
		rd.HardState = &wirepb.RaftHardState{Term: c.term, Vote: c.vote, Commit: min(c.log.commit, c.log.lastIndex())}
	}
	if c.hardStateDirty {
		rd.AfterSync = append(rd.Messages, rd.AfterSync...)
		rd.Messages = nil
	}
	if hi := min(c.log.commit, c.log.stable); hi > c.log.applied {
		rd.Committed = c.log.slice(c.log.applied+1, hi)
	}
	c.messages, c.afterSync, c.readStates, c.pendingSnapshot = nil, nil, nil, nil
	c.hardStateDirty = false
	return rd
}

// Advance records that the caller has carried out rd.
func (c *Core) Advance(rd Ready) {
	if c.err != nil {
		return
	}
	if n := len(rd.Entries); n > 0 {
		e := rd.Entries[n-1]
		if c.log.matches(e.Index, e.Term) && e.Index > c.log.stable {
			c.log.stable = e.Index
		}
	}
	if n := len(rd.Committed); n > 0 {
		c.log.applied = max(c.log.applied, rd.Committed[n-1].Index)
	}
	if c.role == Leader {
		c.maybeCommit()
	}
}

// Compact records that the caller has stored a snapshot of its state machine at
// index, and drops the entries up to keepAfter from memory. The entries between
// keepAfter and index are kept so that slow followers can catch up without a
// snapshot.
func (c *Core) Compact(index, keepAfter uint64) {
	s := c.SnapshotMeta(index)
	if s == nil || (c.log.snapshot != nil && s.Index <= c.log.snapshot.Index) {
		return
	}
	c.log.compact(s, keepAfter)
}

// SnapshotMeta returns the metadata for a snapshot at index. It returns nil if the
// index is not applied yet or is compacted.
func (c *Core) SnapshotMeta(index uint64) *wirepb.RaftSnapshot {
	term, ok := c.log.term(index)
	if !ok || index > c.log.applied {
		return nil
	}
	return &wirepb.RaftSnapshot{Index: index, Term: term, Voters: c.log.votersAt(index)}
}

// Status returns a copy of the replica's current state.
func (c *Core) Status() Status {
	v := c.voters()
	s := Status{
		ID: c.cfg.ID, Leader: c.leader, Role: c.role, Term: c.term,
		Commit: c.log.commit, LastIndex: c.log.lastIndex(), FirstIndex: c.log.baseIndex + 1,
		Voters: slices.Clone(v.Voters), Learners: slices.Clone(v.Learners),
		TransferTo: c.transferTo, Fresh: c.fresh,
		PendingChange: c.changePending(),
		Removed:       !c.fresh && !isMember(v, c.cfg.ID) && len(v.Voters) > 0,
	}
	if c.role == Leader {
		s.LeaseUntil = c.leaseUntil()
		s.Match = make(map[string]uint64, len(c.progress))
		s.SinceLastAck = make(map[string]time.Duration, len(c.progress))
		for name, p := range c.progress {
			s.Match[name] = p.match
			s.SinceLastAck[name] = c.now - p.lastAck
		}
		s.Silence = c.silences()
	}
	return s
}

func (c *Core) voters() *wirepb.RaftVoters {
	return c.log.memberships[len(c.log.memberships)-1].voters
}

func (c *Core) isVoter() bool { return slices.Contains(c.voters().Voters, c.cfg.ID) }

func isMember(v *wirepb.RaftVoters, name string) bool {
	return slices.Contains(v.Voters, name) || slices.Contains(v.Learners, name)
}

func (c *Core) quorum() int { return len(c.voters().Voters)/2 + 1 }
