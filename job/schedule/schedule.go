// Package schedule plans which tasks start on which workers. It is pure: a
// snapshot of jobs and workers goes in, starts come out, and the log checks each
// start again when it is applied.
package schedule

import (
	"cmp"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"marjoramtiller.example/marjoramtiller/job/jobpb"
	"marjoramtiller.example/marjoramtiller/job/state"
)

// Limits of a plan.
const (
	// lateCost is the order of jobs that can no longer be in time: behind the others.
	lateCost = 1 << 40
	// priorityCost separates the priorities of queues; maxPriority keeps them below lateCost.
	priorityCost = 1 << 36
	maxPriority  = 7
	workUnit     = 1000.0 // steps of the order in a core-second
)

// MaxStartsPerPlan is about the number of starts of one plan; a step that has begun
// to start may exceed it.
const MaxStartsPerPlan = 512

// Worker is a worker that may take tasks, with what it has left.
type Worker struct {
	ID     string
	BornMs int64
	Pool   string
	Rack   string
	Labels []string
	CPU    int64 // thousandths of a core that are free
	Memory int64 // MB that are free
	GPUs   int64
	// Penalty orders workers of which some are failing or slow: lower ones first.
	Penalty int
	// Serving is the number of tasks with a latency target, Fill that of filling tasks.
	Serving, Fill int
	// Steps counts the tasks of each step on this worker; it is not modified.
	Steps map[state.StepKey]int
	added map[state.StepKey]int // by this plan
}

// Use takes what runs on a worker from what it has left.
func (w *Worker) Use(l *state.Load) {
	if l == nil {
		return
	}
	w.CPU -= l.CPUMillis
	w.Memory -= l.MemoryMB
	w.GPUs -= l.GPUs
	w.Serving += l.Serving
	w.Fill += l.Fill
	w.Steps = l.Steps
}

func (w *Worker) count(key state.StepKey) int { return w.Steps[key] + w.added[key] }

// Input is the snapshot to plan on.
type Input struct {
	NowMs   int64 // Unix time
	Store   *state.Store
	Queues  map[string]*jobpb.Queue // by key
	Workers []*Worker
	// Advice returns the workers on which a step of a queue with an advisor may
	// run, with their tickets. ok is false while it is not known.
	Advice    func(step state.StepKey) (tickets map[string]string, ok bool)
	Estimates *Estimates
}

// candidate is a step with tasks to start.
type candidate struct {
	job        *jobpb.Job
	occurrence uint32
	step       int
	state      *jobpb.StepState
	order      int64
	advised    bool
}

type room struct{ cpu, memory int64 }

type planner struct {
	in     Input
	byPool map[string][]*Worker
	// room is an upper bound of the free capacity of a pool's workers, by which most
	// steps of a full pool are passed over.
	room   map[string]*room
	starts []*jobpb.Start
}

// Plan returns the starts to order now.
func Plan(in Input) []*jobpb.Start {
	p := &planner{in: in, byPool: map[string][]*Worker{}, room: map[string]*room{}}
	for _, w := range in.Workers {
		p.byPool[w.Pool] = append(p.byPool[w.Pool], w)
	}
	for pool, list := range p.byPool {
		p.room[pool] = roomOf(list)
	}
	list := p.candidates()
	slices.SortFunc(list, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.order, b.order), cmp.Compare(a.job.AcceptedMs, b.job.AcceptedMs),
			cmp.Compare(a.job.Id, b.job.Id), cmp.Compare(a.occurrence, b.occurrence), cmp.Compare(a.step, b.step))
	})
	for _, c := range list {
		p.startStep(c)
		if len(p.starts) >= MaxStartsPerPlan {
			break
		}
	}
	return p.starts
}

func roomOf(list []*Worker) *room {
	r := &room{}
	for _, w := range list {
		r.cpu, r.memory = max(r.cpu, w.CPU), max(r.memory, w.Memory)
	}
	return r
}

// noRoom reports whether no worker of a pool can have room for a task.
func (p *planner) noRoom(pool string, step *jobpb.Step) bool {
	r := p.room[pool]
	return !step.Fill && int64(step.CpuMillis) > r.cpu || int64(step.MemoryMb) > r.memory
}

// candidates lists the steps whose turn has come and that have tasks to start.
func (p *planner) candidates() []candidate {
	var list []candidate
	for _, j := range p.in.Store.Open() {
		if state.Ended(j) || len(p.byPool[j.Pool]) == 0 {
			continue
		}
		for n := uint32(0); n < max(1, j.Repetitions); n++ {
			due := j.FirstDueMs + int64(n)*j.IntervalMs
			if j.Repetitions > 0 && due > p.in.NowMs {
				break
			}
			list = p.occurrence(list, j, n, due)
		}
	}
	return list
}

func (p *planner) occurrence(list []candidate, j *jobpb.Job, n uint32, due int64) []candidate {
	o := state.OccurrenceOf(j, n)
	if o == nil {
		o = state.NewOccurrence(j, n)
	}
	if o.Done {
		return list
	}
	queue := p.in.Queues[j.Queue]
	order := p.order(j, o, queue, due)
	for i, step := range j.Steps {
		if !state.Ready(o, step) || !hasWaiting(step, o.Steps[i]) {
			continue
		}
		c := candidate{job: j, occurrence: n, step: i, state: o.Steps[i], order: order, advised: queue != nil && queue.AdviceMs > 0}
		if step.Lasting {
			c.order = -lateCost + int64(step.TargetMs)
			if step.Fill {
				c.order = lateCost * 2
			}
		}
		list = append(list, c)
	}
	return list
}

func hasWaiting(step *jobpb.Step, st *jobpb.StepState) bool {
	for _, t := range st.Tasks {
		if !t.Done && t.Worker == "" {
			return !step.Gang || allIdle(st)
		}
	}
	return false
}

func allIdle(st *jobpb.StepState) bool {
	for _, t := range st.Tasks {
		if t.Worker != "" {
			return false
		}
	}
	return true
}

// order returns a job's place: by priority, and then by the work that is left for
// what the job is worth. Jobs that can no longer be in time come behind all others,
// the oldest first.
func (p *planner) order(j *jobpb.Job, o *jobpb.Occurrence, q *jobpb.Queue, due int64) int64 {
	if latestStart(p.in.Estimates, j, o, q, due) < p.in.NowMs {
		return lateCost + j.AcceptedMs
	}
	whole, left := p.in.Estimates.work(j, o)
	priority := int64(0)
	if q != nil {
		priority = int64(min(q.Priority, maxPriority))
	}
	return priority*priorityCost + min(int64(left*workUnit/p.in.Estimates.worth(j.Queue, whole)), priorityCost-1)
}

// latestStart returns the Unix time in ms by which the next step of an occurrence
// must start for the job to be in time. due counts for jobs that repeat only.
func latestStart(e *Estimates, j *jobpb.Job, o *jobpb.Occurrence, q *jobpb.Queue, due int64) int64 {
	begin := j.AcceptedMs
	if j.Repetitions > 0 {
		begin = due
	}
	whole, left := chains(e, j, o)
	stretch, target := 1.0, int64(0)
	if q != nil {
		stretch, target = q.Stretch, int64(q.TargetMs)
	}
	return begin + int64(stretch*float64(whole.Milliseconds())) + target - left.Milliseconds()
}

// TooLate reports whether a job without repetitions can no longer be in time.
func TooLate(e *Estimates, j *jobpb.Job, q *jobpb.Queue, nowMs int64) bool {
	if j.Repetitions > 0 {
		return false
	}
	for _, step := range j.Steps {
		if step.Lasting {
			return false
		}
	}
	o := state.OccurrenceOf(j, 0)
	if o == nil {
		o = &jobpb.Occurrence{}
	}
	return latestStart(e, j, o, q, 0) < nowMs
}

// chains returns the longest chain of work of an occurrence, and of what is left of it.
func chains(e *Estimates, j *jobpb.Job, o *jobpb.Occurrence) (whole, left time.Duration) {
	ends := make([]time.Duration, len(j.Steps))
	rests := make([]time.Duration, len(j.Steps))
	for i, step := range j.Steps {
		d := e.Of(j.Queue, step)
		rest := d
		if i < len(o.Steps) && state.StepDone(o.Steps[i]) {
			rest = 0
		}
		for _, before := range step.After {
			ends[i] = max(ends[i], ends[before])
			rests[i] = max(rests[i], rests[before])
		}
		ends[i] += d
		rests[i] += rest
		whole, left = max(whole, ends[i]), max(left, rests[i])
	}
	return whole, left
}

func (p *planner) startStep(c candidate) {
	step := c.job.Steps[c.step]
	if p.noRoom(c.job.Pool, step) {
		return
	}
	key := state.StepKey{Job: c.job.Id, Occurrence: c.occurrence, Step: uint32(c.step)}
	var tickets map[string]string
	if c.advised {
		var ok bool
		if tickets, ok = p.in.Advice(key); !ok {
			return
		}
	}
	if step.Gang {
		p.startGang(c, key, step, tickets)
		return
	}
	var w *Worker
	for i, t := range c.state.Tasks {
		if t.Done || t.Worker != "" {
			continue
		}
		// The fullest worker stays the best one until it is full.
		if w == nil || step.Lasting || step.Fill || !p.suits(w, key, step, tickets) {
			w = p.chooseSpread(c.job.Pool, key, step, tickets)
		}
		if w == nil {
			// Nothing has changed since but by starts: the bound can be taken anew.
			p.room[c.job.Pool] = roomOf(p.byPool[c.job.Pool])
			return
		}
		p.take(w, key, step)
		p.starts = append(p.starts, newStart(key, i, t.Run+1, w))
	}
}

// startGang starts all tasks of a gang under one run number, or none.
func (p *planner) startGang(c candidate, key state.StepKey, step *jobpb.Step, tickets map[string]string) {
	rack := ""
	if step.RackLocal {
		rack = p.roomiestRack(c.job.Pool, step)
	}
	run := c.state.Run + 1
	var begun []*jobpb.Start
	var used []*Worker
	for i := range c.state.Tasks {
		w := p.choose(c.job.Pool, key, step, tickets, rack)
		if w == nil {
			for _, u := range used {
				p.give(u, key, step)
			}
			return
		}
		p.take(w, key, step)
		used = append(used, w)
		begun = append(begun, newStart(key, i, run, w))
	}
	p.starts = append(p.starts, begun...)
}

func newStart(key state.StepKey, index int, run uint32, w *Worker) *jobpb.Start {
	ref := &jobpb.TaskRef{Job: key.Job, Occurrence: key.Occurrence, Step: key.Step, Index: uint32(index)}
	return &jobpb.Start{Task: ref, Run: run, Worker: w.ID, BornMs: w.BornMs}
}

// roomiestRack returns the rack that fits the whole step, the one with least room
// to spare; empty if none does.
func (p *planner) roomiestRack(pool string, step *jobpb.Step) string {
	room := map[string]int64{}
	for _, w := range p.byPool[pool] {
		room[w.Rack] += fits(w, step)
	}
	best := ""
	for rack, n := range room {
		if n < int64(step.Count) {
			continue
		}
		if best == "" || n < room[best] || n == room[best] && rack < best {
			best = rack
		}
	}
	return best
}

// fits returns how many tasks of a step a worker has room for.
func fits(w *Worker, step *jobpb.Step) int64 {
	n := int64(step.Count)
	if step.CpuMillis > 0 && !step.Fill {
		n = min(n, max(0, w.CPU)/int64(step.CpuMillis))
	}
	if step.MemoryMb > 0 {
		n = min(n, max(0, w.Memory)/int64(step.MemoryMb))
	}
	if step.Gpus > 0 {
		n = min(n, max(0, w.GPUs)/int64(step.Gpus))
	}
	return n
}

// chooseSpread prefers workers that can go out without taking more tasks of a
// lasting step with them than may be away.
func (p *planner) chooseSpread(pool string, key state.StepKey, step *jobpb.Step, tickets map[string]string) *Worker {
	limit := step.MaxUnavailable
	if !step.Lasting || limit == 0 || step.MaxPerWorker > 0 && step.MaxPerWorker <= limit {
		return p.choose(pool, key, step, tickets, "")
	}
	spread := proto.Clone(step).(*jobpb.Step)
	spread.MaxPerWorker = limit
	if w := p.choose(pool, key, spread, tickets, ""); w != nil {
		return w
	}
	return p.choose(pool, key, step, tickets, "")
}

// choose returns the worker for one more task of a step, nil if none has room.
func (p *planner) choose(pool string, key state.StepKey, step *jobpb.Step, tickets map[string]string, rack string) *Worker {
	var best *Worker
	for _, w := range p.byPool[pool] {
		if rack != "" && w.Rack != rack || !p.suits(w, key, step, tickets) {
			continue
		}
		if best == nil || better(w, best, step) {
			best = w
		}
	}
	return best
}

// suits reports whether a worker may take one more task of a step.
func (p *planner) suits(w *Worker, key state.StepKey, step *jobpb.Step, tickets map[string]string) bool {
	if fits(w, step) == 0 {
		return false
	}
	if step.RequiredLabel != "" && !slices.Contains(w.Labels, step.RequiredLabel) {
		return false
	}
	if step.MaxPerWorker > 0 && w.count(key) >= int(step.MaxPerWorker) {
		return false
	}
	if tickets == nil {
		return true
	}
	_, allowed := tickets[w.ID]
	return allowed
}

// better reports whether a is the better worker for a task of step.
func better(a, b *Worker, step *jobpb.Step) bool {
	if a.Penalty != b.Penalty {
		return a.Penalty < b.Penalty
	}
	if step.DataRack != "" && (a.Rack == step.DataRack) != (b.Rack == step.DataRack) {
		return a.Rack == step.DataRack
	}
	if step.Fill && a.Serving != b.Serving {
		return a.Serving < b.Serving
	}
	if step.Lasting && a.Fill != b.Fill {
		return a.Fill < b.Fill
	}
	// The fullest worker that fits: what stays empty can leave the pool.
	if a.CPU != b.CPU {
		return a.CPU < b.CPU
	}
	return a.ID < b.ID
}

func (p *planner) take(w *Worker, key state.StepKey, step *jobpb.Step) { w.change(key, step, 1) }
func (p *planner) give(w *Worker, key state.StepKey, step *jobpb.Step) { w.change(key, step, -1) }

func (w *Worker) change(key state.StepKey, step *jobpb.Step, n int) {
	var l state.Load
	l.Add(key, step, n)
	steps := w.Steps
	w.Use(&l)
	w.Steps = steps
	if w.added == nil {
		w.added = map[state.StepKey]int{}
	}
	w.added[key] += n
}
