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
func (w *workerState) holdDue() time.Duration {
	if w.unacknowledged() && w.track.RunsListed {
		return max(w.nextHold, w.listedAt+relistInterval)
	}
	return w.nextHold
}

// sendAcknowledgement lets a worker remove the ends that are in the log from its list. It
// extends no lease and does not wait, so that starts are held up for a short time only.
func (s *session) sendAcknowledgement(now time.Duration, w *workerState) {
	if !s.leads() {
		return
	}
	o := orders.HoldOrder{Fence: w.track.Fence(), LastSeen: w.track.LastLoggedEnd}
	nextHold := w.nextHold
	w.holding = true
	w.acks.Sent()
	s.hold(w, o, func(list *orders.RunList, err error) {
		w.acks.Ended()
		if err != nil && !orders.NeverCarriedOut(err) {
			s.raiseFence(w)
		}
		s.handleRunList(w, now, o, list, err)
		if err == nil {
			w.nextHold = nextHold // the hold that was due is only put off
		}
		s.sendDeferredStarts(w.acks)
	})
}

// hold sends a hold order. onAnswer is called on the session's goroutine.
func (s *session) hold(w *workerState, o orders.HoldOrder, onAnswer func(list *orders.RunList, err error)) {
	to := orders.Target{ID: w.info.Id, Address: w.info.Address}
	go func() {
		ctx, cancel := context.WithTimeout(s.ctx, orderTimeout+time.Duration(o.WaitMs)*time.Millisecond)
		list, err := s.sender.Hold(ctx, to, o)
		cancel()
		s.post(func() { onAnswer(list, err) })
	}()
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
