package plan

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// schedule places pending tasks of one pool: urgent jobs first, one task of each team
// in turn. A job that does not fit now holds up no other.
func (s *Scheduler) schedule(p *jobPool) {
	s.pass(p, true)
	s.pass(p, false)
	p.jobs = slices.DeleteFunc(p.jobs, func(j *jobState) bool { return len(j.pending) == 0 })
}

// fullSizes lists the sizes for which a pool has no room left in a pass, in free
// resources and by preemption.
type fullSizes struct {
	free, preempted []Resources
}

// teamQueue holds a team's jobs of one pass. The jobs before next are done with.
type teamQueue struct {
	jobs []*jobState
	next int
}

func (s *Scheduler) pass(p *jobPool, urgent bool) {
	queues := p.queues(urgent, s.now)
	var full fullSizes
	if len(queues) > 0 {
		p.turn = (p.turn + 1) % len(queues)
	}
	for left := len(queues); left > 0; {
		left = 0
		for i := range queues {
			q := queues[(i+p.turn)%len(queues)]
			if s.placeNext(p, q, &full) {
				left++
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

// placeNext places one task of the team and reports false when none of its jobs fits.
func (s *Scheduler) placeNext(p *jobPool, q *teamQueue, full *fullSizes) bool {
	for q.next < len(q.jobs) {
		j := q.jobs[q.next]
		if len(j.pending) > 0 && s.placeOne(p, j, full) {
			return true
		}
		q.next++
	}
	return false
}

func (s *Scheduler) placeOne(p *jobPool, j *jobState, full *fullSizes) bool {
	t := j.pending[0]
	need := j.size(s.settings)
	quota := need.fits(j.team.Quota.minus(j.team.used))
	if quota && !dominated(full.free, need) {
		if w := p.find(need, t.avoid); w != nil {
			j.pending = j.pending[1:]
			s.place(t, w)
			s.act(ActionStart, t)
			return true
		}
		if t.avoid == "" {
			full.free = append(full.free, need)
		}
	}
	if !j.Urgent || dominated(full.preempted, need) {
		return false
	}
	if !s.preemptFor(p, t, need, quota) {
		if quota && t.avoid == "" {
			full.preempted = append(full.preempted, need)
		}
		return false
	}
	j.pending = j.pending[1:]
	return true
}

func dominated(full []Resources, need Resources) bool {
	return slices.ContainsFunc(full, func(f Resources) bool { return f.fits(need) })
}

// place puts a task on a worker and charges its size to the worker and the team.
func (s *Scheduler) place(t *taskState, w *workerState) {
	t.worker, t.phase, t.since, t.started = w, phaseRunning, s.now, s.now
	t.attempt++
	t.healthy = false
	w.tasks = append(w.tasks, t)
	s.charge(t, t.job.size(s.settings))
}

func (s *Scheduler) unplace(t *taskState) {
	s.charge(t, Resources{})
	w := t.worker
	w.tasks = slices.DeleteFunc(w.tasks, func(o *taskState) bool { return o == t })
	t.worker = nil
	t.phase = phasePending
}

// charge changes what a task counts for. Normal work that is not yet being preempted
// also counts as what its worker can yield.
func (s *Scheduler) charge(t *taskState, c Resources) {
	w := t.worker
	delta := c.minus(t.charge)
	w.used = w.used.plus(delta)
	t.job.team.used = t.job.team.used.plus(delta)
	t.charge = c
	w.yielding = Resources{}
	for _, o := range w.tasks {
		if !o.job.Urgent && !o.preempting() && o.phase == phaseRunning {
			w.yielding = w.yielding.plus(o.charge)
		}
	}
	w.pool.index(w)
	w.pool.dirty = true
	if delta != (Resources{}) {
		s.wakeTeam(t.job, delta)
	}
}

// wakeTeam reconsiders the team's other pools when its quota has room again.
func (s *Scheduler) wakeTeam(j *jobState, delta Resources) {
	if delta.MilliCores >= 0 && delta.MemoryMB >= 0 && delta.Accelerators >= 0 {
		return
	}
	for _, p := range s.order {
		p.dirty = p.dirty || len(p.jobs) > 0
	}
}

func (p *jobPool) hasRetry(now time.Duration) bool {
	return slices.ContainsFunc(p.jobs, func(j *jobState) bool {
		return j.retryAt > 0 && j.retryAt <= now && len(j.pending) > 0
	})
}

// recheckJobs names the jobs that can never run after workers or quotas changed.
func (s *Scheduler) recheckJobs(p *jobPool) {
	p.recheck = false
	for _, j := range p.jobs {
		j.reason = s.neverReason(j)
	}
}

// neverReason explains why no worker or quota can take a task of the job, or is empty.
func (s *Scheduler) neverReason(j *jobState) string {
	need := j.size(s.settings)
	p := s.pools[j.Pool]
	if !j.team.known {
		return fmt.Sprintf("team %q is not declared: declare it with a quota", j.Team)
	}
	if r := exceeded(need, j.team.Quota); r != "" {
		return fmt.Sprintf("a task needs %s of team %q's quota: raise the quota or lower the size", r, j.Team)
	}
	if len(p.workers) == 0 {
		return fmt.Sprintf("pool %q has no workers: add workers or name another pool", j.Pool)
	}
	if p.stale {
		p.computeCapacity()
	}
	if r := exceeded(need, p.capacity); r != "" {
		return fmt.Sprintf("a task needs %s of the largest worker in pool %q: lower the size or add larger workers", r, j.Pool)
	}
	if !p.anyTakes(need) {
		return fmt.Sprintf("no worker in pool %q has the processors, memory and accelerators of a task together: lower the size or add larger workers", j.Pool)
	}
	return ""
}

func exceeded(need, limit Resources) string {
	switch {
	case need.MilliCores > limit.MilliCores:
		return fmt.Sprintf("%d of the %d milli-cores", need.MilliCores, limit.MilliCores)
	case need.MemoryMB > limit.MemoryMB:
		return fmt.Sprintf("%d of the %d MB of memory", need.MemoryMB, limit.MemoryMB)
	case need.Accelerators > limit.Accelerators:
		return fmt.Sprintf("%d of the %d accelerators", need.Accelerators, limit.Accelerators)
	}
	return ""
}

func (p *jobPool) computeCapacity() {
	p.stale = false
	p.capacity = Resources{}
	for _, w := range p.workers {
		p.capacity.MilliCores = max(p.capacity.MilliCores, w.Capacity.MilliCores)
		p.capacity.MemoryMB = max(p.capacity.MemoryMB, w.Capacity.MemoryMB)
		p.capacity.Accelerators = max(p.capacity.Accelerators, w.Capacity.Accelerators)
	}
}

func (p *jobPool) anyTakes(need Resources) bool {
	return slices.ContainsFunc(p.workers, func(w *workerState) bool { return need.fits(w.Capacity) })
}

// CannotRun lists the jobs that can never run as declared.
func (s *Scheduler) CannotRun() []CannotRun {
	var out []CannotRun
	for _, p := range s.order {
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
