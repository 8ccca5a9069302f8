package jobs

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"marjoramtiller.example/marjoramtiller/job/jobpb"
	"marjoramtiller.example/marjoramtiller/job/schedule"
	"marjoramtiller.example/marjoramtiller/job/state"
	"marjoramtiller.example/marjoramtiller/process/replica"
)

// Timings and limits of a session.
const (
	roundInterval   = 8 * time.Millisecond // between rounds
	commitTimeout   = 4 * time.Second      // after which a commit's outcome is called unknown
	eventQueue      = 8192
	maxBatchEntries = 2048
	forgetInterval  = 5 * time.Second
	// replanInterval is the time after which a plan is made although nothing was
	// committed: workers also become usable as time passes.
	replanInterval = 200 * time.Millisecond
)

// session is the soft state of one term of the leader. All of it is owned by the
// goroutine in run; other goroutines post functions to it.
type session struct {
	c      *Control
	log    zerolog.Logger
	term   uint64
	ctx    context.Context
	cancel context.CancelFunc
	done   chan struct{}
	events chan func()
	broken atomic.Bool

	began    time.Duration
	batch    []*jobpb.Entry
	waiters  []func(applied bool, err error) // of batch, nil where nobody waits
	inFlight bool
	dirty    bool          // something has changed since the last plan
	planAt   time.Duration // of the next plan if nothing changes
	workers  map[string]*workerState
	fences   map[string]uint64 // highest fence used for a worker that was dropped
	queues   map[string]*jobpb.Queue
	queuesAt uint64 // configuration version of queues
	starting startSet
	estimate *schedule.Estimates
	upkeep   *upkeepDriver
	moves    *moveDriver
	holder   *holder
	advice   *adviceDriver
	forgotAt time.Duration
	stopsAt  time.Duration // of the next look for runs to stop
	holdGap  time.Duration // between two holds to one worker
}

func newSession(c *Control, term uint64) *session {
	ctx, cancel := context.WithCancel(c.ctx)
	s := &session{
		c: c, term: term, ctx: ctx, cancel: cancel, log: c.log.With().Uint64("term", term).Logger(),
		done: make(chan struct{}), events: make(chan func(), eventQueue),
		began: c.o.Clock.Now(), workers: map[string]*workerState{}, fences: map[string]uint64{},
		queues: map[string]*jobpb.Queue{}, starting: startSet{}, estimate: schedule.NewEstimates(), dirty: true,
	}
	s.upkeep = newUpkeepDriver(s)
	s.moves = newMoveDriver(s)
	s.advice = newAdviceDriver(s)
	s.view(func(st *state.Store) { s.holder = newHolder(st, s.began, c.o.Bounds.HolderGap, s.nowMs()) })
	return s
}

func (s *session) failed() bool { return s.broken.Load() }

func (s *session) now() time.Duration { return s.c.o.Clock.Now() }

// nowMs returns the Unix time, for due times only.
func (s *session) nowMs() int64 { return time.Now().UnixMilli() }

// post runs fn on the session's goroutine; it is dropped once the session has ended.
func (s *session) post(fn func()) {
	select {
	case s.events <- fn:
	case <-s.ctx.Done():
	}
}

func (s *session) run() {
	defer close(s.done)
	defer s.fail()
	ticks, stop := s.c.o.Clock.Ticks(roundInterval)
	defer stop()
	s.adoptWorkers()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-ticks:
		}
		s.drain()
		s.round()
	}
}

// drain runs the events that are queued already.
func (s *session) drain() {
	for range eventQueue {
		select {
		case fn := <-s.events:
			fn()
		default:
			return
		}
	}
}

// round keeps up the workers, plans if nothing is being committed, and commits
// what has gathered.
func (s *session) round() {
	now := s.now()
	s.keepWorkers(now)
	if s.inFlight {
		return
	}
	s.forgetJobs(now)
	s.upkeep.round(now)
	s.moves.round(now)
	// What a plan starts must be in the next entry: a later plan would not see it.
	if (s.dirty || now >= s.planAt) && len(s.batch)+schedule.MaxStartsPerPlan <= maxBatchEntries {
		s.plan(now)
	}
	s.commit()
}

// add puts a change into the next log entry. then is called on the session's
// goroutine once its outcome is known; it may be nil.
func (s *session) add(e *jobpb.Entry, then func(applied bool, err error)) {
	s.batch = append(s.batch, e)
	s.waiters = append(s.waiters, then)
}

func (s *session) commit() {
	if len(s.batch) == 0 {
		return
	}
	n := min(len(s.batch), maxBatchEntries)
	entries, waiters := s.batch[:n:n], s.waiters[:n:n]
	s.batch, s.waiters = s.batch[n:], s.waiters[n:]
	data, err := proto.Marshal(&jobpb.Command{Entries: entries})
	if err != nil {
		s.log.Error().Err(err).Msg("changes cannot be encoded")
		s.finish(waiters, nil, err)
		return
	}
	s.inFlight = true
	sent := s.now()
	go func() {
		ctx, cancel := context.WithTimeout(s.ctx, commitTimeout)
		defer cancel()
		result, err := s.c.group.Propose(ctx, data)
		s.post(func() {
			s.inFlight, s.dirty = false, true
			s.c.metrics.commitSeconds.Observe((s.now() - sent).Seconds())
			s.finish(waiters, result, err)
		})
	}()
}

// finish tells the waiters of a log entry its outcome. After an error the session
// ends: the next one reads from the log what has come of it.
func (s *session) finish(waiters []func(bool, error), result []byte, err error) {
	r := &jobpb.Result{}
	if err == nil {
		err = proto.Unmarshal(result, r)
	}
	if err != nil {
		s.log.Warn().Err(err).Int("changes", len(waiters)).Msg("changes were not confirmed: the session ends")
		s.broken.Store(true)
	}
	for i, then := range waiters {
		if then != nil {
			then(err == nil && i < len(r.Applied) && r.Applied[i], err)
		}
	}
}

// fail ends all waiters when the session ends.
func (s *session) fail() {
	err := &UnavailableError{Reason: "this process no longer leads"}
	for _, then := range s.waiters {
		if then != nil {
			then(false, err)
		}
	}
	for {
		select {
		case <-s.events: // its caller waits for its own deadline
		default:
			return
		}
	}
}

// view calls fn with the applied state while nothing is applied.
func (s *session) view(fn func(st *state.Store)) {
	s.c.group.View(func(replica.StateMachine) { fn(s.c.store) })
}

func (s *session) refreshQueues(st *state.Store) {
	conf := st.Configuration()
	if conf.Version == s.queuesAt {
		return
	}
	s.queuesAt = conf.Version
	s.queues = map[string]*jobpb.Queue{}
	for _, q := range conf.Queues {
		s.queues[state.QueueKey(q.Host, q.Prefix)] = q
	}
}

// plan asks the scheduler for starts and puts them into the next log entry.
func (s *session) plan(now time.Duration) {
	s.dirty, s.planAt = false, now+replanInterval
	s.view(func(st *state.Store) {
		s.refreshQueues(st)
		in := schedule.Input{NowMs: s.nowMs(), Store: st, Queues: s.queues, Workers: s.usable(now, st),
			Advice: s.advice.tickets, Estimates: s.estimate}
		starts := schedule.Plan(in)
		s.logStarts(starts, len(in.Workers))
		for _, start := range starts {
			s.addStart(start)
		}
	})
}

// logStarts writes a line for each step that is about to start tasks. The tasks
// of a step stand together in a plan.
func (s *session) logStarts(starts []*jobpb.Start, usable int) {
	for i := 0; i < len(starts); {
		key := state.Key(starts[i].Task).StepOf()
		n := i
		for n < len(starts) && state.Key(starts[n].Task).StepOf() == key {
			n++
		}
		s.log.Info().Str("request", key.Job).Uint32("occurrence", key.Occurrence).Uint32("step", key.Step).Int("tasks", n-i).
			Uint32("run", starts[i].Run).Str("first_worker", starts[i].Worker).Int("usable_workers", usable).
			Uint64("configuration", s.queuesAt).Msg("tasks start")
		i = n
	}
}

func (s *session) addStart(start *jobpb.Start) {
	key := state.Key(start.Task)
	s.starting.begin(key, start.Run)
	s.add(&jobpb.Entry{Change: &jobpb.Entry_Start{Start: start}}, func(applied bool, err error) {
		if !applied {
			s.starting.settle(key, start.Run)
			s.log.Debug().Err(err).Str("job", key.Job).Str("worker", start.Worker).Msg("start was not recorded")
			return
		}
		s.sendStart(start)
	})
}

// forgetJobs drops jobs that ended long ago.
func (s *session) forgetJobs(now time.Duration) {
	if now-s.forgotAt < forgetInterval {
		return
	}
	s.forgotAt = now
	before := s.nowMs() - s.c.o.Bounds.StatusKept.Milliseconds()
	s.view(func(st *state.Store) {
		for id, j := range st.Jobs() {
			if state.Ended(j) && j.EndedMs > 0 && j.EndedMs < before && st.Open()[id] == nil {
				s.add(&jobpb.Entry{Change: &jobpb.Entry_Forget{Forget: id}}, nil)
			}
		}
	})
}
