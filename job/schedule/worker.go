package schedule

import (
	"time"

	"marjoramtiller.example/marjoramtiller/job/jobpb"
	"marjoramtiller.example/marjoramtiller/job/state"
)

// Worker is a worker on which tasks may start, with its free capacity.
type Worker struct {
	ID string
	// StartedMs is the time at which the worker's process started.
	StartedMs int64
	Pool      string
	Rack      string
	Labels    []string
	CPU       int64 // free thousandths of a core
	Memory    int64 // free MB
	GPUs      int64 // free GPUs
	// Penalty is higher for workers that fail or are slow. Workers with a lower one are
	// preferred.
	Penalty int
	// UpkeepDue reports that an upkeep will end everything that runs on the worker.
	UpkeepDue bool
	// Serving is the number of tasks with a latency target, Fill the number of filling tasks.
	Serving, Fill int
	// Steps is the number of tasks of each step on this worker before the plan. The map
	// is shared with the state and is not modified.
	Steps        map[state.StepKey]int
	plannedTasks map[state.StepKey]int // number of tasks of each step that this plan starts here
	// LastStart is when the latest start younger than ProbationTime was sent, 0 if there is none.
	LastStart    time.Duration
	recentJobs   []string // jobs with a start not yet survived, including those of this plan
	probationJob string   // the one of them that is on probation, empty if none is
	reservedFor  string   // job whose task on probation it is kept for, empty if it is not
}

// AddLoad adds the load of the tasks on a worker and deducts it from the free capacity.
func (w *Worker) AddLoad(l *state.Load) {
	if l == nil {
		return
	}
	w.CPU -= l.CPUMillis
	w.Memory -= l.MemoryMB
	w.GPUs -= l.GPUs
	w.Serving += l.Serving
	w.Fill += l.Fill
	w.Steps = l.Steps
}

func (w *Worker) taskCount(key state.StepKey) int { return w.Steps[key] + w.plannedTasks[key] }

// addTasks adds n planned tasks of a step to a worker; a negative n removes tasks.
func (w *Worker) addTasks(key state.StepKey, step *jobpb.Step, n int) {
	var l state.Load
	l.Add(key, step, n)
	steps := w.Steps
	w.AddLoad(&l)
	w.Steps = steps
	if w.plannedTasks == nil {
		w.plannedTasks = map[state.StepKey]int{}
	}
	w.plannedTasks[key] += n
}
