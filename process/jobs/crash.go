package jobs

import (
	"slices"
	"time"

	"github.com/rs/zerolog"

	"marjoramtiller.example/marjoramtiller/job/jobpb"
	"marjoramtiller.example/marjoramtiller/job/schedule"
	"marjoramtiller.example/marjoramtiller/job/state"
)

// soundAge is the age of a run from which its task no longer counts as crashing its
// workers: by then a leader has seen the end of a worker that crashed at the start.
const soundAge = 10 * time.Second

// inheritedSoundAge is the age, when a session begins, from which a run of an earlier leader
// counts as sound. It is three times soundAge because leaders can change, and sessions end,
// before one of them has seen the end of a worker that crashed at the start.
const inheritedSoundAge = 3 * soundAge

// crashNoticedAfter is the time after a start from which a leader logs no more starts on
// the worker if the run has crashed it: the hold that was under way then has failed.
const crashNoticedAfter = schedule.ProbationTime + holdWait + orderTimeout

// runAge returns the age of a placed run at a time. For a run of an earlier leader it is
// the time since this leader's term began, which is less.
func (s *session) runAge(w *workerState, key state.TaskKey, p *state.Placement, at time.Duration) time.Duration {
	if r := w.runs[key]; r != nil && r.run == p.Task.Run && r.sentAt > 0 {
		return at - r.sentAt
	}
	return at - s.began
}

// crashSuspect is a run that may have crashed its worker.
type crashSuspect struct {
	placement *state.Placement
	certain   bool // it was at work and the worker has ended by itself
}

// crashSuspects returns the runs on an ended worker that may have crashed it, and whether
// only one job can be to blame. A run that may not have begun is a suspect only if its
// task was one before.
func (s *session) crashSuspects(w *workerState, cause endCause, placed map[state.TaskKey]*state.Placement) (suspects []crashSuspect, sole bool) {
	jobs := map[string]bool{}
	crashed := cause == endCrashed || cause == endRestarted
	// A cut connection times out, one to a process that has ended is closed.
	sole = crashed && w.disconnected
	newest := newestInherited(w, placed)
	for key, p := range placed {
		r := w.ownRun(key, p)
		if r == nil && s.inheritedSound(w, p, newest) || r != nil && r.startConfirmed && w.survived(r.sentAt) {
			continue
		}
		began := r == nil || r.startConfirmed || r.startBrokenOff
		if !began && (p.Task.Crashes == 0 || !crashed) {
			continue
		}
		suspects = append(suspects, crashSuspect{placement: p, certain: crashed && w.begun(key, p)})
		jobs[key.Job] = true
		sole = sole && began && r != nil
	}
	return suspects, sole && len(jobs) == 1
}

// begun reports whether a placed run has certainly begun: its start was confirmed, or a
// list of the worker's runs names it.
func (w *workerState) begun(key state.TaskKey, p *state.Placement) bool {
	r := w.ownRun(key, p)
	return r != nil && r.startConfirmed || w.listedRuns[key].Run == p.Task.Run
}

// ownRun returns the state of a placed run if this leader has ordered its start.
func (w *workerState) ownRun(key state.TaskKey, p *state.Placement) *runState {
	if r := w.runs[key]; r != nil && r.run == p.Task.Run && r.sentAt > 0 {
		return r
	}
	return nil
}

// survived reports whether the worker was in contact so long after a start that the start
// has not crashed it.
func (w *workerState) survived(sentAt time.Duration) bool {
	return w.track.LastContact-sentAt >= schedule.ProbationTime
}

// newestInherited returns when an earlier leader logged its latest start on a worker, in
// Unix ms.
func newestInherited(w *workerState, placed map[state.TaskKey]*state.Placement) (newest int64) {
	for key, p := range placed {
		if w.ownRun(key, p) == nil {
			newest = max(newest, p.Task.StartedMs)
		}
	}
	return newest
}

// inheritedSound reports whether a run of an earlier leader has not crashed its worker.
// The log tells so for tasks with crashes. Of the others, those are not suspects whose crash
// the earlier leader would have noticed before it logged its newest start on the worker, or
// an earlier leader would have seen long before this session began. A newer start alone clears no
// run: until a leader notices a crash it logs starts on the worker that has crashed.
func (s *session) inheritedSound(w *workerState, p *state.Placement, newest int64) bool {
	if w.survived(s.began) {
		return true
	}
	if p.Task.Crashes > 0 {
		return p.Task.Survived
	}
	termBegan := s.nowMs() - (s.now() - s.began).Milliseconds()
	return p.Task.StartedMs <= newest-crashNoticedAfter.Milliseconds() || p.Task.StartedMs <= termBegan-inheritedSoundAge.Milliseconds()
}

// recordCrash writes to the log which runs may have crashed a worker that has ended, so
// that a later leader knows it too. It must precede the entry that removes the worker. Runs
// that are not over yet are recorded once they are.
func (s *session) recordCrash(w *workerState, cause endCause, placed, over map[state.TaskKey]*state.Placement) {
	for key, p := range over {
		if s.provenSound(w, key, p, w.track.LastContact) {
			s.addEnd(w, p, jobpb.How_LOST, "", true)
		}
	}
	if cause == endAnnounced {
		return
	}
	suspects, sole := s.crashSuspects(w, cause, placed)
	w.heldCrashes = make(map[state.TaskKey]*jobpb.End, len(suspects))
	for _, suspect := range suspects {
		p := suspect.placement
		w.heldCrashes[state.Key(p.Ref)] = &jobpb.End{Task: p.Ref, Run: p.Task.Run, How: jobpb.How_CRASHED, Worker: w.info.Id, AtMs: s.nowMs(), Sole: sole, Certain: suspect.certain}
	}
	s.recordHeldCrashes(w, over)
}

// recordHeldCrashes writes to the log which of the runs that are over may have crashed their
// worker.
func (s *session) recordHeldCrashes(w *workerState, over map[state.TaskKey]*state.Placement) {
	for key, p := range over {
		end := w.heldCrashes[key]
		if end == nil || end.Run != p.Task.Run {
			continue
		}
		delete(w.heldCrashes, key)
		s.add(&jobpb.Entry{Change: &jobpb.Entry_End{End: end}}, func(applied bool, _ error) {
			if applied {
				s.logCrash(p, end.Sole)
			}
		})
	}
}

// provenSound reports whether a task that was suspected of crashing its workers had a run
// that lasted long enough to clear it.
func (s *session) provenSound(w *workerState, key state.TaskKey, p *state.Placement, at time.Duration) bool {
	return p.Task.Crashes > 0 && s.runAge(w, key, p, at) >= soundAge
}

// logCrash logs that a task is suspected of having crashed a worker, or given up.
func (s *session) logCrash(p *state.Placement, sole bool) {
	s.view(func(*state.Store) {
		level, message := zerolog.InfoLevel, "task may have crashed its worker: it starts apart from others"
		switch {
		case p.Task.GivenUp:
			level, message = zerolog.WarnLevel, "task given up: it crashes the workers that start it"
			s.c.metrics.tasksGivenUp.Inc()
		case state.Ended(p.Job):
			return
		}
		s.log.WithLevel(level).Str("request", p.Ref.Job).Uint32("occurrence", p.Ref.Occurrence).Uint32("step", p.Ref.Step).Uint32("task", p.Ref.Index).
			Uint32("crashes", p.Task.Crashes).Uint32("certain_crashes", p.Task.CertainCrashes).Bool("sole", sole).Msg(message)
	})
}

// recentStart is a start whose run may still crash its worker.
type recentStart struct {
	task        *jobpb.TaskRef
	run         uint32
	sentAt      time.Duration
	onProbation bool
}

// removeSurvivedStarts removes the starts that a worker has survived. For tasks on
// probation it writes that to the log, so that a later leader does not blame them. A start
// without an answer may be carried out later, and one may have been until it was confirmed.
func (s *session) removeSurvivedStarts(w *workerState) {
	n := 0
	for ; n < len(w.recentStarts) && w.survived(w.recentStarts[n].sentAt); n++ {
		start := w.recentStarts[n]
		r := w.runs[state.Key(start.task)]
		confirmed := r != nil && r.run == start.run && r.startConfirmed
		if start.onProbation && confirmed && !w.survived(r.startConfirmedAt) {
			break
		}
		if start.onProbation && confirmed {
			survived := &jobpb.Survived{Task: start.task, Run: start.run, Worker: w.info.Id}
			s.add(&jobpb.Entry{Change: &jobpb.Entry_Survived{Survived: survived}}, nil)
		}
	}
	w.recentStarts = w.recentStarts[n:]
}

// onProbation reports whether a worker has not survived yet the start of a task on
// probation, so that its next sign of life is wanted soon.
func (w *workerState) onProbation() bool {
	return slices.ContainsFunc(w.recentStarts, func(r recentStart) bool { return r.onProbation })
}

// addRecentStarts adds the starts that a worker has not survived yet to the planner's
// view of it.
func (w *workerState) addRecentStarts(sw *schedule.Worker) {
	for _, start := range w.recentStarts {
		sw.AddRecentStart(start.task.Job, start.onProbation)
		sw.LastStart = start.sentAt
	}
}
