package jobs

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"marjoramtiller.example/marjoramtiller/job/jobpb"
	"marjoramtiller.example/marjoramtiller/job/orders"
	"marjoramtiller.example/marjoramtiller/job/state"
	"marjoramtiller.example/marjoramtiller/job/worker"
)

// Bounds of leases with the timing of settledFixture: an order of an earlier leader that
// arrives late, and one that another process of the worker receives and carries out late.
const (
	lateLease    = 2 * simLease * 100 / 98
	foreignLease = orderTimeout + holdWait + maxOrderDelay + 10*time.Second*100/98
)

// settledFixture is a leader's session, in virtual time, whose changes are applied when
// commit is called. Its worker w-0 runs task 0 of job, and task 1 is free.
type settledFixture struct {
	*restartFixture
	t *testing.T
	w *workerState
}

func newSettledFixture(t *testing.T) *settledFixture {
	t.Helper()
	f := &settledFixture{restartFixture: &restartFixture{upkeepFixture: newUpkeepFixture(t), confirmed: make(chan error, 8)}, t: t}
	f.run = orders.Run{Task: &jobpb.TaskRef{Job: "job"}, Run: 2}
	c := f.session.c
	c.ctx = t.Context()
	c.o.Clock = simClock{time.Now()}
	c.o.Bounds.ReportInterval = time.Second
	c.o.Bounds.Lease = worker.LeaseTiming{Lease: simLease, MaxLease: 10 * time.Second}
	registered := &jobpb.Worker{Id: "w-0", Pool: "pool", BornMs: 1, CpuMillis: 1000}
	end := &jobpb.End{Task: &jobpb.TaskRef{Job: "job", Index: 1}, Run: 1, How: jobpb.How_STOPPED, Worker: "w-1"}
	applyEntries(t, f.store, &jobpb.Entry{Change: &jobpb.Entry_Worker{Worker: registered}}, &jobpb.Entry{Change: &jobpb.Entry_End{End: end}})
	f.earlier = f.session.trackWorker(registered, false)
	f.earlier.track.SampleClock(f.session.now(), 60_000)
	f.w = f.earlier
	f.logStart(f.run)
	return f
}

// logStart has the log place a run on w-0.
func (f *settledFixture) logStart(run orders.Run) *jobpb.Start {
	start := &jobpb.Start{Task: run.Task, Run: run.Run, Worker: "w-0", BornMs: f.w.info.BornMs}
	applyEntries(f.t, f.store, &jobpb.Entry{Change: &jobpb.Entry_Start{Start: start}})
	is.New(f.t).Equal(f.store.Placements("w-0")[state.Key(run.Task)].Task.Run, run.Run)
	return start
}

// answerStart has w-0 answer the start of a run, with a clock.
func (f *settledFixture) answerStart(run orders.Run, clockMs int64) {
	start := &jobpb.Start{Task: run.Task, Run: run.Run, Worker: "w-0", BornMs: f.w.info.BornMs}
	sent := f.session.now()
	f.session.handleStartAnswer(f.w, start, &runState{run: run.Run, fence: f.w.track.Fence(), sentAt: sent}, sent, clockMs, nil)
}

// listRuns has w-0 answer a hold under the current fence.
func (f *settledFixture) listRuns(clockMs int64, running ...orders.Run) {
	f.w = f.session.workers["w-0"]
	list := &orders.RunList{StartedMs: f.w.info.BornMs, ClockMs: clockMs, EndsComplete: true, Running: running}
	f.session.handleRunList(f.w, f.session.now(), orders.HoldOrder{Fence: f.w.track.Fence()}, list, nil)
}

// commit applies the changes of the session.
func (f *settledFixture) commit() {
	f.session.addSettled(f.session.now())
	applyEntries(f.t, f.store, f.session.batch...)
	f.applyBatch()
}

// nextLeader returns w-0 as the leader of the next term tracks it, which is another process.
func (f *settledFixture) nextLeader() *workerState {
	next := newSession(f.session.c, 2, nil)
	next.loadWorkers()
	return next.workers["w-0"]
}

// Guards against tasks that run twice after the leadership has moved to another process, at
// each point from a start without an answer until the leases that a later process of the
// worker took from it have lapsed.
func TestForeignLeasesOutliveTheLeaderAtEachPoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newSettledFixture(t)
		first, second := f.run, orders.Run{Task: &jobpb.TaskRef{Job: "job", Index: 1}, Run: 2}
		awaited := func(point string) {
			t.Helper()
			time.Sleep(settleDelay)
			f.commit()
			bound, known := f.nextLeader().track.LeasesExpireBy(), f.session.workers["w-0"].track.LeasesExpireBy()
			if now := f.session.now(); bound < known || bound < now+foreignLease {
				t.Errorf("%s: the next leader counts leases for %s, this one for %s", point, bound-now, known-now)
			}
		}
		awaited("the start has no answer")
		f.answerStart(first, 300)
		awaited("a later process has answered the start")
		f.report(false)
		f.w = f.session.workers["w-0"]
		awaited("the later process has reported")
		f.listRuns(400, first)
		awaited("the later process runs the task")
		f.listRuns(500)
		f.commit()
		is.Equal(f.store.Workers()["w-0"].BornMs, int64(5))
		awaited("the later process is registered and runs nothing")
		f.logStart(second)
		awaited("a start for the later process has no answer")
		f.answerStart(second, 600)
		awaited("the later process has answered a start")
		time.Sleep(f.w.track.ForeignLeasesUntil() - f.session.now() - time.Second)
		f.listRuns(14_000, second)
		awaited("the later process lists the run while its first leases may last")
		time.Sleep(time.Second)
		f.listRuns(15_000, second)
		time.Sleep(settleDelay)
		f.commit()
		is.True(f.nextLeader().track.LeasesExpireBy() < f.session.now()+foreignLease)
	})
}

// Guards against tasks of lost workers that wait for longer after a change of the leader:
// those whose starts are settled can hold no lease but those of orders for their process.
func TestSettledWorkersAreDroppedAsEarlyAsBefore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newSettledFixture(t)
		bound := func() time.Duration {
			f.commit()
			return (f.nextLeader().track.LeasesExpireBy() - f.session.now()).Truncate(time.Millisecond)
		}
		short, long := lateLease.Truncate(time.Millisecond), foreignLease.Truncate(time.Millisecond)
		is.Equal(bound(), long)
		f.answerStart(f.run, 60_000)
		time.Sleep(settleDelay)
		is.Equal(bound(), short)
		second := orders.Run{Task: &jobpb.TaskRef{Job: "job", Index: 1}, Run: 2}
		f.logStart(second)
		is.Equal(bound(), long)
		f.listRuns(61_000, f.run, second) // its start had no answer, or an earlier leader sent it
		time.Sleep(settleDelay)
		is.Equal(bound(), short)
	})
}

// Guards against a session that relies on what its process knew of leases: another process
// may have led since, and the answer to a start of the earlier session may be lost with it.
func TestForeignLeasesOfAnEarlierSessionAreAwaited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newSettledFixture(t)
		bounds := func(want ...time.Duration) {
			t.Helper()
			for i, term := range []uint64{1, 2, 3} { // another process may have led before the third
				again := newSession(f.session.c, term, &fenceRecord{term: 1, session: 1, next: map[string]uint64{}, foreignLeases: map[string]time.Duration{}})
				again.loadWorkers()
				is.Equal((again.workers["w-0"].track.LeasesExpireBy() - f.session.now()).Truncate(time.Millisecond), want[i].Truncate(time.Millisecond))
			}
		}
		bounds(foreignLease, foreignLease, foreignLease) // its run is not settled
		f.answerStart(f.run, 60_000)
		time.Sleep(settleDelay)
		f.commit()
		bounds(lateLease, lateLease, lateLease)
		end := &jobpb.End{Task: f.run.Task, Run: f.run.Run, How: jobpb.How_STOPPED, Worker: "w-0"}
		applyEntries(t, f.store, &jobpb.Entry{Change: &jobpb.Entry_End{End: end}})
		is.Equal(len(f.store.Placements("w-0")), 0)
		bounds(lateLease, lateLease, foreignLease)
	})
}

// Guards against a run that is freed by the end of a worker's process although a later one
// has answered its start, because the session that noticed it has ended.
func TestNextSessionKnowsOfTheLaterProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newSettledFixture(t)
		f.answerStart(f.run, 300) // the clock of another process
		again := newSession(f.session.c, 1, f.session.endFences())
		again.loadWorkers()
		w := again.workers["w-0"]
		w.listedAsEnded = true
		is.True(!again.dropped(w, again.now()))
		is.True(again.dropped(w, again.now()+foreignLease+time.Millisecond))
	})
}
