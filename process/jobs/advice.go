package jobs

import (
	"context"
	"fmt"
	"maps"
	"time"

	"marjoramtiller.example/marjoramtiller/job/advice"
	"marjoramtiller.example/marjoramtiller/job/jobpb"
	"marjoramtiller.example/marjoramtiller/job/state"
)

// Limits of the calls to the advisor.
const (
	adviceMaxWorkers = 30 // workers named in one call
	adviceMaxCalls   = 4  // calls in flight; the advisor processes them one at a time
	adviceTimeout    = 3 * time.Second
	// adviceReuseShare is the share of a ticket's validity in which the ticket is
	// used for starts; the rest is left for delivery to the worker.
	adviceReuseShare = 0.7
	adviceRetryDelay = 200 * time.Millisecond
	// adviceExtensionDelay is the time for which a step waits, after an answer or a look for
	// workers that no answer covers, before the next such look.
	adviceExtensionDelay = 500 * time.Millisecond
)

// stepAdvice is what the advisor has said about one step.
type stepAdvice struct {
	advice.Answers
	requested bool          // a call is in flight
	retryAt   time.Duration // earliest next call after a failed one
	extendAt  time.Duration // when to look for workers that no answer covers next
}

// adviceCall is a call to the advisor about one step.
type adviceCall struct {
	key      state.StepKey
	step     *stepAdvice
	named    []advice.Process
	sent     time.Duration
	validity time.Duration // of the tickets
	extends  bool          // other workers of the step are covered by answers
}

// adviceDriver requests from the advisor the workers that steps may run on, and
// caches the answers.
type adviceDriver struct {
	s         *session
	steps     map[state.StepKey]*stepAdvice
	calls     int  // in flight
	extending bool // one of them asks about further workers of a step
}

func newAdviceDriver(s *session) *adviceDriver {
	return &adviceDriver{s: s, steps: map[state.StepKey]*stepAdvice{}}
}

// tickets returns the tickets of the workers that a step may run on. Without a
// usable answer it returns false and starts a call to the advisor if the limits
// allow one.
func (a *adviceDriver) tickets(key state.StepKey) (map[string]string, bool) {
	step := a.step(key)
	tickets, known := step.Tickets(a.s.now(), a.s.tracksProcess)
	if known {
		return tickets, true
	}
	a.request(key, step, false)
	return nil, false
}

// ticketsOfWaiting is tickets for a step that waits for a worker. If it goes on waiting with
// the workers that it may use, the advisor is asked about others, such as those that have
// joined since. Such calls take turns, so that they don't hold up the first ones of others.
func (a *adviceDriver) ticketsOfWaiting(key state.StepKey) (map[string]string, bool) {
	tickets, known := a.tickets(key)
	if step := a.step(key); known && !a.extending && a.s.now() >= step.extendAt {
		step.extendAt = a.s.now() + adviceExtensionDelay // the look is a pass over all workers
		a.request(key, step, true)
	}
	return tickets, known
}

func (a *adviceDriver) step(key state.StepKey) *stepAdvice {
	step := a.steps[key]
	if step == nil {
		step = &stepAdvice{}
		a.steps[key] = step
	}
	return step
}

// tracksProcess reports whether a process is the one that is tracked under its worker's id.
func (s *session) tracksProcess(p advice.Process) bool {
	w := s.workers[p.Worker]
	return w != nil && w.info.BornMs == p.BornMs
}

// request asks the advisor about workers of the step's pool that no answer covers, if there
// are any and the limits allow a call. extends reports that other answers cover some.
func (a *adviceDriver) request(key state.StepKey, step *stepAdvice, extends bool) {
	if step.requested || a.calls >= adviceMaxCalls || a.s.now() < step.retryAt || a.s.c.o.Advisor == nil {
		return
	}
	// The scheduler calls this from within session.view, so the store can be read directly.
	j := a.s.c.store.Job(key.Job)
	if j == nil {
		return
	}
	named := a.uncovered(j.Pool, step)
	if len(named) == 0 {
		return
	}
	c := &adviceCall{key: key, step: step, named: named, sent: a.s.now(), extends: extends}
	if q := a.s.queues[j.Queue]; q != nil {
		c.validity = time.Duration(q.AdviceValidityMs) * time.Millisecond
	}
	a.send(c)
}

// uncovered returns processes of workers of a pool that no answer about the step covers, as
// many as one call may name.
func (a *adviceDriver) uncovered(pool string, step *stepAdvice) []advice.Process {
	var named []advice.Process
	now := a.s.now()
	for id, w := range a.s.workers {
		p := advice.Process{Worker: id, BornMs: w.info.BornMs}
		if w.info.Pool == pool && len(named) < adviceMaxWorkers && w.track.RunsListed && !w.draining && !w.silent && !step.Covers(now, p) {
			named = append(named, p)
		}
	}
	return named
}

func (a *adviceDriver) send(c *adviceCall) {
	c.step.requested = true
	a.calls++
	a.extending = a.extending || c.extends
	name := fmt.Sprintf("%s.%d.%d", c.key.Job, c.key.Occurrence, c.key.Step)
	workers := make([]string, len(c.named))
	for i, p := range c.named {
		workers[i] = p.Worker
	}
	go func() {
		ctx, cancel := context.WithTimeout(a.s.ctx, adviceTimeout)
		defer cancel()
		tickets, err := a.s.c.o.Advisor.Advise(ctx, name, workers)
		a.s.post(func() { a.handleAdvice(c, tickets, err) })
	}()
}

func (a *adviceDriver) handleAdvice(c *adviceCall, tickets map[string]string, err error) {
	now := a.s.now()
	c.step.requested = false
	a.calls--
	if c.extends {
		a.extending = false
	}
	a.s.dirty = true
	if err != nil {
		c.step.retryAt = now + adviceRetryDelay
		a.s.log.Info().Err(err).Str("request", c.key.Job).Uint32("step", c.key.Step).Msg("request to the advisor failed; it is repeated while the step waits")
		return
	}
	c.step.Add(c.named, tickets, c.sent+time.Duration(adviceReuseShare*float64(c.validity)))
	c.step.extendAt = now + adviceExtensionDelay
	a.s.log.Info().Str("request", c.key.Job).Uint32("step", c.key.Step).Int("asked", len(c.named)).Int("allowed", len(tickets)).
		Bool("extends", c.extends).Msg("advice received")
}

// discard drops the ticket that a worker has rejected, so that the advisor is asked
// again: tickets end with the worker's process, and it may have started again under its id.
func (a *adviceDriver) discard(start *jobpb.Start, rejected string) {
	key := state.Key(start.Task).StepKey()
	step := a.steps[key]
	if step == nil || !step.Discard(start.Worker, rejected) {
		return
	}
	step.retryAt = a.s.now() + adviceRetryDelay
	a.s.log.Info().Str("request", key.Job).Uint32("step", key.Step).Str("worker", start.Worker).Msg("ticket rejected by the worker: the advisor is asked again")
}

// ticket returns the advisor's ticket for a start, empty if there is none.
func (a *adviceDriver) ticket(start *jobpb.Start) string {
	step, w := a.steps[state.Key(start.Task).StepKey()], a.s.workers[start.Worker]
	if step == nil || w == nil {
		return ""
	}
	return step.Ticket(advice.Process{Worker: start.Worker, BornMs: w.info.BornMs})
}

// forgetEnded forgets the steps of jobs that have ended.
func (a *adviceDriver) forgetEnded(st *state.Store) {
	maps.DeleteFunc(a.steps, func(key state.StepKey, _ *stepAdvice) bool { return st.OpenJobs()[key.Job] == nil })
}
