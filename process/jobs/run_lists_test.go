package jobs

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"marjoramtiller.example/marjoramtiller/job/jobpb"
	"marjoramtiller.example/marjoramtiller/job/orders"
)

// Guards against a run that has ended and starts again because its end did not fit into the
// worker's list: such a list counted as proof that the run had never begun.
func TestRunsBeyondACutOffListAreNotFreed(t *testing.T) {
	is := is.New(t)
	f := newUpkeepFixture(t)
	w := f.session.workers["w-0"] // runs task 0 of job, ordered by an earlier leader
	list := func(complete bool) (freed int) {
		f.session.batch, f.session.waiters = nil, nil
		other := orders.EndedRun{Number: 1, Task: &jobpb.TaskRef{Job: "other"}, Run: 1, How: jobpb.How_DONE}
		f.session.handleRunList(w, f.session.now(), orders.HoldOrder{Fence: w.track.Fence()},
			&orders.RunList{EndsComplete: complete, Ended: []orders.EndedRun{other}}, nil)
		for _, e := range f.session.batch {
			if e.GetEnd().GetHow() == jobpb.How_NEVER_STARTED && e.GetEnd() != nil {
				freed++
			}
		}
		return freed
	}
	is.Equal(list(false), 0)
	is.Equal(list(true), 1)
	is.Equal(decodeRunList(encodeRunList(&orders.RunList{EndsComplete: true})).EndsComplete, true)
	is.Equal(decodeRunList(&jobpb.RunList{}).EndsComplete, false) // from a relay that does not say so
}

// Guards against a worker that gets no work for as long as its reports arrive, because an
// order to it once failed while nothing ran there: nobody asks it again.
func TestUnreachableWorkerWithoutRunsIsAskedAgain(t *testing.T) {
	is := is.New(t)
	f := newUpkeepFixture(t)
	s := f.session
	s.c.o.Bounds.ReportInterval = time.Second
	info := &jobpb.Worker{Id: "idle", Pool: "pool"}
	w := s.trackWorker(info, false)
	w.track.RunsListed = true
	w.setReported(s.now(), 0)
	is.True(s.isUsable("idle"))
	is.True(!s.wantsList(s.now(), w, nil))
	s.handleRunList(w, s.now(), orders.HoldOrder{}, nil, &orders.NotSentError{Err: errors.New("connection refused")})
	w.track.SampleClock(s.now(), 1000) // a report
	is.True(!s.isUsable("idle"))
	is.True(s.wantsList(s.now(), w, nil))
	s.handleRunList(w, s.now(), orders.HoldOrder{}, &orders.RunList{ClockMs: 1001}, nil)
	is.True(s.isUsable("idle"))
}
