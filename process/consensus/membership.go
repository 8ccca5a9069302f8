package consensus

import (
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"marjoramtiller.example/marjoramtiller/connection/wirepb"
)

// ReadIndex starts a linearizable read. Its ReadState is returned in a Ready once a
// quorum has confirmed that this replica is still the leader.
func (c *Core) ReadIndex(id uint64) error {
	if c.err != nil {
		return c.err
	}
	if c.role != Leader {
		return &NotLeaderError{Leader: c.leader}
	}
	if !c.committedInTerm() {
		return &BusyError{Reason: "the leader has not committed an entry of its term yet"}
	}
	c.heartbeatPending = true
	c.pendingReads = append(c.pendingReads, pendingRead{id: id, seq: c.heartbeatSeq + 1, index: c.log.commit})
	return nil
}

func (c *Core) committedInTerm() bool {
	term, _ := c.log.term(c.log.commit)
	return term == c.term
}

func (c *Core) quorumAckSeq() uint64 {
	return c.quorumValue(func(name string) uint64 {
		if name == c.cfg.ID {
			return c.heartbeatSeq
		}
		return c.progress[name].ackSeq
	})
}

func (c *Core) completeReads() {
	seq := c.quorumAckSeq()
	n := 0
	for n < len(c.pendingReads) && c.pendingReads[n].seq <= seq {
		c.readStates = append(c.readStates, ReadState{ID: c.pendingReads[n].id, Index: c.pendingReads[n].index})
		n++
	}
	c.pendingReads = c.pendingReads[n:]
	for len(c.sentHeartbeats) > 1 && c.sentHeartbeats[1].seq <= seq {
		c.sentHeartbeats = c.sentHeartbeats[1:]
	}
}

// leaseUntil returns the time before which no other replica can be elected: the
// lease duration after the last heartbeat acknowledged by a quorum was sent. It
// returns 0 if there is no lease.
func (c *Core) leaseUntil() time.Duration {
	if c.role != Leader || c.timeoutNowSent || !c.committedInTerm() {
		return 0
	}
	if len(c.sentHeartbeats) == 0 || c.sentHeartbeats[0].seq > c.quorumAckSeq() {
		return 0
	}
	return c.sentHeartbeats[0].at + c.cfg.LeaseDuration
}

// changePending reports whether the latest membership is not committed yet.
func (c *Core) changePending() bool {
	return c.log.memberships[len(c.log.memberships)-1].index > c.log.commit
}

// ChangeVoter appends a membership that differs by one replica and returns the
// entry's position. The membership takes effect at once. The next change is refused
// until it is committed.
func (c *Core) ChangeVoter(change VoterChange) (index, term uint64, err error) {
	switch {
	case c.err != nil:
		return 0, 0, c.err
	case c.role != Leader:
		return 0, 0, &NotLeaderError{Leader: c.leader}
	case c.transferTo != "":
		return 0, 0, &BusyError{Reason: "leadership is being transferred"}
	case c.changePending() || !c.committedInTerm():
		return 0, 0, &BusyError{Reason: "an earlier voter change or the first entry of the leader's term is not committed yet"}
	}
	next, err := c.nextMembership(change)
	if err != nil {
		return 0, 0, err
	}
	if !c.quorumHasMembership(next) {
		return 0, 0, &BusyError{Reason: "too few of the voters after this change have stored the current membership"}
	}
	index = c.appendVoters(next)
	return index, c.term, c.err
}

func (c *Core) appendVoters(next *wirepb.RaftVoters) (index uint64) {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(next)
	if err != nil {
		c.fail(err)
		return 0
	}
	index = c.appendLocal(wirepb.RaftEntry_TYPE_VOTERS, data)
	c.updateProgress()
	return index
}

// quorumHasMembership reports whether a quorum of the next voters has synced the
// current membership. A promoted replica that has not received its promotion might
// not grant its vote. A next membership that depends on this vote could be unable
// to elect a leader.
func (c *Core) quorumHasMembership(next *wirepb.RaftVoters) bool {
	current := c.log.memberships[len(c.log.memberships)-1].index
	synced := 0
	for _, name := range next.Voters {
		if name == c.cfg.ID || c.progress[name].match >= current {
			synced++
		}
	}
	return synced >= len(next.Voters)/2+1
}

func (c *Core) nextMembership(change VoterChange) (*wirepb.RaftVoters, error) {
	v := c.voters()
	next := &wirepb.RaftVoters{Voters: slices.Clone(v.Voters), Learners: slices.Clone(v.Learners), Incarnations: maps.Clone(v.Incarnations)}
	without := func(names []string) []string {
		return slices.DeleteFunc(names, func(n string) bool { return n == change.Name })
	}
	switch change.Kind {
	case AddLearner:
		if change.Name == "" || isMember(v, change.Name) {
			return nil, &InvalidChangeError{Reason: "a learner needs a replica name that is not empty and not in use by a member"}
		}
		next.Learners = append(next.Learners, change.Name)
	case Promote:
		if !slices.Contains(v.Learners, change.Name) {
			return nil, &InvalidChangeError{Reason: "only a learner can be promoted; add the replica as a learner first"}
		}
		if err := c.checkCaughtUp(change.Name); err != nil {
			return nil, err
		}
		next.Learners = without(next.Learners)
		next.Voters = append(next.Voters, change.Name)
		if id := c.progress[change.Name].incarnation; id != 0 {
			if next.Incarnations == nil {
				next.Incarnations = map[string]uint64{}
			}
			next.Incarnations[change.Name] = id
		}
	case Remove:
		if !isMember(v, change.Name) {
			return nil, &InvalidChangeError{Reason: "the replica to remove is not a member of the group"}
		}
		next.Learners = without(next.Learners)
		next.Voters = without(next.Voters)
		delete(next.Incarnations, change.Name)
		if len(next.Voters) == 0 {
			return nil, &InvalidChangeError{Reason: "the last voter can't be removed; promote a learner first"}
		}
	default:
		return nil, &InvalidChangeError{Reason: "unknown kind of change"}
	}
	return next, nil
}

func (c *Core) checkCaughtUp(name string) error {
	p := c.progress[name]
	if p == nil {
		return &NotCaughtUpError{Name: name, Commit: c.log.commit}
	}
	recent := c.now-p.lastAck < c.cfg.ElectionTimeoutMin
	if p.match < c.log.commit || !recent {
		return &NotCaughtUpError{Name: name, Match: p.match, Commit: c.log.commit}
	}
	return nil
}

// transferSilence is the number of heartbeat intervals without an acknowledgement after
// which the receiver of a transfer is taken for down.
const transferSilence = 3

// TransferLeader transfers leadership to a voter once that voter has all of the
// leader's entries. Until then, for at most the minimum election timeout, proposals
// are refused. A voter that becomes silent meanwhile is replaced by another one. If a voter
// was told to take over and none has done so by then, that ends the leader's term as well.
func (c *Core) TransferLeader(to string) error {
	if c.err != nil {
		return c.err
	}
	if c.role != Leader {
		return &NotLeaderError{Leader: c.leader}
	}
	if !slices.Contains(c.voters().Voters, to) {
		return &InvalidChangeError{Reason: "leadership can be transferred only to a voter"}
	}
	if to == c.cfg.ID {
		return nil
	}
	if c.transferTo != "" {
		return &BusyError{Reason: "leadership is being transferred"}
	}
	c.transferTo = to
	c.transferSince, c.transferUntil = c.now, c.now+c.cfg.ElectionTimeoutMin
	c.maybeTransfer()
	return nil
}

func (c *Core) maybeTransfer() {
	if c.role != Leader || c.transferTo == "" || c.progress[c.transferTo] == nil {
		return
	}
	if c.progress[c.transferTo].match != c.log.lastIndex() {
		return
	}
	c.timeoutNowSent = true
	c.send(&wirepb.RaftMessage{Type: wirepb.RaftMessage_TYPE_TIMEOUT_NOW, To: c.transferTo})
}

// redirectTransfer chooses another receiver if the one of the current transfer has become
// silent: it may have just ended. Both may then campaign, in one term, which elects one.
func (c *Core) redirectTransfer() {
	if c.transferTo == "" {
		return
	}
	lastAck := func(name string) time.Duration {
		if p := c.progress[name]; p != nil {
			return p.lastAck
		}
		return 0
	}
	limit := transferSilence * c.cfg.HeartbeatInterval
	if c.now-max(lastAck(c.transferTo), c.transferSince) < limit {
		return
	}
	to := ""
	for _, name := range c.voters().Voters {
		if name != c.cfg.ID && name != c.transferTo && c.now-lastAck(name) < limit && (to == "" || lastAck(name) > lastAck(to)) {
			to = name
		}
	}
	if to != "" {
		c.transferTo = to
		c.maybeTransfer()
	}
}
