package jobs

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"marjoramtiller.example/marjoramtiller/job/jobpb"
	"marjoramtiller.example/marjoramtiller/job/worker"
)

// Guards against a task that starts elsewhere while a later process under its worker's id is
// at work on it. That one has received the start; the leader takes the earlier one for ended
// before a list or a report tells it of the later one.
func TestStartAtALaterProcessOutlivesTheEarlierOne(t *testing.T) {
	const clockMs = 60_000
	lease := worker.LeaseTiming{Lease: 4 * time.Second, MaxLease: 10 * time.Second}
	start := &jobpb.Start{Task: &jobpb.TaskRef{Job: "job"}, Run: 1, Worker: "w-0"}
	for name, c := range map[string]struct {
		answerClockMs int64
		err           error
		machineListed bool
		after         time.Duration
	}{
		"answered by the later one, machine listed before":  {answerClockMs: 300, machineListed: true},
		"without an answer, machine listed before":          {err: context.DeadlineExceeded, machineListed: true},
		"without an answer, leases of the earlier one over": {err: context.DeadlineExceeded, after: 9 * time.Second},
	} {
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
