package control

import (
	"context"
	"time"

	"marjoramtiller.example/marjoramtiller/process/platform"
	"marjoramtiller.example/marjoramtiller/version/drainer"
	"marjoramtiller.example/marjoramtiller/version/fleet"
	"marjoramtiller.example/marjoramtiller/version/fleetpb"
	"marjoramtiller.example/marjoramtiller/version/plan"
)

// taskLease is how long the platform lets a worker's tasks run without a
// renewal. It outlasts an election and a restart of all control processes.
const taskLease = 2 * time.Minute

// downPolls is the number of polls in a row that must report a worker as down
// before its host counts as failed; a single report may be a restart.
const downPolls = 2

// jobRunner connects the job scheduler to the fleet and the platform for one
// term. Guarded by Server.mu.
type jobRunner struct {
	scheduler *plan.Scheduler
	adopted   bool
	jobs      map[string]uint64 // job to the modified version that the scheduler has
	teams     map[string]uint64
	hosts     map[string]plan.Worker
	// hostsLoaded: hosts are those of version hostsAt and of the latest reports.
	hostsLoaded bool
	hostsAt     uint64
	workers     map[string]*workerReport
	polled      time.Duration // when the last complete poll of workers was sent
	rebooted    map[string]time.Duration
	renewed     map[string]time.Duration
	calls       []taskCall
	placed      map[string]*fleetpb.Task // task to its unfinished attempt in the fleet
}

type workerReport struct {
	up   bool
	down int // polls in a row that reported the worker as down
}

// taskCall is a step that the platform is to take; it is sent again until confirmed.
type taskCall struct {
	kind plan.ActionKind
	task *fleetpb.Task
	job  *fleetpb.Job
}

func newJobRunner(Options) *jobRunner {
	return &jobRunner{
		scheduler: plan.NewScheduler(plan.DefaultJobSettings()),
		jobs:      make(map[string]uint64),
		teams:     make(map[string]uint64),
		hosts:     make(map[string]plan.Worker),
		workers:   make(map[string]*workerReport),
		rebooted:  make(map[string]time.Duration),
		renewed:   make(map[string]time.Duration),
		placed:    make(map[string]*fleetpb.Task),
	}
}

// evict asks the platform to checkpoint the tasks of hosts that drain; the
// scheduler places them elsewhere once they have ended.
func (r *jobRunner) evict(requests []drainer.TaskRequest) {
	for _, q := range requests {
		if t := r.placed[q.Task]; t != nil && t.GetAttempt() == q.Attempt {
			r.calls = append(r.calls, taskCall{kind: plan.ActionCheckpoint, task: t})
		}
	}
}

// workerUp reports whether a host's worker is back. For a host in maintenance
// that is a poll sent after the reboot was confirmed.
func (s *Server) workerUp(t *term, f *fleet.Fleet, host string) bool {
	h := f.Host(host)
	if s.o.Platform == nil {
		return s.announcedSince(f, h)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	w := t.jobs.workers[host]
	if w == nil || !w.up {
		return false
	}
	if h.GetState() != fleetpb.HostState_HOST_STATE_OUT {
		return true
	}
	at, ok := t.jobs.rebooted[rebootToken(h)]
	return ok && t.jobs.polled > at
}

// announcedSince stands in for the platform where there is none: a host is back
// when a backend server on it has registered after the host went out.
func (s *Server) announcedSince(f *fleet.Fleet, h *fleetpb.Host) bool {
	for b := range f.HostServers(h.GetName()) {
		if !b.GetLeaving() && b.GetModifiedVersion() > h.GetModifiedVersion() {
			return true
		}
	}
	return false
}

// rebootToken is the same for every leader, so that a host reboots once in each maintenance.
func rebootToken(h *fleetpb.Host) string {
	return platform.Token(h.GetName(), h.GetEpoch(), "reboot")
}

// reconcileJobs brings the scheduler in line with the fleet, records its
// decisions in the fleet and queues the platform's steps.
func (s *Server) reconcileJobs(ctx context.Context, t *term) {
	if s.o.Platform == nil {
		return
	}
	var commands []*fleetpb.Task
	var calls []taskCall
	s.viewFleet(func(f *fleet.Fleet) {
		s.mu.Lock()
		defer s.mu.Unlock()
		r := t.jobs
		if r.polled == 0 {
			return // no worker's state is known yet
		}
		r.load(f, s.clock.Now())
		for _, a := range r.scheduler.Decide(s.clock.Now()) {
			call, command := r.translate(f, a)
			if command != nil {
				commands = append(commands, command)
			}
			if call.task != nil {
				calls = append(calls, call)
			}
		}
	})
	for _, c := range commands {
		if !s.submit(ctx, &fleetpb.Command{Body: &fleetpb.Command_TaskSteps{TaskSteps: &fleetpb.TaskSteps{Tasks: []*fleetpb.Task{c}}}}) {
			s.mu.Lock()
			t.jobs.scheduler.Event(c.GetName(), plan.TaskLost)
			s.mu.Unlock()
			calls = dropCalls(calls, c)
		}
	}
	s.mu.Lock()
	t.jobs.calls = append(t.jobs.calls, calls...)
	for _, c := range calls {
		t.jobs.placed[c.task.GetName()] = c.task
	}
	s.mu.Unlock()
}

func dropCalls(calls []taskCall, refused *fleetpb.Task) []taskCall {
	kept := calls[:0]
	for _, c := range calls {
		if c.task != refused {
			kept = append(kept, c)
		}
	}
	return kept
}

// load passes on what changed in the fleet since the last call.
func (r *jobRunner) load(f *fleet.Fleet, now time.Duration) {
	for x := range f.Teams() {
		if r.teams[x.GetName()] != x.GetModifiedVersion() {
			r.teams[x.GetName()] = x.GetModifiedVersion()
			r.scheduler.SetTeam(plan.Team{Name: x.GetName(), Quota: resources(x.GetQuotaCores(), x.GetQuotaMemoryGb(), x.GetQuotaAccelerators())})
		}
	}
	r.loadHosts(f)
	r.loadJobs(f)
	if !r.adopted {
		r.adopted = true
		r.adopt(f, now)
	}
}

// loadHosts passes on the hosts, unless neither the fleet nor a worker's state has
// changed since the last call.
func (r *jobRunner) loadHosts(f *fleet.Fleet) {
	if r.hostsLoaded && r.hostsAt == f.Version() {
		return
	}
	r.hostsLoaded, r.hostsAt = true, f.Version()
	seen := make(map[string]bool)
	for h := range f.Hosts() {
		seen[h.GetName()] = true
		report := r.workers[h.GetName()]
		w := plan.Worker{
			Name:     h.GetName(),
			Pool:     h.GetPool(),
			Capacity: resources(h.GetCores(), h.GetMemoryGb(), h.GetAccelerators()),
			Up:       h.GetState() == fleetpb.HostState_HOST_STATE_ACTIVE && report != nil && report.up,
		}
		if r.hosts[h.GetName()] != w {
			r.hosts[h.GetName()] = w
			r.scheduler.SetWorker(w)
		}
	}
	for name := range r.hosts {
		if !seen[name] {
			delete(r.hosts, name)
			r.scheduler.RemoveWorker(name)
		}
	}
}

func (r *jobRunner) loadJobs(f *fleet.Fleet) {
	seen := make(map[string]bool)
	for j := range f.Jobs() {
		seen[j.GetName()] = true
		if r.jobs[j.GetName()] == j.GetModifiedVersion() {
			continue
		}
		accepted := r.scheduler.SetJob(plan.Job{
			Name:   j.GetName(),
			Pool:   j.GetPool(),
			Team:   j.GetTeam(),
			Count:  int(j.GetCount()),
			Size:   resources(j.GetCores(), j.GetMemoryGb(), j.GetAccelerators()),
			Urgent: j.GetUrgent(),
		})
		if accepted {
			r.jobs[j.GetName()] = j.GetModifiedVersion()
		}
	}
	for name := range r.jobs {
		if !seen[name] {
			delete(r.jobs, name)
			r.scheduler.CancelJob(name)
		}
	}
}

// adopt takes over the tasks that an earlier leader placed. A task that the
// platform does not know is found lost at the next poll.
func (r *jobRunner) adopt(f *fleet.Fleet, now time.Duration) {
	for x := range f.Tasks() {
		switch x.GetState() {
		case fleetpb.TaskState_TASK_STATE_PLACED, fleetpb.TaskState_TASK_STATE_RUNNING, fleetpb.TaskState_TASK_STATE_CHECKPOINTING:
			if r.scheduler.Adopt(x.GetName(), x.GetHost(), now, x.GetAttempt()) {
				r.placed[x.GetName()] = x
			}
			if x.GetState() == fleetpb.TaskState_TASK_STATE_PLACED {
				r.calls = append(r.calls, taskCall{kind: plan.ActionStart, task: x, job: f.Job(x.GetJob())})
			}
		}
	}
}

// translate turns a scheduler's action into a platform call and, for a start,
// the command that records it first. The fleet numbers the attempts, since a
// new leader's scheduler counts from one again.
func (r *jobRunner) translate(f *fleet.Fleet, a plan.Action) (taskCall, *fleetpb.Task) {
	if a.Kind != plan.ActionStart {
		return taskCall{kind: a.Kind, task: r.placed[a.Task]}, nil
	}
	known := f.Task(a.Task)
	x := &fleetpb.Task{
		Name:    a.Task,
		Job:     jobOf(a.Task),
		Host:    a.Worker,
		State:   fleetpb.TaskState_TASK_STATE_PLACED,
		Attempt: known.GetAttempt() + 1,
	}
	return taskCall{kind: a.Kind, task: x, job: f.Job(x.Job)}, x
}

func jobOf(task string) string {
	for i := len(task) - 1; i >= 0; i-- {
		if task[i] == '/' {
			return task[:i]
		}
	}
	return task
}

func resources(cores, memoryGB, accelerators uint32) plan.Resources {
	return plan.Resources{
		MilliCores:   int64(cores) * 1000,
		MemoryMB:     int64(memoryGB) * 1024,
		Accelerators: int64(accelerators),
	}
}
