package jobs

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"marjoramtiller.example/marjoramtiller/job/jobpb"
	"marjoramtiller.example/marjoramtiller/job/state"
	"marjoramtiller.example/marjoramtiller/job/worker"
)

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
	r := w.runs.take(key, e.Run)
	if p == nil || p.Task.Run != e.Run {
		return
	}
	delete(w.load, key)
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
		if listed[key] || s.starting.has(key) {
			continue
		}
		if s.settled(w, key, p, sent, o) {
			s.log.Info().Str("request", key.Job).Uint32("step", key.Step).Uint32("task", key.Index).Uint32("run", p.Task.Run).
				Str("worker", w.info.Id).Uint64("fence", o.Fence).Msg("run is not at its worker and cannot begin there: it is free again")
			w.runs.take(key, p.Task.Run)
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
