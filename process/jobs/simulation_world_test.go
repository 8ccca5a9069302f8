package jobs

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"marjoramtiller.example/marjoramtiller/job/jobpb"
	"marjoramtiller.example/marjoramtiller/job/orders"
)

type simMachine struct {
	name        string
	worker      *simWorker
	out         bool   // for upkeep
	maintained  bool   // its upkeep has begun
	fence       uint64 // of its last order
	lastOrderAt time.Time
}

// List implements Machines.
func (s *sim) List(ctx context.Context) (MachineList, error) {
	s.mu.Lock()
	var list MachineList
	for _, m := range s.machines {
		lm := Machine{Name: m.name, Pool: "pool", Up: !m.out && m.worker != nil && !m.worker.exited, Cores: simCPUMillis / 1000}
		if m.worker != nil {
			lm.WorkerID = m.worker.id
		}
		list.Machines = append(list.Machines, lm)
	}
	if s.faultsActive() && s.draw(4, "odd entry") == 0 {
		list.Unreadable++ // of another writer; the others hold
	}
	s.mu.Unlock()
	time.Sleep(s.drawDuration(time.Millisecond, 600*time.Millisecond, "list")) // the list is outdated when it is received
	return list, ctx.Err()
}

// Move implements Machines. There is nothing to move, since there is only one pool.
func (s *sim) Move(context.Context, string, string, Leadership) error {
	return errors.New("the simulation has only one pool")
}

// Upkeep implements Machines.
func (s *sim) Upkeep(ctx context.Context, machine string, _ uint64, l Leadership) error {
	if l.Remaining() <= 0 {
		return &orders.NotSentError{Err: errors.New("the leadership has ended")}
	}
	fence := l.Fence
	s.mu.Lock()
	m := s.machines[machine]
	if m.fence > fence {
		s.fail("order for %s has fence %d, lower than the fence %d of an earlier order", machine, fence, m.fence)
	}
	if m.fence != fence && !m.lastOrderAt.IsZero() && time.Since(m.lastOrderAt) < simLeaderGap {
		s.fail("two leaders sent orders for %s within %v", machine, time.Since(m.lastOrderAt))
	}
	m.fence, m.lastOrderAt = fence, time.Now()
	s.mu.Unlock()
	time.Sleep(s.drawDuration(time.Millisecond, 60*time.Millisecond, "upkeep", machine))
	fault := s.draw(100, "upkeepfate", machine)
	if s.faultsActive() && fault < 10 {
		<-ctx.Done()
		return ctx.Err()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case m.maintained:
		return nil
	case m.out || m.worker == nil || m.worker.exited:
		return &orders.RefusedError{Reason: orders.RefusedMachineDown}
	}
	s.startMaintenance(m)
	if s.faultsActive() && fault < 25 {
		return errors.New("the answer is lost")
	}
	return nil
}

// startMaintenance takes a machine out for its upkeep, which ends its worker, and
// checks that the limits of the wave and of lasting steps allow it.
func (s *sim) startMaintenance(m *simMachine) {
	out := 0
	for _, other := range s.machines {
		if other.out {
			out++
		}
	}
	if out >= 2 {
		s.fail("%d machines are already out when %s goes out for upkeep", out, m.name)
	}
	w := m.worker
	w.advance()
	for _, r := range w.runs {
		s.checkStop(w, r, "an upkeep")
	}
	w.crash(true)
	m.out, m.maintained = true, true
	time.AfterFunc(simMaintenanceTime, func() { s.startProcess(m) })
}

// injectFaults changes leaders and makes workers silent, crash and drain until the
// recovery phase begins.
func (s *sim) injectFaults() {
	for n := 0; s.faultsActive(); n++ {
		time.Sleep(s.drawDuration(200*time.Millisecond, 3*time.Second, "trouble", n))
		m := s.machines[fmt.Sprint("m-", s.draw(s.options.machines(), "whom", n))]
		if len(s.relays) > 0 && s.draw(3, "relay", n) == 0 {
			s.relays[s.draw(simRelays, "which", n)].fail(n)
		}
		if s.draw(3, "refused", n) == 0 {
			s.refuseOrders(n)
		}
		if s.draw(6, "follower", n) == 0 {
			s.follower.fallBehind(n)
		}
		switch s.draw(6, "session", n) {
		case 0:
			s.leadership <- struct{}{}
			s.restartSession()
			<-s.leadership
		case 1:
			s.refuseProposals(n)
		}
		switch s.draw(5, "what", n) {
		case 4: // several workers drain at once
			for k := range 1 + s.draw(4, "leaving", n) {
				name := fmt.Sprint("m-", s.draw(s.options.machines(), "whom", n, k))
				s.drain(s.machines[name], s.drawDuration(2*time.Second, 5*time.Second, "drain", n, k))
			}
		case 0:
			s.elect()
		case 1:
			s.mu.Lock()
			if m.worker != nil && !m.out && !m.worker.exited {
				m.worker.crash(false)
				time.AfterFunc(s.downTime(n), func() { s.startProcess(m) })
			}
			s.mu.Unlock()
		default:
			s.mu.Lock()
			if m.worker != nil {
				m.worker.silentUntil = time.Now().Add(s.drawDuration(200*time.Millisecond, 6*time.Second, "silence", n))
			}
			s.mu.Unlock()
		}
	}
}

// refuseOrders cuts a worker off from orders for a while, but not from sending reports.
func (s *sim) refuseOrders(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.machines[fmt.Sprint("m-", s.draw(s.options.machines(), "refusing", n))].worker
	w.refusedUntil = time.Now().Add(s.drawDuration(200*time.Millisecond, 2*time.Second, "refusal", n))
}

// drain makes a machine's worker announce that it is leaving. After the given time
// the worker announces its exit, and a new process starts on the machine. The worker exits
// with the confirmation, or, if that is lost, some time later.
func (s *sim) drain(m *simMachine, after time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := m.worker
	if w == nil || m.out || w.exited || w.draining {
		return
	}
	w.draining = true
	time.AfterFunc(after, func() {
		s.mu.Lock()
		if w.exited {
			s.mu.Unlock()
			return
		}
		c := s.control
		s.mu.Unlock()
		_ = c.Leave(context.Background(), w.id) // may fail: the leader then notices the exit later
		if s.draw(2, "unconfirmed exit", w.id) == 0 {
			time.Sleep(s.drawDuration(0, simMaxExitDelay, "exit", w.id))
		}
		s.mu.Lock()
		ended := w.exited // by another fault, after which a new process starts
		if !ended {
			w.crash(false)
		}
		s.mu.Unlock()
		if !ended {
			s.startProcess(m)
		}
	})
}

// request sends a request to the leader until the answer is final.
func (s *sim) request(r *jobpb.Request) *jobpb.Response {
	for {
		s.mu.Lock()
		c := s.control
		s.mu.Unlock()
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		resp := c.handle(ctx, "", r)
		cancel()
		switch resp.Outcome {
		case jobpb.Response_OK, jobpb.Response_NO_JOB, jobpb.Response_INVALID, jobpb.Response_NO_QUEUE:
			return resp
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// submitJob submits job number i, and cancels it afterwards for some i.
func (s *sim) submitJob(i int) {
	random := rand.New(rand.NewPCG(s.seed, uint64(i)))
	id := fmt.Sprintf("%016x", i+1)
	j := &jobpb.Job{Spec: "spec of " + id}
	if s.options.wholePool && i == 0 {
		j.Steps = []*jobpb.Step{{Count: 8, CpuMillis: 100, Lasting: true, MaxUnavailable: 1}}
	} else if !s.options.wholePool && i%10 == 0 {
		j.Steps = []*jobpb.Step{{Count: 5, CpuMillis: 500, Lasting: true, MaxUnavailable: 1, MaxPerWorker: 2 * uint32(random.IntN(2))}}
	} else {
		for k := range 1 + random.IntN(3) {
			step := &jobpb.Step{Count: 1 + random.Uint32N(5), CpuMillis: 500 + random.Uint64N(3000), EstimatedMs: 50 + random.Uint64N(800)}
			if s.options.recut && k != 1 {
				step.EstimatedMs *= 3 // the second steps are short: they end while orders are late
			}
			if k > 0 {
				step.After = []uint32{uint32(k - 1)}
			}
			j.Steps = append(j.Steps, step)
		}
	}
	s.mu.Lock()
	s.steps[id] = j.Steps
	s.crashes.choose(s, i, id, j.Steps)
	crashing, _ := s.crashes.crashing(id)
	s.mu.Unlock()
	delay := time.Duration(0)
	if i%10 != 0 {
		delay = time.Duration(random.Int64N(int64(simFaultPhase)))
	}
	time.Sleep(delay)
	s.request(&jobpb.Request{Kind: jobpb.Request_SUBMIT, Queue: "q", Id: id, Job: j})
	if crashing && j.Steps[0].Lasting {
		s.cancelFailed(id)
		return
	}
	if i%7 != 3 {
		return
	}
	time.Sleep(time.Duration(random.Int64N(int64(time.Second))))
	s.cancelJob(id)
}

// cancelJob cancels a job until that is confirmed.
func (s *sim) cancelJob(id string) {
	s.mu.Lock()
	s.cancelSent[id] = true
	s.mu.Unlock()
	s.request(&jobpb.Request{Kind: jobpb.Request_CANCEL, Queue: "q", Id: id})
	s.mu.Lock()
	s.cancelledAt[id] = time.Now()
	s.mu.Unlock()
}

// startWave starts a wave over all machines, with at most two out at once.
func (s *sim) startWave() {
	time.Sleep(s.drawDuration(time.Second, 8*time.Second, "wave"))
	w := &jobpb.Wave{Number: 1, Maximum: uint32(min(2, s.options.machines()-1)), DueMs: time.Now().Add(simFaultPhase).UnixMilli()}
	for i := range s.options.machines() {
		w.Machines = append(w.Machines, &jobpb.WaveMachine{Machine: fmt.Sprint("m-", i)})
	}
	for {
		s.mu.Lock()
		c := s.control
		s.mu.Unlock()
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		err := c.StartWave(ctx, w)
		cancel()
		if err == nil {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}
