package jobs

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"marjoramtiller.example/marjoramtiller/job/jobpb"
	"marjoramtiller.example/marjoramtiller/job/orders"
	"marjoramtiller.example/marjoramtiller/job/state"
)

// Behaviour of simulated workers and the machine service.
const (
	simCPUMillis       = 8000 // of a worker, in thousandths of a core
	simStartupTime     = 200 * time.Millisecond
	simPollInterval    = 10 * time.Millisecond
	simMaxOrderDelay   = 3 * time.Second
	simReportInterval  = 500 * time.Millisecond
	simMaintenanceTime = 2 * time.Second
	simEndsPerList     = 2                       // in a list of runs; more are listed once these are acknowledged
	simMaxExitDelay    = 4 * time.Second         // of a worker whose announced exit is not confirmed
	simNoticeDelay     = 4500 * time.Millisecond // for the leader to notice that a task is unavailable without an order
)

// simRun is one run of a task on a worker's process.
type simRun struct {
	key                state.TaskKey
	ref                *jobpb.TaskRef
	number             uint32
	worker             string
	startedAt, endedAt time.Time // endedAt is zero while it runs
	how                jobpb.How
	acknowledged       bool // the leader has acknowledged its end
	endedByOrder       bool // it was ended by a stop or an upkeep
}

// simWorker is one simulated worker process.
type simWorker struct {
	sim         *sim
	id, pool    string
	machine     string
	startedAt   time.Time
	cpuMillis   uint64
	firstMillis uint64    // capacity at its start
	roomUntil   time.Time // until then starts are checked against roomMillis, if that is more
	roomMillis  uint64    // capacity before it shrank
	exited      bool      // its process has exited
	draining    bool      // its reports announce that it is leaving
	silentUntil time.Time // until then it answers nothing; its runs go on
	// refusedUntil is the time until which connections to it are refused and those that are
	// open break; its runs and its reports go on.
	refusedUntil time.Time
	fence        uint64
	deadline     time.Time // of the lease of all its runs
	lapsedAt     time.Time // when the lease last lapsed
	runs         map[state.TaskKey]*simRun
	ended        []*simRun // by number, from 1
	lastSeen     uint64    // highest end number that the leader has acknowledged
	highestRun   map[state.TaskKey]uint32
}

func (w *simWorker) clockMs() int64 {
	return int64(float64(time.Since(w.startedAt).Milliseconds())*0.985) + 1
}

// wallTime returns the time at which the worker's clock, which runs slow, shows ms.
func (w *simWorker) wallTime(ms int64) time.Time {
	return w.startedAt.Add(time.Duration(float64(ms-1)/0.985) * time.Millisecond)
}

// advance ends the runs that have completed or failed by now, or whose lease has
// lapsed.
func (w *simWorker) advance() {
	now := time.Now()
	for _, r := range w.runs {
		end, how := r.startedAt.Add(w.sim.duration(r)), w.sim.runOutcome(r)
		if w.sim.lasting(r.key) {
			end = now.Add(time.Hour)
		}
		if end.After(w.deadline) {
			end, how = w.deadline, jobpb.How_LAPSED
		}
		if !end.After(now) {
			w.endRun(r, end, how)
		}
	}
}

func (w *simWorker) endRun(r *simRun, at time.Time, how jobpb.How) {
	r.endedAt, r.how = at, how
	delete(w.runs, r.key)
	w.ended = append(w.ended, r)
}

// crash ends the process; its runs and its list of ended runs are lost.
func (w *simWorker) crash(byOrder bool) {
	w.advance()
	for _, r := range w.runs {
		r.endedByOrder = byOrder
		w.endRun(r, time.Now(), jobpb.How_LOST)
	}
	w.exited = true
}

// unreachable reports whether the worker receives no orders and sends no reports.
func (w *simWorker) unreachable() bool { return w.exited || time.Now().Before(w.silentUntil) }

// refused reports whether connections to the worker are refused.
func (w *simWorker) refused() bool { return time.Now().Before(w.refusedUntil) }

// handleOrder carries out an order and answers it, unless an injected fault loses or
// delays the order, or loses the answer.
func (w *simWorker) handleOrder(ctx context.Context, kind string, fence uint64, do func(w *simWorker) orders.Reason) (int64, error) {
	s := w.sim
	time.Sleep(s.drawDuration(time.Millisecond, 4*time.Millisecond, kind, w.id, fence))
	fault := s.draw(100, kind+"fate", w.id, fence)
	s.mu.Lock()
	switch {
	case w.refused():
		s.mu.Unlock()
		return 0, &orders.NotSentError{Err: errors.New("connection refused")}
	case w.unreachable() && w.exited && fault%2 == 0:
		s.mu.Unlock()
		return 0, &orders.NotSentError{Err: errors.New("connection refused")}
	case w.exited && s.options.sameIDs:
		s.mu.Unlock()
		later := w.awaitSuccessor(ctx)
		if later == nil {
			return 0, ctx.Err()
		}
		return later.handleOrder(ctx, kind, fence, do)
	case w.unreachable(), s.faultsActive() && fault < 2: // lost
		s.mu.Unlock()
		<-ctx.Done()
		return 0, ctx.Err()
	case s.faultsActive() && fault < 2+s.options.lateShare(kind): // executed late
		s.mu.Unlock()
		late := s.drawDuration(0, s.options.orderDelay(), kind+"late", w.id, fence)
		time.AfterFunc(late, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			if !w.exited {
				s.orderDelayed = true
				w.execute(fence, do)
				s.orderDelayed = false
			}
		})
		<-ctx.Done()
		return 0, ctx.Err()
	}
	s.orderDelayed = ctx.Value(delayedOrder{}) != nil
	reason := w.execute(fence, do)
	s.orderDelayed = false
	clock := w.clockMs()
	s.mu.Unlock()
	if s.faultsActive() && fault < 4+s.options.lateShare(kind) { // the answer is lost
		<-ctx.Done()
		return 0, ctx.Err()
	}
	if reason != "" {
		return 0, &orders.RefusedError{Reason: reason, ClockMs: clock}
	}
	return clock, nil
}

// awaitSuccessor returns the process that starts under the id of one that has exited while a
// sender waits, nil if none does: it receives what was meant for its predecessor.
func (w *simWorker) awaitSuccessor(ctx context.Context) *simWorker {
	for ctx.Err() == nil {
		w.sim.mu.Lock()
		later := w.sim.workers[w.id]
		reached := later != w && !later.exited && !later.unreachable()
		w.sim.mu.Unlock()
		if reached {
			return later
		}
		time.Sleep(simPollInterval)
	}
	return nil
}

func (w *simWorker) execute(fence uint64, do func(w *simWorker) orders.Reason) orders.Reason {
	w.advance()
	if fence < w.fence {
		return orders.RefusedFence
	}
	w.fence = fence
	return do(w)
}

// extendLease extends the lease to a time on the worker's clock, which a process that began
// later than the order expected takes for one of its own.
func (w *simWorker) extendLease(deadlineMs int64) {
	deadlineMs = min(deadlineMs, w.clockMs()+simMaxLease.Milliseconds())
	if at := w.wallTime(deadlineMs); deadlineMs > 0 && at.After(w.deadline) {
		w.recordLapse()
		w.deadline = at
	}
}

func (w *simWorker) recordLapse() {
	if w.deadline.Before(time.Now()) {
		w.lapsedAt = w.deadline
	}
}

// acknowledge marks an end as acknowledged by the leader, unless the lease has lapsed
// since the end: the task may then have been started again.
func (w *simWorker) acknowledge(r *simRun) {
	w.recordLapse()
	r.acknowledged = r.acknowledged || w.lapsedAt.Before(r.endedAt)
}

func (w *simWorker) start(o orders.StartOrder) orders.Reason {
	key := state.Key(o.Task)
	if r := w.runs[key]; r != nil && r.number == o.Run {
		return ""
	}
	w.extendLease(o.DeadlineMs)
	switch {
	case o.Run <= w.highestRun[key]:
		return orders.RefusedStaleRun
	case !w.wallTime(o.DeadlineMs).After(time.Now()):
		return orders.RefusedDeadline
	}
	r := &simRun{key: key, ref: o.Task, number: o.Run, worker: w.id, startedAt: time.Now()}
	w.highestRun[key] = o.Run
	w.sim.checkStart(w, r, o)
	w.runs[key] = r
	w.sim.crashes.afterStart(w, r)
	return ""
}

func (w *simWorker) stop(o orders.RunOrder) orders.Reason {
	key := state.Key(o.Task)
	w.highestRun[key] = max(w.highestRun[key], o.Run)
	if r := w.runs[key]; r != nil && r.number <= o.Run {
		w.sim.checkStop(w, r, "a stop")
		r.endedByOrder = true
		w.endRun(r, time.Now(), jobpb.How_STOPPED)
	}
	return ""
}

// Start implements Workers.
func (s *sim) Start(ctx context.Context, to orders.Target, o orders.StartOrder) (int64, error) {
	w := s.worker(to.ID)
	if w == nil {
		return 0, &orders.NotSentError{Err: errors.New("no such worker")}
	}
	return w.handleOrder(ctx, "start"+o.Task.Job, o.Fence, func(w *simWorker) orders.Reason { return w.start(o) })
}

// Stop implements Workers.
func (s *sim) Stop(ctx context.Context, to orders.Target, o orders.RunOrder) (int64, error) {
	w := s.worker(to.ID)
	if w == nil {
		return 0, &orders.NotSentError{Err: errors.New("no such worker")}
	}
	return w.handleOrder(ctx, "stop"+o.Task.Job, o.Fence, func(w *simWorker) orders.Reason { return w.stop(o) })
}

// Pace implements Workers.
func (s *sim) Pace(context.Context, orders.Target, orders.RunOrder) (int64, error) {
	return 0, errors.New("no step of the simulation is paced")
}

// Hold implements Workers.
func (s *sim) Hold(ctx context.Context, to orders.Target, o orders.HoldOrder) (*orders.RunList, error) {
	w := s.worker(to.ID)
	if w == nil {
		return nil, &orders.NotSentError{Err: errors.New("no such worker")}
	}
	receiver := w
	_, err := w.handleOrder(ctx, "hold", o.Fence, func(w *simWorker) orders.Reason {
		receiver = w
		w.extendLease(o.DeadlineMs)
		for i := w.lastSeen; i < o.LastSeen && i < uint64(len(w.ended)); i++ {
			w.acknowledge(w.ended[i])
		}
		w.lastSeen = max(w.lastSeen, min(o.LastSeen, uint64(len(w.ended))))
		return ""
	})
	if err != nil {
		return nil, err
	}
	w = receiver
	for until := time.Now().Add(time.Duration(o.WaitMs) * time.Millisecond); ; time.Sleep(simPollInterval) {
		s.mu.Lock()
		w.advance()
		unreachable, exited, refused := w.unreachable(), w.exited, w.refused()
		if !unreachable && (uint64(len(w.ended)) > w.lastSeen || !time.Now().Before(until)) {
			list := w.listRuns()
			s.mu.Unlock()
			return list, nil
		}
		s.mu.Unlock()
		if refused || exited && s.options.crashingTasks {
			return nil, errors.New("EOF") // the connection ends with the process
		}
		if unreachable || ctx.Err() != nil {
			<-ctx.Done()
			return nil, ctx.Err()
		}
	}
}

func (w *simWorker) listRuns() *orders.RunList {
	list := &orders.RunList{ClockMs: w.clockMs(), StartedMs: w.startedAt.UnixMilli()}
	for _, r := range w.runs {
		percent := 50
		if w.sim.lasting(r.key) && time.Since(r.startedAt) > simStartupTime {
			percent = fullPercent
		}
		list.Running = append(list.Running, orders.Run{Task: r.ref, Run: r.number, Percent: percent})
	}
	last := min(uint64(len(w.ended)), w.lastSeen+simEndsPerList)
	list.EndsComplete = last < w.lastSeen+simEndsPerList
	for i := w.lastSeen; i < last; i++ {
		r := w.ended[i]
		list.Ended = append(list.Ended, orders.EndedRun{Number: i + 1, Task: r.ref, Run: r.number, How: r.how})
	}
	return list
}
