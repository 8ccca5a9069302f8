package replica

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"marjoramtiller.example/marjoramtiller/connection/wirepb"
	"marjoramtiller.example/marjoramtiller/process/consensus"
	"marjoramtiller.example/marjoramtiller/process/storage"
)

const testTimeout = 30 * time.Second

// listMachine keeps the applied commands in order. It ignores a command that it has
// already applied, so that a command with an unknown outcome can be proposed again.
type listMachine struct{ Commands []string }

func (m *listMachine) Apply(_ uint64, command []byte) []byte {
	if !slices.Contains(m.Commands, string(command)) {
		m.Commands = append(m.Commands, string(command))
	}
	return []byte(fmt.Sprint(len(m.Commands)))
}
func (m *listMachine) Snapshot() ([]byte, error) { return json.Marshal(m) }
func (m *listMachine) Restore(data []byte) error { *m = listMachine{}; return json.Unmarshal(data, m) }

// cluster connects replicas in one process. Messages to and from a replica in
// isolated are lost.
type cluster struct {
	t               testing.TB
	root            string
	voters          []string
	mu              sync.Mutex
	replicas        map[string]*Replica
	isolated        map[string]bool
	fs              map[string]storage.FS
	newStateMachine func() StateMachine
	dropMessage     func(m *wirepb.RaftMessage) bool // returns true for a message to be lost; called with mu held
	// electionTimeout is the minimum election timeout. Tests that expect a single
	// leader set a long one, so that a busy machine does not cause an election.
	electionTimeout time.Duration
}

const (
	shortElectionTimeout = 400 * time.Millisecond
	longElectionTimeout  = 3 * time.Second
)

type link struct {
	testCluster *cluster
	from        string
}

func (l link) Send(to string, m *wirepb.RaftMessage) {
	l.testCluster.mu.Lock()
	r := l.testCluster.replicas[to]
	lost := l.testCluster.isolated[to] || l.testCluster.isolated[l.from] || (l.testCluster.dropMessage != nil && l.testCluster.dropMessage(m))
	l.testCluster.mu.Unlock()
	if r != nil && !lost {
		r.Deliver(m)
	}
}

func newCluster(t testing.TB, voters ...string) *cluster {
	c := &cluster{t: t, root: t.TempDir(), voters: voters, replicas: map[string]*Replica{}, isolated: map[string]bool{}, fs: map[string]storage.FS{}, newStateMachine: func() StateMachine { return &listMachine{} }, electionTimeout: shortElectionTimeout}
	for _, name := range voters {
		c.open(name, voters)
	}
	t.Cleanup(func() {
		for name := range c.replicas {
			c.close(name)
		}
	})
	return c
}

func (c *cluster) open(name string, voters []string) *Replica {
	c.t.Helper()
	r, err := Open(Options{
		ID: name, Group: "g", Voters: voters, Dir: filepath.Join(c.root, name), FS: c.fs[name],
		StateMachine: c.newStateMachine(), Transport: link{c, name}, Seed: uint64(len(name)) + uint64(name[0]),
		Tick: 5 * time.Millisecond, HeartbeatInterval: 15 * time.Millisecond,
		ElectionTimeoutMin: c.electionTimeout, ElectionTimeoutMax: 2 * c.electionTimeout,
		SnapshotEntries: 20, SnapshotChunkBytes: 16, MaxSnapshotBytes: 4096,
	})
	if err != nil {
		c.t.Fatalf("open %s: %v", name, err)
	}
	c.mu.Lock()
	c.replicas[name] = r
	c.mu.Unlock()
	return r
}

func (c *cluster) close(name string) {
	c.mu.Lock()
	r := c.replicas[name]
	delete(c.replicas, name)
	c.mu.Unlock()
	if r != nil {
		_ = r.Close()
	}
}

func (c *cluster) isolate(name string, isolated bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isolated[name] = isolated
}

func (c *cluster) setDropMessage(drop func(m *wirepb.RaftMessage) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dropMessage = drop
}

// eventually polls ok until it returns true, and fails the test after testTimeout.
func (c *cluster) eventually(condition string, ok func() bool) {
	c.t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if ok() {
			return
		}
	}
	c.t.Fatalf("condition not met before the timeout: %s", condition)
}

func (c *cluster) leader() *Replica {
	c.t.Helper()
	var found *Replica
	c.eventually("a leader with a lease", func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		for name, r := range c.replicas {
			if s := r.Status(); s.LeaseValid && !c.isolated[name] {
				found = r
				return true
			}
		}
		return false
	})
	return found
}

// propose retries a command until it is acknowledged.
func (c *cluster) propose(command string) {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	for {
		_, err := c.leader().Propose(ctx, []byte(command))
		if err == nil {
			return
		}
		var notLeader *NotLeaderError
		var busy *consensus.BusyError
		var unknown *OutcomeUnknownError
		if !errors.As(err, &notLeader) && !errors.As(err, &busy) && !errors.As(err, &unknown) {
			c.t.Fatalf("propose %s: %v", command, err)
		}
	}
}

func appliedCommands(r *Replica) []string {
	var list []string
	r.View(func(sm StateMachine) { list = append(list, sm.(*listMachine).Commands...) })
	return list
}

// Guards against acknowledged commands that are lost or reordered when all replicas
// restart and recover from snapshot and log.
func TestRestartKeepsAcknowledgedCommands(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, "a", "b", "c")
	const n = 65
	for i := range n {
		c.propose(fmt.Sprint(i))
	}
	for _, name := range c.voters {
		c.close(name)
	}
	for _, name := range c.voters {
		c.open(name, c.voters)
	}
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	leaderReplica := c.leader()
	is.NoErr(leaderReplica.ReadBarrier(ctx))
	got := appliedCommands(leaderReplica)
	is.Equal(len(got), n)
	for i, command := range got {
		is.Equal(command, fmt.Sprint(i))
	}
}

// Guards against a deposed leader that still serves reads or reports an outcome, and
// against a follower that can't catch up by snapshot after the leader has removed the
// log entries that it needs. The leader is isolated while the others commit commands.
func TestIsolatedLeaderStepsDownAndCatchesUpBySnapshot(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, "a", "b", "c")
	c.propose("first")
	old := c.leader()
	name := old.Status().ID
	c.isolate(name, true)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	_, err := old.Propose(ctx, []byte("lost"))
	var unknown *OutcomeUnknownError
	is.True(errors.As(err, &unknown)) // an isolated leader can't determine the outcome
	var notLeader *NotLeaderError
	is.True(errors.As(old.ReadBarrier(ctx), &notLeader)) // a deposed leader must not serve reads
	for i := range 60 {
		c.propose(fmt.Sprint(i))
	}
	c.isolate(name, false)
	want := appliedCommands(c.leader())
	c.eventually("the old leader catches up", func() bool { return len(appliedCommands(old)) == len(want) })
	is.Equal(appliedCommands(old), want)
}

// Guards against a replica that votes after its folder was lost, and against a
// replacement that never becomes a voter.
func TestReplicaWithEmptyDiskIsRejectedUnderItsOldName(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, "a", "b", "c")
	for i := range 30 {
		c.propose(fmt.Sprint(i))
	}
	lost := "a"
	if c.leader().Status().ID == lost {
		is.NoErr(c.leader().TransferLeader(context.Background(), "b"))
	}
	c.close(lost)
	c.root = t.TempDir() // later opens find an empty folder
	wiped := c.open(lost, c.voters)
	<-wiped.Done()
	var empty *consensus.EmptyDiskError
	is.True(errors.As(wiped.Status().Err, &empty))
	c.close(lost)

	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	d := c.open("d", nil)
	is.NoErr(c.leader().ChangeVoter(ctx, VoterChange{Kind: consensus.AddLearner, Name: "d"}))
	is.NoErr(c.leader().ChangeVoter(ctx, VoterChange{Kind: consensus.Promote, Name: "d"}))
	is.NoErr(c.leader().ChangeVoter(ctx, VoterChange{Kind: consensus.Remove, Name: lost}))
	is.NoErr(c.leader().TransferLeader(ctx, "d"))
	c.eventually("the replacement leads", func() bool { return d.Status().LeaseValid })
	is.Equal(len(appliedCommands(d)), 30)

	// The promoted replica loses its folder too. It is opened without founding voters.
	c.close("d")
	is.NoErr(os.RemoveAll(filepath.Join(c.root, "d")))
	d = c.open("d", nil)
	<-d.Done()
	is.True(errors.As(d.Status().Err, &empty))
}

// Guards against a changed list of founding voters in the settings that changes the
// membership of an existing group.
func TestChangedFoundingVotersDoNotChangeTheMembership(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, "a", "b", "c")
	c.propose("1")
	for _, name := range c.voters {
		c.close(name)
	}
	for _, name := range c.voters {
		c.open(name, []string{"a", "x", "y", "z"})
	}
	c.propose("2")
	is.Equal(c.leader().Status().Voters, []string{"a", "b", "c"})
}

// Guards against a leader that ends and passes the leadership to a voter that is down: its
// lease is over from then on, and the others must wait for an election.
func TestLeadershipIsTransferredToAVoterThatIsUp(t *testing.T) {
	is := is.New(t)
	s := consensus.Status{ID: "a", Voters: []string{"a", "b", "c", "d"}, Match: map[string]uint64{"b": 9, "c": 7, "d": 8},
		SinceLastAck: map[string]time.Duration{"b": time.Second, "c": 100 * time.Millisecond, "d": 100 * time.Millisecond}}
	is.Equal(transferTarget(s, ""), "d")
	is.Equal(transferTarget(s, "b"), "b")
	s.SinceLastAck["c"], s.SinceLastAck["d"] = time.Second, time.Second
	is.Equal(transferTarget(s, ""), "b")
}
