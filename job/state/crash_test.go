package state

import (
	"testing"

	"github.com/matryer/is"

	"marjoramtiller.example/marjoramtiller/job/jobpb"
)

// crashKind is what is known of a crash that a run may have caused.
type crashKind int

const (
	unconfirmed crashKind = iota // the run may not have begun
	shared                       // a run of another job may have caused it
	sole
)

func crash(r *jobpb.TaskRef, run uint32, worker string, kind crashKind) *jobpb.Entry {
	end := &jobpb.End{Task: r, Run: run, Worker: worker, How: jobpb.How_CRASHED, Sole: kind == sole, Certain: kind != unconfirmed}
	return &jobpb.Entry{Change: &jobpb.Entry_End{End: end}}
}

// crashOn starts a task on a worker and records that the worker has crashed.
func crashOn(t *testing.T, s *Store, r *jobpb.TaskRef, run uint32, kind crashKind) {
	t.Helper()
	is := is.New(t)
	is.Equal(apply(t, s, start(r, run, "w1", 1), crash(r, run, "w1", kind)), []bool{true, true})
}

// Guards against a task that is started again and again although every worker crashes
// under it, and against a task that is given up after crashes that others may have caused,
// or before two workers have certainly crashed under it.
func TestTaskIsGivenUpAfterItsCrashes(t *testing.T) {
	for name, c := range map[string]struct {
		crashes []crashKind
		state   jobpb.Job_State
	}{
		"one":                 {[]crashKind{sole}, jobpb.Job_ACTIVE},
		"shared twice":        {[]crashKind{shared, shared}, jobpb.Job_ACTIVE},
		"shared thrice":       {[]crashKind{shared, shared, shared}, jobpb.Job_ACTIVE},
		"sole, shared":        {[]crashKind{sole, shared, shared}, jobpb.Job_ACTIVE},
		"sole twice":          {[]crashKind{sole, sole}, jobpb.Job_FAILED},
		"shared, sole":        {[]crashKind{shared, sole}, jobpb.Job_FAILED},
		"shared 4 times":      {[]crashKind{shared, shared, shared, shared}, jobpb.Job_FAILED},
		"unconfirmed, sole":   {[]crashKind{unconfirmed, sole}, jobpb.Job_ACTIVE},
		"unconfirmed thrice":  {[]crashKind{unconfirmed, unconfirmed, unconfirmed}, jobpb.Job_QUEUED}, // none is known to have begun
		"unconfirmed 4 times": {[]crashKind{unconfirmed, unconfirmed, unconfirmed, unconfirmed}, jobpb.Job_FAILED},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := New()
			r := ref("a", 0, 0)
			apply(t, s, register("w1", 1), accept("a", 2, &jobpb.Step{Count: 2}))
			for i, kind := range c.crashes {
				crashOn(t, s, r, uint32(i+1), kind)
			}
			is.Equal(s.Job("a").State, c.state)
			is.Equal(len(s.Suspects()) == 0, c.state == jobpb.Job_FAILED)
		})
	}
}

// Guards against a lasting job that loses its sound tasks because one of its tasks is
// given up, and against one that is still shown as active then.
func TestLastingJobKeepsItsSoundTasks(t *testing.T) {
	is := is.New(t)
	s := New()
	apply(t, s, register("w1", 1), accept("a", 0, &jobpb.Step{Count: 2, Lasting: true}), start(ref("a", 0, 1), 1, "w1", 1))
	crashOn(t, s, ref("a", 0, 0), 1, sole)
	crashOn(t, s, ref("a", 0, 0), 2, sole)
	is.Equal(ShownState(s.Job("a")), jobpb.Job_FAILED)
	is.Equal(apply(t, s, start(ref("a", 0, 0), 3, "w1", 1)), []bool{false})
	is.Equal(len(s.Placements("w1")), 1)
	is.Equal(apply(t, s, end(ref("a", 0, 1), 1, "w1", jobpb.How_FAILED), start(ref("a", 0, 1), 2, "w1", 1)), []bool{true, true})
	is.Equal(apply(t, s, cancel("a")), []bool{true})
	is.Equal(ShownState(s.Job("a")), jobpb.Job_CANCELLED)
}

// Guards against crashes that a replica forgets with a snapshot: a new leader would start
// the task as if nothing had happened.
func TestSnapshotKeepsCrashes(t *testing.T) {
	is := is.New(t)
	s := New()
	apply(t, s, register("w1", 1), accept("a", 2, &jobpb.Step{Count: 1}))
	crashOn(t, s, ref("a", 0, 0), 1, sole)
	data, err := s.Snapshot()
	is.NoErr(err)
	restored := New()
	is.NoErr(restored.Restore(data))
	is.Equal(len(restored.Suspects()), 1)
	crashOn(t, restored, ref("a", 0, 0), 2, sole)
	is.Equal(restored.Job("a").State, jobpb.Job_FAILED)
}

// Guards against a lasting task that is given up after crashes that lie far apart.
func TestLongRunClearsATask(t *testing.T) {
	is := is.New(t)
	s := New()
	r := ref("a", 0, 0)
	apply(t, s, register("w1", 1), accept("a", 0, &jobpb.Step{Count: 1, Lasting: true}))
	crashOn(t, s, r, 1, sole)
	sound := &jobpb.End{Task: r, Run: 2, Worker: "w1", How: jobpb.How_LOST, Sound: true}
	is.Equal(apply(t, s, start(r, 2, "w1", 1), &jobpb.Entry{Change: &jobpb.Entry_End{End: sound}}), []bool{true, true})
	is.Equal(len(s.Suspects()), 0)
	crashOn(t, s, r, 3, sole)
	is.Equal(ShownState(s.Job("a")), jobpb.Job_ACTIVE)
}
