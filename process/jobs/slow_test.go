package jobs

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"marjoramtiller.example/marjoramtiller/job/jobpb"
	"marjoramtiller.example/marjoramtiller/job/schedule"
	"marjoramtiller.example/marjoramtiller/job/state"
)

// Guards against a task that is stopped again and again since its declared run
// time is far too short, or since all workers of its pool are slow.
func TestOnlyAnotherWorkerRescuesARun(t *testing.T) {
	is := is.New(t)
	f := newUpkeepFixture(t)
	f.s.estimate = schedule.NewEstimates()
	slow, other := f.s.workers["w-0"], f.s.workers["w-1"]
	slow.track.Looked, other.track.Looked = true, true
	slow.suspect = true
	step := &jobpb.Step{Count: 1, EstimatedMs: 20}
	p := &state.Placement{Job: &jobpb.Job{Id: "short", Queue: "queue"}, Step: step, Task: &jobpb.Task{Run: unlearnedRuns}}
	is.True(f.s.rescuable(slow, p))
	p.Task.Run++
	is.True(!f.s.rescuable(slow, p)) // its declared time has proved nothing
	for range 100 {
		f.s.estimate.Add("queue", step, time.Second)
	}
	is.True(f.s.rescuable(slow, p))
	other.suspect = true
	is.True(!f.s.rescuable(slow, p)) // nowhere to begin anew
	other.suspect, other.silent = false, true
	is.True(!f.s.rescuable(slow, p))
	other.silent, other.info.Pool = false, "other"
	is.True(!f.s.rescuable(slow, p))
}
