package jobs

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"marjoramtiller.example/marjoramtiller/job/advice"
	"marjoramtiller.example/marjoramtiller/job/jobpb"
	"marjoramtiller.example/marjoramtiller/job/orders"
	"marjoramtiller.example/marjoramtiller/job/state"
	"marjoramtiller.example/marjoramtiller/job/worker"
	"marjoramtiller.example/marjoramtiller/process/replica"
)

// gate holds answers back until it is opened.
type gate struct {
	mu      sync.Mutex
	waiting int
	opened  chan struct{}
}

func newGate() *gate { return &gate{opened: make(chan struct{})} }

func (g *gate) wait() {
	g.mu.Lock()
	opened := g.opened
	g.waiting++
	g.mu.Unlock()
	<-opened
}

// open lets those pass that wait, and returns how many they are. Later ones wait again.
func (g *gate) open() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	close(g.opened)
	n := g.waiting
	g.opened, g.waiting = make(chan struct{}), 0
	return n
}

// lateWorkers answers holds once the gate is opened, also if their context has ended. Their
// lists hold no runs.
type lateWorkers struct {
	orders.Workers
	*gate
}

// Hold implements orders.Workers.
func (w lateWorkers) Hold(context.Context, orders.Target, orders.HoldOrder) (*orders.RunList, error) {
	w.wait()
	return &orders.RunList{ClockMs: 100, EndsComplete: true}, nil
}

// lateAdvisor answers once the gate is opened.
type lateAdvisor struct{ *gate }

// Advise implements Advisor.
func (a lateAdvisor) Advise(context.Context, string, []string) (map[string]string, error) {
	a.wait()
	return map[string]string{"w-0": "ticket"}, nil
}

// termLog is the log of a process that leads a term. Its proposals reach the log, and have
// no known outcome if unconfirmed.
type termLog struct {
	fixedLog
	term        atomic.Uint64
	unconfirmed atomic.Bool
	proposals   chan *jobpb.Command
}

func (l *termLog) Status() replica.Status {
	status := l.fixedLog.Status()
	status.Term = l.term.Load()
	return status
}

func (l *termLog) Propose(_ context.Context, data []byte) ([]byte, error) {
	command := &jobpb.Command{}
	if err := proto.Unmarshal(data, command); err != nil {
		return nil, err
	}
	l.proposals <- command
	if l.unconfirmed.Load() {
		return nil, &replica.OutcomeUnknownError{Err: context.DeadlineExceeded}
	}
	return proto.Marshal(&jobpb.Result{Applied: make([]bool, len(command.Entries))})
}

// runNextSession plays a session of term 1 that ends for each cause that lets its process
// lead again, and begins the next one, which test gets before its first round. While the first one runs, during is called
// on its goroutine.
func runNextSession(t *testing.T, g *gate, during func(s *session), test func(is *is.I, earlier, later *session, log *termLog)) {
	for name, nextTerm := range map[string]uint64{"its term ended": 2, "the outcome of its commit was unknown": 1} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				g.opened, g.waiting = make(chan struct{}), 0
				c := newUpkeepFixture(t).session.c
				var stop context.CancelFunc
				c.ctx, stop = context.WithCancel(t.Context())
				defer g.open()
				defer stop()
				c.o.Clock, c.o.Workers, c.o.Advisor = replica.SystemClock(), lateWorkers{gate: g}, lateAdvisor{g}
				c.o.Bounds.Lease = worker.LeaseTiming{Lease: 4 * time.Second, MaxLease: 10 * time.Second}
				c.o.Bounds.ReportInterval = time.Minute
				log := &termLog{proposals: make(chan *jobpb.Command, 64)}
				log.term.Store(1)
				c.group = log
				earlier := newSession(c, 1, nil)
				c.session = earlier
				go earlier.run()
				earlier.post(func() { during(earlier) })
				time.Sleep(100 * time.Millisecond)
				if log.term.Store(nextTerm); nextTerm == 1 {
					log.unconfirmed.Store(true)
					earlier.post(func() { earlier.add(forgetJob("job"), nil) })
					time.Sleep(100 * time.Millisecond)
					is.True(earlier.failed())
					log.unconfirmed.Store(false)
				}
				c.endSession()
				later := newSession(c, nextTerm, c.usedFences)
				c.session = later
				later.loadWorkers()
				test(is, earlier, later, log)
			})
		})
	}
}

// Guards against an answer to an order of an earlier session that counts for a later one: a
// list of runs that is older than the later one's fence would free the runs that it lacks.
func TestAnswersOfAnEarlierSessionChangeNothing(t *testing.T) {
	runNextSession(t, newGate(), func(*session) {}, func(is *is.I, earlier, later *session, log *termLog) {
		is.Equal(later.c.o.Workers.(lateWorkers).open(), 2) // holds of the earlier session to w-0 and w-1
		time.Sleep(50 * time.Millisecond)
		is.Equal(len(later.workers), 2)
		for id, w := range later.workers {
			is.True(w.track.Fence() > earlier.workers[id].track.Fence())
		}
		is.Equal(len(later.events), 0)
		is.Equal(len(later.batch), 0)
		for len(log.proposals) > 0 {
			for _, e := range (<-log.proposals).Entries {
				is.True(e.GetEnd() == nil && e.GetWorker() == nil && e.GetGone() == nil)
			}
		}
	})
}

// Guards against a confirmation that an earlier session has received, or a list under one of
// its fences, which counts as proof for a later session: it does not know when the list was
// requested, and which orders of the earlier one may be late.
func TestProofsOfAnEarlierSessionAreNotUsed(t *testing.T) {
	key := state.Key(&jobpb.TaskRef{Job: "job"})
	during := func(s *session) {
		w := s.workers["w-0"]
		w.runs[key] = &runState{run: 1, fence: w.track.Fence(), startConfirmed: true, startConfirmedAt: s.now(), stopConfirmedAt: s.now()}
	}
	runNextSession(t, newGate(), during, func(is *is.I, earlier, later *session, _ *termLog) {
		w := later.workers["w-0"]
		is.Equal(len(w.runs), 0)
		for _, c := range []struct {
			fence uint64
			freed int
		}{{earlier.workers["w-0"].track.Fence(), 0}, {w.track.FirstFence() - 1, 0}, {w.track.FirstFence(), 1}} {
			later.handleRunList(w, later.now(), orders.HoldOrder{Fence: c.fence}, &orders.RunList{ClockMs: 100, EndsComplete: true}, nil)
			is.Equal(len(later.batch), c.freed)
		}
	})
}

// Guards against a start with a ticket that an earlier session has received, or that
// arrives after its end: the worker's process for which it was issued may have ended.
func TestTicketsEndWithTheirSession(t *testing.T) {
	key := state.StepKey{Job: "job"}
	during := func(s *session) {
		s.workers["w-0"].track.RunsListed = true
		s.advice.step(state.StepKey{Job: "other"}).Add([]advice.Process{{Worker: "w-0"}}, map[string]string{"w-0": "ticket"}, s.now()+time.Hour)
		s.advice.tickets(key)
	}
	runNextSession(t, newGate(), during, func(is *is.I, earlier, later *session, _ *termLog) {
		is.Equal(earlier.advice.line.InFlight(), 1)
		later.c.o.Advisor.(lateAdvisor).open()
		time.Sleep(50 * time.Millisecond)
		is.Equal(len(later.events), 0)
		for _, step := range []state.StepKey{key, {Job: "other"}} {
			_, known := later.advice.tickets(step)
			is.True(!known)
		}
		is.Equal(later.advice.ticket(&jobpb.Start{Task: &jobpb.TaskRef{Job: "job"}, Worker: "w-0"}), "")
	})
}

// Guards against a session that decides on while the next one begins, which takes over the
// fences that it has used.
func TestSessionEndsAfterItsLastRound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newUpkeepFixture(t).session.c
		c.ctx, c.o.Clock = t.Context(), replica.SystemClock()
		s := newSession(c, 1, nil)
		c.session = s
		go s.run()
		last := make(chan struct{})
		s.post(func() { <-last })
		time.Sleep(100 * time.Millisecond)
		ended := false
		go func() {
			c.endSession()
			ended = true
		}()
		synctest.Wait()
		is.True(!ended)
		is.True(c.currentSession() == nil) // it takes no more calls
		close(last)
		synctest.Wait()
		is.True(ended)
	})
}
