package jobs

import (
	"time"

	"marjoramtiller.example/marjoramtiller/job/evidence"
	"marjoramtiller.example/marjoramtiller/job/jobpb"
	"marjoramtiller.example/marjoramtiller/job/state"
)

// endCause is why the leader takes a worker's process for ended.
type endCause string

// Causes of the end of a worker's process.
const (
	endOrdered   endCause = "ordered"   // by an upkeep or a move of its machine
	endAnnounced endCause = "announced" // by the worker itself
	endCrashed   endCause = "crashed"   // its machine is listed without it
	endRestarted endCause = "restarted" // another process reports or answers under its id
	endLapsed    endCause = "lapsed"    // silent until all its leases had expired
)

// endCauseOf returns why a worker that is about to be dropped has ended.
func (s *session) endCauseOf(w *workerState) endCause {
	switch {
	case w.endOrdered || w.inherited && s.upkeep.unconfirmed[w.machine]:
		return endOrdered
	case w.announcedExit || w.draining:
		return endAnnounced
	case w.listedAsEnded:
		return endCrashed
	}
	return endLapsed
}

// dropIfEnded drops a worker once it is proved that none of its runs is at work, and frees
// those of which it is proved before. It reports whether the worker is being dropped.
func (s *session) dropIfEnded(now time.Duration, w *workerState, placed map[state.TaskKey]*state.Placement) bool {
	if w.dropping {
		return true
	}
	proof := evidence.FromProcess(evidence.Process{
		LeasesExpireBy: w.track.LeasesExpireBy(), SilentFor: s.silence(now, w), MaxSilence: dropAfterReports * s.c.o.Bounds.ReportInterval,
		ListedAsEnded: w.listedAsEnded, ExitAnnounced: w.announcedExit, AddressReused: w.addressReused, Placed: len(placed), AnnouncedFor: now - w.leftAt,
	}, now)
	if proof == evidence.None {
		return false
	}
	if over := s.runsOver(now, w, proof, placed); len(over) < len(placed) {
		s.freeEnded(now, w, placed, over)
		return false
	}
	w.dropping = true
	registered := w.registered()
	s.recordWorkerEnd(now, registered, s.endCauseOf(w), placed, placed)
	s.log.Warn().Str("worker", w.info.Id).Int64("born_ms", w.info.BornMs).Dur("silent", s.timeSinceContact(now, w)).Bool("left", w.leftAt > 0).Str("proof", string(proof)).Int("runs", len(placed)).
		Msg("worker dropped: its leases have lapsed or it has ended")
	id, born := w.info.Id, registered.info.BornMs
	s.add(&jobpb.Entry{Change: &jobpb.Entry_Gone{Gone: &jobpb.WorkerGone{Id: id, BornMs: born, AtMs: s.nowMs()}}}, func(bool, error) {
		if s.workers[id] == w {
			s.fences.use(id, w.track.Fence())
			s.fences.foreignLeases[id] = w.track.LaterLeasesUntil()
			delete(s.workers, id)
			if w.acks.MaySend(s.now()) {
				delete(s.acks, id) // no process that begins from now on receives what was sent
			}
		}
	})
	return true
}

// runsOver returns the runs on a process that has ended which are certainly over.
func (s *session) runsOver(now time.Duration, w *workerState, proof evidence.Kind, placed map[state.TaskKey]*state.Placement) map[state.TaskKey]*state.Placement {
	later := evidence.Later{AbsentAt: w.absentAt, LeasesUntil: w.track.LaterLeasesUntil()}
	over := make(map[state.TaskKey]*state.Placement, len(placed))
	for key, p := range placed {
		if evidence.FromEnd(proof, startOf(w, key, p), later, now) != evidence.None {
			over[key] = p
		}
	}
	return over
}

// startOf returns what is known of the order for the start of a placed run.
func startOf(w *workerState, key state.TaskKey, p *state.Placement) evidence.Start {
	for _, process := range []*workerState{w, w.predecessor} {
		if process == nil {
			continue
		}
		if process.listedRuns[key].Run == p.Task.Run {
			return evidence.Start{Received: true}
		}
		if r := process.ownRun(key, p); r != nil {
			return evidence.Start{Received: r.received, Open: r.startEndedAt == 0, EndedAt: r.startEndedAt}
		}
	}
	// An earlier leader has sent it.
	return evidence.Start{Received: p.Task.SettledRun == p.Task.Run, EndedAt: w.knownSince + orderTimeout}
}

// freeEnded frees the runs on a process that has ended which are over, while a later process
// under its id may be at work on the others.
func (s *session) freeEnded(now time.Duration, w *workerState, placed, over map[state.TaskKey]*state.Placement) {
	if w.pendingEnds > 0 || len(over) == 0 && w.registered().endRecorded {
		return
	}
	s.log.Info().Str("worker", w.info.Id).Int64("born_ms", w.info.BornMs).Int("over", len(over)).Int("runs", len(placed)).Dur("absent", w.absentAt).
		Dur("later_leases", w.track.LaterLeasesUntil()-now).Msg("worker not dropped yet: a later process under its id may have received starts that it has not answered")
	s.recordWorkerEnd(now, w.registered(), s.endCauseOf(w), placed, over)
	s.loseRuns(w, over)
}

// loseRuns puts the ends of runs that are over into the log, before the worker is dropped.
func (s *session) loseRuns(w *workerState, over map[state.TaskKey]*state.Placement) {
	if len(over) == 0 {
		return
	}
	for _, p := range over {
		s.addEnd(w.registered(), p, jobpb.How_LOST, "", false)
	}
	w.pendingEnds++ // the next list is compared with the state after these ends
	s.add(&jobpb.Entry{}, func(bool, error) { w.pendingEnds-- })
}

// registered returns the state of the process that the log has under the worker's id.
func (w *workerState) registered() *workerState {
	if w.predecessor != nil {
		return w.predecessor
	}
	return w
}

// mayHaveLeft reports whether a worker has announced that it exits or is listed as ended,
// also if a message of it may be from after that list.
func (w *workerState) mayHaveLeft() bool { return w.leftAt > 0 || w.endUnsettled }

// recordWorkerEnd logs the end of a worker's process and the runs that are lost with it, once,
// and records those of them that are over and may have caused it.
func (s *session) recordWorkerEnd(now time.Duration, w *workerState, cause endCause, placed, over map[state.TaskKey]*state.Placement) {
	if w.endRecorded {
		s.recordHeldCrashes(w, over)
		return
	}
	w.endRecorded = true
	s.c.metrics.workersEnded.WithLabelValues(string(cause)).Inc()
	s.c.metrics.runsLost.WithLabelValues(string(cause)).Add(float64(len(placed)))
	s.log.Warn().Str("worker", w.info.Id).Int64("born_ms", w.info.BornMs).Str("machine", w.machine).Str("cause", string(cause)).
		Dur("silent", s.timeSinceContact(now, w)).Int("runs", len(placed)).Msg("worker has ended with its runs")
	for key, p := range placed {
		event := s.log.Info().Str("request", key.Job).Uint32("occurrence", key.Occurrence).Uint32("step", key.Step).Uint32("task", key.Index).
			Uint32("run", p.Task.Run).Str("worker", w.info.Id).Str("cause", string(cause))
		// A run of an earlier leader has no record of its order.
		if r := w.runs[key]; r != nil && r.run == p.Task.Run {
			event.Bool("confirmed", r.startConfirmed).Dur("sent_ago", now-r.sentAt).Dur("sent_before_last_contact", w.track.LastContact-r.sentAt)
		}
		event.Msg("run lost with its worker")
	}
	s.recordCrash(w, cause, placed, over)
}

// markEndOrdered records that an order of this leader ends the worker on a machine, or,
// after a refusal, that it does not. A silent worker may have ended before the order.
func (s *session) markEndOrdered(machine string, ordered bool) {
	if w := s.workers[s.upkeep.listed[machine].WorkerID]; w != nil && !w.silent {
		w.endOrdered = ordered
	}
}
