package jobs

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// simLateOrders is the longest delay of an order that a worker has received and not answered,
// in plays in which processes start under the id of their predecessor.
const simLateOrders = 12 * time.Second

// Shares of late orders, of a hundred.
const (
	simLateOrdersOfHundred = 3
	simLateHolds           = 10 // in plays in which processes start under the id of their predecessor
)

// simRecutSeeds are seeds of TestRestartedWorkersAreCutOff that have failed.
var simRecutSeeds = []uint64{
	5,    // a list of machines freed a run whose start was on its way to the later process
	17,   // the same, with many tasks
	73,   // a leaving worker that refused connections for a while counted as ended
	1215, // an acknowledgement meant for the earlier process made the later one forget an end
}

// orderDelay returns the longest delay of a late order.
func (o simOptions) orderDelay() time.Duration {
	if o.recut {
		return simLateOrders
	}
	return simMaxOrderDelay
}

// lateShare returns how many of a hundred orders of a kind are carried out late and not
// answered.
func (o simOptions) lateShare(kind string) uint64 {
	if o.recut && kind == "hold" {
		return simLateHolds
	}
	return simLateOrdersOfHundred
}

// restartAndCutOff crashes several workers at once, again and again. They start soon under
// their ids, and are cut off soon after that for longer than a lease.
func (s *sim) restartAndCutOff() {
	for n := 0; s.faultsActive(); n++ {
		time.Sleep(s.drawDuration(time.Second, 3*time.Second, "recut", n))
		down := s.drawDuration(50*time.Millisecond, time.Second, "down", n)
		for k := range 2 {
			s.restartAndCut(s.machines[fmt.Sprint("m-", s.draw(simWorkers, "recut", n, k))], down, s.drawDuration(0, 2500*time.Millisecond, "until cut", n),
				s.drawDuration(5*time.Second, 11*time.Second, "cut", n))
		}
		time.Sleep(s.drawDuration(5*time.Second, 12*time.Second, "cut", n))
	}
}

// restartAndCut crashes a machine's worker, starts it under its id after the time down, and
// cuts it off for the time cut, beginning a time after its start.
func (s *sim) restartAndCut(m *simMachine, down, after, cut time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if m.worker == nil || m.out || m.worker.exited {
		return
	}
	m.worker.crash(false)
	time.AfterFunc(down, func() { s.startProcess(m) })
	time.AfterFunc(down+after, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		m.worker.silentUntil = time.Now().Add(cut)
	})
}

// Guards against a second run of a task while a process that started under the id of its
// predecessor is at work on it: it has received orders that were meant for that one, and was
// cut off before the leader heard of it, or holds a longer lease than the leader granted.
func TestRestartedWorkersAreCutOff(t *testing.T) {
	for _, seed := range append(simRecutSeeds, simulationSeeds()...) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { simulate(t, seed, simOptions{sameIDs: true, recut: true}) })
		})
	}
}
