package jobs

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"marjoramtiller.example/marjoramtiller/job/jobpb"
	"marjoramtiller.example/marjoramtiller/job/orders"
	"marjoramtiller.example/marjoramtiller/job/schedule"
	"marjoramtiller.example/marjoramtiller/job/state"
)

// Timings and limits of a session.
const (
	roundInterval     = 8 * time.Millisecond // between rounds
	eventQueue        = 8192
	jobExpiryInterval = 5 * time.Second
	// replanInterval is the time after which the leader plans again even if nothing
	// was committed: workers also become usable as time passes.
	replanInterval = 200 * time.Millisecond
)

// session is the leader's state for one term that is not in the log. It is owned
// by the goroutine in run; other goroutines post functions to it.
type session struct {
	c      *Control
	log    zerolog.Logger
	term   uint64
	ctx    context.Context
	cancel context.CancelFunc
	done   chan struct{}
	events chan func()
	broken atomic.Bool
	// proposing counts the commits in flight that may still put an entry into the log.
	proposing sync.WaitGroup
	// resigning reports that the leadership is being passed on.
	resigning atomic.Bool

	sender          orders.Workers // of all orders to workers
	relays          *relayedSender // nil if this process sends all orders itself
	began           time.Duration
	batch           []*jobpb.Entry
	batchBytes      int                             // encoded size of batch
	waiters         []func(applied bool, err error) // callbacks of batch's entries; an element may be nil
	nextSpaceLog    time.Duration                   // no earlier line says that changes wait for space in the log
	inFlight        bool
	dirty           bool          // the state may have changed since the last plan
	nextPlanAt      time.Duration // time of the next plan if nothing changes
	workers         map[string]*workerState
	acks            map[string]*ackState // by worker id
	fences          *fenceRecord
	queues          map[string]*jobpb.Queue
	queuesVersion   uint64 // configuration version that queues was built from
	pendingStarts   startSet
	settled         []settledStart // not in batch yet
	settledSince    time.Duration  // when the first of settled was added
	estimate        *schedule.Estimates
	reservations    schedule.Reservations
	upkeep          *upkeepDriver
	moves           *moveDriver
	orderGate       *orderGate
	advice          *adviceDriver
	hosts           usableList
	expiryCheckedAt time.Duration
	nextStopCheck   time.Duration // time of the next check for runs to stop
	holdInterval    time.Duration // between two hold orders to one worker
	suspension      suspension    // of this process
}

// newSession returns a session of a term. earlier holds the fences of this process's
// last session, nil if there was none.
func newSession(c *Control, term uint64, earlier *fenceRecord) *session {
	ctx, cancel := context.WithCancel(c.ctx)
	s := &session{
		c: c, term: term, ctx: ctx, cancel: cancel, log: c.log.With().Uint64("term", term).Logger(),
		done: make(chan struct{}), events: make(chan func(), eventQueue),
		began: c.o.Clock.Now(), workers: map[string]*workerState{}, acks: map[string]*ackState{}, fences: continueFences(earlier, term),
		queues: map[string]*jobpb.Queue{}, pendingStarts: startSet{}, estimate: schedule.NewEstimates(), dirty: true,
	}
	s.sender = c.o.Workers
	s.upkeep = newUpkeepDriver(s)
	s.moves = newMoveDriver(s)
	s.advice = newAdviceDriver(s)
	s.view(func(st *state.Store) { s.orderGate = newOrderGate(st, s.began, c.o.Bounds.OrderGap, s.nowMs()) })
	s.log = s.log.With().Uint64("session", s.fences.session).Logger()
	s.log.Info().Int("workers_with_fences", len(s.fences.next)).Msg("session begins")
	return s
}

// useRelays makes the session send its orders through relays.
func (s *session) useRelays(r *relayedSender) { s.relays, s.sender = r, r }

// senders returns the number of processes that share the orders to workers.
func (s *session) senders() int {
	if s.relays == nil {
		return 1
	}
	return s.relays.senders()
}

// failed reports whether a change has no known outcome. The session decides nothing from
// then on: the state that it would read may lack that change.
func (s *session) failed() bool { return s.broken.Load() }

// leads reports whether this process leads the session's term under a valid lease. The
// process may lead a later term before it has noticed the end of this one.
func (s *session) leads() bool {
	status := s.c.group.Status()
	return status.LeaseValid && status.Term == s.term
}

// leadership returns the session's right to order machines.
func (s *session) leadership() Leadership {
	return Leadership{Fence: s.term, Remaining: func() time.Duration {
		status := s.c.group.Status()
		if !status.LeaseValid || status.Term != s.term {
			return 0
		}
		return status.LeaseUntil - s.now()
	}}
}

func (s *session) now() time.Duration { return s.c.o.Clock.Now() }

// nowMs returns the wall-clock Unix time in milliseconds. It is used for due times
// and recorded times; intervals use now.
func (s *session) nowMs() int64 { return time.Now().UnixMilli() }

// post queues fn to run on the session's goroutine. fn is dropped if the session
// has ended.
func (s *session) post(fn func()) {
	select {
	case s.events <- fn:
	case <-s.ctx.Done():
	}
}

func (s *session) run() {
	defer close(s.done)
	defer s.failWaiters()
	ticks, stop := s.c.o.Clock.Ticks(roundInterval)
	defer stop()
	s.loadWorkers()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-ticks:
		}
		s.runQueuedEvents()
		if s.failed() {
			return
		}
		s.round()
	}
}

// end ends the session. No change of it is proposed afterwards.
func (s *session) end() {
	s.cancel()
	<-s.done
	s.proposing.Wait()
}

// runQueuedEvents runs queued events until the queue is empty or the session has failed, at
// most eventQueue of them.
func (s *session) runQueuedEvents() {
	for range eventQueue {
		if s.failed() {
			return
		}
		select {
		case fn := <-s.events:
			fn()
		default:
			return
		}
	}
}

// round sends the orders to workers that are due and, unless a commit is in flight,
// plans and commits the collected changes.
func (s *session) round() {
	now := s.now()
	if lasted := s.suspension.observe(now); lasted > 0 {
		s.log.Warn().Dur("suspended", lasted).Int("workers", len(s.workers)).Msg("this process was suspended: silent workers are asked before they are dropped")
	}
	s.maintainWorkers(now)
	s.advice.round(now)
	if s.inFlight {
		return
	}
	s.removeExpiredJobs(now)
	s.upkeep.round(now)
	s.moves.round(now)
	if (s.dirty || now >= s.nextPlanAt) && s.batchHoldsPlan() {
		s.plan(now)
	}
	s.addSettled(now)
	s.commit()
}

// failWaiters reports an error to all waiters that remain when the session ends.
func (s *session) failWaiters() {
	err := &UnavailableError{Reason: "this process no longer leads"}
	for _, onResult := range s.waiters {
		if onResult != nil {
			onResult(false, err)
		}
	}
	for {
		select {
		case <-s.events: // dropped: its caller returns when s.done is closed or at its own deadline
		default:
			return
		}
	}
}

// view calls fn with the applied state; no entry is applied meanwhile.
func (s *session) view(fn func(st *state.Store)) { s.c.viewStore(fn) }

func (s *session) refreshQueues(st *state.Store) {
	conf := st.Configuration()
	if conf.Version == s.queuesVersion {
		return
	}
	s.queuesVersion = conf.Version
	s.c.configured.note(conf.Version, s.now())
	s.queues = map[string]*jobpb.Queue{}
	for _, q := range conf.Queues {
		s.queues[state.QueueKey(q.Host, q.Prefix)] = q
	}
	s.warnOfShortTickets()
}

// plan runs the scheduler and puts the starts it returns into the next log entry.
func (s *session) plan(now time.Duration) {
	s.dirty, s.nextPlanAt = false, now+replanInterval
	s.view(func(st *state.Store) {
		s.refreshQueues(st)
		in := schedule.Input{NowMs: s.nowMs(), Now: now, Store: st, Queues: s.queues, Workers: s.usable(now, st),
			Advice: s.advice.ticketsOfWaiting, Estimates: s.estimate, Reservations: &s.reservations}
		starts := schedule.Plan(in)
		s.logStarts(st, starts, len(in.Workers))
		for _, start := range starts {
			s.addStart(start)
		}
	})
}

// logStarts logs one line for each step with tasks in the plan. The plan lists the
// tasks of a step consecutively.
func (s *session) logStarts(st *state.Store, starts []*jobpb.Start, usable int) {
	for i := 0; i < len(starts); {
		key := state.Key(starts[i].Task).StepKey()
		n := i
		for n < len(starts) && state.Key(starts[n].Task).StepKey() == key {
			n++
		}
		event := s.log.Info().Str("request", key.Job).Uint32("occurrence", key.Occurrence).Uint32("step", key.Step).Int("tasks", n-i).
			Uint32("run", starts[i].Run).Str("first_worker", starts[i].Worker).Int("usable_workers", usable).
			Uint64("configuration", s.queuesVersion)
		s.logChangedQueue(event, st.Job(key.Job)).Msg("tasks start")
		i = n
	}
}

// logChangedQueue adds the pool of a job to a log line, and that of its queue, if the
// configuration of the last plan does not send the queue to the job's pool.
func (s *session) logChangedQueue(event *zerolog.Event, j *jobpb.Job) *zerolog.Event {
	q := s.queues[j.Queue]
	if q != nil && q.Pool == j.Pool {
		return event
	}
	return event.Str("job_pool", j.Pool).Str("queue_pool", q.GetPool())
}

func (s *session) addStart(start *jobpb.Start) {
	key := state.Key(start.Task)
	planned := s.queuesVersion
	start.AtMs = s.nowMs()
	s.pendingStarts.put(key, start.Run)
	s.add(&jobpb.Entry{Change: &jobpb.Entry_Start{Start: start}}, func(applied bool, err error) {
		if !applied {
			s.pendingStarts.removeRun(key, start.Run)
			s.log.Debug().Err(err).Str("job", key.Job).Str("worker", start.Worker).Msg("start of a task was not recorded in the log")
			return
		}
		if inForce := s.configurationVersion(); inForce != planned {
			s.log.Info().Str("request", key.Job).Uint32("step", key.Step).Uint32("task", key.Index).Uint64("planned_under", planned).
				Uint64("configuration", inForce).Msg("start is sent under another configuration than it was planned under")
		}
		s.sendStart(start)
	})
}

// removeExpiredJobs removes jobs that ended more than Bounds.JobRetention ago.
func (s *session) removeExpiredJobs(now time.Duration) {
	if now-s.expiryCheckedAt < jobExpiryInterval {
		return
	}
	s.expiryCheckedAt = now
	before := s.nowMs() - s.c.o.Bounds.JobRetention.Milliseconds()
	s.view(func(st *state.Store) {
		s.advice.forgetEnded(st)
		for id, j := range st.Jobs() {
			if state.Ended(j) && j.EndedMs > 0 && j.EndedMs < before && st.OpenJobs()[id] == nil {
				s.add(&jobpb.Entry{Change: &jobpb.Entry_Forget{Forget: id}}, nil)
			}
		}
	})
}
