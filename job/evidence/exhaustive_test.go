package evidence

import (
	"flag"
	"hash/maphash"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// search visits the states that are reachable from a world by a number of events.
type search struct {
	t       *testing.T
	seed    maphash.Seed
	visited map[uint64]uint8 // the most events that were left at a state
	path    []event
	freed   map[Kind]int
}

func (s *search) fail(problem string, continuation []event) {
	var b strings.Builder
	for _, e := range s.path {
		b.WriteString("\n  " + e.String())
	}
	if continuation != nil {
		b.WriteString("\n without faults from here:")
	}
	s.t.Fatalf("%s after:%s", problem, b.String())
}

// play applies an event and returns the proof on which it frees a run.
func (w *world) play(e event) Kind {
	last := w.freedBy
	w.freedBy = None
	w.apply(e)
	proof := w.freedBy
	if proof == None {
		w.freedBy = last
	}
	return proof
}

func (s *search) visit(w *world, left uint8) {
	if w.violation != "" {
		s.fail(w.violation, nil)
	}
	hash := maphash.Comparable(s.seed, *w)
	before, seen := s.visited[hash]
	if seen && before >= left {
		return
	}
	s.visited[hash] = left
	if !seen {
		if problem := checkProgress(*w); problem != "" {
			s.fail(problem, []event{})
		}
	}
	if left == 0 {
		return
	}
	var buffer [32]event
	for _, e := range w.events(buffer[:0]) {
		next := *w
		s.path = append(s.path, e)
		if proof := next.play(e); proof != None {
			s.freed[proof]++
		}
		s.visit(&next, left-1)
		s.path = s.path[:len(s.path)-1]
	}
}

// progressRounds bounds the fault-free play in which a task must make progress.
const progressRounds = 32

// checkProgress plays a world on without faults, once with a process that serves and once
// without one, and returns what the task lacks at the end.
func checkProgress(w world) string {
	if w.done {
		return ""
	}
	gone := w
	w.limits.processes, w.limits.runs = 255, 255
	for range progressRounds {
		if w.process.exiting {
			w.apply(event{kind: crash})
		}
		if w.process.number == 0 {
			w.apply(event{kind: boot})
		}
		w.apply(event{kind: report})
		w.settleAll()
		if w.endProof() != None {
			w.apply(event{kind: drop})
		}
		if w.mayStart() {
			w.apply(event{kind: sendStart})
			w.settleAll()
			if w.process.running > 0 {
				w.apply(event{kind: complete})
			}
		} else if w.process.running > 0 {
			w.apply(event{kind: complete})
		}
		if w.leader.process > 0 && !w.leader.holding && w.freeCall() != nil {
			w.apply(event{kind: sendHold})
			w.settleAll()
		}
		if w.violation != "" {
			return w.violation
		}
		if w.done {
			return checkGone(gone)
		}
		w.apply(event{kind: advance})
	}
	return "the task is not done although a process serves"
}

// checkGone plays a world on without a process and without lists of machines.
func checkGone(w world) string {
	w.limits.processes = 0
	if w.process.number > 0 {
		w.apply(event{kind: crash})
	}
	for range progressRounds {
		if w.placed == 0 {
			return w.violation
		}
		if w.endProof() != None {
			w.apply(event{kind: drop})
			continue
		}
		w.apply(event{kind: advance})
	}
	return "the run is not freed although its process has ended"
}

// settleAll carries out the orders in transit and delivers their answers.
func (w *world) settleAll() {
	for i := range w.calls {
		c := &w.calls[i]
		if c.kind != noCall && !c.carriedOut {
			if c.receiver != 0 && c.receiver != w.process.number {
				if c.open {
					w.failCall(c)
				}
				*c = call{}
				continue
			}
			w.carryOut(c, true)
		}
		if c.kind != noCall && c.open {
			w.apply(event{kind: deliverAnswer, call: uint8(i)})
		}
	}
}

// Guards against a run that is freed while it is at work or can begin, and against a task
// that waits for ever: from each beginning, all orders of a small number of events are played.
func TestAllOrdersOfEvents(t *testing.T) {
	const depth = 6
	freed := map[Kind]int{}
	for _, beginning := range []struct {
		name   string
		events []event
	}{
		{"start in transit", nil},
		{"run at work", []event{{kind: carryOut}, {kind: deliverAnswer}}},
		{"run at work in a later session", []event{{kind: carryOut}, {kind: deliverAnswer}, {kind: newSession}}},
		{"start without an answer", []event{{kind: breakCall}}},
		{"start in transit, exit announced", []event{{kind: announce}, {kind: exitArrives}}},
		{"run at work, exit announced and process gone", []event{{kind: carryOut}, {kind: deliverAnswer}, {kind: announce}, {kind: exitArrives}, {kind: crash}}},
		{"start in transit to a later process", []event{{kind: crash}, {kind: boot}, {kind: report}}},
		{"run at work at a later process", []event{{kind: crash}, {kind: boot}, {kind: carryOut}, {kind: report}}},
	} {
		t.Run(beginning.name, func(t *testing.T) {
			for _, slow := range []bool{false, true} {
				s := &search{t: t, seed: maphash.MakeSeed(), visited: map[uint64]uint8{}, freed: freed}
				w := newWorld(slow, modelLimits{tick: time.Second, processes: 2, runs: 2, sessions: 3})
				w.apply(event{kind: sendStart})
				for _, e := range beginning.events {
					w.apply(e)
				}
				s.visit(w, depth)
				t.Logf("slow clock %t: %d states", slow, len(s.visited))
			}
		})
	}
	t.Logf("runs freed, by proof: %v", freed)
	for _, proof := range []Kind{NotCarriedOut, Superseded, StartSettled, LeasesLapsed, MachineEnded, AddressReused} {
		if freed[proof] == 0 {
			t.Errorf("no play frees a run by %q", proof)
		}
	}
}

// Guards against the same faults in plays that are longer than those of
// TestAllOrdersOfEvents.
func TestRandomOrdersOfEvents(t *testing.T) {
	fixRapid(t, "seed", "35")
	fixRapid(t, "checks", "50000")
	ticks := []time.Duration{time.Second, 500 * time.Millisecond, 300 * time.Millisecond}
	freed := map[Kind]int{}
	events := 0
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Bool().Draw(t, "slow"), modelLimits{tick: rapid.SampledFrom(ticks).Draw(t, "tick"), processes: 4, runs: 4, sessions: 4})
		for range rapid.IntRange(10, 80).Draw(t, "events") {
			var buffer [32]event
			e := rapid.SampledFrom(w.events(buffer[:0])).Draw(t, "event")
			events++
			if proof := w.play(e); proof != None {
				freed[proof]++
			}
			if w.violation != "" {
				t.Fatal(w.violation)
			}
		}
		if problem := checkProgress(*w); problem != "" {
			t.Fatal(problem)
		}
	})
	t.Logf("%d events; runs freed, by proof: %v", events, freed)
}

// fixRapid sets a flag of rapid for a test. A value on the command line is kept.
func fixRapid(t *testing.T, name, value string) {
	t.Helper()
	f := flag.Lookup("rapid." + name)
	if f.Value.String() != f.DefValue {
		return
	}
	if err := f.Value.Set(value); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = f.Value.Set(f.DefValue) })
}
