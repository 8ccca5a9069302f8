package slots

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// entry is an entry's side: it applies grants and reports.
type entry struct {
	id     Holder
	acked  uint64
	shares map[string]uint32
	demand float64
}

func newEntry(name, boot string) *entry {
	return &entry{id: Holder{name, boot}, shares: make(map[string]uint32)}
}

func (e *entry) report() Report {
	r := Report{Holder: e.id, AckedGrant: e.acked, Demand: map[string]float64{"booking": e.demand}}
	for name, n := range e.shares {
		r.Uses = append(r.Uses, Use{Server: name, Held: n})
	}
	return r
}

func (e *entry) take(a *Allocator) {
	number, shares := a.Grant(e.id)
	if number <= e.acked {
		return
	}
	e.acked = number
	e.shares = make(map[string]uint32)
	for _, s := range shares {
		e.shares[s.Server] = s.Slots
	}
}

func (e *entry) total() int {
	n := 0
	for _, slots := range e.shares {
		n += int(slots)
	}
	return n
}

func serverOf(i int, slots uint32) Server {
	return Server{Name: fmt.Sprintf("s%d", i), Service: "booking", Slots: slots, Connections: 64}
}

// newAllocator waits for the entries that hold grants of an earlier term.
func newAllocator(term uint64, servers int, entries ...*entry) *Allocator {
	var names []string
	for _, e := range entries {
		if e.acked > 0 {
			names = append(names, e.id.Entry)
		}
	}
	a := New(term, names)
	for i := range servers {
		a.SetServer(serverOf(i, 8))
	}
	return a
}

// settle reports, rebalances and takes grants until nothing changes.
func settle(a *Allocator, entries ...*entry) {
	for range 50 {
		for _, e := range entries {
			a.Report(e.report())
		}
		if len(a.Rebalance()) == 0 {
			return
		}
		for _, e := range entries {
			e.take(a)
		}
	}
}

// Guards against a slot used by two entries before its old holder let it go.
func TestDecreaseAcknowledgedFirst(t *testing.T) {
	is := is.New(t)
	x := newEntry("x", "1")
	y := newEntry("y", "1")
	a := newAllocator(1, 1, x, y)
	x.demand = 8
	settle(a, x, y)
	is.Equal(x.total()+y.total(), 8)
	is.Equal(x.total(), 6)
	x.demand = 0
	y.demand = 40
	a.Report(x.report())
	a.Report(y.report())
	is.Equal(a.Rebalance(), []Holder{x.id}) // y has to wait for x
	y.take(a)
	is.Equal(y.total(), 2)
	is.Equal(a.Bound("s0"), uint32(8))
	x.take(a)
	busy := x.report()
	busy.Uses[0].InFlight = 6 // acknowledged, and still at work
	a.Report(busy)
	a.Rebalance()
	y.take(a)
	is.Equal(y.total(), 2)
	a.Report(x.report())
	is.Equal(a.Rebalance(), []Holder{x.id, y.id})
	y.take(a)
	is.True(y.total() > 2)
}

// Guards against taking an entry's report as all that it uses: a grant that it
// took since may hold more.
func TestUnreportedGrantCounts(t *testing.T) {
	is := is.New(t)
	x := newEntry("x", "1")
	y := newEntry("y", "1")
	a := newAllocator(1, 1, x, y)
	x.demand = 8
	a.Report(x.report())
	a.Report(y.report())
	a.Rebalance()
	x.take(a)
	y.take(a)
	is.Equal(x.total(), 6) // x has not reported that it holds them
	y.demand = 100
	for range 3 {
		a.Report(y.report())
		a.Rebalance()
		y.take(a)
		y.demand++
	}
	is.Equal(y.total(), 2)
}

// Guards against a server that comes back and is granted anew while an entry
// still uses its share from before.
func TestReturnedServerCountsOldShares(t *testing.T) {
	is := is.New(t)
	x := newEntry("x", "1")
	y := newEntry("y", "1")
	a := newAllocator(1, 1, x, y)
	a.Report(x.report())
	a.Report(y.report())
	a.Rebalance()
	x.take(a)
	is.Equal(x.total(), 4) // neither has reported what it holds
	a.RemoveServer("s0")
	a.SetServer(serverOf(0, 8))
	y.demand = 100
	for range 3 {
		a.Report(y.report())
		a.Rebalance()
		y.take(a)
		y.demand++
	}
	is.Equal(y.total(), 4)
}

// Guards against granting what an entry may still use, and against losing its
// slots for good.
func TestLostEntryFreesAfterLease(t *testing.T) {
	is := is.New(t)
	x := newEntry("x", "1")
	y := newEntry("y", "1")
	a := newAllocator(1, 1, x, y)
	settle(a, x, y)
	restarted := newEntry("x", "2")
	settle(a, restarted, y)
	is.Equal(restarted.total(), 0)
	is.Equal(y.total(), 4)
	number, _ := a.Grant(x.id)
	is.Equal(number, uint64(0)) // the earlier boot gets nothing more
	a.Over(x.id)
	settle(a, restarted, y)
	is.Equal(restarted.total(), 4)
}

// Guards against a new leader that grants slots which a silent entry holds.
func TestNewLeaderAdopts(t *testing.T) {
	is := is.New(t)
	x := newEntry("x", "1")
	y := newEntry("y", "1")
	old := newAllocator(1, 2, x, y)
	settle(old, x, y)
	a := newAllocator(2, 2, x, y)
	x.demand = 100
	a.Report(x.report())
	is.Equal(len(a.Rebalance()), 0)
	number, shares := a.Grant(x.id)
	is.True(number > x.acked)
	is.Equal(len(shares), len(x.shares))
	y.demand = x.demand
	a.Report(y.report())
	is.Equal(len(a.Rebalance()), 0) // adopted as it was, so nothing moves
	silent := newAllocator(3, 2, x, y)
	silent.Report(x.report())
	silent.Over(Holder{Entry: "y"})
	is.Equal(silent.Rebalance(), []Holder{x.id})
}

// Guards against granting the slots of a crashed entry at once because its next
// boot reports, to a leader that does not know the earlier boot.
func TestRestartedEntryDoesNotEndWait(t *testing.T) {
	is := is.New(t)
	x := newEntry("x", "1")
	y := newEntry("y", "1")
	settle(newAllocator(1, 2, x, y), x, y)
	a := newAllocator(2, 2, x, y)
	restarted := newEntry("y", "2")
	x.demand = 100
	settle(a, x, restarted)
	is.Equal(x.total(), 8) // as adopted
	is.Equal(restarted.total(), 0)
	a.Over(Holder{Entry: "y"})
	settle(a, x, restarted)
	is.Equal(x.total()+restarted.total(), 16)
}

// Guards against an entry without any slot of a service, and against starving
// when slots are scarce.
func TestEveryEntryKeepsOne(t *testing.T) {
	is := is.New(t)
	var entries []*entry
	for i := range 6 {
		entries = append(entries, newEntry(fmt.Sprintf("e%d", i), "1"))
	}
	a := newAllocator(1, 1, entries...)
	entries[0].demand = 1000
	settle(a, entries...)
	for _, e := range entries {
		is.True(e.total() >= 1)
	}
	is.Equal(entries[0].total(), 3)
	a.SetServer(serverOf(0, 2))
	settle(a, entries...)
	sum := 0
	for _, e := range entries {
		sum += e.total()
	}
	is.Equal(sum, 2)
	is.Equal(a.Broken(), nil)
}

// Guards against shares that follow every small change of demand.
func TestSmallChangesMoveNothing(t *testing.T) {
	is := is.New(t)
	x := newEntry("x", "1")
	y := newEntry("y", "1")
	a := newAllocator(1, 10, x, y)
	x.demand = 20
	y.demand = 20
	settle(a, x, y)
	y.demand = 22
	a.Report(x.report())
	a.Report(y.report())
	is.Equal(len(a.Rebalance()), 0)
	y.demand = 2000
	before := x.total()
	a.Report(y.report())
	a.Rebalance()
	x.take(a)
	is.True(before-x.total() <= 20) // a quarter of 80 slots at once
	settle(a, x, y)
	is.True(y.total() > 70)
}

// Guards against connections beyond what a backend server has.
func TestConnectionsDivided(t *testing.T) {
	is := is.New(t)
	x := newEntry("x", "1")
	y := newEntry("y", "1")
	z := newEntry("z", "1")
	a := newAllocator(1, 1, x, y, z)
	settle(a, x, y, z)
	_, shares := a.Grant(x.id)
	is.Equal(shares[0].Connections, uint32(21))
}

// Guards against more slots in use than a server has, under lost and delayed
// reports and grants, restarts, new leaders and changes of servers.
func TestNeverOvergranted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"x", "y", "z"}
		entries := make(map[string]*entry)
		gone := make(map[Holder]*entry) // crashed, lease not over
		for _, name := range names {
			entries[name] = newEntry(name, "0")
		}
		term := uint64(1)
		a := New(term, nil)
		slots := make(map[string]uint32)
		boots := 0
		for range rapid.IntRange(10, 80).Draw(t, "steps") {
			e := entries[rapid.SampledFrom(names).Draw(t, "entry")]
			switch rapid.IntRange(0, 19).Draw(t, "step") {
			case 0:
				s := serverOf(rapid.IntRange(0, 3).Draw(t, "server"), uint32(rapid.IntRange(1, 8).Draw(t, "slots")))
				if slots[s.Name] == 0 {
					slots[s.Name] = s.Slots
				}
				s.Slots = slots[s.Name]
				a.SetServer(s)
			case 1:
				a.RemoveServer(serverOf(rapid.IntRange(0, 3).Draw(t, "server"), 0).Name)
			case 2:
				boots++
				gone[e.id] = e
				entries[e.id.Entry] = newEntry(e.id.Entry, fmt.Sprint(boots))
			case 3:
				// 12 s pass in which only the reporting entries are answered. One
				// that has not reported drops its shares by itself.
				for id := range gone {
					a.Over(id)
				}
				clear(gone)
				for _, name := range names {
					if _, reported := a.holders[entries[name].id]; !reported {
						entries[name].shares = make(map[string]uint32)
					}
					a.Over(Holder{Entry: name})
				}
			case 4:
				// A new leader. It cannot know an earlier boot of an entry whose
				// later boot reports a grant, and that boot sends nothing more.
				for id := range gone {
					if entries[id.Entry].acked > 0 {
						delete(gone, id)
					}
				}
				servers := a.Servers()
				term++
				a = New(term, names)
				for _, s := range servers {
					a.SetServer(s)
				}
			case 5, 6, 7, 8, 9:
				e.demand = float64(rapid.IntRange(0, 50).Draw(t, "demand"))
				a.Report(e.report())
			case 10, 11, 12, 13, 14:
				a.Rebalance()
			default:
				e.take(a)
			}
			if a.Broken() != nil {
				t.Fatal(a.Broken())
			}
			used := make(map[string]uint32)
			for _, list := range []map[Holder]*entry{gone, byID(entries)} {
				for _, e := range list {
					for name, n := range e.shares {
						used[name] += n
					}
				}
			}
			for name, n := range used {
				if n > slots[name] {
					t.Fatalf("server %s has %d slots, %d are in use", name, slots[name], n)
				}
			}
		}
	})
}

func byID(entries map[string]*entry) map[Holder]*entry {
	out := make(map[Holder]*entry)
	for _, e := range entries {
		out[e.id] = e
	}
	return out
}
