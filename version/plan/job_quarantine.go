package plan

import (
	"fmt"
	"slices"
	"time"
)

// quarantineDivisor bounds the quarantine to a tenth of a pool.
const quarantineDivisor = 10

// failuresBeforeBackoff is the number of failures in a row, on any worker, after
// which a job's starts are delayed.
const failuresBeforeBackoff = 3

// maxBackoffShift bounds the delay between starts of a failing job to 64 s.
const maxBackoffShift = 6

// workerHealth is the evidence against a worker: its failures since its last success.
type workerHealth struct {
	failures int
	since    time.Duration // first failure
	jobs     []*jobState   // that failed on it, each once
	heldAt   time.Duration
	reason   string
}

// jobSuccess records the latest start that led to a success on one worker. A job keeps
// those of two workers, so that one is known other than any given worker.
type jobSuccess struct {
	worker  *workerState
	started time.Duration
}

func (s *Scheduler) succeeded(t *taskState) {
	j, w := t.job, t.worker
	j.failed, j.retryAt = 0, 0
	w.health.failures, w.health.jobs = 0, nil
	delete(w.pool.suspects, w)
	switch {
	case j.success[0].worker == w:
		j.success[0].started = max(j.success[0].started, t.started)
	case j.success[0].worker == nil || t.started >= j.success[0].started:
		j.success[1] = j.success[0]
		j.success[0] = jobSuccess{w, t.started}
	case j.success[1].worker == nil || t.started > j.success[1].started:
		j.success[1] = jobSuccess{w, t.started}
	}
}

func (s *Scheduler) failedOn(t *taskState, w *workerState) {
	j, h := t.job, &w.health
	t.avoid = w.Name
	j.failed++
	if n := j.failed - failuresBeforeBackoff; n >= 0 {
		j.retryAt = s.now + time.Second<<min(n, maxBackoffShift)
	}
	if h.failures == 0 {
		h.since = s.now
	}
	h.failures++
	if !slices.Contains(h.jobs, j) {
		h.jobs = append(h.jobs, j)
	}
	if h.failures >= s.settings.FailureLimit {
		w.pool.suspects[w] = true
	}
}

// succeedsElsewhere reports whether the job succeeded on another worker with a task
// started at or after since. An earlier start proves nothing about a cause that has
// since reached all workers.
func (j *jobState) succeedsElsewhere(w *workerState, since time.Duration) bool {
	for _, ok := range j.success {
		if ok.worker != nil && ok.worker != w && ok.started >= since {
			return true
		}
	}
	return false
}

// updateQuarantine ends old quarantines and begins new ones within a tenth of the pool.
func (s *Scheduler) updateQuarantine(p *jobPool) {
	for len(p.held) > 0 && s.now-p.held[0].health.heldAt >= s.settings.QuarantineFor {
		s.endQuarantine(p, p.held[0])
	}
	if len(p.suspects) == 0 {
		return
	}
	var order []*workerState
	for w := range p.suspects {
		if s.evidence(w) {
			order = append(order, w)
		}
	}
	slices.SortFunc(order, func(a, b *workerState) int { return compareWorkerName(a, b.Name) })
	for _, w := range order {
		if len(p.held) >= len(p.workers)/quarantineDivisor {
			return
		}
		s.quarantine(p, w)
	}
}

// boundQuarantine ends the oldest quarantines of a pool that has lost workers, so that
// the bound holds for its present size.
func (s *Scheduler) boundQuarantine(p *jobPool) {
	for len(p.held) > len(p.workers)/quarantineDivisor {
		s.endQuarantine(p, p.held[0])
	}
}

func (s *Scheduler) evidence(w *workerState) bool {
	return slices.ContainsFunc(w.health.jobs, func(j *jobState) bool {
		return j.succeedsElsewhere(w, w.health.since)
	})
}

func (s *Scheduler) quarantine(p *jobPool, w *workerState) {
	w.suspended = true
	w.health.heldAt = s.now
	w.health.reason = fmt.Sprintf("%d tasks in a row failed here and %d jobs of them succeed elsewhere: repair or reboot the worker",
		w.health.failures, len(w.health.jobs))
	delete(p.suspects, w)
	p.held = append(p.held, w)
	s.release(w)
	p.index(w)
}

func (s *Scheduler) endQuarantine(p *jobPool, w *workerState) {
	w.suspended = false
	w.health = workerHealth{}
	p.held = slices.DeleteFunc(p.held, func(o *workerState) bool { return o == w })
	p.index(w)
	p.dirty = true
}

// Quarantined lists the workers that get no tasks because of failures.
func (s *Scheduler) Quarantined() []Quarantined {
	var out []Quarantined
	for _, p := range s.order {
		for _, w := range p.held {
			out = append(out, Quarantined{w.Name, p.name, w.health.reason})
		}
	}
	return out
}
