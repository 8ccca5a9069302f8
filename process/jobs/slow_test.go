package jobs

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"marjoramtiller.example/marjoramtiller/job/jobpb"
	"marjoramtiller.example/marjoramtiller/job/schedule"
	"marjoramtiller.example/marjoramtiller/job/state"
)

// Guards against a task that is stopped again and again and never finishes, because
// its declared run time is far too short or all workers of its pool are slow.
func TestRunIsRestartedOnlyIfAnotherWorkerCanTakeIt(t *testing.T) {
	is := is.New(t)
	f := newUpkeepFixture(t)
	f.session.estimate = schedule.NewEstimates()
	slow, other := f.session.workers["w-0"], f.session.workers["w-1"]
	slow.track.RunsListed, other.track.RunsListed = true, true
	slow.suspect = true
	step := &jobpb.Step{Count: 1, EstimatedMs: 20}
	p := &state.Placement{Job: &jobpb.Job{Id: "short", Queue: "queue"}, Step: step, Task: &jobpb.Task{Run: maxUnlearnedRuns}}
	is.True(f.session.restartable(slow, p))
	p.Task.Run++
	is.True(!f.session.restartable(slow, p)) // no run has confirmed its declared run time
	for range 100 {
		f.session.estimate.AddRun("queue", step, time.Second)
	}
	is.True(f.session.restartable(slow, p))
	other.suspect = true
	is.True(!f.session.restartable(slow, p)) // the only other worker is suspect too
	other.suspect, other.silent = false, true
	is.True(!f.session.restartable(slow, p))
	other.silent, other.info.Pool = false, "other"
	is.True(!f.session.restartable(slow, p))
}

// Guards against a run that stays on a worker that stands still: it became overdue a moment
// after the others there, which had been stopped, and was then alone.
func TestLastRunOfAStandingWorkerIsMoved(t *testing.T) {
	is := is.New(t)
	f := newUpkeepFixture(t)
	f.session.estimate = schedule.NewEstimates()
	standing, other := f.session.workers["w-0"], f.session.workers["w-1"]
	standing.track.RunsListed, other.track.RunsListed = true, true
	job := &jobpb.Job{Id: "short", Queue: "queue"}
	step := &jobpb.Step{Count: 4, EstimatedMs: 100}
	placed := map[state.TaskKey]*state.Placement{}
	now := f.session.now()
	for i := range uint32(4) {
		ref := &jobpb.TaskRef{Job: "short", Index: i}
		placed[state.Key(ref)] = &state.Placement{Job: job, Ref: ref, Step: step, Task: &jobpb.Task{Run: 1}}
		started := now
		if i == 3 {
			started += 50 * time.Millisecond
		}
		standing.runs[state.Key(ref)] = &runState{run: 1, startConfirmed: true, startConfirmedAt: started}
	}
	stopped := func() (n int) {
		for _, r := range standing.runs {
			if r.stopSentAt > 0 {
				n++
			}
		}
		return n
	}
	overdueAt := now + 100*time.Millisecond + overdueMin
	f.session.checkSpeed(overdueAt+time.Millisecond, standing, placed)
	is.Equal(stopped(), 3)
	f.session.checkSpeed(overdueAt+20*time.Millisecond, standing, placed)
	is.Equal(stopped(), 3) // the last one is not overdue yet
	f.session.checkSpeed(overdueAt+60*time.Millisecond, standing, placed)
	is.Equal(stopped(), 4)
	is.True(!other.suspect)
}
