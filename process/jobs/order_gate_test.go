package jobs

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"marjoramtiller.example/marjoramtiller/job/jobpb"
	"marjoramtiller.example/marjoramtiller/job/state"
)

func storeOf(t *testing.T, entries ...*jobpb.Entry) *state.Store {
	t.Helper()
	st := state.New()
	applyEntries(t, st, entries...)
	return st
}

func applyEntries(t *testing.T, st *state.Store, entries ...*jobpb.Entry) {
	t.Helper()
	data, err := proto.Marshal(&jobpb.Command{Entries: entries})
	is.New(t).NoErr(err)
	st.Apply(1, data)
}

func moveEntry(machine, pool string) *jobpb.Entry {
	return &jobpb.Entry{Change: &jobpb.Entry_Move{Move: &jobpb.Move{Machine: machine, Pool: pool}}}
}

// Guards against a new leader that orders a machine within the gap after its
// predecessor's order, and against a delay for machines that were not ordered.
func TestNewLeaderWaitsForOrderedMachines(t *testing.T) {
	is := is.New(t)
	const began, gap = 10 * time.Second, 3 * time.Second
	const nowMs = 1_000_000
	wave := func(number uint64, dueMs int64, machine string, begun bool) *jobpb.Entry {
		return &jobpb.Entry{Change: &jobpb.Entry_Wave{Wave: &jobpb.Wave{Number: number, DueMs: dueMs,
			Machines: []*jobpb.WaveMachine{{Machine: machine, Ordered: true, Begun: begun}, {Machine: machine + "-later", Begun: begun}}}}}
	}
	st := storeOf(t, moveEntry("moved", "pool"), wave(1, nowMs+5000, "open", false), wave(2, nowMs-1000, "recent", true),
		wave(3, nowMs-waveOrderRetention.Milliseconds()-1, "past", true))
	gate := newOrderGate(st, began, gap, nowMs)
	for _, name := range []string{"moved", "open", "recent"} {
		is.True(!gate.mayOrder(began+gap-1, name)) // its predecessor may have ordered it just before this term
		is.True(gate.mayOrder(began+gap, name))
	}
	for _, name := range []string{"untouched", "open-later", "past"} {
		is.True(gate.mayOrder(began, name))
	}
	pool, may := gate.inheritedMove(began, "moved")
	is.Equal(pool, "pool")
	is.True(may)
	_, may = gate.inheritedMove(began+gap, "moved")
	is.True(!may)
	_, may = gate.inheritedMove(began, "open")
	is.True(!may)
}

// Guards against removing a move from the log too early: a successor that does not
// find it there could order the machine within the gap.
func TestMoveStaysInLogForTheOrderGap(t *testing.T) {
	is := is.New(t)
	const began, gap = 10 * time.Second, 3 * time.Second
	gate := newOrderGate(storeOf(t, moveEntry("earlier", "pool")), began, gap, 0)
	gate.recordOrder(began+time.Second, "moved")
	is.True(!gate.gapPassed(began+gap, "moved"))
	is.True(gate.gapPassed(began+gap+time.Second, "moved"))
	is.True(!gate.gapPassed(began+gap-1, "earlier"))
	is.True(gate.gapPassed(began+gap, "earlier"))
}
