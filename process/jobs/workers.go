package jobs

import (
	"context"
	"math"
	"slices"
	"strings"
	"time"

	"marjoramtiller.example/marjoramtiller/job/jobpb"
	"marjoramtiller.example/marjoramtiller/job/orders"
	"marjoramtiller.example/marjoramtiller/job/schedule"
	"marjoramtiller.example/marjoramtiller/job/state"
	"marjoramtiller.example/marjoramtiller/job/worker"
)

// Timings of orders to workers.
const (
	orderTimeout = 900 * time.Millisecond // for the answer to an order
	holdWait     = time.Second            // how long a worker may delay its answer until a run ends
	holdRetry    = 200 * time.Millisecond // after a hold that failed
	// maxOrderDelay is the longest time for which a worker keeps an order that it has received
	// and not answered before it carries the order out.
	maxOrderDelay = 12 * time.Second
	stopInterval  = 60 * time.Millisecond // between checks for runs to stop
	// holdIntervalPerWorker times the number of workers with runs is the interval between
	// the holds to one worker, divided by the number of processes that send them. It limits
	// the rate of all holds to what these can send.
	holdIntervalPerWorker = 600 * time.Microsecond
	identityTimeout       = 500 * time.Millisecond // after a list of runs, for which no other process is expected at the worker's address
	stopRetry             = 400 * time.Millisecond // between stops of the same run
	probeAfterReports     = 2                      // report intervals without contact after which a worker without runs is asked for its list
	excludeAfterReports   = 2                      // report intervals without a report after which a worker gets no new tasks: its capacity may have shrunk
	reportMargin          = 500 * time.Millisecond // for a report to arrive
	dropAfterReports      = 3                      // report intervals without contact after which a worker is dropped, once its leases have expired
	reservedFences        = 64                     // of a term, for a worker, when the leadership is passed on
	refusedPause          = 300 * time.Millisecond // during which a worker that refused a start gets no other
	failurePenalty        = 4 * time.Second        // during which a failed run counts against a worker
)

// workerState is this term's state of a worker's process.
type workerState struct {
	info        *jobpb.Worker
	track       *worker.Tracker
	knownSince  time.Duration // when this term first had a record of the process
	sequence    uint64
	reportedAt  time.Duration // when its last report arrived at a control process, 0 if none is known in this term
	reportClock int64         // ms on its clock in that report, 0 if the report does not tell
	holding     bool
	listedAt    time.Duration // when its last list of runs arrived, 0 before the first
	// listRequested is when that list was requested.
	listRequested time.Duration
	acks          *ackState
	acknowledged  uint64 // highest number of an end of which this process has confirmed the acknowledgement
	nextHold      time.Duration
	pendingEnds   int // batches of ends that are not committed yet
	pausedUntil   time.Duration
	silent        bool // the last hold or start got no answer, or its machine is being moved
	// leftAt is when the worker announced that it exits or was listed as ended, 0 before.
	// From then on it gets no new tasks.
	leftAt    time.Duration
	inherited bool   // registered in an earlier term
	machine   string // the machine that a list named for it, empty before the first such list
	absent    int    // lists in a row that do not name it and were requested since its last contact
	// endOrdered reports that this leader has ordered an upkeep or a move of its machine.
	endOrdered    bool
	announcedExit bool
	listedAsEnded bool // the machine service lists its machine without it
	// endUnsettled reports that the last list shows its machine without it, and that it may
	// have sent a message after that list was requested. This frees none of its runs, but
	// they count as unavailable and it gets no new ones until the next list.
	endUnsettled bool
	// absentAt is when the latest list of machines was requested that shows no process under
	// its id, 0 if none does.
	absentAt      time.Duration
	addressReused bool // since its last answer, a process of another id has answered at its address
	endRecorded   bool
	heldCrashes   map[state.TaskKey]*jobpb.End // of runs that may have crashed it and are not known to be over
	// predecessor is the registered process under the worker's id, nil if this one is.
	predecessor        *workerState
	registering        bool           // its registration is in the log's next entries
	unconfirmedReports []chan<- error // of reports that wait for its registration
	disconnected       bool           // the first order without an answer ended long before its timeout
	recentStarts       []recentStart  // the oldest first
	draining           bool           // has announced that it is going to leave
	dropping           bool
	heardAgainAt       time.Duration // end of the first suspension of this process since its last contact, if that is later
	runs               runSet
	listedRuns         map[state.TaskKey]orders.Run // the runs in the worker's last list
	settling           startSet                     // settled starts that are not in the log yet
	unplacedRuns       int                          // of them, those that the log does not place on it: they use capacity until they have stopped
	failures           []time.Duration
	suspect            bool // too many of its runs are overdue
	// suspectAt is when it was last suspect, 0 if never.
	suspectAt time.Duration
}

// loadWorkers starts tracking the workers that earlier leaders have registered.
func (s *session) loadWorkers() {
	s.view(func(st *state.Store) {
		for _, info := range st.Workers() {
			s.trackWorker(info, true)
		}
	})
}

// trackWorker starts tracking a worker's process. earlier reports that an earlier
// leader may have granted it leases; it is then called in a view of the state.
func (s *session) trackWorker(info *jobpb.Worker, earlier bool) *workerState {
	w := &workerState{info: info, inherited: earlier, sequence: info.Sequence, knownSince: s.now(), draining: info.Draining, acks: s.acknowledgements(info.Id), runs: runSet{}, listedRuns: map[state.TaskKey]orders.Run{}}
	w.track = worker.New(s.leaseTiming(), s.term, info.BornMs, s.now(), earlier)
	w.track.RaiseFenceTo(s.fences.next[info.Id])
	w.track.ExpectForeignLeasesUntil(s.fences.foreignLeases[info.Id])
	switch {
	case earlier && s.mayBeUnsettled(info.Id):
		w.track.ExpectForeignLeases(s.now())
	case !earlier && !s.fences.knowsLeases:
		// Another leader may have sent orders to an earlier process before this session.
		w.track.ExpectForeignLeases(s.began)
	}
	s.workers[info.Id] = w
	return w
}

// leaseTiming returns the durations of leases and orders.
func (s *session) leaseTiming() worker.LeaseTiming {
	timing := s.c.o.Bounds.Lease
	timing.OrderDelay = orderTimeout + holdWait + maxOrderDelay
	return timing
}

// raiseFence raises the fence for a worker, so that earlier orders have no effect
// once the worker has received the next hold with the new fence. The hold is sent
// at once.
func (s *session) raiseFence(w *workerState) {
	w.track.RaiseFence()
	s.fences.use(w.info.Id, w.track.Fence())
	w.nextHold = 0
	if w.track.Fence()+reservedFences > worker.LastFence(s.term) {
		s.resign(w)
	}
}

// resign passes the leadership on, since the fences of this term are nearly used up for a
// worker: those above belong to the next leader.
func (s *session) resign(w *workerState) {
	if s.resigning.Swap(true) {
		return
	}
	s.log.Warn().Str("worker", w.info.Id).Uint64("fence", w.track.Fence()).Msg("leadership is passed on: the fences of this term are nearly used up")
	go func() {
		defer s.resigning.Store(false)
		ctx, cancel := context.WithTimeout(s.ctx, transferTimeout)
		defer cancel()
		if err := s.c.group.TransferLeader(ctx, ""); err != nil {
			s.log.Warn().Err(err).Msg("leadership was not passed on; it is tried again with the next raised fence")
		}
	}()
}

// maintainWorkers sends the holds and stops that are due and drops workers whose
// leases have expired or whose process has ended.
func (s *session) maintainWorkers(now time.Duration) {
	stops := now >= s.nextStopCheck
	if stops {
		s.nextStopCheck = now + stopInterval
	}
	if s.relays != nil {
		s.relays.enable(len(s.workers) >= s.c.o.Bounds.RelayWorkers)
	}
	s.view(func(st *state.Store) {
		active := 0
		for id, w := range s.workers {
			placed := st.Placements(id)
			s.removeSurvivedStarts(w)
			if s.dropIfEnded(now, w, placed) {
				continue
			}
			if stops {
				s.stopEnded(now, st, w, placed)
				if w.predecessor == nil {
					s.checkSpeed(now, w, placed)
				}
			}
			if len(placed) > 0 {
				active++
			}
			switch {
			case w.holding || w.pendingEnds > 0:
			case w.mayAcknowledge(now) && !w.track.MayAdvanceFence():
				s.sendAcknowledgement(now, w)
			case s.wantsList(now, w, placed) && now >= w.holdDue(now):
				s.sendHold(now, w, len(placed) > 0)
			}
		}
		s.holdInterval = time.Duration(active) * holdIntervalPerWorker / time.Duration(s.senders())
	})
}

// wantsList reports whether a worker is asked for its list of runs: it may run something, it
// has not listed its runs to this leader, or it is not known to be reachable. The reports of
// a worker don't tell whether orders reach it.
func (s *session) wantsList(now time.Duration, w *workerState, placed map[state.TaskKey]*state.Placement) bool {
	mayRun := len(placed) > 0 || w.unplacedRuns > 0 || w.predecessor != nil
	unheard := s.timeSinceContact(now, w) > probeAfterReports*s.c.o.Bounds.ReportInterval
	return mayRun || !w.track.RunsListed || w.silent || unheard
}

func (s *session) timeSinceContact(now time.Duration, w *workerState) time.Duration {
	return now - w.track.LastContact
}

// silence returns for how long a worker has sent nothing although this process would have
// received it. Only the first suspension since its last contact counts, so that a process
// that is suspended again and again still drops workers that have ended.
func (s *session) silence(now time.Duration, w *workerState) time.Duration {
	if w.heardAgainAt <= w.track.LastContact && s.suspension.endedAt > w.track.LastContact {
		w.heardAgainAt = s.suspension.endedAt
	}
	return now - max(w.track.LastContact, w.heardAgainAt)
}

// usable returns the workers that may get tasks, with their free capacity.
func (s *session) usable(now time.Duration, st *state.Store) []*schedule.Worker {
	var list []*schedule.Worker
	probation := len(st.Suspects()) > 0
	for id, w := range s.workers {
		if !w.track.RunsListed || w.draining || w.silent || w.dropping || w.mayHaveLeft() || w.unplacedRuns > 0 || now < w.pausedUntil ||
			w.info.Unreported || w.predecessor != nil || w.reportAge(now) > reportTimeout(s.c.o.Bounds) || s.upkeep.cordoned(id) || s.moves.movePending(id) {
			continue
		}
		sw := &schedule.Worker{ID: id, StartedMs: w.info.BornMs, Pool: w.info.Pool, Labels: w.info.Labels, Rack: rackOf(w.info.Labels),
			CPU: int64(w.info.CpuMillis), Memory: int64(w.info.MemoryMb), GPUs: int64(w.info.Gpus),
			Penalty: w.penalty(now), UpkeepDue: s.upkeep.due(id)}
		sw.AddLoad(st.Load(id))
		if probation {
			w.addRecentStarts(sw)
		}
		list = append(list, sw)
	}
	slices.SortFunc(list, func(a, b *schedule.Worker) int { return strings.Compare(a.ID, b.ID) })
	return list
}

// reportTimeout is the age of a worker's last report from which it gets no new tasks,
// because its capacity may have shrunk since.
func reportTimeout(b Bounds) time.Duration {
	return excludeAfterReports*b.ReportInterval + reportMargin
}

// reportAge returns the age of a worker's last report. The report may have been on its way
// for long, which the worker's clock shows once it has answered a later order.
func (w *workerState) reportAge(now time.Duration) time.Duration {
	if w.reportedAt == 0 {
		return math.MaxInt64
	}
	age := now - w.reportedAt
	if w.reportClock > 0 {
		age = max(age, now-w.track.SentBy(now, w.reportClock))
	}
	return age
}

// setReported records the last report of a worker, which arrived at a time.
func (w *workerState) setReported(at time.Duration, clockMs int64) {
	w.reportedAt, w.reportClock = max(w.reportedAt, at), max(w.reportClock, clockMs)
}

// recentFailures counts the runs that failed on a worker within failurePenalty.
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

// rackOf returns the label that names a worker's rack, which is the first one with a
// dash, or an empty string.
func rackOf(labels []string) string {
	for _, l := range labels {
		if strings.Contains(l, "-") {
			return l
		}
	}
	return ""
}
