package jobs

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"marjoramtiller.example/marjoramtiller/job/jobpb"
	"marjoramtiller.example/marjoramtiller/job/orders"
	"marjoramtiller.example/marjoramtiller/job/state"
)

// crashFixture is a worker with runs of three jobs. It was last in contact at 10 s of the
// leader's clock; this leader's term began at 9 s.
type crashFixture struct {
	session *session
	worker  *workerState
	placed  map[state.TaskKey]*state.Placement
}

func newCrashFixture(t *testing.T) *crashFixture {
	t.Helper()
	s := newUpkeepFixture(t).session
	s.began = 9 * time.Second
	w := s.workers["w-0"]
	w.track.LastContact = 10 * time.Second
	w.disconnected = true
	f := &crashFixture{session: s, worker: w, placed: map[state.TaskKey]*state.Placement{}}
	for _, job := range []string{"a", "b", "c"} {
		ref := &jobpb.TaskRef{Job: job}
		f.placed[state.Key(ref)] = &state.Placement{Ref: ref, Task: &jobpb.Task{Run: 1, Worker: "w-0"}}
	}
	return f
}

// ordered records that this leader has ordered the start of a job's run.
func (f *crashFixture) ordered(job string, sentAt time.Duration, confirmed bool) {
	f.worker.runs[state.TaskKey{Job: job}] = &runState{run: 1, sentAt: sentAt, startConfirmed: confirmed}
}

func (f *crashFixture) suspects(cause endCause) (jobs map[string]bool, sole bool) {
	list, sole := f.session.crashSuspects(f.worker, cause, f.placed)
	jobs = map[string]bool{}
	for _, suspect := range list {
		jobs[suspect.placement.Ref.Job] = true
	}
	return jobs, sole
}

// certain returns the jobs whose runs were certainly at work when the worker crashed.
func (f *crashFixture) certain(cause endCause) map[string]bool {
	list, _ := f.session.crashSuspects(f.worker, cause, f.placed)
	jobs := map[string]bool{}
	for _, suspect := range list {
		if suspect.certain {
			jobs[suspect.placement.Ref.Job] = true
		}
	}
	return jobs
}

// Guards against a job that is given up because of a start that never began, or of a worker
// that was only cut off or ended by an order.
func TestOnlyConfirmedRunsOfACrashedWorkerAreCertain(t *testing.T) {
	is := is.New(t)
	f := newCrashFixture(t)
	f.ordered("a", 9980*time.Millisecond, true)
	f.ordered("b", 9980*time.Millisecond, false)
	f.ordered("c", 9980*time.Millisecond, false)
	for _, job := range []string{"b", "c"} {
		f.worker.runs[state.TaskKey{Job: job}].startBrokenOff = true
	}
	f.worker.listedRuns[state.TaskKey{Job: "c"}] = orders.Run{Run: 1}
	is.Equal(f.certain(endCrashed), map[string]bool{"a": true, "c": true})
	for _, cause := range []endCause{endOrdered, endLapsed} {
		is.Equal(f.certain(cause), map[string]bool{})
	}
}

// Guards against sound runs that are blamed for a crash although they had survived their
// start, and against a start without an answer that is blamed before it has begun.
func TestOnlyRecentStartsAreBlamedForACrash(t *testing.T) {
	is := is.New(t)
	f := newCrashFixture(t)
	f.ordered("a", 9980*time.Millisecond, true)
	f.ordered("b", 9500*time.Millisecond, true)
	f.ordered("c", 10100*time.Millisecond, false)
	jobs, sole := f.suspects(endCrashed)
	is.Equal(jobs, map[string]bool{"a": true})
	is.True(sole)
	f.worker.runs[state.TaskKey{Job: "c"}].startBrokenOff = true
	jobs, sole = f.suspects(endCrashed)
	is.Equal(jobs, map[string]bool{"a": true, "c": true})
	is.True(!sole)
}

// Guards against a task that is given up because its worker was ended by an order or cut
// off soon after its start.
func TestEndForAnotherReasonIsNotSole(t *testing.T) {
	is := is.New(t)
	f := newCrashFixture(t)
	f.ordered("a", 9980*time.Millisecond, true)
	f.ordered("b", 9500*time.Millisecond, true)
	f.ordered("c", 9500*time.Millisecond, true)
	for _, cause := range []endCause{endOrdered, endLapsed} {
		_, sole := f.suspects(cause)
		is.True(!sole)
	}
	f.worker.disconnected = false
	_, sole := f.suspects(endCrashed)
	is.True(!sole)
}

// Guards against a closed connection that is taken for the crash of a worker which has
// answered since: its end may be noticed before another order to it has failed.
func TestAnswerForgetsAClosedConnection(t *testing.T) {
	is := is.New(t)
	f := newUpkeepFixture(t)
	w := f.session.workers["w-0"]
	w.markSilent(true)
	f.session.handleRunList(w, 0, orders.HoldOrder{}, &orders.RunList{}, nil)
	is.True(!w.silent)
	is.True(!w.disconnected)
}

// Guards against a new leader that takes tasks which crash their workers for sound ones,
// or sound ones for such tasks: it knows of the starts of its predecessor only what the
// log says.
func TestNewLeaderJudgesTheStartsOfItsPredecessor(t *testing.T) {
	is := is.New(t)
	f := newCrashFixture(t)
	f.worker.track.LastContact = f.session.began // none in this term
	began := f.session.nowMs() - (f.session.now() - f.session.began).Milliseconds()
	task := func(job string) *jobpb.Task { return f.placed[state.TaskKey{Job: job}].Task }
	task("a").Crashes, task("a").Survived = 1, true
	task("b").Crashes = 1
	task("c").StartedMs = began - time.Second.Milliseconds()
	for _, job := range []string{"a", "b"} {
		task(job).StartedMs = began - 2*time.Second.Milliseconds()
	}
	jobs, sole := f.suspects(endCrashed)
	is.Equal(jobs, map[string]bool{"b": true, "c": true}) // c is the newest start
	is.True(!sole)
	task("c").StartedMs = began - time.Minute.Milliseconds()
	jobs, sole = f.suspects(endCrashed)
	is.Equal(jobs, map[string]bool{"b": true})
	is.True(!sole) // the predecessor may not have sent the start
	f.worker.track.LastContact = f.session.began + time.Second
	jobs, _ = f.suspects(endCrashed)
	is.Equal(len(jobs), 0) // all have survived until then
}

// Guards against a task that crashes one worker after the other under changing leaders or
// sessions, and is never counted as a suspect: the earlier one logged other starts on the
// worker until it noticed the crash, which say nothing about the earlier start.
func TestStartsLoggedBeforeACrashIsNoticedClearNoEarlierOne(t *testing.T) {
	is := is.New(t)
	f := newCrashFixture(t)
	f.worker.track.LastContact = f.session.began // none in this term
	newest := f.session.nowMs() - (f.session.now() - f.session.began).Milliseconds()
	started := func(job string, before time.Duration) {
		f.placed[state.TaskKey{Job: job}].Task.StartedMs = newest - before.Milliseconds()
	}
	started("a", 0)
	started("b", 920*time.Millisecond) // as in play of seed 703: it crashed the worker
	started("c", 3*time.Second)        // a crash would have been noticed before the newest start
	for _, cause := range []endCause{endCrashed, endLapsed} {
		jobs, sole := f.suspects(cause)
		is.Equal(jobs, map[string]bool{"a": true, "b": true})
		is.True(!sole)
	}
	is.Equal(f.certain(endCrashed), map[string]bool{}) // the starts may not have been sent
}

// Guards against a task that crashes its workers and is never counted as a suspect because
// its start is old: as in a play of seed 737, sessions and leaders ended one after the other
// for 11 s, none of which lasted until it had seen the worker's end.
func TestStartBeforeSeveralChangesOfLeaderIsBlamed(t *testing.T) {
	is := is.New(t)
	f := newCrashFixture(t)
	f.worker.track.LastContact = f.session.began // none in this term
	began := f.session.nowMs() - (f.session.now() - f.session.began).Milliseconds()
	for _, p := range f.placed {
		p.Task.StartedMs = began - time.Minute.Milliseconds()
	}
	f.placed[state.TaskKey{Job: "a"}].Task.StartedMs = began - 11290
	jobs, sole := f.suspects(endCrashed)
	is.Equal(jobs, map[string]bool{"a": true})
	is.True(!sole)
}

// Guards against a task that crashes its workers and is never blamed by a later session,
// because the log says that the worker has survived its start: the start was carried out
// late, and the worker was in contact before that.
func TestOnlyConfirmedStartsAreRecordedAsSurvived(t *testing.T) {
	survived := func(confirmedAt time.Duration) int {
		f := newCrashFixture(t) // last in contact at 10 s
		ref := &jobpb.TaskRef{Job: "a"}
		f.worker.runs[state.Key(ref)] = &runState{run: 1, sentAt: 9 * time.Second, startConfirmed: confirmedAt > 0, startConfirmedAt: confirmedAt}
		f.worker.recentStarts = []recentStart{{task: ref, run: 1, sentAt: 9 * time.Second, onProbation: true}}
		f.session.removeSurvivedStarts(f.worker)
		return len(f.session.batch)
	}
	is := is.New(t)
	is.Equal(survived(0), 0)
	is.Equal(survived(9990*time.Millisecond), 0)
	is.Equal(survived(9100*time.Millisecond), 1)
}

// Guards against waiting for the leases of a worker that has crashed before a list named
// its machine, or under an earlier leader, and against an end that one list alone tells.
func TestUnlistedWorkerHasEnded(t *testing.T) {
	for name, inherited := range map[string]bool{"of this term": false, "of an earlier term": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newUpkeepFixture(t)
			lost := f.session.trackWorker(&jobpb.Worker{Id: "lost"}, inherited)
			list := []Machine{{Name: "m-0", Up: true, WorkerID: "w-0"}, {Name: "m-1"}}
			f.driver.applyWhole(lost.knownSince+listLag/2, list)
			f.driver.applyWhole(lost.knownSince+listLag/2, list)
			is.Equal(lost.leftAt, time.Duration(0)) // may be too new for these lists
			f.driver.applyWhole(f.session.now()+2*listLag, list)
			is.Equal(lost.leftAt, time.Duration(0)) // missed by one list only
			lost.track.SampleClock(f.session.now()+3*listLag, 9000)
			f.driver.applyWhole(f.session.now()+2*listLag, list)
			is.Equal(lost.leftAt, time.Duration(0)) // in contact since
			f.driver.applyWhole(f.session.now()+4*listLag, list)
			f.driver.applyWhole(f.session.now()+5*listLag, list)
			is.True(lost.leftAt != 0)
		})
	}
}

// Guards against a worker or a machine that is taken for gone because its entry in the list
// of machines could not be read.
func TestUnreadableEntryProvesNoEnd(t *testing.T) {
	is := is.New(t)
	f := newUpkeepFixture(t)
	f.driver.machine("m-1")
	list := MachineList{Machines: []Machine{{Name: "m-0", Pool: "pool", Up: true, WorkerID: "w-0"}}, Unreadable: 1}
	later := f.session.now() + 4*listLag
	for i := range 3 * absentLists {
		f.driver.applyList(later+time.Duration(i)*listLag, list)
	}
	is.Equal(f.session.workers["w-1"].listedAsEnded, false)
	is.Equal(f.driver.listed["m-1"].WorkerID, "w-1") // as listed before
	is.Equal(f.driver.machine("m-1").absent, 0)
	list.Unreadable = 0
	for i := range absentLists {
		f.driver.applyList(later+time.Duration(i)*listLag, list)
	}
	is.Equal(f.session.workers["w-1"].listedAsEnded, true)
	is.Equal(f.driver.machine("m-1").absent, absentLists)
}
