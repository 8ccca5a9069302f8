package members

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"marjoramtiller.example/marjoramtiller/process/consensus"
	"marjoramtiller.example/marjoramtiller/process/storage"
	"marjoramtiller.example/marjoramtiller/standin/disk"
)

var seeds = []string{"10.0.0.1:70", "10.0.0.2:70", "10.0.0.3:70"}

// Guards against a replica that votes again under its old name after its folder was
// lost, and against a replica whose name changes on a restart. The test deletes the
// identity file, and also starts a replica that is not a seed.
func TestIdentity(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	name, founders, err := LoadOrCreateIdentity(dir, seeds[0], seeds, true)
	is.NoErr(err)
	is.Equal(name, Name(seeds[0], founderIdentity))
	is.Equal(len(founders), 3)
	again, founders, err := LoadOrCreateIdentity(dir, seeds[0], seeds, false)
	is.NoErr(err)
	is.Equal(again, name)
	is.Equal(len(founders), 3)

	is.NoErr(os.Remove(filepath.Join(dir, identityFile)))
	wiped, founders, err := LoadOrCreateIdentity(dir, seeds[0], seeds, false)
	is.NoErr(err)
	is.True(wiped != name)
	is.Equal(len(founders), 0)

	other, founders, err := LoadOrCreateIdentity(t.TempDir(), "10.0.0.9:70", seeds, true)
	is.NoErr(err)
	is.Equal(len(founders), 0) // its address is not among the seeds
	is.True(Matches(Name("10.0.0.9:70", AnyIdentity), other))
	is.True(!Matches(Name(seeds[0], AnyIdentity), other))
	is.True(!Matches(wiped, name))
	is.Equal(Host(other), "10.0.0.9")
}

// processFS is the file system of a process on a simulated disk.
type processFS struct{ *disk.Process }

func (p processFS) Append(name string) (storage.File, error) { return p.Process.Append(name) }
func (p processFS) Create(name string) (storage.File, error) { return p.Process.Create(name) }

// Guards against a replica that takes part in its group under a name that a loss of power
// takes away, after a process before it was killed while it stored the name.
func TestIdentitySurvivesAKillAndALossOfPower(t *testing.T) {
	is := is.New(t)
	load := func(p *disk.Process) (string, error) {
		name, _, err := loadOrCreateIdentity(processFS{p}, "/data/control", "10.0.0.9:70", seeds, false)
		return name, err
	}
	for changes := 0; ; changes++ {
		d := disk.New(uint64(changes))
		first := d.Start()
		first.EndAfter(changes)
		if _, err := load(first); err == nil {
			is.True(changes > 5) // it creates folders and a file, which it syncs and renames
			return
		}
		second := d.Start()
		name, err := load(second)
		is.NoErr(err)
		second.End()
		d.LosePowerKeepingNothing()
		again, err := load(d.Start())
		is.NoErr(err)
		if again != name {
			t.Errorf("after an end at change %d the name is %s, and %s after a loss of power", changes, name, again)
		}
	}
}

func healthyGroup() GroupState {
	state := GroupState{Self: "10.0.0.1:70~a", Voters: []string{"10.0.0.1:70~a", "10.0.0.2:70~b", "10.0.0.3:70~c"}, SinceLastAck: map[string]time.Duration{}}
	for _, name := range state.Voters {
		state.SinceLastAck[name] = 0
	}
	return state
}

func nextChange(t *testing.T, state GroupState) consensus.VoterChange {
	t.Helper()
	change, ok := NextChange(state)
	if !ok {
		return consensus.VoterChange{}
	}
	return change
}

// Guards against a voter that has lost its folder and stays in the group: it must be
// removed, and the replica that joins from the same host added and then promoted.
func TestWipedVoterIsReplaced(t *testing.T) {
	is := is.New(t)
	state := healthyGroup()
	_, ok := NextChange(state)
	is.Equal(ok, false)
	state.SinceLastAck["10.0.0.3:70~c"] = 2 * time.Second
	state.Joining = []string{"10.0.0.3:70~new"}
	is.Equal(nextChange(t, state), consensus.VoterChange{Kind: consensus.Remove, Name: "10.0.0.3:70~c"})
	state.Voters = state.Voters[:2]
	is.Equal(nextChange(t, state), consensus.VoterChange{Kind: consensus.AddLearner, Name: "10.0.0.3:70~new"})
	state.Joining, state.Learners = nil, []string{"10.0.0.3:70~new"}
	state.SinceLastAck["10.0.0.3:70~new"] = 0
	state.CaughtUp = state.Learners
	is.Equal(nextChange(t, state), consensus.VoterChange{Kind: consensus.Promote, Name: "10.0.0.3:70~new"})
}

// Guards against the removal of a voter that is needed for a majority, and of one
// that has been unreachable for less than removalTimeout.
func TestUnreachableVoterIsRemovedOnlyIfSafe(t *testing.T) {
	is := is.New(t)
	state := healthyGroup()
	state.SinceLastAck["10.0.0.3:70~c"] = time.Hour
	state.Silence = map[string]time.Duration{"10.0.0.3:70~c": time.Hour}
	_, ok := NextChange(state)
	is.Equal(ok, false) // three voters are not reduced to two without a replacement
	state.Voters = append(state.Voters, "10.0.0.4:70~d")
	state.SinceLastAck["10.0.0.4:70~d"] = 0
	is.Equal(nextChange(t, state), consensus.VoterChange{Kind: consensus.Remove, Name: "10.0.0.3:70~c"})
	state.Silence["10.0.0.3:70~c"] = silentTimeout - 1
	_, ok = NextChange(state)
	is.Equal(ok, false)
	state.Voters = append(state.Voters, "10.0.0.5:70~e")
	state.SinceLastAck["10.0.0.5:70~e"] = 0
	state.Silence["10.0.0.3:70~c"] = removalTimeout
	_, ok = NextChange(state)
	is.Equal(ok, false) // a group of odd size waits longer
	state.Silence["10.0.0.3:70~c"] = removalTimeout + 1
	is.Equal(nextChange(t, state), consensus.VoterChange{Kind: consensus.Remove, Name: "10.0.0.3:70~c"})
	state.SinceLastAck["10.0.0.3:70~c"] = reachableTimeout - 1
	_, ok = NextChange(state)
	is.Equal(ok, false) // it was silent to an earlier leader, and this one has just been elected
	state = healthyGroup()
	state.SinceLastAck["10.0.0.2:70~b"], state.SinceLastAck["10.0.0.3:70~c"] = time.Hour, time.Hour
	state.Joining = []string{"10.0.0.3:70~new"}
	is.Equal(nextChange(t, state).Kind, consensus.AddLearner) // one of the two remaining voters is unreachable, so no removal could commit
}

// Guards against the removal of a voter that acknowledged a moment ago when a replica
// with the same host requests to join.
func TestReachableVoterIsNotReplaced(t *testing.T) {
	is := is.New(t)
	state := healthyGroup()
	state.Joining = []string{"10.0.0.3:70~new"}
	is.Equal(nextChange(t, state).Kind, consensus.AddLearner)
}

// Guards against a group that grows by the successors of voters that are gone: a caught-up
// learner is promoted to an even size, and the longest silent voter then leaves; at an even size
// that comes first.
func TestLearnerTakesThePlaceOfASilentVoter(t *testing.T) {
	is := is.New(t)
	state := healthyGroup()
	const gone, lately, learner = "10.0.0.4:70~gone", "10.0.0.5:70~lately", "10.0.0.6:70~new"
	state.Voters = append(state.Voters, gone, lately)
	state.SinceLastAck[gone], state.SinceLastAck[lately] = 1500*time.Millisecond, 1500*time.Millisecond
	state.Silence = map[string]time.Duration{gone: silentTimeout + 1, lately: silentTimeout}
	_, ok := NextChange(state)
	is.True(!ok) // nothing takes their places
	state.Learners = []string{learner}
	state.SinceLastAck[learner] = 0
	_, ok = NextChange(state)
	is.True(!ok) // it has not caught up
	state.CaughtUp = state.Learners
	is.Equal(nextChange(t, state), consensus.VoterChange{Kind: consensus.Promote, Name: learner})

	state.Voters = append(state.Voters, learner)
	state.Learners, state.CaughtUp = []string{"10.0.0.7:70~next"}, []string{"10.0.0.7:70~next"}
	state.SinceLastAck["10.0.0.7:70~next"] = 0
	is.Equal(nextChange(t, state), consensus.VoterChange{Kind: consensus.Remove, Name: gone})
	state.Silence[gone], state.Silence[lately] = silentTimeout-1, silentTimeout-1
	_, ok = NextChange(state)
	is.True(!ok) // the group does not grow beside them, either
}
