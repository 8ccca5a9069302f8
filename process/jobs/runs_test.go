package jobs

import (
	"testing"

	"github.com/matryer/is"

	"marjoramtiller.example/marjoramtiller/job/state"
)

// Guards against a run that is taken to be unknown, and so to be free, since the
// order of an earlier run of its task was settled after it was planned: seen as
// two runs at a time after a worker was dropped with orders on their way.
func TestLateOutcomeOfEarlierStart(t *testing.T) {
	is := is.New(t)
	s := startSet{}
	key := state.TaskKey{Job: "a"}
	s.begin(key, 1)
	s.begin(key, 2)
	s.settle(key, 1)
	is.True(s.has(key))
	s.settle(key, 2)
	is.True(!s.has(key))
}

// Guards against an end that is listed again and removes what is known of the next
// run on the same worker.
func TestRepeatedEndOfEarlierRun(t *testing.T) {
	is := is.New(t)
	key := state.TaskKey{Job: "a"}
	s := runSet{key: {run: 2}}
	is.True(s.take(key, 1) == nil)
	is.Equal(s[key].run, uint32(2))
	is.Equal(s.take(key, 2).run, uint32(2))
	is.Equal(len(s), 0)
}
