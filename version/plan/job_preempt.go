package plan

import (
	"cmp"
	"slices"
	"time"
)

// maxPreemptCandidates limits the workers compared for one preemption, so that a burst of
// urgent tasks in a large pool takes bounded time for each task.
const maxPreemptCandidates = 64

// throttleDivisor divides a task's processors; the quotient is what it keeps when throttled.
const throttleDivisor = 10

// preemptFor reserves resources for an urgent task on the worker where this preempts the
// least normal work. If the task is not within its team's quota, only normal tasks of the
// same team may be preempted.
func (s *Scheduler) preemptFor(p *jobPool, t *taskState, need Resources, withinQuota bool) bool {
	var best *workerState
	var victims []*taskState
	var bestCost Resources
	found := 0
	for i := range p.workers {
		w := p.workers[(p.preemptCursor+i)%len(p.workers)]
		if !w.Up || w.inQuarantine || w.Name == t.avoidWorker || !need.fitsIn(w.free().plus(w.preemptible)) {
			continue
		}
		v, cost, ok := s.victims(w, t, need, withinQuota)
		if !ok {
			continue
		}
		if best == nil || compareCost(cost, bestCost) < 0 {
			best, victims, bestCost = w, v, cost
		}
		if found++; found == maxPreemptCandidates {
			break
		}
	}
	if best == nil {
		return false
	}
	p.preemptCursor = (p.preemptCursor + 1) % len(p.workers)
	for _, v := range victims {
		s.preempt(v)
	}
	s.reserve(t, best, need)
	return true
}

func compareCost(a, b Resources) int {
	return cmp.Or(cmp.Compare(a.Accelerators, b.Accelerators), cmp.Compare(a.MilliCores, b.MilliCores), cmp.Compare(a.MemoryMB, b.MemoryMB))
}

// victims chooses the normal tasks to preempt so that need fits: the latest started
// first, since they lose the least work, and then without those that prove unnecessary.
func (s *Scheduler) victims(w *workerState, t *taskState, need Resources, withinQuota bool) ([]*taskState, Resources, bool) {
	team := t.job.team
	enough := func(free, teamFree Resources) bool {
		return need.fitsIn(free) && (withinQuota || need.fitsIn(teamFree))
	}
	var candidates []*taskState
	for _, o := range w.tasks {
		if !o.job.Urgent && o.phase == phaseRunning && (withinQuota || o.job.team == team) {
			candidates = append(candidates, o)
		}
	}
	slices.SortStableFunc(candidates, func(a, b *taskState) int { return cmp.Compare(b.started, a.started) })
	free, teamFree := w.free(), team.Quota.minus(team.used)
	var chosen []*taskState
	for _, o := range candidates {
		if enough(free, teamFree) {
			break
		}
		chosen = append(chosen, o)
		free, teamFree = free.plus(o.charge), teamFree.plus(o.charge)
	}
	if !enough(free, teamFree) {
		return nil, Resources{}, false
	}
	var cost Resources
	var out []*taskState
	for _, o := range chosen {
		if enough(free.minus(o.charge), teamFree.minus(o.charge)) {
			free, teamFree = free.minus(o.charge), teamFree.minus(o.charge)
			continue
		}
		out = append(out, o)
		cost = cost.plus(o.charge)
	}
	return out, cost, true
}

// preempt begins the preemption of a normal task by requesting a checkpoint, after which
// the task ends.
func (s *Scheduler) preempt(t *taskState) {
	t.phase, t.phaseSince = phaseCheckpointing, s.now
	s.preempts = append(s.preempts, t)
	s.setCharge(t, t.charge)
	s.addAction(ActionCheckpoint, t)
}

func (s *Scheduler) reserve(t *taskState, w *workerState, need Resources) {
	t.phase, t.phaseSince, t.charge, t.reservedOn = phaseWaiting, s.now, need, w
	s.waiting = append(s.waiting, t)
	w.reserved = w.reserved.plus(need)
	w.waiting = append(w.waiting, t)
	w.pool.addToBucket(w)
	t.avoidWorker = ""
	t.job.team.used = t.job.team.used.plus(need)
}

func (s *Scheduler) unreserve(t *taskState) {
	w := t.reservedOn
	if w == nil {
		return
	}
	t.reservedOn = nil
	w.waiting = slices.DeleteFunc(w.waiting, func(o *taskState) bool { return o == t })
	w.reserved = w.reserved.minus(t.charge)
	t.job.team.used = t.job.team.used.minus(t.charge)
	t.charge = Resources{}
	w.pool.addToBucket(w)
	w.pool.dirty = true
}

// startWaiting starts the urgent tasks that wait on the worker and now fit, in the order
// of their reservations.
func (s *Scheduler) startWaiting(w *workerState) {
	for len(w.waiting) > 0 {
		t := w.waiting[0]
		if !t.charge.fitsIn(w.Capacity.minus(w.used)) || !w.Up {
			return
		}
		s.unreserve(t)
		s.place(t, w)
		s.addAction(ActionStart, t)
	}
}

// recordThrottle records that a task keeps only part of its processors.
func (s *Scheduler) recordThrottle(t *taskState) {
	if t.phase != phaseThrottling {
		return
	}
	c := t.charge
	c.MilliCores /= throttleDivisor
	s.setCharge(t, c)
	s.startWaiting(t.worker)
}

// escalate continues the preemptions that have timed out: an unanswered checkpoint is
// followed by a throttle, then by a stop.
func (s *Scheduler) escalate() {
	kept := s.preempts[:0]
	for _, t := range s.preempts {
		if t.worker == nil || !t.preempting() {
			continue
		}
		s.escalateOne(t)
		if t.preempting() {
			kept = append(kept, t)
		}
	}
	clear(s.preempts[len(kept):])
	s.preempts = kept
}

func (s *Scheduler) escalateOne(t *taskState) {
	elapsed := s.now - t.phaseSince
	switch t.phase {
	case phaseCheckpointing:
		if elapsed >= s.settings.CheckpointTimeout {
			s.advance(t, phaseThrottling, ActionThrottle)
		}
	case phaseThrottling:
		// If the throttle freed enough for all waiting urgent tasks, the checkpoint may
		// take longer.
		served := len(t.worker.waiting) == 0 && elapsed < s.settings.ResendAfter
		if elapsed >= s.settings.ThrottleTimeout && !served {
			s.advance(t, phaseStopping, ActionStop)
		}
	case phaseStopping:
		if elapsed >= s.settings.ResendAfter {
			s.advance(t, phaseStopping, ActionStop)
		}
	}
}

func (s *Scheduler) advance(t *taskState, phase taskPhase, kind ActionKind) {
	t.phase, t.phaseSince = phase, s.now
	s.addAction(kind, t)
}

// expireReservations releases reservations that were not served in time, for instance
// because the usage of a task on the worker grew, and makes their tasks pending again.
func (s *Scheduler) expireReservations() {
	limit := s.settings.CheckpointTimeout + s.settings.ThrottleTimeout + s.settings.ResendAfter
	kept := s.waiting[:0]
	for _, t := range s.waiting {
		if t.phase != phaseWaiting {
			continue
		}
		if s.now-t.phaseSince >= limit {
			s.unreserve(t)
			s.enqueue(t)
			continue
		}
		kept = append(kept, t)
	}
	clear(s.waiting[len(kept):])
	s.waiting = kept
}

// cancelQueue holds a pool's cancelled tasks for which no stop has been sent.
type cancelQueue struct {
	tasks      []*taskState
	refilledAt time.Duration // when credit was last computed
	credit     time.Duration // unused time; each stop costs the interval between stops at the pool's rate
}

// stopCancelled stops cancelled tasks at the pool's rate, with at most one second of credit.
func (s *Scheduler) stopCancelled(p *jobPool) {
	q := &p.cancels
	q.credit = min(q.credit+s.now-q.refilledAt, time.Second)
	q.refilledAt = s.now
	timePerStop := time.Second / time.Duration(max(1, s.settings.CancelsPerSecond))
	for len(q.tasks) > 0 && q.credit >= timePerStop {
		t := q.tasks[0]
		q.tasks = q.tasks[1:]
		if t.worker == nil || !t.cancelled {
			continue
		}
		q.credit -= timePerStop
		if !t.preempting() {
			s.preempts = append(s.preempts, t)
		}
		s.advance(t, phaseStopping, ActionStop)
		s.setCharge(t, t.charge)
	}
}
