package jobs

import (
	"time"

	"marjoramtiller.example/marjoramtiller/job/state"
)

// Evidence that a worker is slow or stands still.
const (
	overdueFactor = 3.0                    // expected run times after which a run is overdue
	overdueMin    = 400 * time.Millisecond // beyond the expected run time at least
	overdueRuns   = 2                      // that make a worker suspect; single tasks run long by themselves
	overdueShare  = 0.5                    // of its runs, likewise
	rescueFactor  = 1.5                    // expected run times that a run must still need to be begun anew
	rescueRounds  = 4                      // runs taken from one worker at a look
	unlearnedRuns = 3                      // of a task that are stopped on the word of its declared run time
	fullShare     = 100.0
)

// judgeSpeed counts the overdue runs of a worker and, where they make it suspect,
// stops those that are done sooner if they begin anew elsewhere.
func (s *session) judgeSpeed(now time.Duration, w *workerState, placed map[state.TaskKey]*state.Placement) {
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
	suspect := overdue >= overdueRuns && float64(overdue) >= overdueShare*float64(short)
	if suspect != w.suspect {
		s.log.Info().Str("worker", w.info.Id).Int("overdue", overdue).Int("runs", short).Bool("suspect", suspect).Msg("worker's speed judged")
	}
	if suspect {
		w.suspectAt = now
	}
	w.suspect = suspect
	if !suspect {
		return
	}
	rescued := 0
	for key, p := range placed {
		if rescued == rescueRounds {
			return
		}
		if s.rescuable(w, p) && s.overdue(now, w, key, p) && s.soonerElsewhere(now, w, key, p) {
			s.log.Info().Str("request", key.Job).Uint32("step", key.Step).Uint32("task", key.Index).Str("worker", w.info.Id).
				Int("percent", w.load[key].Percent).Dur("ran", now-w.runs[key].okAt).Msg("run stopped: it is done sooner elsewhere")
			s.stopRun(now, w, key, p)
			rescued++
		}
	}
}

// rescuable reports whether a run of a suspect worker may be stopped to begin anew
// elsewhere. There must be a worker that is not suspect, and a declared run time
// that no run has confirmed counts for the first runs of a task only: else it could
// be stopped again and again and never end.
func (s *session) rescuable(w *workerState, p *state.Placement) bool {
	if p.Step.Lasting || p.Step.Gang || state.Ended(p.Job) {
		return false
	}
	if !s.estimate.Learned(p.Job.Queue) && p.Task.Run > unlearnedRuns {
		return false
	}
	for _, other := range s.workers {
		if other != w && other.info.Pool == w.info.Pool && other.track.Looked && !other.suspect && !other.silent &&
			!other.draining && !other.dropping && other.left == 0 {
			return true
		}
	}
	return false
}

func (s *session) overdue(now time.Duration, w *workerState, key state.TaskKey, p *state.Placement) bool {
	r := w.runs[key]
	if r == nil || !r.answered || r.run != p.Task.Run || r.stopAt > 0 {
		return false
	}
	expected := s.estimate.Of(p.Job.Queue, p.Step)
	return now-r.okAt > max(time.Duration(overdueFactor*float64(expected)), expected+overdueMin)
}

// soonerElsewhere reports whether a run needs longer, at the speed seen so far,
// than one that begins anew.
func (s *session) soonerElsewhere(now time.Duration, w *workerState, key state.TaskKey, p *state.Placement) bool {
	percent := float64(w.load[key].Percent)
	if percent <= 0 {
		return true
	}
	ran := float64(now - w.runs[key].okAt)
	left := ran * (fullShare - percent) / percent
	return left > rescueFactor*float64(s.estimate.Of(p.Job.Queue, p.Step))
}

// suspectMemory is how long a worker is avoided after it was suspect.
const suspectMemory = 3 * time.Second

// rank orders workers for new tasks: those with failures lately, or that are slow,
// come last.
func (w *workerState) rank(now time.Duration) int {
	n := w.recentFailures(now)
	if w.suspectAt > 0 && now < w.suspectAt+suspectMemory {
		n += overdueRuns
	}
	return n
}
