package jobs

import (
	"time"

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

// mayHaveLeft reports whether a worker has announced that it exits or is listed as ended,
// also if a message of it may be from after that list.
func (w *workerState) mayHaveLeft() bool { return w.leftAt > 0 || w.endUnsettled }

// recordWorkerEnd logs the end of a worker's process and the runs that are lost with it,
// and records those that may have caused it.
func (s *session) recordWorkerEnd(now time.Duration, w *workerState, cause endCause, placed map[state.TaskKey]*state.Placement) {
	if w.endRecorded {
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
	s.recordCrash(w, cause, placed)
}

// markEndOrdered records that an order of this leader ends the worker on a machine, or,
// after a refusal, that it does not. A silent worker may have ended before the order.
func (s *session) markEndOrdered(machine string, ordered bool) {
	if w := s.workers[s.upkeep.listed[machine].WorkerID]; w != nil && !w.silent {
		w.endOrdered = ordered
	}
}
