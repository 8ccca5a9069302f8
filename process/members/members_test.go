package members

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"marjoramtiller.example/marjoramtiller/process/consensus"
)

var seeds = []string{"10.0.0.1:70", "10.0.0.2:70", "10.0.0.3:70"}

// Guards against a replica that votes again under its old name after its disk was
// lost, and against one that changes its name with a restart.
func TestIdentity(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	name, founders, err := Identify(dir, seeds[0], seeds, true)
	is.NoErr(err)
	is.Equal(name, Name(seeds[0], founder))
	is.Equal(len(founders), 3)
	again, founders, err := Identify(dir, seeds[0], seeds, false)
	is.NoErr(err)
	is.Equal(again, name)
	is.Equal(len(founders), 3)

	is.NoErr(os.Remove(filepath.Join(dir, identityFile)))
	wiped, founders, err := Identify(dir, seeds[0], seeds, false)
	is.NoErr(err)
	is.True(wiped != name)
	is.Equal(len(founders), 0)

	other, founders, err := Identify(t.TempDir(), "10.0.0.9:70", seeds, true)
	is.NoErr(err)
	is.Equal(len(founders), 0) // no seed
	is.True(Matches(Name("10.0.0.9:70", Any), other))
	is.True(!Matches(Name(seeds[0], Any), other))
	is.True(!Matches(wiped, name))
	is.Equal(Host(other), "10.0.0.9")
}

func view() View {
	v := View{Self: "10.0.0.1:70~a", Voters: []string{"10.0.0.1:70~a", "10.0.0.2:70~b", "10.0.0.3:70~c"}, Silence: map[string]time.Duration{}}
	for _, name := range v.Voters {
		v.Silence[name] = 0
	}
	return v
}

func next(t *testing.T, v View) consensus.VoterChange {
	t.Helper()
	change, ok := Next(v)
	if !ok {
		return consensus.VoterChange{}
	}
	return change
}

// Guards against a wiped voter that is neither replaced nor removed.
func TestWipedVoterIsReplaced(t *testing.T) {
	is := is.New(t)
	v := view()
	_, ok := Next(v)
	is.Equal(ok, false)
	v.Silence["10.0.0.3:70~c"] = 2 * time.Second
	v.Joining = []string{"10.0.0.3:70~new"}
	is.Equal(next(t, v), consensus.VoterChange{Kind: consensus.Remove, Name: "10.0.0.3:70~c"})
	v.Voters = v.Voters[:2]
	is.Equal(next(t, v), consensus.VoterChange{Kind: consensus.AddLearner, Name: "10.0.0.3:70~new"})
	v.Joining, v.Learners = nil, []string{"10.0.0.3:70~new"}
	v.Silence["10.0.0.3:70~new"] = 0
	is.Equal(next(t, v), consensus.VoterChange{Kind: consensus.Promote, Name: "10.0.0.3:70~new"})
}

// Guards against the removal of a voter on which the majority depends, and of one
// that is only cut off for a while.
func TestSilentVoters(t *testing.T) {
	is := is.New(t)
	v := view()
	v.Silence["10.0.0.3:70~c"] = time.Hour
	_, ok := Next(v)
	is.Equal(ok, false) // three voters are not made two without a successor
	v.Voters = append(v.Voters, "10.0.0.4:70~d")
	v.Silence["10.0.0.4:70~d"] = 0
	is.Equal(next(t, v), consensus.VoterChange{Kind: consensus.Remove, Name: "10.0.0.3:70~c"})
	v.Silence["10.0.0.3:70~c"] = silentLimit / 2
	_, ok = Next(v)
	is.Equal(ok, false)
	v = view()
	v.Silence["10.0.0.2:70~b"], v.Silence["10.0.0.3:70~c"] = time.Hour, time.Hour
	v.Joining = []string{"10.0.0.3:70~new"}
	is.Equal(next(t, v).Kind, consensus.AddLearner) // of the two left, one is silent: no removal could commit
}

// Guards against a removal while the joining replica at the same host is the
// member itself, heard a moment ago.
func TestHeardVoterStays(t *testing.T) {
	is := is.New(t)
	v := view()
	v.Joining = []string{"10.0.0.3:70~new"}
	is.Equal(next(t, v).Kind, consensus.AddLearner)
}
