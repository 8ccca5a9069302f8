package jobs

import (
	"time"

	"marjoramtiller.example/marjoramtiller/job/jobpb"
	"marjoramtiller.example/marjoramtiller/job/state"
)

// begun checks a start, with the world locked.
func (s *sim) begun(w *simWorker, r *simRun, o StartOrder) {
	key, step := r.key, s.step(r.key)
	for _, x := range s.workers {
		if !x.gone {
			x.advance()
		}
	}
	failures := 0
	for _, past := range s.history[key] {
		switch {
		case past.to.IsZero() && !s.workers[past.worker].gone:
			s.fail("%v starts on %s while run %d is at work on %s", key, w.id, past.number, past.worker)
		case past.how == jobpb.How_DONE && past.noted:
			s.fail("%v starts again after its end on %s", key, past.worker)
		case past.how == jobpb.How_FAILED && past.noted:
			failures++
		}
	}
	if failures >= 3 && !step.Lasting {
		s.fail("%v starts after %d failures", key, failures)
	}
	if at, cancelled := s.cancels[key.Job]; cancelled && time.Since(at) > simCancel {
		s.fail("%v starts %v after its cancellation", key, time.Since(at))
	}
	if o.Spec != "spec of "+key.Job {
		s.fail("%v starts with the spec %q", key, o.Spec)
	}
	used := step.CpuMillis
	for _, other := range w.runs {
		used += s.step(other.key).CpuMillis
	}
	if used > simCPU {
		s.fail("%s has %d thousandths of a core in use", w.id, used)
	}
	for _, before := range step.After {
		for i := range s.steps[key.Job][before].Count {
			if !s.done(state.TaskKey{Job: key.Job, Step: before, Index: i}) {
				s.fail("%v starts before task %d of step %d is done", key, i, before)
			}
		}
	}
	s.history[key] = append(s.history[key], r)
}

func (s *sim) done(key state.TaskKey) bool {
	for _, r := range s.history[key] {
		if r.how == jobpb.How_DONE && !r.to.IsZero() {
			return true
		}
	}
	return false
}

// taken checks that an order may end a run of a lasting step that is at work. An
// order that was held up on its way, or to a worker that leaves, is not judged.
func (s *sim) taken(w *simWorker, r *simRun, by string) {
	step := s.step(r.key)
	if _, cancelled := s.cancels[r.key.Job]; cancelled || s.heldUp || w.draining || !step.Lasting || step.MaxUnavailable == 0 || time.Since(r.from) < simStartup {
		return
	}
	away := uint32(0)
	for i := range step.Count {
		key := r.key
		key.Index = i
		if i != r.key.Index && s.away(key) {
			away++
		}
	}
	if away >= step.MaxUnavailable {
		s.fail("%s ends %v on %s while %d others of its step are away", by, r.key, w.id, away)
	}
}

// away reports whether an order has ended a task that is not at work again, or it
// was not at work for long.
func (s *sim) away(key state.TaskKey) bool {
	runs := s.history[key]
	if len(runs) == 0 {
		return false // it has never begun
	}
	last := runs[len(runs)-1]
	if last.to.IsZero() && time.Since(last.from) >= simStartup {
		return false
	}
	for i := len(runs) - 1; i >= 0; i-- {
		r := runs[i]
		if !r.to.IsZero() && r.byOrder {
			return true
		}
		if !r.to.IsZero() && r.to.Sub(r.from) >= simStartup {
			return time.Since(r.to) > simNotice
		}
	}
	return false
}

// checkEnds checks that everything that can be done is done.
func (s *sim) checkEnds() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.storeMu.Lock()
	defer s.storeMu.Unlock()
	for _, w := range s.workers {
		if !w.gone {
			w.advance()
		}
	}
	for _, w := range s.store.Waves() {
		if !state.WaveCompleted(w) {
			s.fail("wave %d is not completed", w.Number)
		}
	}
	for id, steps := range s.steps {
		j := s.store.Job(id)
		_, cancelled := s.cancels[id]
		switch {
		case j == nil:
			s.fail("job %s is lost", id)
		case cancelled:
			if s.running(id) > 0 {
				s.fail("the cancelled job %s has %d runs", id, s.running(id))
			}
		case steps[0].Lasting:
			if s.running(id) != int(steps[0].Count) {
				s.fail("%d tasks of the lasting job %s are at work", s.running(id), id)
			}
		default:
			s.checkEnd(id, j, steps)
		}
	}
}

func (s *sim) running(id string) (n int) {
	for key, runs := range s.history {
		if last := runs[len(runs)-1]; key.Job == id && last.to.IsZero() {
			n++
		}
	}
	return n
}

// checkEnd checks that a job's state follows from its runs.
func (s *sim) checkEnd(id string, j *jobpb.Job, steps []*jobpb.Step) {
	failed := false
	for key, runs := range s.history {
		failures := 0
		for _, r := range runs {
			if r.how == jobpb.How_FAILED && r.noted {
				failures++
			}
		}
		failed = failed || key.Job == id && failures >= 3
	}
	switch {
	case j.State == jobpb.Job_FAILED && !failed:
		s.fail("job %s has failed without cause", id)
	case j.State == jobpb.Job_COMPLETED:
		for k, step := range steps {
			for i := range step.Count {
				if !s.done(state.TaskKey{Job: id, Step: uint32(k), Index: i}) {
					s.fail("job %s is completed without task %d of step %d", id, i, k)
				}
			}
		}
	case j.State != jobpb.Job_FAILED:
		s.fail("job %s is %v", id, j.State)
	}
}
