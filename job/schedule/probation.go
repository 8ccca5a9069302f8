package schedule

import (
	"slices"
	"time"

	"marjoramtiller.example/marjoramtiller/job/jobpb"
	"marjoramtiller.example/marjoramtiller/job/state"
)

// A task whose run may have crashed a worker is on probation: it starts where its next
// crash harms few others and shows whether it was the cause. This answers a load in which
// a few tasks crash every worker that starts them, beside many sound tasks that share
// these workers.
const (
	// ProbationTime is how long after its start a task may crash its worker by starting.
	// A task on probation starts only on a worker without a younger start of another job,
	// and no other job starts there for that long after it.
	ProbationTime = 250 * time.Millisecond
	// reservedDivisor limits the workers of a pool that are kept free of other starts for
	// tasks on probation to this part of them, but at least one.
	reservedDivisor = 3
)

// onProbation reports whether a run of a task may have crashed a worker.
func onProbation(t *jobpb.Task) bool { return t.Crashes > 0 }

// AddRecentStart adds a start on a worker that is younger than ProbationTime.
func (w *Worker) AddRecentStart(job string, onProbation bool) {
	w.recentJobs = append(w.recentJobs, job)
	if onProbation {
		w.probationJob = job
	}
}

// admits reports whether a task of a job may start beside the recent starts on a worker.
func (w *Worker) admits(job string, probation bool) bool {
	if w.reservedFor != "" && w.reservedFor != job || w.probationJob != "" && w.probationJob != job {
		return false
	}
	return !probation || w.quiet(job)
}

// quiet reports whether a worker has no recent start of another job.
func (w *Worker) quiet(job string) bool {
	return !slices.ContainsFunc(w.recentJobs, func(other string) bool { return other != job })
}

// reserveForProbation keeps workers free of other starts for tasks on probation, so that
// they get a turn in a pool in which every worker starts tasks all the time. A worker is
// reserved only if the task can start there once the short runs there have ended, and only
// for reservationLimit.
func (p *planner) reserveForProbation(list []candidate) {
	held := p.input.Reservations
	held.begin(p.input.Now)
	reserved := map[string][]*Worker{}
	for _, c := range list {
		pool, step := c.job.Pool, c.job.Steps[c.step]
		if !c.probationDue() || reservedEnough(p.byPool[pool], reserved[pool], step) {
			continue
		}
		if w := p.workerToReserve(c); w != nil {
			w.reservedFor = c.job.Id
			reserved[pool] = append(reserved[pool], w)
			held.renew(p.input.Now, w.ID, c.job.Id)
		}
	}
	held.end()
}

// reservedEnough reports whether no more workers of a pool may be reserved, or none of those
// that have the label which a step requires.
func reservedEnough(pool, reserved []*Worker, step *jobpb.Step) bool {
	if len(reserved) >= max(1, len(pool)/reservedDivisor) {
		return true
	}
	if step.RequiredLabel == "" {
		return false
	}
	return countLabelled(reserved, step) >= max(1, countLabelled(pool, step)/reservedDivisor)
}

// countLabelled returns the number of workers with the label that a step requires.
func countLabelled(list []*Worker, step *jobpb.Step) (n int) {
	for _, w := range list {
		if HasLabel(w.Labels, step) {
			n++
		}
	}
	return n
}

// probationDue reports whether a task on probation of a candidate waits.
func (c candidate) probationDue() bool {
	return slices.ContainsFunc(c.state.Tasks, func(t *jobpb.Task) bool {
		return state.Waiting(t) && onProbation(t)
	})
}

// workerToReserve returns the worker to reserve for a candidate: the one that was reserved
// for it, then those on which its task fits now, then the one without a start for the
// longest time; nil if its task can start on none.
func (p *planner) workerToReserve(c candidate) *Worker {
	step := c.job.Steps[c.step]
	key := state.StepKey{Job: c.job.Id, Occurrence: c.occurrence, Step: uint32(c.step)}
	var tickets map[string]string
	if c.needsAdvice {
		var ok bool
		if tickets, ok = p.input.Advice(key); !ok {
			return nil
		}
	}
	var best *Worker
	bestFits := false
	for _, w := range p.byPool[c.job.Pool] {
		if w.reservedFor != "" || w.probationJob != "" || p.input.Reservations.resting(w.ID) {
			continue
		}
		fits := Eligible(w, key, step, tickets)
		if !fits && !Eligible(p.withoutShortRuns(w), key, step, tickets) {
			continue
		}
		switch {
		case p.input.Reservations.heldFor(w.ID, c.job.Id):
			return w
		case best == nil, fits && !bestFits, fits == bestFits && w.LastStart < best.LastStart:
			best, bestFits = w, fits
		}
	}
	return best
}

// withoutShortRuns returns a worker as it is once all runs on it have ended that end by
// themselves. Its plan lasts as long as p.
func (p *planner) withoutShortRuns(w *Worker) *Worker {
	if known := p.vacated[w.ID]; known != nil {
		return known
	}
	vacated := *w
	vacated.plannedTasks = nil
	vacated.Steps = map[state.StepKey]int{}
	for _, run := range p.input.Store.Placements(w.ID) {
		key := state.Key(run.Ref).StepKey()
		if run.Step.Lasting {
			vacated.Steps[key] = w.Steps[key]
			continue
		}
		var load state.Load
		load.Add(key, run.Step, -1)
		steps := vacated.Steps
		vacated.AddLoad(&load)
		vacated.Steps = steps
	}
	if p.vacated == nil {
		p.vacated = map[string]*Worker{}
	}
	p.vacated[w.ID] = &vacated
	return &vacated
}

// betterForProbation reports whether a is a better worker than b for a task on probation:
// an emptier one, since its crash costs fewer runs.
func betterForProbation(a, b *Worker) bool {
	if a.Penalty != b.Penalty {
		return a.Penalty < b.Penalty
	}
	if a.CPU != b.CPU {
		return a.CPU > b.CPU
	}
	return a.ID < b.ID
}
