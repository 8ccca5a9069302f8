package jobs

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"marjoramtiller.example/marjoramtiller/job/jobpb"
	"marjoramtiller.example/marjoramtiller/job/state"
)

// Behaviour of simulated workers.
const (
	simCPU         = 8000 // thousandths of a core of a worker
	simStartup     = 200 * time.Millisecond
	simPoll        = 10 * time.Millisecond
	simLateMax     = 3 * time.Second
	simReport      = 500 * time.Millisecond
	simMaintenance = 2 * time.Second
	simNotice      = 4500 * time.Millisecond // after which a task that is not at work counts as away
)

// simRun is one run of a task on a worker's process.
type simRun struct {
	key      state.TaskKey
	ref      *jobpb.TaskRef
	number   uint32
	worker   string
	from, to time.Time // to is zero while it runs
	how      jobpb.How
	noted    bool // its end was taken note of
	byOrder  bool // a stop, move or upkeep has ended it
}

// simWorker is one process of a worker.
type simWorker struct {
	sim      *sim
	id, pool string
	machine  string
	began    time.Time
	gone     bool      // its process has ended
	draining bool      // it has announced that it leaves
	silent   time.Time // until when it answers nothing and goes on running
	fence    uint64
	deadline time.Time // of everything that runs here
	lapsed   time.Time // when the lease lapsed last
	runs     map[state.TaskKey]*simRun
	ended    []*simRun // by number, from 1
	seen     uint64
	highest  map[state.TaskKey]uint32
}

func (w *simWorker) clockMs() int64 {
	return int64(float64(time.Since(w.began).Milliseconds())*0.985) + 1
}

// at returns the time at which the worker's clock, which is slow, shows ms.
func (w *simWorker) at(ms int64) time.Time {
	return w.began.Add(time.Duration(float64(ms-1)/0.985) * time.Millisecond)
}

// advance ends the runs whose time or lease is over.
func (w *simWorker) advance() {
	now := time.Now()
	for _, r := range w.runs {
		end, how := r.from.Add(w.sim.duration(r)), w.sim.fate(r)
		if w.sim.lasting(r.key) {
			end = now.Add(time.Hour)
		}
		if end.After(w.deadline) {
			end, how = w.deadline, jobpb.How_LAPSED
		}
		if !end.After(now) {
			w.end(r, end, how)
		}
	}
}

func (w *simWorker) end(r *simRun, at time.Time, how jobpb.How) {
	r.to, r.how = at, how
	delete(w.runs, r.key)
	w.ended = append(w.ended, r)
}

// crash ends the process: what it ran, and what it knew of ends, is lost.
func (w *simWorker) crash(byOrder bool) {
	w.advance()
	for _, r := range w.runs {
		r.byOrder = byOrder
		w.end(r, time.Now(), jobpb.How_LOST)
	}
	w.gone = true
}

// deaf reports whether nothing reaches the worker.
func (w *simWorker) deaf() bool { return w.gone || time.Now().Before(w.silent) }

// order carries out an order unless its fate is another one, and answers.
func (w *simWorker) order(ctx context.Context, kind string, fence uint64, do func() Reason) (int64, error) {
	s := w.sim
	time.Sleep(s.span(time.Millisecond, 4*time.Millisecond, kind, w.id, fence))
	fate := s.draw(100, kind+"fate", w.id, fence)
	s.mu.Lock()
	switch {
	case w.deaf() && w.gone && fate%2 == 0:
		s.mu.Unlock()
		return 0, &NotSentError{Err: errors.New("connection refused")}
	case w.deaf(), s.faulty() && fate < 2: // lost
		s.mu.Unlock()
		<-ctx.Done()
		return 0, ctx.Err()
	case s.faulty() && fate < 5: // carried out late
		s.mu.Unlock()
		late := s.span(0, simLateMax, kind+"late", w.id, fence)
		time.AfterFunc(late, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			if !w.gone {
				s.heldUp = true
				w.carryOut(fence, do)
				s.heldUp = false
			}
		})
		<-ctx.Done()
		return 0, ctx.Err()
	}
	reason := w.carryOut(fence, do)
	clock := w.clockMs()
	s.mu.Unlock()
	if s.faulty() && fate < 7 { // the answer is lost
		<-ctx.Done()
		return 0, ctx.Err()
	}
	if reason != "" {
		return 0, &RefusedError{Reason: reason, ClockMs: clock}
	}
	return clock, nil
}

func (w *simWorker) carryOut(fence uint64, do func() Reason) Reason {
	w.advance()
	if fence < w.fence {
		return RefusedFence
	}
	w.fence = fence
	return do()
}

func (w *simWorker) extend(deadlineMs int64) {
	if at := w.at(deadlineMs); deadlineMs > 0 && at.After(w.deadline) {
		w.noteLapse()
		w.deadline = at
	}
}

func (w *simWorker) noteLapse() {
	if w.deadline.Before(time.Now()) {
		w.lapsed = w.deadline
	}
}

// note takes note of an end, unless the lease has lapsed since: the task may have
// begun anew then.
func (w *simWorker) note(r *simRun) {
	w.noteLapse()
	r.noted = r.noted || w.lapsed.Before(r.to)
}

func (w *simWorker) start(o StartOrder) Reason {
	key := state.Key(o.Task)
	if r := w.runs[key]; r != nil && r.number == o.Run {
		return ""
	}
	w.extend(o.DeadlineMs)
	switch {
	case o.Run <= w.highest[key]:
		return RefusedOld
	case !w.at(o.DeadlineMs).After(time.Now()):
		return RefusedLate
	}
	r := &simRun{key: key, ref: o.Task, number: o.Run, worker: w.id, from: time.Now()}
	w.highest[key] = o.Run
	w.sim.begun(w, r, o)
	w.runs[key] = r
	return ""
}

func (w *simWorker) stop(o RunOrder) Reason {
	key := state.Key(o.Task)
	w.highest[key] = max(w.highest[key], o.Run)
	if r := w.runs[key]; r != nil && r.number <= o.Run {
		w.sim.taken(w, r, "a stop")
		r.byOrder = true
		w.end(r, time.Now(), jobpb.How_STOPPED)
	}
	return ""
}

// Start implements Workers.
func (s *sim) Start(ctx context.Context, to Target, o StartOrder) (int64, error) {
	w := s.worker(to.ID)
	if w == nil {
		return 0, &NotSentError{Err: errors.New("no such worker")}
	}
	return w.order(ctx, "start"+o.Task.Job, o.Fence, func() Reason { return w.start(o) })
}

// Stop implements Workers.
func (s *sim) Stop(ctx context.Context, to Target, o RunOrder) (int64, error) {
	w := s.worker(to.ID)
	if w == nil {
		return 0, &NotSentError{Err: errors.New("no such worker")}
	}
	return w.order(ctx, "stop"+o.Task.Job, o.Fence, func() Reason { return w.stop(o) })
}

// Pace implements Workers.
func (s *sim) Pace(context.Context, Target, RunOrder) (int64, error) {
	return 0, errors.New("no step of the simulation is paced")
}

// Hold implements Workers.
func (s *sim) Hold(ctx context.Context, to Target, o HoldOrder) (*Look, error) {
	w := s.worker(to.ID)
	if w == nil {
		return nil, &NotSentError{Err: errors.New("no such worker")}
	}
	_, err := w.order(ctx, "hold", o.Fence, func() Reason {
		w.extend(o.DeadlineMs)
		for i := w.seen; i < o.LastSeen && i < uint64(len(w.ended)); i++ {
			w.note(w.ended[i])
		}
		w.seen = max(w.seen, o.LastSeen)
		return ""
	})
	if err != nil {
		return nil, err
	}
	for until := time.Now().Add(time.Duration(o.WaitMs) * time.Millisecond); ; time.Sleep(simPoll) {
		s.mu.Lock()
		w.advance()
		deaf := w.deaf()
		if !deaf && (uint64(len(w.ended)) > w.seen || !time.Now().Before(until)) {
			look := w.look()
			s.mu.Unlock()
			return look, nil
		}
		s.mu.Unlock()
		if deaf || ctx.Err() != nil {
			<-ctx.Done()
			return nil, ctx.Err()
		}
	}
}

func (w *simWorker) look() *Look {
	l := &Look{ClockMs: w.clockMs(), BornMs: w.began.UnixMilli()}
	for _, r := range w.runs {
		percent := 50
		if w.sim.lasting(r.key) && time.Since(r.from) > simStartup {
			percent = fullPercent
		}
		l.Running = append(l.Running, Run{Task: r.ref, Run: r.number, Percent: percent})
	}
	for i := w.seen; i < uint64(len(w.ended)); i++ {
		r := w.ended[i]
		l.Ended = append(l.Ended, EndedRun{Number: i + 1, Task: r.ref, Run: r.number, How: r.how})
	}
	return l
}
