package capacity

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func machines(pool string, n int, idle bool) (list []Machine) {
	for i := range n {
		list = append(list, Machine{Name: fmt.Sprint(pool, i), Pool: pool, Cores: 10, Idle: idle})
	}
	return list
}

func settings() Settings {
	s := Default()
	s.Fill, s.Spare = 1, 0.25
	return s
}

// Guards against work that waits while another pool keeps idle machines ready
// for work that it only expects.
func TestWaitingWorkTakesReadyMachines(t *testing.T) {
	is := is.New(t)
	pools := []Pool{{Name: "busy", Live: 40, Cores: 40}, {Name: "ready", Live: 0, Cores: 60}}
	moves, _ := Plan(settings(), pools, append(machines("busy", 2, false), machines("ready", 6, true)...))
	is.Equal(len(moves), 2)
	for _, m := range moves {
		is.Equal(m.To, "busy")
	}
}

// Guards against machines that a few long tasks keep from a pool with waiting work,
// and against work that is moved on although nobody lacks a machine.
func TestLittleWorkIsMovedOn(t *testing.T) {
	is := is.New(t)
	list := append(machines("busy", 2, false), machines("quiet", 4, false)...)
	for i := range list[2:] {
		list[2+i].Movable, list[2+i].Busy = true, float64(1+i)
	}
	quiet := Pool{Name: "quiet", Live: 10, Cores: 10}
	_, vacate := Plan(settings(), []Pool{{Name: "busy", Live: 40, Cores: 40}, quiet}, list)
	is.Equal(vacate, []string{"quiet0", "quiet1"})
	_, vacate = Plan(settings(), []Pool{{Name: "busy", Live: 20, Cores: 20}, quiet}, list)
	is.Equal(len(vacate), 0)
}

// Guards against idle machines that stay in a pool although standby costs nothing,
// and against a pool that is left without its spare machines.
func TestSurplusGoesOnStandby(t *testing.T) {
	is := is.New(t)
	pools := []Pool{{Name: "a", Live: 20, Cores: 20}, {Name: "off", Standby: true}}
	moves, _ := Plan(settings(), pools, append(machines("a", 2, false), machines("a", 5, true)...))
	is.Equal(len(moves), 4)
	is.Equal(moves[0].To, "off")
	moves, _ = Plan(settings(), pools[:1], machines("a", 7, true))
	is.Equal(len(moves), 0) // nowhere to put them
}

// Guards against machines that are ordered again while they are on their way.
func TestArrivingMachinesCount(t *testing.T) {
	is := is.New(t)
	pools := []Pool{{Name: "a", Live: 30, Cores: 30}, {Name: "off", Standby: true}}
	list := append(machines("off", 9, true), machines("a", 1, false)...)
	moves, _ := Plan(settings(), pools, list)
	for _, m := range moves {
		for i := range list {
			if list[i].Name == m.Machine {
				list[i].Pool, list[i].Arriving = m.To, true
			}
		}
	}
	moves, _ = Plan(settings(), pools, list)
	is.Equal(len(moves), 0)
}

// Guards against moves of machines that are in use, of one machine twice, or into
// its own pool.
func TestPlansMoveIdleMachinesOnly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var pools []Pool
		var list []Machine
		for p := range rapid.IntRange(1, 4).Draw(t, "pools") {
			name := fmt.Sprint("p", p, "-")
			live := rapid.Float64Range(0, 100).Draw(t, "live")
			pools = append(pools, Pool{Name: name, Standby: rapid.Bool().Draw(t, "standby"), Live: live, Cores: live * 2})
			list = append(list, machines(name, rapid.IntRange(0, 6).Draw(t, "idle"), true)...)
		}
		byName := map[string]*Machine{}
		for i := range list {
			list[i].Name = fmt.Sprint("m", i)
			list[i].Idle = rapid.Bool().Draw(t, "idle")
			list[i].Movable = rapid.Bool().Draw(t, "movable")
			list[i].Busy = rapid.Float64Range(0, 10).Draw(t, "busy")
			byName[list[i].Name] = &list[i]
		}
		moves, vacate := Plan(settings(), pools, list)
		for _, name := range vacate {
			if m := byName[name]; m == nil || m.Idle || !m.Movable {
				t.Fatalf("machine %s is vacated: %v", name, m)
			}
		}
		for _, m := range moves {
			x := byName[m.Machine]
			if x == nil || !x.Idle || x.Pool != m.From || m.From == m.To {
				t.Fatalf("move %v of %v", m, x)
			}
			delete(byName, m.Machine)
		}
	})
}

// Guards against a demand that is forgotten at once, or never.
func TestDemandIsKeptForATime(t *testing.T) {
	is := is.New(t)
	set := settings()
	tr := NewTracker(set)
	is.Equal(tr.Cores(0, 50), 50.0)
	is.Equal(tr.Cores(set.Keep/2, 5), 50.0)
	is.Equal(tr.Cores(2*set.Keep, 5), 5.0)
	for i := range set.OnsetJobs {
		tr.Arrived(3*set.Keep+time.Duration(i), 10)
	}
	rate := 10 * float64(set.OnsetJobs) / set.Onset.Seconds()
	is.Equal(tr.Cores(3*set.Keep+time.Millisecond, 0), set.Rise*rate*(1-1/math.Sqrt(float64(set.OnsetJobs))))
}

// Guards against a whole pool's machines that are moved for a few large jobs which
// happened to come together, and against a burst of many jobs that is not believed.
func TestFewArrivalsAreAWeakSign(t *testing.T) {
	is := is.New(t)
	set := settings()
	few, many := NewTracker(set), NewTracker(set)
	const work = 400.0 // core-seconds within the onset window
	for i := range 4 {
		few.Arrived(time.Duration(i), work/4)
	}
	for i := range 100 {
		many.Arrived(time.Duration(i), work/100)
	}
	rate := work / set.Onset.Seconds()
	is.True(few.Cores(time.Millisecond, 0) <= 0.8*rate)
	is.True(many.Cores(time.Millisecond, 0) >= rate)
}

// Guards against machines that wait in pools whose peak has just passed, and
// against a pool without ready machines whose peak comes next.
func TestPoolsAfterTheirPeakKeepFewMachines(t *testing.T) {
	is := is.New(t)
	set := settings()
	turns := NewTurns(set)
	list := append(machines("a", 10, true), append(machines("b", 10, true), machines("c", 10, true)...)...)
	rested := func(at time.Duration, peaking ...string) (names []string) {
		pools := []Pool{{Name: "a"}, {Name: "b"}, {Name: "c"}, {Name: "off", Standby: true}}
		for i := range pools {
			for _, name := range peaking {
				if pools[i].Name == name {
					pools[i].Cores = 100
				}
			}
		}
		turns.Note(at, pools, list)
		for _, p := range pools {
			if p.Rested {
				names = append(names, p.Name)
			}
		}
		return names
	}
	is.Equal(len(rested(1)), 0)        // any pool may be the first
	is.Equal(len(rested(2, "a")), 0)   // a pool at its peak keeps its spare machines
	is.Equal(rested(3), []string{"a"}) // b and c are to come
	is.Equal(rested(4, "b"), []string{"a"})
	is.Equal(rested(5), []string{"a", "b"})
	is.Equal(rested(6, "c"), []string{"b"}) // only a can follow
	is.Equal(rested(7), []string{"b", "c"})
	is.Equal(rested(8, "a", "b"), []string(nil)) // c is the only one without a peak now

	set.Spare, set.SpareRested = 0.5, 0.1
	pools := []Pool{{Name: "a", Rested: true}, {Name: "b"}, {Name: "off", Standby: true}}
	moves, _ := Plan(set, pools, append(machines("a", 10, true), machines("b", 10, true)...))
	left := map[string]int{"a": 10, "b": 10}
	for _, m := range moves {
		left[m.From]--
	}
	is.Equal(left, map[string]int{"a": 1, "b": 4})
}
