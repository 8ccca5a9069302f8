package measure

import (
	"errors"
	"strings"
	"sync"
	"testing"

	"marjoramtiller.example/marjoramtiller/measure/capacity"
)

type measured struct {
	user  string
	fleet capacity.Fleet
	small capacity.Small
}

// instances measures the small instances of both users once for all tests.
var instances = sync.OnceValues(func() ([]measured, error) {
	out := make([]measured, len(Users))
	errs := make([]error, len(Users))
	var wg sync.WaitGroup
	for i, user := range Users {
		wg.Go(func() {
			f, err := capacity.LoadFleet(user)
			errs[i] = err
			if err == nil {
				out[i] = measured{user, f, f.MeasureSmall()}
			}
		})
	}
	wg.Wait()
	return out, errors.Join(errs...)
})

func checkRows(t *testing.T, rows func(string, capacity.Fleet, capacity.Small) []Row, chosen func(Row) bool) {
	t.Helper()
	all, err := instances()
	if err != nil {
		t.Fatal(err)
	}
	checked := 0
	for _, m := range all {
		for _, r := range rows(m.user, m.fleet, m.small) {
			if !chosen(r) {
				continue
			}
			checked++
			t.Logf("%s, %s, %s: %s, reference %s, target %.2f", r.Metric, r.User, r.Case, r.value(), number(r.Reference), r.Target)
			if !r.Met() {
				t.Errorf("%s of %s (%s) is %s; the target is %.2f times %s", r.Metric, r.User, r.Case, r.value(), r.Target, number(r.Reference))
			}
		}
	}
	if checked == 0 {
		t.Fatal("no row was checked")
	}
}

func every(Row) bool         { return true }
func sampleFleet(r Row) bool { return r.Case == "sample fleet" }
func instance(r Row) bool    { return strings.Contains(r.Case, "instances") }

// Guards against placements that hold more reserve than the target allows.
func TestBufferCost(t *testing.T) {
	t.Parallel()
	checkRows(t, ReserveRows, every)
}

// Guards against plans that move more hosts than the target allows.
func TestHostMoves(t *testing.T) {
	t.Parallel()
	checkRows(t, MoveRows, every)
}

// Guards against waves over the users' sample fleets that end later than the
// target allows, or never.
func TestRolloutTimeOfSampleFleets(t *testing.T) {
	t.Parallel()
	checkRows(t, RolloutRows, sampleFleet)
}

// Guards against waves over small instances that end later than the target
// allows against the best order of starts.
func TestRolloutTimeOfSmallInstances(t *testing.T) {
	t.Parallel()
	checkRows(t, RolloutRows, instance)
}

// Guards against figures that differ from run to run. The waits of short work
// have the same test in request/queue.
func TestFiguresAreDeterministic(t *testing.T) {
	t.Parallel()
	run := func() string {
		var b strings.Builder
		for _, user := range Users {
			f, err := capacity.LoadFleet(user)
			if err != nil {
				t.Fatal(err)
			}
			rows := append(ReserveRows(user, f, capacity.Small{}), RolloutRows(user, f, capacity.Small{})...)
			if err := Print(&b, append(rows, MoveRows(user, f, capacity.Small{})...)); err != nil {
				t.Fatal(err)
			}
		}
		return b.String()
	}
	if a, b := run(), run(); a != b {
		t.Errorf("two runs differ:\n%s\n%s", a, b)
	}
}
