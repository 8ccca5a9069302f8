package soak

import (
	"math/rand/v2"
	"sync"
	"syscall"
	"testing"
	"time"

	"marjoramtiller.example/marjoramtiller/standin/executor"
)

// recutFleet has workers that are restarted under their ids and cut off soon after, while
// long tasks run.
var recutFleet = fleet{controls: 3, entries: 1, workers: 16, callers: 3, lastingTasks: 12, minRun: 100 * time.Millisecond, maxRun: 800 * time.Millisecond,
	longShare: 0.1, longRun: 7 * time.Second, reportInterval: 1500 * time.Millisecond, maxLease: 10 * time.Second, faultDuration: 26 * time.Second,
	submitPause: 250 * time.Millisecond, lateHolds: 0.5, maxDelay: 4 * time.Second, recuts: true}

// Timings of restarts that are followed by a cut.
const (
	recutDownTime    = 600 * time.Millisecond
	recutAfter       = 1500 * time.Millisecond // the longest from the start of a process until it is cut off
	recutCut         = 9 * time.Second
	recutPause       = 2 * time.Second // the longest after a cut, until the next restart
	recutLeaderPause = 8 * time.Second // the longest until the leader is killed again
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

// recutWorkers restarts workers under their ids, and cuts most of them off soon after, each
// again and again until a time. Meanwhile the leader is killed several times.
func (s *soak) recutWorkers(until time.Time) {
	var recuts sync.WaitGroup
	for i, w := range s.workers {
		rng := rand.New(rand.NewPCG(s.seed, uint64(2000+i)))
		recuts.Go(func() {
			for time.Now().Before(until) {
				time.Sleep(time.Duration(rng.Int64N(int64(recutPause))))
				s.recut(w, rng)
			}
		})
	}
	for time.Now().Before(until) {
		time.Sleep(time.Duration(s.rng.Int64N(int64(recutLeaderPause))))
		if leader := s.leader(); leader != nil {
			s.restartInBackground(leader, syscall.SIGKILL, 0)
		}
	}
	recuts.Wait()
}

// recut restarts a worker and cuts it off a time after it is back, or not at all. Its runs go
// on meanwhile.
func (s *soak) recut(w *worker, rng *rand.Rand) {
	s.restartWorker(w, recutDownTime)
	time.Sleep(time.Duration(rng.Int64N(int64(recutAfter))))
	if rng.IntN(3) == 0 {
		return
	}
	w.setCutOff(true)
	time.Sleep(time.Duration(rng.Int64N(int64(recutCut))))
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
