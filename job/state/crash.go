package state

import "marjoramtiller.example/marjoramtiller/job/jobpb"

// A task that crashes the workers that start it is given up, and its job fails, at a crash
// of which no other job can be the cause, if minCrashes workers have certainly crashed under
// it, or after maxCrashes crashes. A sound task can share a worker with one that crashes it,
// so a single crash never decides, and a start without an answer may never have begun.
const (
	minCrashes = 2
	maxCrashes = 4
)

// Suspects returns the tasks of open jobs whose runs may have crashed workers and that
// have not been given up.
func (s *Store) Suspects() map[TaskKey]*jobpb.Task { return s.suspects }

// Waiting reports whether a task is to be started, once its step is ready.
func Waiting(t *jobpb.Task) bool { return !t.Done && t.Worker == "" && !t.GivenUp }

// ShownState returns the state of a job as callers see it.
func ShownState(j *jobpb.Job) jobpb.Job_State {
	if j.Degraded && !ended(j.State) {
		return jobpb.Job_FAILED
	}
	return j.State
}

// countCrash counts the crash of a worker that a run of a task may have caused.
func (s *Store) countCrash(p *Placement, crash *jobpb.End) {
	if ended(p.Job.State) {
		return
	}
	p.Task.Crashes++
	if crash.Certain {
		p.Task.CertainCrashes++
	}
	s.suspects[Key(p.Ref)] = p.Task
	if p.Task.Crashes >= maxCrashes || crash.Sole && p.Task.CertainCrashes >= minCrashes {
		s.giveUp(p, crash.AtMs)
	}
}

// recordSurvival records that a worker has survived the start of a run whose task was
// suspected of crashing workers.
func (s *Store) recordSurvival(c *jobpb.Survived) bool {
	p := s.findPlacement(c.Task)
	if p == nil || p.Task.Run != c.Run || p.Task.Worker != c.Worker || c.Worker == "" {
		return false
	}
	p.Task.Survived = true
	return true
}

// giveUp fails the job of a task that crashes its workers. The tasks of lasting steps
// serve users until the job is cancelled, so a job with such steps only loses the one task.
func (s *Store) giveUp(p *Placement, atMs int64) {
	p.Task.GivenUp = true
	delete(s.suspects, Key(p.Ref))
	for _, step := range p.Job.Steps {
		if step.Lasting {
			p.Job.Degraded = true
			return
		}
	}
	s.setState(p.Job, jobpb.Job_FAILED, atMs)
}

// clearCrashes removes the suspicion against a task that has ended or lasted.
func (s *Store) clearCrashes(p *Placement) {
	p.Task.Crashes, p.Task.CertainCrashes = 0, 0
	delete(s.suspects, Key(p.Ref))
}

// forgetSuspects removes the tasks of a job that has ended.
func (s *Store) forgetSuspects(job string) {
	for key := range s.suspects {
		if key.Job == job {
			delete(s.suspects, key)
		}
	}
}

// restoreSuspect adds a task of a snapshot to the suspects.
func (s *Store) restoreSuspect(j *jobpb.Job, key TaskKey, t *jobpb.Task) {
	if t.Crashes > 0 && !ended(j.State) && !t.GivenUp {
		s.suspects[key] = t
	}
}
