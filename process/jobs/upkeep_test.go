package jobs

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"marjoramtiller.example/marjoramtiller/job/jobpb"
	"marjoramtiller.example/marjoramtiller/job/state"
	"marjoramtiller.example/marjoramtiller/job/worker"
)

// upkeepFixture is a leader's view of a lasting step with a task on each of two
// workers, of which one may be away, and of a wave over their machines.
type upkeepFixture struct {
	st *state.Store
	s  *session
	u  *upkeepDriver
}

func newUpkeepFixture(t *testing.T) *upkeepFixture {
	t.Helper()
	step := &jobpb.Step{Count: 2, Lasting: true, MaxUnavailable: 1}
	entries := []*jobpb.Entry{
		{Change: &jobpb.Entry_Configure{Configure: &jobpb.Configuration{Version: 1, Pools: []*jobpb.Pool{{Name: "pool"}, {Name: "off", Standby: true}}}}},
		{Change: &jobpb.Entry_Accept{Accept: &jobpb.Accept{Job: &jobpb.Job{Id: "job", Pool: "pool", Steps: []*jobpb.Step{step}}}}},
		{Change: &jobpb.Entry_Wave{Wave: &jobpb.Wave{Number: 1, Maximum: 2, DueMs: time.Now().Add(time.Hour).UnixMilli(),
			Machines: []*jobpb.WaveMachine{{Machine: "m-0"}, {Machine: "m-1"}}}}},
	}
	s := &session{c: &Control{}, log: zerolog.Nop(), workers: map[string]*workerState{}}
	for i, id := range []string{"w-0", "w-1"} {
		ref := &jobpb.TaskRef{Job: "job", Index: uint32(i)}
		info := &jobpb.Worker{Id: id, Pool: "pool"}
		entries = append(entries, &jobpb.Entry{Change: &jobpb.Entry_Worker{Worker: info}},
			&jobpb.Entry{Change: &jobpb.Entry_Start{Start: &jobpb.Start{Task: ref, Run: 1, Worker: id}}})
		s.workers[id] = &workerState{info: info, runs: runSet{}, track: worker.New(worker.Timing{}, 1, 0, 0, false),
			load: map[state.TaskKey]Run{state.Key(ref): {Task: ref, Run: 1, Percent: fullPercent}}}
	}
	st := storeOf(t, entries...)
	s.holder = newHolder(st, 0, 0, 0)
	s.moves = newMoveDriver(s)
	s.upkeep = newUpkeepDriver(s)
	s.upkeep.took(0, []Machine{{Name: "m-0", Pool: "pool", Up: true, WorkerID: "w-0"}, {Name: "m-1", Pool: "pool", Up: true, WorkerID: "w-1"}})
	return &upkeepFixture{st: st, s: s, u: s.upkeep}
}

// Guards against a second upkeep of a lasting step while the first one is
// confirmed, its worker has ended, and no list shows that yet.
func TestConfirmedUpkeepIsAway(t *testing.T) {
	is := is.New(t)
	f := newUpkeepFixture(t)
	is.Equal(f.u.blocker(f.st, "w-1"), nil) // one task may be away
	f.u.machine("m-0").confirmedAt = time.Second
	is.True(f.u.blocker(f.st, "w-1") != nil)
}

// Guards against the upkeep of a machine whose new worker has registered and runs
// tasks that may not be away, while the list still names the worker before.
func TestUpkeepWaitsForTheListedWorker(t *testing.T) {
	is := is.New(t)
	f := newUpkeepFixture(t)
	wave := f.st.Waves()[1]
	f.u.listed["m-0"] = Machine{Name: "m-0", Pool: "pool", Up: true, WorkerID: "w-before"}
	f.u.listed["m-1"] = Machine{Name: "m-1", Pool: "pool", Up: true, WorkerID: "w-before-1"}
	now := 10 * time.Second
	f.u.wave(now, f.st, wave)
	is.Equal(len(f.s.batch), 0)
	f.u.wave(now+unknownTime, f.st, wave)
	is.Equal(len(f.s.batch), 0)
	f.u.wave(now+unknownTime+1, f.st, wave) // no worker has come: nothing runs there
	is.Equal(len(f.s.batch), 2)
}

// Guards against an upkeep that waits for the worker of a machine on standby.
func TestUpkeepOnStandbyNeedsNoWorker(t *testing.T) {
	is := is.New(t)
	f := newUpkeepFixture(t)
	f.u.listed["m-0"] = Machine{Name: "m-0", Pool: "off", Up: true}
	delete(f.u.listed, "m-1")
	f.u.wave(time.Second, f.st, f.st.Waves()[1])
	is.Equal(len(f.s.batch), 2) // the order for m-0, and the end of m-1, which is gone
}

// Guards against two upkeeps that take the tasks of one step away at the same
// time, and against more machines out than the wave allows.
func TestUpkeepsGoOneByOne(t *testing.T) {
	is := is.New(t)
	f := newUpkeepFixture(t)
	wave := f.st.Waves()[1]
	f.u.wave(time.Second, f.st, wave)
	is.Equal(len(f.s.batch), 1) // the second would leave the step without a task
	wave.Maximum = 0
	f = newUpkeepFixture(t)
	f.st.Waves()[1].Maximum = 0
	f.u.wave(time.Second, f.st, f.st.Waves()[1])
	is.Equal(len(f.s.batch), 0)
}
