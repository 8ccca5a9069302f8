package fleet

import (
	"fmt"
	"strconv"
	"strings"

	"google.golang.org/protobuf/proto"

	"marjoramtiller.example/marjoramtiller/version/fleetpb"
)

// taskSteps applies all steps or none.
func (t *tx) taskSteps(steps *fleetpb.TaskSteps) {
	for _, v := range steps.GetTasks() {
		t.taskStep(v)
	}
}

// taskStep moves one task. A task has one attempt at a time: a new one starts
// only after the present one has ended, and with a greater number.
func (t *tx) taskStep(v *fleetpb.Task) {
	id := objectID{fleetpb.Tombstone_KIND_TASK, v.Name}
	old := t.f.Task(v.Name)
	switch {
	case v.State == fleetpb.TaskState_TASK_STATE_UNSPECIFIED:
		t.fault(id, "state", "it is not set: plan again")
	case old == nil || v.Attempt > old.Attempt:
		t.startAttempt(id, old, v)
	case v.Attempt < old.Attempt:
		t.fault(id, "attempt", fmt.Sprintf("attempt %d is over, the task is at %d: plan again", v.Attempt, old.Attempt))
	default:
		t.continueAttempt(id, old, v)
	}
}

func (t *tx) startAttempt(id objectID, old, v *fleetpb.Task) {
	job := t.f.Job(v.Job)
	host := t.f.Host(v.Host)
	switch {
	case v.Attempt == 0:
		t.fault(id, "attempt", "it is 0: number attempts from 1")
	case old != nil && !finished(old.State):
		t.fault(id, "attempt", fmt.Sprintf("attempt %d is unfinished: stop it before another starts", old.Attempt))
	case v.State != fleetpb.TaskState_TASK_STATE_PLACED:
		t.fault(id, "state", "a new attempt starts as placed: plan again")
	case job == nil:
		t.fault(id, "job", fmt.Sprintf("job %q does not exist: plan again", v.Job))
	case !taskOf(v.Name, v.Job):
		t.fault(id, "name", "it is not the job's name, a slash and a number: plan again")
	case host == nil:
		t.fault(id, "host", fmt.Sprintf("host %q does not exist: plan again", v.Host))
	case host.State != fleetpb.HostState_HOST_STATE_ACTIVE:
		t.fault(id, "host", "host "+host.Name+" is "+stateName(host.State)+": place the task on an active host")
	case host.Pool != job.Pool:
		t.fault(id, "host", "host "+host.Name+" is in pool "+host.Pool+", the job in "+job.Pool+": place the task on a host of that pool")
	default:
		t.storeAttempt(v)
	}
}

func taskOf(task, job string) bool {
	number, ok := strings.CutPrefix(task, job+"/")
	if !ok {
		return false
	}
	_, err := strconv.ParseUint(number, 10, 32)
	return err == nil
}

func (t *tx) continueAttempt(id objectID, old, v *fleetpb.Task) {
	switch {
	case v.Host != old.Host || v.Job != old.Job:
		t.fault(id, "host", fmt.Sprintf("attempt %d runs on host %s: use a new attempt to move it", old.Attempt, old.Host))
	case v.State == old.State:
	case finished(old.State):
		t.fault(id, "state", "the attempt has ended: use a new attempt")
	case v.State == fleetpb.TaskState_TASK_STATE_PLACED:
		t.fault(id, "state", "the attempt is past placed: plan again")
	case finished(v.State) && t.f.Job(v.Job) == nil:
		t.setTask(v.Name, nil)
	default:
		t.storeAttempt(v)
	}
}

func (t *tx) storeAttempt(v *fleetpb.Task) {
	n := proto.Clone(v).(*fleetpb.Task)
	n.StateSinceUnixMs = t.f.nowMs
	t.setTask(n.Name, n)
}
