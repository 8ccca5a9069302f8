package jobs

import (
	"iter"
	"maps"
	"time"

	"marjoramtiller.example/marjoramtiller/job/evidence"
	"marjoramtiller.example/marjoramtiller/job/jobpb"
	"marjoramtiller.example/marjoramtiller/job/state"
)

// Limits for the availability of lasting steps.
const (
	fullPercent = 100 // reported by a task that is fully available
	// spreadInterval is the time between two runs of a step stopped by spreadRun. Within it
	// a stopped run is reported as available on another worker.
	spreadInterval = 2500 * time.Millisecond
	// listLag is the longest delay between a worker's registration and the first
	// list of machines that names it.
	listLag = evidence.ListLag
)

// workloadKnown reports whether the runs on a machine are known. A new worker can
// register and start tasks while the list of machines still names its predecessor.
// Such an unlisted worker may be on any machine of its pool whose listed worker is
// silent or leaving, or has missed a report: a hold without an answer shows its end
// only when the hold times out.
func (u *upkeepDriver) workloadKnown(st *state.Store, machine string) bool {
	listed := u.listed[machine]
	for _, p := range st.Configuration().Pools {
		if p.Name == listed.Pool && p.Standby {
			return true
		}
	}
	if w := u.s.workers[listed.WorkerID]; w != nil && !w.draining && !w.silent && !w.mayHaveLeft() &&
		u.s.timeSinceContact(u.s.now(), w) <= u.s.c.o.Bounds.ReportInterval+reportMargin {
		return true
	}
	for id, w := range u.s.workers {
		if w.info.Pool == listed.Pool && u.byWorker[id] == "" && u.listedAt < w.knownSince+listLag {
			return false
		}
	}
	return true
}

// blockingRun returns a run on a worker whose lasting step would exceed its limit
// of unavailable tasks if all runs of the worker ended now; nil if there is none.
func (u *upkeepDriver) blockingRun(st *state.Store, workerID string) *state.Placement {
	for p := range u.blockingRuns(st, workerID) {
		return p
	}
	return nil
}

// blockingRuns returns the runs by which lasting steps would exceed their limits of
// unavailable tasks if all runs of a worker ended now.
func (u *upkeepDriver) blockingRuns(st *state.Store, workerID string) iter.Seq[*state.Placement] {
	return func(yield func(*state.Placement) bool) {
		ending := map[*jobpb.StepState]int{}
		for _, p := range st.Placements(workerID) {
			if !p.Step.Lasting || p.Step.MaxUnavailable == 0 || state.Ended(p.Job) {
				continue
			}
			ending[p.State]++
			if u.unavailableElsewhere(p)+ending[p.State] > int(p.Step.MaxUnavailable) && !yield(p) {
				return
			}
		}
	}
}

// blockedByLastingStep reports whether a lasting step blocks a machine's upkeep. If
// the step has too many tasks on the machine, it stops them one by one so that the
// step spreads to other machines; a recorded upkeep would otherwise stay blocked
// forever.
func (u *upkeepDriver) blockedByLastingStep(now time.Duration, st *state.Store, w *jobpb.Wave, machine string) bool {
	run := u.blockingRun(st, u.listed[machine].WorkerID)
	if run == nil {
		return false
	}
	u.logBlocked(w, machine, run)
	u.spreadRun(now, st, run)
	return true
}

// spreadRun stops a run whose step has more tasks on one machine than may be
// unavailable, so that the task restarts on another machine before the upkeep. A run whose
// task can start on no other machine serves on. A stop that has not ended the run is sent
// again.
func (u *upkeepDriver) spreadRun(now time.Duration, st *state.Store, p *state.Placement) {
	w, key := u.s.workers[p.Task.Worker], state.Key(p.Ref)
	if w == nil || w.silent || !w.listedFull(key, p.Task.Run) {
		return
	}
	if u.unavailableElsewhere(p)+u.unavailableOnSameWorker(w, p) >= int(p.Step.MaxUnavailable) {
		return
	}
	if !w.stopping(key, p.Task.Run) {
		if now < u.nextSpreadAt[key.StepKey()] || !u.s.hasHost(now, st, p, w.info.Id) {
			return
		}
		maps.DeleteFunc(u.nextSpreadAt, func(_ state.StepKey, at time.Duration) bool { return at <= now })
		u.nextSpreadAt[key.StepKey()] = now + spreadInterval
		u.machine(u.byWorker[w.info.Id]).cordon.progressAt = now
		u.s.log.Info().Str("request", p.Ref.Job).Uint32("step", p.Ref.Step).Uint32("task", p.Ref.Index).Str("worker", w.info.Id).
			Msg("run stopped to spread its step: too many of its tasks are on one machine that is due for upkeep")
	}
	u.s.stopRun(now, w, key, p)
}

// unavailableOnSameWorker counts the other tasks of a run's step that are on the
// same worker and not fully available.
func (u *upkeepDriver) unavailableOnSameWorker(w *workerState, p *state.Placement) int {
	n := 0
	for i, t := range p.State.Tasks {
		if uint32(i) == p.Ref.Index || t.Worker != p.Task.Worker {
			continue
		}
		if !w.available(siblingKey(p, i), t.Run) {
			n++
		}
	}
	return n
}

// siblingKey returns the key of a task of the same step.
func siblingKey(p *state.Placement, index int) state.TaskKey {
	key := state.Key(p.Ref)
	key.Index = uint32(index)
	return key
}

// available reports whether the worker's last list shows a run as fully available, and
// no stop was sent for it.
func (w *workerState) available(key state.TaskKey, run uint32) bool {
	return w.listedFull(key, run) && !w.stopping(key, run)
}

// listedFull reports whether the worker's last list shows a run as fully available.
func (w *workerState) listedFull(key state.TaskKey, run uint32) bool {
	listed, known := w.listedRuns[key]
	return known && listed.Run == run && listed.Percent >= fullPercent
}

// stopping reports whether a stop was sent for a run.
func (w *workerState) stopping(key state.TaskKey, run uint32) bool {
	r := w.runs[key]
	return r != nil && r.run == run && r.stopSentAt > 0
}

// logBlocked logs which step blocks an upkeep, once for each machine.
func (u *upkeepDriver) logBlocked(w *jobpb.Wave, machine string, p *state.Placement) {
	m := u.machine(machine)
	if m.blockLogged {
		return
	}
	m.blockLogged = true
	u.s.log.Info().Uint64("wave", w.Number).Str("machine", machine).Str("request", p.Ref.Job).Uint32("step", p.Ref.Step).
		Int("away", u.unavailableElsewhere(p)).Uint32("allowed", p.Step.MaxUnavailable).Msg("upkeep waits for a lasting step")
}

// unavailableElsewhere counts the tasks of a lasting step on other workers that are
// not fully available, or whose worker is leaving, since their runs may be stopped
// at any moment. The tasks of a worker that is only cordoned for its upkeep count by
// their actual state.
func (u *upkeepDriver) unavailableElsewhere(p *state.Placement) int {
	unavailable := 0
	for i, t := range p.State.Tasks {
		if uint32(i) == p.Ref.Index || t.Worker == p.Task.Worker {
			continue
		}
		w := u.s.workers[t.Worker]
		if w == nil || w.silent || w.draining || w.mayHaveLeft() || u.upkeepPending(t.Worker) {
			unavailable++
			continue
		}
		if !w.available(siblingKey(p, i), t.Run) {
			unavailable++
		}
	}
	return unavailable
}

// mayStop reports whether a run on a leaving worker may be stopped now. It may not
// while an upkeep is pending that ends another task of its step.
func (u *upkeepDriver) mayStop(p *state.Placement) bool {
	if p.Step.MaxUnavailable == 0 {
		return true
	}
	for _, t := range p.State.Tasks {
		if t.Worker != "" && t.Worker != p.Task.Worker && u.upkeepPending(t.Worker) {
			return false
		}
	}
	return true
}

// mayEnd reports whether a run may be stopped on a worker that serves on: its step does not
// limit its unavailable tasks, or with this one no more are unavailable than it allows.
func (u *upkeepDriver) mayEnd(w *workerState, p *state.Placement) bool {
	if !p.Step.Lasting || p.Step.MaxUnavailable == 0 || state.Ended(p.Job) {
		return true
	}
	return u.mayStop(p) && u.unavailableElsewhere(p)+u.unavailableOnSameWorker(w, p) < int(p.Step.MaxUnavailable)
}

// upkeepPending reports whether the upkeep of a worker's machine is or may be in
// progress without the list of machines showing it yet. An order without an answer
// counts until it is certain not to be carried out any more: otherwise two machines with
// such orders and tasks of one step would wait for each other forever.
func (u *upkeepDriver) upkeepPending(worker string) bool {
	name := u.byWorker[worker]
	m := u.machines[name]
	if m != nil && (m.ordering || u.upkeepNotListed(m)) {
		return true
	}
	return u.unconfirmed[name] && u.s.now() < u.machine(name).attemptedAt+lateUpkeepLimit
}

// upkeepNotListed reports whether an upkeep was confirmed after the last list of
// machines was requested, so that no list shows it yet.
func (u *upkeepDriver) upkeepNotListed(m *machineState) bool {
	return m.confirmedAt > u.s.began && u.listedAt <= m.confirmedAt
}
