package fleet

import (
	"fmt"
	"strconv"
	"strings"

	"google.golang.org/protobuf/proto"

	"marjoramtiller.example/marjoramtiller/version/fleetpb"
)

// taskSteps applies the steps of all tasks. A fault in one rolls back the command.
func (t *tx) taskSteps(steps *fleetpb.TaskSteps) {
	for _, task := range steps.GetTasks() {
		t.taskStep(task)
	}
}

// taskStep applies a step of one task. A task has at most one unfinished attempt:
// a new attempt must have a greater number, and starts only after the current
// one has ended.
func (t *tx) taskStep(task *fleetpb.Task) {
	id := objectID{fleetpb.Tombstone_KIND_TASK, task.Name}
	old := t.fleet.Task(task.Name)
	switch {
	case task.State == fleetpb.TaskState_TASK_STATE_UNSPECIFIED:
		t.addFault(id, "state", "it is not set: plan again")
	case old == nil || task.Attempt > old.Attempt:
		t.startAttempt(id, old, task)
	case task.Attempt < old.Attempt:
		t.addFault(id, "attempt", fmt.Sprintf("attempt %d is over, the task is at %d: plan again", task.Attempt, old.Attempt))
	default:
		t.continueAttempt(id, old, task)
	}
}

func (t *tx) startAttempt(id objectID, old, task *fleetpb.Task) {
	job := t.fleet.Job(task.Job)
	host := t.fleet.Host(task.Host)
	switch {
	case task.Attempt == 0:
		t.addFault(id, "attempt", "it is 0: number attempts from 1")
	case old != nil && !finished(old.State):
		t.addFault(id, "attempt", fmt.Sprintf("attempt %d is unfinished: stop it before another starts", old.Attempt))
	case task.State != fleetpb.TaskState_TASK_STATE_PLACED:
		t.addFault(id, "state", "a new attempt starts as placed: plan again")
	case job == nil:
		t.addFault(id, "job", fmt.Sprintf("job %q does not exist: plan again", task.Job))
	case !isTaskOf(task.Name, task.Job):
		t.addFault(id, "name", "it is not the job's name, a slash and a number: plan again")
	case host == nil:
		t.addFault(id, "host", fmt.Sprintf("host %q does not exist: plan again", task.Host))
	case host.State != fleetpb.HostState_HOST_STATE_ACTIVE:
		t.addFault(id, "host", "host "+host.Name+" is "+stateName(host.State)+": place the task on an active host")
	case host.Pool != job.Pool:
		t.addFault(id, "host", "host "+host.Name+" is in pool "+host.Pool+", the job in "+job.Pool+": place the task on a host of that pool")
	default:
		t.storeAttempt(task)
	}
}

// isTaskOf reports whether a task's name is the job's name, a slash and a number.
func isTaskOf(task, job string) bool {
	number, ok := strings.CutPrefix(task, job+"/")
	if !ok {
		return false
	}
	_, err := strconv.ParseUint(number, 10, 32)
	return err == nil
}

func (t *tx) continueAttempt(id objectID, old, task *fleetpb.Task) {
	switch {
	case task.Host != old.Host || task.Job != old.Job:
		t.addFault(id, "host", fmt.Sprintf("attempt %d runs on host %s: use a new attempt to move it", old.Attempt, old.Host))
	case task.State == old.State:
	case finished(old.State):
		t.addFault(id, "state", "the attempt has ended: use a new attempt")
	case task.State == fleetpb.TaskState_TASK_STATE_PLACED:
		t.addFault(id, "state", "the attempt is past placed: plan again")
	case finished(task.State) && t.fleet.Job(task.Job) == nil:
		t.setTask(task.Name, nil)
	default:
		t.storeAttempt(task)
	}
}

func (t *tx) storeAttempt(task *fleetpb.Task) {
	updated := proto.Clone(task).(*fleetpb.Task)
	updated.StateSinceUnixMs = t.fleet.nowMs
	t.setTask(updated.Name, updated)
}
