package jobs

import (
	"slices"
	"strings"
	"time"

	"marjoramtiller.example/marjoramtiller/job/jobpb"
	"marjoramtiller.example/marjoramtiller/job/schedule"
	"marjoramtiller.example/marjoramtiller/job/state"
	"marjoramtiller.example/marjoramtiller/job/worker"
)

// Timings of orders to workers.
const (
	orderTimeout = 900 * time.Millisecond // of an order's answer
	holdWait     = time.Second            // how long a worker may wait for an end
	holdRetry    = 200 * time.Millisecond // after a hold without an answer
	stopInterval = 60 * time.Millisecond  // between looks for runs to stop
	// holdGapPerWorker spaces the holds to one worker by the number of workers at
	// work, so that their rate stays within what one process can send.
	holdGapPerWorker = 600 * time.Microsecond
	stopRetry        = 400 * time.Millisecond // between stops of the same run
	silentReports    = 3                      // report intervals after which a worker without a report gets no new task
	goneReports      = 3                      // and after which it may be dropped, once its leases have lapsed
	leaveGrace       = time.Second            // after a worker has said that it ends
	refusedPause     = 300 * time.Millisecond // without starts on a worker that refused one
	failurePenalty   = 4 * time.Second        // for which a failed run counts against a worker
)

// workerState is what this term knows of a worker's process.
type workerState struct {
	info     *jobpb.Worker
	track    *worker.Tracker
	since    time.Duration // when this term has learned of it
	sequence uint64
	holding  bool
	nextHold time.Duration
	ending   int // ends on their way into the log
	pausedTo time.Duration
	silent   bool // the last order got no answer
	left     time.Duration
	draining bool // has announced that it leaves
	dropping bool
	runs     runSet
	load     map[state.TaskKey]Run // from the last list
	failures []time.Duration
	suspect  bool // is slow or stands still
	// suspectAt is when it was last suspect, 0 if never.
	suspectAt time.Duration
}

// adoptWorkers begins with the workers that earlier leaders knew.
func (s *session) adoptWorkers() {
	s.view(func(st *state.Store) {
		for _, info := range st.Workers() {
			s.adopt(info, true)
		}
	})
}

func (s *session) adopt(info *jobpb.Worker, earlier bool) *workerState {
	w := &workerState{info: info, since: s.now(), draining: info.Draining, runs: runSet{}, load: map[state.TaskKey]Run{}}
	w.track = worker.New(s.c.o.Bounds.Lease, s.term, info.BornMs, s.now(), earlier)
	for w.track.Fence() < s.fences[info.Id] {
		w.track.RaiseFence()
	}
	s.workers[info.Id] = w
	return w
}

// raiseFence makes earlier orders to a worker ineffective once it has seen the
// new fence with the next hold.
func (s *session) raiseFence(w *workerState) {
	w.track.RaiseFence()
	s.fences[w.info.Id] = w.track.Fence()
	w.nextHold = 0
}

// keepWorkers sends the holds and stops that are due and drops workers that are gone.
func (s *session) keepWorkers(now time.Duration) {
	stops := now >= s.stopsAt
	if stops {
		s.stopsAt = now + stopInterval
	}
	s.view(func(st *state.Store) {
		active := 0
		for id, w := range s.workers {
			placed := st.Placed(id)
			if s.dropIfGone(now, w, len(placed)) {
				continue
			}
			if stops {
				s.stopEnded(now, w, placed)
				s.judgeSpeed(now, w, placed)
			}
			if len(placed) > 0 {
				active++
			}
			if !w.holding && w.ending == 0 && now >= w.nextHold && (len(placed) > 0 || !w.track.Looked) {
				s.hold(now, w, len(placed) > 0)
			}
		}
		s.holdGap = time.Duration(active) * holdGapPerWorker
	})
}

func (s *session) silentFor(now time.Duration, w *workerState) time.Duration {
	return now - w.track.LastContact
}

// dropIfGone drops a worker once nothing can be at work there any more.
func (s *session) dropIfGone(now time.Duration, w *workerState, placed int) bool {
	if w.dropping {
		return true
	}
	interval := s.c.o.Bounds.ReportInterval
	left := w.left > 0 && now > w.left+leaveGrace
	lapsed := s.silentFor(now, w) > goneReports*interval && now > w.track.LapsedAt()
	if !left && !lapsed {
		return false
	}
	w.dropping = true
	s.log.Warn().Str("worker", w.info.Id).Int64("born_ms", w.info.BornMs).Dur("silent", s.silentFor(now, w)).Bool("left", left).Int("runs", placed).
		Msg("worker dropped: its leases have lapsed or it has ended")
	id, born := w.info.Id, w.info.BornMs
	s.add(&jobpb.Entry{Change: &jobpb.Entry_Gone{Gone: &jobpb.WorkerGone{Id: id, BornMs: born, AtMs: s.nowMs()}}}, func(bool, error) {
		if s.workers[id] == w {
			s.fences[id] = w.track.Fence() + 1
			delete(s.workers, id)
		}
	})
	return true
}

// usable returns the workers that may take tasks, with what they have left.
func (s *session) usable(now time.Duration, st *state.Store) []*schedule.Worker {
	var list []*schedule.Worker
	interval := s.c.o.Bounds.ReportInterval
	for id, w := range s.workers {
		if !w.track.Looked || w.draining || w.silent || w.dropping || w.left > 0 || now < w.pausedTo ||
			s.silentFor(now, w) > silentReports*interval || s.upkeep.cordoned(id) || s.moves.leaving(id) {
			continue
		}
		sw := &schedule.Worker{ID: id, BornMs: w.info.BornMs, Pool: w.info.Pool, Labels: w.info.Labels, Rack: rackOf(w.info.Labels),
			CPU: int64(w.info.CpuMillis), Memory: int64(w.info.MemoryMb), GPUs: int64(w.info.Gpus),
			Penalty: w.rank(now)}
		sw.Use(st.Load(id))
		list = append(list, sw)
	}
	slices.SortFunc(list, func(a, b *schedule.Worker) int { return strings.Compare(a.ID, b.ID) })
	return list
}

// recentFailures counts the runs that have failed on a worker lately.
func (w *workerState) recentFailures(now time.Duration) int {
	kept := w.failures[:0]
	for _, at := range w.failures {
		if now-at < failurePenalty {
			kept = append(kept, at)
		}
	}
	w.failures = kept
	return len(kept)
}

// rackOf returns the label that names a worker's rack: the one with a dash.
func rackOf(labels []string) string {
	for _, l := range labels {
		if strings.Contains(l, "-") {
			return l
		}
	}
	return ""
}
