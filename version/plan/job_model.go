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

// fitsIn reports whether r is at most o in every dimension.
func (r Resources) fitsIn(o Resources) bool {
	return r.MilliCores <= o.MilliCores && r.MemoryMB <= o.MemoryMB && r.Accelerators <= o.Accelerators
}

// Worker is a machine that runs tasks.
type Worker struct {
	Name     string
	Pool     string
	Capacity Resources
	// Up is false while the worker must not receive new tasks.
	Up bool
}

// Team is a team's quota: the most that its placed tasks may use together.
type Team struct {
	Name  string
	Quota Resources
}

// Job describes Count equal tasks. A task's name is the name of the job, a slash and a
// number from 0.
type Job struct {
	Name   string
	Pool   string
	Team   string
	Count  int
	Size   Resources // declared, of one task
	Urgent bool
}

// Usage is a measurement of a running task. At is the time of the measurement, which is
// earlier than its arrival by the platform's reporting lag.
type Usage struct {
	Task string
	At   time.Duration
	Used Resources
}

// TaskEvent is the kind of an event that the platform reports for a task.
type TaskEvent int

// Task events.
const (
	TaskDone TaskEvent = iota + 1
	TaskFailed
	TaskCheckpointed // its state is saved and its resources are free
	TaskThrottled    // it keeps running on a tenth of its processors
	TaskStopped
	TaskLost // its worker or its lease has ended
)

// ActionKind is the kind of operation that the platform is to perform on a task.
type ActionKind int

// Kinds of actions.
const (
	ActionStart ActionKind = iota + 1
	ActionCheckpoint
	ActionThrottle
	ActionStop
)

// Action is one operation that the platform is to perform on a task.
type Action struct {
	Kind    ActionKind
	Task    string
	Worker  string
	Attempt uint64 // with Kind and Task, forms the token of the call
}

// CannotRun reports a job that can never run as declared, since no worker or quota fits it.
type CannotRun struct {
	Job, Reason string
}

// Quarantined reports a worker that receives no tasks because tasks fail on it and
// succeed on other workers.
type Quarantined struct {
	Worker, Pool, Reason string
}

// JobSettings holds the limits and timeouts of the scheduler.
type JobSettings struct {
	// CheckpointTimeout and ThrottleTimeout limit the first two steps of preemption.
	// With a control interval of 500 ms, their sum leaves time for the stop and the
	// start within the 4.6 s in which an urgent task must start.
	CheckpointTimeout, ThrottleTimeout time.Duration
	// ResendAfter is the time after which an unanswered stop is sent again and a
	// throttled task is stopped even if no urgent task waits on its worker. A
	// reservation expires this long after the timeouts of checkpoint and throttle.
	ResendAfter time.Duration
	// UsageSettleTime is how long a task must have run before its usage may lower the
	// size of its job's tasks.
	UsageSettleTime time.Duration
	// HeadroomPercent is added to observed usage.
	HeadroomPercent int64
	// FailureLimit is the number of consecutive failures after which a worker is
	// quarantined if one of the jobs that failed on it succeeds on another worker.
	FailureLimit int
	// QuarantineDuration is how long a worker stays in quarantine.
	QuarantineDuration time.Duration
	// HealthyAfter is the run time after which a task counts as a success of its worker.
	HealthyAfter time.Duration
	// CancelsPerSecond limits the rate at which cancelled tasks of one pool are stopped.
	CancelsPerSecond int
}

// DefaultJobSettings returns settings for a control interval of 500 ms.
func DefaultJobSettings() JobSettings {
	return JobSettings{
		CheckpointTimeout:  2 * time.Second,
		ThrottleTimeout:    time.Second,
		ResendAfter:        5 * time.Second,
		UsageSettleTime:    time.Minute,
		HeadroomPercent:    20,
		FailureLimit:       3,
		QuarantineDuration: 30 * time.Minute,
		HealthyAfter:       30 * time.Second,
		CancelsPerSecond:   20,
	}
}
