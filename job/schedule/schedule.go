// Package schedule plans which tasks start on which workers. Plan computes starts from
// a snapshot of jobs and workers and has no side effects besides updating the given
// workers. Package state checks each start again when it applies the log, because the
// state may have changed since the snapshot.
package schedule

import (
	"cmp"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"marjoramtiller.example/marjoramtiller/job/jobpb"
	"marjoramtiller.example/marjoramtiller/job/state"
)

// Steps are started in ascending order of their rank.
const (
	// lateRank is the least rank of jobs that can no longer finish within their target
	// time. It ranks them behind all other jobs.
	lateRank = 1 << 40
	// rankPerPriority is the distance in rank between two priorities of queues.
	// Priorities above maxPriority count as maxPriority, which keeps ranks below lateRank.
	rankPerPriority   = 1 << 36
	maxPriority       = 7
	rankPerCoreSecond = 1000.0 // rank of a core-second of remaining work at weight 1
)

// MaxStartsPerPlan is the number of starts after which a plan considers no further
// step. The last step is still planned whole, so a plan may have more starts.
const MaxStartsPerPlan = 512

// Input is the snapshot from which Plan computes starts.
type Input struct {
	NowMs   int64         // Unix time
	Now     time.Duration // on a clock that never jumps
	Store   *state.Store
	Queues  map[string]*jobpb.Queue // by state.QueueKey
	Workers []*Worker
	// Advice returns the workers on which the advisor of a queue allows a step to run,
	// with the tickets for them. ok is false while no answer of the advisor is available.
	Advice    func(step state.StepKey) (tickets map[string]string, ok bool)
	Estimates *Estimates
	// Reservations are those of the last plan, which this one renews. It must not be nil.
	Reservations *Reservations
}

// candidate is a step with tasks to start.
type candidate struct {
	job         *jobpb.Job
	occurrence  uint32
	step        int
	state       *jobpb.StepState
	rank        int64
	needsAdvice bool
}

// capacityBound is the largest free CPU and the largest free memory of any worker of a
// pool; the two may belong to different workers.
type capacityBound struct{ cpu, memory int64 }

type planner struct {
	input  Input
	byPool map[string][]*Worker
	// bounds holds, by pool, an upper bound of the free capacity of each of its workers.
	// It lets the plan skip most steps of a full pool without examining its workers.
	bounds map[string]*capacityBound
	starts []*jobpb.Start
	// probation reports that tasks of open jobs may have crashed workers.
	probation bool
	vacated   map[string]*Worker // by worker ID, see withoutShortRuns
}

// Plan returns the starts to order now, and deducts their tasks from the free capacity
// of the workers in input.
func Plan(input Input) []*jobpb.Start {
	p := &planner{input: input, byPool: map[string][]*Worker{}, bounds: map[string]*capacityBound{}}
	for _, w := range input.Workers {
		p.byPool[w.Pool] = append(p.byPool[w.Pool], w)
	}
	for pool, list := range p.byPool {
		p.bounds[pool] = boundOf(list)
	}
	list := p.candidates()
	slices.SortFunc(list, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.job.AcceptedMs, b.job.AcceptedMs),
			cmp.Compare(a.job.Id, b.job.Id), cmp.Compare(a.occurrence, b.occurrence), cmp.Compare(a.step, b.step))
	})
	p.probation = len(input.Store.Suspects()) > 0
	if p.probation {
		p.reserveForProbation(list)
	} else {
		input.Reservations.clear()
	}
	for _, c := range list {
		p.startStep(c)
		if len(p.starts) >= MaxStartsPerPlan {
			break
		}
	}
	return p.starts
}

func boundOf(list []*Worker) *capacityBound {
	bound := &capacityBound{}
	for _, w := range list {
		bound.cpu, bound.memory = max(bound.cpu, w.CPU), max(bound.memory, w.Memory)
	}
	return bound
}

// exceedsBound reports whether a task of a step exceeds the bound of free capacity, so
// that it fits on no worker of the pool.
func (p *planner) exceedsBound(pool string, step *jobpb.Step) bool {
	bound := p.bounds[pool]
	return !step.Fill && int64(step.CpuMillis) > bound.cpu || int64(step.MemoryMb) > bound.memory
}

// candidates returns the steps with tasks to start: those of due occurrences whose
// preceding steps are done.
func (p *planner) candidates() []candidate {
	var list []candidate
	for _, j := range p.input.Store.OpenJobs() {
		if state.Ended(j) || len(p.byPool[j.Pool]) == 0 {
			continue
		}
		for number := uint32(0); number < max(1, j.Repetitions); number++ {
			dueMs := j.FirstDueMs + int64(number)*j.IntervalMs
			if j.Repetitions > 0 && dueMs > p.input.NowMs {
				break
			}
			list = p.appendCandidates(list, j, number, dueMs)
		}
	}
	return list
}

// appendCandidates appends the steps of one occurrence that have tasks to start.
func (p *planner) appendCandidates(list []candidate, j *jobpb.Job, number uint32, dueMs int64) []candidate {
	occurrence := state.OccurrenceOf(j, number)
	if occurrence == nil {
		occurrence = state.NewOccurrence(j, number)
	}
	if occurrence.Done {
		return list
	}
	queue := p.input.Queues[j.Queue]
	rank := p.rank(j, occurrence, queue, dueMs)
	for i, step := range j.Steps {
		if !state.StepReady(occurrence, step) || !hasTasksToStart(step, occurrence.Steps[i]) {
			continue
		}
		c := candidate{job: j, occurrence: number, step: i, state: occurrence.Steps[i], rank: rank, needsAdvice: queue != nil && queue.AdviceMs > 0}
		// Lasting steps come first, in ascending order of their latency target. Lasting
		// filling steps come after all jobs that can finish within their target time.
		if step.Lasting {
			c.rank = -lateRank + int64(step.TargetMs)
			if step.Fill {
				c.rank = lateRank * 2
			}
		}
		list = append(list, c)
	}
	return list
}

// hasTasksToStart reports whether a task of a step waits for a worker. A gang starts as
// a whole, so none of its tasks may be placed.
func hasTasksToStart(step *jobpb.Step, st *jobpb.StepState) bool {
	for _, t := range st.Tasks {
		if state.Waiting(t) {
			return !step.Gang || nonePlaced(st) && !slices.ContainsFunc(st.Tasks, (*jobpb.Task).GetGivenUp)
		}
	}
	return false
}

func nonePlaced(st *jobpb.StepState) bool {
	for _, t := range st.Tasks {
		if t.Worker != "" {
			return false
		}
	}
	return true
}

// rank returns the rank of an occurrence of a job: by priority, then by remaining work
// divided by the job's weight. Jobs that can no longer finish within their target time
// come after all others, the oldest first.
func (p *planner) rank(j *jobpb.Job, occurrence *jobpb.Occurrence, queue *jobpb.Queue, dueMs int64) int64 {
	if latestStart(p.input.Estimates, j, occurrence, queue, dueMs) < p.input.NowMs {
		return lateRank + j.AcceptedMs
	}
	total, remaining := p.input.Estimates.work(j, occurrence)
	priority := int64(0)
	if queue != nil {
		priority = int64(min(queue.Priority, maxPriority))
	}
	return priority*rankPerPriority + min(int64(remaining*rankPerCoreSecond/p.input.Estimates.weight(j.Queue, total)), rankPerPriority-1)
}

// latestStart returns the Unix time in ms by which the next step of an occurrence must
// start for the occurrence to finish within its target time: the queue's stretch times
// the critical path, plus the queue's target. It counts from dueMs for jobs with
// repetitions and from acceptance for others.
func latestStart(estimates *Estimates, j *jobpb.Job, occurrence *jobpb.Occurrence, queue *jobpb.Queue, dueMs int64) int64 {
	baseMs := j.AcceptedMs
	if j.Repetitions > 0 {
		baseMs = dueMs
	}
	total, remaining := criticalPaths(estimates, j, occurrence)
	stretch, targetMs := 1.0, int64(0)
	if queue != nil {
		stretch, targetMs = queue.Stretch, int64(queue.TargetMs)
	}
	return baseMs + int64(stretch*float64(total.Milliseconds())) + targetMs - remaining.Milliseconds()
}

// TooLate reports whether a job can no longer finish within its target time. It is
// false for jobs with repetitions or lasting steps.
func TooLate(estimates *Estimates, j *jobpb.Job, queue *jobpb.Queue, nowMs int64) bool {
	if j.Repetitions > 0 {
		return false
	}
	for _, step := range j.Steps {
		if step.Lasting {
			return false
		}
	}
	occurrence := state.OccurrenceOf(j, 0)
	if occurrence == nil {
		occurrence = &jobpb.Occurrence{}
	}
	return latestStart(estimates, j, occurrence, queue, 0) < nowMs
}

// criticalPaths returns the expected length of the critical path of an occurrence, and
// that of the critical path of its steps that are not done.
func criticalPaths(estimates *Estimates, j *jobpb.Job, occurrence *jobpb.Occurrence) (total, remaining time.Duration) {
	totalEnds := make([]time.Duration, len(j.Steps))
	remainingEnds := make([]time.Duration, len(j.Steps))
	for i, step := range j.Steps {
		runTime := estimates.RunTime(j.Queue, step)
		remainingTime := runTime
		if i < len(occurrence.Steps) && state.StepDone(occurrence.Steps[i]) {
			remainingTime = 0
		}
		for _, before := range step.After {
			totalEnds[i] = max(totalEnds[i], totalEnds[before])
			remainingEnds[i] = max(remainingEnds[i], remainingEnds[before])
		}
		totalEnds[i] += runTime
		remainingEnds[i] += remainingTime
		total, remaining = max(total, totalEnds[i]), max(remaining, remainingEnds[i])
	}
	return total, remaining
}

// startStep starts the waiting tasks of a step as far as workers have free capacity.
func (p *planner) startStep(c candidate) {
	step := c.job.Steps[c.step]
	if p.exceedsBound(c.job.Pool, step) {
		return
	}
	key := state.StepKey{Job: c.job.Id, Occurrence: c.occurrence, Step: uint32(c.step)}
	var tickets map[string]string
	if c.needsAdvice {
		var ok bool
		if tickets, ok = p.input.Advice(key); !ok {
			return
		}
	}
	if step.Gang {
		p.startGang(c, key, step, tickets)
		return
	}
	var w *Worker
	for i, t := range c.state.Tasks {
		if !state.Waiting(t) {
			continue
		}
		if onProbation(t) {
			p.startOnProbation(c, key, step, tickets, i)
			continue
		}
		// The chosen worker is the fullest that fits, and stays so until it is full.
		if w == nil || step.Lasting || step.Fill || !Eligible(w, key, step, tickets) || !w.admits(key.Job, false) {
			w = p.chooseSpreadWorker(c.job.Pool, key, step, tickets)
		}
		if w == nil {
			// Since the bound was computed, only the starts of this plan have changed the
			// free capacity. Recompute it, so that further steps are skipped early.
			p.bounds[c.job.Pool] = boundOf(p.byPool[c.job.Pool])
			return
		}
		p.assign(w, key, step)
		if p.probation {
			w.AddRecentStart(key.Job, false)
		}
		p.starts = append(p.starts, newStart(key, i, t.Run+1, w))
	}
}

// startOnProbation starts one task on probation if a worker admits it.
func (p *planner) startOnProbation(c candidate, key state.StepKey, step *jobpb.Step, tickets map[string]string, index int) {
	w := p.chooseWorker(c.job.Pool, key, step, tickets, "", true)
	if w == nil {
		return
	}
	p.assign(w, key, step)
	w.AddRecentStart(key.Job, true)
	p.starts = append(p.starts, newStart(key, index, c.state.Tasks[index].Run+1, w))
}

// startGang starts all tasks of a gang under one run number, or none of them if they do
// not all fit.
func (p *planner) startGang(c candidate, key state.StepKey, step *jobpb.Step, tickets map[string]string) {
	rack := ""
	if step.RackLocal {
		rack = p.bestFitRack(c.job.Pool, step)
	}
	run := c.state.Run + 1
	var gangStarts []*jobpb.Start
	var assigned []*Worker
	for i, t := range c.state.Tasks {
		w := p.chooseWorker(c.job.Pool, key, step, tickets, rack, onProbation(t))
		if w == nil {
			for _, worker := range assigned {
				p.unassign(worker, key, step)
			}
			return
		}
		p.assign(w, key, step)
		assigned = append(assigned, w)
		gangStarts = append(gangStarts, newStart(key, i, run, w))
	}
	if p.probation {
		for i, w := range assigned {
			w.AddRecentStart(key.Job, onProbation(c.state.Tasks[i]))
		}
	}
	p.starts = append(p.starts, gangStarts...)
}

func newStart(key state.StepKey, index int, run uint32, w *Worker) *jobpb.Start {
	ref := &jobpb.TaskRef{Job: key.Job, Occurrence: key.Occurrence, Step: key.Step, Index: uint32(index)}
	return &jobpb.Start{Task: ref, Run: run, Worker: w.ID, BornMs: w.StartedMs}
}

// bestFitRack returns the rack with the least free capacity on which the whole step
// fits, empty if there is none; the step is then spread over racks.
func (p *planner) bestFitRack(pool string, step *jobpb.Step) string {
	fitting := map[string]int64{}
	for _, w := range p.byPool[pool] {
		fitting[w.Rack] += fittingTasks(w, step)
	}
	best := ""
	for rack, n := range fitting {
		if n < int64(step.Count) {
			continue
		}
		if best == "" || n < fitting[best] || n == fitting[best] && rack < best {
			best = rack
		}
	}
	return best
}

// fittingTasks returns how many tasks of a step fit into the free capacity of a worker.
func fittingTasks(w *Worker, step *jobpb.Step) int64 {
	count := int64(step.Count)
	if step.CpuMillis > 0 && !step.Fill {
		count = min(count, max(0, w.CPU)/int64(step.CpuMillis))
	}
	if step.MemoryMb > 0 {
		count = min(count, max(0, w.Memory)/int64(step.MemoryMb))
	}
	if step.Gpus > 0 {
		count = min(count, max(0, w.GPUs)/int64(step.Gpus))
	}
	return count
}

// chooseSpreadWorker returns the worker for one more task of a step. For a lasting step
// it prefers workers with fewer tasks of the step than MaxUnavailable, so that a worker
// can be taken out of service without exceeding that limit.
func (p *planner) chooseSpreadWorker(pool string, key state.StepKey, step *jobpb.Step, tickets map[string]string) *Worker {
	limit := step.MaxUnavailable
	if !step.Lasting || limit == 0 || step.MaxPerWorker > 0 && step.MaxPerWorker <= limit {
		return p.chooseWorker(pool, key, step, tickets, "", false)
	}
	spreadStep := proto.Clone(step).(*jobpb.Step)
	spreadStep.MaxPerWorker = limit
	if w := p.chooseWorker(pool, key, spreadStep, tickets, "", false); w != nil {
		return w
	}
	return p.chooseWorker(pool, key, step, tickets, "", false)
}

// chooseWorker returns the best worker for one more task of a step, nil if none is
// eligible. A non-empty rack restricts the choice to that rack.
func (p *planner) chooseWorker(pool string, key state.StepKey, step *jobpb.Step, tickets map[string]string, rack string, probation bool) *Worker {
	var best *Worker
	for _, w := range p.byPool[pool] {
		if rack != "" && w.Rack != rack || !Eligible(w, key, step, tickets) || !w.admits(key.Job, probation) {
			continue
		}
		switch {
		case best == nil,
			probation && betterForProbation(w, best),
			!probation && better(w, best, step):
			best = w
		}
	}
	return best
}

// Eligible reports whether one more task of a step may start on a worker. Without
// tickets (nil) every worker is allowed.
func Eligible(w *Worker, key state.StepKey, step *jobpb.Step, tickets map[string]string) bool {
	if fittingTasks(w, step) == 0 {
		return false
	}
	if !HasLabel(w.Labels, step) {
		return false
	}
	if step.MaxPerWorker > 0 && w.taskCount(key) >= int(step.MaxPerWorker) {
		return false
	}
	if tickets == nil {
		return true
	}
	_, allowed := tickets[w.ID]
	return allowed
}

// HasLabel reports whether a worker with the given labels may run a step.
func HasLabel(labels []string, step *jobpb.Step) bool {
	return step.RequiredLabel == "" || slices.Contains(labels, step.RequiredLabel)
}

// better reports whether a is a better worker than b for a task of a step.
func better(a, b *Worker, step *jobpb.Step) bool {
	if a.Penalty != b.Penalty {
		return a.Penalty < b.Penalty
	}
	if step.Lasting && a.UpkeepDue != b.UpkeepDue {
		return b.UpkeepDue // there the task would soon have to move again
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
	// Prefer the fullest worker that fits, so that empty machines can leave the pool.
	if a.CPU != b.CPU {
		return a.CPU < b.CPU
	}
	return a.ID < b.ID
}

func (p *planner) assign(w *Worker, key state.StepKey, step *jobpb.Step)   { w.addTasks(key, step, 1) }
func (p *planner) unassign(w *Worker, key state.StepKey, step *jobpb.Step) { w.addTasks(key, step, -1) }
