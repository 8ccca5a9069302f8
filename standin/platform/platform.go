// Package platform is a stand-in for the platform that provides workers. It models
// workers in racks and availability zones, runs tasks under leases, reports usage with
// a lag and injects failures on request. Its clock is injected and its random source
// seeded; its state changes only during calls.
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

// Behaviour describes how one attempt of a task runs.
type Behaviour struct {
	RunTime        time.Duration // zero: it runs until it is stopped
	MilliCores     int64         // actual usage
	MemoryMB       int64         // actual usage
	CheckpointTime time.Duration // zero: it ignores checkpoints
	Fails          bool          // it fails at the end of RunTime
}

// Options configure a Platform.
type Options struct {
	Seed     uint64
	Now      func() time.Duration // the clock; must be monotonic
	UsageLag time.Duration
	BootTime time.Duration
	// FailAfter is the time from start to failure of a task on a worker for which
	// SetFailsTasks is in force.
	FailAfter time.Duration
	// TaskBehaviour decides how a task runs. The default draws the run time around the
	// declared one, with a few stragglers, and the usage as a share of the declared size.
	TaskBehaviour func(t api.Task, r *rand.Rand) Behaviour
}

// Platform is the stand-in. It is safe for concurrent use and implements the client
// interface directly; Handler serves the same calls over HTTP.
type Platform struct {
	mu      sync.Mutex
	options Options
	rng     *rand.Rand
	workers map[string]*worker
	tasks   map[string]*task
	results map[string]error // result of each call that was carried out, by call and token
}

var _ api.Platform = (*Platform)(nil)

type worker struct {
	api.Worker
	bootEndsAt time.Duration // when the current reboot ends
	rebooting  bool
	failed     bool // stays down after a reboot
	failsTasks bool
	bootCount  int
	used       api.Task // sum of the declared sizes of the running tasks
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
	if o.TaskBehaviour == nil {
		o.TaskBehaviour = randomBehaviour
	}
	p := &Platform{
		options: o,
		rng:     rand.New(rand.NewPCG(o.Seed, 0)),
		workers: map[string]*worker{},
		tasks:   map[string]*task{},
		results: map[string]error{},
	}
	for _, w := range workers {
		w.Up = true
		w.BootID = w.Name + "-0"
		p.workers[w.Name] = &worker{Worker: w}
	}
	return p
}

// stragglerOneIn and stragglerFactor belong to the default behaviour: one task in fifty
// runs ten times as long as drawn.
const (
	stragglerOneIn  = 50
	stragglerFactor = 10
)

func randomBehaviour(t api.Task, r *rand.Rand) Behaviour {
	runTime := time.Duration(float64(t.RunSeconds) * (0.5 + r.Float64()) * float64(time.Second))
	if r.IntN(stragglerOneIn) == 0 {
		runTime *= stragglerFactor
	}
	share := 0.3 + 0.6*r.Float64()
	return Behaviour{
		RunTime:        runTime,
		MilliCores:     int64(share * float64(t.MilliCores)),
		MemoryMB:       int64(share * float64(t.MemoryMB)),
		CheckpointTime: time.Second,
	}
}

// Grid returns workers of the same shape, assigned to zones round robin, with perRack
// workers in each rack.
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

// advance applies all events that are due by now: ended reboots, ended tasks and expired
// leases. It returns the current time. The caller holds mu.
func (p *Platform) advance() time.Duration {
	now := p.options.Now()
	for _, w := range p.workers {
		if w.rebooting && now >= w.bootEndsAt {
			w.rebooting = false
			w.Up = !w.failed
			w.BootID = fmt.Sprintf("%s-%d", w.Name, w.bootCount)
		}
	}
	for _, t := range p.tasks {
		if t.State.Ended() {
			continue
		}
		if t.endsAt > 0 && t.endsAt <= min(now, t.leaseEnds) {
			p.endTask(t, t.endState)
		} else if t.leaseEnds <= now {
			p.endTask(t, api.TaskLost)
		}
	}
	return now
}

func (p *Platform) endTask(t *task, s api.TaskState) {
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
			p.endTask(t, api.TaskLost)
		}
	}
}

// Workers lists all workers by name.
func (p *Platform) Workers(context.Context) ([]api.Worker, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.advance()
	out := make([]api.Worker, 0, len(p.workers))
	for _, w := range p.workers {
		out = append(out, w.Worker)
	}
	slices.SortFunc(out, func(a, b api.Worker) int { return cmp.Compare(a.Name, b.Name) })
	return out, nil
}

// Tasks lists all tasks by name, with their usage of UsageLag ago.
func (p *Platform) Tasks(context.Context) ([]api.Task, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.advance()
	out := make([]api.Task, 0, len(p.tasks))
	for _, t := range p.tasks {
		view := t.Task
		if now-t.startedAt >= p.options.UsageLag && !t.State.Ended() {
			view.Usage = api.Usage{MilliCores: t.behaviour.MilliCores, MemoryMB: t.behaviour.MemoryMB, Age: p.options.UsageLag}
		}
		out = append(out, view)
	}
	slices.SortFunc(out, func(a, b api.Task) int { return cmp.Compare(a.Name, b.Name) })
	return out, nil
}

// Reboot restarts a worker. Its tasks are lost.
func (p *Platform) Reboot(_ context.Context, name, token string) error {
	return p.runOnce("reboot", token, func(now time.Duration) error {
		w := p.workers[name]
		if w == nil {
			return notFound("worker " + name)
		}
		p.loseTasks(name)
		w.Up, w.rebooting = false, true
		w.bootEndsAt = now + p.options.BootTime
		w.bootCount++
		return nil
	})
}

// Start starts a task. A name can be started again once its previous attempt has ended.
func (p *Platform) Start(_ context.Context, t api.Task, lease time.Duration, token string) error {
	return p.runOnce("start", token, func(now time.Duration) error {
		w := p.workers[t.Worker]
		if w == nil {
			return notFound("worker " + t.Worker)
		}
		if !w.Up {
			return rejected("worker " + t.Worker + " is down")
		}
		if old := p.tasks[t.Name]; old != nil && !old.State.Ended() {
			return rejected("task " + t.Name + " already runs on worker " + old.Worker)
		}
		if w.used.Accelerators+t.Accelerators > int64(w.Accelerators) {
			return rejected("worker " + t.Worker + " does not have enough free accelerators")
		}
		p.startTask(w, t, now, lease)
		return nil
	})
}

func (p *Platform) startTask(w *worker, t api.Task, now, lease time.Duration) {
	t.State, t.Usage = api.TaskRunning, api.Usage{}
	run := &task{Task: t, behaviour: p.options.TaskBehaviour(t, p.rng), startedAt: now, leaseEnds: now + lease, endState: api.TaskDone}
	if run.behaviour.RunTime > 0 {
		run.endsAt = now + run.behaviour.RunTime
	}
	if run.behaviour.Fails {
		run.endState = api.TaskFailed
	}
	if w.failsTasks {
		run.endsAt, run.endState = now+p.options.FailAfter, api.TaskFailed
	}
	w.used.MilliCores += t.MilliCores
	w.used.MemoryMB += t.MemoryMB
	w.used.Accelerators += t.Accelerators
	p.tasks[t.Name] = run
}

// Checkpoint makes a task save its state and end after its CheckpointTime.
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

// throttleFactor is the factor by which a throttled task's processors are reduced.
const throttleFactor = 10

// Throttle reduces a task to a tenth of its processors; the remainder of its run takes
// ten times as long.
func (p *Platform) Throttle(_ context.Context, name, token string) error {
	return p.onTask("throttle", name, token, func(t *task, now time.Duration) {
		if t.State == api.TaskThrottled {
			return
		}
		t.State = api.TaskThrottled
		if t.endsAt > 0 && t.endState != api.TaskCheckpointed {
			t.endsAt = now + throttleFactor*(t.endsAt-now)
		}
	})
}

// Stop ends a task immediately.
func (p *Platform) Stop(_ context.Context, name, token string) error {
	return p.onTask("stop", name, token, func(t *task, _ time.Duration) { p.endTask(t, api.TaskStopped) })
}

// Renew extends the leases of a worker's tasks.
func (p *Platform) Renew(_ context.Context, name string, lease time.Duration) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.advance()
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
	return p.runOnce(call, token, func(now time.Duration) error {
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

// runOnce runs f for the first call with a token and returns the stored result to repeated
// calls with the same token.
func (p *Platform) runOnce(call, token string, f func(now time.Duration) error) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if token == "" {
		return rejected("the call has no token")
	}
	now := p.advance()
	key := call + " " + token
	if result, ok := p.results[key]; ok {
		return result
	}
	err := f(now)
	p.results[key] = err
	return err
}

func notFound(object string) error {
	return &api.Error{Kind: api.NotFound, Call: "stand-in", Detail: object}
}

func rejected(detail string) error {
	return &api.Error{Kind: api.Rejected, Call: "stand-in", Detail: detail}
}
