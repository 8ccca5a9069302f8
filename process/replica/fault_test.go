package replica

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"marjoramtiller.example/marjoramtiller/connection/wirepb"
	"marjoramtiller.example/marjoramtiller/process/consensus"
	"marjoramtiller.example/marjoramtiller/process/storage"
)

// faultyFS is the operating system's file system with injected faults: writes that
// fail because the disk is full, and one failed sync.
type faultyFS struct {
	storage.OS
	mu       sync.Mutex
	full     bool
	fullFor  string // the disk is full only for files whose names begin so
	failSync bool
}

type faultyFile struct {
	storage.File
	fs   *faultyFS
	name string
}

func (f *faultyFS) setFaults(full, failSync bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.full, f.failSync = full, failSync
}

// setFullFor makes the disk full for the files whose names begin with a prefix.
func (f *faultyFS) setFullFor(prefix string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.full, f.fullFor = prefix != "", prefix
}

func (f *faultyFS) Append(name string) (storage.File, error) {
	file, err := f.OS.Append(name)
	return &faultyFile{file, f, filepath.Base(name)}, err
}

func (f *faultyFS) Create(name string) (storage.File, error) {
	file, err := f.OS.Create(name)
	return &faultyFile{file, f, filepath.Base(name)}, err
}

func (f *faultyFile) Write(p []byte) (int, error) {
	f.fs.mu.Lock()
	full := f.fs.full && strings.HasPrefix(f.name, f.fs.fullFor)
	f.fs.mu.Unlock()
	if full {
		n, _ := f.File.Write(p[:len(p)/2])
		return n, syscall.ENOSPC
	}
	return f.File.Write(p)
}

func (f *faultyFile) Sync() error {
	f.fs.mu.Lock()
	fail := f.fs.failSync
	f.fs.failSync = false
	f.fs.mu.Unlock()
	if fail {
		return syscall.EIO
	}
	return f.File.Sync()
}

func faultyCluster(t *testing.T, voters ...string) (*cluster, map[string]*faultyFS) {
	c := newCluster(t)
	c.voters = voters
	disks := map[string]*faultyFS{}
	for _, name := range voters {
		disks[name] = &faultyFS{}
		c.fs[name] = disks[name]
		c.open(name, voters)
	}
	return c, disks
}

// Guards against a replica that continues after a failed sync, and against a group
// that stops with it.
func TestFailedSyncStopsTheReplica(t *testing.T) {
	is := is.New(t)
	c, disks := faultyCluster(t, "a", "b", "c")
	c.propose("1")
	leaderReplica := c.leader()
	disks[leaderReplica.Status().ID].setFaults(false, true)
	_, err := leaderReplica.Propose(context.Background(), []byte("2"))
	var unknown *OutcomeUnknownError
	is.True(errors.As(err, &unknown))
	<-leaderReplica.Done()
	var failed *storage.SyncError
	is.True(errors.As(leaderReplica.Status().Err, &failed))
	is.True(strings.Contains(leaderReplica.Status().Err.Error(), "learner"))
	_, err = leaderReplica.Propose(context.Background(), []byte("3"))
	var stopped *StoppedError
	is.True(errors.As(err, &stopped))
	c.propose("4")
}

// Guards against a full disk that loses data, blocks the group or requires a restart
// after space was freed.
func TestFullDiskRejectsProposals(t *testing.T) {
	is := is.New(t)
	c, disks := faultyCluster(t, "a", "b", "c")
	c.propose("1")
	leaderReplica := c.leader()
	name := leaderReplica.Status().ID
	disks[name].setFaults(true, false)
	ctx, cancel := context.WithCancel(context.Background())
	first := make(chan error, 1)
	go func() {
		_, err := leaderReplica.Propose(ctx, []byte("2"))
		first <- err
	}()
	c.eventually("the disk is full", func() bool { return leaderReplica.Status().DiskFull })
	cancel()
	var unknown *OutcomeUnknownError
	is.True(errors.As(<-first, &unknown)) // it may be stored once space is free
	_, err := leaderReplica.Propose(context.Background(), []byte("3"))
	var full *storage.DiskFullError
	is.True(errors.As(err, &full))
	is.Equal(appliedCommands(leaderReplica)[0], "1") // applied commands stay readable
	c.isolate(name, true)
	c.propose("4") // the other replicas still commit
	c.isolate(name, false)
	disks[name].setFaults(false, false)
	want := appliedCommands(c.leader())
	c.eventually("the replica catches up", func() bool {
		return len(appliedCommands(leaderReplica)) >= len(want) && !leaderReplica.Status().DiskFull
	})
}

// Guards against a group that refuses changes, or leaves them unanswered, after the disks
// of its replicas were full one after another, never two at once, and all have room again.
func TestDisksFullOneAfterAnother(t *testing.T) {
	for _, voters := range [][]string{{"a", "b", "c"}, {"a", "b", "c", "d", "e"}} {
		t.Run(fmt.Sprint(len(voters)), func(t *testing.T) {
			is := is.New(t)
			c, disks := faultyCluster(t, voters...)
			random := rand.New(rand.NewPCG(1, uint64(len(voters))))
			n := 0
			propose := func(count int) {
				for range count {
					c.proposeWhileDisksFill(fmt.Sprint(n))
					n++
				}
			}
			propose(5)
			for round := range 2 {
				order := random.Perm(len(voters))
				if round > 0 { // the leader's disk, then that of its successor, and so on
					order = order[:len(voters)-1]
				}
				for _, k := range order {
					name := voters[k]
					if round > 0 {
						name = c.leader().Status().ID
					}
					disks[name].setFaults(true, false)
					propose(10 + random.IntN(30)) // across snapshots, which come every 20 entries
					disks[name].setFaults(false, false)
				}
			}
			c.propose("last")
			for _, name := range voters {
				c.eventually(name+" has all commands", func() bool {
					r := c.replicas[name]
					list := appliedCommands(r)
					return r.Status().Err == nil && !r.Status().DiskFull && len(list) == n+1 && list[n] == "last"
				})
			}
			is.NoErr(c.leader().ReadBarrier(t.Context()))
		})
	}
}

// proposeWhileDisksFill retries a command until it is acknowledged. Each attempt ends after
// a short time, as those of a caller do: one at a leader whose disk is full has no outcome.
func (c *cluster) proposeWhileDisksFill(command string) {
	c.t.Helper()
	c.eventually("acknowledged: "+command, func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), shortElectionTimeout)
		defer cancel()
		_, err := c.leader().Propose(ctx, []byte(command))
		var fatal *StoppedError
		if errors.As(err, &fatal) {
			c.t.Fatalf("propose %s: %v", command, err)
		}
		return err == nil
	})
}

// Guards against a replica that ends because its disk fills up after a snapshot was stored
// and before the log segments that it covers are removed.
func TestFullDiskAfterSnapshotKeepsTheReplica(t *testing.T) {
	is := is.New(t)
	c, disks := faultyCluster(t, "a")
	r := c.leader()
	// The log has two segments before a snapshot is due, which comes with the 20th entry.
	large := strings.Repeat("x", 64<<10)
	propose := func(from, to int) {
		for i := from; i < to; i++ {
			c.propose(large + fmt.Sprint(i))
		}
	}
	propose(0, 18)
	is.Equal(r.Status().Snapshots, uint64(0))
	disks["a"].setFullFor("manifest")
	propose(18, 22)
	c.eventually("a snapshot is stored", func() bool { return r.Status().Snapshots == 1 })
	propose(22, 24)
	is.NoErr(r.Status().Err)
	disks["a"].setFullFor("")
	propose(24, 60)
	c.eventually("further snapshots are stored", func() bool { return r.Status().Snapshots > 1 })
	is.NoErr(r.Status().Err)
}

// Guards against a command that is applied although Propose returned an error which
// means that it is not: after its context has ended, or because it is too large. A
// leader without another voter must reject a transfer of leadership.
func TestCommandWithEndedContextIsNotProposed(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, "a")
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := c.leader().Propose(ctx, []byte("x"))
	var notProposed *NotProposedError
	is.True(errors.As(err, &notProposed))
	c.propose("y")
	is.Equal(appliedCommands(c.leader()), []string{"y"})
	_, err = c.leader().Propose(context.Background(), make([]byte, storage.MaxEntryBytes+1))
	var large *storage.TooLargeError
	is.True(errors.As(err, &large))
	err = c.leader().TransferLeader(context.Background(), "")
	var invalid *consensus.InvalidChangeError
	is.True(errors.As(err, &invalid)) // there is no other voter
}

// Guards against a sync per proposal: proposals that are queued while the replica's
// goroutine is busy must share the next sync. View blocks that goroutine while it
// applies the first proposal.
func TestQueuedProposalsShareASync(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, "a")
	c.propose("0")
	leaderReplica := c.leader()
	before := leaderReplica.Status().Syncs
	release := make(chan struct{})
	viewing := make(chan struct{})
	go leaderReplica.View(func(StateMachine) {
		close(viewing)
		<-release
	})
	<-viewing
	const n = 100
	var wg sync.WaitGroup
	wg.Go(func() { _, _ = leaderReplica.Propose(context.Background(), []byte("x")) })
	c.eventually("the replica's goroutine is blocked by View", func() bool { return leaderReplica.Status().Syncs > before })
	for i := range n {
		wg.Go(func() { _, _ = leaderReplica.Propose(context.Background(), []byte(fmt.Sprint("y", i))) })
	}
	c.eventually("all proposals are queued", func() bool { return len(leaderReplica.proposals) == n })
	close(release)
	wg.Wait()
	is.True(leaderReplica.Status().Syncs-before <= 3)
	is.Equal(len(appliedCommands(leaderReplica)), n+2)
}

type discardTransport struct{}

func (discardTransport) Send(string, *wirepb.RaftMessage) {}

// Guards against a replica that opens a folder in which a log segment is missing.
func TestOpenReportsCorruption(t *testing.T) {
	is := is.New(t)
	dir := filepath.Join(t.TempDir(), "g")
	o := Options{ID: "a", Group: "g", Voters: []string{"a"}, Dir: dir, StateMachine: &listMachine{}, Transport: discardTransport{}}
	r, err := Open(o)
	is.NoErr(err)
	is.NoErr(r.Close())
	is.NoErr(storage.OS{}.Remove(filepath.Join(dir, "log-0000000000000001")))
	_, err = Open(o)
	var missing *storage.MissingSegmentError
	is.True(errors.As(err, &missing))
}
