package jobs

import (
	"time"

	"marjoramtiller.example/marjoramtiller/job/state"
)

// startSet holds the run number of each task whose start has been planned and whose
// start order has no outcome yet. If a worker is dropped, its tasks are freed and
// may be planned again while the first order is in flight: the set then holds the
// later run, and the outcome of the earlier one must not remove it.
type startSet map[state.TaskKey]uint32

func (s startSet) put(key state.TaskKey, run uint32) { s[key] = max(s[key], run) }

func (s startSet) removeRun(key state.TaskKey, run uint32) {
	if s[key] == run {
		delete(s, key)
	}
}

func (s startSet) contains(key state.TaskKey) bool { return s[key] > 0 }

// runState holds the outcome, in this term, of the orders for a placed run.
type runState struct {
	run              uint32
	fence            uint64
	ticket           string        // of the start order, empty if it needed none
	sentAt           time.Duration // when the start order was sent, 0 if this leader has only stopped the run
	startConfirmed   bool          // the worker confirmed the start
	received         bool          // the tracked process itself has received the start
	startEndedAt     time.Duration // when the sender of the start stopped waiting, 0 while it waits
	startBrokenOff   bool          // the connection of the start order ended before its answer and its timeout
	startConfirmedAt time.Duration // when the worker confirmed the start
	stopSentAt       time.Duration // when the last stop was sent, 0 if none was
	stopConfirmedAt  time.Duration // when the worker confirmed a stop, 0 if it did not
}

// runSet holds the state of the orders for the runs on one worker.
type runSet map[state.TaskKey]*runState

// remove removes and returns the state of a run. A later run of the same task stays.
func (s runSet) remove(key state.TaskKey, run uint32) *runState {
	r := s[key]
	if r == nil || r.run != run {
		return nil
	}
	delete(s, key)
	return r
}
