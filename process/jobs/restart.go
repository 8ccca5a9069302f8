package jobs

import (
	"time"

	"marjoramtiller.example/marjoramtiller/job/evidence"
	"marjoramtiller.example/marjoramtiller/job/jobpb"
	"marjoramtiller.example/marjoramtiller/job/orders"
	"marjoramtiller.example/marjoramtiller/job/state"
)

// A worker's process may end and start again under its id. An order names only the id, so
// one for the earlier process may have been carried out by the later one, which has seen
// no fence. The log therefore registers the later process only once a list of its runs,
// under a fence above all that the earlier one was sent, shows that no placed run is at
// work there. Until then the leader's state of the later process has the earlier one as
// its predecessor.

// succeed begins to track a later process of a worker. It is registered at once if nothing
// is placed on the earlier one. result receives the outcome of the registration.
func (s *session) succeed(earlier *workerState, r Report, result chan<- error) {
	registered := earlier
	if earlier.predecessor != nil {
		// The process between them is gone as well, and was never registered.
		registered = earlier.predecessor
		answerAll(earlier.takeReports(), nil)
	}
	s.fences.use(earlier.info.Id, earlier.track.Fence())
	w := s.trackWorker(r.Worker, false)
	w.track.ExpectForeignLeases(s.now())
	w.predecessor, w.sequence, w.machine = registered, r.Sequence, registered.machine
	w.unconfirmedReports = []chan<- error{result}
	if !r.Worker.Unreported {
		w.setReported(s.now(), r.ClockMs)
	}
	w.track.SampleClock(s.now(), r.ClockMs)
	s.view(func(st *state.Store) {
		placed := st.Placements(w.info.Id)
		s.log.Warn().Str("worker", w.info.Id).Int64("born_ms", w.info.BornMs).Int64("known_ms", registered.info.BornMs).Int("runs", len(placed)).
			Uint64("fence", w.track.Fence()).Bool("reported", !r.Worker.Unreported).Msg("worker was restarted: a new process answers under its id")
		if len(placed) == 0 {
			s.registerSuccessor(w, placed)
		}
	})
}

// updateSuccessor takes a further report of a process that is not registered yet.
func (s *session) updateSuccessor(w *workerState, r Report, result chan<- error) {
	w.info = r.Worker
	w.info.Sequence = r.Sequence
	w.draining = r.Worker.Draining
	w.unconfirmedReports = append(w.unconfirmedReports, result)
}

// takeReports removes and returns the calls that wait for the registration of a process.
func (w *workerState) takeReports() []chan<- error {
	waiting := w.unconfirmedReports
	w.unconfirmedReports = nil
	return waiting
}

func answerAll(waiting []chan<- error, err error) {
	for _, result := range waiting {
		result <- err
	}
}

// settlePredecessor handles a list of a process that is not registered yet. Placed runs
// that are at work there are stopped, as the log can't move them from the earlier process,
// lasting ones when their step allows it; once the list shows that none is, the process is registered, which frees the others.
func (s *session) settlePredecessor(w *workerState, sent time.Duration, o orders.HoldOrder, list *orders.RunList, placed map[state.TaskKey]*state.Placement) {
	ended := make(map[state.TaskKey]uint32, len(list.Ended))
	for _, e := range list.Ended {
		ended[state.Key(e.Task)] = e.Run
	}
	lost := make(map[state.TaskKey]*state.Placement, len(placed))
	unsettled := 0
	for key, p := range placed {
		switch {
		case ended[key] == p.Task.Run: // its end goes into the log before the registration
		case w.listedRuns[key].Run == p.Task.Run:
			if s.upkeep.mayEnd(w, p) {
				s.stopRun(s.now(), w, key, p)
			}
			unsettled++
		case evidence.FromList(w.orderOf(key, p), w.listEvidence(sent, o, list)) == evidence.None:
			unsettled++
		default:
			lost[key] = p
		}
	}
	if unsettled > 0 {
		s.log.Info().Str("worker", w.info.Id).Int64("born_ms", w.info.BornMs).Uint64("fence", o.Fence).Int("unsettled", unsettled).
			Msg("worker not registered yet: runs of its earlier process may be at work")
		s.freeLost(w, lost)
		return
	}
	s.registerSuccessor(w, lost)
}

// freeLost frees the runs that ended with the earlier process while others are not settled.
// Their tasks start elsewhere, so that a lasting run may be stopped afterwards.
func (s *session) freeLost(w *workerState, lost map[state.TaskKey]*state.Placement) {
	if len(lost) == 0 {
		return
	}
	s.recordWorkerEnd(s.now(), w.predecessor, endRestarted, lost, lost)
	s.loseRuns(w, lost)
}

// registerSuccessor puts the registration of a later process into the log, which frees the
// runs that are placed on the earlier one; lost are those that ended with it.
func (s *session) registerSuccessor(w *workerState, lost map[state.TaskKey]*state.Placement) {
	if w.registering {
		return
	}
	w.registering = true
	s.recordWorkerEnd(s.now(), w.predecessor, endRestarted, lost, lost)
	waiting := w.takeReports()
	s.addRegistration(w.info, func(err error) {
		w.registering = false
		answerAll(waiting, err)
	})
}

// unregistered returns the info of a process under an id that lists its runs and has not
// reported itself. It gets no tasks before it has reported, as it may be of another kind.
func unregistered(known *jobpb.Worker, startedMs int64) *jobpb.Worker {
	return &jobpb.Worker{Id: known.Id, BornMs: startedMs, Address: known.Address, Pool: known.Pool, Zone: known.Zone,
		CpuMillis: known.CpuMillis, MemoryMb: known.MemoryMb, Gpus: known.Gpus, Labels: known.Labels, Unreported: true}
}
