// Package state is the replicated state of jobs: the configuration of queues and
// pools, jobs with their tasks, the known workers, and waves. It is a pure state
// machine, driven by the log of the group "jobs".
//
// What a successor of the leader must know is here before the order that follows
// from it is sent: a task's start and its worker, an end before the worker may
// forget it, a cancellation before it is confirmed, an upkeep before it is ordered.
package state

import (
	"cmp"
	"slices"

	"marjoramtiller.example/marjoramtiller/job/jobpb"
)

// Placement is a run that may be at work on a worker.
type Placement struct {
	Job   *jobpb.Job
	Ref   *jobpb.TaskRef
	Step  *jobpb.Step
	Task  *jobpb.Task
	State *jobpb.StepState
}

// Load is what the runs placed on a worker take.
type Load struct {
	CPUMillis, MemoryMB, GPUs int64
	Serving, Fill             int             // tasks with a latency target, and filling ones
	Steps                     map[StepKey]int // tasks of each step
}

// StepKey identifies one occurrence of a step.
type StepKey struct {
	Job              string
	Occurrence, Step uint32
}

// StepOf returns the key of a task's step.
func (k TaskKey) StepOf() StepKey {
	return StepKey{Job: k.Job, Occurrence: k.Occurrence, Step: k.Step}
}

// Add adds n tasks of a step.
func (l *Load) Add(key StepKey, step *jobpb.Step, n int) {
	if step.Fill {
		l.Fill += n
	} else {
		l.CPUMillis += int64(n) * int64(step.CpuMillis)
	}
	if step.TargetMs > 0 {
		l.Serving += n
	}
	l.MemoryMB += int64(n) * int64(step.MemoryMb)
	l.GPUs += int64(n) * int64(step.Gpus)
	if l.Steps == nil {
		l.Steps = map[StepKey]int{}
	}
	l.Steps[key] += n
	if l.Steps[key] == 0 {
		delete(l.Steps, key)
	}
}

// Store is the state machine. It is not safe for concurrent use. What it hands
// out must not be modified.
type Store struct {
	configuration *jobpb.Configuration
	jobs          map[string]*jobpb.Job
	open          map[string]*jobpb.Job // jobs that have not ended, or have runs left
	workers       map[string]*jobpb.Worker
	waves         map[uint64]*jobpb.Wave
	moves         map[string]*jobpb.Move            // by machine, unfinished
	placed        map[string]map[TaskKey]*Placement // by worker id
	loads         map[string]*Load                  // by worker id
	pending       map[string]int                    // by queue: accepted jobs without a start
}

// TaskKey identifies a task.
type TaskKey struct {
	Job                     string
	Occurrence, Step, Index uint32
}

// Key returns the key of a task.
func Key(r *jobpb.TaskRef) TaskKey {
	return TaskKey{Job: r.Job, Occurrence: r.Occurrence, Step: r.Step, Index: r.Index}
}

// New returns an empty state.
func New() *Store {
	return &Store{
		configuration: &jobpb.Configuration{},
		jobs:          map[string]*jobpb.Job{},
		open:          map[string]*jobpb.Job{},
		workers:       map[string]*jobpb.Worker{},
		waves:         map[uint64]*jobpb.Wave{},
		moves:         map[string]*jobpb.Move{},
		placed:        map[string]map[TaskKey]*Placement{},
		loads:         map[string]*Load{},
		pending:       map[string]int{},
	}
}

// Configuration returns the configuration in force; its version is 0 before the first one.
func (s *Store) Configuration() *jobpb.Configuration { return s.configuration }

// Job returns a job by its id, nil if there is none.
func (s *Store) Job(id string) *jobpb.Job { return s.jobs[id] }

// Open returns the jobs that have not ended or have runs left, by id.
func (s *Store) Open() map[string]*jobpb.Job { return s.open }

// Jobs returns all jobs that are remembered, by id.
func (s *Store) Jobs() map[string]*jobpb.Job { return s.jobs }

// Workers returns the known workers by id.
func (s *Store) Workers() map[string]*jobpb.Worker { return s.workers }

// Waves returns all waves by number.
func (s *Store) Waves() map[uint64]*jobpb.Wave { return s.waves }

// Moves returns the ordered moves that are not known to be finished, by machine.
func (s *Store) Moves() map[string]*jobpb.Move { return s.moves }

// Placed returns the runs that may be at work on a worker.
func (s *Store) Placed(worker string) map[TaskKey]*Placement { return s.placed[worker] }

// Load returns what the runs placed on a worker take, nil if there are none.
func (s *Store) Load(worker string) *Load { return s.loads[worker] }

// Pending returns the number of a queue's accepted jobs that have not begun.
func (s *Store) Pending(queue string) int { return s.pending[queue] }

// QueueKey identifies a queue across changes of its other properties.
func QueueKey(host, prefix string) string { return host + prefix }

func ended(state jobpb.Job_State) bool {
	return state == jobpb.Job_COMPLETED || state == jobpb.Job_FAILED || state == jobpb.Job_CANCELLED
}

// Ended reports whether a job starts no more tasks.
func Ended(j *jobpb.Job) bool { return ended(j.State) }

// OccurrenceOf returns the state of an occurrence, nil if none of its tasks has started.
func OccurrenceOf(j *jobpb.Job, number uint32) *jobpb.Occurrence {
	for _, o := range j.Occurrences {
		if o.Number == number {
			return o
		}
	}
	return nil
}

// NewOccurrence returns an occurrence of a job of which nothing has started.
func NewOccurrence(j *jobpb.Job, number uint32) *jobpb.Occurrence {
	o := &jobpb.Occurrence{Number: number, Steps: make([]*jobpb.StepState, len(j.Steps))}
	for i, step := range j.Steps {
		tasks := make([]*jobpb.Task, step.Count)
		backing := make([]jobpb.Task, step.Count)
		for k := range tasks {
			tasks[k] = &backing[k]
		}
		o.Steps[i] = &jobpb.StepState{Tasks: tasks}
	}
	return o
}

// StepDone reports whether all tasks of a step have ended done.
func StepDone(st *jobpb.StepState) bool {
	for _, t := range st.Tasks {
		if !t.Done {
			return false
		}
	}
	return true
}

// Ready reports whether all steps before a step of an occurrence are done.
func Ready(o *jobpb.Occurrence, step *jobpb.Step) bool {
	for _, before := range step.After {
		if !StepDone(o.Steps[before]) {
			return false
		}
	}
	return true
}

// SortedPlacements returns the runs on a worker in a fixed order.
func (s *Store) SortedPlacements(worker string) []*Placement {
	list := make([]*Placement, 0, len(s.placed[worker]))
	for _, p := range s.placed[worker] {
		list = append(list, p)
	}
	slices.SortFunc(list, func(a, b *Placement) int {
		return cmp.Or(cmp.Compare(a.Ref.Job, b.Ref.Job), cmp.Compare(a.Ref.Occurrence, b.Ref.Occurrence),
			cmp.Compare(a.Ref.Step, b.Ref.Step), cmp.Compare(a.Ref.Index, b.Ref.Index))
	})
	return list
}

// WaveCompleted reports whether every machine of a wave has begun its upkeep or is gone.
func WaveCompleted(w *jobpb.Wave) bool {
	for _, m := range w.Machines {
		if !m.Begun {
			return false
		}
	}
	return true
}
