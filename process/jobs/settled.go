package jobs

import (
	"time"

	"marjoramtiller.example/marjoramtiller/job/jobpb"
	"marjoramtiller.example/marjoramtiller/job/state"
)

// A later process under a worker's id runs only what it has started itself: runs whose start
// was meant for the earlier process, under leases of the longest kind. Only the leader that
// sent such a start can know of it, and it may end before it can log that. The log therefore
// tells which starts are settled: the registered process has carried them out, and holds no
// such lease. A later session takes the longest lease for possible at a worker whose starts
// are not all settled.

// settleDelay is the longest time for which settled starts wait for an entry that is
// committed anyway.
const settleDelay = 500 * time.Millisecond

// settledStart is a settled start that is not in the log yet.
type settledStart struct {
	worker *workerState
	change *jobpb.Settled
}

// settle notes that a worker's registered process has carried out the start of a run. It does
// nothing while that process may hold leases of orders that were meant for an earlier one;
// later lists of its runs repeat the call.
func (s *session) settle(now time.Duration, w *workerState, task *jobpb.TaskRef, run uint32) {
	key := state.Key(task)
	if now <= w.track.ForeignLeasesUntil() || w.settling[key] >= run {
		return
	}
	if w.settling == nil {
		w.settling = startSet{}
	}
	w.settling.put(key, run)
	if len(s.settled) == 0 {
		s.settledSince = now
	}
	s.settled = append(s.settled, settledStart{w, &jobpb.Settled{Task: task, Run: run}})
}

// mayBeUnsettled reports whether a later process under a worker's id may hold leases of
// starts that an earlier session sent. Without runs there, only a leader in between may have
// known of one: what sessions of this process knew is in the record of fences.
func (s *session) mayBeUnsettled(worker string) bool {
	return !s.c.store.Settled(worker) && (!s.fences.knowsLeases || len(s.c.store.Placements(worker)) > 0)
}

// addSettled puts the settled starts of runs that have not ended into the next log entry, if
// there is one or if they have waited for settleDelay.
func (s *session) addSettled(now time.Duration) {
	if len(s.settled) == 0 || len(s.batch) == 0 && now-s.settledSince < settleDelay {
		return
	}
	list := s.settled
	s.settled = nil
	s.view(func(st *state.Store) {
		for _, start := range list {
			key, run := state.Key(start.change.Task), start.change.Run
			logged := func(bool, error) { start.worker.settling.removeRun(key, run) }
			if p := st.Placements(start.worker.info.Id)[key]; p == nil || p.Task.Run != run {
				logged(false, nil)
				continue
			}
			s.add(&jobpb.Entry{Change: &jobpb.Entry_Settled{Settled: start.change}}, logged)
		}
	})
}
