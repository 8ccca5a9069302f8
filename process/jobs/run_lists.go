package jobs

import (
	"time"

	"github.com/pkg/errors"

	"marjoramtiller.example/marjoramtiller/job/evidence"
	"marjoramtiller.example/marjoramtiller/job/jobpb"
	"marjoramtiller.example/marjoramtiller/job/orders"
	"marjoramtiller.example/marjoramtiller/job/schedule"
	"marjoramtiller.example/marjoramtiller/job/state"
)

// sendHold sends a hold order: it requests the worker's list of runs and extends
// their lease if there are any. It acknowledges the ends that are in the log if it may: as it
// can wait for long, starts beside it get a higher fence.
func (s *session) sendHold(now time.Duration, w *workerState, running bool) {
	o := orders.HoldOrder{Fence: w.track.Fence()}
	if w.mayAcknowledge(now) && w.track.MayAdvanceFence() {
		o.LastSeen = w.track.LastLoggedEnd
	}
	// The lease of a worker that did not answer is not extended: a grant would defer
	// the time from which its runs are certain to have ended.
	if running && !w.silent && !w.announcedExit {
		if deadline, known := w.track.Grant(now); known {
			o.DeadlineMs = deadline
		}
		listsNothingAgain := !w.unacknowledged() || o.LastSeen > 0
		if w.track.RunsListed && listsNothingAgain {
			o.WaitMs = holdWait.Milliseconds()
			if w.onProbation() {
				o.WaitMs = schedule.ProbationTime.Milliseconds()
			}
		}
	}
	if !s.leads() {
		return
	}
	s.hold(now, w, o, func(error) {})
}

// handleRunList handles the answer to a hold.
func (s *session) handleRunList(w *workerState, sent time.Duration, o orders.HoldOrder, list *orders.RunList, err error) {
	now := s.now()
	w.holding = false
	w.noteAddress(err)
	if s.workers[w.info.Id] != w {
		return
	}
	if err != nil {
		s.handleHoldError(w, sent, now, o, err)
		return
	}
	if list.StartedMs != w.info.BornMs {
		s.registerNewProcess(w, list)
		return
	}
	if w.silent {
		s.log.Info().Str("worker", w.info.Id).Msg("worker answers again")
	}
	w.silent, w.disconnected = false, false
	w.endRecorded, w.heldCrashes = false, nil
	w.listedAt, w.listRequested = now, sent
	w.acknowledged = max(w.acknowledged, o.LastSeen)
	w.track.SampleClock(now, list.ClockMs)
	w.nextHold = sent + s.holdInterval
	if o.Fence == w.track.Fence() && !w.track.RunsListed {
		w.track.RunsListed = true
		w.track.ClearUnanswered()
		w.track.SettleForeignOrders(now)
		s.dirty = true
	}
	s.view(func(st *state.Store) {
		s.recordEnds(w, list, st)
		s.reconcileRuns(w, sent, o, list, st)
		if w.predecessor != nil {
			s.settlePredecessor(w, sent, o, list, st.Placements(w.info.Id))
		}
	})
}

func (s *session) handleHoldError(w *workerState, sent, now time.Duration, o orders.HoldOrder, err error) {
	var refused *orders.RefusedError
	switch {
	case isRelayError(err):
		// The worker may be sound. It is asked again at once, through another relay.
		if o.DeadlineMs > 0 {
			w.track.RecordUnanswered(sent)
		}
		s.log.Debug().Err(err).Str("worker", w.info.Id).Msg("hold without an outcome from its relay")
		w.nextHold = now
		return
	case errors.As(err, &refused) && refused.Reason == orders.RefusedFence && w.track.Fence() > o.Fence:
		s.log.Debug().Str("worker", w.info.Id).Uint64("fence", o.Fence).Msg("hold overtaken by a start with a higher fence")
		w.nextHold = now
		return
	case errors.As(err, &refused) && refused.Reason == orders.RefusedFence:
		s.raiseFence(w)
		s.log.Warn().Str("worker", w.info.Id).Uint64("fence", w.track.Fence()).Msg("hold refused: the worker has seen a higher fence; raised the fence")
	case errors.As(err, &refused):
		s.log.Debug().Err(err).Str("worker", w.info.Id).Msg("hold refused by the worker")
	default:
		if o.DeadlineMs > 0 && !orders.NeverCarriedOut(err) {
			w.track.RecordUnanswered(sent)
		}
		if !w.silent {
			s.log.Warn().Err(err).Str("worker", w.info.Id).Dur("lapses_in", w.track.LeasesExpireBy()-now).Msg("worker does not answer")
		}
		w.markSilent(brokenOff(now-sent, orderTimeout+time.Duration(o.WaitMs)*time.Millisecond))
	}
	w.nextHold = now + holdRetry
}

// registerNewProcess handles a list of a process other than the one that is tracked.
func (s *session) registerNewProcess(w *workerState, list *orders.RunList) {
	w.nextHold = s.now() + holdRetry
	if list.StartedMs < w.info.BornMs || w.dropping {
		return
	}
	s.succeed(w, Report{Worker: unregistered(w.info, list.StartedMs), ClockMs: list.ClockMs}, make(chan error, 1))
}

// recordEnds puts the ends that a worker lists into the log. LastSeen, which lets
// the worker remove them from its list, is advanced only after the commit.
func (s *session) recordEnds(w *workerState, list *orders.RunList, st *state.Store) {
	last := w.track.LastLoggedEnd
	for _, e := range list.Ended {
		if e.Number <= w.track.LastLoggedEnd {
			continue
		}
		last = max(last, e.Number)
		s.recordEnd(w, e, st)
	}
	if last > w.track.LastLoggedEnd {
		w.pendingEnds++
		s.add(&jobpb.Entry{}, func(_ bool, err error) {
			w.pendingEnds--
			if err == nil {
				w.track.LastLoggedEnd = max(w.track.LastLoggedEnd, last)
			}
		})
	}
}

func (s *session) recordEnd(w *workerState, e orders.EndedRun, st *state.Store) {
	key := state.Key(e.Task)
	p := st.Placements(w.info.Id)[key]
	now := s.now()
	sound := p != nil && s.provenSound(w, key, p, now)
	r := w.runs.remove(key, e.Run)
	if p == nil || p.Task.Run != e.Run {
		return
	}
	delete(w.listedRuns, key)
	if e.How == jobpb.How_DONE && r != nil && r.startConfirmedAt > 0 && p.Task.Checkpoint == "" {
		s.estimate.AddRun(p.Job.Queue, p.Step, now-r.startConfirmedAt)
	}
	if e.How != jobpb.How_DONE {
		s.log.Info().Str("request", e.Task.Job).Uint32("step", e.Task.Step).Uint32("task", e.Task.Index).Uint32("run", e.Run).
			Str("worker", w.info.Id).Uint64("end", e.Number).Str("how", e.How.String()).Msg("run ended")
	}
	if e.How == jobpb.How_FAILED {
		w.failures = append(w.failures, now)
	}
	s.addEnd(w, p, e.How, e.Checkpoint, sound)
}

// logEnded logs the end of a job if the end that was just recorded was its last.
func (s *session) logEnded(id string) {
	s.view(func(st *state.Store) {
		if j := st.Job(id); j != nil && (j.State == jobpb.Job_COMPLETED || j.State == jobpb.Job_FAILED) {
			s.log.Info().Str("request", id).Str("state", j.State.String()).Int64("after_ms", j.EndedMs-j.AcceptedMs).Msg("job ended")
		}
	})
}

// addEnd puts the end of a placed run into the next log entry. sound reports that the run
// clears its task of the suspicion that it crashes its workers.
func (s *session) addEnd(w *workerState, p *state.Placement, how jobpb.How, checkpoint string, sound bool) {
	end := &jobpb.End{Task: p.Ref, Run: p.Task.Run, How: how, Checkpoint: checkpoint, Worker: w.info.Id, AtMs: s.nowMs(), Sound: sound}
	s.add(&jobpb.Entry{Change: &jobpb.Entry_End{End: end}}, func(applied bool, _ error) {
		if applied && (how == jobpb.How_DONE || how == jobpb.How_FAILED) {
			s.logEnded(p.Ref.Job)
		}
	})
}

// addNeverStarted puts the end of a run that never began, and never will, into the next
// log entry.
func (s *session) addNeverStarted(worker string, task *jobpb.TaskRef, run uint32) {
	end := &jobpb.End{Task: task, Run: run, How: jobpb.How_NEVER_STARTED, Worker: worker, AtMs: s.nowMs()}
	s.add(&jobpb.Entry{Change: &jobpb.Entry_End{End: end}}, nil)
}

// reconcileRuns compares the runs that the log places on a worker with the list that
// was requested at sent. It frees placed runs that are proved not to run and
// stops runs that the log does not place there.
func (s *session) reconcileRuns(w *workerState, sent time.Duration, o orders.HoldOrder, list *orders.RunList, st *state.Store) {
	placed := st.Placements(w.info.Id)
	running := make(map[state.TaskKey]orders.Run, len(list.Running))
	w.unplacedRuns = 0
	for _, r := range list.Running {
		key := state.Key(r.Task)
		running[key] = r
		if p := placed[key]; p == nil || p.Task.Run != r.Run {
			w.unplacedRuns++
			s.stopUnknownRun(w, r)
		}
	}
	w.listedRuns = running
	if w.predecessor != nil {
		return
	}
	listed := make(map[state.TaskKey]bool, len(list.Ended))
	for _, e := range list.Ended {
		listed[state.Key(e.Task)] = true
	}
	for key, p := range placed {
		if r, found := running[key]; found && r.Run == p.Task.Run {
			if p.Task.SettledRun != r.Run {
				s.settle(s.now(), w, p.Ref, r.Run)
			}
			continue
		}
		if listed[key] || s.pendingStarts.contains(key) {
			continue
		}
		proof := evidence.FromList(w.orderOf(key, p), w.listEvidence(sent, o, list))
		if proof != evidence.None {
			s.log.Info().Str("request", key.Job).Uint32("step", key.Step).Uint32("task", key.Index).Uint32("run", p.Task.Run).
				Str("worker", w.info.Id).Uint64("fence", o.Fence).Str("proof", string(proof)).Msg("run is not at its worker and cannot begin there: it is free again")
			w.runs.remove(key, p.Task.Run)
			s.addNeverStarted(w.info.Id, p.Ref, p.Task.Run)
		}
	}
}

// orderOf returns what is known of the orders for a placed run.
func (w *workerState) orderOf(key state.TaskKey, p *state.Placement) evidence.Order {
	r := w.runs[key]
	if r == nil || r.run != p.Task.Run {
		return evidence.Order{}
	}
	return evidence.Order{Tracked: true, Fence: r.fence, StartConfirmedAt: r.startConfirmedAt, StopConfirmedAt: r.stopConfirmedAt}
}

// listEvidence returns what makes a list of runs a proof.
func (w *workerState) listEvidence(sent time.Duration, o orders.HoldOrder, list *orders.RunList) evidence.List {
	return evidence.List{Complete: list.EndsComplete, Fence: o.Fence, FirstFence: w.track.FirstFence(), RequestedAt: sent}
}

// stopUnknownRun stops a run that the log does not place on the worker.
func (s *session) stopUnknownRun(w *workerState, r orders.Run) {
	s.c.metrics.unplacedRuns.Inc()
	s.log.Warn().Str("request", r.Task.Job).Uint32("occurrence", r.Task.Occurrence).Uint32("step", r.Task.Step).Uint32("task", r.Task.Index).
		Uint32("run", r.Run).Str("worker", w.info.Id).Uint64("fence", w.track.Fence()).Msg("stopping a run that is not placed on this worker")
	s.sendStop(w, r.Task, r.Run, func(bool) {})
}
