package jobs

import (
	"time"

	"marjoramtiller.example/marjoramtiller/job/schedule"
	"marjoramtiller.example/marjoramtiller/job/state"
)

// Thresholds for workers that are slow or make no progress.
const (
	overdueFactor       = 3.0                    // multiple of the expected run time after which a run is overdue
	overdueMin          = 400 * time.Millisecond // minimum by which an overdue run exceeds the expected run time
	overdueRuns         = 2                      // overdue runs that make a worker suspect; a single task may just take long
	overdueShare        = 0.5                    // share of overdue runs that makes a worker suspect
	restartFactor       = 1.5                    // multiple of the expected run time that must remain for a run to be restarted elsewhere
	maxRestartsPerCheck = 4                      // runs of one worker that are stopped per check
	maxUnlearnedRuns    = 3                      // runs of a task that may be stopped while only its declared run time is available
	hundredPercent      = 100.0
)

// checkSpeed counts the overdue runs of a worker. If they make it suspect, it stops
// those that finish sooner when restarted on another worker.
func (s *session) checkSpeed(now time.Duration, w *workerState, placed map[state.TaskKey]*state.Placement) {
	short, overdue := 0, 0
	for key, p := range placed {
		if p.Step.Lasting || state.Ended(p.Job) {
			continue
		}
		short++
		if s.overdue(now, w, key, p) {
			overdue++
		}
	}
	many := overdue >= overdueRuns && float64(overdue) >= overdueShare*float64(short)
	// The last run of a worker that stands still is overdue alone once the others are stopped.
	suspect := many || overdue > 0 && w.recentlySuspect(now)
	if suspect != w.suspect {
		s.log.Info().Str("worker", w.info.Id).Int("overdue", overdue).Int("runs", short).Bool("suspect", suspect).Msg("worker's suspect state changed")
	}
	if suspect {
		w.suspectAt = now
	}
	w.suspect = suspect
	if !suspect {
		return
	}
	restarted := 0
	for key, p := range placed {
		if restarted == maxRestartsPerCheck {
			return
		}
		if s.restartable(w, p) && s.overdue(now, w, key, p) && s.fasterElsewhere(now, w, key, p) {
			s.log.Info().Str("request", key.Job).Uint32("step", key.Step).Uint32("task", key.Index).Str("worker", w.info.Id).
				Int("percent", w.listedRuns[key].Percent).Dur("ran", now-w.runs[key].startConfirmedAt).Msg("run stopped: it is done sooner elsewhere")
			s.stopRun(now, w, key, p)
			restarted++
		}
	}
}

// restartable reports whether a run of a suspect worker may be stopped to be restarted
// on another. The pool must have another worker that may get the task and is neither suspect
// nor silent nor leaving nor cordoned. As long as no run times have been learned for the queue, only the first
// maxUnlearnedRuns runs of a task may be stopped: with a declared run time that is too
// short, the task would be stopped again and again and never finish.
func (s *session) restartable(w *workerState, p *state.Placement) bool {
	if p.Step.Lasting || p.Step.Gang || state.Ended(p.Job) {
		return false
	}
	if !s.estimate.HasEnoughRuns(p.Job.Queue) && p.Task.Run > maxUnlearnedRuns {
		return false
	}
	for id, other := range s.workers {
		if other != w && other.info.Pool == w.info.Pool && other.track.RunsListed && !other.suspect && !other.silent &&
			!other.draining && !other.dropping && other.leftAt == 0 && schedule.HasLabel(other.info.Labels, p.Step) && !s.upkeep.cordoned(id) {
			return true
		}
	}
	return false
}

// overdue reports whether a run that was confirmed and not stopped takes much longer
// than expected.
func (s *session) overdue(now time.Duration, w *workerState, key state.TaskKey, p *state.Placement) bool {
	r := w.runs[key]
	if r == nil || !r.startConfirmed || r.run != p.Task.Run || r.stopSentAt > 0 {
		return false
	}
	expected := s.estimate.RunTime(p.Job.Queue, p.Step)
	return now-r.startConfirmedAt > max(time.Duration(overdueFactor*float64(expected)), expected+overdueMin)
}

// fasterElsewhere reports whether a run, at its speed so far, has more time left than
// restartFactor times the expected run time of a new run.
func (s *session) fasterElsewhere(now time.Duration, w *workerState, key state.TaskKey, p *state.Placement) bool {
	percent := float64(w.listedRuns[key].Percent)
	if percent <= 0 {
		return true
	}
	ran := float64(now - w.runs[key].startConfirmedAt)
	left := ran * (hundredPercent - percent) / percent
	return left > restartFactor*float64(s.estimate.RunTime(p.Job.Queue, p.Step))
}

// suspectPenaltyTime is how long a worker is ranked lower after it was last suspect.
const suspectPenaltyTime = 3 * time.Second

func (w *workerState) recentlySuspect(now time.Duration) bool {
	return w.suspectAt > 0 && now < w.suspectAt+suspectPenaltyTime
}

// penalty returns a worker's rank for new tasks. Workers with recent failures, or
// that were recently suspect, have a higher penalty and get tasks last.
func (w *workerState) penalty(now time.Duration) int {
	n := w.recentFailures(now)
	if w.recentlySuspect(now) {
		n += overdueRuns
	}
	return n
}
