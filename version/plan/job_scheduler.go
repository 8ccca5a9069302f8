package plan

import (
	"fmt"
	"slices"
	"time"
)

// Scheduler places the tasks of jobs on workers. It keeps state between decisions so
// that a decision costs time in proportion to what changed. It is not safe for
// concurrent use.
type Scheduler struct {
	settings  JobSettings
	workers   map[string]*workerState
	pools     map[string]*jobPool
	poolOrder []*jobPool // by first use
	teams     map[string]*teamState
	jobs      map[string]*jobState
	tasks     map[string]*taskState
	preempts  []*taskState // tasks under preemption or cancellation, oldest first
	waiting   []*taskState // urgent tasks with a reservation
	actions   []Action
	now       time.Duration
}

// NewScheduler returns a scheduler without workers, teams or jobs.
func NewScheduler(s JobSettings) *Scheduler {
	return &Scheduler{
		settings: s,
		workers:  map[string]*workerState{},
		pools:    map[string]*jobPool{},
		teams:    map[string]*teamState{},
		jobs:     map[string]*jobState{},
		tasks:    map[string]*taskState{},
	}
}

func (s *Scheduler) pool(name string) *jobPool {
	p := s.pools[name]
	if p == nil {
		p = newJobPool(name)
		s.pools[name] = p
		s.poolOrder = append(s.poolOrder, p)
	}
	return p
}

// SetWorker adds a worker or updates it. A worker that changes pool keeps its tasks.
func (s *Scheduler) SetWorker(w Worker) {
	p := s.pool(w.Pool)
	state := s.workers[w.Name]
	if state != nil && state.Worker == w {
		return
	}
	if state == nil {
		state = &workerState{bucketIndex: -1}
		s.workers[w.Name] = state
	}
	if state.pool != p {
		if old := state.pool; old != nil {
			old.removeFromBucket(state)
			old.remove(state)
			old.markWorkersChanged()
			s.boundQuarantine(old)
			s.releaseReservations(state)
			state.inQuarantine = false
		}
		state.Worker, state.pool = w, p
		p.insert(state)
	}
	state.Worker = w
	if !w.Up {
		s.releaseReservations(state)
	}
	p.addToBucket(state)
	p.markWorkersChanged()
}

func (p *jobPool) markWorkersChanged() { p.capacityStale, p.recheck, p.dirty = true, true, true }

// RemoveWorker removes a worker and makes its tasks pending again.
func (s *Scheduler) RemoveWorker(name string) {
	w := s.workers[name]
	if w == nil {
		return
	}
	s.releaseReservations(w)
	for _, t := range slices.Clone(w.tasks) {
		s.Event(t.name, TaskLost)
	}
	w.pool.removeFromBucket(w)
	w.pool.remove(w)
	w.pool.markWorkersChanged()
	s.boundQuarantine(w.pool)
	delete(s.workers, name)
}

// releaseReservations releases all reservations on the worker and makes their urgent
// tasks pending again.
func (s *Scheduler) releaseReservations(w *workerState) {
	for _, t := range slices.Clone(w.waiting) {
		s.unreserve(t)
		s.enqueue(t)
	}
}

// SetTeam adds a team or changes its quota.
func (s *Scheduler) SetTeam(t Team) {
	state := s.team(t.Name)
	state.Team, state.declared = t, true
	for _, p := range s.poolOrder {
		p.recheck, p.dirty = true, true
	}
}

func (s *Scheduler) team(name string) *teamState {
	t := s.teams[name]
	if t == nil {
		t = &teamState{Team: Team{Name: name}}
		s.teams[name] = t
	}
	return t
}

// SetJob adds a job. If the job exists with another declaration, SetJob cancels it and
// reports false until its tasks have stopped; the next call then adds the new declaration.
func (s *Scheduler) SetJob(j Job) bool {
	if old := s.jobs[j.Name]; old != nil {
		if old.Job == j && !old.beingCancelled {
			return true
		}
		s.CancelJob(j.Name)
		if s.jobs[j.Name] != nil {
			return false
		}
	}
	p := s.pool(j.Pool)
	state := &jobState{Job: j, team: s.team(j.Team)}
	s.jobs[j.Name] = state
	for i := range j.Count {
		t := &taskState{name: fmt.Sprintf("%s/%d", j.Name, i), job: state}
		s.tasks[t.name] = t
		state.tasks = append(state.tasks, t)
		state.pending = append(state.pending, t)
	}
	state.reason = s.cannotRunReason(state)
	p.jobs = append(p.jobs, state)
	p.dirty = true
	return true
}

// Adopt records a pending task as already running, after a restart of the driver. It
// reports false if the task is not pending, or the task or the worker is unknown.
func (s *Scheduler) Adopt(task, worker string, startedAt time.Duration, attempt uint64) bool {
	t, w := s.tasks[task], s.workers[worker]
	if t == nil || w == nil || t.phase != phasePending {
		return false
	}
	t.job.pending = slices.DeleteFunc(t.job.pending, func(o *taskState) bool { return o == t })
	s.place(t, w)
	t.started, t.phaseSince, t.attempt = startedAt, startedAt, attempt
	return true
}

// CancelJob removes a job. Its pending tasks are removed at once; placed ones are stopped
// at the limited rate of their pool.
func (s *Scheduler) CancelJob(name string) {
	j := s.jobs[name]
	if j == nil || j.beingCancelled {
		return
	}
	j.beingCancelled = true
	p := s.pools[j.Pool]
	var placed []*taskState
	for _, t := range j.tasks {
		s.unreserve(t)
		if t.worker == nil {
			delete(s.tasks, t.name)
			t.phase = phasePending
			continue
		}
		t.cancelled = true
		placed = append(placed, t)
	}
	p.cancels.tasks = append(p.cancels.tasks, placed...)
	j.tasks, j.pending = placed, nil
	p.jobs = slices.DeleteFunc(p.jobs, func(o *jobState) bool { return o == j })
	p.dirty = true
	s.removeJobIfEmpty(j)
}

func (s *Scheduler) removeTask(t *taskState) {
	delete(s.tasks, t.name)
	t.job.tasks = slices.DeleteFunc(t.job.tasks, func(o *taskState) bool { return o == t })
}

func (s *Scheduler) removeJobIfEmpty(j *jobState) {
	if len(j.tasks) == 0 && s.jobs[j.Name] == j {
		delete(s.jobs, j.Name)
	}
}

// Event records an event that the platform reports for a task. Events of unknown or
// unplaced tasks are ignored, so that a repeated report has no effect.
func (s *Scheduler) Event(task string, e TaskEvent) {
	t := s.tasks[task]
	if t == nil || t.worker == nil {
		return
	}
	if e == TaskThrottled {
		s.recordThrottle(t)
		return
	}
	w := t.worker
	switch e {
	case TaskDone:
		s.recordSuccess(t)
	case TaskFailed:
		s.recordFailure(t, w)
	case TaskLost:
		s.recordLoss(t)
	}
	s.unplace(t)
	if e == TaskDone || t.cancelled {
		s.removeTask(t)
		s.removeJobIfEmpty(t.job)
	} else {
		s.enqueue(t)
	}
	s.startWaiting(w)
}

// enqueue makes a task pending, ahead of the job's other tasks.
func (s *Scheduler) enqueue(t *taskState) {
	t.phase = phasePending
	j := t.job
	p := s.pools[j.Pool]
	if len(j.pending) == 0 && !slices.Contains(p.jobs, j) {
		p.jobs = append(p.jobs, j)
	}
	j.pending = slices.Insert(j.pending, 0, t)
	p.dirty = true
}

// Decide returns the actions to take at now. It must be called at every control interval
// and after events.
func (s *Scheduler) Decide(now time.Duration) []Action {
	s.now = max(s.now, now)
	for _, p := range s.poolOrder {
		s.updateQuarantine(p)
		s.stopCancelled(p)
		if p.recheck {
			s.recheckJobs(p)
		}
	}
	s.escalate()
	s.expireReservations()
	for _, p := range s.poolOrder {
		if p.dirty || p.retryDue(s.now) {
			p.dirty = false
			s.schedule(p)
		}
	}
	out := s.actions
	s.actions = nil
	return out
}

func (s *Scheduler) addAction(kind ActionKind, t *taskState) {
	s.actions = append(s.actions, Action{kind, t.name, t.worker.Name, t.attempt})
}
