package jobs

import (
	"bytes"
	"context"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"marjoramtiller.example/marjoramtiller/job/jobpb"
	"marjoramtiller.example/marjoramtiller/job/state"
	"marjoramtiller.example/marjoramtiller/job/worker"
	"marjoramtiller.example/marjoramtiller/process/replica"
)

// Size of a simulation, in virtual time.
const (
	simSeeds   = 12 // in CI; MARJORAMTILLER_CHECKS sets the number of a longer run
	simWorkers = 6
	simJobs    = 30
	simFaults  = 25 * time.Second // with faults and new jobs
	simCalm    = 40 * time.Second // after which all that can be done is done
	simGap     = 3 * time.Second  // between two holders of a machine
	simLease   = 4 * time.Second
	simCancel  = 3 * time.Second // after a confirmed cancellation nothing of the job starts
	simHost    = "h"
	simPrefix  = "/q/"
)

// sim is a control group with one leader at a time, whose log is kept as one state,
// and workers and a machine service that lose, delay and repeat orders, freeze and
// end. It runs in virtual time and checks the rules at each effect of an order.
type sim struct {
	t     *testing.T
	seed  uint64
	began time.Time
	logs  bytes.Buffer

	mu       sync.Mutex // of the world
	workers  map[string]*simWorker
	machines map[string]*simMachine
	history  map[state.TaskKey][]*simRun
	steps    map[string][]*jobpb.Step
	cancels  map[string]time.Time // confirmed at
	numbers  int
	control  *Control
	heldUp   bool // the order that is carried out now is late

	storeMu  sync.Mutex
	store    *state.Store
	term     atomic.Uint64
	inFlight []*simProposal
}

type simMachine struct {
	name     string
	worker   *simWorker
	out      bool
	upkept   bool
	fence    uint64
	lastSent time.Time
}

type simProposal struct {
	data    []byte
	decided bool
	result  []byte
}

// draw returns a number below n that depends on the seed, the virtual time and
// what it is for, and not on the order in which goroutines ask.
func (s *sim) draw(n uint64, parts ...any) uint64 {
	h := fnv.New64a()
	fmt.Fprint(h, s.seed, time.Since(s.began)/time.Millisecond, parts)
	return rand.New(rand.NewPCG(h.Sum64(), s.seed)).Uint64N(n)
}

func (s *sim) span(from, to time.Duration, parts ...any) time.Duration {
	return from + time.Duration(s.draw(uint64(to-from)+1, parts...))
}

func (s *sim) faulty() bool { return time.Since(s.began) < simFaults }

func (s *sim) worker(id string) *simWorker {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.workers[id]
}

func (s *sim) fail(format string, args ...any) {
	s.t.Errorf("at %v, seed %d: %s", time.Since(s.began).Round(time.Millisecond), s.seed, fmt.Sprintf(format, args...))
}

func (s *sim) step(key state.TaskKey) *jobpb.Step { return s.steps[key.Job][key.Step] }

func (s *sim) lasting(key state.TaskKey) bool { return s.step(key).Lasting }

// duration is how long a run takes: what the step declares times 0.4 to 2.4.
func (s *sim) duration(r *simRun) time.Duration {
	h := fnv.New64a()
	fmt.Fprint(h, s.seed, r.key)
	share := 0.4 + 2*float64(h.Sum64()%1000)/1000
	return time.Duration(share * float64(s.step(r.key).EstimatedMs) * float64(time.Millisecond))
}

func (s *sim) fate(r *simRun) jobpb.How {
	h := fnv.New64a()
	fmt.Fprint(h, s.seed, r.key, r.number)
	if h.Sum64()%20 == 0 {
		return jobpb.How_FAILED
	}
	return jobpb.How_DONE
}

// simGroup is one leader's view of the log.
type simGroup struct {
	s    *sim
	term uint64
}

func (g simGroup) Status() replica.Status {
	var st replica.Status
	st.LeaseValid, st.Term = g.s.term.Load() == g.term, g.term
	return st
}

func (g simGroup) View(fn func(replica.StateMachine)) {
	g.s.storeMu.Lock()
	defer g.s.storeMu.Unlock()
	fn(nil)
}

// Propose commits after some time, unless the leader changes meanwhile: what
// becomes of the entry is then decided before the next leader begins.
func (g simGroup) Propose(ctx context.Context, data []byte) ([]byte, error) {
	s := g.s
	p := &simProposal{data: data}
	s.storeMu.Lock()
	if s.term.Load() != g.term {
		s.storeMu.Unlock()
		return nil, &replica.NotProposedError{Err: errors.New("not the leader")}
	}
	s.inFlight = append(s.inFlight, p)
	s.storeMu.Unlock()
	delay := s.span(4*time.Millisecond, 40*time.Millisecond, "commit")
	if s.faulty() && s.draw(100, "slow") == 0 {
		delay = time.Second
	}
	time.Sleep(delay)
	s.storeMu.Lock()
	defer s.storeMu.Unlock()
	if p.decided {
		return nil, &replica.OutcomeUnknownError{Err: errors.New("the leader has changed")}
	}
	p.decided = true
	p.result = s.store.Apply(0, p.data)
	return p.result, ctx.Err()
}

// elect ends the leader's term and begins the next one with a new control process.
func (s *sim) elect() {
	if old := s.control; old != nil {
		s.storeMu.Lock()
		for i, p := range s.inFlight {
			if !p.decided {
				p.decided = true
				if s.draw(2, "undecided", i) == 0 {
					s.store.Apply(0, p.data)
				}
			}
		}
		s.inFlight = nil
		s.term.Add(1)
		s.storeMu.Unlock()
		old.cancel()
		<-old.session.done
		time.Sleep(s.span(100*time.Millisecond, 2*time.Second, "election"))
	}
	ctx, cancel := context.WithCancel(context.Background())
	c := &Control{group: simGroup{s, s.term.Load()}, store: s.store, ctx: ctx, cancel: cancel, metrics: newControlMetrics(),
		log: zerolog.New(&s.logs).With().Timestamp().Logger(),
		o: ControlOptions{Name: fmt.Sprint("c-", s.term.Load()), Workers: s, Machines: s, Clock: simClock{s.began},
			Bounds: Bounds{Lease: worker.Timing{Lease: simLease, Max: 10 * time.Second}, ReportInterval: simReport,
				StatusKept: time.Hour, HolderGap: simGap}}}
	c.session = newSession(c, s.term.Load())
	go c.session.run()
	s.mu.Lock()
	s.control = c
	s.mu.Unlock()
}

type simClock struct{ began time.Time }

func (c simClock) Now() time.Duration { return time.Since(c.began) + time.Hour }
func (c simClock) Ticks(d time.Duration) (<-chan time.Time, func()) {
	t := time.NewTicker(d)
	return t.C, t.Stop
}

// join starts a process on a machine, which reports itself until it ends.
func (s *sim) join(m *simMachine) {
	s.mu.Lock()
	s.numbers++
	w := &simWorker{sim: s, id: fmt.Sprint("w-", s.numbers), pool: "pool", machine: m.name, began: time.Now(),
		runs: map[state.TaskKey]*simRun{}, highest: map[state.TaskKey]uint32{}}
	s.workers[w.id] = w
	m.worker, m.out = w, false
	s.mu.Unlock()
	go func() {
		for sequence := uint64(1); ; sequence++ {
			s.mu.Lock()
			if w.gone || time.Since(s.began) > simFaults+simCalm {
				s.mu.Unlock()
				return
			}
			r := Report{Sequence: sequence, ClockMs: w.clockMs(), Worker: &jobpb.Worker{Id: w.id, BornMs: w.began.UnixMilli(), Address: w.id,
				Pool: w.pool, CpuMillis: simCPU, MemoryMb: 1 << 20, Draining: w.draining}}
			deaf, c := w.deaf(), s.control
			s.mu.Unlock()
			if !deaf && c != nil {
				ctx, cancel := context.WithTimeout(context.Background(), simReport)
				_ = c.Report(ctx, r) // sent again with the next report
				cancel()
			}
			time.Sleep(simReport)
		}
	}()
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

// begun checks a start, with the world locked.
func (s *sim) begun(w *simWorker, r *simRun, o StartOrder) {
	key, step := r.key, s.step(r.key)
	for _, x := range s.workers {
		if !x.gone {
			x.advance()
		}
	}
	failures := 0
	for _, past := range s.history[key] {
		switch {
		case past.to.IsZero() && !s.workers[past.worker].gone:
			s.fail("%v starts on %s while run %d is at work on %s", key, w.id, past.number, past.worker)
		case past.how == jobpb.How_DONE && past.noted:
			s.fail("%v starts again after its end on %s", key, past.worker)
		case past.how == jobpb.How_FAILED && past.noted:
			failures++
		}
	}
	if failures >= 3 && !step.Lasting {
		s.fail("%v starts after %d failures", key, failures)
	}
	if at, cancelled := s.cancels[key.Job]; cancelled && time.Since(at) > simCancel {
		s.fail("%v starts %v after its cancellation", key, time.Since(at))
	}
	if o.Spec != "spec of "+key.Job {
		s.fail("%v starts with the spec %q", key, o.Spec)
	}
	used := step.CpuMillis
	for _, other := range w.runs {
		used += s.step(other.key).CpuMillis
	}
	if used > simCPU {
		s.fail("%s has %d thousandths of a core in use", w.id, used)
	}
	for _, before := range step.After {
		for i := range s.steps[key.Job][before].Count {
			if !s.done(state.TaskKey{Job: key.Job, Step: before, Index: i}) {
				s.fail("%v starts before task %d of step %d is done", key, i, before)
			}
		}
	}
	s.history[key] = append(s.history[key], r)
}

func (s *sim) done(key state.TaskKey) bool {
	for _, r := range s.history[key] {
		if r.how == jobpb.How_DONE && !r.to.IsZero() {
			return true
		}
	}
	return false
}

// taken checks that an order may end a run of a lasting step that is at work. An
// order that was held up on its way, or to a worker that leaves, is not judged.
func (s *sim) taken(w *simWorker, r *simRun, by string) {
	step := s.step(r.key)
	if _, cancelled := s.cancels[r.key.Job]; cancelled || s.heldUp || w.draining || !step.Lasting || step.MaxUnavailable == 0 || time.Since(r.from) < simStartup {
		return
	}
	away := uint32(0)
	for i := range step.Count {
		key := r.key
		key.Index = i
		if i != r.key.Index && s.away(key) {
			away++
		}
	}
	if away >= step.MaxUnavailable {
		s.fail("%s ends %v on %s while %d others of its step are away", by, r.key, w.id, away)
	}
}

// away reports whether an order has ended a task that is not at work again, or it
// was not at work for long.
func (s *sim) away(key state.TaskKey) bool {
	runs := s.history[key]
	if len(runs) == 0 {
		return false // it has never begun
	}
	last := runs[len(runs)-1]
	if last.to.IsZero() && time.Since(last.from) >= simStartup {
		return false
	}
	for i := len(runs) - 1; i >= 0; i-- {
		r := runs[i]
		if !r.to.IsZero() && r.byOrder {
			return true
		}
		if !r.to.IsZero() && r.to.Sub(r.from) >= simStartup {
			return time.Since(r.to) > simNotice
		}
	}
	return false
}

// TestSimulation guards against the rules that fail only when leaders change,
// orders are lost, late or repeated, and workers freeze and end, at the wrong
// moment: two runs of a task, a start before its time, after its end, beyond its
// attempts or a worker's room, or after a cancellation; too many tasks of a step or
// machines of a wave away; two holders of a machine; jobs and waves that never end.
func TestSimulation(t *testing.T) {
	seeds := simSeeds
	if n, err := strconv.Atoi(os.Getenv("MARJORAMTILLER_CHECKS")); err == nil {
		seeds = n
	}
	first := uint64(1)
	if n, err := strconv.ParseUint(os.Getenv("MARJORAMTILLER_SEED"), 10, 64); err == nil {
		first = n
	}
	for i := range seeds {
		seed := first + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { simulate(t, seed) })
		})
	}
}

func simulate(t *testing.T, seed uint64) {
	s := &sim{t: t, seed: seed, began: time.Now(), workers: map[string]*simWorker{}, machines: map[string]*simMachine{},
		history: map[state.TaskKey][]*simRun{}, steps: map[string][]*jobpb.Step{}, cancels: map[string]time.Time{},
		store: storeOf(t, &jobpb.Entry{Change: &jobpb.Entry_Configure{Configure: &jobpb.Configuration{Version: 1,
			Queues: []*jobpb.Queue{{Name: "q", Host: simHost, Prefix: simPrefix, Pool: "pool", MaxAttempts: 3, Stretch: 2, TargetMs: 600}},
			Pools:  []*jobpb.Pool{{Name: "pool"}}}}})}
	s.term.Store(1)
	s.elect()
	for i := range simWorkers {
		m := &simMachine{name: fmt.Sprint("m-", i)}
		s.machines[m.name] = m
		s.join(m)
	}
	var all sync.WaitGroup
	for i := range simJobs {
		all.Go(func() { s.handIn(i) })
	}
	all.Go(s.startWave)
	s.trouble()
	all.Wait()
	time.Sleep(time.Until(s.began.Add(simFaults + simCalm)))
	s.checkEnds()
	s.logCounts()
	s.control.cancel()
	<-s.control.session.done
	time.Sleep(time.Minute) // orders on their way and reports end
	if t.Failed() {
		s.printLog()
	}
}

// logCounts shows what a simulation has reached.
func (s *sim) logCounts() {
	s.mu.Lock()
	defer s.mu.Unlock()
	how := map[string]int{}
	for _, runs := range s.history {
		for _, r := range runs {
			if r.to.IsZero() {
				how["at work"]++
				continue
			}
			how[r.how.String()]++
		}
	}
	s.t.Logf("terms %d, worker processes %d, jobs %d, cancelled %d, runs by end %v", s.term.Load(), s.numbers, len(s.steps), len(s.cancels), how)
}

// printLog prints the log lines of the jobs that the failure may be about.
func (s *sim) printLog() {
	lines := strings.Split(s.logs.String(), "\n")
	s.t.Logf("%d log lines; the last:\n%s", len(lines), strings.Join(lines[max(0, len(lines)-30):], "\n"))
	if path := os.Getenv("MARJORAMTILLER_SIMULATION_LOG"); path != "" {
		if err := os.WriteFile(path, s.logs.Bytes(), 0o600); err != nil {
			s.t.Log(err)
		}
	}
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

// checkEnds checks that everything that can be done is done.
func (s *sim) checkEnds() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.storeMu.Lock()
	defer s.storeMu.Unlock()
	for _, w := range s.workers {
		if !w.gone {
			w.advance()
		}
	}
	for _, w := range s.store.Waves() {
		if !state.WaveCompleted(w) {
			s.fail("wave %d is not completed", w.Number)
		}
	}
	for id, steps := range s.steps {
		j := s.store.Job(id)
		_, cancelled := s.cancels[id]
		switch {
		case j == nil:
			s.fail("job %s is lost", id)
		case cancelled:
			if s.running(id) > 0 {
				s.fail("the cancelled job %s has %d runs", id, s.running(id))
			}
		case steps[0].Lasting:
			if s.running(id) != int(steps[0].Count) {
				s.fail("%d tasks of the lasting job %s are at work", s.running(id), id)
			}
		default:
			s.checkEnd(id, j, steps)
		}
	}
}

func (s *sim) running(id string) (n int) {
	for key, runs := range s.history {
		if last := runs[len(runs)-1]; key.Job == id && last.to.IsZero() {
			n++
		}
	}
	return n
}

// checkEnd checks that a job's state follows from its runs.
func (s *sim) checkEnd(id string, j *jobpb.Job, steps []*jobpb.Step) {
	failed := false
	for key, runs := range s.history {
		failures := 0
		for _, r := range runs {
			if r.how == jobpb.How_FAILED && r.noted {
				failures++
			}
		}
		failed = failed || key.Job == id && failures >= 3
	}
	switch {
	case j.State == jobpb.Job_FAILED && !failed:
		s.fail("job %s has failed without cause", id)
	case j.State == jobpb.Job_COMPLETED:
		for k, step := range steps {
			for i := range step.Count {
				if !s.done(state.TaskKey{Job: id, Step: uint32(k), Index: i}) {
					s.fail("job %s is completed without task %d of step %d", id, i, k)
				}
			}
		}
	case j.State != jobpb.Job_FAILED:
		s.fail("job %s is %v", id, j.State)
	}
}
