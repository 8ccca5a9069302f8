package control

import (
	"context"
	"sync"
	"time"

	"marjoramtiller.example/marjoramtiller/process/platform"
	"marjoramtiller.example/marjoramtiller/version/fleet"
	"marjoramtiller.example/marjoramtiller/version/fleetpb"
	"marjoramtiller.example/marjoramtiller/version/plan"
)

const (
	callInterval        = 250 * time.Millisecond
	platformTimeout     = 5 * time.Second
	maxConcurrentCalls  = 16
	leaseRenewalDivisor = 4
)

// platformLoop polls workers and tasks and carries out the queued steps while
// this process leads. It is apart from the reconcilers, so that a platform that
// does not answer holds up neither drains nor leases.
func (s *Server) platformLoop(ctx context.Context) {
	tick, stop := s.clock.Ticks(callInterval)
	defer stop()
	var polled time.Duration
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick:
		}
		if !leads(s.fleet) {
			continue
		}
		t, err := s.leading(ctx)
		if err != nil {
			continue
		}
		interval := platformInterval
		if s.maintains() {
			interval = maintenanceInterval
		}
		if now := s.clock.Now(); polled == 0 || now-polled >= interval {
			s.pollPlatform(ctx, t)
			polled = now
		}
		s.rebootHosts(ctx, t)
		s.sendTaskCalls(ctx, t)
	}
}

// maintains reports whether a host waits for its worker to come back.
func (s *Server) maintains() bool {
	out := false
	s.viewFleet(func(f *fleet.Fleet) {
		for h := range f.Inactive() {
			out = out || h.GetState() == fleetpb.HostState_HOST_STATE_OUT
		}
	})
	return out
}

// pollPlatform reads the workers' and tasks' states.
func (s *Server) pollPlatform(ctx context.Context, t *term) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	sent := s.clock.Now()
	workers, err := s.o.Platform.Workers(ctx)
	if err != nil {
		s.log.Warn().Err(err).Msg("the platform's workers could not be read; maintenance and job starts wait")
		return
	}
	tasks, err := s.o.Platform.Tasks(ctx)
	if err != nil {
		s.log.Warn().Err(err).Msg("the platform's tasks could not be read; job starts wait")
		return
	}
	s.mu.Lock()
	t.jobs.observeWorkers(workers, sent)
	ended := t.jobs.observeTasks(tasks, sent)
	s.mu.Unlock()
	for _, x := range ended {
		s.submit(ctx, &fleetpb.Command{Body: &fleetpb.Command_TaskSteps{TaskSteps: &fleetpb.TaskSteps{Tasks: []*fleetpb.Task{x}}}})
	}
	s.failHosts(ctx, t)
	s.renewLeases(ctx, t)
}

func (r *jobRunner) observeWorkers(workers []platform.Worker, sent time.Duration) {
	for _, w := range workers {
		report := r.workers[w.Name]
		if report == nil {
			report = new(workerReport)
			r.workers[w.Name] = report
			r.hostsLoaded = false
		}
		if report.up != w.Up {
			r.hostsLoaded = false
		}
		report.up = w.Up
		if w.Up {
			report.down = 0
		} else {
			report.down++
		}
	}
	r.polled = sent
}

// observeTasks passes events and usage to the scheduler and returns the fleet's
// steps of the tasks whose state changed.
func (r *jobRunner) observeTasks(tasks []platform.Task, sent time.Duration) []*fleetpb.Task {
	var steps []*fleetpb.Task
	for _, x := range tasks {
		known := r.placed[x.Name]
		if known == nil || known.GetAttempt() != x.Attempt {
			continue
		}
		if x.Usage.Age > 0 {
			r.scheduler.Report(plan.Usage{Task: x.Name, At: sent - x.Usage.Age, Used: plan.Resources{MilliCores: x.Usage.MilliCores, MemoryMB: x.Usage.MemoryMB}})
		}
		event, state := taskOutcome(x.State)
		if event != 0 {
			r.scheduler.Event(x.Name, event)
		}
		if state == known.GetState() {
			continue
		}
		step := &fleetpb.Task{Name: known.GetName(), Job: known.GetJob(), Host: known.GetHost(), Attempt: known.GetAttempt(), State: state}
		steps = append(steps, step)
		r.placed[x.Name] = step
		if x.State.Ended() {
			delete(r.placed, x.Name)
		}
	}
	return steps
}

// taskOutcome maps a platform's state to the scheduler's event, 0 for none, and
// to the fleet's state.
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

// failHosts marks the hosts whose workers are down without maintenance.
func (s *Server) failHosts(ctx context.Context, t *term) {
	var failed []*fleetpb.HostStep
	s.viewFleet(func(f *fleet.Fleet) {
		s.mu.Lock()
		defer s.mu.Unlock()
		for name, w := range t.jobs.workers {
			h := f.Host(name)
			if h == nil || w.down < downPolls {
				continue
			}
			switch h.GetState() {
			case fleetpb.HostState_HOST_STATE_FAILED, fleetpb.HostState_HOST_STATE_OUT:
				continue
			}
			failed = append(failed, &fleetpb.HostStep{
				Host: name, Kind: fleetpb.HostStep_KIND_FAIL,
				ExpectedEpoch: h.GetEpoch(), ExpectedState: h.GetState(),
			})
		}
	})
	for _, step := range failed {
		s.log.Warn().Str("host", step.GetHost()).Msg("the worker of a host is down")
		s.submit(ctx, &fleetpb.Command{Body: &fleetpb.Command_HostStep{HostStep: step}})
	}
}

// rebootHosts reboots each host that is out, once in its maintenance. The token
// keeps a new leader from rebooting it again.
func (s *Server) rebootHosts(ctx context.Context, t *term) {
	var out []*fleetpb.Host
	s.viewFleet(func(f *fleet.Fleet) {
		for h := range f.Inactive() {
			if h.GetState() == fleetpb.HostState_HOST_STATE_OUT {
				out = append(out, h)
			}
		}
	})
	s.each(len(out), func(i int) {
		token := rebootToken(out[i])
		s.mu.Lock()
		_, done := t.jobs.rebooted[token]
		s.mu.Unlock()
		if done {
			return
		}
		ctx, cancel := context.WithTimeout(ctx, platformTimeout)
		defer cancel()
		if err := s.o.Platform.Reboot(ctx, out[i].GetName(), token); err != nil {
			s.log.Warn().Err(err).Str("host", out[i].GetName()).Msg("the reboot was not confirmed; it is asked for again")
			return
		}
		s.mu.Lock()
		t.jobs.rebooted[token] = s.clock.Now()
		s.mu.Unlock()
	})
}

// sendTaskCalls carries out the queued steps; those not confirmed are queued again.
func (s *Server) sendTaskCalls(ctx context.Context, t *term) {
	s.mu.Lock()
	calls := t.jobs.calls
	t.jobs.calls = nil
	s.mu.Unlock()
	s.each(len(calls), func(i int) {
		if err := s.sendTaskCall(ctx, calls[i]); err != nil {
			s.log.Warn().Err(err).Str("task", calls[i].task.GetName()).Msg("a step of a task was not confirmed; it is sent again")
			s.mu.Lock()
			if x := t.jobs.placed[calls[i].task.GetName()]; x.GetAttempt() == calls[i].task.GetAttempt() {
				t.jobs.calls = append(t.jobs.calls, calls[i])
			}
			s.mu.Unlock()
		}
	})
}

func (s *Server) sendTaskCall(ctx context.Context, c taskCall) error {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	name, attempt := c.task.GetName(), c.task.GetAttempt()
	switch c.kind {
	case plan.ActionStart:
		size := resources(c.job.GetCores(), c.job.GetMemoryGb(), c.job.GetAccelerators())
		return s.o.Platform.Start(ctx, platform.Task{
			Name: name, Worker: c.task.GetHost(), Attempt: attempt,
			MilliCores: size.MilliCores, MemoryMB: size.MemoryMB, Accelerators: size.Accelerators,
			RunSeconds: c.job.GetRunSeconds(),
		}, taskLease, platform.Token(name, attempt, "start"))
	case plan.ActionCheckpoint:
		return s.o.Platform.Checkpoint(ctx, name, platform.Token(name, attempt, "checkpoint"))
	case plan.ActionThrottle:
		return s.o.Platform.Throttle(ctx, name, platform.Token(name, attempt, "throttle"))
	default:
		return s.o.Platform.Stop(ctx, name, platform.Token(name, attempt, "stop"))
	}
}

// renewLeases extends the leases of the workers that run tasks.
func (s *Server) renewLeases(ctx context.Context, t *term) {
	s.mu.Lock()
	now := s.clock.Now()
	due := make(map[string]bool)
	for _, x := range t.jobs.placed {
		at, ok := t.jobs.renewed[x.GetHost()]
		if !ok || now-at >= taskLease/leaseRenewalDivisor {
			due[x.GetHost()] = true
		}
	}
	s.mu.Unlock()
	var hosts []string
	for name := range due {
		hosts = append(hosts, name)
	}
	s.each(len(hosts), func(i int) {
		if err := s.o.Platform.Renew(ctx, hosts[i], taskLease); err != nil {
			s.log.Warn().Err(err).Str("host", hosts[i]).Msg("the lease of a worker's tasks was not renewed")
			return
		}
		s.mu.Lock()
		t.jobs.renewed[hosts[i]] = now
		s.mu.Unlock()
	})
}

// each calls fn for 0 to n-1 with bounded concurrency and waits.
func (s *Server) each(n int, fn func(i int)) {
	var wg sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentCalls)
	for i := range n {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			fn(i)
		})
	}
	wg.Wait()
}
