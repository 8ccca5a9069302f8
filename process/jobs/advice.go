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

const (
	// adviceExtensionDelay is the time for which a step waits, after an answer or a look for
	// workers that no answer covers, before the next such look.
	adviceExtensionDelay = 500 * time.Millisecond
	// adviceRejectionDelay is the time from a rejected ticket to the next call about its step.
	adviceRejectionDelay = 200 * time.Millisecond
	// adviceLongWait is the time for which a step waits for advice before that is logged.
	adviceLongWait    = 3 * time.Second
	adviceLogInterval = time.Second
)

// stepAdvice is what the advisor has said about one step.
type stepAdvice struct {
	advice.Answers
	retryAt  time.Duration // earliest next call after a rejected ticket
	extendAt time.Duration // when to look for workers that no answer covers next
}

// adviceCall is a call to the advisor about one step.
type adviceCall struct {
	*advice.Call
	step  *stepAdvice
	named []advice.Process
}

// adviceDriver requests from the advisor the workers that steps may run on, and
// caches the answers.
type adviceDriver struct {
	s         *session
	steps     map[state.StepKey]*stepAdvice
	line      *advice.Line
	nextLogAt time.Duration // of a step that waits long
}

func newAdviceDriver(s *session) *adviceDriver {
	return &adviceDriver{s: s, steps: map[state.StepKey]*stepAdvice{}, line: advice.NewLine()}
}

// tickets returns the tickets of the workers that a step may run on. Without a usable answer
// it returns false, and the advisor is asked as soon as it is the step's turn.
func (a *adviceDriver) tickets(key state.StepKey) (map[string]string, bool) {
	step := a.step(key)
	tickets, known := step.Tickets(a.s.now(), a.s.tracksProcess)
	if known {
		return tickets, true
	}
	a.ask(key, step, false)
	return nil, false
}

// ticketsOfWaiting is tickets for a step that waits for a worker. If it goes on waiting with
// the workers that it may use, the advisor is asked about others, such as those that have
// joined since. Such calls take turns, so that they don't hold up the first ones of others.
func (a *adviceDriver) ticketsOfWaiting(key state.StepKey) (map[string]string, bool) {
	tickets, known := a.tickets(key)
	if step := a.step(key); known && a.s.now() >= step.extendAt {
		step.extendAt = a.s.now() + adviceExtensionDelay // the look is a pass over all workers
		a.ask(key, step, len(tickets) > 0)
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

// ask lets a step wait for its turn to be asked about. extends reports that it has tickets. It
// is called in a view of the state.
func (a *adviceDriver) ask(key state.StepKey, step *stepAdvice, extends bool) {
	now := a.s.now()
	j := a.s.c.store.Job(key.Job)
	if a.s.c.o.Advisor == nil || now < step.retryAt || j == nil {
		return
	}
	if a.line.Ask(now, advice.Ask{Key: key, Priority: a.s.queues[j.Queue].GetPriority(), Extends: extends}) {
		a.callNext(now)
	}
}

// round calls the advisor if it is a step's turn, and logs a step that waits long.
func (a *adviceDriver) round(now time.Duration) {
	if _, waits := a.line.Next(now); waits {
		a.s.view(func(*state.Store) { a.callNext(now) })
	}
	if now < a.nextLogAt {
		return
	}
	a.nextLogAt = now + adviceLogInterval
	key, waited := a.line.Oldest(now)
	a.s.c.metrics.adviceWait.Set(waited.Seconds())
	if waited >= adviceLongWait {
		a.s.log.Warn().Str("request", key.Job).Uint32("step", key.Step).Dur("waited", waited).Int("calls", a.line.InFlight()).
			Msg("step waits for the advisor's answer")
	}
}

// callNext asks the advisor about the steps whose turn it is. It is called in a view of the
// state.
func (a *adviceDriver) callNext(now time.Duration) {
	for {
		key, ok := a.line.Next(now)
		if !ok {
			return
		}
		j, step := a.s.c.store.Job(key.Job), a.step(key)
		if j == nil {
			a.line.Forget(key)
			continue
		}
		cost := adviceCost(a.s.queues[j.Queue])
		named := a.uncovered(j.Pool, step, cost.Workers())
		if len(named) == 0 {
			a.line.Forget(key)
			continue
		}
		a.send(&adviceCall{Call: a.line.Send(now, key, cost, len(named)), step: step, named: named})
	}
}

// adviceCost returns the cost of the calls about the steps of a queue.
func adviceCost(q *jobpb.Queue) advice.Cost {
	return advice.Cost{
		Decision:  time.Duration(q.GetAdviceMs()) * time.Millisecond,
		PerWorker: time.Duration(q.GetAdviceWorkerUs()) * time.Microsecond,
		Validity:  time.Duration(q.GetAdviceValidityMs()) * time.Millisecond,
	}
}

// uncovered returns processes of workers of a pool that no answer about the step covers, at
// most limit.
func (a *adviceDriver) uncovered(pool string, step *stepAdvice, limit int) []advice.Process {
	var named []advice.Process
	now := a.s.now()
	for id, w := range a.s.workers {
		p := advice.Process{Worker: id, BornMs: w.info.BornMs}
		if w.info.Pool == pool && len(named) < limit && w.track.RunsListed && !w.draining && !w.silent && !step.Covers(now, p) {
			named = append(named, p)
		}
	}
	return named
}

func (a *adviceDriver) send(c *adviceCall) {
	name := fmt.Sprintf("%s.%d.%d", c.Key.Job, c.Key.Occurrence, c.Key.Step)
	workers := make([]string, len(c.named))
	for i, p := range c.named {
		workers[i] = p.Worker
	}
	a.s.c.metrics.adviceCalls.Set(float64(a.line.InFlight()))
	go func() {
		ctx, cancel := context.WithTimeout(a.s.ctx, c.Timeout)
		defer cancel()
		tickets, err := a.s.c.o.Advisor.Advise(ctx, name, workers)
		gaveUp := ctx.Err() != nil
		a.s.post(func() { a.handleAdvice(c, tickets, err, gaveUp) })
	}()
}

func (a *adviceDriver) handleAdvice(c *adviceCall, tickets map[string]string, err error, gaveUp bool) {
	now := a.s.now()
	defer func() { a.s.c.metrics.adviceCalls.Set(float64(a.line.InFlight())) }()
	if err != nil {
		a.line.Failed(now, c.Call, gaveUp)
		a.s.c.metrics.adviceFailed.Inc()
		a.s.log.Info().Err(err).Str("request", c.Key.Job).Uint32("step", c.Key.Step).Bool("gave_up", gaveUp).Dur("timeout", c.Timeout).
			Msg("request to the advisor failed; it is repeated while the step waits")
		return
	}
	a.s.dirty = true
	c.step.Add(c.named, tickets, a.line.Answered(now, c.Call))
	c.step.extendAt = now + adviceExtensionDelay
	a.s.log.Info().Str("request", c.Key.Job).Uint32("step", c.Key.Step).Int("asked", len(c.named)).Int("allowed", len(tickets)).
		Bool("extends", c.Extends).Msg("advice received")
}

// warnOfShortTickets logs the queues whose tickets end before they can be used.
func (s *session) warnOfShortTickets() {
	for _, q := range s.queues {
		if cost := adviceCost(q); q.AdviceMs > 0 && cost.TooShort() {
			s.log.Warn().Str("queue", q.Host+q.Prefix).Dur("decision", cost.Decision).Dur("per_worker", cost.PerWorker).Dur("validity", cost.Validity).
				Msg("the advisor's tickets end before they can be used: its steps start only where a worker has room at once; lengthen the validity")
		}
	}
}

// discard drops the ticket that a worker has rejected, so that the advisor is asked
// again: tickets end with the worker's process, and it may have started again under its id.
func (a *adviceDriver) discard(start *jobpb.Start, rejected string) {
	key := state.Key(start.Task).StepKey()
	step := a.steps[key]
	if step == nil || !step.Discard(start.Worker, rejected) {
		return
	}
	step.retryAt = a.s.now() + adviceRejectionDelay
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
