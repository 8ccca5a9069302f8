package members

import (
	"slices"
	"time"

	"marjoramtiller.example/marjoramtiller/process/consensus"
)

// silentLimit is how long a replica may be silent before its place is given to
// another one. It is longer than the cuts and freezes that pass by themselves.
const silentLimit = 15 * time.Second

// View is what the leader knows of the group.
type View struct {
	Self     string
	Voters   []string
	Learners []string
	// Silence is the time since a replica's last acknowledgement.
	Silence map[string]time.Duration
	// Joining are the replicas that ask to join and are no members.
	Joining []string
}

// Next returns the next change of the membership, one at a time; ok is false if
// none is needed. A replica that joins from the address of a member replaces it,
// since the process that held that member's folder is gone. A silent voter is
// dropped only if enough others are heard, so that the change itself can commit.
func Next(v View) (change consensus.VoterChange, ok bool) {
	for _, name := range v.Learners {
		if heard(v, name) {
			return consensus.VoterChange{Kind: consensus.Promote, Name: name}, true
		}
	}
	for _, name := range v.Voters {
		if name != v.Self && replaced(v, name) && safeWithout(v, name) {
			return consensus.VoterChange{Kind: consensus.Remove, Name: name}, true
		}
	}
	for _, name := range v.Learners {
		if v.Silence[name] > silentLimit || replaced(v, name) {
			return consensus.VoterChange{Kind: consensus.Remove, Name: name}, true
		}
	}
	for _, name := range v.Joining {
		return consensus.VoterChange{Kind: consensus.AddLearner, Name: name}, true
	}
	for _, name := range v.Voters {
		if name != v.Self && v.Silence[name] > silentLimit && len(v.Voters) > minVoters && safeWithout(v, name) {
			return consensus.VoterChange{Kind: consensus.Remove, Name: name}, true
		}
	}
	return consensus.VoterChange{}, false
}

// minVoters is the size below which no silent voter is dropped without a successor.
const minVoters = 3

// heardLimit is the silence after which a replica doesn't count as reachable.
const heardLimit = time.Second

func heard(v View, name string) bool {
	silence, known := v.Silence[name]
	return name == v.Self || known && silence < heardLimit
}

// replaced reports whether another replica asks to join, or has joined, from the
// same host.
func replaced(v View, name string) bool {
	if heard(v, name) {
		return false
	}
	same := func(other string) bool { return other != name && Host(other) == Host(name) }
	return slices.ContainsFunc(v.Joining, same) || slices.ContainsFunc(v.Learners, same) ||
		slices.ContainsFunc(v.Voters, func(other string) bool { return same(other) && heard(v, other) })
}

// safeWithout reports whether the voters without one of them have a majority
// that is heard.
func safeWithout(v View, name string) bool {
	n := 0
	for _, other := range v.Voters {
		if other != name && heard(v, other) {
			n++
		}
	}
	return n >= (len(v.Voters)-1)/2+1
}
