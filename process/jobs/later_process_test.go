package jobs

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"marjoramtiller.example/marjoramtiller/job/jobpb"
	"marjoramtiller.example/marjoramtiller/job/orders"
	"marjoramtiller.example/marjoramtiller/job/state"
	"marjoramtiller.example/marjoramtiller/job/worker"
)

// laterStart is a start that a later process under its worker's id has received, while the
// leader takes the earlier one for ended.
type laterStart struct {
	answerClockMs int64
	err           error
	machineListed bool
	after         time.Duration
}

// Guards against a task that starts elsewhere while a later process under its worker's id is
// at work on it and has answered its start: a list of machines that was requested before
// shows the end of the earlier one.
func TestStartAnsweredByALaterProcessIsNotFreed(t *testing.T) {
	checkLaterStarts(t, map[string]laterStart{
		"machine listed before": {answerClockMs: 300, machineListed: true},
	})
}

// Guards against a task that starts elsewhere while a later process under its worker's id is
// at work on it. That one has received the start; the leader takes the earlier one for ended
// before an answer, a list or a report tells it of the later one.
func TestStartAtALaterProcessOutlivesTheEarlierOne(t *testing.T) {
	checkLaterStarts(t, map[string]laterStart{
		"without an answer, machine listed before":          {err: context.DeadlineExceeded, machineListed: true},
		"without an answer, leases of the earlier one over": {err: context.DeadlineExceeded, after: 9 * time.Second},
	})
}

func checkLaterStarts(t *testing.T, cases map[string]laterStart) {
	t.Helper()
	const clockMs = 60_000
	lease := worker.LeaseTiming{Lease: 4 * time.Second, MaxLease: 10 * time.Second, OrderDelay: maxOrderDelay}
	start := &jobpb.Start{Task: &jobpb.TaskRef{Job: "job"}, Run: 1, Worker: "w-0"}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newUpkeepFixture(t)
			w := f.session.workers["w-0"]
			now := f.session.now()
			w.track = worker.New(lease, 1, 0, now, false)
			w.track.SampleClock(now, clockMs)
			_, known := w.track.Grant(now)
			is.True(known)
			clear(w.listedRuns) // the process has not listed the run
			r := &runState{run: 1, fence: w.track.Fence(), sentAt: now}
			w.runs[state.Key(start.Task)] = r
			f.session.handleStartAnswer(w, start, r, now, c.answerClockMs, c.err)
			if c.machineListed {
				f.driver.applyWhole(now+time.Millisecond, []Machine{{Name: "m-0", Pool: "pool", Up: true}, {Name: "m-1", Pool: "pool", Up: true, WorkerID: "w-1"}})
				is.True(w.listedAsEnded)
			}
			// The later process may hold a lease of the longest kind.
			is.True(!f.session.dropped(w, now+c.after))
		})
	}
}

// endedFixture returns a session whose worker w-0 has ended with two runs: one that it has
// listed, and one whose start got no answer.
func endedFixture(t *testing.T) (f *upkeepFixture, w *workerState, unanswered *runState) {
	t.Helper()
	f = newUpkeepFixtureWith(t, 2)
	f.session.c.o.Bounds.Lease = worker.LeaseTiming{Lease: 4 * time.Second, MaxLease: 10 * time.Second}
	w = f.session.workers["w-0"]
	now := f.session.now()
	w.track = worker.New(f.session.leaseTiming(), 1, 0, now, false)
	key := state.TaskKey{Job: "job", Index: 2}
	delete(w.listedRuns, key)
	unanswered = &runState{run: 1, sentAt: now, startEndedAt: startEnd(now, now+orderTimeout, context.DeadlineExceeded)}
	w.runs[key] = unanswered
	w.machine, w.listedAsEnded = "m-0", true
	return f, w, unanswered
}

// ends returns the tasks of which the batch holds an end.
func (f *upkeepFixture) ends() (tasks []uint32) {
	for _, e := range f.session.batch {
		if end := e.GetEnd(); end != nil {
			tasks = append(tasks, end.Task.Index)
		}
	}
	return tasks
}

// Guards against tasks of an ended worker that all wait because one start got no answer, and
// against that one's task starting elsewhere before a list shows that no later process has it.
func TestOnlyUnansweredStartsOutliveTheirWorker(t *testing.T) {
	is := is.New(t)
	f, w, unanswered := endedFixture(t)
	up := []Machine{{Name: "m-1", Pool: "pool", Up: true, WorkerID: "w-1"}}
	down := append(up, Machine{Name: "m-0", Pool: "pool"})
	now := f.session.now()
	f.driver.applyWhole(now, down)
	is.True(!f.session.dropped(w, now))
	is.Equal(f.ends(), []uint32{0})
	is.True(!f.session.dropped(w, now))
	is.Equal(f.ends(), []uint32{0}) // once
	f.applyBatch()
	applyEntries(t, f.store, &jobpb.Entry{Change: &jobpb.Entry_End{End: &jobpb.End{Task: &jobpb.TaskRef{Job: "job"}, Run: 1, How: jobpb.How_LOST, Worker: "w-0"}}})
	later := unanswered.startEndedAt + listLag
	f.driver.applyWhole(later, append(up, Machine{Name: "m-0", Pool: "pool", Up: true, WorkerID: "w-0"})) // a later process is there
	is.True(!f.session.dropped(w, later))
	f.driver.applyWhole(later, down)
	is.True(f.session.dropped(w, later))
	is.True(f.session.batch[len(f.session.batch)-1].GetGone() != nil)
}

// Guards against a lease that a process holds from an order to its predecessor and that the
// leader has forgotten with that one.
func TestLeasesOfADroppedWorkerAreRemembered(t *testing.T) {
	is := is.New(t)
	f, w, _ := endedFixture(t)
	w.track.SampleClock(f.session.now(), 60_000)
	_, known := w.track.Grant(f.session.now())
	is.True(known)
	bound := w.track.LaterLeasesUntil()
	w.absentAt = f.session.now() + time.Hour
	is.True(f.session.dropped(w, f.session.now()))
	f.applyBatch()
	is.Equal(f.session.workers["w-0"], nil)
	again := f.session.trackWorker(&jobpb.Worker{Id: "w-0", Pool: "pool", BornMs: 7}, false)
	is.Equal(again.track.LeasesExpireBy(), bound)
	f.session.handleRunList(again, f.session.now(), orders.HoldOrder{Fence: again.track.Fence()}, &orders.RunList{StartedMs: 7, ClockMs: 1, EndsComplete: true}, nil)
	is.True(again.track.ForeignLeasesUntil() < f.session.now()+10500*time.Millisecond) // no such order is carried out any more
}

// Guards against a crash that is not counted because the start of the run which may have
// caused it got no answer, so that the run is freed later.
func TestCrashOfAHeldRunIsCounted(t *testing.T) {
	is := is.New(t)
	f, w, unanswered := endedFixture(t)
	unanswered.startBrokenOff = true
	w.absentAt = 1
	is.True(!f.session.dropped(w, f.session.now()))
	crashes := func() (n int) {
		for _, e := range f.session.batch {
			if end := e.GetEnd(); end.GetHow() == jobpb.How_CRASHED && end.Task.Index == 2 {
				n++
			}
		}
		return n
	}
	is.Equal(crashes(), 0)
	f.applyBatch()
	w.absentAt = unanswered.startEndedAt + listLag
	is.True(f.session.dropped(w, f.session.now()))
	is.Equal(crashes(), 1)
}
