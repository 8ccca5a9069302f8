package state

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"marjoramtiller.example/marjoramtiller/job/jobpb"
)

func apply(t interface{ Fatalf(string, ...any) }, s *Store, entries ...*jobpb.Entry) []bool {
	data, err := proto.Marshal(&jobpb.Command{Entries: entries})
	if err != nil {
		t.Fatalf("encode: %v", err)
	}
	r := &jobpb.Result{}
	if err := proto.Unmarshal(s.Apply(1, data), r); err != nil {
		t.Fatalf("decode: %v", err)
	}
	return r.Applied
}

func accept(id string, attempts uint32, steps ...*jobpb.Step) *jobpb.Entry {
	j := &jobpb.Job{Id: id, Queue: "q", Pool: "p", Spec: "s", Steps: steps, MaxAttempts: attempts}
	return &jobpb.Entry{Change: &jobpb.Entry_Accept{Accept: &jobpb.Accept{Job: j}}}
}

func ref(id string, step, index uint32) *jobpb.TaskRef {
	return &jobpb.TaskRef{Job: id, Step: step, Index: index}
}

func start(r *jobpb.TaskRef, run uint32, worker string, born int64) *jobpb.Entry {
	return &jobpb.Entry{Change: &jobpb.Entry_Start{Start: &jobpb.Start{Task: r, Run: run, Worker: worker, BornMs: born}}}
}

func end(r *jobpb.TaskRef, run uint32, worker string, how jobpb.How) *jobpb.Entry {
	return &jobpb.Entry{Change: &jobpb.Entry_End{End: &jobpb.End{Task: r, Run: run, Worker: worker, How: how}}}
}

func register(id string, born int64) *jobpb.Entry {
	return &jobpb.Entry{Change: &jobpb.Entry_Worker{Worker: &jobpb.Worker{Id: id, BornMs: born, Pool: "p"}}}
}

func cancel(id string) *jobpb.Entry {
	return &jobpb.Entry{Change: &jobpb.Entry_Cancel{Cancel: &jobpb.Cancel{Job: id}}}
}

// Guards against a task that is placed on two workers, and against a run that is
// counted although another one has replaced it.
func TestStartsAndEnds(t *testing.T) {
	is := is.New(t)
	s := New()
	r := ref("a", 0, 0)
	is.Equal(apply(t, s, register("w1", 1), register("w2", 1), accept("a", 2, &jobpb.Step{Count: 1})), []bool{true, true, true})
	is.Equal(s.Pending("q"), 1)
	is.Equal(apply(t, s, accept("a", 2, &jobpb.Step{Count: 9})), []bool{false}) // a resend
	is.Equal(apply(t, s, start(r, 1, "w1", 1), start(r, 2, "w2", 1)), []bool{true, false})
	is.Equal(s.Pending("q"), 0)
	is.Equal(apply(t, s, end(r, 1, "w2", jobpb.How_DONE)), []bool{false}) // not where it runs
	is.Equal(apply(t, s, end(r, 1, "w1", jobpb.How_FAILED)), []bool{true})
	is.Equal(apply(t, s, start(r, 1, "w1", 1)), []bool{false}) // a used number
	is.Equal(apply(t, s, start(r, 2, "w1", 7)), []bool{false}) // another process of the worker
	is.Equal(apply(t, s, start(r, 2, "w2", 1), end(r, 2, "w2", jobpb.How_DONE)), []bool{true, true})
	is.Equal(s.Job("a").State, jobpb.Job_COMPLETED)
	is.Equal(apply(t, s, start(r, 3, "w1", 1)), []bool{false}) // done
}

// Guards against a worker that is given more than it has by two plans, of which the
// later one did not see the starts of the earlier one.
func TestStartNeedsRoom(t *testing.T) {
	is := is.New(t)
	s := New()
	w := &jobpb.Entry{Change: &jobpb.Entry_Worker{Worker: &jobpb.Worker{Id: "w1", BornMs: 1, CpuMillis: 4000, MemoryMb: 10}}}
	apply(t, s, w, accept("a", 2, &jobpb.Step{Count: 3, CpuMillis: 2000}, &jobpb.Step{Count: 2, CpuMillis: 9000, MemoryMb: 10, Fill: true}))
	got := apply(t, s, start(ref("a", 0, 0), 1, "w1", 1), start(ref("a", 0, 1), 1, "w1", 1), start(ref("a", 0, 2), 1, "w1", 1),
		start(ref("a", 1, 0), 1, "w1", 1), start(ref("a", 1, 1), 1, "w1", 1))
	is.Equal(got, []bool{true, true, false, true, false})
	is.Equal(apply(t, s, end(ref("a", 0, 0), 1, "w1", jobpb.How_STOPPED), start(ref("a", 0, 2), 1, "w1", 1)), []bool{true, true})
}

// Guards against attempts beyond the limit, and against a loss of the worker that
// counts as an attempt.
func TestAttempts(t *testing.T) {
	is := is.New(t)
	s := New()
	r := ref("a", 0, 0)
	apply(t, s, register("w1", 1), accept("a", 2, &jobpb.Step{Count: 1}))
	apply(t, s, start(r, 1, "w1", 1), register("w1", 2)) // the process is new: its runs are lost
	is.Equal(len(s.Placed("w1")), 0)
	apply(t, s, start(r, 2, "w1", 2), end(r, 2, "w1", jobpb.How_FAILED))
	is.Equal(s.Job("a").State, jobpb.Job_ACTIVE)
	apply(t, s, start(r, 3, "w1", 2), end(r, 3, "w1", jobpb.How_FAILED))
	is.Equal(s.Job("a").State, jobpb.Job_FAILED)
	is.Equal(apply(t, s, start(r, 4, "w1", 2)), []bool{false})
}

// Guards against a cancelled job that starts tasks, or that is forgotten while one
// of its tasks may still run.
func TestCancel(t *testing.T) {
	is := is.New(t)
	s := New()
	apply(t, s, register("w1", 1), accept("a", 2, &jobpb.Step{Count: 2, Lasting: true}), start(ref("a", 0, 0), 1, "w1", 1))
	is.Equal(apply(t, s, cancel("a"), start(ref("a", 0, 1), 1, "w1", 1), cancel("a")), []bool{true, false, false})
	forget := &jobpb.Entry{Change: &jobpb.Entry_Forget{Forget: "a"}}
	is.Equal(apply(t, s, forget), []bool{false})
	is.Equal(apply(t, s, end(ref("a", 0, 0), 1, "w1", jobpb.How_STOPPED), forget), []bool{true, true})
	is.Equal(s.Job("a"), nil)
}

// Guards against a gang of which one end does not stand for all.
func TestGangEndsTogether(t *testing.T) {
	is := is.New(t)
	s := New()
	apply(t, s, register("w1", 1), accept("a", 2, &jobpb.Step{Count: 2, Gang: true}),
		start(ref("a", 0, 0), 1, "w1", 1), start(ref("a", 0, 1), 1, "w1", 1), end(ref("a", 0, 0), 1, "w1", jobpb.How_DONE))
	is.Equal(s.Job("a").State, jobpb.Job_COMPLETED)
}

// Guards against a configuration that goes back to an older or equal version.
func TestConfigurationRises(t *testing.T) {
	is := is.New(t)
	s := New()
	conf := func(v uint64) *jobpb.Entry {
		return &jobpb.Entry{Change: &jobpb.Entry_Configure{Configure: &jobpb.Configuration{Version: v}}}
	}
	is.Equal(apply(t, s, conf(3), conf(2), conf(3), conf(5)), []bool{true, false, false, true})
	is.Equal(s.Configuration().Version, uint64(5))
}

// randomEntry draws a change, valid or not, over a few jobs and workers.
func randomEntry(t *rapid.T) *jobpb.Entry {
	id := fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "job"))
	worker := fmt.Sprint("w", rapid.IntRange(0, 2).Draw(t, "worker"))
	r := ref(id, rapid.Uint32Range(0, 1).Draw(t, "step"), rapid.Uint32Range(0, 2).Draw(t, "index"))
	run := rapid.Uint32Range(1, 6).Draw(t, "run")
	born := int64(rapid.IntRange(1, 3).Draw(t, "born"))
	switch rapid.IntRange(0, 7).Draw(t, "kind") {
	case 0:
		steps := []*jobpb.Step{{Count: 2}, {Count: 3, After: []uint32{0}, Lasting: rapid.Bool().Draw(t, "lasting")}}
		return accept(id, 2, steps...)
	case 1:
		return cancel(id)
	case 2, 3:
		return start(r, run, worker, born)
	case 4:
		return end(r, run, worker, jobpb.How(rapid.IntRange(0, 7).Draw(t, "how")))
	case 5:
		return register(worker, born)
	case 6:
		return &jobpb.Entry{Change: &jobpb.Entry_Gone{Gone: &jobpb.WorkerGone{Id: worker, BornMs: born}}}
	}
	return &jobpb.Entry{Change: &jobpb.Entry_Forget{Forget: id}}
}

// checkState asserts what must hold in every state.
func checkState(t *rapid.T, s *Store) {
	for worker, placed := range s.placed {
		if s.workers[worker] == nil {
			t.Fatalf("runs are placed on the unknown worker %s", worker)
		}
		for key, p := range placed {
			if p.Task.Worker != worker || p.Task.BornMs != s.workers[worker].BornMs || s.open[key.Job] == nil {
				t.Fatalf("run %v of %s is placed wrongly", key, worker)
			}
		}
	}
	pending := 0
	for id, j := range s.jobs {
		if j.State == jobpb.Job_QUEUED {
			pending++
		}
		if !ended(j.State) && s.open[id] == nil {
			t.Fatalf("job %s has not ended and is not open", id)
		}
	}
	if pending != s.Pending("q") {
		t.Fatalf("%d jobs are queued, %d are counted", pending, s.Pending("q"))
	}
}

// Guards against a replica that differs after a snapshot: the same changes must
// have the same results and lead to the same state with and without one.
func TestSnapshotKeepsState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, copied := New(), New()
		for range rapid.IntRange(1, 60).Draw(t, "changes") {
			e := randomEntry(t)
			a, b := apply(t, s, e), apply(t, copied, e)
			if a[0] != b[0] {
				t.Fatalf("change %v has the results %v and %v", e, a, b)
			}
			checkState(t, s)
			if rapid.Bool().Draw(t, "snapshot") {
				data, err := copied.Snapshot()
				if err != nil {
					t.Fatalf("snapshot: %v", err)
				}
				copied = New()
				if err := copied.Restore(data); err != nil {
					t.Fatalf("restore: %v", err)
				}
			}
		}
		a, errA := s.Snapshot()
		b, errB := copied.Snapshot()
		if errA != nil || errB != nil || string(a) != string(b) {
			t.Fatalf("the states differ")
		}
	})
}
