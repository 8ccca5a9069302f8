package jobs

import (
	"fmt"

	"marjoramtiller.example/marjoramtiller/job/jobpb"
)

// Limits of a job.
const (
	maxSpecBytes = 4000
	maxSteps     = 1000
	maxTasks     = 10000 // of one step
	// Capacity and times are added up and multiplied as int64; these bounds are far above
	// what workers have, and keep the results in its range.
	maxTaskCapacity = 1 << 40 // millicores, MB or accelerators of one task
	maxTimeMs       = 1 << 53 // of a duration, or of Unix time
)

// CheckJob returns an *InvalidError if a job can't be accepted in any state of the
// scheduler.
func CheckJob(j *jobpb.Job) error {
	if len(j.GetSpec()) > maxSpecBytes {
		return invalid("spec has %d bytes, %d are allowed", len(j.Spec), maxSpecBytes)
	}
	if len(j.GetSteps()) == 0 || len(j.Steps) > maxSteps {
		return invalid("the job has %d steps, 1 to %d are allowed", len(j.GetSteps()), maxSteps)
	}
	for i, step := range j.Steps {
		if step.GetCount() == 0 || step.Count > maxTasks {
			return invalid("step %d has %d tasks, 1 to %d are allowed", i, step.GetCount(), maxTasks)
		}
		if max(step.CpuMillis, step.MemoryMb, step.Gpus) > maxTaskCapacity {
			return invalid("step %d requests more than %d millicores, MB or accelerators", i, uint64(maxTaskCapacity))
		}
		if max(step.EstimatedMs, step.TargetMs) > maxTimeMs {
			return invalid("step %d has a time above %d ms", i, uint64(maxTimeMs))
		}
		for _, before := range step.After {
			if int(before) >= i {
				return invalid("step %d is declared to run after step %d, which is not an earlier step", i, before)
			}
		}
	}
	return checkDueTimes(j)
}

// checkDueTimes returns an error if a due time of a job is not a time.
func checkDueTimes(j *jobpb.Job) error {
	last := int64(max(1, j.Repetitions)) - 1
	if j.FirstDueMs < 0 || j.FirstDueMs > maxTimeMs || j.IntervalMs < 0 || last > 0 && j.IntervalMs > (maxTimeMs-j.FirstDueMs)/last {
		return invalid("the job's first time, or that of its last repetition, is not from 0 to %d ms", int64(maxTimeMs))
	}
	return nil
}

func invalid(format string, args ...any) error {
	return &InvalidError{Reason: fmt.Sprintf(format, args...)}
}
