package worker

import "time"

// Acknowledgements decides when ends of runs may be acknowledged to a worker, whatever
// process has its id.
//
// An acknowledgement names ends by their number, and each process numbers its ends from 1. A
// process that has started again under the worker's id may receive an acknowledgement that
// was meant for the one before it, also late, and would remove ends of its own that are not
// in the log. It has such ends only if it has carried out a start that was meant for the
// process before it as well. So an acknowledgement and a start that a later process could
// both receive must not have the same fence, or the start must have the higher one:
//   - No acknowledgement is sent while a start is open, that is, while its sender waits.
//   - After a start without an answer, one is sent only once the process itself has listed
//     its runs at a request from after the end of that wait: it was alive then, and no
//     process that begins later receives the start.
//   - A start that is sent while an acknowledgement is open, or after one without an answer,
//     has a higher fence. A process that has carried it out rejects the acknowledgement.
type Acknowledgements struct {
	openStarts  int
	startsEnded time.Duration // until then, senders of starts without an answer may have waited
	open        bool
	openFence   uint64 // of the open acknowledgement
}

// NewAcknowledgements returns the state for a worker to which starts may have been sent
// whose senders wait until startsEnd at the latest.
func NewAcknowledgements(startsEnd time.Duration) *Acknowledgements {
	return &Acknowledgements{startsEnded: startsEnd}
}

// StartSent records that a start was sent.
func (a *Acknowledgements) StartSent() { a.openStarts++ }

// StartAnswered records that a start was answered, or is certain never to be carried out.
func (a *Acknowledgements) StartAnswered() { a.openStarts-- }

// StartUnanswered records that a start got no answer and that its sender waits until end at
// the latest.
func (a *Acknowledgements) StartUnanswered(end time.Duration) {
	a.openStarts--
	a.startsEnded = max(a.startsEnded, end)
}

// MaySend reports whether an acknowledgement may be sent to a process whose latest list of
// runs was requested at listRequested.
func (a *Acknowledgements) MaySend(listRequested time.Duration) bool {
	return !a.open && a.openStarts == 0 && listRequested >= a.startsEnded
}

// Sent records that an acknowledgement was sent under a fence.
func (a *Acknowledgements) Sent(fence uint64) { a.open, a.openFence = true, fence }

// Ended records that the sender of the acknowledgement has stopped waiting.
func (a *Acknowledgements) Ended() { a.open = false }

// MayStart reports whether a start may be sent under a fence.
func (a *Acknowledgements) MayStart(fence uint64) bool { return !a.open || fence > a.openFence }
