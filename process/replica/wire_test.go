package replica

import (
	"context"
	"errors"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"marjoramtiller.example/marjoramtiller/connection/loopback"
	"marjoramtiller.example/marjoramtiller/connection/wire"
	"marjoramtiller.example/marjoramtiller/connection/wirepb"
	"marjoramtiller.example/marjoramtiller/process/consensus"
)

// wireNode is a replica whose messages are sent through connection/wire.
type wireNode struct {
	pool    *wire.Pool
	mu      sync.Mutex
	replica *Replica
}

func (n *wireNode) Send(to string, m *wirepb.RaftMessage) { n.pool.SendRaft(to, m) }

func (n *wireNode) HandleRaft(_ string, m *wirepb.RaftMessage) {
	n.mu.Lock()
	r := n.replica
	n.mu.Unlock()
	if r != nil {
		r.Deliver(m)
	}
}

func (n *wireNode) HandleCall(context.Context, string, *wirepb.Request) *wirepb.Response {
	return &wirepb.Response{}
}

func freeAddress(t *testing.T) string {
	found, err := loopback.Reserve(1)
	if err != nil {
		t.Fatal(err)
	}
	return found[0].String()
}

// Guards against messages of replicas that package wire can't transmit, among them a
// snapshot that is larger than a frame.
func TestReplicasOverWire(t *testing.T) {
	is := is.New(t)
	c := newCluster(t)
	voters := []string{"a", "b", "c"}
	peers := map[string]string{}
	for _, name := range append(voters, "d") {
		peers[name] = freeAddress(t)
	}
	start := func(name string, founders []string) *Replica {
		o := wire.Options{Cluster: "test", Process: name, BootID: name, Listen: peers[name], Peers: peers}
		n := &wireNode{pool: wire.NewPool(o)}
		server, err := wire.Listen(o, n)
		is.NoErr(err)
		t.Cleanup(func() {
			_ = n.pool.Close()
			_ = server.Close()
		})
		r, err := Open(Options{
			ID: name, Group: "g", Voters: founders, Dir: filepath.Join(c.root, name),
			StateMachine: &listMachine{}, Transport: n, Seed: uint64(name[0]),
			Tick: 5 * time.Millisecond, HeartbeatInterval: 15 * time.Millisecond,
			ElectionTimeoutMin: 400 * time.Millisecond, ElectionTimeoutMax: 800 * time.Millisecond,
			SnapshotEntries: 4,
		})
		is.NoErr(err)
		n.mu.Lock()
		n.replica = r
		n.mu.Unlock()
		c.mu.Lock()
		c.replicas[name] = r
		c.mu.Unlock()
		return r
	}
	for _, name := range voters {
		start(name, voters)
	}
	large := strings.Repeat("x", 5<<17)
	for i := range 10 {
		c.propose(string(rune('0'+i)) + large)
	}
	d := start("d", nil)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	// An addition that an election interrupts may be lost, or committed all the same.
	interrupted := false
	c.eventually("the learner is added", func() bool {
		err := c.leader().ChangeVoter(ctx, VoterChange{Kind: consensus.AddLearner, Name: "d"})
		var unknown *OutcomeUnknownError
		var notLeader *consensus.NotLeaderError
		var added *consensus.InvalidChangeError
		switch {
		case errors.As(err, &unknown):
			interrupted = true
		case errors.As(err, &notLeader):
		case errors.As(err, &added) && interrupted:
			return true
		default:
			is.NoErr(err)
			return true
		}
		return false
	})
	c.eventually("the learner has all commands", func() bool { return len(appliedCommands(d)) == 10 })
}
