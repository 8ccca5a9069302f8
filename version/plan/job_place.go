package plan

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// schedule places pending tasks of one pool: urgent jobs first, and round robin over the
// teams. A job that does not fit at present does not block other jobs.
func (s *Scheduler) schedule(p *jobPool) {
	s.schedulePass(p, true)
	s.schedulePass(p, false)
	p.jobs = slices.DeleteFunc(p.jobs, func(j *jobState) bool { return len(j.pending) == 0 })
}

// unplaceableSizes lists the task sizes that could not be placed in a scheduling pass, in
// free resources and by preemption. Tasks of at least such a size are not tried again.
type unplaceableSizes struct {
	free, preemption []Resources
}

// teamQueue holds a team's jobs in one scheduling pass. The pass is finished with the
// jobs before index next.
type teamQueue struct {
	jobs []*jobState
	next int
}

func (s *Scheduler) schedulePass(p *jobPool, urgent bool) {
	queues := p.queues(urgent, s.now)
	var unplaceable unplaceableSizes
	if len(queues) > 0 {
		p.teamOffset = (p.teamOffset + 1) % len(queues)
	}
	for active := len(queues); active > 0; {
		active = 0
		for i := range queues {
			q := queues[(i+p.teamOffset)%len(queues)]
			if s.placeNext(p, q, &unplaceable) {
				active++
			}
		}
	}
}

// queues groups the pool's runnable jobs by team, in order of submission.
func (p *jobPool) queues(urgent bool, now time.Duration) []*teamQueue {
	byTeam := map[*teamState]*teamQueue{}
	var out []*teamQueue
	for _, j := range p.jobs {
		if j.Urgent != urgent || j.reason != "" || len(j.pending) == 0 || j.retryAt > now {
			continue
		}
		q := byTeam[j.team]
		if q == nil {
			q = &teamQueue{}
			byTeam[j.team] = q
			out = append(out, q)
		}
		q.jobs = append(q.jobs, j)
	}
	return out
}

// placeNext places one task of the team. It reports false if no job of the team fits.
func (s *Scheduler) placeNext(p *jobPool, q *teamQueue, unplaceable *unplaceableSizes) bool {
	for q.next < len(q.jobs) {
		j := q.jobs[q.next]
		if len(j.pending) > 0 && s.placeOne(p, j, unplaceable) {
			return true
		}
		q.next++
	}
	return false
}

// placeOne places the next pending task of the job, or reserves resources for it by
// preemption if the job is urgent. It reports false if the task does not fit.
func (s *Scheduler) placeOne(p *jobPool, j *jobState, unplaceable *unplaceableSizes) bool {
	t := j.pending[0]
	need := j.size(s.settings)
	withinQuota := need.fitsIn(j.team.Quota.minus(j.team.used))
	if withinQuota && !dominated(unplaceable.free, need) {
		if w := p.bestFit(need, t.avoidWorker); w != nil {
			j.pending = j.pending[1:]
			s.place(t, w)
			s.addAction(ActionStart, t)
			return true
		}
		if t.avoidWorker == "" {
			unplaceable.free = append(unplaceable.free, need)
		}
	}
	if !j.Urgent || dominated(unplaceable.preemption, need) {
		return false
	}
	if !s.preemptFor(p, t, need, withinQuota) {
		if withinQuota && t.avoidWorker == "" {
			unplaceable.preemption = append(unplaceable.preemption, need)
		}
		return false
	}
	j.pending = j.pending[1:]
	return true
}

// dominated reports whether need is at least as large as one of the sizes.
func dominated(sizes []Resources, need Resources) bool {
	return slices.ContainsFunc(sizes, func(size Resources) bool { return size.fitsIn(need) })
}

// place puts a task on a worker and charges its size to the worker and the team.
func (s *Scheduler) place(t *taskState, w *workerState) {
	t.worker, t.phase, t.phaseSince, t.started = w, phaseRunning, s.now, s.now
	t.attempt++
	t.countedSuccess = false
	w.tasks = append(w.tasks, t)
	s.setCharge(t, t.job.size(s.settings))
}

func (s *Scheduler) unplace(t *taskState) {
	s.setCharge(t, Resources{})
	w := t.worker
	w.tasks = slices.DeleteFunc(w.tasks, func(o *taskState) bool { return o == t })
	t.worker = nil
	t.phase = phasePending
}

// setCharge sets the resources that are charged for a task to its worker and its team,
// and recomputes the preemptible resources of the worker: the charges of its normal
// tasks that are not being preempted yet.
func (s *Scheduler) setCharge(t *taskState, c Resources) {
	w := t.worker
	delta := c.minus(t.charge)
	w.used = w.used.plus(delta)
	t.job.team.used = t.job.team.used.plus(delta)
	t.charge = c
	w.preemptible = Resources{}
	for _, o := range w.tasks {
		if !o.job.Urgent && !o.preempting() && o.phase == phaseRunning {
			w.preemptible = w.preemptible.plus(o.charge)
		}
	}
	w.pool.addToBucket(w)
	w.pool.dirty = true
	if delta != (Resources{}) {
		s.reschedulePools(t.job, delta)
	}
}

// reschedulePools marks all pools with pending tasks for scheduling if a charge has
// decreased, since the team's quota may then admit its tasks in other pools.
func (s *Scheduler) reschedulePools(j *jobState, delta Resources) {
	if delta.MilliCores >= 0 && delta.MemoryMB >= 0 && delta.Accelerators >= 0 {
		return
	}
	for _, p := range s.poolOrder {
		p.dirty = p.dirty || len(p.jobs) > 0
	}
}

func (p *jobPool) retryDue(now time.Duration) bool {
	return slices.ContainsFunc(p.jobs, func(j *jobState) bool {
		return j.retryAt > 0 && j.retryAt <= now && len(j.pending) > 0
	})
}

// recheckJobs determines again which jobs can never run, after workers or quotas changed.
func (s *Scheduler) recheckJobs(p *jobPool) {
	p.recheck = false
	for _, j := range p.jobs {
		j.reason = s.cannotRunReason(j)
	}
}

// cannotRunReason returns why no worker or quota fits a task of the job, or an empty string.
func (s *Scheduler) cannotRunReason(j *jobState) string {
	need := j.size(s.settings)
	p := s.pools[j.Pool]
	if !j.team.declared {
		return fmt.Sprintf("team %q is not declared: declare it with a quota", j.Team)
	}
	if r := exceededResource(need, j.team.Quota); r != "" {
		return fmt.Sprintf("a task needs %s of team %q's quota: raise the quota or lower the size", r, j.Team)
	}
	if len(p.workers) == 0 {
		return fmt.Sprintf("pool %q has no workers: add workers or name another pool", j.Pool)
	}
	if p.capacityStale {
		p.computeCapacity()
	}
	if r := exceededResource(need, p.capacity); r != "" {
		return fmt.Sprintf("a task needs %s of the largest worker in pool %q: lower the size or add larger workers", r, j.Pool)
	}
	if !p.anyWorkerFits(need) {
		return fmt.Sprintf("no single worker in pool %q has enough processors, memory and accelerators for a task: lower the size or add larger workers", j.Pool)
	}
	return ""
}

func exceededResource(need, limit Resources) string {
	switch {
	case need.MilliCores > limit.MilliCores:
		return fmt.Sprintf("%d milli-cores, more than the %d", need.MilliCores, limit.MilliCores)
	case need.MemoryMB > limit.MemoryMB:
		return fmt.Sprintf("%d MB of memory, more than the %d", need.MemoryMB, limit.MemoryMB)
	case need.Accelerators > limit.Accelerators:
		return fmt.Sprintf("%d accelerators, more than the %d", need.Accelerators, limit.Accelerators)
	}
	return ""
}

func (p *jobPool) computeCapacity() {
	p.capacityStale = false
	p.capacity = Resources{}
	for _, w := range p.workers {
		p.capacity.MilliCores = max(p.capacity.MilliCores, w.Capacity.MilliCores)
		p.capacity.MemoryMB = max(p.capacity.MemoryMB, w.Capacity.MemoryMB)
		p.capacity.Accelerators = max(p.capacity.Accelerators, w.Capacity.Accelerators)
	}
}

func (p *jobPool) anyWorkerFits(need Resources) bool {
	return slices.ContainsFunc(p.workers, func(w *workerState) bool { return need.fitsIn(w.Capacity) })
}

// CannotRun lists the jobs that can never run as declared.
func (s *Scheduler) CannotRun() []CannotRun {
	var out []CannotRun
	for _, p := range s.poolOrder {
		if p.recheck {
			s.recheckJobs(p)
		}
		for _, j := range p.jobs {
			if j.reason != "" {
				out = append(out, CannotRun{j.Name, j.reason})
			}
		}
	}
	return out
}

// Unfinished lists the tasks that are pending or placed, by name.
func (s *Scheduler) Unfinished() []string {
	return slices.Sorted(maps.Keys(s.tasks))
}
