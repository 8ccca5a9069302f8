package replica

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"marjoramtiller.example/marjoramtiller/connection/wirepb"
	"marjoramtiller.example/marjoramtiller/process/consensus"
	"marjoramtiller.example/marjoramtiller/process/storage"
	"marjoramtiller.example/marjoramtiller/standin/disk"
	"marjoramtiller.example/marjoramtiller/standin/randomtest"
)

// processFS is the file system of a process on a simulated disk.
type processFS struct{ *disk.Process }

func (p processFS) Append(name string) (storage.File, error) { return p.Process.Append(name) }
func (p processFS) Create(name string) (storage.File, error) { return p.Process.Create(name) }

// stepGroup runs the replicas of a group in virtual time and on one goroutine, each on a
// simulated disk. It checks what they send and apply, and fails the test if a replica does
// not start again.
type stepGroup struct {
	t        *testing.T
	seed     uint64
	rng      *rand.Rand
	clock    time.Duration
	names    []string
	nodes    map[string]*stepNode
	messages []*wirepb.RaftMessage // on the network, in the order of sending

	diskBytes int // of each disk, 0: unlimited

	votes     map[string]string // voter and term, to candidate
	committed map[uint64]string // log index, to command
	proposed  int
	acked     []string
	powerCuts int
}

type stepNode struct {
	group    *stepGroup
	name     string
	disk     *disk.Disk
	process  *disk.Process // the latest one; it has ended if replica is nil
	replica  *Replica
	isolated bool
	waiting  map[string]*proposal // unanswered proposals, by command
	refused  chan error           // error of the last proposal that failed; full until it is received
}

const stepInterval = 25 * time.Millisecond

func newStepGroup(t *testing.T, seed uint64, names ...string) *stepGroup {
	g := &stepGroup{
		t: t, seed: seed, rng: rand.New(rand.NewPCG(seed, 1)), nodes: map[string]*stepNode{},
		votes: map[string]string{}, committed: map[uint64]string{},
	}
	g.addNodes(names...)
	return g
}

// addNodes adds the founding voters and starts them.
func (g *stepGroup) addNodes(names ...string) {
	g.names = names
	for i, name := range names {
		n := &stepNode{group: g, name: name, disk: disk.New(g.seed*16 + uint64(i)), refused: make(chan error, 1)}
		n.disk.SetCapacity(g.diskBytes)
		g.nodes[name] = n
		n.start()
	}
}

// Now implements Clock.
func (g *stepGroup) Now() time.Duration { return g.clock }

// Ticks implements Clock. The group calls handleTick itself.
func (g *stepGroup) Ticks(time.Duration) (<-chan time.Time, func()) { return nil, func() {} }

// Send implements Transport. A process that has ended sends nothing.
func (n *stepNode) Send(to string, m *wirepb.RaftMessage) {
	if n.process.Ended() {
		return
	}
	n.group.checkVote(m)
	if !n.isolated {
		n.group.messages = append(n.group.messages, proto.CloneOf(m))
	}
}

// checkVote fails the test if a replica votes for two candidates in a term. A candidate's
// request shows its vote for itself.
func (g *stepGroup) checkVote(m *wirepb.RaftMessage) {
	candidate := m.From
	switch {
	case m.Type == wirepb.RaftMessage_TYPE_VOTE_RESPONSE && !m.Reject:
		candidate = m.To
	case m.Type != wirepb.RaftMessage_TYPE_VOTE:
		return
	}
	key := fmt.Sprintf("%s in term %d", m.From, m.Term)
	if earlier, voted := g.votes[key]; voted && earlier != candidate {
		g.t.Fatalf("%s votes for %s after %s", key, candidate, earlier)
	}
	g.votes[key] = candidate
}

// checkedMachine is a listMachine that fails the test if another replica has applied
// another command at the same index.
type checkedMachine struct {
	listMachine
	group *stepGroup
}

func (m *checkedMachine) Apply(index uint64, command []byte) []byte {
	if earlier, known := m.group.committed[index]; known && earlier != string(command) {
		m.group.t.Fatalf("%q is applied at index %d after %q", command, index, earlier)
	}
	m.group.committed[index] = string(command)
	if isLarge(string(command)) {
		m.Commands = slices.DeleteFunc(m.Commands, isLarge)
	}
	return m.listMachine.Apply(index, command)
}

// isLarge reports whether a command replaces the large one before it.
func isLarge(command string) bool { return len(command) > testLargeCommand }

// options are those of the group's replicas. Segments and snapshots are so small and
// frequent that kills often meet their replacement.
func (n *stepNode) options() Options {
	g := n.group
	o := Options{
		ID: n.name, Group: "g", Voters: g.names, Dir: "/data/" + n.name, FS: processFS{n.process},
		StateMachine: &checkedMachine{group: g}, Transport: n, Clock: g, Logger: zerolog.Nop(), Seed: g.rng.Uint64(),
		Tick: stepInterval, HeartbeatInterval: 2 * stepInterval, ElectionTimeoutMin: 6 * stepInterval, ElectionTimeoutMax: 12 * stepInterval,
		SnapshotEntries: 8, SnapshotChunkBytes: 64, segmentBytes: 600,
	}
	if g.diskBytes > 0 {
		o.DiskBytes, o.SnapshotEntries, o.SnapshotChunkBytes, o.segmentBytes = int64(g.diskBytes), 1<<20, 4<<10, 0
	}
	return o
}

// start starts a process if none runs. It may end during its start.
func (n *stepNode) start() {
	if n.replica != nil {
		return
	}
	n.process = n.disk.Start()
	n.load()
}

func (n *stepNode) load() {
	r, err := load(n.options())
	n.waiting = map[string]*proposal{}
	if n.hasEnded(err) {
		n.kill()
		return
	}
	if err != nil {
		n.group.t.Fatalf("%s does not start: %v", n.name, err)
	}
	n.replica = r
}

// hasEnded reports whether the process has been killed or its replica has stopped because
// of a failed sync. It fails the test if the replica goes on after a failed sync.
func (n *stepNode) hasEnded(err error) bool {
	if n.process.Ended() {
		return true
	}
	if n.process.SyncFailed() && err == nil {
		n.group.t.Fatalf("%s goes on after a failed sync", n.name)
	}
	return n.process.SyncFailed()
}

// kill ends the process, as SIGKILL does.
func (n *stepNode) kill() {
	n.process.End()
	n.replica = nil
}

// losePower ends the process and discards what is not synced.
func (n *stepNode) losePower() {
	n.kill()
	n.disk.LosePowerKeepingNothing()
}

// run calls an event's handler, carries out what follows from it and notes the commands
// that are answered. It fails the test if the replica stops by itself.
func (n *stepNode) run(handle func(r *Replica)) {
	r := n.replica
	if r == nil {
		return
	}
	handle(r)
	err := r.processReady()
	for err == nil && r.savingSnapshot {
		if err = r.finishSnapshot(<-r.snapshotResults); err == nil {
			err = r.processReady()
		}
	}
	if n.hasEnded(err) {
		n.kill()
		return
	}
	if err != nil {
		n.group.t.Fatalf("%s stops: %v", n.name, err)
	}
	r.publishStatus()
	n.noteAnswers()
}

func (n *stepNode) noteAnswers() {
	for command, p := range n.waiting {
		select {
		case out := <-p.result:
			delete(n.waiting, command)
			if out.err == nil {
				n.group.acked = append(n.group.acked, command)
				continue
			}
			select {
			case n.refused <- out.err:
			default:
			}
		default:
		}
	}
}

// step advances the clock, delivers the messages on the network and ticks the replicas.
func (g *stepGroup) step() {
	g.clock += stepInterval
	due := g.messages
	g.messages = nil
	// Transfers of snapshots are kept in a map: their order must not depend on the run.
	slices.SortStableFunc(due, func(a, b *wirepb.RaftMessage) int { return strings.Compare(a.From+a.To, b.From+b.To) })
	for _, m := range due {
		g.deliver(m)
	}
	for _, name := range g.names {
		g.nodes[name].run(func(r *Replica) { r.handleTick() })
	}
}

func (g *stepGroup) deliver(m *wirepb.RaftMessage) {
	if n := g.nodes[m.To]; n != nil && !n.isolated {
		n.run(func(r *Replica) { r.handleMessage(m) })
	}
}

// stepUntil steps until the condition holds. It fails the test after two minutes of
// virtual time.
func (g *stepGroup) stepUntil(condition string, ok func() bool) {
	g.t.Helper()
	for end := g.clock + 2*time.Minute; g.clock < end; g.step() {
		if ok() {
			return
		}
	}
	g.t.Fatalf("condition not met: %s", condition)
}

// leader returns the replica with the highest term that leads, or nil.
func (g *stepGroup) leader() *stepNode {
	var found *stepNode
	for _, name := range g.names {
		n := g.nodes[name]
		if n.replica == nil || n.isolated || n.replica.core.Status().Role != consensus.Leader {
			continue
		}
		if found == nil || n.replica.core.Status().Term > found.replica.core.Status().Term {
			found = n
		}
	}
	return found
}

func (g *stepGroup) waitForLeader() *stepNode {
	g.t.Helper()
	g.stepUntil("a replica leads", func() bool { return g.leader() != nil })
	return g.leader()
}

func (n *stepNode) propose(command string) {
	n.run(func(r *Replica) {
		p := &proposal{command: []byte(command), result: make(chan outcome, 1)}
		n.waiting[command] = p
		r.handleProposal(p)
	})
}

// proposeAndWait proposes commands at the leader until each is acknowledged.
func (g *stepGroup) proposeAndWait(commands ...string) {
	g.t.Helper()
	for _, command := range commands {
		g.stepUntil(fmt.Sprintf("acknowledged: %.40s", command), func() bool {
			if l := g.leader(); l != nil && l.waiting[command] == nil && !slices.Contains(g.acked, command) {
				l.propose(command)
			}
			return slices.Contains(g.acked, command)
		})
	}
}

func (n *stepNode) commands() []string {
	return n.replica.options.StateMachine.(*checkedMachine).Commands
}

// checkAcked restarts all replicas, waits until they have applied the same log and fails
// the test if a command that was acknowledged is missing.
func (g *stepGroup) checkAcked() {
	g.t.Helper()
	for _, name := range g.names {
		g.nodes[name].isolated = false
		g.nodes[name].kill() // cancels faults that have not happened yet
		g.nodes[name].start()
	}
	g.proposeAndWait(fmt.Sprintf("last of %d", len(g.acked)))
	g.stepUntil("all replicas have applied the leader's log", func() bool {
		l := g.leader()
		return l != nil && !slices.ContainsFunc(g.names, func(name string) bool {
			return !slices.Equal(g.nodes[name].commands(), l.commands())
		})
	})
	for _, command := range g.acked {
		if !slices.Contains(g.leader().commands(), command) && !isLarge(command) {
			g.t.Fatalf("acknowledged command %q is lost", command)
		}
	}
}

// others returns the nodes other than n.
func (g *stepGroup) others(n *stepNode) []*stepNode {
	var list []*stepNode
	for _, name := range g.names {
		if name != n.name {
			list = append(list, g.nodes[name])
		}
	}
	return list
}

// Guards against the loss of a committed entry that a replica acknowledged after it was
// killed between the write of the entry and its sync, and that a loss of power then takes
// away.
func TestEntryAcknowledgedAfterAKillSurvivesALossOfPower(t *testing.T) {
	g := newStepGroup(t, 1, "a", "b", "c")
	leader := g.waitForLeader()
	g.proposeAndWait("first")
	follower, other := g.others(leader)[0], g.others(leader)[1]

	other.isolated = true
	follower.process.EndAfter(1) // it writes the entry and ends before the sync
	leader.propose("second")
	g.stepUntil("the follower is killed", func() bool { return follower.replica == nil })
	follower.start()
	g.stepUntil("the entry is committed", func() bool { return slices.Contains(g.acked, "second") })

	follower.losePower()
	leader.kill()
	g.messages = nil
	other.isolated = false
	follower.start()
	g.stepUntil("the other two elect a leader", func() bool { return g.leader() != nil })
	g.checkAcked()
}

// Guards against two votes in a term: a replica that was killed between the write of its
// vote and the sync repeats the vote after its restart, loses it with the power and votes
// for another candidate.
func TestVoteRepeatedAfterAKillSurvivesALossOfPower(t *testing.T) {
	is := is.New(t)
	g := newStepGroup(t, 1, "a", "b", "c")
	leader := g.waitForLeader()
	g.proposeAndWait("first")
	voter := g.others(leader)[0]
	for _, n := range g.others(voter) {
		n.kill()
	}
	g.messages = nil
	term := voter.replica.core.Status().Term + 1
	vote := func(candidate string) {
		g.clock += 5 * time.Second // the lease of an earlier leader has expired
		g.deliver(&wirepb.RaftMessage{Group: "g", Type: wirepb.RaftMessage_TYPE_VOTE, From: candidate, To: voter.name, Term: term, Index: 100, LogTerm: term})
	}
	voter.process.EndAfter(1) // it writes the vote and ends before the sync
	first, second := g.others(voter)[0].name, g.others(voter)[1].name
	vote(first)
	is.True(voter.replica == nil)
	voter.start()
	vote(first)
	is.Equal(g.votes[fmt.Sprintf("%s in term %d", voter.name, term)], first)
	voter.losePower()
	voter.start()
	vote(second)
}

// randomFault ends or starts processes, cuts power or connections, or proposes a command.
func (g *stepGroup) randomFault() {
	n := g.nodes[g.names[g.rng.IntN(len(g.names))]]
	switch action := g.rng.IntN(100); {
	case action < 45:
		if l := g.leader(); l != nil {
			g.proposed++
			l.propose(fmt.Sprint(strings.Repeat("x", g.rng.IntN(100)), g.proposed))
		}
	case action < 48:
		n.kill()
	case action < 58:
		n.process.EndAfter(g.rng.IntN(6)) // in the middle of a change, which may be torn
	case action < 62:
		g.cutPower(n)
	case action < 63:
		for _, name := range g.names {
			g.cutPower(g.nodes[name])
		}
	case action < 92:
		n.start()
	case action < 94: // the next process ends during its start
		n.kill()
		n.process = n.disk.Start()
		n.process.EndAfter(g.rng.IntN(12))
		n.load()
	case action < 95:
		n.process.FailNextSync()
	case action < 96:
		n.isolated = !n.isolated
	default:
		g.messages = slices.DeleteFunc(g.messages, func(*wirepb.RaftMessage) bool { return g.rng.IntN(2) == 0 })
	}
}

// cutPower ends the process and keeps nothing or a random part of what is not synced.
func (g *stepGroup) cutPower(n *stepNode) {
	n.kill()
	if g.rng.IntN(2) == 0 {
		n.disk.LosePowerKeepingNothing()
	} else {
		n.disk.LosePower()
	}
	g.powerCuts++
}

// Guards against a lost acknowledged command, two votes of a replica in a term, different
// commands at an index of the log, and a replica that does not start again. The faults are
// any sequence of kills, also in the middle of a write or of a start, of losses of power
// at one replica or at all, of failed syncs, and of lost messages.
func TestRandomKillsAndLossesOfPowerLoseNothing(t *testing.T) {
	const seedsInCI = 60
	var acked, powerCuts int
	for _, seed := range randomtest.Seeds(seedsInCI) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			g := newStepGroup(t, seed, []string{"a", "b", "c", "d", "e"}[:3+seed%3]...)
			for range 400 {
				g.randomFault()
				for range g.rng.IntN(12) {
					g.step()
				}
			}
			g.checkAcked()
			acked += len(g.acked)
			powerCuts += g.powerCuts
		})
	}
	t.Logf("%d acknowledged commands, %d losses of power", acked, powerCuts)
}
