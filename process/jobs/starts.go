package jobs

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"marjoramtiller.example/marjoramtiller/job/evidence"
	"marjoramtiller.example/marjoramtiller/job/jobpb"
	"marjoramtiller.example/marjoramtiller/job/orders"
	"marjoramtiller.example/marjoramtiller/job/state"
)

// stopEnded stops the runs of jobs that have ended, the runs of lasting steps on workers
// that are draining, if their tasks can start elsewhere, and all runs on a draining worker
// that has announced its exit.
func (s *session) stopEnded(now time.Duration, st *state.Store, w *workerState, placed map[state.TaskKey]*state.Placement) {
	for key, p := range placed {
		leaves := w.draining && (w.announcedExit || p.Step.Lasting && s.upkeep.mayStop(p) && s.mayRestart(now, st, w, key, p))
		if state.Ended(p.Job) || leaves {
			s.stopRun(now, w, key, p)
		}
	}
}

// mayRestart reports whether a run was stopped already, or its task can start on another
// worker.
func (s *session) mayRestart(now time.Duration, st *state.Store, w *workerState, key state.TaskKey, p *state.Placement) bool {
	return w.stopping(key, p.Task.Run) || s.hasHost(now, st, p, w.info.Id)
}

// stopRun stops a placed run, unless its start is still in flight or a stop was
// sent less than stopRetry ago.
func (s *session) stopRun(now time.Duration, w *workerState, key state.TaskKey, p *state.Placement) {
	r := w.runs[key]
	if r == nil || r.run != p.Task.Run {
		// Its start was ordered before this process was tracked, under a lower fence.
		r = &runState{run: p.Task.Run, fence: w.track.FirstFence() - 1}
		w.runs[key] = r
	}
	if r.stopSentAt > 0 && now < r.stopSentAt+stopRetry || s.pendingStarts.contains(key) {
		return
	}
	r.stopSentAt = now
	s.sendStop(w, p.Ref, p.Task.Run, func(ok bool) {
		if ok {
			r.stopConfirmedAt = s.now()
		}
	})
}

func (s *session) sendStop(w *workerState, task *jobpb.TaskRef, run uint32, onAnswer func(ok bool)) {
	to := orders.Target{ID: w.info.Id, Address: w.info.Address}
	o := orders.RunOrder{Task: task, Run: run, Fence: w.track.Fence()}
	if !s.leads() {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(s.ctx, orderTimeout)
		clockMs, err := s.sender.Stop(ctx, to, o)
		cancel()
		s.post(func() {
			w.noteAddress(err)
			s.sampleAnswerClock(w, clockMs, err)
			s.logOrder("stop", w, task, run, err)
			onAnswer(err == nil)
		})
	}()
}

// noteAddress notes whether a process of the worker's id has answered a call to its address,
// or another one.
func (w *workerState) noteAddress(err error) {
	w.addressReused = err != nil && (w.addressReused || orders.OtherProcess(err))
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

// sampleAnswerClock updates the estimate of the worker's clock from the answer to an
// order.
func (s *session) sampleAnswerClock(w *workerState, clockMs int64, err error) {
	var refused *orders.RefusedError
	if errors.As(err, &refused) {
		clockMs = refused.ClockMs
	}
	if clockMs > 0 {
		w.track.SampleClock(s.now(), clockMs)
	}
}

// sendStart sends the order for a start that is in the log.
func (s *session) sendStart(start *jobpb.Start) {
	w := s.workers[start.Worker]
	key := state.Key(start.Task)
	if w == nil || w.info.BornMs != start.BornMs {
		s.pendingStarts.removeRun(key, start.Run)
		return // dropping the worker has already freed the task
	}
	if !s.mayStartBesideAcknowledgement(w) {
		w.acks.deferredStarts = append(w.acks.deferredStarts, start)
		return
	}
	var spec, checkpoint string
	var ok, onProbation bool
	s.view(func(st *state.Store) {
		p := st.Placements(start.Worker)[key]
		if p == nil || p.Task.Run != start.Run || state.Ended(p.Job) {
			return
		}
		spec, checkpoint, ok = p.Job.Spec, gangCheckpoint(p), true
		onProbation = p.Task.Crashes > 0
	})
	deadline, known := w.track.Grant(s.now())
	if !ok || !known || !s.leads() || w.draining || w.mayHaveLeft() {
		s.pendingStarts.removeRun(key, start.Run)
		w.runs.remove(key, start.Run)
		s.addNeverStarted(start.Worker, start.Task, start.Run)
		return
	}
	sent := s.now()
	r := &runState{run: start.Run, fence: w.track.Fence(), sentAt: sent}
	w.runs[key] = r
	w.recentStarts = append(w.recentStarts, recentStart{task: start.Task, run: start.Run, sentAt: sent, onProbation: onProbation})
	r.ticket = s.advice.ticket(start)
	o := orders.StartOrder{Task: start.Task, Run: start.Run, Spec: spec, Checkpoint: checkpoint, DeadlineMs: deadline, Fence: r.fence,
		Ticket: r.ticket}
	to := orders.Target{ID: w.info.Id, Address: w.info.Address}
	w.acks.StartSent()
	go func() {
		ctx, cancel := context.WithTimeout(s.ctx, orderTimeout)
		clockMs, err := s.sender.Start(ctx, to, o)
		cancel()
		s.post(func() { s.handleStartAnswer(w, start, r, sent, clockMs, err) })
	}()
}

// gangCheckpoint returns the checkpoint to resume from. All tasks of a gang step
// resume from the same one.
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

// brokenOff reports whether an order that failed after a time ended because the worker
// closed the connection, rather than by its timeout at this process or at a relay.
func brokenOff(after, timeout time.Duration) bool { return after < timeout/2 }

// markSilent marks a worker as silent after an order without an answer.
func (w *workerState) markSilent(brokenOff bool) {
	if !w.silent {
		w.silent, w.disconnected = true, brokenOff
	}
}

// startEnd returns when the sender of a start has stopped waiting for its answer. That of a
// relay which is lost may wait on until the timeout.
func startEnd(sent, now time.Duration, err error) time.Duration {
	if err == nil || brokenOff(now-sent, orderTimeout) && !isRelayError(err) {
		return now
	}
	return max(now, sent+orderTimeout)
}

func isRelayError(err error) bool {
	var lost *orders.RelayError
	return errors.As(err, &lost)
}

func (s *session) handleStartAnswer(w *workerState, start *jobpb.Start, r *runState, sent time.Duration, clockMs int64, err error) {
	key := state.Key(start.Task)
	now := s.now()
	s.pendingStarts.removeRun(key, start.Run)
	w.noteAddress(err)
	s.sampleAnswerClock(w, clockMs, err)
	s.logOrder("start", w, start.Task, start.Run, err)
	s.c.metrics.startSeconds.Observe((now - sent).Seconds())
	r.startEndedAt = startEnd(sent, now, err)
	w.recordStartEnd(r.startEndedAt, err)
	var refused *orders.RefusedError
	switch {
	case err == nil && clockMs > 0 && w.track.AnsweredByLater(sent, clockMs):
		// A later process under the worker's id has begun the run.
		s.log.Warn().Str("request", key.Job).Uint32("run", start.Run).Str("worker", start.Worker).Int64("clock_ms", clockMs).
			Msg("start answered by another process than the registered one: its list of runs is requested")
		w.track.ExpectForeignLeases(now)
		w.track.RecordUnanswered(sent)
		s.raiseFence(w)
	case err == nil:
		r.startConfirmed, r.startConfirmedAt = true, now
		if clockMs > 0 {
			r.received = true
			s.settle(now, w, start.Task, start.Run)
		}
	case evidence.FromAnswer(err) != evidence.None:
		w.pausedUntil = now + refusedPause
		if errors.As(err, &refused) && refused.Reason == orders.RefusedFence {
			s.raiseFence(w)
		}
		if refused != nil && refused.Reason == orders.RefusedTicket {
			s.advice.discard(start, r.ticket)
		}
		s.addNeverStarted(start.Worker, start.Task, start.Run)
	default:
		w.track.RecordUnanswered(sent)
		if !isRelayError(err) {
			r.startBrokenOff = brokenOff(now-sent, orderTimeout)
			w.markSilent(r.startBrokenOff)
		}
		s.raiseFence(w)
	}
}
