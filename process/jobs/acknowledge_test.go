package jobs

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"marjoramtiller.example/marjoramtiller/job/jobpb"
	"marjoramtiller.example/marjoramtiller/job/orders"
	"marjoramtiller.example/marjoramtiller/job/state"
	"marjoramtiller.example/marjoramtiller/job/worker"
)

// ackFixture is a leader's session with a worker that runs a task, whose end number 57 is in
// the log and not acknowledged. Orders wait in held until the test lets them go.
type ackFixture struct {
	*upkeepFixture
	w    *workerState
	held *heldWorkers
}

// heldWorkers passes each order to the test, which answers it.
type heldWorkers struct {
	orders.Workers
	starts chan heldOrder
	holds  chan heldOrder
}

type heldOrder struct {
	fence, lastSeen uint64
	waitMs          int64
	answer          chan<- error
}

func (h *heldWorkers) Start(_ context.Context, _ orders.Target, o orders.StartOrder) (int64, error) {
	answer := make(chan error)
	h.starts <- heldOrder{fence: o.Fence, answer: answer}
	return 60_100, <-answer
}

func (h *heldWorkers) Hold(_ context.Context, _ orders.Target, o orders.HoldOrder) (*orders.RunList, error) {
	answer := make(chan error)
	h.holds <- heldOrder{fence: o.Fence, lastSeen: o.LastSeen, waitMs: o.WaitMs, answer: answer}
	if err := <-answer; err != nil {
		return nil, err
	}
	run := orders.Run{Task: &jobpb.TaskRef{Job: "job"}, Run: 1, Percent: fullPercent}
	return &orders.RunList{ClockMs: 60_100, EndsComplete: true, Running: []orders.Run{run}}, nil
}

func newAckFixture(t *testing.T) *ackFixture {
	t.Helper()
	f := &ackFixture{upkeepFixture: newUpkeepFixture(t), held: &heldWorkers{starts: make(chan heldOrder, 1), holds: make(chan heldOrder, 1)}}
	f.session.c.o.Bounds.ReportInterval = time.Second
	f.session.sender, f.session.advice = f.held, newAdviceDriver(f.session)
	delete(f.session.workers, "w-1")
	f.w = f.session.workers["w-0"]
	f.w.track = worker.New(worker.LeaseTiming{Lease: 4 * time.Second, MaxLease: 10 * time.Second}, 1, 0, f.session.now(), false)
	f.w.track.SampleClock(f.session.now(), 60_000)
	f.w.track.RunsListed = true
	f.w.track.LastLoggedEnd = 57
	f.list()
	return f
}

// list notes that the worker has just listed its runs.
func (f *ackFixture) list() { f.w.listedAt, f.w.listRequested = f.session.now(), f.session.now() }

// hold has the session send what is due, and returns the hold among it.
func (f *ackFixture) hold() heldOrder {
	f.session.maintainWorkers(f.session.now())
	return <-f.held.holds
}

// start sends a start to the worker.
func (f *ackFixture) start() {
	ref := &jobpb.TaskRef{Job: "job"}
	f.session.sendStart(&jobpb.Start{Task: ref, Run: 1, Worker: "w-0"})
}

// answer answers an order and handles the answer.
func (f *ackFixture) answer(o heldOrder, err error) {
	o.answer <- err
	(<-f.session.events)()
}

// useUpFences leaves the term no fences for starts beside holds.
func (f *ackFixture) useUpFences() {
	for f.w.track.MayAdvanceFence() {
		f.w.track.AdvanceFence()
	}
}

// Guards against a start that reaches a later process under the fence of a hold which
// acknowledges ends and was sent before it, and against a worker that must list its runs anew
// after each such start.
func TestStartBesideAnAcknowledgingHoldHasAHigherFence(t *testing.T) {
	is := is.New(t)
	f := newAckFixture(t)
	hold := f.hold()
	is.Equal(hold.lastSeen, uint64(57))
	is.True(hold.waitMs > 0)
	for range 2 {
		f.start()
		start := <-f.held.starts
		is.Equal(start.fence, hold.fence+1)
		f.answer(start, nil)
	}
	is.True(f.w.track.RunsListed)
	f.answer(hold, nil)
	is.True(!f.w.unacknowledged())
	f.w.nextHold = 0
	next := f.hold()
	is.Equal(next.fence, hold.fence+1)
	is.Equal(next.lastSeen, uint64(0))
	f.answer(next, nil)
}

// Guards against a raised fence after each hold that a start has overtaken: the worker would
// have to list its runs anew.
func TestOvertakenHoldIsSentAgain(t *testing.T) {
	is := is.New(t)
	f := newAckFixture(t)
	hold := f.hold()
	f.start()
	start := <-f.held.starts
	f.answer(start, nil)
	f.answer(hold, &orders.RefusedError{Reason: orders.RefusedFence})
	is.Equal(f.w.track.Fence(), start.fence)
	is.True(f.w.track.RunsListed)
	again := f.hold()
	is.Equal(again.fence, start.fence)
	is.Equal(again.lastSeen, uint64(57))
	f.answer(again, nil)
}

// Guards against an acknowledgement without fences for the starts beside it that waits for an
// end, and against one that is repeated although it was confirmed.
func TestEndsAreAcknowledgedByAnOrderOfItsOwn(t *testing.T) {
	is := is.New(t)
	f := newAckFixture(t)
	f.useUpFences()
	ack := f.hold()
	is.Equal(ack.lastSeen, uint64(57))
	is.Equal(ack.waitMs, int64(0))
	f.answer(ack, nil)
	f.w.nextHold = 0
	hold := f.hold()
	is.Equal(hold.lastSeen, uint64(0))
	is.True(hold.waitMs > 0)
	f.answer(hold, nil)
}

// Guards against a process that forgets ends which are not in the log: an acknowledgement
// meant for its predecessor names ends by their number alone. The process has such ends only
// of starts that were meant for its predecessor too.
func TestNoAcknowledgementWhileAStartIsOpen(t *testing.T) {
	is := is.New(t)
	f := newAckFixture(t)
	f.start()
	start := <-f.held.starts
	is.True(!f.w.mayAcknowledge(f.session.now()))
	f.w.listedAt -= relistInterval
	hold := f.hold() // the list is requested meanwhile
	is.Equal(hold.lastSeen, uint64(0))
	f.answer(hold, nil)
	f.answer(start, context.DeadlineExceeded)
	f.w.track.RunsListed = true
	is.True(!f.w.mayAcknowledge(f.session.now())) // the last list was requested before the sender stopped waiting
	f.w.silent = false
	f.w.listRequested = f.w.runs[state.Key(&jobpb.TaskRef{Job: "job"})].startEndedAt
	is.True(f.w.mayAcknowledge(f.session.now()))
	f.w.listedAt -= 2 * identityTimeout
	is.True(!f.w.mayAcknowledge(f.session.now())) // it may have started again
}

// Guards against a start that reaches a later process together with an acknowledgement that
// was sent before it.
func TestStartWaitsForTheAcknowledgement(t *testing.T) {
	for name, lost := range map[string]error{"answered": nil, "without an answer": context.DeadlineExceeded} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newAckFixture(t)
			f.useUpFences()
			ack := f.hold()
			f.start()
			is.Equal(len(f.w.acks.deferredStarts), 1)
			is.Equal(len(f.held.starts), 0)
			f.answer(ack, lost)
			start := <-f.held.starts
			is.Equal(start.fence > ack.fence, lost != nil) // a process with the start rejects the acknowledgement
			f.answer(start, nil)
			is.Equal(len(f.w.acks.deferredStarts), 0)
		})
	}
}

// Guards against acknowledgements of a new session beside starts that an earlier one, or
// another leader, sent shortly before.
func TestNewSessionWaitsForEarlierStarts(t *testing.T) {
	is := is.New(t)
	s := newUpkeepFixture(t).session
	s.began = time.Hour
	a := s.acknowledgements("w-new")
	is.True(!a.MaySend(time.Hour + orderTimeout - 1))
	is.True(a.MaySend(time.Hour + orderTimeout))
	is.Equal(s.acknowledgements("w-new"), a)
}

// Guards against a start that waits for an acknowledgement to the process before, or is never
// sent: the worker is tracked anew meanwhile, under a higher fence.
func TestStartAtALaterProcessDoesNotWait(t *testing.T) {
	is := is.New(t)
	f := newAckFixture(t)
	f.useUpFences()
	ack := f.hold()
	f.session.report(Report{Worker: &jobpb.Worker{Id: "w-0", Pool: "pool", BornMs: 5, CpuMillis: 1000}, Sequence: 1, ClockMs: 100}, make(chan error, 1))
	later := f.session.workers["w-0"]
	is.True(later != f.w)
	later.predecessor = nil
	f.session.sendStart(&jobpb.Start{Task: &jobpb.TaskRef{Job: "job"}, Run: 1, Worker: "w-0", BornMs: 5})
	start := <-f.held.starts
	is.True(start.fence > ack.fence)
	f.answer(ack, context.DeadlineExceeded)
	f.answer(start, nil)
}
