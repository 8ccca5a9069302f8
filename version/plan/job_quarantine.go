package plan

import (
	"fmt"
	"slices"
	"time"
)

// quarantineDivisor limits the quarantine to a tenth of a pool's workers.
const quarantineDivisor = 10

// failuresBeforeBackoff is the number of consecutive failures, on any worker, after
// which a job's starts are delayed.
const failuresBeforeBackoff = 3

// maxBackoffShift limits the delay between starts of a failing job to 64 s.
const maxBackoffShift = 6

// workerHealth records a worker's task failures since its last success.
type workerHealth struct {
	failures      int
	firstFailure  time.Duration
	jobs          []*jobState // whose tasks failed on it, each once
	quarantinedAt time.Duration
	reason        string
}

// jobSuccess records the latest start that led to a success on one worker. A job keeps
// the records of two workers, so that at least one is of another worker than any given one.
type jobSuccess struct {
	worker  *workerState
	started time.Duration
}

func (s *Scheduler) recordSuccess(t *taskState) {
	j, w := t.job, t.worker
	j.consecutiveFailures, j.retryAt, t.losses = 0, 0, 0
	w.health.failures, w.health.jobs = 0, nil
	delete(w.pool.suspects, w)
	switch {
	case j.successes[0].worker == w:
		j.successes[0].started = max(j.successes[0].started, t.started)
	case j.successes[0].worker == nil || t.started >= j.successes[0].started:
		j.successes[1] = j.successes[0]
		j.successes[0] = jobSuccess{w, t.started}
	case j.successes[1].worker == nil || t.started > j.successes[1].started:
		j.successes[1] = jobSuccess{w, t.started}
	}
}

func (s *Scheduler) recordFailure(t *taskState, w *workerState) {
	j, h := t.job, &w.health
	t.avoidWorker = w.Name
	j.consecutiveFailures++
	s.delayStarts(j, j.consecutiveFailures)
	if h.failures == 0 {
		h.firstFailure = s.now
	}
	h.failures++
	if !slices.Contains(h.jobs, j) {
		h.jobs = append(h.jobs, j)
	}
	if h.failures >= s.settings.FailureLimit {
		w.pool.suspects[w] = true
	}
}

// recordLoss records that a task was lost with its worker, which the task may have
// crashed. All tasks of a worker are lost with it, so the losses of each count by themselves.
func (s *Scheduler) recordLoss(t *taskState) {
	t.losses++
	s.delayStarts(t.job, t.losses)
}

// delayStarts delays the next start of a job's tasks after failures in a row.
func (s *Scheduler) delayStarts(j *jobState, failures int) {
	if n := failures - failuresBeforeBackoff; n >= 0 {
		j.retryAt = s.now + time.Second<<min(n, maxBackoffShift)
	}
}

// succeedsElsewhere reports whether the job succeeded on another worker with a task
// started at or after since. A success of an earlier start does not count, because a
// cause that began after it may affect all workers.
func (j *jobState) succeedsElsewhere(w *workerState, since time.Duration) bool {
	for _, success := range j.successes {
		if success.worker != nil && success.worker != w && success.started >= since {
			return true
		}
	}
	return false
}

// updateQuarantine ends the quarantines that have lasted long enough and begins new ones,
// up to a tenth of the pool.
func (s *Scheduler) updateQuarantine(p *jobPool) {
	for len(p.quarantined) > 0 && s.now-p.quarantined[0].health.quarantinedAt >= s.settings.QuarantineDuration {
		s.endQuarantine(p, p.quarantined[0])
	}
	if len(p.suspects) == 0 {
		return
	}
	var order []*workerState
	for w := range p.suspects {
		if s.jobsSucceedElsewhere(w) {
			order = append(order, w)
		}
	}
	slices.SortFunc(order, func(a, b *workerState) int { return compareWorkerName(a, b.Name) })
	for _, w := range order {
		if len(p.quarantined) >= len(p.workers)/quarantineDivisor {
			return
		}
		s.quarantine(p, w)
	}
}

// boundQuarantine ends the oldest quarantines of a pool that has lost workers, so that
// the limit holds for its current size.
func (s *Scheduler) boundQuarantine(p *jobPool) {
	for len(p.quarantined) > len(p.workers)/quarantineDivisor {
		s.endQuarantine(p, p.quarantined[0])
	}
}

// jobsSucceedElsewhere reports whether a job that failed on the worker has succeeded on
// another worker since the first failure.
func (s *Scheduler) jobsSucceedElsewhere(w *workerState) bool {
	return slices.ContainsFunc(w.health.jobs, func(j *jobState) bool {
		return j.succeedsElsewhere(w, w.health.firstFailure)
	})
}

func (s *Scheduler) quarantine(p *jobPool, w *workerState) {
	w.inQuarantine = true
	w.health.quarantinedAt = s.now
	w.health.reason = fmt.Sprintf("%d tasks in a row, of %d jobs, failed on this worker, and at least one of the jobs succeeds on other workers: repair or reboot the worker",
		w.health.failures, len(w.health.jobs))
	delete(p.suspects, w)
	p.quarantined = append(p.quarantined, w)
	s.releaseReservations(w)
	p.addToBucket(w)
}

func (s *Scheduler) endQuarantine(p *jobPool, w *workerState) {
	w.inQuarantine = false
	w.health = workerHealth{}
	p.quarantined = slices.DeleteFunc(p.quarantined, func(o *workerState) bool { return o == w })
	p.addToBucket(w)
	p.dirty = true
}

// Quarantined lists the workers in quarantine.
func (s *Scheduler) Quarantined() []Quarantined {
	var out []Quarantined
	for _, p := range s.poolOrder {
		for _, w := range p.quarantined {
			out = append(out, Quarantined{w.Name, p.name, w.health.reason})
		}
	}
	return out
}
