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
	data, err := proto.Marshal(&jobpb.Command{Entries: entries})
	is.New(t).NoErr(err)
	st.Apply(1, data)
	return st
}

func moveEntry(machine, pool string) *jobpb.Entry {
	return &jobpb.Entry{Change: &jobpb.Entry_Move{Move: &jobpb.Move{Machine: machine, Pool: pool}}}
}

// Guards against an order of a new leader within the gap after its predecessor's
// for the same machine, and against a wait for machines that nobody has ordered.
func TestNewLeaderWaitsForOrderedMachines(t *testing.T) {
	is := is.New(t)
	const began, gap = 10 * time.Second, 3 * time.Second
	const nowMs = 1_000_000
	wave := func(number uint64, dueMs int64, machine string, begun bool) *jobpb.Entry {
		return &jobpb.Entry{Change: &jobpb.Entry_Wave{Wave: &jobpb.Wave{Number: number, DueMs: dueMs,
			Machines: []*jobpb.WaveMachine{{Machine: machine, Ordered: true, Begun: begun}, {Machine: machine + "-later", Begun: begun}}}}}
	}
	st := storeOf(t, moveEntry("moved", "pool"), wave(1, nowMs+5000, "open", false), wave(2, nowMs-1000, "recent", true),
		wave(3, nowMs-waveMemory.Milliseconds()-1, "past", true))
	h := newHolder(st, began, gap, nowMs)
	for _, name := range []string{"moved", "open", "recent"} {
		is.True(!h.mayOrder(began+gap-1, name)) // its predecessor may have ordered it just before
		is.True(h.mayOrder(began+gap, name))
	}
	for _, name := range []string{"untouched", "open-later", "past"} {
		is.True(h.mayOrder(began, name))
	}
	pool, may := h.arrives(began, "moved")
	is.Equal(pool, "pool")
	is.True(may)
	_, may = h.arrives(began+gap, "moved")
	is.True(!may)
	_, may = h.arrives(began, "open")
	is.True(!may)
}

// Guards against a move that leaves the log while a successor's order could follow
// it within the gap.
func TestMoveIsRememberedForTheGap(t *testing.T) {
	is := is.New(t)
	const began, gap = 10 * time.Second, 3 * time.Second
	h := newHolder(storeOf(t, moveEntry("earlier", "pool")), began, gap, 0)
	h.ordered(began+time.Second, "moved")
	is.True(!h.forgettable(began+gap, "moved"))
	is.True(h.forgettable(began+gap+time.Second, "moved"))
	is.True(!h.forgettable(began+gap-1, "earlier"))
	is.True(h.forgettable(began+gap, "earlier"))
}
