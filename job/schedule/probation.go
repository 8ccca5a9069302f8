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
// they get a turn in a pool in which every worker starts tasks all the time. Plans choose
// the worker without a start for the longest time, and so the same one again.
func (p *planner) reserveForProbation(list []candidate) {
	reserved := map[string]int{}
	for _, c := range list {
		pool := c.job.Pool
		if !c.probationDue() || reserved[pool] >= max(1, len(p.byPool[pool])/reservedDivisor) {
			continue
		}
		if w := p.quietestWorker(c); w != nil {
			w.reservedFor = c.job.Id
			reserved[pool]++
		}
	}
}

// probationDue reports whether a task on probation of a candidate waits.
func (c candidate) probationDue() bool {
	return slices.ContainsFunc(c.state.Tasks, func(t *jobpb.Task) bool {
		return state.Waiting(t) && onProbation(t)
	})
}

// quietestWorker returns the worker to reserve for a candidate: first those on which its
// task fits now, then the one without a start for the longest time.
func (p *planner) quietestWorker(c candidate) *Worker {
	step := c.job.Steps[c.step]
	key := state.StepKey{Job: c.job.Id, Occurrence: c.occurrence, Step: uint32(c.step)}
	var best *Worker
	bestFits := false
	for _, w := range p.byPool[c.job.Pool] {
		if w.reservedFor != "" || w.probationJob != "" || !HasLabel(w.Labels, step) {
			continue
		}
		fits := Eligible(w, key, step, nil)
		if best == nil || fits && !bestFits || fits == bestFits && w.LastStart < best.LastStart {
			best, bestFits = w, fits
		}
	}
	return best
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
