package replica

import (
	"errors"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"marjoramtiller.example/marjoramtiller/connection/wirepb"
	"marjoramtiller.example/marjoramtiller/process/consensus"
)

// Guards against a proposal that is answered with the result of another leader's entry,
// which was committed in its place: a session would take its change for applied.
func TestResultOfAnotherTermsEntryIsNotTaken(t *testing.T) {
	is := is.New(t)
	core, err := consensus.New(consensus.Config{ID: "a", Group: "g", Voters: []string{"a"}, HeartbeatInterval: time.Second,
		ElectionTimeoutMin: 2 * time.Second, ElectionTimeoutMax: 4 * time.Second, Rand: rand.New(rand.NewPCG(1, 1)).Int64N}, 0, consensus.Initial{})
	is.NoErr(err)
	r := &Replica{core: core, options: Options{StateMachine: &listMachine{}}, pendingProposals: map[uint64]*proposal{}}
	for index, c := range []struct {
		entryTerm uint64
		taken     bool
	}{{entryTerm: 2, taken: true}, {entryTerm: 3}, {entryTerm: 1}} {
		p := &proposal{index: uint64(index), term: 2, result: make(chan outcome, 1)}
		r.pendingProposals[p.index] = p
		r.applyEntry(&wirepb.RaftEntry{Index: p.index, Term: c.entryTerm, Type: wirepb.RaftEntry_TYPE_COMMAND, Data: []byte("x")})
		got := <-p.result
		is.Equal(got.err == nil, c.taken)
		var notLeader *NotLeaderError
		is.Equal(errors.As(got.err, &notLeader), !c.taken) // its entry is not in the log
		is.Equal(len(r.pendingProposals), 0)
	}
}
