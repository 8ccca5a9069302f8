package advice

import "time"

const (
	// MaxWorkers is the number of workers that a call may name.
	MaxWorkers = 30
	// maxCallTime is the time that the advisor shall need for a call, so that steps which wait
	// for others' calls are not held up for long.
	maxCallTime = time.Second
	// maxCallShare is the share of the tickets' validity that a call may take.
	maxCallShare = 0.35
	// reuseShare is the share of a ticket's validity in which the ticket is used for starts;
	// the rest is left for delivery to the worker.
	reuseShare = 0.7
	// leastUse is the time for which every answer is used. Tickets whose validity ends earlier
	// serve only starts that go out at once.
	leastUse = 200 * time.Millisecond
)

// Cost tells how long a queue's advisor takes for a call, and how long its tickets last.
type Cost struct {
	Decision  time.Duration // for a call
	PerWorker time.Duration // and for each worker named
	Validity  time.Duration // of the tickets
}

// Call returns the time that the advisor takes for a call.
func (c Cost) Call(workers int) time.Duration {
	return c.Decision + time.Duration(workers)*c.PerWorker
}

// Workers returns how many workers a call may name. It is at least one.
func (c Cost) Workers() int {
	limit := max(maxCallTime, 2*c.Decision)
	if c.Validity > 0 {
		limit = min(limit, time.Duration(maxCallShare*float64(c.Validity)))
	}
	if c.Call(MaxWorkers) <= limit {
		return MaxWorkers
	}
	if c.PerWorker <= 0 {
		return MaxWorkers // it costs nothing to name more
	}
	return min(max(1, int((limit-c.Decision)/c.PerWorker)), MaxWorkers)
}

// UsableUntil returns until when the tickets of an answer are used for starts. Its call was
// begun by the advisor at begun or later, and the answer came at received.
func (c Cost) UsableUntil(begun, received time.Duration) time.Duration {
	return max(begun+time.Duration(reuseShare*float64(c.Validity)), received+leastUse)
}

// TooShort reports that the tickets end before the answer that brings them can be used: steps
// start only where a worker has room as soon as the answer comes.
func (c Cost) TooShort() bool {
	return c.Call(1)+leastUse > time.Duration(reuseShare*float64(c.Validity))
}
