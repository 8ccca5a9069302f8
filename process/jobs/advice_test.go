package jobs

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"marjoramtiller.example/marjoramtiller/job/advice"
	"marjoramtiller.example/marjoramtiller/job/jobpb"
	"marjoramtiller.example/marjoramtiller/job/state"
)

// recordingAdvisor allows all workers, and records which it was asked about.
type recordingAdvisor struct{ asked chan []string }

// Advise implements Advisor.
func (a recordingAdvisor) Advise(_ context.Context, _ string, workers []string) (map[string]string, error) {
	slices.Sort(workers)
	a.asked <- workers
	tickets := map[string]string{}
	for _, id := range workers {
		tickets[id] = "ticket-" + id
	}
	return tickets, nil
}

// adviceFixture is a session with the workers w-0 and w-1, and an advisor.
type adviceFixture struct {
	*session
	asked chan []string
	key   state.StepKey // of the step that is asked about
}

func newAdviceFixture(t *testing.T) adviceFixture {
	t.Helper()
	f := adviceFixture{newUpkeepFixture(t).session, make(chan []string, 8), state.StepKey{Job: "job"}}
	f.c.o.Advisor = recordingAdvisor{f.asked}
	f.queues = map[string]*jobpb.Queue{"": {AdviceValidityMs: 30000}}
	f.advice = newAdviceDriver(f.session)
	return f
}

// handleAnswer waits for the answer to a call, and returns the workers that it was about.
func (f adviceFixture) handleAnswer() []string {
	asked := <-f.asked
	(<-f.events)()
	return asked
}

// passTime lets the time pass until the next look for further workers.
func (f adviceFixture) passTime() { f.advice.steps[f.key].extendAt -= adviceExtensionDelay }

// Guards against a step that waits for most of the tickets' validity although a worker has
// joined on which it may run: the worker that it ran on is gone.
func TestAdvisorIsAskedAnewOnceTheWorkersOfItsAnswerAreGone(t *testing.T) {
	is := is.New(t)
	f := newAdviceFixture(t)
	joined := f.workers["w-1"]
	delete(f.workers, "w-1")
	_, known := f.advice.ticketsOfWaiting(f.key)
	is.True(!known)
	is.Equal(f.handleAnswer(), []string{"w-0"})
	tickets, known := f.advice.ticketsOfWaiting(f.key)
	is.True(known)
	is.Equal(tickets, map[string]string{"w-0": "ticket-w-0"})

	f.workers["w-0"].info.BornMs++ // a later process under the same id
	f.workers["w-1"] = joined
	_, known = f.advice.ticketsOfWaiting(f.key)
	is.True(!known)
	is.Equal(f.handleAnswer(), []string{"w-0", "w-1"})
	tickets, known = f.advice.ticketsOfWaiting(f.key)
	is.True(known)
	is.Equal(len(tickets), 2)
}

// Guards against a step that waits for a full worker although another one has joined, and
// against calls that are repeated, that interrupt the use of earlier tickets, or that are made
// for steps which don't wait.
func TestAdvisorIsAskedAboutFurtherWorkersWhileAStepWaits(t *testing.T) {
	is := is.New(t)
	f := newAdviceFixture(t)
	joined := f.workers["w-1"]
	delete(f.workers, "w-1")
	f.advice.ticketsOfWaiting(f.key)
	is.Equal(f.handleAnswer(), []string{"w-0"})
	f.passTime()
	f.advice.ticketsOfWaiting(f.key)
	is.Equal(f.advice.line.InFlight(), 0) // nobody has joined
	f.workers["w-1"] = joined
	f.advice.ticketsOfWaiting(f.key)
	is.Equal(f.advice.line.InFlight(), 0) // it has just looked
	f.passTime()
	f.advice.tickets(f.key)
	is.Equal(f.advice.line.InFlight(), 0)
	for range 2 {
		tickets, known := f.advice.ticketsOfWaiting(f.key)
		is.True(known)
		is.Equal(tickets, map[string]string{"w-0": "ticket-w-0"})
		is.Equal(f.advice.line.InFlight(), 1)
	}
	is.True(f.advice.line.Extending())
	is.Equal(f.handleAnswer(), []string{"w-1"})
	is.True(!f.advice.line.Extending())
	tickets, _ := f.advice.ticketsOfWaiting(f.key)
	is.Equal(len(tickets), 2)
}

// Guards against answers about the steps of ended jobs that are kept for as long as the
// process leads.
func TestAnswersOfEndedJobsAreForgotten(t *testing.T) {
	is := is.New(t)
	f := newAdviceFixture(t)
	ended := state.StepKey{Job: "another"}
	f.advice.step(f.key).Add([]advice.Process{{Worker: "w-0"}}, nil, time.Hour)
	f.advice.step(ended).Add([]advice.Process{{Worker: "w-0"}}, nil, time.Hour)
	f.advice.forgetEnded(f.c.store)
	is.Equal(len(f.advice.steps), 1)
	is.True(f.advice.steps[f.key] != nil)
}

// Guards against calls that wait for each other at the advisor, which handles one at a time,
// until they are given up (review/14): by its configured times the next call would wait.
func TestCallsToTheAdvisorDoNotWaitForEachOther(t *testing.T) {
	is := is.New(t)
	f := newAdviceFixture(t)
	f.queues = map[string]*jobpb.Queue{"": {AdviceMs: 450, AdviceWorkerUs: 75_000, AdviceValidityMs: 60_000}}
	for step := range uint32(6) {
		f.advice.ticketsOfWaiting(state.StepKey{Job: "job", Step: step})
	}
	is.Equal(f.advice.line.InFlight(), 1)
	f.handleAnswer()
	is.Equal(f.advice.line.InFlight(), 0)
	_, known := f.advice.ticketsOfWaiting(f.key)
	is.True(known) // the step that asked first was served first
}
