package jobs

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"marjoramtiller.example/marjoramtiller/job/jobpb"
	"marjoramtiller.example/marjoramtiller/job/schedule"
	"marjoramtiller.example/marjoramtiller/job/state"
	"marjoramtiller.example/marjoramtiller/job/worker"
)

// Timings of orders to workers.
const (
	orderTimeout = 900 * time.Millisecond // of an order's answer
	holdWait     = time.Second            // how long a worker may wait for an end
	holdRetry    = 200 * time.Millisecond // after a hold without an answer
	stopInterval = 60 * time.Millisecond  // between looks for runs to stop
	// holdGapPerWorker spaces the holds to one worker by the number of workers at
	// work, so that their rate stays within what one process can send.
	holdGapPerWorker = 600 * time.Microsecond
	stopRetry        = 400 * time.Millisecond // between stops of the same run
	silentReports    = 3                      // report intervals after which a worker without a report gets no new task
	goneReports      = 3                      // and after which it may be dropped, once its leases have lapsed
	leaveGrace       = time.Second            // after a worker has said that it ends
	refusedPause     = 300 * time.Millisecond // without starts on a worker that refused one
	failurePenalty   = 4 * time.Second        // for which a failed run counts against a worker
)

// runState is what this term knows of the order behind a placed run.
type runState struct {
	run      uint32
	fence    uint64
	answered bool
	okAt     time.Duration // when the worker confirmed the start
	stopAt   time.Duration // when the last stop was sent
	stopped  bool
	stopOkAt time.Duration // when the worker confirmed a stop
}

// workerState is what this term knows of a worker's process.
type workerState struct {
	info     *jobpb.Worker
	track    *worker.Tracker
	sequence uint64
	holding  bool
	nextHold time.Duration
	ending   int // ends on their way into the log
	pausedTo time.Duration
	silent   bool // the last order got no answer
	left     time.Duration
	draining bool // has announced that it leaves
	dropping bool
	runs     map[state.TaskKey]*runState
	load     map[state.TaskKey]Run // from the last list
	failures []time.Duration
	suspect  bool // is slow or stands still
	// suspectAt is when it was last suspect, 0 if never.
	suspectAt time.Duration
}

// adoptWorkers begins with the workers that earlier leaders knew.
func (s *session) adoptWorkers() {
	s.view(func(st *state.Store) {
		for _, info := range st.Workers() {
			s.adopt(info, true)
		}
	})
}

func (s *session) adopt(info *jobpb.Worker, earlier bool) *workerState {
	w := &workerState{info: info, draining: info.Draining, runs: map[state.TaskKey]*runState{}, load: map[state.TaskKey]Run{}}
	w.track = worker.New(s.c.o.Bounds.Lease, s.term, info.BornMs, s.now(), earlier)
	for w.track.Fence() < s.fences[info.Id] {
		w.track.RaiseFence()
	}
	s.workers[info.Id] = w
	return w
}

// raiseFence makes earlier orders to a worker ineffective once it has seen the
// new fence with the next hold.
func (s *session) raiseFence(w *workerState) {
	w.track.RaiseFence()
	s.fences[w.info.Id] = w.track.Fence()
	w.nextHold = 0
}

// Report takes what a worker says of itself. It returns nil once a successor of
// this leader would know of a new or leaving worker.
func (c *Control) Report(ctx context.Context, r Report) error {
	s, err := c.leading()
	if err != nil {
		return err
	}
	result := make(chan error, 1)
	s.post(func() { s.report(r, result) })
	select {
	case err := <-result:
		return err
	case <-ctx.Done():
		return &UnavailableError{Reason: "the report was not stored in time"}
	case <-s.done:
		return &UnavailableError{Reason: "this process no longer leads"}
	}
}

func (s *session) report(r Report, result chan<- error) {
	w := s.workers[r.Worker.Id]
	now := s.now()
	if w != nil && w.info.BornMs > r.Worker.BornMs {
		result <- nil // a late report of an earlier process
		return
	}
	if w != nil && w.info.BornMs == r.Worker.BornMs {
		if r.Sequence < w.sequence {
			result <- nil
			return
		}
		w.sequence = r.Sequence
		w.track.SampleClock(now, r.ClockMs)
		if w.draining {
			r.Worker.Draining = true
		}
		if sameWorker(w.info, r.Worker) {
			result <- nil
			return
		}
	}
	s.register(r, result)
}

func sameWorker(a, b *jobpb.Worker) bool {
	return a.Address == b.Address && a.Pool == b.Pool && a.Zone == b.Zone && a.CpuMillis == b.CpuMillis &&
		a.MemoryMb == b.MemoryMb && a.Gpus == b.Gpus && a.Draining == b.Draining && slices.Equal(a.Labels, b.Labels)
}

// register stores a worker that is new or has changed.
func (s *session) register(r Report, result chan<- error) {
	info := r.Worker
	if w := s.workers[info.Id]; w != nil && info.Draining && w.info.BornMs == info.BornMs {
		w.draining = true // no start from now on, even before it is stored
	}
	s.add(&jobpb.Entry{Change: &jobpb.Entry_Worker{Worker: info}}, func(applied bool, err error) {
		result <- err
		if err != nil || !applied {
			return
		}
		w := s.workers[info.Id]
		if w == nil || w.info.BornMs != info.BornMs {
			if w != nil {
				s.fences[info.Id] = w.track.Fence() + 1
			}
			w = s.adopt(info, false)
			w.sequence = r.Sequence
		}
		w.info = info
		w.draining = info.Draining
		w.track.SampleClock(s.now(), r.ClockMs)
		s.log.Info().Str("worker", info.Id).Int64("born_ms", info.BornMs).Str("pool", info.Pool).Bool("draining", info.Draining).
			Str("address", info.Address).Msg("worker registered")
	})
}

// Leave takes a worker's word that it ends now.
func (c *Control) Leave(ctx context.Context, id string) error {
	s, err := c.leading()
	if err != nil {
		return err
	}
	s.post(func() {
		if w := s.workers[id]; w != nil {
			w.left = s.now()
			s.log.Info().Str("worker", id).Msg("worker leaves")
		}
	})
	return nil
}

// keepWorkers sends the holds and stops that are due and drops workers that are gone.
func (s *session) keepWorkers(now time.Duration) {
	stops := now >= s.stopsAt
	if stops {
		s.stopsAt = now + stopInterval
	}
	s.view(func(st *state.Store) {
		active := 0
		for id, w := range s.workers {
			placed := st.Placed(id)
			if s.dropIfGone(now, w, len(placed)) {
				continue
			}
			if stops {
				s.stopEnded(now, w, placed)
				s.judgeSpeed(now, w, placed)
			}
			if len(placed) > 0 {
				active++
			}
			if !w.holding && w.ending == 0 && now >= w.nextHold && (len(placed) > 0 || !w.track.Looked) {
				s.hold(now, w, len(placed) > 0)
			}
		}
		s.holdGap = time.Duration(active) * holdGapPerWorker
	})
}

func (s *session) silentFor(now time.Duration, w *workerState) time.Duration {
	return now - w.track.LastContact
}

// dropIfGone drops a worker once nothing can be at work there any more.
func (s *session) dropIfGone(now time.Duration, w *workerState, placed int) bool {
	if w.dropping {
		return true
	}
	interval := s.c.o.Bounds.ReportInterval
	left := w.left > 0 && now > w.left+leaveGrace
	lapsed := s.silentFor(now, w) > goneReports*interval && now > w.track.LapsedAt()
	if !left && !lapsed {
		return false
	}
	w.dropping = true
	s.log.Warn().Str("worker", w.info.Id).Int64("born_ms", w.info.BornMs).Dur("silent", s.silentFor(now, w)).Bool("left", left).Int("runs", placed).
		Msg("worker dropped: its leases have lapsed or it has ended")
	id, born := w.info.Id, w.info.BornMs
	s.add(&jobpb.Entry{Change: &jobpb.Entry_Gone{Gone: &jobpb.WorkerGone{Id: id, BornMs: born, AtMs: s.nowMs()}}}, func(bool, error) {
		if s.workers[id] == w {
			s.fences[id] = w.track.Fence() + 1
			delete(s.workers, id)
		}
	})
	return true
}

// hold extends the worker's lease and asks for its list of runs.
func (s *session) hold(now time.Duration, w *workerState, running bool) {
	o := HoldOrder{Fence: w.track.Fence(), LastSeen: w.track.LastSeen}
	// A worker that did not answer is only asked to list its runs: a grant would
	// put off the time from which they are known to have ended.
	if running && !w.silent {
		if deadline, known := w.track.Grant(now); known {
			o.DeadlineMs = deadline
		}
		if w.track.Looked {
			o.WaitMs = holdWait.Milliseconds()
		}
	}
	w.holding = true
	to := Target{ID: w.info.Id, Address: w.info.Address}
	if !s.c.Leads() {
		w.holding = false
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(s.ctx, orderTimeout+time.Duration(o.WaitMs)*time.Millisecond)
		look, err := s.c.o.Workers.Hold(ctx, to, o)
		cancel()
		s.post(func() { s.looked(w, now, o, look, err) })
	}()
}

// looked takes the answer to a hold.
func (s *session) looked(w *workerState, sent time.Duration, o HoldOrder, look *Look, err error) {
	now := s.now()
	w.holding = false
	if s.workers[w.info.Id] != w {
		return
	}
	if err != nil {
		s.holdFailed(w, sent, now, o, err)
		return
	}
	if look.BornMs != w.info.BornMs {
		s.reborn(w, look)
		return
	}
	if w.silent {
		s.log.Info().Str("worker", w.info.Id).Msg("worker answers again")
	}
	w.silent = false
	w.track.SampleClock(now, look.ClockMs)
	w.nextHold = sent + s.holdGap
	if o.Fence == w.track.Fence() && !w.track.Looked {
		w.track.Looked = true
		w.track.Settled()
		s.dirty = true
	}
	s.view(func(st *state.Store) {
		s.takeEnds(w, look, st)
		s.compare(w, sent, o, look, st)
	})
}

func (s *session) holdFailed(w *workerState, sent, now time.Duration, o HoldOrder, err error) {
	var refused *RefusedError
	switch {
	case errors.As(err, &refused) && refused.Reason == RefusedFence:
		s.raiseFence(w)
		s.log.Warn().Str("worker", w.info.Id).Uint64("fence", w.track.Fence()).Msg("hold refused: a higher fence was seen, raised")
	case errors.As(err, &refused):
		s.log.Debug().Err(err).Str("worker", w.info.Id).Msg("hold refused")
	default:
		if o.DeadlineMs > 0 && !neverCarriedOut(err) {
			w.track.Unanswered(sent)
		}
		if !w.silent {
			s.log.Warn().Err(err).Str("worker", w.info.Id).Dur("lapses_in", w.track.LapsedAt()-now).Msg("worker does not answer")
		}
		w.silent = true
	}
	w.nextHold = now + holdRetry
}

// reborn registers the new process that answers under a worker's id.
func (s *session) reborn(w *workerState, look *Look) {
	w.nextHold = s.now() + holdRetry
	if look.BornMs < w.info.BornMs || w.dropping {
		return
	}
	s.log.Warn().Str("worker", w.info.Id).Int64("born_ms", look.BornMs).Int64("known_ms", w.info.BornMs).Msg("worker has a new process")
	info := &jobpb.Worker{Id: w.info.Id, BornMs: look.BornMs, Address: w.info.Address, Pool: w.info.Pool, Zone: w.info.Zone,
		CpuMillis: w.info.CpuMillis, MemoryMb: w.info.MemoryMb, Gpus: w.info.Gpus, Labels: w.info.Labels}
	s.register(Report{Worker: info, ClockMs: look.ClockMs}, make(chan error, 1))
}

// takeEnds puts the ends that a worker lists into the log; the worker is told to
// forget them only after that.
func (s *session) takeEnds(w *workerState, look *Look, st *state.Store) {
	last := w.track.LastSeen
	for _, e := range look.Ended {
		if e.Number <= w.track.LastSeen {
			continue
		}
		last = max(last, e.Number)
		s.takeEnd(w, e, st)
	}
	if last > w.track.LastSeen {
		w.ending++
		s.add(&jobpb.Entry{}, func(_ bool, err error) {
			w.ending--
			if err == nil {
				w.track.LastSeen = max(w.track.LastSeen, last)
			}
		})
	}
}

func (s *session) takeEnd(w *workerState, e EndedRun, st *state.Store) {
	key := state.Key(e.Task)
	p := st.Placed(w.info.Id)[key]
	r := w.runs[key]
	delete(w.runs, key)
	delete(w.load, key)
	if p == nil || p.Task.Run != e.Run {
		return
	}
	now := s.now()
	if e.How == jobpb.How_DONE && r != nil && r.okAt > 0 && p.Task.Checkpoint == "" {
		s.estimate.Add(p.Job.Queue, p.Step, now-r.okAt)
	}
	if e.How != jobpb.How_DONE {
		s.log.Info().Str("request", e.Task.Job).Uint32("step", e.Task.Step).Uint32("task", e.Task.Index).Uint32("run", e.Run).
			Str("worker", w.info.Id).Uint64("end", e.Number).Str("how", e.How.String()).Msg("run ended")
	}
	if e.How == jobpb.How_FAILED {
		w.failures = append(w.failures, now)
	}
	s.addEnd(w, e.Task, e.Run, e.How, e.Checkpoint)
}

// logEnded writes the line of a job whose last end was just recorded.
func (s *session) logEnded(id string) {
	s.view(func(st *state.Store) {
		if j := st.Job(id); j != nil && (j.State == jobpb.Job_COMPLETED || j.State == jobpb.Job_FAILED) {
			s.log.Info().Str("request", id).Str("state", j.State.String()).Int64("after_ms", j.EndedMs-j.AcceptedMs).Msg("job ended")
		}
	})
}

func (s *session) addEnd(w *workerState, task *jobpb.TaskRef, run uint32, how jobpb.How, checkpoint string) {
	end := &jobpb.End{Task: task, Run: run, How: how, Checkpoint: checkpoint, Worker: w.info.Id, AtMs: s.nowMs()}
	s.add(&jobpb.Entry{Change: &jobpb.Entry_End{End: end}}, func(applied bool, _ error) {
		if applied && (how == jobpb.How_DONE || how == jobpb.How_FAILED) {
			s.logEnded(task.Job)
		}
	})
}

// compare settles what became of each placed run, from a list that was asked for
// at sent, and stops runs that should not be there.
func (s *session) compare(w *workerState, sent time.Duration, o HoldOrder, look *Look, st *state.Store) {
	placed := st.Placed(w.info.Id)
	running := make(map[state.TaskKey]Run, len(look.Running))
	for _, r := range look.Running {
		key := state.Key(r.Task)
		running[key] = r
		if p := placed[key]; p == nil || p.Task.Run != r.Run {
			s.stopStray(w, r)
		}
	}
	w.load = running
	listed := make(map[state.TaskKey]bool, len(look.Ended))
	for _, e := range look.Ended {
		listed[state.Key(e.Task)] = true
	}
	for key, p := range placed {
		if r, there := running[key]; there && r.Run == p.Task.Run {
			continue
		}
		if listed[key] || s.starting[key] {
			continue
		}
		if s.settled(w, key, p, sent, o) {
			s.log.Info().Str("request", key.Job).Uint32("step", key.Step).Uint32("task", key.Index).Uint32("run", p.Task.Run).
				Str("worker", w.info.Id).Uint64("fence", o.Fence).Msg("run is not at its worker and cannot begin there: it is free again")
			delete(w.runs, key)
			s.addEnd(w, p.Ref, p.Task.Run, jobpb.How_NEVER_STARTED, "")
		}
	}
}

// settled reports whether a placed run that is missing in a list can't be at work
// and can't begin any more.
func (s *session) settled(w *workerState, key state.TaskKey, p *state.Placement, sent time.Duration, o HoldOrder) bool {
	r := w.runs[key]
	if r == nil || r.run != p.Task.Run {
		// Ordered by an earlier leader, or by this one before the worker was dropped.
		return o.Fence >= s.term*worker.FencesPerTerm
	}
	switch {
	case o.Fence > r.fence:
		return true
	case r.answered && r.okAt < sent:
		return true
	case r.stopOkAt > 0 && r.stopOkAt < sent:
		return true
	}
	return false
}

// stopStray stops a run that the log does not place there.
func (s *session) stopStray(w *workerState, r Run) {
	s.log.Warn().Str("request", r.Task.Job).Uint32("run", r.Run).Str("worker", w.info.Id).Msg("run is not known here: stopped")
	s.sendStop(w, r.Task, r.Run, func(bool) {})
}

// stopEnded stops the runs of jobs that have ended, and lasting ones on workers that leave.
func (s *session) stopEnded(now time.Duration, w *workerState, placed map[state.TaskKey]*state.Placement) {
	for key, p := range placed {
		if state.Ended(p.Job) || w.draining && p.Step.Lasting {
			s.stopRun(now, w, key, p)
		}
	}
}

// stopRun stops a placed run, unless its start is still on its way or it was told
// to stop a moment ago.
func (s *session) stopRun(now time.Duration, w *workerState, key state.TaskKey, p *state.Placement) {
	r := w.runs[key]
	if r == nil || r.run != p.Task.Run {
		r = &runState{run: p.Task.Run, fence: w.track.Fence()}
		w.runs[key] = r
	}
	if r.stopAt > 0 && now < r.stopAt+stopRetry || s.starting[key] {
		return
	}
	r.stopAt = now
	s.sendStop(w, p.Ref, p.Task.Run, func(ok bool) {
		if ok {
			r.stopOkAt = s.now()
		}
	})
}

func (s *session) sendStop(w *workerState, task *jobpb.TaskRef, run uint32, then func(ok bool)) {
	to := Target{ID: w.info.Id, Address: w.info.Address}
	o := RunOrder{Task: task, Run: run, Fence: w.track.Fence()}
	if !s.c.Leads() {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(s.ctx, orderTimeout)
		clockMs, err := s.c.o.Workers.Stop(ctx, to, o)
		cancel()
		s.post(func() {
			s.answered(w, clockMs, err)
			s.logOrder("stop", w, task, run, err)
			then(err == nil)
		})
	}()
}

func (s *session) logOrder(kind string, w *workerState, task *jobpb.TaskRef, run uint32, err error) {
	level := zerolog.DebugLevel
	if err != nil {
		level = zerolog.InfoLevel
	}
	s.log.WithLevel(level).Err(err).Str("order", kind).Str("request", task.Job).Uint32("step", task.Step).Uint32("task", task.Index).
		Uint32("run", run).Str("worker", w.info.Id).Uint64("fence", w.track.Fence()).Msg("order")
	s.c.metrics.order(kind, err)
}

// answered takes the clock from an order's answer.
func (s *session) answered(w *workerState, clockMs int64, err error) {
	var refused *RefusedError
	if errors.As(err, &refused) {
		clockMs = refused.ClockMs
	}
	if clockMs > 0 {
		w.track.SampleClock(s.now(), clockMs)
	}
}

// sendStart orders a start that is in the log.
func (s *session) sendStart(start *jobpb.Start) {
	w := s.workers[start.Worker]
	key := state.Key(start.Task)
	if w == nil || w.info.BornMs != start.BornMs {
		delete(s.starting, key)
		return // the worker's end has freed the task
	}
	var spec, checkpoint string
	var ok bool
	s.view(func(st *state.Store) {
		p := st.Placed(start.Worker)[key]
		if p == nil || p.Task.Run != start.Run || state.Ended(p.Job) {
			return
		}
		spec, checkpoint, ok = p.Job.Spec, gangCheckpoint(p), true
	})
	deadline, known := w.track.Grant(s.now())
	if !ok || !known || !s.c.Leads() || w.draining {
		delete(s.starting, key)
		delete(w.runs, key)
		s.addEnd(w, start.Task, start.Run, jobpb.How_NEVER_STARTED, "")
		return
	}
	r := &runState{run: start.Run, fence: w.track.Fence()}
	w.runs[key] = r
	o := StartOrder{Task: start.Task, Run: start.Run, Spec: spec, Checkpoint: checkpoint, DeadlineMs: deadline, Fence: r.fence,
		Ticket: s.advice.ticket(start)}
	to := Target{ID: w.info.Id, Address: w.info.Address}
	sent := s.now()
	go func() {
		ctx, cancel := context.WithTimeout(s.ctx, orderTimeout)
		clockMs, err := s.c.o.Workers.Start(ctx, to, o)
		cancel()
		s.post(func() { s.started(w, start, r, sent, clockMs, err) })
	}()
}

// gangCheckpoint returns the checkpoint to resume from; the members of a gang share one.
func gangCheckpoint(p *state.Placement) string {
	if !p.Step.Gang {
		return p.Task.Checkpoint
	}
	best := ""
	for _, t := range p.State.Tasks {
		best = max(best, t.Checkpoint)
	}
	return best
}

func (s *session) started(w *workerState, start *jobpb.Start, r *runState, sent time.Duration, clockMs int64, err error) {
	key := state.Key(start.Task)
	now := s.now()
	delete(s.starting, key)
	s.answered(w, clockMs, err)
	s.logOrder("start", w, start.Task, start.Run, err)
	s.c.metrics.startSeconds.Observe((now - sent).Seconds())
	var refused *RefusedError
	switch {
	case err == nil:
		r.answered, r.okAt = true, now
	case neverCarriedOut(err):
		w.pausedTo = now + refusedPause
		if errors.As(err, &refused) && refused.Reason == RefusedFence {
			s.raiseFence(w)
		}
		s.addEnd(w, start.Task, start.Run, jobpb.How_NEVER_STARTED, "")
	default:
		w.track.Unanswered(sent)
		w.silent = true
		s.raiseFence(w)
	}
}

// usable returns the workers that may take tasks, with what they have left.
func (s *session) usable(now time.Duration, st *state.Store) []*schedule.Worker {
	var list []*schedule.Worker
	interval := s.c.o.Bounds.ReportInterval
	for id, w := range s.workers {
		if !w.track.Looked || w.draining || w.silent || w.dropping || w.left > 0 || now < w.pausedTo ||
			s.silentFor(now, w) > silentReports*interval || s.upkeep.cordoned(id) || s.moves.leaving(id) {
			continue
		}
		sw := &schedule.Worker{ID: id, BornMs: w.info.BornMs, Pool: w.info.Pool, Labels: w.info.Labels, Rack: rackOf(w.info.Labels),
			CPU: int64(w.info.CpuMillis), Memory: int64(w.info.MemoryMb), GPUs: int64(w.info.Gpus),
			Penalty: w.rank(now)}
		sw.Use(st.Load(id))
		list = append(list, sw)
	}
	slices.SortFunc(list, func(a, b *schedule.Worker) int { return strings.Compare(a.ID, b.ID) })
	return list
}

// recentFailures counts the runs that have failed on a worker lately.
func (w *workerState) recentFailures(now time.Duration) int {
	kept := w.failures[:0]
	for _, at := range w.failures {
		if now-at < failurePenalty {
			kept = append(kept, at)
		}
	}
	w.failures = kept
	return len(kept)
}

// rackOf returns the label that names a worker's rack: the one with a dash.
func rackOf(labels []string) string {
	for _, l := range labels {
		if strings.Contains(l, "-") {
			return l
		}
	}
	return ""
}
