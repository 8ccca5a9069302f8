package members

import (
	"slices"
	"time"

	"marjoramtiller.example/marjoramtiller/process/consensus"
)

const (
	// reachableTimeout is the time without an acknowledgement after which a replica no
	// longer counts as reachable.
	reachableTimeout = time.Second
	// silentTimeout is the silence after which a voter of a group of even size is removed. A
	// voter that returns later joins again.
	silentTimeout = 2 * time.Second
	// removalTimeout is the silence after which a replica is removed although nothing takes
	// its place. It is longer than network interruptions and process pauses that end without
	// intervention.
	removalTimeout = 15 * time.Second
	// minVoters is the number of voters at or below which an unreachable voter is not
	// removed unless it has a replacement.
	minVoters = 3
)

// GroupState is the membership of the group as the leader sees it.
type GroupState struct {
	Self     string
	Voters   []string
	Learners []string
	// CaughtUp are the learners that have all committed entries.
	CaughtUp []string
	// SinceLastAck is the time since each replica's last acknowledgement to this leader.
	SinceLastAck map[string]time.Duration
	// Silence is the time since any leader had an acknowledgement of a replica, for those
	// that are silent.
	Silence map[string]time.Duration
	// Joining are the replicas that have requested to join and are not yet members.
	Joining []string
}

// NextChange returns the next single change of the membership; ok is false if none is
// needed.
//
// A voter that is gone weakens the group for as long as it is counted, and only a majority can
// remove it. Replacements may follow each other, and leaders change, faster than it is certain
// that a silent voter will not return. So a group must not collect silent voters: it does not
// grow while its size is even and a voter is unreachable, and a silent voter leaves a group of
// even size soon. That never lowers the number of further losses that the group bears: of six
// voters with one silent one may be lost, of the other five two. A caught-up learner thereby
// takes the place of the longest silent voter of a group of odd size, as it is promoted first.
func NextChange(state GroupState) (change consensus.VoterChange, ok bool) {
	rules := []func(GroupState) (consensus.VoterChange, bool){
		removeReplacedVoter, removeFromEvenSize, promoteLearner, removeLearner, addJoining, removeLostVoter,
	}
	for _, rule := range rules {
		if change, ok := rule(state); ok {
			return change, true
		}
	}
	return consensus.VoterChange{}, false
}

// removeReplacedVoter removes an unreachable voter if another replica joins from its host: the
// process that used the voter's folder no longer runs.
func removeReplacedVoter(state GroupState) (consensus.VoterChange, bool) {
	return removeSilentVoter(state, func(name string) bool { return hasReplacement(state, name) })
}

// removeFromEvenSize removes a silent voter from a group of even size.
func removeFromEvenSize(state GroupState) (consensus.VoterChange, bool) {
	if !state.hasSpareVoter() {
		return consensus.VoterChange{}, false
	}
	return removeSilentVoter(state, func(name string) bool { return state.Silence[name] >= silentTimeout })
}

// promoteLearner promotes a learner that is reachable and has caught up.
func promoteLearner(state GroupState) (consensus.VoterChange, bool) {
	unreachable := func(name string) bool { return !reachable(state, name) }
	if state.hasSpareVoter() && slices.ContainsFunc(state.Voters, unreachable) {
		return consensus.VoterChange{}, false
	}
	for _, name := range state.Learners {
		if reachable(state, name) && slices.Contains(state.CaughtUp, name) {
			return consensus.VoterChange{Kind: consensus.Promote, Name: name}, true
		}
	}
	return consensus.VoterChange{}, false
}

func removeLearner(state GroupState) (consensus.VoterChange, bool) {
	for _, name := range state.Learners {
		lost := !reachable(state, name) && state.Silence[name] > removalTimeout
		if lost || hasReplacement(state, name) {
			return consensus.VoterChange{Kind: consensus.Remove, Name: name}, true
		}
	}
	return consensus.VoterChange{}, false
}

func addJoining(state GroupState) (consensus.VoterChange, bool) {
	for _, name := range state.Joining {
		return consensus.VoterChange{Kind: consensus.AddLearner, Name: name}, true
	}
	return consensus.VoterChange{}, false
}

// removeLostVoter removes a voter that has been silent for long although nothing takes its
// place.
func removeLostVoter(state GroupState) (consensus.VoterChange, bool) {
	if len(state.Voters) <= minVoters {
		return consensus.VoterChange{}, false
	}
	return removeSilentVoter(state, func(name string) bool { return state.Silence[name] > removalTimeout })
}

// removeSilentVoter removes the longest silent of the unreachable voters that match. A voter
// is removed only if a majority of the remaining voters is reachable, because otherwise the
// removal itself could not commit.
func removeSilentVoter(state GroupState, matches func(name string) bool) (consensus.VoterChange, bool) {
	longest := ""
	for _, name := range state.Voters {
		if reachable(state, name) || !matches(name) || !hasMajorityWithout(state, name) {
			continue
		}
		if longest == "" || state.Silence[name] > state.Silence[longest] {
			longest = name
		}
	}
	return consensus.VoterChange{Kind: consensus.Remove, Name: longest}, longest != ""
}

// hasSpareVoter reports whether the group would bear as many failures with one voter less: its
// size is even, so that its majority would be smaller by one, too.
func (s GroupState) hasSpareVoter() bool {
	return len(s.Voters) > minVoters && len(s.Voters)%2 == 0
}

func reachable(state GroupState, name string) bool {
	sinceLastAck, known := state.SinceLastAck[name]
	return name == state.Self || known && sinceLastAck < reachableTimeout
}

// hasReplacement reports whether the named replica is unreachable and another replica
// has requested to join, or is already a member, at the same host. A voter at that
// host counts only if it is reachable.
func hasReplacement(state GroupState, name string) bool {
	if reachable(state, name) {
		return false
	}
	sameHost := func(other string) bool { return other != name && Host(other) == Host(name) }
	return slices.ContainsFunc(state.Joining, sameHost) || slices.ContainsFunc(state.Learners, sameHost) ||
		slices.ContainsFunc(state.Voters, func(other string) bool { return sameHost(other) && reachable(state, other) })
}

// hasMajorityWithout reports whether a majority of the voters other than the named one
// is reachable.
func hasMajorityWithout(state GroupState, name string) bool {
	reachableVoters := 0
	for _, other := range state.Voters {
		if other != name && reachable(state, other) {
			reachableVoters++
		}
	}
	return reachableVoters >= (len(state.Voters)-1)/2+1
}
