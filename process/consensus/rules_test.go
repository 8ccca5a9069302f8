package consensus

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"marjoramtiller.example/marjoramtiller/connection/wirepb"
)

func newTestCore(t *testing.T, in Initial, voters ...string) *Core {
	t.Helper()
	c, err := New(Config{ID: "a", Group: "g", Voters: voters, Rand: func(int64) int64 { return 0 }}, 0, in)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func messageFromB(kind wirepb.RaftMessage_Type, term uint64) *wirepb.RaftMessage {
	return &wirepb.RaftMessage{Group: "g", From: "b", To: "a", Type: kind, Term: term}
}

func foundedAtTerm(term uint64) Initial { return Initial{HardState: &wirepb.RaftHardState{Term: term}} }

// processReady carries out all pending work and returns the messages sent.
func processReady(c *Core) []*wirepb.RaftMessage {
	var sent []*wirepb.RaftMessage
	for {
		rd := c.Ready()
		if rd.Empty() {
			return sent
		}
		sent = append(sent, rd.Messages...)
		sent = append(sent, rd.AfterSync...)
		c.Advance(rd)
	}
}

func ofType(list []*wirepb.RaftMessage, kind wirepb.RaftMessage_Type) []*wirepb.RaftMessage {
	var found []*wirepb.RaftMessage
	for _, m := range list {
		if m.Type == kind {
			found = append(found, m)
		}
	}
	return found
}

// newLeader returns replica a as the leader of term 2 in a group of a, b and c.
func newLeader(t *testing.T, entries ...*wirepb.RaftEntry) *Core {
	t.Helper()
	in := foundedAtTerm(1)
	in.Entries = entries
	c := newTestCore(t, in, "a", "b", "c")
	if err := c.Tick(2 * time.Second); err != nil {
		t.Fatal(err)
	}
	processReady(c)
	_ = c.Step(c.now, messageFromB(wirepb.RaftMessage_TYPE_PRE_VOTE_RESPONSE, 2))
	third := messageFromB(wirepb.RaftMessage_TYPE_PRE_VOTE_RESPONSE, 2)
	third.From = "c"
	_ = c.Step(c.now, third)
	processReady(c)
	_ = c.Step(c.now, messageFromB(wirepb.RaftMessage_TYPE_VOTE_RESPONSE, 2))
	if c.Status().Role != Leader {
		t.Fatal("replica a is not the leader")
	}
	return c
}

// Guards against a vote that is sent before it is synced: after a crash the
// replica could vote again in the same term.
func TestVoteIsSentAfterSync(t *testing.T) {
	is := is.New(t)
	c := newTestCore(t, foundedAtTerm(1), "a", "b", "c")
	is.NoErr(c.Step(2*time.Second, messageFromB(wirepb.RaftMessage_TYPE_VOTE, 2)))
	rd := c.Ready()
	is.Equal(len(rd.Messages), 0)
	is.Equal(len(ofType(rd.AfterSync, wirepb.RaftMessage_TYPE_VOTE_RESPONSE)), 1)
	is.Equal(rd.HardState.Vote, "b")
	c.Advance(rd)
	third := messageFromB(wirepb.RaftMessage_TYPE_VOTE, 2)
	third.From = "c"
	is.NoErr(c.Step(2*time.Second, third))
	is.True(ofType(processReady(c), wirepb.RaftMessage_TYPE_VOTE_RESPONSE)[0].Reject) // one vote per term
}

// Guards against an acknowledgement that is sent before the entry is synced: a
// crash could lose the acknowledged entry.
func TestAppendIsAcknowledgedAfterSync(t *testing.T) {
	is := is.New(t)
	c := newTestCore(t, foundedAtTerm(2), "a", "b", "c")
	m := messageFromB(wirepb.RaftMessage_TYPE_APPEND, 2)
	m.Entries = []*wirepb.RaftEntry{{Index: 1, Term: 2, Data: []byte("x")}}
	is.NoErr(c.Step(0, m))
	rd := c.Ready()
	is.Equal(len(rd.Messages), 0)
	is.Equal(ofType(rd.AfterSync, wirepb.RaftMessage_TYPE_APPEND_RESPONSE)[0].Index, uint64(1))
	is.Equal(len(rd.Entries), 1)
}

// Guards against a leader that counts itself towards the commit quorum before its
// own copy of the entry is synced.
func TestLeaderCountsItselfAfterSync(t *testing.T) {
	is := is.New(t)
	c := newLeader(t)
	rd := c.Ready()
	is.Equal(len(rd.Entries), 1)
	ack := messageFromB(wirepb.RaftMessage_TYPE_APPEND_RESPONSE, 2)
	ack.Index = 1
	is.NoErr(c.Step(c.now, ack))
	is.Equal(c.Status().Commit, uint64(0))
	c.Advance(rd)
	is.Equal(c.Status().Commit, uint64(1))
}

// Guards against a learner that votes or campaigns although it is not part of the
// quorum.
func TestLearnerDoesNotVote(t *testing.T) {
	is := is.New(t)
	in := foundedAtTerm(1)
	in.Snapshot = &wirepb.RaftSnapshot{Index: 5, Term: 1, Voters: &wirepb.RaftVoters{Voters: []string{"b", "c"}, Learners: []string{"a"}}}
	c := newTestCore(t, in)
	for _, kind := range []wirepb.RaftMessage_Type{wirepb.RaftMessage_TYPE_PRE_VOTE, wirepb.RaftMessage_TYPE_VOTE} {
		m := messageFromB(kind, 2)
		m.Index, m.LogTerm = 9, 1
		is.NoErr(c.Step(10*time.Second, m))
	}
	is.NoErr(c.Tick(20 * time.Second)) // and it does not campaign
	is.Equal(len(processReady(c)), 0)
}

// Guards against committing an entry of an earlier term because a quorum has it: a
// later leader may still replace such an entry (figure 8 of the Raft paper).
func TestOnlyCurrentTermEntriesCommitByCounting(t *testing.T) {
	is := is.New(t)
	c := newLeader(t, &wirepb.RaftEntry{Index: 1, Term: 1, Data: []byte("old")})
	processReady(c)
	ack := messageFromB(wirepb.RaftMessage_TYPE_APPEND_RESPONSE, 2)
	ack.Index = 1
	is.NoErr(c.Step(c.now, ack))
	is.Equal(c.Status().Commit, uint64(0))
	ack.Index = 2
	is.NoErr(c.Step(c.now, ack))
	is.Equal(c.Status().Commit, uint64(2))
}

// Guards against a leader that loses contact with its quorum and stays leader.
func TestLeaderWithoutQuorumStepsDown(t *testing.T) {
	is := is.New(t)
	c := newLeader(t)
	processReady(c)
	start := c.now
	is.NoErr(c.Step(start+500*time.Millisecond, messageFromB(wirepb.RaftMessage_TYPE_HEARTBEAT_RESPONSE, 2)))
	is.NoErr(c.Tick(start + 1400*time.Millisecond))
	is.Equal(c.Status().Role, Leader)
	is.NoErr(c.Tick(start + 1500*time.Millisecond))
	is.Equal(c.Status().Role, Follower)
}

// Guards against a vote within the minimum election timeout after a message from
// the leader: another leader could be elected while the lease is valid.
func TestNoVoteWithinElectionTimeoutOfLeaderMessage(t *testing.T) {
	is := is.New(t)
	c := newTestCore(t, foundedAtTerm(1), "a", "b", "c")
	is.NoErr(c.Step(5*time.Second, messageFromB(wirepb.RaftMessage_TYPE_HEARTBEAT, 1)))
	processReady(c)
	vote := messageFromB(wirepb.RaftMessage_TYPE_VOTE, 2)
	vote.From = "c"
	is.NoErr(c.Step(5*time.Second+900*time.Millisecond, vote))
	is.Equal(c.Status().Term, uint64(1))
	is.NoErr(c.Step(6*time.Second, vote))
	is.Equal(c.Status().Term, uint64(2))
}

// Guards against a voter that lost its disk and continues under its old name.
func TestVoterWithEmptyDiskInFoundedGroupStops(t *testing.T) {
	is := is.New(t)
	c := newTestCore(t, Initial{}, "a", "b", "c")
	vote := messageFromB(wirepb.RaftMessage_TYPE_VOTE, 7)
	vote.Index, vote.LogTerm = 9, 6
	is.NoErr(c.Step(3*time.Second, vote))
	is.Equal(len(processReady(c)), 0) // it does not vote
	var empty *EmptyDiskError
	is.True(errors.As(c.Step(3*time.Second, messageFromB(wirepb.RaftMessage_TYPE_HEARTBEAT, 7)), &empty))
}

// Guards against promoting a learner that is not caught up: the quorum would have
// to wait for it.
func TestPromotionNeedsACaughtUpLearner(t *testing.T) {
	is := is.New(t)
	c := newLeader(t)
	processReady(c)
	ack := func(name string, index uint64) {
		m := messageFromB(wirepb.RaftMessage_TYPE_APPEND_RESPONSE, 2)
		m.From, m.Index = name, index
		is.NoErr(c.Step(c.now, m))
		processReady(c)
	}
	ack("b", 1)
	_, _, err := c.ChangeVoter(VoterChange{AddLearner, "d"})
	is.NoErr(err)
	processReady(c)
	ack("b", 2)
	_, _, err = c.ChangeVoter(VoterChange{Promote, "d"})
	var behind *NotCaughtUpError
	is.True(errors.As(err, &behind))
	ack("d", 2)
	_, _, err = c.ChangeVoter(VoterChange{Promote, "d"})
	is.NoErr(err)
}

// Guards against a broken invariant that goes unnoticed: the core must stop and
// report the invariant's name.
func TestBrokenInvariantStopsTheCore(t *testing.T) {
	follower := func() *Core {
		in := foundedAtTerm(2)
		in.HardState.Commit = 1
		in.Entries = []*wirepb.RaftEntry{{Index: 1, Term: 2}, {Index: 2, Term: 2}}
		return newTestCore(t, in, "a", "b", "c")
	}
	conflict := messageFromB(wirepb.RaftMessage_TYPE_APPEND, 3)
	conflict.Entries = []*wirepb.RaftEntry{{Index: 1, Term: 1}, {Index: 2, Term: 3}}
	beyond := messageFromB(wirepb.RaftMessage_TYPE_HEARTBEAT, 2)
	beyond.Commit = 9
	cases := []struct {
		name string
		core *Core
		m    *wirepb.RaftMessage
	}{
		{InvariantSingleLeader, newLeader(t), messageFromB(wirepb.RaftMessage_TYPE_HEARTBEAT, 2)},
		{InvariantLogMatching, follower(), conflict},
		{InvariantAckedKept, follower(), beyond},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			err := tc.core.Step(tc.core.now, tc.m)
			var broken *InvariantError
			is.True(errors.As(err, &broken))
			is.Equal(tc.core.BrokenInvariant(), tc.name)
			rd := tc.core.Ready()
			is.True(rd.Empty())
			_, _, err = tc.core.Propose([]byte("x"))
			is.True(errors.As(err, &broken))
			is.True(errors.As(tc.core.Tick(time.Hour), &broken))
		})
	}
	l := &raftLog{commit: 3}
	var broken *InvariantError
	if err := l.commitTo(2); !errors.As(err, &broken) || broken.Name != InvariantCommitMonotone {
		t.Fatalf("the commit index may decrease: %v", err)
	}
	c := follower()
	c.becomeFollower(1, "")
	if c.BrokenInvariant() != InvariantTermMonotone {
		t.Fatalf("the term may decrease: %v", c.Err())
	}
}

// Guards against a leader that probes at the base of its log forever when the
// follower has an entry of another term there. The follower needs a snapshot.
func TestFollowerConflictingBeforeFirstEntryGetsSnapshot(t *testing.T) {
	is := is.New(t)
	c := newLeader(t)
	processReady(c)
	ack := messageFromB(wirepb.RaftMessage_TYPE_APPEND_RESPONSE, 2)
	ack.Index = 1
	is.NoErr(c.Step(c.now, ack))
	processReady(c)
	c.Compact(1, 1)
	reject := messageFromB(wirepb.RaftMessage_TYPE_APPEND_RESPONSE, 2)
	reject.From, reject.Reject = "c", true
	reject.Index, reject.RejectHint, reject.LogTerm = 1, 1, 1
	c.progress["c"].startProbing(2)
	is.Equal(len(ofType(processReady(c), wirepb.RaftMessage_TYPE_APPEND)), 1)
	is.NoErr(c.Step(c.now, reject))
	is.Equal(len(ofType(processReady(c), wirepb.RaftMessage_TYPE_SNAPSHOT)), 1)
}

// Guards against a group that can't elect a leader: a promoted replica that has
// not received its promotion might not grant its vote, so no later membership may
// depend on that vote yet.
func TestRemovalWaitsForThePromotedVoter(t *testing.T) {
	is := is.New(t)
	s := newSim(3, "a", "b")
	for range 500 {
		s.step(20 * time.Millisecond)
	}
	l := s.leader()
	is.True(l != nil)
	other := map[string]string{"a": "b", "b": "a"}[l.name]
	change := func(kind ChangeKind, name string) error {
		_, _, err := l.core.ChangeVoter(VoterChange{kind, name})
		s.process(l)
		for range 20 {
			s.step(20 * time.Millisecond)
		}
		return err
	}
	s.add("d", nil)
	is.NoErr(change(AddLearner, "d"))
	s.cutLinks[l.name+">d"] = true
	is.NoErr(change(Promote, "d"))
	var busy *BusyError
	is.True(errors.As(change(Remove, other), &busy))
	s.crash(l)
	is.True(s.heal())
	is.Equal(s.failure, "")
}

// Guards against sending messages of a new term before the term is synced: a crash
// would lose the term. A sole voter wins its election before its vote is synced.
func TestNewTermIsSyncedBeforeItsMessages(t *testing.T) {
	is := is.New(t)
	in := foundedAtTerm(1)
	in.Snapshot = &wirepb.RaftSnapshot{Index: 5, Term: 1, Voters: &wirepb.RaftVoters{Voters: []string{"a"}, Learners: []string{"d"}}}
	c := newTestCore(t, in)
	is.NoErr(c.Tick(2 * time.Second))
	is.Equal(c.Status().Role, Leader)
	rd := c.Ready()
	is.Equal(rd.HardState.Term, uint64(2))
	is.Equal(len(rd.Messages), 0)
	is.Equal(len(ofType(rd.AfterSync, wirepb.RaftMessage_TYPE_APPEND)), 1)
}

// Guards against two uncommitted membership changes at once: their quorums need not
// overlap. Here a quorum has the first change, but the leader has not synced it.
func TestOneVoterChangeAtATime(t *testing.T) {
	is := is.New(t)
	c := newLeader(t)
	processReady(c)
	ack := messageFromB(wirepb.RaftMessage_TYPE_APPEND_RESPONSE, 2)
	ack.Index = 1
	is.NoErr(c.Step(c.now, ack))
	_, _, err := c.ChangeVoter(VoterChange{AddLearner, "d"})
	is.NoErr(err)
	ack.Index = 2
	is.NoErr(c.Step(c.now, ack))
	_, _, err = c.ChangeVoter(VoterChange{Remove, "c"})
	var busy *BusyError
	is.True(errors.As(err, &busy))
	processReady(c)
	_, _, err = c.ChangeVoter(VoterChange{Remove, "c"})
	is.NoErr(err)
}

// Guards against a vote for a candidate whose log may lack a committed entry.
func TestVoteNeedsAnUpToDateLog(t *testing.T) {
	is := is.New(t)
	in := foundedAtTerm(1)
	in.Entries = []*wirepb.RaftEntry{{Index: 1, Term: 1}, {Index: 2, Term: 1}}
	for _, kind := range []wirepb.RaftMessage_Type{wirepb.RaftMessage_TYPE_PRE_VOTE, wirepb.RaftMessage_TYPE_VOTE} {
		c := newTestCore(t, in, "a", "b", "c")
		m := messageFromB(kind, 2)
		m.Index, m.LogTerm = 1, 1
		is.NoErr(c.Step(2*time.Second, m))
		sent := processReady(c)
		is.Equal(len(sent), 1)
		is.True(sent[0].Reject)
	}
}

// Guards against a stale read from a deposed leader: a read must wait until a quorum
// has acknowledged a heartbeat that was sent after the read began.
func TestReadWaitsForAQuorum(t *testing.T) {
	is := is.New(t)
	c := newLeader(t)
	processReady(c)
	var busy *BusyError
	is.True(errors.As(c.ReadIndex(1), &busy)) // nothing of this term is committed
	ack := messageFromB(wirepb.RaftMessage_TYPE_APPEND_RESPONSE, 2)
	ack.Index = 1
	is.NoErr(c.Step(c.now, ack))
	earlier := c.heartbeatSeq
	is.NoErr(c.ReadIndex(2))
	rd := c.Ready()
	is.Equal(len(rd.Reads), 0)
	c.Advance(rd)
	answer := messageFromB(wirepb.RaftMessage_TYPE_HEARTBEAT_RESPONSE, 2)
	answer.ReadContext = earlier
	is.NoErr(c.Step(c.now, answer))
	rd = c.Ready()
	is.Equal(len(rd.Reads), 0)
	c.Advance(rd)
	answer.ReadContext = earlier + 1
	is.NoErr(c.Step(c.now, answer))
	is.Equal(c.Ready().Reads, []ReadState{{ID: 2, Index: 1}})
}

// Guards against a replica that returns from a partition and deposes an active
// leader: a pre-vote must not raise the receiver's term.
func TestPreVoteDoesNotRaiseTerm(t *testing.T) {
	is := is.New(t)
	c := newTestCore(t, foundedAtTerm(1), "a", "b", "c")
	is.NoErr(c.Step(5*time.Second, messageFromB(wirepb.RaftMessage_TYPE_HEARTBEAT, 1)))
	processReady(c)
	m := messageFromB(wirepb.RaftMessage_TYPE_PRE_VOTE, 9)
	m.From = "c"
	is.NoErr(c.Step(5*time.Second, m))
	is.Equal(c.Status().Term, uint64(1))
	is.Equal(c.Status().Leader, "b")
	is.True(ofType(processReady(c), wirepb.RaftMessage_TYPE_PRE_VOTE_RESPONSE)[0].Reject)
}

// Guards against a leader that still relies on its lease after it has sent
// TIMEOUT_NOW: the campaign of the receiver overrides the lease.
func TestTransferEndsTheLease(t *testing.T) {
	is := is.New(t)
	c := newLeader(t)
	processReady(c)
	ack := messageFromB(wirepb.RaftMessage_TYPE_APPEND_RESPONSE, 2)
	ack.Index = 1
	is.NoErr(c.Step(c.now, ack))
	answer := messageFromB(wirepb.RaftMessage_TYPE_HEARTBEAT_RESPONSE, 2)
	answer.ReadContext = c.heartbeatSeq
	is.NoErr(c.Step(c.now, answer))
	is.True(c.Status().LeaseUntil > c.now)
	is.NoErr(c.TransferLeader("b"))
	is.Equal(len(ofType(processReady(c), wirepb.RaftMessage_TYPE_TIMEOUT_NOW)), 1)
	is.Equal(c.Status().LeaseUntil, time.Duration(0))
	is.NoErr(c.Step(c.now, answer))
	is.Equal(c.Status().LeaseUntil, time.Duration(0))
}

// Guards against a leader that goes on without a lease after a transfer that the receiver
// did not carry out: its heartbeats keep the others from electing one that has a lease.
func TestFailedTransferEndsTheLeadership(t *testing.T) {
	is := is.New(t)
	for _, caughtUp := range []bool{true, false} {
		c := newLeader(t)
		processReady(c)
		ack := messageFromB(wirepb.RaftMessage_TYPE_APPEND_RESPONSE, 2)
		ack.Index = 1
		is.NoErr(c.Step(c.now, ack))
		if !caughtUp {
			_, _, err := c.Propose([]byte("x")) // not acknowledged by b
			is.NoErr(err)
		}
		is.NoErr(c.TransferLeader("b"))
		sent := ofType(processReady(c), wirepb.RaftMessage_TYPE_TIMEOUT_NOW)
		is.Equal(len(sent) > 0, caughtUp)
		for range 40 { // heartbeats are answered all the while
			answer := messageFromB(wirepb.RaftMessage_TYPE_HEARTBEAT_RESPONSE, 2)
			answer.ReadContext = c.heartbeatSeq
			is.NoErr(c.Step(c.now, answer))
			is.NoErr(c.Tick(c.now + 50*time.Millisecond))
			processReady(c)
		}
		is.Equal(c.Status().Role == Leader, !caughtUp)
		is.Equal(c.Status().LeaseUntil > c.now, !caughtUp)
	}
}

// Guards against a transfer that ends the leadership without a successor because
// TIMEOUT_NOW was lost, or reached a receiver that had just restarted and knew no leader.
func TestLostTimeoutNowIsRepeated(t *testing.T) {
	is := is.New(t)
	c := newLeader(t)
	processReady(c)
	ack := messageFromB(wirepb.RaftMessage_TYPE_APPEND_RESPONSE, 2)
	ack.Index = 1
	is.NoErr(c.Step(c.now, ack))
	is.NoErr(c.TransferLeader("b"))
	is.Equal(len(ofType(processReady(c), wirepb.RaftMessage_TYPE_TIMEOUT_NOW)), 1) // lost
	is.NoErr(c.Tick(c.now + c.cfg.HeartbeatInterval))
	processReady(c)
	answer := messageFromB(wirepb.RaftMessage_TYPE_HEARTBEAT_RESPONSE, 2)
	answer.ReadContext = c.heartbeatSeq
	is.NoErr(c.Step(c.now, answer))
	is.Equal(len(ofType(processReady(c), wirepb.RaftMessage_TYPE_TIMEOUT_NOW)), 1)
}

// Guards against a transfer to a voter that has just ended: the others would elect a
// leader only after an election timeout, and callers would get no answers meanwhile.
func TestTransferToASilentVoterIsRedirected(t *testing.T) {
	is := is.New(t)
	for _, caughtUp := range []bool{true, false} {
		c := newLeader(t)
		processReady(c)
		if caughtUp {
			ack := messageFromB(wirepb.RaftMessage_TYPE_APPEND_RESPONSE, 2)
			ack.Index = 1
			is.NoErr(c.Step(c.now, ack)) // the last message of b
		}
		is.NoErr(c.TransferLeader("b"))
		began := c.now
		told := false
		for !told && c.Status().Role == Leader && c.now < began+2*time.Second {
			is.NoErr(c.Tick(c.now + 50*time.Millisecond))
			ack := messageFromB(wirepb.RaftMessage_TYPE_APPEND_RESPONSE, 2)
			ack.From, ack.Index = "c", 1
			is.NoErr(c.Step(c.now, ack))
			for _, m := range ofType(processReady(c), wirepb.RaftMessage_TYPE_TIMEOUT_NOW) {
				told = told || m.To == "c"
			}
		}
		is.True(told)
		is.True(c.now-began < c.cfg.ElectionTimeoutMin*2/3) // time is left for the receiver
	}
}
