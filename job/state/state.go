// Package state is the replicated state of jobs: the configuration of queues and
// pools, jobs with their tasks, registered workers, waves and moves. It is a pure
// state machine that applies the log of the group "jobs".
//
// The leader logs a change before it acts on it, so that a new leader can continue
// from the state alone: the start of a task before the start order, the end of a run
// before the worker may remove its record of it, a cancellation before it is
// confirmed, and an upkeep before it is ordered.
package state

import (
	"cmp"
	"slices"

	"marjoramtiller.example/marjoramtiller/job/jobpb"
)

// Placement is a run that may be executing on a worker.
type Placement struct {
	Job   *jobpb.Job
	Ref   *jobpb.TaskRef
	Step  *jobpb.Step
	Task  *jobpb.Task
	State *jobpb.StepState
}

// Load is the capacity that the runs placed on a worker use.
type Load struct {
	CPUMillis, MemoryMB, GPUs int64
	Serving, Fill             int             // numbers of tasks with a latency target and of filling tasks
	Steps                     map[StepKey]int // number of tasks of each step
}

// StepKey identifies one occurrence of a step.
type StepKey struct {
	Job              string
	Occurrence, Step uint32
}

// StepKey returns the key of the step that the task belongs to.
func (k TaskKey) StepKey() StepKey {
	return StepKey{Job: k.Job, Occurrence: k.Occurrence, Step: k.Step}
}

// Add adds n tasks of a step to the load; a negative n removes tasks. Filling tasks
// use only CPU that other tasks leave idle, so theirs is not counted.
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

// Store is the state machine. It is not safe for concurrent use. Callers must not
// modify the values that its methods return.
type Store struct {
	configuration *jobpb.Configuration
	tenants       tenants
	jobs          map[string]*jobpb.Job
	openJobs      map[string]*jobpb.Job // jobs that have not ended or that still have runs
	workers       map[string]*jobpb.Worker
	waves         map[uint64]*jobpb.Wave
	moves         map[string]*jobpb.Move            // by machine, unfinished
	placements    map[string]map[TaskKey]*Placement // by worker id
	loads         map[string]*Load                  // by worker id
	suspects      map[TaskKey]*jobpb.Task           // tasks of open jobs with crashes
	pending       map[string]int                    // by queue: accepted jobs of which no worker has said that it has begun a task
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
		tenants:       newTenants(),
		jobs:          map[string]*jobpb.Job{},
		openJobs:      map[string]*jobpb.Job{},
		workers:       map[string]*jobpb.Worker{},
		waves:         map[uint64]*jobpb.Wave{},
		moves:         map[string]*jobpb.Move{},
		placements:    map[string]map[TaskKey]*Placement{},
		loads:         map[string]*Load{},
		suspects:      map[TaskKey]*jobpb.Task{},
		pending:       map[string]int{},
	}
}

// Configuration returns the configuration in force. Its version is 0 until one has been applied.
func (s *Store) Configuration() *jobpb.Configuration { return s.configuration }

// Job returns the job with an id, nil if there is none.
func (s *Store) Job(id string) *jobpb.Job { return s.jobs[id] }

// OpenJobs returns the jobs that have not ended or that still have runs, by id.
func (s *Store) OpenJobs() map[string]*jobpb.Job { return s.openJobs }

// Jobs returns all jobs by id, including ended ones that have not been removed.
func (s *Store) Jobs() map[string]*jobpb.Job { return s.jobs }

// Workers returns the registered workers by id.
func (s *Store) Workers() map[string]*jobpb.Worker { return s.workers }

// Waves returns all waves by number.
func (s *Store) Waves() map[uint64]*jobpb.Wave { return s.waves }

// Moves returns the ordered moves of which no end has been logged, by machine.
func (s *Store) Moves() map[string]*jobpb.Move { return s.moves }

// Placements returns the runs that may be executing on a worker.
func (s *Store) Placements(worker string) map[TaskKey]*Placement { return s.placements[worker] }

// Load returns the capacity that the runs placed on a worker use, nil if there are none.
func (s *Store) Load(worker string) *Load { return s.loads[worker] }

// Pending returns the number of accepted jobs of a queue of which no task has started.
func (s *Store) Pending(queue string) int { return s.pending[queue] }

// QueueKey returns the key of a queue. It depends only on the queue's host and path
// prefix, so that changes of other properties of the queue keep it.
func QueueKey(host, prefix string) string { return host + prefix }

func ended(state jobpb.Job_State) bool {
	return state == jobpb.Job_COMPLETED || state == jobpb.Job_FAILED || state == jobpb.Job_CANCELLED
}

// Ended reports whether a job has ended; no more tasks of it are started. Runs of a
// cancelled or failed job may still be executing.
func Ended(j *jobpb.Job) bool { return ended(j.State) }

// OccurrenceOf returns the state of an occurrence of a job, nil if none of its tasks has started.
func OccurrenceOf(j *jobpb.Job, number uint32) *jobpb.Occurrence {
	for _, o := range j.Occurrences {
		if o.Number == number {
			return o
		}
	}
	return nil
}

// NewOccurrence returns the state of an occurrence of which no task has started.
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

// StepDone reports whether all tasks of a step are done.
func StepDone(st *jobpb.StepState) bool {
	for _, t := range st.Tasks {
		if !t.Done {
			return false
		}
	}
	return true
}

// StepReady reports whether all steps that a step of an occurrence depends on are done.
func StepReady(o *jobpb.Occurrence, step *jobpb.Step) bool {
	for _, before := range step.After {
		if !StepDone(o.Steps[before]) {
			return false
		}
	}
	return true
}

// SortedPlacements returns the runs on a worker, sorted by task key.
func (s *Store) SortedPlacements(worker string) []*Placement {
	list := make([]*Placement, 0, len(s.placements[worker]))
	for _, p := range s.placements[worker] {
		list = append(list, p)
	}
	slices.SortFunc(list, func(a, b *Placement) int {
		return cmp.Or(cmp.Compare(a.Ref.Job, b.Ref.Job), cmp.Compare(a.Ref.Occurrence, b.Ref.Occurrence),
			cmp.Compare(a.Ref.Step, b.Ref.Step), cmp.Compare(a.Ref.Index, b.Ref.Index))
	})
	return list
}

// WaveCompleted reports whether every machine of a wave has begun its upkeep or no longer exists.
func WaveCompleted(w *jobpb.Wave) bool {
	for _, m := range w.Machines {
		if !m.Begun {
			return false
		}
	}
	return true
}
