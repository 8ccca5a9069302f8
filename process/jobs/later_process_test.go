package jobs

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"marjoramtiller.example/marjoramtiller/job/jobpb"
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
	lease := worker.LeaseTiming{Lease: 4 * time.Second, MaxLease: 10 * time.Second}
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
			f.session.handleStartAnswer(w, start, &runState{run: 1, fence: w.track.Fence(), sentAt: now}, now, c.answerClockMs, c.err)
			if c.machineListed {
				f.driver.applyWhole(now+time.Millisecond, []Machine{{Name: "m-0", Pool: "pool", Up: true}, {Name: "m-1", Pool: "pool", Up: true, WorkerID: "w-1"}})
				is.True(w.listedAsEnded)
			}
			// The later process may hold a lease of the longest kind.
			is.True(!f.session.dropped(w, now+c.after))
		})
	}
}
