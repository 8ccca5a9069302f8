package worker

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var timing = Timing{Lease: 4 * time.Second, Max: 10 * time.Second}

// model is a worker whose clock runs slow and that may carry grants out late,
// counting them from their arrival.
type model struct {
	rate     float64 // of its clock
	deadline int64
}

func (m *model) clock(now time.Duration) int64 {
	return int64(float64(now.Milliseconds()) * m.rate)
}

// lapsed reports whether everything has ended, and forgets the lease if so.
func (m *model) lapsed(now time.Duration) bool { return m.clock(now) >= m.deadline }

// Guards against a task that is started elsewhere while the lease of a silent
// worker still runs, with a slow clock and with grants that arrive late.
func TestLapsedAtIsAfterEveryLease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{rate: 1 - rapid.Float64Range(0, slowClock).Draw(t, "slow")}
		now := time.Duration(rapid.IntRange(0, 100_000).Draw(t, "begin")) * time.Millisecond
		w := New(timing, 3, 1, now, false)
		w.SampleClock(now, m.clock(now))
		for range rapid.IntRange(1, 30).Draw(t, "orders") {
			now += time.Duration(rapid.IntRange(1, 2500).Draw(t, "pause")) * time.Millisecond
			deadline, known := w.Grant(now)
			if !known {
				t.Fatalf("the clock is known")
			}
			if rapid.Bool().Draw(t, "answered") {
				m.deadline = max(m.deadline, deadline)
				w.SampleClock(now, m.clock(now))
				continue
			}
			w.Unanswered(now)
			// A late grant extends only what has not lapsed when it arrives.
			arrives := now + time.Duration(rapid.IntRange(0, 12_000).Draw(t, "late"))*time.Millisecond
			if !m.lapsed(arrives) {
				m.deadline = max(m.deadline, m.clock(arrives)+timing.Lease.Milliseconds())
			}
			break // a leader grants nothing to a worker that does not answer
		}
		if at := w.LapsedAt(); !m.lapsed(at + time.Millisecond) {
			t.Fatalf("at %s the worker's clock is %d, its lease runs until %d", at, m.clock(at), m.deadline)
		}
	})
}

// Guards against a new leader that takes a task to be free while a grant of the
// old leader runs.
func TestEarlierGrantsCount(t *testing.T) {
	is := is.New(t)
	w := New(timing, 3, 1, time.Second, true)
	is.True(w.LapsedAt() >= time.Second+2*timing.Lease)
	is.Equal(New(timing, 3, 1, time.Second, false).LapsedAt(), time.Second)
}

// Guards against a fence of a later term that is not above all of an earlier one,
// and against a list that is trusted after the fence was raised.
func TestFencesRise(t *testing.T) {
	is := is.New(t)
	w := New(timing, 3, 1, 0, false)
	w.Looked = true
	first := w.Fence()
	w.RaiseFence()
	is.Equal(w.Fence(), first+1)
	is.Equal(w.Looked, false)
	is.True(New(timing, 4, 1, 0, false).Fence() > w.Fence())
}

// Guards against a late answer that sets the known clock back.
func TestClockNeverGoesBack(t *testing.T) {
	is := is.New(t)
	w := New(timing, 1, 1, 0, false)
	_, known := w.Grant(0)
	is.Equal(known, false)
	w.SampleClock(time.Second, 5000)
	w.SampleClock(2*time.Second, 4000)
	deadline, known := w.Grant(2 * time.Second)
	is.True(known)
	is.Equal(deadline, int64(5000+980+4000))
}
