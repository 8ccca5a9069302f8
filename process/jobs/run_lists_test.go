package jobs

import (
	"testing"

	"github.com/matryer/is"

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
