package jobs

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"marjoramtiller.example/marjoramtiller/job/advice"
	"marjoramtiller.example/marjoramtiller/job/jobpb"
	"marjoramtiller.example/marjoramtiller/job/orders"
	"marjoramtiller.example/marjoramtiller/job/state"
	"marjoramtiller.example/marjoramtiller/job/worker"
)

// restartFixture is a leader's session with a worker w-0, which runs task 0 of job. A later
// process has reported under its id, born at 5 ms, and waits for its registration.
type restartFixture struct {
	*upkeepFixture
	earlier, later *workerState
	run            orders.Run
	confirmed      chan error
}

func newRestartFixture(t *testing.T) *restartFixture {
	t.Helper()
	f := &restartFixture{upkeepFixture: newUpkeepFixture(t), confirmed: make(chan error, 4)}
	f.session.c.o.Bounds.ReportInterval = time.Second
	f.earlier = f.session.workers["w-0"]
	f.run = orders.Run{Task: &jobpb.TaskRef{Job: "job"}, Run: 1}
	f.report(false)
	f.later = f.session.workers["w-0"]
	return f
}

func (f *restartFixture) report(draining bool) {
	info := &jobpb.Worker{Id: "w-0", Pool: "pool", BornMs: 5, CpuMillis: 1000, Draining: draining}
	f.session.report(Report{Worker: info, Sequence: 1, ClockMs: 100}, f.confirmed)
}

// list has the later process answer a hold under a fence.
func (f *restartFixture) list(fence uint64, list orders.RunList) {
	list.StartedMs, list.ClockMs = 5, 200
	f.session.handleRunList(f.later, f.session.now(), orders.HoldOrder{Fence: fence}, &list, nil)
}

// registrations returns the registrations in the batch.
func (f *restartFixture) registrations() (list []*jobpb.Worker) {
	for _, e := range f.session.batch {
		if w := e.GetWorker(); w != nil {
			list = append(list, w)
		}
	}
	return list
}

// Guards against the tasks of a process that has ended which start elsewhere while the
// process that now has its id runs them: it has carried out orders that were meant for its
// predecessor.
func TestRunsAtALaterProcessAreNotFreed(t *testing.T) {
	is := is.New(t)
	f := newRestartFixture(t)
	is.True(f.later != f.earlier)
	is.Equal(len(f.registrations()), 0)
	is.True(!f.session.isUsable("w-0"))
	fence := f.later.track.Fence()
	is.True(fence > f.earlier.track.Fence())
	f.list(fence, orders.RunList{EndsComplete: true, Running: []orders.Run{f.run}})
	is.Equal(len(f.registrations()), 0)
	key := state.Key(f.run.Task)
	is.True(f.later.runs[key].stopSentAt > 0) // the log can't move it to the later process
	f.list(f.earlier.track.Fence(), orders.RunList{EndsComplete: true})
	is.Equal(len(f.registrations()), 0) // an order of its start may come after this list
	is.Equal(len(f.confirmed), 0)
	f.list(fence, orders.RunList{EndsComplete: true})
	is.Equal(len(f.registrations()), 1)
	f.list(fence, orders.RunList{EndsComplete: true})
	is.Equal(len(f.registrations()), 1) // once
	f.applyBatch()
	is.NoErr(<-f.confirmed)
	is.Equal(f.later.predecessor, nil)
	is.True(f.session.isUsable("w-0"))
}

// Guards against a task that starts again after the later process has completed it, and
// against a report that is confirmed before the log has what it says.
func TestEndsAtALaterProcessAreRecorded(t *testing.T) {
	is := is.New(t)
	f := newRestartFixture(t)
	end := orders.EndedRun{Number: 1, Task: f.run.Task, Run: 1, How: jobpb.How_DONE}
	f.list(f.later.track.Fence(), orders.RunList{EndsComplete: true, Ended: []orders.EndedRun{end}})
	is.Equal(f.session.batch[0].GetEnd().GetHow(), jobpb.How_DONE)
	is.Equal(len(f.registrations()), 1)
	f.report(true) // while the registration is being committed
	is.Equal(len(f.registrations()), 2)
	is.True(f.registrations()[1].Draining)
	is.Equal(len(f.confirmed), 0)
	f.applyBatch()
	is.Equal(len(f.confirmed), 2)
	is.True(f.later.draining && f.later.info.Draining)
}

// Guards against waiting for a list of a process that is of no use to anybody: nothing was
// placed on its predecessor, or it never lists its runs.
func TestLaterProcessIsNotAwaitedForEver(t *testing.T) {
	is := is.New(t)
	f := newRestartFixture(t)
	f.session.report(Report{Worker: &jobpb.Worker{Id: "idle", BornMs: 1}, Sequence: 1}, f.confirmed)
	f.applyBatch()
	f.session.report(Report{Worker: &jobpb.Worker{Id: "idle", BornMs: 2}, Sequence: 1}, f.confirmed)
	is.Equal(len(f.registrations()), 1)
	f.session.report(Report{Worker: &jobpb.Worker{Id: "w-0", BornMs: 6}, Sequence: 1}, f.confirmed)
	latest := f.session.workers["w-0"]
	is.Equal(latest.predecessor, f.earlier) // not the one between them, which was never registered
	latest.track = worker.New(worker.LeaseTiming{Lease: 4 * time.Second, MaxLease: 10 * time.Second}, 1, 6, f.session.now(), false)
	latest.track.ExpectForeignLeases(f.session.now())
	is.True(!f.session.dropped(latest, f.session.now()+10*time.Second)) // it may hold a lease of the longest kind
	f.session.batch = nil
	is.True(f.session.dropped(latest, f.session.now()+15*time.Second))
	gone := f.session.batch[len(f.session.batch)-1].GetGone()
	is.Equal(gone.BornMs, f.earlier.info.BornMs) // the registered process, whose runs it frees
}

// Guards against a start that counts as confirmed by the registered process although
// another one has answered it: the clock in the answer is that of a later process.
func TestStartAnsweredByALaterProcessIsNotConfirmed(t *testing.T) {
	is := is.New(t)
	f := newUpkeepFixture(t)
	w := f.session.workers["w-0"]
	now := f.session.now()
	w.track.SampleClock(now, 60_000)
	start := &jobpb.Start{Task: &jobpb.TaskRef{Job: "job"}, Run: 1, Worker: "w-0"}
	fence := w.track.Fence()
	for clockMs, sameProcess := range map[int64]bool{60_000: true, 59_990: true, 300: false} {
		r := &runState{run: 1, fence: w.track.Fence(), sentAt: now}
		f.session.handleStartAnswer(w, start, r, now, clockMs, nil)
		is.Equal(r.startConfirmed, sameProcess)
	}
	is.Equal(w.track.Fence(), fence+1)
	is.Equal(w.nextHold, time.Duration(0)) // its list tells which process it is
}

// Guards against starts with a ticket that ended with the worker's earlier process, which
// are sent and refused for as long as the ticket would be valid.
func TestRejectedTicketIsNotUsedAgain(t *testing.T) {
	is := is.New(t)
	s := newUpkeepFixture(t).session
	s.advice = newAdviceDriver(s)
	w := s.workers["w-0"]
	start := &jobpb.Start{Task: &jobpb.TaskRef{Job: "job"}, Run: 1, Worker: "w-0"}
	key := state.Key(start.Task).StepKey()
	s.advice.step(key).Add([]advice.Process{{Worker: "w-0"}}, map[string]string{"w-0": "newer"}, s.now()+time.Hour)
	refused := &orders.RefusedError{Reason: orders.RefusedTicket}
	s.handleStartAnswer(w, start, &runState{run: 1, ticket: "older"}, s.now(), 0, refused)
	_, usable := s.advice.tickets(key)
	is.True(usable) // an answer has come since
	s.handleStartAnswer(w, start, &runState{run: 1, ticket: "newer"}, s.now(), 0, refused)
	_, usable = s.advice.tickets(key)
	is.True(!usable)
}

// transferLog is a log whose leader can pass its leadership on.
type transferLog struct {
	fixedLog
	transfers chan string
}

func (l transferLog) TransferLeader(_ context.Context, to string) error {
	l.transfers <- to
	return nil
}

// Guards against a leader that uses the fences of the next term, which its successor would
// use as well: a worker that needed thousands of them in one term.
func TestLeaderResignsBeforeItsFencesAreUsedUp(t *testing.T) {
	is := is.New(t)
	s := newUpkeepFixture(t).session
	log := transferLog{transfers: make(chan string, 1)}
	s.c.group, s.term = log, 1
	w := s.workers["w-0"]
	for w.track.Fence() < worker.LastFence(1)-reservedFences {
		s.raiseFence(w)
	}
	is.Equal(len(log.transfers), 0)
	s.raiseFence(w)
	is.Equal(<-log.transfers, "")
	is.True(w.track.Fence() < worker.New(worker.LeaseTiming{}, 2, 0, 0, false).FirstFence())
}

// Guards against a later process that is never registered because the runs of its
// predecessor have ended otherwise, so that nothing is placed on it and nobody asks it.
func TestLaterProcessIsAskedWithoutPlacedRuns(t *testing.T) {
	is := is.New(t)
	f := newRestartFixture(t)
	f.list(f.later.track.Fence(), orders.RunList{EndsComplete: true, Running: []orders.Run{f.run}})
	is.True(f.later.track.RunsListed)
	end := &jobpb.End{Task: f.run.Task, Run: 1, How: jobpb.How_STOPPED, Worker: "w-0"}
	applyEntries(t, f.store, &jobpb.Entry{Change: &jobpb.Entry_End{End: end}})
	is.Equal(len(f.store.Placements("w-0")), 0)
	f.later.nextHold, f.later.holding = 0, false
	f.session.maintainWorkers(f.session.now())
	is.True(f.later.holding)
	f.list(f.later.track.Fence(), orders.RunList{EndsComplete: true})
	is.Equal(len(f.registrations()), 1)
}

// Guards against a session that takes the runs of a silent worker for over before their
// leases lapse: an earlier session of this process knew that a later process under the
// worker's id may have carried out orders, whose leases last longer.
func TestForeignLeasesOutliveTheSession(t *testing.T) {
	is := is.New(t)
	f := newRestartFixture(t)
	c := f.session.c
	c.ctx = t.Context()
	bounds := worker.LeaseTiming{Lease: 4 * time.Second, MaxLease: 10 * time.Second}
	c.o.Bounds.Lease = bounds
	// Runs that are not settled have a bound of their own, see settled_test.go.
	for _, p := range f.store.Placements("w-0") {
		applyEntries(t, f.store, &jobpb.Entry{Change: &jobpb.Entry_Settled{Settled: &jobpb.Settled{Task: p.Ref, Run: p.Task.Run}}})
	}
	is.True(f.store.Settled("w-0"))
	earlier := newSession(c, 1, nil)
	f.later.track = worker.New(bounds, 1, 5, c.o.Clock.Now(), false)
	f.later.track.ExpectForeignLeases(c.o.Clock.Now())
	earlier.workers["w-0"] = f.later
	want := f.later.track.LeasesExpireBy()
	fences := earlier.endFences()
	for _, term := range []uint64{1, 2} { // the same process may lead again
		next := newSession(c, term, fences)
		w := next.trackWorker(f.earlier.info, true)
		is.Equal(w.track.LeasesExpireBy(), want)
		fences = next.endFences()
	}
}

// Guards against a worker that is given more than its capacity: a run that the log does not
// place on it uses capacity until it has stopped.
func TestWorkerWithUnplacedRunsGetsNoTasks(t *testing.T) {
	is := is.New(t)
	f := newRestartFixture(t)
	fence := f.later.track.Fence()
	f.list(fence, orders.RunList{EndsComplete: true})
	f.applyBatch()
	is.True(f.session.isUsable("w-0"))
	f.list(fence, orders.RunList{EndsComplete: true, Running: []orders.Run{{Task: &jobpb.TaskRef{Job: "job"}, Run: 9}}})
	is.True(!f.session.isUsable("w-0"))
	f.list(fence, orders.RunList{EndsComplete: true})
	is.True(f.session.isUsable("w-0"))
}

// Guards against a worker that gets no tasks for ever: without placed runs nobody would ask
// it whether a run that was not placed on it has stopped.
func TestWorkerWithUnplacedRunsIsAskedAgain(t *testing.T) {
	is := is.New(t)
	s := newRestartFixture(t).session
	w := s.trackWorker(&jobpb.Worker{Id: "idle", Pool: "pool"}, false)
	w.track.RunsListed = true
	s.maintainWorkers(s.now())
	is.True(!w.holding)
	w.unplacedRuns = 1
	s.maintainWorkers(s.now())
	is.True(w.holding)
}

// Guards against tasks that run twice after the leadership has moved: a later process of a
// worker, which the new leader does not reach, may hold leases of orders that were meant for
// an earlier one.
func TestForeignLeasesOutliveTheLeader(t *testing.T) {
	is := is.New(t)
	f := newRestartFixture(t)
	c := f.session.c
	c.ctx = t.Context()
	c.o.Bounds.Lease = worker.LeaseTiming{Lease: 4 * time.Second, MaxLease: 10 * time.Second}
	f.later.track = worker.New(c.o.Bounds.Lease, 1, 5, c.o.Clock.Now(), false)
	f.later.track.ExpectForeignLeases(c.o.Clock.Now())
	next := newSession(c, 2, nil).trackWorker(f.earlier.info, true)
	is.True(next.track.LeasesExpireBy() >= f.later.track.LeasesExpireBy())
}
