package advice

import (
	"slices"
	"time"

	"marjoramtiller.example/marjoramtiller/job/state"
)

const (
	// maxInFlight is the number of calls without an answer. There is only one at first and after
	// a failed one.
	maxInFlight = 4
	// callLead is the time before the expected end of a call in which the next one is sent, so
	// that the advisor need not wait for it.
	callLead = 50 * time.Millisecond
	// A call is given up when it has taken twice the expected time, and the grace time, after
	// those before it. The grace time is doubled with each call that is given up until an
	// answer comes.
	leastGrace = 2 * time.Second
	maxGrace   = 8 * time.Second
	retryDelay = 200 * time.Millisecond // between a failed call and the next one
	// maxExpected bounds what is learned of the time of calls that take longer than configured.
	maxExpected = 5 * time.Second
	// maxLatency is the longest time for which an answer is taken to be on its way.
	maxLatency = 100 * time.Millisecond
	// askLifetime is the time after which a step that no longer asks is forgotten.
	askLifetime = time.Second
	// precedence is the time by which a step comes before one that has waited as long on a queue
	// of the next priority, and a step without tickets before one that has some.
	precedence  = time.Second
	maxPriority = 7 // greater priorities count as this
)

// Ask tells that a step waits for advice.
type Ask struct {
	Key      state.StepKey
	Priority uint32 // of its queue; 0 comes first
	// Extends reports that the step has tickets and looks for further workers. Only one such
	// call is in flight at a time.
	Extends bool
}

// waiting is a step that waits for advice.
type waiting struct {
	Ask
	since, seen time.Duration
	notBefore   time.Duration
	called      bool // a call about it is in flight
}

// rank orders the steps that wait; the least comes first.
func (w *waiting) rank() time.Duration {
	rank := w.since + time.Duration(min(w.Priority, maxPriority))*precedence
	if w.Extends {
		rank += precedence
	}
	return rank
}

// Call is a call to the advisor.
type Call struct {
	Ask
	Timeout  time.Duration // after which it is given up
	sent     time.Duration
	cost     Cost
	workers  int
	expected time.Duration // that the advisor takes for it
}

// Line decides when one process calls the advisor, and about which step: the advisor handles
// the calls of a process one at a time, in the order in which they come. So a call is sent only
// when the one before it is nearly done, the step that has waited longest is asked about first,
// and the time that a call waits for others counts neither against its timeout nor against the
// validity of its tickets. A call that is given up may still be handled.
//
// It answers the load of many steps that begin to wait at once. Create one with NewLine.
type Line struct {
	waiting  map[state.StepKey]*waiting
	inFlight []*Call       // in the order of their sending
	freeAt   time.Duration // when the advisor is expected to have handled those in flight
	// abandonedUntil is when it is expected to have handled those that were given up.
	abandonedUntil time.Duration
	answered       bool // a call was answered since the last one that failed
	answeredAt     time.Duration
	resumeAt       time.Duration // no call is sent earlier, after a failed one
	grace          time.Duration
	slowness       float64 // of the advisor, as a multiple of the configured times; at least 1
}

// NewLine returns a line without calls.
func NewLine() *Line {
	return &Line{waiting: map[state.StepKey]*waiting{}, grace: leastGrace, slowness: 1}
}

// InFlight returns the number of calls without an answer.
func (l *Line) InFlight() int { return len(l.inFlight) }

// Extending reports whether a call about further workers of a step is in flight.
func (l *Line) Extending() bool {
	return slices.ContainsFunc(l.inFlight, func(c *Call) bool { return c.Extends })
}

// Oldest returns the time for which a step without tickets has waited longest, 0 if none waits.
func (l *Line) Oldest(now time.Duration) (key state.StepKey, waited time.Duration) {
	for _, w := range l.waiting {
		if d := now - w.since; !w.Extends && !w.expired(now) && d > waited {
			key, waited = w.Key, d
		}
	}
	return key, waited
}

// Ask records that a step waits, and reports whether it has just begun to. It has to be called
// again within askLifetime for as long as the step waits.
func (l *Line) Ask(now time.Duration, a Ask) (begins bool) {
	w := l.waiting[a.Key]
	begins = w == nil || w.expired(now)
	if begins {
		w = &waiting{since: now}
		l.waiting[a.Key] = w
	}
	w.Ask, w.seen = a, now
	return begins
}

func (w *waiting) expired(now time.Duration) bool { return !w.called && now-w.seen > askLifetime }

// Forget removes a step that need not be asked about.
func (l *Line) Forget(key state.StepKey) { delete(l.waiting, key) }

// Next returns the step to ask about now; ok is false if no call is to be sent.
func (l *Line) Next(now time.Duration) (key state.StepKey, ok bool) {
	if len(l.inFlight) >= l.limit() || now < l.resumeAt || l.freeAt-now > callLead {
		return key, false
	}
	extending := l.Extending()
	var first *waiting
	for key, w := range l.waiting {
		if w.expired(now) {
			delete(l.waiting, key)
			continue
		}
		if w.called || now < w.notBefore || w.Extends && extending {
			continue
		}
		if first == nil || w.rank() < first.rank() {
			first = w
		}
	}
	if first == nil {
		return key, false
	}
	return first.Key, true
}

func (l *Line) limit() int {
	if !l.answered {
		return 1
	}
	return maxInFlight
}

// Send records that a call about a step that waits is sent, which names that many workers.
func (l *Line) Send(now time.Duration, key state.StepKey, cost Cost, workers int) *Call {
	w := l.waiting[key]
	w.called = true
	c := &Call{Ask: w.Ask, sent: now, cost: cost, workers: workers, expected: l.expected(cost, workers)}
	l.freeAt = max(now, l.freeAt, l.abandonedUntil) + c.expected
	c.Timeout = l.freeAt - now + c.expected + l.grace
	l.inFlight = append(l.inFlight, c)
	return c
}

func (l *Line) expected(cost Cost, workers int) time.Duration {
	configured := cost.Call(workers)
	return max(configured, min(time.Duration(l.slowness*float64(configured)), maxExpected))
}

// Answered records the answer to a call, and returns until when its tickets may be used.
func (l *Line) Answered(now time.Duration, c *Call) (usableUntil time.Duration) {
	begun := max(c.sent, l.answeredAt-maxLatency) // the one before it was answered first
	l.slowness = max(1, (l.slowness+l.slownessOf(now, c))/2)
	l.grace = leastGrace
	l.answered, l.answeredAt = true, now
	l.remove(c)
	l.Forget(c.Key)
	l.freeAt, l.abandonedUntil = now+l.outstanding(), now
	return c.cost.UsableUntil(begun, now)
}

// Failed records that a call failed or was given up. Its step waits behind the others.
func (l *Line) Failed(now time.Duration, c *Call, gaveUp bool) {
	l.remove(c)
	l.freeAt = now + l.outstanding()
	if gaveUp {
		l.slowness = max(l.slowness, l.slownessOf(now, c))
		l.abandonedUntil = max(now, l.abandonedUntil) + l.expected(c.cost, c.workers)
		l.grace = min(2*l.grace, maxGrace)
	}
	l.answered = false
	l.resumeAt = now + retryDelay
	if w := l.waiting[c.Key]; w != nil {
		w.called = false
		w.since, w.notBefore = now, now+retryDelay
	}
}

// slownessOf returns how long the advisor has been taking for a call, as a multiple of the
// configured time. The call's turn came with its sending or the last answer.
func (l *Line) slownessOf(now time.Duration, c *Call) float64 {
	configured := c.cost.Call(c.workers)
	if configured <= 0 {
		return 1
	}
	return float64(now-max(c.sent, l.answeredAt)) / float64(configured)
}

func (l *Line) remove(c *Call) {
	l.inFlight = slices.DeleteFunc(l.inFlight, func(other *Call) bool { return other == c })
}

// outstanding returns the time that the advisor is expected to take for the calls in flight.
func (l *Line) outstanding() (total time.Duration) {
	for _, c := range l.inFlight {
		total += c.expected
	}
	return total
}
