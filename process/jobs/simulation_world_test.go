package jobs

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"marjoramtiller.example/marjoramtiller/job/jobpb"
)

type simMachine struct {
	name     string
	worker   *simWorker
	out      bool
	upkept   bool
	fence    uint64
	lastSent time.Time
}

// List implements Machines.
func (s *sim) List(ctx context.Context) ([]Machine, error) {
	s.mu.Lock()
	var list []Machine
	for _, m := range s.machines {
		lm := Machine{Name: m.name, Pool: "pool", Up: !m.out, Cores: simCPU / 1000}
		if m.worker != nil {
			lm.WorkerID = m.worker.id
		}
		list = append(list, lm)
	}
	s.mu.Unlock()
	time.Sleep(s.span(time.Millisecond, 600*time.Millisecond, "list")) // it is old when it arrives
	return list, ctx.Err()
}

// Move implements Machines: there is one pool only.
func (s *sim) Move(context.Context, string, string, uint64) error {
	return errors.New("there is one pool")
}

// Upkeep implements Machines.
func (s *sim) Upkeep(ctx context.Context, machine string, _, fence uint64) error {
	s.mu.Lock()
	m := s.machines[machine]
	if m.fence > fence {
		s.fail("an order for %s with fence %d after %d", machine, fence, m.fence)
	}
	if m.fence != fence && !m.lastSent.IsZero() && time.Since(m.lastSent) < simGap {
		s.fail("two holders take turns at %s within %v", machine, time.Since(m.lastSent))
	}
	m.fence, m.lastSent = fence, time.Now()
	s.mu.Unlock()
	time.Sleep(s.span(time.Millisecond, 60*time.Millisecond, "upkeep", machine))
	fate := s.draw(100, "upkeepfate", machine)
	if s.faulty() && fate < 10 {
		<-ctx.Done()
		return ctx.Err()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case m.upkept:
		return nil
	case m.out || m.worker == nil || m.worker.gone:
		return &RefusedError{Reason: RefusedBusy}
	}
	s.takeOut(m)
	if s.faulty() && fate < 25 {
		return errors.New("the answer is lost")
	}
	return nil
}

// takeOut ends a machine's worker for its upkeep, and checks what that takes away.
func (s *sim) takeOut(m *simMachine) {
	out := 0
	for _, other := range s.machines {
		if other.out {
			out++
		}
	}
	if out >= 2 {
		s.fail("%d machines are out and %s follows", out, m.name)
	}
	w := m.worker
	w.advance()
	for _, r := range w.runs {
		s.taken(w, r, "an upkeep")
	}
	w.crash(true)
	m.out, m.upkept = true, true
	time.AfterFunc(simMaintenance, func() { s.join(m) })
}

// trouble changes leaders, and freezes and ends workers, until the calm begins.
func (s *sim) trouble() {
	for n := 0; s.faulty(); n++ {
		time.Sleep(s.span(200*time.Millisecond, 3*time.Second, "trouble", n))
		m := s.machines[fmt.Sprint("m-", s.draw(simWorkers, "whom", n))]
		switch s.draw(5, "what", n) {
		case 4: // several leave at once
			for k := range 1 + s.draw(4, "leaving", n) {
				name := fmt.Sprint("m-", s.draw(simWorkers, "whom", n, k))
				s.drain(s.machines[name], s.span(2*time.Second, 5*time.Second, "drain", n, k))
			}
		case 0:
			s.elect()
		case 1:
			s.mu.Lock()
			if m.worker != nil && !m.out && !m.worker.gone {
				m.worker.crash(false)
				time.AfterFunc(s.span(time.Second, 4*time.Second, "back", n), func() { s.join(m) })
			}
			s.mu.Unlock()
		default:
			s.mu.Lock()
			if m.worker != nil {
				m.worker.silent = time.Now().Add(s.span(200*time.Millisecond, 6*time.Second, "silence", n))
			}
			s.mu.Unlock()
		}
	}
}

// drain makes a machine's worker leave after some time, and another one come.
func (s *sim) drain(m *simMachine, after time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := m.worker
	if w == nil || m.out || w.gone || w.draining {
		return
	}
	w.draining = true
	time.AfterFunc(after, func() {
		s.mu.Lock()
		if w.gone {
			s.mu.Unlock()
			return
		}
		w.crash(false)
		c := s.control
		s.mu.Unlock()
		_ = c.Leave(context.Background(), w.id) // its end is seen without it, later
		s.join(m)
	})
}

// ask hands a request to the leader until it is confirmed.
func (s *sim) ask(r *jobpb.Request) *jobpb.Response {
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

// handIn submits a job, and cancels some.
func (s *sim) handIn(i int) {
	random := rand.New(rand.NewPCG(s.seed, uint64(i)))
	id := fmt.Sprintf("%016x", i+1)
	j := &jobpb.Job{Spec: "spec of " + id}
	if i%10 == 0 {
		j.Steps = []*jobpb.Step{{Count: 5, CpuMillis: 500, Lasting: true, MaxUnavailable: 1, MaxPerWorker: 2 * uint32(random.IntN(2))}}
	} else {
		for k := range 1 + random.IntN(3) {
			step := &jobpb.Step{Count: 1 + random.Uint32N(5), CpuMillis: 500 + random.Uint64N(3000), EstimatedMs: 50 + random.Uint64N(800)}
			if k > 0 {
				step.After = []uint32{uint32(k - 1)}
			}
			j.Steps = append(j.Steps, step)
		}
	}
	s.mu.Lock()
	s.steps[id] = j.Steps
	s.mu.Unlock()
	at := time.Duration(0)
	if i%10 != 0 {
		at = time.Duration(random.Int64N(int64(simFaults)))
	}
	time.Sleep(at)
	s.ask(&jobpb.Request{Kind: jobpb.Request_SUBMIT, Queue: "q", Id: id, Job: j})
	if i%7 != 3 {
		return
	}
	time.Sleep(time.Duration(random.Int64N(int64(time.Second))))
	s.ask(&jobpb.Request{Kind: jobpb.Request_CANCEL, Queue: "q", Id: id})
	s.mu.Lock()
	s.cancels[id] = time.Now()
	s.mu.Unlock()
}

// startWave asks for the upkeep of all machines, two at once.
func (s *sim) startWave() {
	time.Sleep(s.span(time.Second, 8*time.Second, "wave"))
	w := &jobpb.Wave{Number: 1, Maximum: 2, DueMs: time.Now().Add(simFaults).UnixMilli()}
	for i := range simWorkers {
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
