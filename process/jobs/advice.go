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
	adviceWorkers    = 30 // asked about in one call
	adviceCalls      = 4  // in progress; the advisor takes one after the other
	adviceTimeout    = 3 * time.Second
	adviceReuseShare = 0.7 // of a ticket's validity, for the way to the worker
	adviceRetry      = 200 * time.Millisecond
)

// ticketSet is what the advisor has said of one step.
type ticketSet struct {
	tickets map[string]string // by worker
	until   time.Duration
	asking  bool
	retryAt time.Duration
}

// adviceDriver asks the advisor on which workers steps may run.
type adviceDriver struct {
	s     *session
	steps map[state.StepKey]*ticketSet
	calls int
}

func newAdviceDriver(s *session) *adviceDriver {
	return &adviceDriver{s: s, steps: map[state.StepKey]*ticketSet{}}
}

// tickets returns the workers that a step may run on. It asks the advisor, and
// returns false, while that is not known.
func (a *adviceDriver) tickets(key state.StepKey) (map[string]string, bool) {
	now := a.s.now()
	t := a.steps[key]
	if t == nil {
		t = &ticketSet{}
		a.steps[key] = t
	}
	if t.tickets != nil && now < t.until {
		return t.tickets, true
	}
	if !t.asking && a.calls < adviceCalls && now >= t.retryAt && a.s.c.o.Advisor != nil {
		a.ask(key, t)
	}
	return nil, false
}

func (a *adviceDriver) ask(key state.StepKey, t *ticketSet) {
	var workers []string
	var validity time.Duration
	// The scheduler calls with the state held.
	st := a.s.c.store
	if j := st.Job(key.Job); j != nil {
		for id, w := range a.s.workers {
			if w.info.Pool == j.Pool && len(workers) < adviceWorkers && w.track.Looked && !w.draining && !w.silent {
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
	t.asking = true
	a.calls++
	name := fmt.Sprintf("%s.%d.%d", key.Job, key.Occurrence, key.Step)
	sent := a.s.now()
	go func() {
		ctx, cancel := context.WithTimeout(a.s.ctx, adviceTimeout)
		defer cancel()
		tickets, err := a.s.c.o.Advisor.Advise(ctx, name, workers)
		a.s.post(func() { a.advised(key, t, sent, validity, tickets, err) })
	}()
}

func (a *adviceDriver) advised(key state.StepKey, t *ticketSet, sent, validity time.Duration, tickets map[string]string, err error) {
	t.asking = false
	a.calls--
	a.s.dirty = true
	if err != nil {
		t.retryAt = a.s.now() + adviceRetry
		a.s.log.Info().Err(err).Str("request", key.Job).Uint32("step", key.Step).Msg("the advisor gave no answer")
		return
	}
	t.tickets = tickets
	t.until = sent + time.Duration(adviceReuseShare*float64(validity))
	a.s.log.Info().Str("request", key.Job).Uint32("step", key.Step).Int("allowed", len(tickets)).Msg("advice received")
}

// ticket returns the advisor's ticket for a start, empty if none is needed.
func (a *adviceDriver) ticket(start *jobpb.Start) string {
	t := a.steps[state.Key(start.Task).StepOf()]
	if t == nil {
		return ""
	}
	return t.tickets[start.Worker]
}
