package jobs

import (
	"slices"
	"time"

	"marjoramtiller.example/marjoramtiller/job/schedule"
	"marjoramtiller.example/marjoramtiller/job/state"
)

// usableInterval is the time for which a list of the usable workers serves the checks for
// another host of a task.
const usableInterval = 50 * time.Millisecond

// usableList is a list of the usable workers with their free capacity.
type usableList struct {
	at      time.Duration // when it was made
	workers []*schedule.Worker
}

// hasHost reports whether a worker that is not excluded can take one more task of a run's
// step now. It is called in a view of the state.
func (s *session) hasHost(now time.Duration, st *state.Store, p *state.Placement, excluded ...string) bool {
	key := state.Key(p.Ref).StepKey()
	var tickets map[string]string
	if q := s.queues[p.Job.Queue]; q != nil && q.AdviceMs > 0 {
		var ok bool
		if tickets, ok = s.advice.tickets(key); !ok {
			return false
		}
	}
	return slices.ContainsFunc(s.usableWorkers(now, st), func(w *schedule.Worker) bool {
		return w.Pool == p.Job.Pool && !slices.Contains(excluded, w.ID) && schedule.Eligible(w, key, p.Step, tickets) && !s.upkeep.cordoned(w.ID)
	})
}

// usableWorkers returns the workers that may get tasks; the list may be usableInterval old.
func (s *session) usableWorkers(now time.Duration, st *state.Store) []*schedule.Worker {
	if s.hosts.workers == nil || now >= s.hosts.at+usableInterval {
		s.hosts = usableList{at: now, workers: s.usable(now, st)}
	}
	return s.hosts.workers
}
