// Package platform provides a client for the platform that supplies workers. The client
// lists and reboots workers, and starts, checkpoints, throttles and stops tasks on them.
package platform

import (
	"context"
	"time"
)

// Worker is a machine of the platform.
type Worker struct {
	Name         string `json:"name"`
	Region       string `json:"region"`
	Zone         string `json:"zone"`
	Rack         string `json:"rack"`
	Cores        uint32 `json:"cores"`
	MemoryGB     uint32 `json:"memory_gb"`
	Accelerators uint32 `json:"accelerators"`
	// Up is false while the worker reboots or has failed.
	Up bool `json:"up"`
	// BootID changes at every boot.
	BootID string `json:"boot_id"`
}

// TaskState is the state of a task as the platform reports it.
type TaskState string

// Task states.
const (
	TaskRunning      TaskState = "running"
	TaskThrottled    TaskState = "throttled"
	TaskDone         TaskState = "done"
	TaskFailed       TaskState = "failed"
	TaskCheckpointed TaskState = "checkpointed"
	TaskStopped      TaskState = "stopped"
	TaskLost         TaskState = "lost" // its worker failed or was rebooted, or its lease expired
)

// Ended reports whether the task no longer holds resources.
func (s TaskState) Ended() bool { return s != TaskRunning && s != TaskThrottled }

// Task is one attempt of a task on a worker.
type Task struct {
	Name         string    `json:"name"`
	Worker       string    `json:"worker"`
	Attempt      uint64    `json:"attempt"`
	MilliCores   int64     `json:"milli_cores"`
	MemoryMB     int64     `json:"memory_mb"`
	Accelerators int64     `json:"accelerators"`
	RunSeconds   uint32    `json:"run_seconds"` // declared run time; 0: the task runs until it is stopped
	State        TaskState `json:"state"`
	// Usage is the last observed resource usage, which is Usage.Age old.
	Usage Usage `json:"usage"`
}

// Usage is an observation of a task's resource usage, which lags behind the task.
type Usage struct {
	MilliCores int64         `json:"milli_cores"`
	MemoryMB   int64         `json:"memory_mb"`
	Age        time.Duration `json:"age_ns"` // zero: nothing has been observed yet
}

// Platform is the interface to the platform. Apart from Renew, a call that changes
// something carries an idempotency token: a repeated token has no further effect and
// returns the same result, so every call can be repeated after a timeout. A task runs
// under a lease that Renew extends; the platform stops a task whose lease has expired.
type Platform interface {
	Workers(ctx context.Context) ([]Worker, error)
	Reboot(ctx context.Context, worker, token string) error
	Tasks(ctx context.Context) ([]Task, error)
	Start(ctx context.Context, t Task, lease time.Duration, token string) error
	Checkpoint(ctx context.Context, task, token string) error
	Throttle(ctx context.Context, task, token string) error
	Stop(ctx context.Context, task, token string) error
	Renew(ctx context.Context, worker string, lease time.Duration) error
}

// Token returns the idempotency token for one step of one attempt of a task.
func Token(task string, attempt uint64, step string) string {
	return task + "#" + utoa(attempt) + "#" + step
}
