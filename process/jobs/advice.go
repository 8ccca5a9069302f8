package jobs

import (
	"context"
	"fmt"
	"time"

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
)

// ticketSet holds the advisor's answer for one step.
type ticketSet struct {
	tickets       map[string]string // by worker ID
	reusableUntil time.Duration
	requested     bool          // a call is in flight
	retryAt       time.Duration // earliest next call after a failed one
}

// adviceDriver requests from the advisor the workers that steps may run on, and
// caches the answers.
type adviceDriver struct {
	s     *session
	steps map[state.StepKey]*ticketSet
	calls int // in flight
}

func newAdviceDriver(s *session) *adviceDriver {
	return &adviceDriver{s: s, steps: map[state.StepKey]*ticketSet{}}
}

// tickets returns the tickets of the workers that a step may run on. Without a
// usable answer it returns false and starts a call to the advisor if the limits
// allow one.
func (a *adviceDriver) tickets(key state.StepKey) (map[string]string, bool) {
	now := a.s.now()
	set := a.steps[key]
	if set == nil {
		set = &ticketSet{}
		a.steps[key] = set
	}
	if set.tickets != nil && now < set.reusableUntil {
		return set.tickets, true
	}
	if !set.requested && a.calls < adviceMaxCalls && now >= set.retryAt && a.s.c.o.Advisor != nil {
		a.requestTickets(key, set)
	}
	return nil, false
}

func (a *adviceDriver) requestTickets(key state.StepKey, set *ticketSet) {
	var workers []string
	var validity time.Duration
	// The scheduler calls this from within session.view, so the store can be read directly.
	st := a.s.c.store
	if j := st.Job(key.Job); j != nil {
		for id, w := range a.s.workers {
			if w.info.Pool == j.Pool && len(workers) < adviceMaxWorkers && w.track.RunsListed && !w.draining && !w.silent {
				workers = append(workers, id)
			}
		}
		if q := a.s.queues[j.Queue]; q != nil {
			validity = time.Duration(q.AdviceValidityMs) * time.Millisecond
		}
	}
	if len(workers) == 0 {
		return
	}
	set.requested = true
	a.calls++
	name := fmt.Sprintf("%s.%d.%d", key.Job, key.Occurrence, key.Step)
	sent := a.s.now()
	go func() {
		ctx, cancel := context.WithTimeout(a.s.ctx, adviceTimeout)
		defer cancel()
		tickets, err := a.s.c.o.Advisor.Advise(ctx, name, workers)
		a.s.post(func() { a.handleAdvice(key, set, sent, validity, tickets, err) })
	}()
}

func (a *adviceDriver) handleAdvice(key state.StepKey, set *ticketSet, sent, validity time.Duration, tickets map[string]string, err error) {
	set.requested = false
	a.calls--
	a.s.dirty = true
	if err != nil {
		set.retryAt = a.s.now() + adviceRetryDelay
		a.s.log.Info().Err(err).Str("request", key.Job).Uint32("step", key.Step).Msg("request to the advisor failed; it is repeated while the step waits")
		return
	}
	set.tickets = tickets
	set.reusableUntil = sent + time.Duration(adviceReuseShare*float64(validity))
	a.s.log.Info().Str("request", key.Job).Uint32("step", key.Step).Int("allowed", len(tickets)).Msg("advice received")
}

// discard drops the answer whose ticket a worker has rejected, so that the advisor is asked
// again: tickets end with the worker's process, and it may have started again under its id.
func (a *adviceDriver) discard(start *jobpb.Start, rejected string) {
	key := state.Key(start.Task).StepKey()
	set := a.steps[key]
	if set == nil || set.tickets == nil || set.tickets[start.Worker] != rejected {
		return
	}
	set.tickets = nil
	set.retryAt = a.s.now() + adviceRetryDelay
	a.s.log.Info().Str("request", key.Job).Uint32("step", key.Step).Str("worker", start.Worker).Msg("ticket rejected by the worker: the advisor is asked again")
}

// ticket returns the advisor's ticket for a start, empty if there is none.
func (a *adviceDriver) ticket(start *jobpb.Start) string {
	t := a.steps[state.Key(start.Task).StepKey()]
	if t == nil {
		return ""
	}
	return t.tickets[start.Worker]
}
