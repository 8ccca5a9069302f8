// Package platform is a stand-in for the platform that provides workers. It keeps
// workers in racks and availability zones, runs tasks under leases, reports usage with
// a lag, and can be told to fail. It has an injected clock and seeded randomness, and
// changes state only when it is called.
package platform

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	api "marjoramtiller.example/marjoramtiller/process/platform"
)

// Behaviour is how one attempt of a task runs.
type Behaviour struct {
	Runs           time.Duration // zero: until it is stopped
	MilliCores     int64         // used
	MemoryMB       int64         // used
	CheckpointTime time.Duration // zero: it ignores checkpoints
	Fails          bool          // it fails at the end of Runs
}

// Options sets up the stand-in.
type Options struct {
	Seed     uint64
	Now      func() time.Duration // the clock; must not go back
	UsageLag time.Duration
	BootTime time.Duration
	// FailAfter is when a task fails on a worker that fails everything.
	FailAfter time.Duration
	// Behave decides how a task runs. The default draws run time and usage around the
	// declared ones, with a few stragglers.
	Behave func(t api.Task, r *rand.Rand) Behaviour
}

// Platform is the stand-in. It is safe for concurrent use and implements the client
// interface directly; Handler offers the same over HTTP.
type Platform struct {
	mu      sync.Mutex
	o       Options
	rng     *rand.Rand
	workers map[string]*worker
	tasks   map[string]*task
	answers map[string]error // by token
}

var _ api.Platform = (*Platform)(nil)

type worker struct {
	api.Worker
	bootAt     time.Duration // when a reboot ends
	rebooting  bool
	dead       bool // stays down after a reboot
	failsTasks bool
	boots      int
	used       api.Task // sum of the running tasks' declared sizes
}

type task struct {
	api.Task
	behaviour Behaviour
	startedAt time.Duration
	leaseEnds time.Duration
	endsAt    time.Duration // zero: does not end by itself
	endState  api.TaskState
}

// New returns a stand-in with the given workers, all up.
func New(o Options, workers []api.Worker) *Platform {
	if o.Behave == nil {
		o.Behave = drawBehaviour
	}
	p := &Platform{
		o:       o,
		rng:     rand.New(rand.NewPCG(o.Seed, 0)),
		workers: map[string]*worker{},
		tasks:   map[string]*task{},
		answers: map[string]error{},
	}
	for _, w := range workers {
		w.Up = true
		w.BootID = w.Name + "-0"
		p.workers[w.Name] = &worker{Worker: w}
	}
	return p
}

// stragglerOneIn and stragglerFactor shape the default behaviour: one task in fifty
// runs ten times longer than the others.
const (
	stragglerOneIn  = 50
	stragglerFactor = 10
)

func drawBehaviour(t api.Task, r *rand.Rand) Behaviour {
	runs := time.Duration(float64(t.RunSeconds) * (0.5 + r.Float64()) * float64(time.Second))
	if r.IntN(stragglerOneIn) == 0 {
		runs *= stragglerFactor
	}
	share := 0.3 + 0.6*r.Float64()
	return Behaviour{
		Runs:           runs,
		MilliCores:     int64(share * float64(t.MilliCores)),
		MemoryMB:       int64(share * float64(t.MemoryMB)),
		CheckpointTime: time.Second,
	}
}

// Grid returns workers of one shape, spread over zones in turn, perRack to a rack.
func Grid(region string, zones, workers, perRack int, shape api.Worker) []api.Worker {
	out := make([]api.Worker, workers)
	for i := range out {
		w := shape
		zone := i % zones
		w.Name = fmt.Sprintf("%s-worker-%05d", region, i)
		w.Region = region
		w.Zone = fmt.Sprintf("%s-%c", region, 'a'+zone)
		w.Rack = fmt.Sprintf("%s-rack-%04d", w.Zone, i/zones/perRack)
		out[i] = w
	}
	return out
}

// settle applies everything that has happened up to now.
func (p *Platform) settle() time.Duration {
	now := p.o.Now()
	for _, w := range p.workers {
		if w.rebooting && now >= w.bootAt {
			w.rebooting = false
			w.Up = !w.dead
			w.BootID = fmt.Sprintf("%s-%d", w.Name, w.boots)
		}
	}
	for _, t := range p.tasks {
		if t.State.Ended() {
			continue
		}
		if t.endsAt > 0 && t.endsAt <= min(now, t.leaseEnds) {
			p.end(t, t.endState)
		} else if t.leaseEnds <= now {
			p.end(t, api.TaskLost)
		}
	}
	return now
}

func (p *Platform) end(t *task, s api.TaskState) {
	if t.State.Ended() {
		return
	}
	t.State = s
	w := p.workers[t.Worker]
	w.used.MilliCores -= t.MilliCores
	w.used.MemoryMB -= t.MemoryMB
	w.used.Accelerators -= t.Accelerators
}

func (p *Platform) loseTasks(worker string) {
	for _, t := range p.tasks {
		if t.Worker == worker {
			p.end(t, api.TaskLost)
		}
	}
}

// Workers lists all workers by name.
func (p *Platform) Workers(context.Context) ([]api.Worker, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.settle()
	out := make([]api.Worker, 0, len(p.workers))
	for _, w := range p.workers {
		out = append(out, w.Worker)
	}
	slices.SortFunc(out, func(a, b api.Worker) int { return cmp.Compare(a.Name, b.Name) })
	return out, nil
}

// Tasks lists all tasks by name, with usage as it was one lag ago.
func (p *Platform) Tasks(context.Context) ([]api.Task, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.settle()
	out := make([]api.Task, 0, len(p.tasks))
	for _, t := range p.tasks {
		view := t.Task
		if now-t.startedAt >= p.o.UsageLag && !t.State.Ended() {
			view.Usage = api.Usage{MilliCores: t.behaviour.MilliCores, MemoryMB: t.behaviour.MemoryMB, Age: p.o.UsageLag}
		}
		out = append(out, view)
	}
	slices.SortFunc(out, func(a, b api.Task) int { return cmp.Compare(a.Name, b.Name) })
	return out, nil
}

// Reboot restarts a worker and loses its tasks.
func (p *Platform) Reboot(_ context.Context, name, token string) error {
	return p.once("reboot", token, func(now time.Duration) error {
		w := p.workers[name]
		if w == nil {
			return notFound("worker " + name)
		}
		p.loseTasks(name)
		w.Up, w.rebooting = false, true
		w.bootAt = now + p.o.BootTime
		w.boots++
		return nil
	})
}

// Start runs a task. A name may be started again once its last attempt has ended.
func (p *Platform) Start(_ context.Context, t api.Task, lease time.Duration, token string) error {
	return p.once("start", token, func(now time.Duration) error {
		w := p.workers[t.Worker]
		if w == nil {
			return notFound("worker " + t.Worker)
		}
		if !w.Up {
			return rejected("worker " + t.Worker + " is down")
		}
		if old := p.tasks[t.Name]; old != nil && !old.State.Ended() {
			return rejected("task " + t.Name + " runs on worker " + old.Worker)
		}
		if w.used.Accelerators+t.Accelerators > int64(w.Accelerators) {
			return rejected("worker " + t.Worker + " has too few free accelerators")
		}
		p.run(w, t, now, lease)
		return nil
	})
}

func (p *Platform) run(w *worker, t api.Task, now, lease time.Duration) {
	t.State, t.Usage = api.TaskRunning, api.Usage{}
	run := &task{Task: t, behaviour: p.o.Behave(t, p.rng), startedAt: now, leaseEnds: now + lease, endState: api.TaskDone}
	if run.behaviour.Runs > 0 {
		run.endsAt = now + run.behaviour.Runs
	}
	if run.behaviour.Fails {
		run.endState = api.TaskFailed
	}
	if w.failsTasks {
		run.endsAt, run.endState = now+p.o.FailAfter, api.TaskFailed
	}
	w.used.MilliCores += t.MilliCores
	w.used.MemoryMB += t.MemoryMB
	w.used.Accelerators += t.Accelerators
	p.tasks[t.Name] = run
}

// Checkpoint makes a task save its state and end after its checkpoint time.
func (p *Platform) Checkpoint(_ context.Context, name, token string) error {
	return p.onTask("checkpoint", name, token, func(t *task, now time.Duration) {
		if t.behaviour.CheckpointTime <= 0 {
			return
		}
		if at := now + t.behaviour.CheckpointTime; t.endsAt == 0 || at < t.endsAt {
			t.endsAt, t.endState = at, api.TaskCheckpointed
		}
	})
}

// throttledShare is the part of its processors that a throttled task keeps, as a divisor.
const throttledShare = 10

// Throttle leaves a task a tenth of its processors; the rest of its run takes ten times as long.
func (p *Platform) Throttle(_ context.Context, name, token string) error {
	return p.onTask("throttle", name, token, func(t *task, now time.Duration) {
		if t.State == api.TaskThrottled {
			return
		}
		t.State = api.TaskThrottled
		if t.endsAt > 0 && t.endState != api.TaskCheckpointed {
			t.endsAt = now + throttledShare*(t.endsAt-now)
		}
	})
}

// Stop ends a task at once.
func (p *Platform) Stop(_ context.Context, name, token string) error {
	return p.onTask("stop", name, token, func(t *task, _ time.Duration) { p.end(t, api.TaskStopped) })
}

// Renew extends the leases of a worker's tasks.
func (p *Platform) Renew(_ context.Context, name string, lease time.Duration) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.settle()
	if p.workers[name] == nil {
		return notFound("worker " + name)
	}
	for _, t := range p.tasks {
		if t.Worker == name && !t.State.Ended() {
			t.leaseEnds = now + lease
		}
	}
	return nil
}

func (p *Platform) onTask(call, name, token string, f func(t *task, now time.Duration)) error {
	return p.once(call, token, func(now time.Duration) error {
		t := p.tasks[name]
		if t == nil {
			return notFound("task " + name)
		}
		if !t.State.Ended() {
			f(t, now)
		}
		return nil
	})
}

// once runs f for the first call with a token and repeats its answer for later ones.
func (p *Platform) once(call, token string, f func(now time.Duration) error) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if token == "" {
		return rejected("the call has no token")
	}
	now := p.settle()
	key := call + " " + token
	if answer, ok := p.answers[key]; ok {
		return answer
	}
	err := f(now)
	p.answers[key] = err
	return err
}

func notFound(object string) error {
	return &api.Error{Kind: api.NotFound, Call: "stand-in", Detail: object}
}

func rejected(detail string) error {
	return &api.Error{Kind: api.Rejected, Call: "stand-in", Detail: detail}
}
