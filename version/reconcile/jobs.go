package reconcile

import (
	"strings"
	"time"

	"marjoramtiller.example/marjoramtiller/version/drainer"
	"marjoramtiller.example/marjoramtiller/version/fleet"
	"marjoramtiller.example/marjoramtiller/version/fleetpb"
	"marjoramtiller.example/marjoramtiller/version/plan"
)

// Jobs connects the job scheduler to the fleet for one leader's term. It decides
// only; the caller takes its steps to the fleet and the platform and reports what
// was confirmed. Times are since the caller's start. It is not safe for
// concurrent use.
type Jobs struct {
	scheduler *plan.Scheduler
	adopted   bool
	jobs      map[string]uint64 // job to the modified version that the scheduler has
	teams     map[string]uint64
	hosts     map[string]plan.Worker
	hostsAt   uint64 // version of the fleet that hosts are of
	calls     []Call
	asked     map[string]uint64        // task to the attempt that was asked to checkpoint
	placed    map[string]*fleetpb.Task // task to its unfinished attempt in the fleet
	renewed   map[string]time.Duration // worker to the last renewal of its lease
	workers
}

// Call is a step that the platform is to take. It is repeated until confirmed.
type Call struct {
	Kind plan.ActionKind
	Task *fleetpb.Task
	Job  *fleetpb.Job
}

// NewJobs returns the state of a leader that has seen nothing yet.
func NewJobs(settings plan.JobSettings) *Jobs {
	return &Jobs{
		scheduler: plan.NewScheduler(settings),
		jobs:      make(map[string]uint64),
		teams:     make(map[string]uint64),
		hosts:     make(map[string]plan.Worker),
		asked:     make(map[string]uint64),
		placed:    make(map[string]*fleetpb.Task),
		renewed:   make(map[string]time.Duration),
		workers:   newWorkers(),
	}
}

// Evict asks for checkpoints of the tasks of hosts that drain, once for each
// attempt. The scheduler places them elsewhere once they have ended.
func (j *Jobs) Evict(requests []drainer.TaskRequest) {
	for _, q := range requests {
		t := j.placed[q.Task]
		if t == nil || t.GetAttempt() != q.Attempt || j.asked[q.Task] == q.Attempt {
			continue
		}
		j.asked[q.Task] = q.Attempt
		j.calls = append(j.calls, Call{Kind: plan.ActionCheckpoint, Task: t})
	}
}

// Decide returns the steps with which the fleet is to record new attempts. The
// platform starts an attempt only after Recorded.
func (j *Jobs) Decide(f *fleet.Fleet, now time.Duration) []Call {
	if !j.known() {
		return nil
	}
	j.load(f, now)
	var starts []Call
	for _, a := range j.scheduler.Decide(now) {
		if a.Kind != plan.ActionStart {
			if t := j.placed[a.Task]; t != nil {
				j.calls = append(j.calls, Call{Kind: a.Kind, Task: t})
			}
			continue
		}
		starts = append(starts, start(f, a))
	}
	return starts
}

// start numbers an attempt by the fleet, since a new leader's scheduler counts
// from one again.
func start(f *fleet.Fleet, a plan.Action) Call {
	name := a.Task[:strings.LastIndexByte(a.Task, '/')]
	return Call{Kind: a.Kind, Job: f.Job(name), Task: &fleetpb.Task{
		Name: a.Task, Job: name, Host: a.Worker,
		State: fleetpb.TaskState_TASK_STATE_PLACED, Attempt: f.Task(a.Task).GetAttempt() + 1,
	}}
}

// Recorded takes the fleet's answer to a start. One that the fleet refused, or
// that was not confirmed, is scheduled again.
func (j *Jobs) Recorded(c Call, ok bool) {
	if !ok {
		j.scheduler.Event(c.Task.GetName(), plan.TaskLost)
		return
	}
	j.placed[c.Task.GetName()] = c.Task
	j.calls = append(j.calls, c)
}

// TakeCalls returns the calls that wait to be made.
func (j *Jobs) TakeCalls() []Call {
	calls := j.calls
	j.calls = nil
	return calls
}

// Repeat queues a call again that was not confirmed, unless its attempt is over.
func (j *Jobs) Repeat(c Call) {
	if x := j.placed[c.Task.GetName()]; x != nil && x.GetAttempt() == c.Task.GetAttempt() {
		j.calls = append(j.calls, c)
	}
}

// load passes on what changed in the fleet since the last call.
func (j *Jobs) load(f *fleet.Fleet, now time.Duration) {
	for x := range f.Teams() {
		if j.teams[x.GetName()] != x.GetModifiedVersion() {
			j.teams[x.GetName()] = x.GetModifiedVersion()
			j.scheduler.SetTeam(plan.Team{Name: x.GetName(), Quota: Resources(x.GetQuotaCores(), x.GetQuotaMemoryGb(), x.GetQuotaAccelerators())})
		}
	}
	j.loadHosts(f)
	j.loadJobs(f)
	if !j.adopted {
		j.adopted = true
		j.adopt(f, now)
	}
}

// loadHosts passes on the hosts, unless neither the fleet nor a worker's state has
// changed since the last call.
func (j *Jobs) loadHosts(f *fleet.Fleet) {
	if j.adopted && !j.changed && j.hostsAt == f.Version() {
		return
	}
	j.changed, j.hostsAt = false, f.Version()
	for h := range f.Hosts() {
		w := plan.Worker{
			Name:     h.GetName(),
			Pool:     h.GetPool(),
			Capacity: Resources(h.GetCores(), h.GetMemoryGb(), h.GetAccelerators()),
			Up:       active(h) && j.up(h.GetName()),
		}
		if j.hosts[h.GetName()] != w {
			j.hosts[h.GetName()] = w
			j.scheduler.SetWorker(w)
		}
	}
	for name := range j.hosts {
		if f.Host(name) == nil {
			delete(j.hosts, name)
			j.scheduler.RemoveWorker(name)
		}
	}
}

func (j *Jobs) loadJobs(f *fleet.Fleet) {
	for x := range f.Jobs() {
		if j.jobs[x.GetName()] == x.GetModifiedVersion() {
			continue
		}
		accepted := j.scheduler.SetJob(plan.Job{
			Name:   x.GetName(),
			Pool:   x.GetPool(),
			Team:   x.GetTeam(),
			Count:  int(x.GetCount()),
			Size:   Resources(x.GetCores(), x.GetMemoryGb(), x.GetAccelerators()),
			Urgent: x.GetUrgent(),
		})
		if accepted {
			j.jobs[x.GetName()] = x.GetModifiedVersion()
		}
	}
	for name := range j.jobs {
		if f.Job(name) == nil {
			delete(j.jobs, name)
			j.scheduler.CancelJob(name)
		}
	}
}

// adopt takes over the tasks that an earlier leader placed. It may have stopped
// between the record of an attempt and its start, so starts are repeated.
func (j *Jobs) adopt(f *fleet.Fleet, now time.Duration) {
	for x := range f.Tasks() {
		switch x.GetState() {
		case fleetpb.TaskState_TASK_STATE_PLACED, fleetpb.TaskState_TASK_STATE_RUNNING, fleetpb.TaskState_TASK_STATE_CHECKPOINTING:
		default:
			continue
		}
		if j.scheduler.Adopt(x.GetName(), x.GetHost(), now, x.GetAttempt()) {
			j.placed[x.GetName()] = x
		}
		if x.GetState() == fleetpb.TaskState_TASK_STATE_PLACED {
			j.calls = append(j.calls, Call{Kind: plan.ActionStart, Task: x, Job: f.Job(x.GetJob())})
		}
	}
}

// TaskReport is what the platform says of an attempt.
type TaskReport struct {
	Task    string
	Attempt uint64
	Event   plan.TaskEvent // 0: it runs
	State   fleetpb.TaskState
	Usage   plan.Usage // At is 0 while nothing was observed
}

// Observed is a change of an attempt's state that the fleet is to record.
type Observed struct {
	Step  *fleetpb.Task
	event plan.TaskEvent
}

// ObserveTasks passes usage to the scheduler and returns the attempts whose state
// changed. Each is returned again until Confirm, so that a change is not lost when
// the fleet does not confirm it.
func (j *Jobs) ObserveTasks(reports []TaskReport) []Observed {
	var out []Observed
	for _, x := range reports {
		known := j.placed[x.Task]
		if known == nil || known.GetAttempt() != x.Attempt {
			continue
		}
		if x.Usage.At != 0 {
			j.scheduler.Report(x.Usage)
		}
		if x.State == known.GetState() {
			j.event(x.Task, x.Event)
			continue
		}
		step := &fleetpb.Task{Name: known.GetName(), Job: known.GetJob(), Host: known.GetHost(), Attempt: known.GetAttempt(), State: x.State}
		out = append(out, Observed{Step: step, event: x.Event})
	}
	return out
}

// Confirm takes over a change that the fleet has recorded.
func (j *Jobs) Confirm(o Observed) {
	name := o.Step.GetName()
	j.placed[name] = o.Step
	if ended(o.Step.GetState()) {
		delete(j.placed, name)
		delete(j.asked, name)
	}
	j.event(name, o.event)
}

func (j *Jobs) event(task string, e plan.TaskEvent) {
	if e != 0 {
		j.scheduler.Event(task, e)
	}
}

func ended(s fleetpb.TaskState) bool {
	switch s {
	case fleetpb.TaskState_TASK_STATE_STOPPED, fleetpb.TaskState_TASK_STATE_FAILED, fleetpb.TaskState_TASK_STATE_DONE:
		return true
	}
	return false
}

// LeasesDue returns the workers that run tasks and whose lease was last renewed
// at least every ago.
func (j *Jobs) LeasesDue(now, every time.Duration) []string {
	due := make(map[string]bool)
	var out []string
	for _, x := range j.placed {
		at, ok := j.renewed[x.GetHost()]
		if (!ok || now-at >= every) && !due[x.GetHost()] {
			due[x.GetHost()] = true
			out = append(out, x.GetHost())
		}
	}
	return out
}

// Renewed notes the renewal of a worker's lease.
func (j *Jobs) Renewed(worker string, at time.Duration) { j.renewed[worker] = at }

// CannotRun lists the jobs that fit no worker, with the reason.
func (j *Jobs) CannotRun() []plan.CannotRun { return j.scheduler.CannotRun() }

// Quarantined lists the workers that get no tasks because they fail them.
func (j *Jobs) Quarantined() []plan.Quarantined { return j.scheduler.Quarantined() }

// Resources converts declared sizes to the scheduler's units.
func Resources(cores, memoryGB, accelerators uint32) plan.Resources {
	return plan.Resources{
		MilliCores:   int64(cores) * 1000,
		MemoryMB:     int64(memoryGB) * 1024,
		Accelerators: int64(accelerators),
	}
}
