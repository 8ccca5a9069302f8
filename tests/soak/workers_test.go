package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"marjoramtiller.example/marjoramtiller/standin/executor"
	"marjoramtiller.example/marjoramtiller/standin/relay"
)

// worker is a worker under one id, whose process may be restarted.
type worker struct {
	id       string
	restarts sync.WaitGroup // restarts that are not finished

	relay *relay.Relay // in front of its processes, at its address

	mu       sync.Mutex // guards the fields below
	process  *executor.Executor
	cutOff   bool // it is cut off from all processes
	sequence int  // of the last report of process
	earlier  []*executor.Executor
}

func workerID(number int) string { return fmt.Sprint("i-", number) }

func (s *soak) newWorker(number int) *worker {
	w := &worker{id: workerID(number), relay: s.relay("")}
	faults := rand.New(rand.NewPCG(s.seed, uint64(number)))
	s.startWorker(w, func(path, _ string) executor.Fault {
		s.mu.Lock()
		defer s.mu.Unlock()
		switch {
		case !s.faultsEnabled:
			return executor.None
		case path == holdPath && faults.Float64() < s.lateHoldShare(w):
			return executor.Late
		case path == holdPath || faults.Float64() > taskFaults:
			return executor.None
		}
		return []executor.Fault{executor.LoseAnswer, executor.LoseOrder, executor.Late}[faults.IntN(3)]
	})
	return w
}

const (
	holdPath = "/hold"
	youngAge = time.Second // of a process that receives what was in transit while there was none
)

// lateHoldShare returns the share of the holds to a worker that are carried out late.
func (s *soak) lateHoldShare(w *worker) float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.process == nil || time.Since(time.UnixMilli(w.process.StartedMs)) > youngAge {
		return 0
	}
	return s.fleet.lateHolds
}

// startWorker starts a process of a worker.
func (s *soak) startWorker(w *worker, fault func(path, task string) executor.Fault) {
	e, err := executor.Open(w.id)
	if err != nil {
		s.t.Errorf("start worker %s: %v", w.id, err)
		return
	}
	e.Duration, e.Fault, e.Delay, e.StopDelay, e.MaxLease = s.runTime, fault, time.Second, stopDelay, s.fleet.maxLease
	if s.fleet.maxDelay > 0 {
		e.LateBy = func() time.Duration { return rand.N(s.fleet.maxDelay) }
	}
	w.mu.Lock()
	w.process, w.sequence = e, 0
	w.mu.Unlock()
	w.relay.SetTarget(e.Address)
	if s.machines != nil {
		s.machines.BringUp(w.machine(), w.id)
	}
}

// restartWorker ends a worker's process with its runs and, after a pause, starts another one
// under the worker's id and address. It takes calls that were meant for its predecessor.
func (s *soak) restartWorker(w *worker, pause time.Duration) {
	w.mu.Lock()
	e := w.process
	restarting := slices.Contains(w.earlier, e)
	if !restarting {
		w.earlier = append(w.earlier, e)
	}
	w.mu.Unlock()
	if restarting {
		return
	}
	w.relay.SetTarget("")
	e.Close()
	if s.machines != nil {
		s.machines.TakeDown(w.machine())
	}
	time.Sleep(pause)
	s.startWorker(w, e.Fault)
}

// all returns the worker's processes, the current one last.
func (w *worker) all() []*executor.Executor {
	w.mu.Lock()
	defer w.mu.Unlock()
	if slices.Contains(w.earlier, w.process) {
		return slices.Clone(w.earlier)
	}
	return append(slices.Clone(w.earlier), w.process)
}

func (w *worker) end() {
	for _, e := range w.all() {
		e.Close()
	}
}

// nextReport returns the current process, the address that it reports and the number of its
// next report. The process is nil while the worker is down.
func (w *worker) nextReport() (e *executor.Executor, address string, sequence int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.cutOff || slices.Contains(w.earlier, w.process) {
		return nil, "", 0
	}
	w.sequence++
	return w.process, w.relay.Address(), w.sequence
}

// runTime returns how long a task runs, which depends on its name only.
func (s *soak) runTime(task string) time.Duration {
	if strings.HasPrefix(task, lastingPrefix) {
		return -1
	}
	if float64(xxhash.Sum64String("long"+task)%1024) < s.fleet.longShare*1024 {
		return s.fleet.longRun
	}
	spread := s.fleet.maxRun - s.fleet.minRun
	return s.fleet.minRun + time.Duration(xxhash.Sum64String(task)%1024)*spread/1024
}

// reportAll periodically sends the reports of all workers, each to a random control process
// and to the next one after a failure, until done is closed.
func (s *soak) reportAll(done chan struct{}) {
	rng := rand.New(rand.NewPCG(s.seed, 1))
	for round := 1; ; round++ {
		var calls sync.WaitGroup
		for _, w := range s.workers {
			first := rng.IntN(s.fleet.controls)
			after := time.Duration(rng.Int64N(int64(s.fleet.reportInterval)))
			calls.Go(func() {
				time.Sleep(after)
				s.report(first, w)
			})
		}
		calls.Go(func() { s.reportOdd(round) })
		calls.Wait()
		select {
		case <-done:
			return
		default:
		}
	}
}

// reportAttempts is the number of control processes to which a worker sends a report that
// is not confirmed.
const reportAttempts = 3

func (s *soak) report(first int, w *worker) {
	e, address, sequence := w.nextReport()
	if e == nil {
		return
	}
	body := fmt.Sprintf(`{"service":"pool","address":%q,"zone":"z","state":"ready","capacity":{"cpu":%d,"mem-mb":1000},
		"labels":["a","r-1"],"clock-ms":%d,"born":%d,"sequence":%d}`, address, workerCPU, e.ClockMs(), e.StartedMs, sequence)
	for attempt := range reportAttempts {
		to := s.interfaceRelays[s.processes[(first+attempt)%s.fleet.controls]].Address()
		if code, _ := s.call(http.MethodPut, to, "", "/executors/"+e.ID, body); code == http.StatusOK {
			return
		}
	}
}
