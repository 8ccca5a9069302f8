package schedule

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"marjoramtiller.example/marjoramtiller/job/jobpb"
	"marjoramtiller.example/marjoramtiller/job/state"
)

func newStore(t interface{ Fatalf(string, ...any) }, entries ...*jobpb.Entry) *state.Store {
	s := state.New()
	apply(t, s, entries...)
	return s
}

func apply(t interface{ Fatalf(string, ...any) }, s *state.Store, entries ...*jobpb.Entry) []bool {
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

func job(id string, acceptedMs int64, steps ...*jobpb.Step) *jobpb.Entry {
	j := &jobpb.Job{Id: id, Queue: "q", Pool: "p", Steps: steps, AcceptedMs: acceptedMs, MaxAttempts: 3}
	return &jobpb.Entry{Change: &jobpb.Entry_Accept{Accept: &jobpb.Accept{Job: j}}}
}

func register(id string) *jobpb.Entry {
	return &jobpb.Entry{Change: &jobpb.Entry_Worker{Worker: &jobpb.Worker{Id: id, BornMs: 1, Pool: "p", CpuMillis: 4000, MemoryMb: 1000, Gpus: 1}}}
}

func workers(n int, cpu int64) (list []*Worker) {
	for i := range n {
		list = append(list, &Worker{ID: fmt.Sprint("w", i), StartedMs: 1, Pool: "p", Rack: fmt.Sprint("r-", i/2), CPU: cpu, Memory: 1000, GPUs: 1})
	}
	return list
}

func plan(s *state.Store, nowMs int64, list []*Worker) []*jobpb.Start {
	queue := &jobpb.Queue{Stretch: 1.6, TargetMs: 600}
	return Plan(Input{NowMs: nowMs, Store: s, Queues: map[string]*jobpb.Queue{"q": queue}, Workers: list, Estimates: NewEstimates(), Reservations: &Reservations{}})
}

// Guards against a gang of which only some tasks start, and against a rack-local gang
// that is spread over racks although it fits on one of them.
func TestGangStartsWholeAndOnOneRack(t *testing.T) {
	is := is.New(t)
	s := newStore(t, job("a", 0, &jobpb.Step{Count: 4, CpuMillis: 1000, Gang: true, RackLocal: true}))
	is.Equal(len(plan(s, 0, workers(3, 1000))), 0)
	is.Equal(len(plan(s, 0, workers(4, 1000))), 4) // no rack fits all four: spread over two, which is slower, rather than never started
	starts := plan(s, 0, workers(4, 2000))
	is.Equal(len(starts), 4)
	for _, st := range starts {
		is.Equal(st.Run, uint32(1))
		is.True(st.Worker == "w0" || st.Worker == "w1")
	}
}

// Guards against a lasting step of which one worker has more tasks than MaxUnavailable
// although others are free: the upkeep of that worker would exceed the limit.
func TestLastingStepIsSpread(t *testing.T) {
	is := is.New(t)
	s := newStore(t, job("a", 0, &jobpb.Step{Count: 3, CpuMillis: 1000, Lasting: true, MaxUnavailable: 1}))
	used := map[string]bool{}
	for _, st := range plan(s, 0, workers(3, 9000)) {
		used[st.Worker] = true
	}
	is.Equal(len(used), 3)
	is.Equal(len(plan(s, 0, workers(2, 9000))), 3) // sharing a worker is better than not starting
}

// Guards against jobs that can no longer finish within their target time and that delay
// jobs that still can.
func TestLateJobsComeLast(t *testing.T) {
	is := is.New(t)
	step := func() *jobpb.Step { return &jobpb.Step{Count: 1, CpuMillis: 1000, EstimatedMs: 500} }
	s := newStore(t, job("late", 0, step()), job("soon", 9800, step()), job("new", 10_000, step()))
	starts := plan(s, 10_000, workers(1, 1000))
	is.Equal(len(starts), 1)
	is.Equal(starts[0].Task.Job, "soon")
}

// Guards against small jobs that wait behind large ones, against large jobs that are
// postponed without limit because their weight does not grow with their work, and
// against a queue that is ranked before one of a higher priority.
func TestRankIsByPriorityThenWorkPerWeight(t *testing.T) {
	is := is.New(t)
	step := func(count uint32) *jobpb.Step {
		return &jobpb.Step{Count: count, CpuMillis: 1000, EstimatedMs: 1000}
	}
	s := newStore(t, job("large", 0, step(40)), job("mean", 0, step(10)), job("small", 0, step(2)))
	e := NewEstimates()
	for _, j := range s.Jobs() {
		e.AddJob(j)
	}
	queue := &jobpb.Queue{Stretch: 1.6, TargetMs: 600}
	p := &planner{input: Input{Estimates: e, NowMs: 0}}
	rank := func(id string, queue *jobpb.Queue) int64 {
		return p.rank(s.Job(id), state.NewOccurrence(s.Job(id), 0), queue, 0)
	}
	is.True(rank("small", queue) < rank("mean", queue))
	is.True(rank("mean", queue) < rank("large", queue))
	is.True(rank("large", queue) < 2*rank("mean", queue))
	is.True(rank("large", queue) < rank("small", &jobpb.Queue{Stretch: 1.6, TargetMs: 600, Priority: 1}))
}

// Guards against an occurrence of a job with repetitions that starts before it is due.
func TestOccurrencesWaitUntilDue(t *testing.T) {
	is := is.New(t)
	e := job("a", 0, &jobpb.Step{Count: 1, CpuMillis: 1})
	j := e.GetAccept().Job
	j.Repetitions, j.FirstDueMs, j.IntervalMs = 3, 1000, 500
	s := newStore(t, e)
	is.Equal(len(plan(s, 999, workers(1, 1000))), 0)
	is.Equal(len(plan(s, 1000, workers(1, 1000))), 1)
	is.Equal(len(plan(s, 1500, workers(1, 1000))), 2)
}

// randomStep draws the step of a job with the given number. It may depend on the step
// before it.
func randomStep(t *rapid.T, number int) *jobpb.Step {
	step := &jobpb.Step{Count: rapid.Uint32Range(1, 6).Draw(t, "count"), CpuMillis: rapid.Uint64Range(1, 3000).Draw(t, "cpu"),
		MemoryMb: rapid.Uint64Range(0, 400).Draw(t, "memory"), Gpus: rapid.Uint64Range(0, 1).Draw(t, "gpus"),
		EstimatedMs: rapid.Uint64Range(0, 2000).Draw(t, "estimate"), Gang: rapid.Bool().Draw(t, "gang"),
		RackLocal: rapid.Bool().Draw(t, "local"), MaxPerWorker: rapid.Uint32Range(0, 2).Draw(t, "apart"),
		Fill: rapid.Bool().Draw(t, "fill"), Lasting: rapid.Bool().Draw(t, "lasting")}
	if rapid.Bool().Draw(t, "label") {
		step.RequiredLabel = "big"
	}
	if number > 0 && rapid.Bool().Draw(t, "after") {
		step.After = []uint32{uint32(number - 1)}
	}
	return step
}

// Guards against a plan that overloads a worker, ignores a required label or the limit
// of tasks on one worker, starts a step before those it depends on, or starts a task
// twice.
func TestPlansKeepTheLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := state.New()
		list := workers(rapid.IntRange(1, 5).Draw(t, "workers"), 4000)
		for i, w := range list {
			apply(t, s, register(w.ID))
			if i%2 == 0 {
				w.Labels = []string{"big"}
			}
		}
		for n := range rapid.IntRange(1, 5).Draw(t, "jobs") {
			var steps []*jobpb.Step
			for k := range rapid.IntRange(1, 3).Draw(t, "steps") {
				steps = append(steps, randomStep(t, k))
			}
			apply(t, s, job(fmt.Sprint("j", n), int64(n), steps...))
		}
		for range 3 {
			for _, w := range list {
				*w = Worker{ID: w.ID, StartedMs: 1, Pool: "p", Rack: w.Rack, Labels: w.Labels, CPU: 4000, Memory: 1000, GPUs: 1}
				w.AddLoad(s.Load(w.ID))
			}
			for _, st := range plan(s, int64(time.Hour/time.Millisecond), list) {
				if ok := apply(t, s, &jobpb.Entry{Change: &jobpb.Entry_Start{Start: st}}); !ok[0] {
					t.Fatalf("start %v was not applied by the state", st)
				}
			}
			checkLimits(t, s, list)
		}
	})
}

// checkLimits checks that the tasks placed on each worker keep all limits.
func checkLimits(t *rapid.T, s *state.Store, list []*Worker) {
	for _, w := range list {
		var cpu, memory, gpus uint64
		count := map[state.StepKey]uint32{}
		for key, p := range s.Placements(w.ID) {
			if !p.Step.Fill {
				cpu += p.Step.CpuMillis
			}
			memory += p.Step.MemoryMb
			gpus += p.Step.Gpus
			k := key.StepKey()
			count[k]++
			if p.Step.MaxPerWorker > 0 && count[k] > p.Step.MaxPerWorker {
				t.Fatalf("%d tasks of one step run on %s, more than its MaxPerWorker", count[k], w.ID)
			}
			if p.Step.RequiredLabel != "" && len(w.Labels) == 0 {
				t.Fatalf("a task runs on %s, which lacks the required label", w.ID)
			}
			for _, before := range p.Step.After {
				if !state.StepDone(state.OccurrenceOf(p.Job, 0).Steps[before]) {
					t.Fatalf("step %d started before step %d was done", key.Step, before)
				}
			}
		}
		if cpu > 4000 || memory > 1000 || gpus > 1 {
			t.Fatalf("%s is overloaded: its tasks need %d thousandths of a core, %d MB and %d GPUs", w.ID, cpu, memory, gpus)
		}
	}
}

// Guards against estimates that follow declared run times unrelated to the actual ones,
// and against estimates that ignore declared run times proportional to the actual ones.
func TestEstimatesWeighDeclaredTimes(t *testing.T) {
	is := is.New(t)
	e := NewEstimates()
	for i := range 200 {
		e.AddRun("unrelated", &jobpb.Step{EstimatedMs: uint64(50 * (1 + i%40))}, time.Second)
		e.AddRun("proportional", &jobpb.Step{EstimatedMs: uint64(50 * (1 + i%40))}, time.Duration(100*(1+i%40))*time.Millisecond)
	}
	unrelated := e.RunTime("unrelated", &jobpb.Step{EstimatedMs: 50})
	is.True(unrelated > 800*time.Millisecond && unrelated < 1300*time.Millisecond)
	proportional := e.RunTime("proportional", &jobpb.Step{EstimatedMs: 50})
	is.True(proportional > 80*time.Millisecond && proportional < 160*time.Millisecond)
	is.Equal(e.RunTime("unknown", &jobpb.Step{EstimatedMs: 50}), 50*time.Millisecond)
}

// Guards against a wave that moves the tasks of a lasting step from one machine that is
// due for upkeep to the next: each move makes a task unavailable, and the wave then takes
// longer than its time.
func TestLastingTaskAvoidsWorkersDueForUpkeep(t *testing.T) {
	is := is.New(t)
	s := newStore(t, job("a", 0, &jobpb.Step{Count: 2, CpuMillis: 1000, Lasting: true, MaxUnavailable: 1}))
	list := workers(4, 4000)
	list[0].CPU = 1000 // otherwise the first choice, as the fullest
	for _, w := range list[:2] {
		w.UpkeepDue = true
	}
	starts := plan(s, 0, list)
	is.Equal(len(starts), 2)
	for _, start := range starts {
		is.True(start.Worker == "w2" || start.Worker == "w3")
	}
	for _, w := range list {
		w.UpkeepDue = true
	}
	s = newStore(t, job("b", 0, &jobpb.Step{Count: 1, CpuMillis: 1000, Lasting: true}))
	is.Equal(len(plan(s, 0, list)), 1) // without a choice it starts all the same
}
