package evidence

import (
	"slices"
	"testing"
	"time"
)

// Guards against a run that is freed while a later process under the worker's id is at work
// on it: it has received the start that was meant for the earlier one, and the leader takes
// that one for ended before it has heard of the later one.
func TestStartAtALaterProcessIsAwaited(t *testing.T) {
	for name, play := range map[string][]event{
		"machine listed without the earlier one": {{kind: refuseCall}, {kind: crash}, {kind: advance}, {kind: sendStart}, {kind: listMachine},
			{kind: boot}, {kind: carryOut}, {kind: drop}},
		"reused address of the earlier one": {{kind: announce}, {kind: exitArrives}, {kind: crash}, {kind: sendHold}, {kind: otherAnswers, call: 1},
			{kind: boot}, {kind: carryOut}, {kind: drop}},
		"leases of the earlier one": {{kind: crash}, {kind: boot}, {kind: carryOut}, {kind: breakCall},
			{kind: advance}, {kind: advance}, {kind: advance}, {kind: advance}, {kind: drop}},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(false, modelLimits{tick: time.Second, processes: 2, runs: 2, sessions: 1})
			w.apply(event{kind: sendStart})
			for _, e := range play {
				var buffer [32]event
				if !slices.Contains(w.events(buffer[:0]), e) {
					if e.kind == drop {
						return // the leader waits
					}
					t.Fatalf("%s is not possible", e)
				}
				w.apply(e)
			}
			if w.violation != "" {
				t.Fatal(w.violation)
			}
		})
	}
}

// Guards against a run that is freed while it is at work, because its process holds a longer
// lease than the leader has granted: it has carried out a hold that was meant for the earlier
// process under its id, whose deadline is far ahead on its clock. The leader forgot the
// earlier one before it heard of the later one.
func TestLeaseMeantForTheEarlierProcessIsAwaited(t *testing.T) {
	w := newWorld(false, modelLimits{tick: 300 * time.Millisecond, processes: 2, runs: 2, sessions: 1})
	for _, e := range []event{{kind: sendStart}, {kind: carryOut}, {kind: deliverAnswer}, {kind: sendHold},
		{kind: crash}, {kind: listMachine}, {kind: drop}, {kind: boot}, {kind: carryOut}, // of the hold
		{kind: report}, {kind: sendHold}, {kind: carryOut}, {kind: deliverAnswer}, {kind: sendStart}, {kind: carryOut}, {kind: deliverAnswer}} {
		var buffer [32]event
		if !slices.Contains(w.events(buffer[:0]), e) {
			t.Fatalf("%s is not possible", e)
		}
		w.apply(e)
	}
	for w.placed > 0 && w.violation == "" {
		if w.endProof() != None {
			w.apply(event{kind: drop})
			break
		}
		w.apply(event{kind: advance}) // the worker is cut off
	}
	if w.violation != "" {
		t.Fatal(w.violation)
	}
}
