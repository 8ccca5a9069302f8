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

func accept(id string, maxAttempts uint32, steps ...*jobpb.Step) *jobpb.Entry {
	j := &jobpb.Job{Id: id, Queue: "q", Pool: "p", Spec: "s", Steps: steps, MaxAttempts: maxAttempts}
	return &jobpb.Entry{Change: &jobpb.Entry_Accept{Accept: &jobpb.Accept{Job: j}}}
}

func ref(id string, step, index uint32) *jobpb.TaskRef {
	return &jobpb.TaskRef{Job: id, Step: step, Index: index}
}

func start(r *jobpb.TaskRef, run uint32, worker string, startedMs int64) *jobpb.Entry {
	return &jobpb.Entry{Change: &jobpb.Entry_Start{Start: &jobpb.Start{Task: r, Run: run, Worker: worker, BornMs: startedMs}}}
}

func end(r *jobpb.TaskRef, run uint32, worker string, how jobpb.How) *jobpb.Entry {
	return &jobpb.Entry{Change: &jobpb.Entry_End{End: &jobpb.End{Task: r, Run: run, Worker: worker, How: how}}}
}

func register(id string, startedMs int64) *jobpb.Entry {
	return &jobpb.Entry{Change: &jobpb.Entry_Worker{Worker: &jobpb.Worker{Id: id, BornMs: startedMs, Pool: "p"}}}
}

func cancel(id string) *jobpb.Entry {
	return &jobpb.Entry{Change: &jobpb.Entry_Cancel{Cancel: &jobpb.Cancel{Job: id}}}
}

// Guards against a task that is placed on two workers at once, and against the end of
// a run that is applied to a later run of the same task. Starts and ends that do not
// match the state must be rejected when they are applied.
func TestStaleStartsAndEndsAreRejected(t *testing.T) {
	is := is.New(t)
	s := New()
	r := ref("a", 0, 0)
	is.Equal(apply(t, s, register("w1", 1), register("w2", 1), accept("a", 2, &jobpb.Step{Count: 1})), []bool{true, true, true})
	is.Equal(s.Pending("q"), 1)
	is.Equal(apply(t, s, accept("a", 2, &jobpb.Step{Count: 9})), []bool{false}) // the same job sent again
	is.Equal(apply(t, s, start(r, 1, "w1", 1), start(r, 2, "w2", 1)), []bool{true, false})
	is.Equal(s.Pending("q"), 1)
	is.Equal(apply(t, s, end(r, 1, "w2", jobpb.How_DONE)), []bool{false}) // another worker than the run's
	is.Equal(s.Pending("q"), 1)
	is.Equal(apply(t, s, end(r, 1, "w1", jobpb.How_FAILED)), []bool{true})
	is.Equal(s.Pending("q"), 0)
	is.Equal(apply(t, s, start(r, 1, "w1", 1)), []bool{false}) // a run number that was used
	is.Equal(apply(t, s, start(r, 2, "w1", 7)), []bool{false}) // another process of the same worker
	is.Equal(apply(t, s, start(r, 2, "w2", 1), end(r, 2, "w2", jobpb.How_DONE)), []bool{true, true})
	is.Equal(s.Job("a").State, jobpb.Job_COMPLETED)
	is.Equal(apply(t, s, start(r, 3, "w1", 1)), []bool{false}) // the task is done
}

// Guards against a worker that is overloaded by two plans, of which the later one was
// made on a state without the starts of the earlier one.
func TestStartNeedsFreeCapacity(t *testing.T) {
	is := is.New(t)
	s := New()
	w := &jobpb.Entry{Change: &jobpb.Entry_Worker{Worker: &jobpb.Worker{Id: "w1", BornMs: 1, CpuMillis: 4000, MemoryMb: 10}}}
	apply(t, s, w, accept("a", 2, &jobpb.Step{Count: 3, CpuMillis: 2000}, &jobpb.Step{Count: 2, CpuMillis: 9000, MemoryMb: 10, Fill: true}))
	applied := apply(t, s, start(ref("a", 0, 0), 1, "w1", 1), start(ref("a", 0, 1), 1, "w1", 1), start(ref("a", 0, 2), 1, "w1", 1),
		start(ref("a", 1, 0), 1, "w1", 1), start(ref("a", 1, 1), 1, "w1", 1))
	is.Equal(applied, []bool{true, true, false, true, false})
	is.Equal(apply(t, s, end(ref("a", 0, 0), 1, "w1", jobpb.How_STOPPED), start(ref("a", 0, 2), 1, "w1", 1)), []bool{true, true})
}

// Guards against a task that is started again after its last allowed attempt, and
// against a run lost with its worker's process that counts as an attempt.
func TestOnlyFailedRunsCountAsAttempts(t *testing.T) {
	is := is.New(t)
	s := New()
	r := ref("a", 0, 0)
	apply(t, s, register("w1", 1), accept("a", 2, &jobpb.Step{Count: 1}))
	apply(t, s, start(r, 1, "w1", 1), register("w1", 2)) // a new process: the runs of the old one are lost
	is.Equal(len(s.Placements("w1")), 0)
	apply(t, s, start(r, 2, "w1", 2), end(r, 2, "w1", jobpb.How_FAILED))
	is.Equal(s.Job("a").State, jobpb.Job_ACTIVE)
	apply(t, s, start(r, 3, "w1", 2), end(r, 3, "w1", jobpb.How_FAILED))
	is.Equal(s.Job("a").State, jobpb.Job_FAILED)
	is.Equal(apply(t, s, start(r, 4, "w1", 2)), []bool{false})
}

// Guards against a cancelled job of which further tasks start, and against its removal
// while one of its tasks may still be executing.
func TestCancelledJobStaysUntilItsRunsEnd(t *testing.T) {
	is := is.New(t)
	s := New()
	apply(t, s, register("w1", 1), accept("a", 2, &jobpb.Step{Count: 2, Lasting: true}), start(ref("a", 0, 0), 1, "w1", 1))
	is.Equal(apply(t, s, cancel("a"), start(ref("a", 0, 1), 1, "w1", 1), cancel("a")), []bool{true, false, false})
	forget := &jobpb.Entry{Change: &jobpb.Entry_Forget{Forget: "a"}}
	is.Equal(apply(t, s, forget), []bool{false})
	is.Equal(apply(t, s, end(ref("a", 0, 0), 1, "w1", jobpb.How_STOPPED), forget), []bool{true, true})
	is.Equal(s.Job("a"), nil)
}

// Guards against a gang that is not done after the end of one of its tasks. The tasks of
// a gang end together.
func TestGangEndsTogether(t *testing.T) {
	is := is.New(t)
	s := New()
	apply(t, s, register("w1", 1), accept("a", 2, &jobpb.Step{Count: 2, Gang: true}),
		start(ref("a", 0, 0), 1, "w1", 1), start(ref("a", 0, 1), 1, "w1", 1), end(ref("a", 0, 0), 1, "w1", jobpb.How_DONE))
	is.Equal(s.Job("a").State, jobpb.Job_COMPLETED)
}

// Guards against a gang whose job fails after fewer runs than it may have: each task of a
// run that fails counted as an attempt.
func TestRunOfAGangCountsOnceAsFailed(t *testing.T) {
	is := is.New(t)
	s := New()
	const tasks, attempts = 3, 2
	job := accept("a", attempts, &jobpb.Step{Count: tasks, Gang: true})
	apply(t, s, register("w1", 1), job)
	for run := uint32(1); run <= attempts; run++ {
		for i := range uint32(tasks) {
			apply(t, s, start(ref("a", 0, i), run, "w1", 1))
		}
		is.True(!Ended(s.Job("a")))
		for i := range uint32(tasks) {
			apply(t, s, end(ref("a", 0, i), run, "w1", jobpb.How_FAILED))
		}
	}
	is.Equal(s.Job("a").State, jobpb.Job_FAILED)
}

// Guards against jobs that callers see as begun although their starts have reached no worker.
func TestJobIsPendingUntilAWorkerHasBegunIt(t *testing.T) {
	for name, c := range map[string]struct {
		then  *jobpb.Entry
		begun bool
	}{
		"its start is on the way":   {nil, false},
		"its worker is lost":        {end(ref("a", 0, 0), 1, "w1", jobpb.How_LOST), false},
		"its start was never taken": {end(ref("a", 0, 0), 1, "w1", jobpb.How_NEVER_STARTED), false},
		"its worker has crashed":    {crash(ref("a", 0, 0), 1, "w1", unconfirmed), false},
		"its worker is gone":        {&jobpb.Entry{Change: &jobpb.Entry_Gone{Gone: &jobpb.WorkerGone{Id: "w1", BornMs: 1}}}, false},
		"its worker crashed at it":  {crash(ref("a", 0, 0), 1, "w1", sole), true},
		"its start is settled":      {&jobpb.Entry{Change: &jobpb.Entry_Settled{Settled: &jobpb.Settled{Task: ref("a", 0, 0), Run: 1}}}, true},
		"its task was stopped":      {end(ref("a", 0, 0), 1, "w1", jobpb.How_STOPPED), true},
		"one of its tasks is done":  {end(ref("a", 0, 0), 1, "w1", jobpb.How_DONE), true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := New()
			apply(t, s, register("w1", 1), accept("a", 2, &jobpb.Step{Count: 2}), start(ref("a", 0, 0), 1, "w1", 1))
			if c.then != nil {
				is.Equal(apply(t, s, c.then), []bool{true})
			}
			is.Equal(s.Pending("q") == 0, c.begun)
			is.Equal(s.Job("a").State == jobpb.Job_ACTIVE, c.begun)
		})
	}
}

// Guards against a configuration that is replaced by one of an older or equal version.
func TestConfigurationVersionIncreases(t *testing.T) {
	is := is.New(t)
	s := New()
	configure := func(version uint64) *jobpb.Entry {
		return &jobpb.Entry{Change: &jobpb.Entry_Configure{Configure: &jobpb.Configuration{Version: version}}}
	}
	is.Equal(apply(t, s, configure(3), configure(2), configure(3), configure(5)), []bool{true, false, false, true})
	is.Equal(s.Configuration().Version, uint64(5))
}

// randomEntry draws a change to one of a few jobs and workers. It may be invalid.
func randomEntry(t *rapid.T) *jobpb.Entry {
	id := fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "job"))
	worker := fmt.Sprint("w", rapid.IntRange(0, 2).Draw(t, "worker"))
	r := ref(id, rapid.Uint32Range(0, 1).Draw(t, "step"), rapid.Uint32Range(0, 2).Draw(t, "index"))
	run := rapid.Uint32Range(1, 6).Draw(t, "run")
	startedMs := int64(rapid.IntRange(1, 3).Draw(t, "born"))
	switch rapid.IntRange(0, 7).Draw(t, "kind") {
	case 0:
		steps := []*jobpb.Step{{Count: 2}, {Count: 3, After: []uint32{0}, Lasting: rapid.Bool().Draw(t, "lasting")}}
		return accept(id, 2, steps...)
	case 1:
		return cancel(id)
	case 2, 3:
		return start(r, run, worker, startedMs)
	case 4:
		return end(r, run, worker, jobpb.How(rapid.IntRange(0, 7).Draw(t, "how")))
	case 5:
		return register(worker, startedMs)
	case 6:
		return &jobpb.Entry{Change: &jobpb.Entry_Gone{Gone: &jobpb.WorkerGone{Id: worker, BornMs: startedMs}}}
	}
	return &jobpb.Entry{Change: &jobpb.Entry_Forget{Forget: id}}
}

// checkState checks the invariants of the state: placements match the tasks and the
// registered workers, unfinished jobs are open, and the counts of pending jobs are right.
func checkState(t *rapid.T, s *Store) {
	for worker, placed := range s.placements {
		if s.workers[worker] == nil {
			t.Fatalf("runs are placed on worker %s, which is not registered", worker)
		}
		for key, p := range placed {
			if p.Task.Worker != worker || p.Task.BornMs != s.workers[worker].BornMs || s.openJobs[key.Job] == nil {
				t.Fatalf("placement of task %v on worker %s does not match the task, the worker's process or the open jobs", key, worker)
			}
		}
	}
	pending := 0
	for id, j := range s.jobs {
		if j.State == jobpb.Job_QUEUED {
			pending++
		}
		if !ended(j.State) && s.openJobs[id] == nil {
			t.Fatalf("job %s has not ended but is missing from the open jobs", id)
		}
	}
	if pending != s.Pending("q") {
		t.Fatalf("%d jobs are queued, but the pending count is %d", pending, s.Pending("q"))
	}
}

// Guards against a replica whose state differs after it was restored from a snapshot.
// The same changes must have the same results and lead to the same state with and
// without snapshots in between.
func TestSnapshotKeepsState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, restored := New(), New()
		for range rapid.IntRange(1, 60).Draw(t, "changes") {
			e := randomEntry(t)
			a, b := apply(t, s, e), apply(t, restored, e)
			if a[0] != b[0] {
				t.Fatalf("change %v: applied is %v without and %v with snapshots", e, a, b)
			}
			checkState(t, s)
			if rapid.Bool().Draw(t, "snapshot") {
				data, err := restored.Snapshot()
				if err != nil {
					t.Fatalf("snapshot: %v", err)
				}
				restored = New()
				if err := restored.Restore(data); err != nil {
					t.Fatalf("restore: %v", err)
				}
			}
		}
		a, errA := s.Snapshot()
		b, errB := restored.Snapshot()
		if errA != nil || errB != nil || string(a) != string(b) {
			t.Fatalf("the final states with and without snapshots differ")
		}
	})
}

// Guards against a refused start that leaves the state of an occurrence behind: one that no
// job has would keep the job from ever being completed.
func TestRefusedStartChangesNothing(t *testing.T) {
	is := is.New(t)
	s := New()
	apply(t, s, register("w1", 1), accept("a", 2, &jobpb.Step{Count: 1}))
	before, err := s.Snapshot()
	is.NoErr(err)
	absent := ref("a", 0, 7)
	absent.Occurrence = 3
	is.Equal(apply(t, s, start(absent, 1, "w1", 1), start(ref("a", 0, 0), 0, "w1", 1)), []bool{false, false})
	after, err := s.Snapshot()
	is.NoErr(err)
	is.Equal(string(before), string(after))
	is.Equal(apply(t, s, start(ref("a", 0, 0), 1, "w1", 1), end(ref("a", 0, 0), 1, "w1", jobpb.How_DONE)), []bool{true, true})
	is.Equal(s.Job("a").State, jobpb.Job_COMPLETED)
}
