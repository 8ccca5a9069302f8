package replica

import (
	"context"
	"errors"
	"fmt"
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

// faultyFS passes on to the operating system's filesystem, with faults.
type faultyFS struct {
	storage.OS
	mu       sync.Mutex
	full     bool
	failSync bool
}

type faultyFile struct {
	storage.File
	fs *faultyFS
}

func (f *faultyFS) set(full, failSync bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.full, f.failSync = full, failSync
}

func (f *faultyFS) Append(name string) (storage.File, error) {
	file, err := f.OS.Append(name)
	return &faultyFile{file, f}, err
}

func (f *faultyFS) Create(name string) (storage.File, error) {
	file, err := f.OS.Create(name)
	return &faultyFile{file, f}, err
}

func (f *faultyFile) Write(p []byte) (int, error) {
	f.fs.mu.Lock()
	full := f.fs.full
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

// Guards against a replica that goes on after a failed sync, and a group that
// stops with it.
func TestFailedSyncStopsTheReplica(t *testing.T) {
	is := is.New(t)
	c, disks := faultyCluster(t, "a", "b", "c")
	c.propose("1")
	l := c.leader()
	disks[l.Status().ID].set(false, true)
	_, err := l.Propose(context.Background(), []byte("2"))
	var unknown *OutcomeUnknownError
	is.True(errors.As(err, &unknown))
	<-l.Done()
	var failed *storage.SyncError
	is.True(errors.As(l.Status().Err, &failed))
	is.True(strings.Contains(l.Status().Err.Error(), "learner"))
	_, err = l.Propose(context.Background(), []byte("3"))
	var stopped *StoppedError
	is.True(errors.As(err, &stopped))
	c.propose("4")
}

// Guards against a full disk that loses data, blocks the group or needs a
// restart once there is space.
func TestFullDiskRefusesProposals(t *testing.T) {
	is := is.New(t)
	c, disks := faultyCluster(t, "a", "b", "c")
	c.propose("1")
	l := c.leader()
	name := l.Status().ID
	disks[name].set(true, false)
	ctx, cancel := context.WithCancel(context.Background())
	first := make(chan error, 1)
	go func() {
		_, err := l.Propose(ctx, []byte("2"))
		first <- err
	}()
	c.eventually("the disk is full", func() bool { return l.Status().DiskFull })
	cancel()
	var unknown *OutcomeUnknownError
	is.True(errors.As(<-first, &unknown)) // it may be stored once there is space
	_, err := l.Propose(context.Background(), []byte("3"))
	var full *storage.DiskFullError
	is.True(errors.As(err, &full))
	is.Equal(commands(l)[0], "1") // what is there stays readable
	c.isolate(name, true)
	c.propose("4") // the others carry on
	c.isolate(name, false)
	disks[name].set(false, false)
	want := commands(c.leader())
	c.eventually("the replica catches up", func() bool { return len(commands(l)) >= len(want) && !l.Status().DiskFull })
}

// Guards against a proposal whose context has ended but that is applied anyway
// while the caller is told that it was not.
func TestEndedContextIsNotProposed(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, "a")
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := c.leader().Propose(ctx, []byte("x"))
	var notProposed *NotProposedError
	is.True(errors.As(err, &notProposed))
	c.propose("y")
	is.Equal(commands(c.leader()), []string{"y"})
	_, err = c.leader().Propose(context.Background(), make([]byte, storage.MaxEntryBytes+1))
	var large *storage.TooLargeError
	is.True(errors.As(err, &large))
	err = c.leader().TransferLeader(context.Background(), "")
	var invalid *consensus.InvalidChangeError
	is.True(errors.As(err, &invalid)) // there is no other voter
}

// Guards against a group commit that syncs once per proposal: proposals that
// wait while a sync runs must share the next one.
func TestProposalsShareASync(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, "a")
	c.propose("0")
	l := c.leader()
	before := l.Status().Syncs
	release := make(chan struct{})
	held := make(chan struct{})
	go l.View(func(StateMachine) {
		close(held)
		<-release
	})
	<-held
	const n = 100
	var wg sync.WaitGroup
	wg.Go(func() { _, _ = l.Propose(context.Background(), []byte("x")) })
	c.eventually("the goroutine waits for View", func() bool { return l.Status().Syncs > before })
	for i := range n {
		wg.Go(func() { _, _ = l.Propose(context.Background(), []byte(fmt.Sprint("y", i))) })
	}
	c.eventually("all are queued", func() bool { return len(l.proposals) == n })
	close(release)
	wg.Wait()
	is.True(l.Status().Syncs-before <= 3)
	is.Equal(len(commands(l)), n+2)
}

type discard struct{}

func (discard) Send(string, *wirepb.RaftMessage) {}

// Guards against a corrupt folder that is opened.
func TestOpenReportsCorruption(t *testing.T) {
	is := is.New(t)
	dir := filepath.Join(t.TempDir(), "g")
	o := Options{ID: "a", Group: "g", Voters: []string{"a"}, Dir: dir, StateMachine: &listMachine{}, Transport: discard{}}
	r, err := Open(o)
	is.NoErr(err)
	is.NoErr(r.Close())
	is.NoErr(storage.OS{}.Remove(filepath.Join(dir, "log-0000000000000001")))
	_, err = Open(o)
	var missing *storage.MissingSegmentError
	is.True(errors.As(err, &missing))
}
