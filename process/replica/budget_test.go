package replica

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"marjoramtiller.example/marjoramtiller/process/storage"
)

// Sizes in the tests of the disk budget.
const (
	testDiskBytes    = 256 << 10
	testLargeCommand = 4 << 10
)

func largeCommand(n int) string { return fmt.Sprint(n, strings.Repeat("L", testLargeCommand)) }

// newSmallDisks returns a group whose disks have room for testDiskBytes. Each large command
// replaces the one before, as configurations do.
func newSmallDisks(t *testing.T, seed uint64) *stepGroup {
	g := newStepGroup(t, seed)
	g.diskBytes = testDiskBytes
	g.addNodes("a", "b", "c")
	return g
}

// proposeOnce proposes a command at the leader and returns its error, nil if it was accepted.
func (g *stepGroup) proposeOnce(command string) error {
	g.t.Helper()
	l := g.waitForLeader()
	l.propose(command)
	select {
	case out := <-l.refused:
		return out
	default:
		return nil
	}
}

// deferSnapshots keeps a replica from taking snapshots for a time.
func (n *stepNode) deferSnapshots(d time.Duration) { n.replica.nextSnapshotAt = n.group.clock + d }

// Guards against disks that fill up for good because snapshots are due by the number of
// entries only (review, case 6): large commands that replace each other come in a long
// series, beside small ones, while a replica lags behind, the leader is killed and all lose
// their power.
func TestSeriesOfLargeCommandsLeavesSpaceOnTheDisk(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			is := is.New(t)
			g := newSmallDisks(t, seed)
			for i := range 300 { // 1.2 MB
				switch i {
				case 50:
					g.others(g.waitForLeader())[0].isolated = true
				case 150:
					for _, name := range g.names {
						g.nodes[name].isolated = false
					}
				case 200:
					g.waitForLeader().kill()
				case 210, 260:
					for _, name := range g.names {
						g.cutPower(g.nodes[name])
					}
				}
				if i >= 200 {
					for _, name := range g.names {
						g.nodes[name].start()
					}
				}
				g.proposeAndWait(largeCommand(i), fmt.Sprint("small ", i))
			}
			g.checkAcked()
			for _, name := range g.names {
				n := g.nodes[name]
				is.True(n.replica.stalledReady == nil)
				is.True(n.disk.Peak() <= testDiskBytes/2) // far from full at all times
			}
		})
	}
}

// Guards against large commands that take the space of the next snapshot or of small
// commands, and against a refusal that doesn't name the budget or that lasts.
func TestLargeCommandsAreRefusedBeforeSmallOnes(t *testing.T) {
	is := is.New(t)
	g := newSmallDisks(t, 1)
	l := g.waitForLeader()
	l.deferSnapshots(time.Minute)
	var refused error
	for i := 0; refused == nil; i++ {
		if refused = l.replica.diskUsage().CheckCommand(testLargeCommand); refused == nil {
			g.proposeAndWait(largeCommand(i))
		}
	}
	var budget *DiskBudgetError
	is.True(errors.As(refused, &budget))
	is.Equal(budget.DiskBytes, int64(testDiskBytes))
	is.True(strings.Contains(refused.Error(), fmt.Sprint(testDiskBytes)))
	is.True(budget.LogBytes < testDiskBytes/4+testLargeCommand)
	for i := range 100 {
		g.proposeAndWait(fmt.Sprint("small ", i))
	}
	l.deferSnapshots(0)
	g.stepUntil("a snapshot has freed space", func() bool { return l.replica.diskUsage().CheckCommand(testLargeCommand) == nil })
	g.proposeAndWait(largeCommand(1000))
	g.checkAcked()
}

// Guards against a log that small commands fill until the next snapshot no longer fits.
func TestCommandsAreRefusedWhenTheNextSnapshotWouldNotFit(t *testing.T) {
	is := is.New(t)
	g := newSmallDisks(t, 2)
	l := g.waitForLeader()
	l.deferSnapshots(time.Minute)
	small := strings.Repeat("s", testDiskBytes/1024)
	var refused error
	for i := 0; refused == nil && i < 2000; i++ {
		refused = g.proposeOnce(fmt.Sprint(small, i))
		g.step()
	}
	var budget *DiskBudgetError
	is.True(errors.As(refused, &budget))
	is.True(l.disk.Used() <= testDiskBytes/2)
	is.Equal(l.replica.Status().RefusedForSpace, uint64(1))
	l.deferSnapshots(0)
	g.stepUntil("a command is accepted again", func() bool { return g.proposeOnce("after the snapshot") == nil })
}

// Guards against a replica that fills its disk because it can't take a snapshot as fast as
// its leader sends entries, and against one that never goes on.
func TestReplicaOverItsBudgetTakesTheSnapshotBeforeItAppends(t *testing.T) {
	is := is.New(t)
	g := newSmallDisks(t, 3)
	follower := g.others(g.waitForLeader())[0]
	follower.deferSnapshots(10 * time.Minute)
	for i := range 100 {
		g.proposeAndWait(largeCommand(i))
	}
	is.True(follower.replica.metrics.delayedAppends.Load() > 0)
	is.True(follower.disk.Used() <= testDiskBytes*5/8)
	is.True(follower.replica.stalledReady == nil)
	is.True(g.leader() != follower) // it heard its leader all the time
	follower.deferSnapshots(0)
	g.checkAcked()
}

// Guards against a replica that finds its log over the budget when it starts, for example
// after an upgrade, and goes on without a snapshot.
func TestLogOverTheBudgetIsCompactedAfterAStart(t *testing.T) {
	is := is.New(t)
	g := newStepGroup(t, 4)
	g.addNodes("a", "b", "c")
	for _, name := range g.names {
		g.nodes[name].replica.options.SnapshotEntries = 1 << 20 // as before the upgrade
	}
	for i := range 40 {
		g.proposeAndWait(largeCommand(i))
	}
	is.True(g.nodes["a"].disk.Used() > testDiskBytes/2)
	g.diskBytes = testDiskBytes
	for _, name := range g.names {
		g.nodes[name].kill()
		g.nodes[name].disk.SetCapacity(testDiskBytes)
		g.nodes[name].start()
	}
	g.proposeAndWait("after the start")
	g.stepUntil("the logs are compacted", func() bool {
		for _, name := range g.names {
			if g.nodes[name].disk.Used() > testDiskBytes/8 {
				return false
			}
		}
		return true
	})
	g.checkAcked()
}

// Guards against limits of a log that don't leave space for the next snapshot beside the
// stored one, and against parts that don't follow from the size of the disk.
func TestLogLimitsLeaveSpaceForTheNextSnapshot(t *testing.T) {
	is := is.New(t)
	const disk = 128 << 20
	for _, snapshot := range []int64{0, 1 << 20, 20 << 20, 50 << 20} {
		l := diskBudget{disk}.limits(snapshot)
		is.True(2*(snapshot+l.total) <= disk) // the next snapshot is at most as large as this one and the log
		is.True(l.large < l.total)
		is.True(2*l.snapshotDue <= l.large)
	}
	is.True(diskBudget{disk}.limits(disk).total > 0) // even a snapshot that is too large leaves a log
	is.Equal(DiskUsage{}.CheckCommand(storage.MaxEntryBytes), nil)
	is.Equal(DiskUsage{DiskBytes: disk}.CheckCommand(storage.MaxEntryBytes), nil)
	var large *storage.TooLargeError
	is.True(errors.As(DiskUsage{DiskBytes: 1 << 20}.CheckCommand(storage.MaxEntryBytes), &large)) // it never fits
}
