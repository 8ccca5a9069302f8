package schedule

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"marjoramtiller.example/marjoramtiller/job/jobpb"
	"marjoramtiller.example/marjoramtiller/job/state"
)

// crashed applies the given number of crashes to the only task of a job. Others may have
// caused them.
func crashed(t *testing.T, s *state.Store, id string, crashes int) {
	t.Helper()
	r := &jobpb.TaskRef{Job: id}
	for n := range crashes {
		start := &jobpb.Start{Task: r, Run: uint32(n + 1), Worker: "w0", BornMs: 1}
		end := &jobpb.End{Task: r, Run: uint32(n + 1), Worker: "w0", How: jobpb.How_CRASHED}
		apply(t, s, &jobpb.Entry{Change: &jobpb.Entry_Start{Start: start}}, &jobpb.Entry{Change: &jobpb.Entry_End{End: end}})
	}
}

func probationStore(t *testing.T, crashes map[string]int) *state.Store {
	t.Helper()
	s := newStore(t, register("w0"))
	for _, id := range []string{"a", "b", "c"} {
		apply(t, s, job(id, 0, &jobpb.Step{Count: 1, CpuMillis: 1000, EstimatedMs: 500}))
		crashed(t, s, id, crashes[id])
	}
	return s
}

func startedOn(starts []*jobpb.Start) map[string]string {
	workers := map[string]string{}
	for _, start := range starts {
		workers[start.Task.Job] = start.Worker
	}
	return workers
}

// Guards against two tasks that may have crashed a worker and start on one worker again:
// its next crash would tell nothing. The third job must not start on a worker with a task
// on probation either.
func TestTasksOnProbationStartApart(t *testing.T) {
	is := is.New(t)
	s := probationStore(t, map[string]int{"a": 1, "b": 1})
	on := startedOn(plan(s, 0, workers(3, 4000)))
	is.Equal(len(on), 3)
	is.True(on["a"] != on["b"] && on["c"] != on["a"] && on["c"] != on["b"])
	is.Equal(len(startedOn(plan(s, 0, workers(1, 4000)))), 1)
}

// Guards against a task on probation that starts on the fullest worker, where its crash
// costs the most runs.
func TestTaskOnProbationPrefersAnEmptyWorker(t *testing.T) {
	is := is.New(t)
	s := probationStore(t, map[string]int{"a": 1})
	list := workers(2, 4000)
	list[0].CPU = 1000
	is.Equal(startedOn(plan(s, 0, list))["a"], "w1")
}

// Guards against a task on probation that starts beside a start of another job which its
// worker has not survived yet, and against one that never gets a worker for itself because
// other jobs start on all of them all the time.
func TestTaskOnProbationGetsAWorkerForItself(t *testing.T) {
	is := is.New(t)
	s := probationStore(t, map[string]int{"a": 1})
	busy := func() []*Worker {
		list := workers(2, 4000)
		for i, w := range list {
			w.AddRecentStart("other", false)
			w.LastStart = time.Duration(2-i) * time.Millisecond
		}
		return list
	}
	on := startedOn(plan(s, 0, busy()))
	is.Equal(on["a"], "") // no worker is quiet
	is.Equal(on["b"], "w0")
	is.Equal(on["c"], "w0") // w1 has had no start for longer and is kept for a
	quiet := busy()
	quiet[1] = workers(2, 4000)[1]
	is.Equal(startedOn(plan(s, 0, quiet))["a"], "w1")
}

// Guards against a gang that never starts because all its members wait for workers without
// recent starts, although one of them only is on probation.
func TestGangNeedsOneQuietWorkerForItsMemberOnProbation(t *testing.T) {
	is := is.New(t)
	s := newStore(t, register("w0"))
	apply(t, s, job("gang", 0, &jobpb.Step{Count: 3, CpuMillis: 3000, EstimatedMs: 500, Gang: true}))
	crashed(t, s, "gang", 1)
	list := workers(3, 4000)
	for _, w := range list[:2] {
		w.AddRecentStart("other", false)
	}
	starts := plan(s, 0, list)
	is.Equal(len(starts), 3)
	is.Equal(starts[0].Worker, "w2")
	list[2].AddRecentStart("other", false)
	is.Equal(len(plan(s, 0, list)), 0)
}

// Guards against a pool whose workers are all kept for tasks on probation.
func TestReservedWorkersAreLimited(t *testing.T) {
	is := is.New(t)
	s := newStore(t, register("w0"))
	for i := range 6 {
		id := fmt.Sprint("crashing", i)
		apply(t, s, job(id, 0, &jobpb.Step{Count: 1, CpuMillis: 1000}))
		crashed(t, s, id, 2)
	}
	apply(t, s, job("sound", 0, &jobpb.Step{Count: 4, CpuMillis: 1000}))
	list := workers(3, 4000)
	for _, w := range list {
		w.AddRecentStart("other", false)
	}
	starts := plan(s, 0, list)
	is.Equal(len(starts), 4) // the sound job's, on the two workers that are not reserved
}

// kindStore returns a store in which a worker of kind b runs a lasting task of 2 cores, a task
// of 3 cores that requires kind b waits on probation, and so does a small sound one.
func kindStore(t *testing.T) *state.Store {
	t.Helper()
	s := newStore(t, register("w0"), register("w1"))
	apply(t, s, job("lasting", 0, &jobpb.Step{Count: 1, CpuMillis: 2000, Lasting: true, RequiredLabel: "b"}))
	apply(t, s, job("large", 0, &jobpb.Step{Count: 1, CpuMillis: 3000, EstimatedMs: 500, RequiredLabel: "b"}))
	apply(t, s, job("small", 0, &jobpb.Step{Count: 1, CpuMillis: 1000, EstimatedMs: 500, RequiredLabel: "b"}))
	crashed(t, s, "large", 1)
	start := &jobpb.Start{Task: &jobpb.TaskRef{Job: "lasting"}, Run: 1, Worker: "w1", BornMs: 1}
	apply(t, s, &jobpb.Entry{Change: &jobpb.Entry_Start{Start: start}})
	return s
}

// kindWorkers returns four workers of 4 cores, of which w1 is of kind b.
func kindWorkers(s *state.Store) []*Worker {
	list := workers(4, 4000)
	list[1].Labels = []string{"b"}
	list[1].AddLoad(s.Load("w1"))
	return list
}

// Guards against jobs that wait for good because the only worker of their kind is reserved
// for a task that does not fit there beside a lasting one.
func TestNoWorkerIsReservedOnWhichTheTaskNeverFits(t *testing.T) {
	is := is.New(t)
	s := kindStore(t)
	on := startedOn(plan(s, 0, kindWorkers(s)))
	is.Equal(on["small"], "w1")
	is.Equal(on["large"], "")
}

// Guards against a worker that is reserved for good for a task that could start there, but
// does not: other tasks that need the worker start after reservationLimit, and the task on
// probation gets another turn after them.
func TestReservationEnds(t *testing.T) {
	is := is.New(t)
	s := newStore(t, register("w0"), register("w1"))
	apply(t, s, job("short", 0, &jobpb.Step{Count: 1, CpuMillis: 2000, EstimatedMs: 60_000, RequiredLabel: "b"}))
	apply(t, s, job("large", 0, &jobpb.Step{Count: 1, CpuMillis: 3000, EstimatedMs: 500, RequiredLabel: "b"}))
	apply(t, s, job("small", 0, &jobpb.Step{Count: 1, CpuMillis: 1000, EstimatedMs: 500, RequiredLabel: "b"}))
	crashed(t, s, "large", 1)
	start := &jobpb.Start{Task: &jobpb.TaskRef{Job: "short"}, Run: 1, Worker: "w1", BornMs: 1}
	apply(t, s, &jobpb.Entry{Change: &jobpb.Entry_Start{Start: start}})
	held := &Reservations{}
	smallStarts := func(now time.Duration) bool {
		starts := Plan(Input{Now: now, Store: s, Queues: map[string]*jobpb.Queue{"q": {Stretch: 1.6, TargetMs: 600}}, Workers: kindWorkers(s),
			Estimates: NewEstimates(), Reservations: held})
		return startedOn(starts)["small"] == "w1"
	}
	is.True(!smallStarts(time.Second))
	is.True(!smallStarts(time.Second + reservationLimit - 1))
	is.True(smallStarts(time.Second + reservationLimit))
	is.True(smallStarts(time.Second + reservationLimit + reservationPause - 1))
	is.True(!smallStarts(time.Second + reservationLimit + reservationPause))
}

// Guards against all workers of a kind being reserved at once in a pool with many others.
func TestReservedWorkersOfAKindAreLimited(t *testing.T) {
	is := is.New(t)
	s := newStore(t, register("w0"))
	for i := range 3 {
		id := fmt.Sprint("crashing", i)
		apply(t, s, job(id, 0, &jobpb.Step{Count: 1, CpuMillis: 1000, RequiredLabel: "b"}))
		crashed(t, s, id, 2)
	}
	apply(t, s, job("sound", 0, &jobpb.Step{Count: 1, CpuMillis: 1000, RequiredLabel: "b"}))
	list := workers(9, 4000)
	for i, w := range list {
		w.AddRecentStart("other", false)
		if i < 2 {
			w.Labels = []string{"b"}
		}
	}
	is.Equal(len(plan(s, 0, list)), 1) // the sound task, on the worker of its kind that is not reserved
}
