package plan

import (
	"cmp"
	"slices"
	"time"
)

// preemptSearch bounds the workers compared for one preemption, so that an urgent
// burst on a large pool costs bounded time for each task.
const preemptSearch = 64

// throttledShare is the part of its processors that a throttled task keeps, as a divisor.
const throttledShare = 10

// preemptFor reserves room for an urgent task on the worker that loses least normal
// work. When the team's quota is used up, only the team's own normal work may go.
func (s *Scheduler) preemptFor(p *jobPool, t *taskState, need Resources, quota bool) bool {
	var best *workerState
	var victims []*taskState
	var bestCost Resources
	found := 0
	for i := range p.workers {
		w := p.workers[(p.cursor+i)%len(p.workers)]
		if !w.Up || w.suspended || w.Name == t.avoid || !need.fits(w.free().plus(w.yielding)) {
			continue
		}
		v, cost, ok := s.victims(w, t, need, quota)
		if !ok {
			continue
		}
		if best == nil || compareCost(cost, bestCost) < 0 {
			best, victims, bestCost = w, v, cost
		}
		if found++; found == preemptSearch {
			break
		}
	}
	if best == nil {
		return false
	}
	p.cursor = (p.cursor + 1) % len(p.workers)
	for _, v := range victims {
		s.preempt(v)
	}
	s.reserve(t, best, need)
	return true
}

func compareCost(a, b Resources) int {
	return cmp.Or(cmp.Compare(a.Accelerators, b.Accelerators), cmp.Compare(a.MilliCores, b.MilliCores), cmp.Compare(a.MemoryMB, b.MemoryMB))
}

// victims chooses the normal tasks that make room for need: the latest started first,
// as they lose least work, and then without those that prove unnecessary.
func (s *Scheduler) victims(w *workerState, t *taskState, need Resources, quota bool) ([]*taskState, Resources, bool) {
	team := t.job.team
	enough := func(free, teamFree Resources) bool {
		return need.fits(free) && (quota || need.fits(teamFree))
	}
	var candidates []*taskState
	for _, o := range w.tasks {
		if !o.job.Urgent && o.phase == phaseRunning && (quota || o.job.team == team) {
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

// preempt asks a normal task to save its state and end.
func (s *Scheduler) preempt(t *taskState) {
	t.phase, t.since = phaseCheckpointing, s.now
	s.preempts = append(s.preempts, t)
	s.charge(t, t.charge)
	s.act(ActionCheckpoint, t)
}

func (s *Scheduler) reserve(t *taskState, w *workerState, need Resources) {
	t.phase, t.since, t.charge, t.reserved = phaseWaiting, s.now, need, w
	s.waiting = append(s.waiting, t)
	w.reserved = w.reserved.plus(need)
	w.waiting = append(w.waiting, t)
	w.pool.index(w)
	t.avoid = ""
	t.job.team.used = t.job.team.used.plus(need)
}

func (s *Scheduler) unreserve(t *taskState) {
	w := t.reserved
	if w == nil {
		return
	}
	t.reserved = nil
	w.waiting = slices.DeleteFunc(w.waiting, func(o *taskState) bool { return o == t })
	w.reserved = w.reserved.minus(t.charge)
	t.job.team.used = t.job.team.used.minus(t.charge)
	t.charge = Resources{}
	w.pool.index(w)
	w.pool.dirty = true
}

// startWaiting starts the urgent tasks for which the worker now has room, in order.
func (s *Scheduler) startWaiting(w *workerState) {
	for len(w.waiting) > 0 {
		t := w.waiting[0]
		if !t.charge.fits(w.Capacity.minus(w.used)) || !w.Up {
			return
		}
		s.unreserve(t)
		s.place(t, w)
		s.act(ActionStart, t)
	}
}

// throttled records that a task keeps only part of its processors.
func (s *Scheduler) throttled(t *taskState) {
	if t.phase != phaseThrottling {
		return
	}
	c := t.charge
	c.MilliCores /= throttledShare
	s.charge(t, c)
	s.startWaiting(t.worker)
}

// escalate moves preemptions on: an unanswered checkpoint becomes a throttle, then a
// stop.
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
	elapsed := s.now - t.since
	switch t.phase {
	case phaseCheckpointing:
		if elapsed >= s.settings.CheckpointTimeout {
			s.advance(t, phaseThrottling, ActionThrottle)
		}
	case phaseThrottling:
		// A throttle that made enough room leaves the checkpoint more time.
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
	t.phase, t.since = phase, s.now
	s.act(kind, t)
}

// expireReservations gives up reservations that stay unserved, for instance because a
// task on the worker grew.
func (s *Scheduler) expireReservations() {
	limit := s.settings.CheckpointTimeout + s.settings.ThrottleTimeout + s.settings.ResendAfter
	kept := s.waiting[:0]
	for _, t := range s.waiting {
		if t.phase != phaseWaiting {
			continue
		}
		if s.now-t.since >= limit {
			s.unreserve(t)
			s.enqueue(t)
			continue
		}
		kept = append(kept, t)
	}
	clear(s.waiting[len(kept):])
	s.waiting = kept
}

// cancelQueue holds a pool's cancelled tasks that have not been asked to stop.
type cancelQueue struct {
	tasks  []*taskState
	filled time.Duration // when tokens was last computed
	tokens time.Duration // credit, in time
}

// cancelSome stops cancelled tasks at the pool's rate, with at most one second of credit.
func (s *Scheduler) cancelSome(p *jobPool) {
	q := &p.cancels
	q.tokens = min(q.tokens+s.now-q.filled, time.Second)
	q.filled = s.now
	price := time.Second / time.Duration(max(1, s.settings.CancelsPerSecond))
	for len(q.tasks) > 0 && q.tokens >= price {
		t := q.tasks[0]
		q.tasks = q.tasks[1:]
		if t.worker == nil || !t.cancelled {
			continue
		}
		q.tokens -= price
		if !t.preempting() {
			s.preempts = append(s.preempts, t)
		}
		s.advance(t, phaseStopping, ActionStop)
		s.charge(t, t.charge)
	}
}
