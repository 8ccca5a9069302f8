package jobs

import (
	"context"
	"time"

	"marjoramtiller.example/marjoramtiller/job/jobpb"
	"marjoramtiller.example/marjoramtiller/job/orders"
	"marjoramtiller.example/marjoramtiller/job/worker"
)

// relistInterval is the time between two lists of a worker whose ends can't be acknowledged
// yet: it lists them again at once.
const relistInterval = 100 * time.Millisecond

// ackState is the state of the acknowledgements to a worker. It outlives the worker's
// processes, as what was sent to one may reach the next.
type ackState struct {
	*worker.Acknowledgements
	deferredStarts []*jobpb.Start // to be sent once the sender of the open acknowledgement has stopped waiting
}

// acknowledgements returns the state of the acknowledgements to a worker.
func (s *session) acknowledgements(id string) *ackState {
	a := s.acks[id]
	if a == nil {
		// Earlier sessions may have sent starts to the worker.
		a = &ackState{Acknowledgements: worker.NewAcknowledgements(s.began + orderTimeout)}
		s.acks[id] = a
	}
	return a
}

// unacknowledged reports whether ends are in the log that the worker still lists.
func (w *workerState) unacknowledged() bool { return w.track.LastLoggedEnd > w.acknowledged }

// mayAcknowledge reports whether the ends that are in the log can be acknowledged now.
func (w *workerState) mayAcknowledge(now time.Duration) bool {
	return w.unacknowledged() && w.track.RunsListed && !w.silent && now < w.listedAt+identityTimeout && w.acks.MaySend(w.listRequested)
}

// holdDue returns when the next hold may be sent to a worker.
func (w *workerState) holdDue(now time.Duration) time.Duration {
	if w.unacknowledged() && w.track.RunsListed && !w.mayAcknowledge(now) {
		return max(w.nextHold, w.listedAt+relistInterval)
	}
	return w.nextHold
}

// sendAcknowledgement lets a worker remove the ends that are in the log from its list, once
// its term has no fences left for starts beside longer holds. It extends no lease and does not
// wait, so that starts are held up for a short time only.
func (s *session) sendAcknowledgement(now time.Duration, w *workerState) {
	if !s.leads() {
		return
	}
	nextHold := w.nextHold
	s.hold(now, w, orders.HoldOrder{Fence: w.track.Fence(), LastSeen: w.track.LastLoggedEnd}, func(err error) {
		if err == nil {
			w.nextHold = nextHold // the hold that was due is only put off
		}
	})
}

// hold sends a hold order and handles its answer. onHandled is called afterwards.
func (s *session) hold(now time.Duration, w *workerState, o orders.HoldOrder, onHandled func(err error)) {
	w.holding = true
	if o.LastSeen > 0 {
		w.acks.Sent(o.Fence)
	}
	to := orders.Target{ID: w.info.Id, Address: w.info.Address}
	go func() {
		ctx, cancel := context.WithTimeout(s.ctx, orderTimeout+time.Duration(o.WaitMs)*time.Millisecond)
		list, err := s.sender.Hold(ctx, to, o)
		cancel()
		s.post(func() {
			if o.LastSeen > 0 {
				s.endAcknowledgement(w, o, err)
			}
			s.handleRunList(w, now, o, list, err)
			onHandled(err)
			s.sendDeferredStarts(w.acks)
		})
	}()
}

// endAcknowledgement records that the sender of an acknowledgement has stopped waiting.
func (s *session) endAcknowledgement(w *workerState, o orders.HoldOrder, err error) {
	w.acks.Ended()
	if err != nil && !orders.NeverCarriedOut(err) && w.track.Fence() <= o.Fence {
		s.raiseFence(w)
	}
}

// mayStartBesideAcknowledgement reports whether a start may be sent now. Beside an open
// acknowledgement it gets a higher fence, unless the term has none left for that.
func (s *session) mayStartBesideAcknowledgement(w *workerState) bool {
	if !w.acks.MayStart(w.track.Fence()) && w.track.MayAdvanceFence() {
		w.track.AdvanceFence()
		s.fences.use(w.info.Id, w.track.Fence())
	}
	return w.acks.MayStart(w.track.Fence())
}

func (s *session) sendDeferredStarts(a *ackState) {
	starts := a.deferredStarts
	a.deferredStarts = nil
	for _, start := range starts {
		s.sendStart(start)
	}
}

// recordStartEnd records that the sender of a start has stopped waiting, with err.
func (w *workerState) recordStartEnd(end time.Duration, err error) {
	if err == nil || orders.NeverCarriedOut(err) {
		w.acks.StartAnswered()
		return
	}
	w.acks.StartUnanswered(end)
}
