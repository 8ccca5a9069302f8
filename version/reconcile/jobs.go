package reconcile

import (
	"strings"
	"time"

	"marjoramtiller.example/marjoramtiller/version/drainer"
	"marjoramtiller.example/marjoramtiller/version/fleet"
	"marjoramtiller.example/marjoramtiller/version/fleetpb"
	"marjoramtiller.example/marjoramtiller/version/plan"
)

// Jobs connects the job scheduler to the fleet for one leader's term. It only
// computes steps; the caller sends them to the fleet and the platform and reports
// which were confirmed. Times are measured from the caller's start. It is not safe for
// concurrent use.
type Jobs struct {
	scheduler         *plan.Scheduler
	adopted           bool
	jobVersions       map[string]uint64 // modified version that the scheduler has, by job
	teamVersions      map[string]uint64
	hosts             map[string]plan.Worker
	hostsVersion      uint64 // fleet version from which hosts was loaded
	calls             []Call
	checkpointAttempt map[string]uint64        // attempt that was asked to checkpoint, by task
	placed            map[string]*fleetpb.Task // unfinished attempt in the fleet, by task
	leaseRenewedAt    map[string]time.Duration // last renewal of the lease, by worker
	workers
}

// Call is a request to the platform. The caller repeats it until it is confirmed.
type Call struct {
	Kind plan.ActionKind
	Task *fleetpb.Task
	Job  *fleetpb.Job
}

// NewJobs returns the state of a new leader, before any poll or load.
func NewJobs(settings plan.JobSettings) *Jobs {
	return &Jobs{
		scheduler:         plan.NewScheduler(settings),
		jobVersions:       make(map[string]uint64),
		teamVersions:      make(map[string]uint64),
		hosts:             make(map[string]plan.Worker),
		checkpointAttempt: make(map[string]uint64),
		placed:            make(map[string]*fleetpb.Task),
		leaseRenewedAt:    make(map[string]time.Duration),
		workers:           newWorkers(),
	}
}

// Evict queues checkpoint calls for the tasks of draining hosts, once for each
// attempt. The scheduler places the tasks on other hosts after they have ended.
func (j *Jobs) Evict(requests []drainer.TaskRequest) {
	for _, q := range requests {
		t := j.placed[q.Task]
		if t == nil || t.GetAttempt() != q.Attempt || j.checkpointAttempt[q.Task] == q.Attempt {
			continue
		}
		j.checkpointAttempt[q.Task] = q.Attempt
		j.calls = append(j.calls, Call{Kind: plan.ActionCheckpoint, Task: t})
	}
}

// Decide returns the new attempts that the fleet must record. The call that
// starts an attempt on the platform is queued only by StartRecorded.
func (j *Jobs) Decide(f *fleet.Fleet, now time.Duration) []Call {
	if !j.hasCompletePoll() {
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
		starts = append(starts, startCall(f, a))
	}
	return starts
}

// startCall numbers an attempt from the fleet's last attempt, because the scheduler
// of a new leader counts from one again.
func startCall(f *fleet.Fleet, a plan.Action) Call {
	name := a.Task[:strings.LastIndexByte(a.Task, '/')]
	return Call{Kind: a.Kind, Job: f.Job(name), Task: &fleetpb.Task{
		Name: a.Task, Job: name, Host: a.Worker,
		State: fleetpb.TaskState_TASK_STATE_PLACED, Attempt: f.Task(a.Task).GetAttempt() + 1,
	}}
}

// StartRecorded handles the fleet's result for a start. A start that the fleet
// refused or did not confirm is scheduled again.
func (j *Jobs) StartRecorded(c Call, ok bool) {
	if !ok {
		j.scheduler.Event(c.Task.GetName(), plan.TaskLost)
		return
	}
	j.placed[c.Task.GetName()] = c.Task
	j.calls = append(j.calls, c)
}

// TakeCalls returns the queued calls and empties the queue.
func (j *Jobs) TakeCalls() []Call {
	calls := j.calls
	j.calls = nil
	return calls
}

// Repeat queues an unconfirmed call again, unless its attempt has ended.
func (j *Jobs) Repeat(c Call) {
	if x := j.placed[c.Task.GetName()]; x != nil && x.GetAttempt() == c.Task.GetAttempt() {
		j.calls = append(j.calls, c)
	}
}

// load passes to the scheduler what changed in the fleet since the last call.
func (j *Jobs) load(f *fleet.Fleet, now time.Duration) {
	for x := range f.Teams() {
		if j.teamVersions[x.GetName()] != x.GetModifiedVersion() {
			j.teamVersions[x.GetName()] = x.GetModifiedVersion()
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

// loadHosts passes the hosts to the scheduler, unless neither the fleet nor a
// worker's state has changed since the last call.
func (j *Jobs) loadHosts(f *fleet.Fleet) {
	if j.adopted && !j.changed && j.hostsVersion == f.Version() {
		return
	}
	j.changed, j.hostsVersion = false, f.Version()
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
		if j.jobVersions[x.GetName()] == x.GetModifiedVersion() {
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
			j.jobVersions[x.GetName()] = x.GetModifiedVersion()
		}
	}
	for name := range j.jobVersions {
		if f.Job(name) == nil {
			delete(j.jobVersions, name)
			j.scheduler.CancelJob(name)
		}
	}
}

// adopt registers the tasks that an earlier leader placed. That leader may have
// stopped after an attempt was recorded and before it was started, so the start
// calls of placed tasks are queued again.
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

// TaskReport is the platform's report on an attempt.
type TaskReport struct {
	Task    string
	Attempt uint64
	Event   plan.TaskEvent // 0 while the attempt runs
	State   fleetpb.TaskState
	Usage   plan.Usage // At is 0 while nothing was observed
}

// Observed is a change of an attempt's state that the fleet must record.
type Observed struct {
	Step  *fleetpb.Task
	event plan.TaskEvent
}

// ObserveTasks passes usage to the scheduler and returns the attempts whose state
// changed. A change is returned by each call until Confirm is called for it, so
// that it is not lost if the fleet does not confirm it.
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
			j.notifyScheduler(x.Task, x.Event)
			continue
		}
		step := &fleetpb.Task{Name: known.GetName(), Job: known.GetJob(), Host: known.GetHost(), Attempt: known.GetAttempt(), State: x.State}
		out = append(out, Observed{Step: step, event: x.Event})
	}
	return out
}

// Confirm applies a change that the fleet has recorded.
func (j *Jobs) Confirm(o Observed) {
	name := o.Step.GetName()
	j.placed[name] = o.Step
	if ended(o.Step.GetState()) {
		delete(j.placed, name)
		delete(j.checkpointAttempt, name)
	}
	j.notifyScheduler(name, o.event)
}

func (j *Jobs) notifyScheduler(task string, e plan.TaskEvent) {
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

// LeasesDue returns the workers that run tasks and whose lease was never
// renewed or was last renewed at least the duration every before now.
func (j *Jobs) LeasesDue(now, every time.Duration) []string {
	due := make(map[string]bool)
	var out []string
	for _, x := range j.placed {
		at, ok := j.leaseRenewedAt[x.GetHost()]
		if (!ok || now-at >= every) && !due[x.GetHost()] {
			due[x.GetHost()] = true
			out = append(out, x.GetHost())
		}
	}
	return out
}

// LeaseRenewed records the renewal of a worker's lease.
func (j *Jobs) LeaseRenewed(worker string, at time.Duration) { j.leaseRenewedAt[worker] = at }

// CannotRun lists the jobs that fit no worker, with the reason.
func (j *Jobs) CannotRun() []plan.CannotRun { return j.scheduler.CannotRun() }

// Quarantined lists the workers that receive no tasks because tasks fail on them.
func (j *Jobs) Quarantined() []plan.Quarantined { return j.scheduler.Quarantined() }

// Resources converts declared sizes to the scheduler's units.
func Resources(cores, memoryGB, accelerators uint32) plan.Resources {
	return plan.Resources{
		MilliCores:   int64(cores) * 1000,
		MemoryMB:     int64(memoryGB) * 1024,
		Accelerators: int64(accelerators),
	}
}
