package jobs

import (
	"time"

	"marjoramtiller.example/marjoramtiller/job/state"
)

// startSet holds the starts between their plan and the outcome of their order. A
// task that was freed meanwhile, as its worker was dropped, may have a later run in
// the set: what comes of the earlier one must not remove it.
type startSet map[state.TaskKey]uint32

func (s startSet) begin(key state.TaskKey, run uint32) { s[key] = max(s[key], run) }

func (s startSet) settle(key state.TaskKey, run uint32) {
	if s[key] == run {
		delete(s, key)
	}
}

func (s startSet) has(key state.TaskKey) bool { return s[key] > 0 }

// runState is what this term knows of the order behind a placed run.
type runState struct {
	run      uint32
	fence    uint64
	answered bool
	okAt     time.Duration // when the worker confirmed the start
	stopAt   time.Duration // when the last stop was sent
	stopOkAt time.Duration // when the worker confirmed a stop
}

// runSet holds the orders behind the runs on one worker.
type runSet map[state.TaskKey]*runState

// take removes and returns what is known of a run; a later run of the task stays.
func (s runSet) take(key state.TaskKey, run uint32) *runState {
	r := s[key]
	if r == nil || r.run != run {
		return nil
	}
	delete(s, key)
	return r
}
