package control

import (
	"context"
	"sync"
	"time"

	"marjoramtiller.example/marjoramtiller/process/platform"
	"marjoramtiller.example/marjoramtiller/version/fleet"
	"marjoramtiller.example/marjoramtiller/version/fleetpb"
	"marjoramtiller.example/marjoramtiller/version/plan"
	"marjoramtiller.example/marjoramtiller/version/reconcile"
)

const (
	callInterval       = 250 * time.Millisecond
	platformTimeout    = 5 * time.Second
	maxConcurrentCalls = 16
	// taskLease is how long the platform runs a worker's tasks without a renewal of
	// the lease. It is longer than an election and a restart of all control processes.
	taskLease           = 2 * time.Minute
	leaseRenewalDivisor = 4
)

// platformLoop polls workers and tasks and makes the queued calls to the platform
// while this process leads. It is separate from the reconcile loop, so that an
// unresponsive platform delays neither drains nor leases.
func (s *Server) platformLoop(ctx context.Context) {
	var polled time.Duration
	s.whileLeading(ctx, callInterval, func(t *term) {
		interval := platformInterval
		if s.anyHostOut() {
			interval = maintenanceInterval
		}
		if now := s.clock.Now(); polled == 0 || now-polled >= interval {
			s.pollPlatform(ctx, t)
			polled = now
		}
		s.rebootHosts(ctx, t)
		s.sendTaskCalls(ctx, t)
	})
}

// anyHostOut reports whether a host is out, so that its worker is expected to return.
func (s *Server) anyHostOut() bool {
	out := false
	s.viewFleet(func(f *fleet.Fleet) {
		for h := range f.Inactive() {
			out = out || h.GetState() == fleetpb.HostState_HOST_STATE_OUT
		}
	})
	return out
}

// pollPlatform reads the state of all workers and tasks from the platform.
func (s *Server) pollPlatform(ctx context.Context, t *term) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	requestedAt := s.clock.Now()
	workers, err := s.options.Platform.Workers(ctx)
	if err != nil {
		s.log.Warn().Err(err).Msg("reading the workers from the platform failed; maintenance and job starts are delayed until the next poll")
		return
	}
	tasks, err := s.options.Platform.Tasks(ctx)
	if err != nil {
		s.log.Warn().Err(err).Msg("reading the tasks from the platform failed; job starts are delayed until the next poll")
		return
	}
	up := make(map[string]bool, len(workers))
	for _, w := range workers {
		up[w.Name] = w.Up
	}
	s.mu.Lock()
	t.jobs.ObserveWorkers(up, requestedAt)
	changed := t.jobs.ObserveTasks(taskReports(tasks, requestedAt))
	s.mu.Unlock()
	for _, x := range changed {
		if s.submitTask(ctx, x.Step) {
			s.mu.Lock()
			t.jobs.Confirm(x)
			s.mu.Unlock()
		}
	}
	s.failHosts(ctx, t)
	s.renewLeases(ctx, t)
}

func taskReports(tasks []platform.Task, requestedAt time.Duration) []reconcile.TaskReport {
	var out []reconcile.TaskReport
	for _, x := range tasks {
		r := reconcile.TaskReport{Task: x.Name, Attempt: x.Attempt}
		r.Event, r.State = taskOutcome(x.State)
		if x.Usage.Age > 0 {
			r.Usage = plan.Usage{Task: x.Name, At: requestedAt - x.Usage.Age, Used: plan.Resources{MilliCores: x.Usage.MilliCores, MemoryMB: x.Usage.MemoryMB}}
		}
		out = append(out, r)
	}
	return out
}

// taskOutcome maps the platform's state of a task to the scheduler's event, or 0 if
// there is none, and to the fleet's state.
func taskOutcome(s platform.TaskState) (plan.TaskEvent, fleetpb.TaskState) {
	switch s {
	case platform.TaskDone:
		return plan.TaskDone, fleetpb.TaskState_TASK_STATE_DONE
	case platform.TaskFailed:
		return plan.TaskFailed, fleetpb.TaskState_TASK_STATE_FAILED
	case platform.TaskCheckpointed:
		return plan.TaskCheckpointed, fleetpb.TaskState_TASK_STATE_STOPPED
	case platform.TaskStopped:
		return plan.TaskStopped, fleetpb.TaskState_TASK_STATE_STOPPED
	case platform.TaskLost:
		return plan.TaskLost, fleetpb.TaskState_TASK_STATE_STOPPED
	case platform.TaskThrottled:
		return plan.TaskThrottled, fleetpb.TaskState_TASK_STATE_RUNNING
	default:
		return 0, fleetpb.TaskState_TASK_STATE_RUNNING
	}
}

// failHosts marks the hosts as failed whose workers are down outside maintenance.
func (s *Server) failHosts(ctx context.Context, t *term) {
	var failed []*fleetpb.HostStep
	s.viewFleet(func(f *fleet.Fleet) {
		s.mu.Lock()
		defer s.mu.Unlock()
		failed = t.jobs.FailedHosts(f)
	})
	for _, step := range failed {
		s.log.Warn().Str("host", step.GetHost()).Msg("the worker of a host is down outside maintenance; marking the host as failed")
	}
	s.submitSteps(ctx, failed)
}

// rebootHosts reboots each host that is out, once per maintenance. The idempotency
// token prevents a second reboot by a new leader.
func (s *Server) rebootHosts(ctx context.Context, t *term) {
	var due []reconcile.Reboot
	s.viewFleet(func(f *fleet.Fleet) {
		s.mu.Lock()
		defer s.mu.Unlock()
		due = t.jobs.RebootsDue(f)
	})
	s.forEachConcurrent(len(due), func(i int) {
		ctx, cancel := context.WithTimeout(ctx, platformTimeout)
		defer cancel()
		if err := s.options.Platform.Reboot(ctx, due[i].Host, rebootToken(due[i])); err != nil {
			s.log.Warn().Err(err).Str("host", due[i].Host).Msg("the platform did not confirm the reboot of a host; the reboot is requested again")
			return
		}
		s.mu.Lock()
		t.jobs.Rebooted(due[i], s.clock.Now())
		s.mu.Unlock()
	})
}

// sendTaskCalls makes the queued calls and queues those that fail again.
func (s *Server) sendTaskCalls(ctx context.Context, t *term) {
	s.mu.Lock()
	calls := t.jobs.TakeCalls()
	s.mu.Unlock()
	s.forEachConcurrent(len(calls), func(i int) {
		if err := s.sendTaskCall(ctx, calls[i]); err != nil {
			s.log.Warn().Err(err).Str("task", calls[i].Task.GetName()).Msg("the platform did not confirm a call for a task; the call is repeated")
			s.mu.Lock()
			t.jobs.Repeat(calls[i])
			s.mu.Unlock()
		}
	})
}

func (s *Server) sendTaskCall(ctx context.Context, c reconcile.Call) error {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	name, attempt := c.Task.GetName(), c.Task.GetAttempt()
	switch c.Kind {
	case plan.ActionStart:
		size := reconcile.Resources(c.Job.GetCores(), c.Job.GetMemoryGb(), c.Job.GetAccelerators())
		return s.options.Platform.Start(ctx, platform.Task{
			Name: name, Worker: c.Task.GetHost(), Attempt: attempt,
			MilliCores: size.MilliCores, MemoryMB: size.MemoryMB, Accelerators: size.Accelerators,
			RunSeconds: c.Job.GetRunSeconds(),
		}, taskLease, platform.Token(name, attempt, "start"))
	case plan.ActionCheckpoint:
		return s.options.Platform.Checkpoint(ctx, name, platform.Token(name, attempt, "checkpoint"))
	case plan.ActionThrottle:
		return s.options.Platform.Throttle(ctx, name, platform.Token(name, attempt, "throttle"))
	default:
		return s.options.Platform.Stop(ctx, name, platform.Token(name, attempt, "stop"))
	}
}

// renewLeases renews the leases of the workers that run tasks.
func (s *Server) renewLeases(ctx context.Context, t *term) {
	s.mu.Lock()
	now := s.clock.Now()
	hosts := t.jobs.LeasesDue(now, taskLease/leaseRenewalDivisor)
	s.mu.Unlock()
	s.forEachConcurrent(len(hosts), func(i int) {
		if err := s.options.Platform.Renew(ctx, hosts[i], taskLease); err != nil {
			s.log.Warn().Err(err).Str("host", hosts[i]).Msg("renewing the lease of a worker's tasks failed; it is retried after the next poll")
			return
		}
		s.mu.Lock()
		t.jobs.LeaseRenewed(hosts[i], now)
		s.mu.Unlock()
	})
}

// forEachConcurrent calls fn for 0 to n-1, at most maxConcurrentCalls at once, and waits
// until all calls have returned.
func (s *Server) forEachConcurrent(n int, fn func(i int)) {
	var wg sync.WaitGroup
	semaphore := make(chan struct{}, maxConcurrentCalls)
	for i := range n {
		semaphore <- struct{}{}
		wg.Go(func() {
			defer func() { <-semaphore }()
			fn(i)
		})
	}
	wg.Wait()
}
