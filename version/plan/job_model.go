package plan

import "time"

// Resources is an amount of processors, memory and accelerators.
type Resources struct {
	MilliCores   int64
	MemoryMB     int64
	Accelerators int64
}

func (r Resources) plus(o Resources) Resources {
	return Resources{r.MilliCores + o.MilliCores, r.MemoryMB + o.MemoryMB, r.Accelerators + o.Accelerators}
}

func (r Resources) minus(o Resources) Resources {
	return Resources{r.MilliCores - o.MilliCores, r.MemoryMB - o.MemoryMB, r.Accelerators - o.Accelerators}
}

// fits reports whether r lies within o in every dimension.
func (r Resources) fits(o Resources) bool {
	return r.MilliCores <= o.MilliCores && r.MemoryMB <= o.MemoryMB && r.Accelerators <= o.Accelerators
}

// Worker is a machine that runs tasks.
type Worker struct {
	Name     string
	Pool     string
	Capacity Resources
	// Up is false while the worker must get no new tasks.
	Up bool
}

// Team is a team's quota: the most that its placed tasks may use together.
type Team struct {
	Name  string
	Quota Resources
}

// Job asks for Count equal tasks. Tasks are named after the job, a slash and a number from 0.
type Job struct {
	Name   string
	Pool   string
	Team   string
	Count  int
	Size   Resources // declared, of one task
	Urgent bool
}

// Usage is an observation of a running task. At is the time it describes, which
// is earlier than its arrival by the platform's reporting lag.
type Usage struct {
	Task string
	At   time.Duration
	Used Resources
}

// TaskEvent is what the platform reports of a task.
type TaskEvent int

// Task events.
const (
	TaskDone TaskEvent = iota + 1
	TaskFailed
	TaskCheckpointed // its state is saved and its resources are free
	TaskThrottled    // it keeps running on a tenth of its processors
	TaskStopped
	TaskLost // its worker is gone
)

// ActionKind is what the platform is asked to do with a task.
type ActionKind int

// Kinds of actions.
const (
	ActionStart ActionKind = iota + 1
	ActionCheckpoint
	ActionThrottle
	ActionStop
)

// Action asks the platform for one step of a task.
type Action struct {
	Kind    ActionKind
	Task    string
	Worker  string
	Attempt uint64 // with Kind and Task, makes the call's token
}

// CannotRun names a job that no worker or quota can ever take as it is declared.
type CannotRun struct {
	Job, Reason string
}

// Quarantined names a worker that gets no tasks because tasks fail on it and succeed elsewhere.
type Quarantined struct {
	Worker, Pool, Reason string
}

// JobSettings bounds the scheduler.
type JobSettings struct {
	// CheckpointTimeout and ThrottleTimeout bound the first two steps of preemption.
	// With a control interval of 500 ms their sum leaves time for the stop and the
	// start within the 4.6 s allowed for urgent work.
	CheckpointTimeout, ThrottleTimeout time.Duration
	// ResendAfter is when an unanswered stop is sent again, and when a reservation that
	// its worker's preemptions did not serve is given up.
	ResendAfter time.Duration
	// UsageSettle is how long a task must have run before its usage may lower its size.
	UsageSettle time.Duration
	// HeadroomPercent is added to observed usage.
	HeadroomPercent int64
	// FailureLimit is the number of failures in a row that makes a worker suspect.
	FailureLimit int
	// QuarantineFor is how long a worker stays in quarantine.
	QuarantineFor time.Duration
	// HealthyAfter is the run time after which a task counts as a success of its worker.
	HealthyAfter time.Duration
	// CancelsPerSecond bounds the stops of cancelled tasks in one pool.
	CancelsPerSecond int
}

// DefaultJobSettings suits a control interval of 500 ms.
func DefaultJobSettings() JobSettings {
	return JobSettings{
		CheckpointTimeout: 2 * time.Second,
		ThrottleTimeout:   time.Second,
		ResendAfter:       5 * time.Second,
		UsageSettle:       time.Minute,
		HeadroomPercent:   20,
		FailureLimit:      3,
		QuarantineFor:     30 * time.Minute,
		HealthyAfter:      30 * time.Second,
		CancelsPerSecond:  20,
	}
}
