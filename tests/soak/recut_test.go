package soak

import (
	"sync"
	"syscall"
	"testing"
	"time"

	"marjoramtiller.example/marjoramtiller/standin/executor"
)

// recutFleet has workers that are restarted under their ids and cut off soon after, while
// long tasks run.
var recutFleet = fleet{controls: 3, entries: 1, workers: 10, callers: 2, lastingTasks: 12, minRun: 200 * time.Millisecond, maxRun: 800 * time.Millisecond,
	longShare: 0.15, longRun: 7 * time.Second, reportInterval: 1500 * time.Millisecond, maxLease: 10 * time.Second, faultDuration: 26 * time.Second,
	submitPause: 500 * time.Millisecond, recuts: true}

// Timings of restarts that are followed by a cut.
const (
	recutDownTime = 600 * time.Millisecond
	recutCut      = 9 * time.Second
	recutPause    = 2 * time.Second // after a cut, until the next restart
)

func (w *worker) machine() string { return "m-" + w.id }

// openMachines starts the machine service, with a machine for each worker.
func (s *soak) openMachines() {
	var list []*executor.Machine
	for i := range s.fleet.workers {
		w := &worker{id: workerID(i)}
		list = append(list, &executor.Machine{Name: w.machine(), Pool: "pool", State: "down"})
	}
	m, err := executor.OpenMachines(list...)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(m.Close)
	s.machines = m
}

// recutWorkers restarts some workers under their ids, and cuts them off soon after, again and
// again until a time. Before some of the cuts the leader is killed.
func (s *soak) recutWorkers(until time.Time) {
	for time.Now().Before(until) {
		var recuts sync.WaitGroup
		after := s.randomTime(0, 2500)
		killed := s.rng.IntN(2) == 0
		for _, w := range s.workers {
			if s.rng.IntN(2) == 0 {
				recuts.Go(func() { s.recut(w, after) })
			}
		}
		if killed {
			time.Sleep(recutDownTime + after)
			if leader := s.leader(); leader != nil {
				s.restartInBackground(leader, syscall.SIGKILL, 0)
			}
		}
		recuts.Wait()
		time.Sleep(recutPause)
	}
}

// recut restarts a worker and cuts it off a time after it is back. Its runs go on meanwhile.
func (s *soak) recut(w *worker, after time.Duration) {
	s.restartWorker(w, recutDownTime)
	time.Sleep(after)
	w.setCutOff(true)
	time.Sleep(recutCut)
	w.setCutOff(false)
}

func (w *worker) setCutOff(cutOff bool) {
	w.mu.Lock()
	w.cutOff = cutOff
	w.mu.Unlock()
	w.relay.SetBlocked(cutOff, cutOff)
}

// Guards against a second run of a task while a worker that is back under its id and cut off
// is at work on it: it took orders that were meant for its predecessor, which are deadlines
// on another clock. MARJORAMTILLER_RECUT_SEEDS=N runs N random seeds.
func TestRestartedWorkersThatAreCutOff(t *testing.T) {
	play(t, recutFleet, seedsFromEnvironment("MARJORAMTILLER_RECUT_SEEDS"))
}
