package jobs

import (
	"time"

	"marjoramtiller.example/marjoramtiller/job/jobpb"
	"marjoramtiller.example/marjoramtiller/job/state"
)

// What counts as away, and for how long.
const (
	fullPercent    = 100
	spreadInterval = 2500 * time.Millisecond // in which a stopped run is seen at work elsewhere
	listLag        = time.Second             // by which a list may name a worker later than it registers
)

// workerKnown reports whether what runs on a machine is known. A worker can
// register, and be given tasks, before a list names it, while the one before is
// still listed. It may run on any machine whose listed worker does not answer or
// leaves.
func (u *upkeepDriver) workerKnown(st *state.Store, machine string) bool {
	listed := u.listed[machine]
	for _, p := range st.Configuration().Pools {
		if p.Name == listed.Pool && p.Standby {
			return true
		}
	}
	if w := u.s.workers[listed.WorkerID]; w != nil && !w.draining && !w.silent && w.left == 0 {
		return true
	}
	for id, w := range u.s.workers {
		if w.info.Pool == listed.Pool && u.byWorker[id] == "" && u.listedAt < w.since+listLag {
			return false
		}
	}
	return true
}

// blocker returns a run that must not be ended now, since its lasting step would
// have more tasks away than it allows; nil if there is none.
func (u *upkeepDriver) blocker(st *state.Store, workerID string) *state.Placement {
	ending := map[*jobpb.StepState]int{}
	for _, p := range st.Placed(workerID) {
		if p.Step.Lasting && p.Step.MaxUnavailable > 0 && !state.Ended(p.Job) {
			ending[p.State]++
			if u.away(p)+ending[p.State] > int(p.Step.MaxUnavailable) {
				return p
			}
		}
	}
	return nil
}

// blocked reports whether a lasting step holds a machine's upkeep up. It makes room
// where the step has too many tasks on the machine: an upkeep that is in the log
// would otherwise wait for them without an end.
func (u *upkeepDriver) blocked(now time.Duration, st *state.Store, w *jobpb.Wave, machine string) bool {
	blocker := u.blocker(st, u.listed[machine].WorkerID)
	if blocker == nil {
		return false
	}
	u.explainWait(w, machine, blocker)
	u.spread(now, blocker)
	return true
}

// spread stops a run whose step has more tasks on one machine than may be away,
// so that it begins elsewhere before the machine goes out.
func (u *upkeepDriver) spread(now time.Duration, p *state.Placement) {
	w := u.s.workers[p.Task.Worker]
	if w == nil || u.away(p)+u.notAtWork(w, p) >= int(p.Step.MaxUnavailable) || now < u.spreadAt || !u.atWork(w, p) {
		return
	}
	u.spreadAt = now + spreadInterval
	u.s.log.Info().Str("request", p.Ref.Job).Uint32("step", p.Ref.Step).Uint32("task", p.Ref.Index).Str("worker", w.info.Id).
		Msg("run stopped: its step has too many tasks on one machine")
	u.s.stopRun(now, w, state.Key(p.Ref), p)
}

// notAtWork counts the other tasks of a run's step on its own worker that are not
// fully at work.
func (u *upkeepDriver) notAtWork(w *workerState, p *state.Placement) int {
	n := 0
	for i, t := range p.State.Tasks {
		if uint32(i) == p.Ref.Index || t.Worker != p.Task.Worker {
			continue
		}
		ref := &jobpb.TaskRef{Job: p.Ref.Job, Occurrence: p.Ref.Occurrence, Step: p.Ref.Step, Index: uint32(i)}
		if !u.atWork(w, &state.Placement{Ref: ref, Task: t}) {
			n++
		}
	}
	return n
}

// atWork reports whether a run was fully at work in its worker's last list.
func (u *upkeepDriver) atWork(w *workerState, p *state.Placement) bool {
	run, known := w.load[state.Key(p.Ref)]
	return known && run.Run == p.Task.Run && run.Percent >= fullPercent
}

// explainWait logs which step holds an upkeep up, once for each machine.
func (u *upkeepDriver) explainWait(w *jobpb.Wave, machine string, p *state.Placement) {
	m := u.machine(machine)
	if m.waits {
		return
	}
	m.waits = true
	u.s.log.Info().Uint64("wave", w.Number).Str("machine", machine).Str("request", p.Ref.Job).Uint32("step", p.Ref.Step).
		Int("away", u.away(p)).Uint32("allowed", p.Step.MaxUnavailable).Msg("upkeep waits for a lasting step")
}

// away counts the other tasks of a lasting step that are not fully at work, or on a
// worker that leaves: they are stopped at any moment. A worker that is emptied for
// its own upkeep counts as it is.
func (u *upkeepDriver) away(p *state.Placement) int {
	n := 0
	for i, t := range p.State.Tasks {
		if uint32(i) == p.Ref.Index || t.Worker == p.Task.Worker {
			continue
		}
		w := u.s.workers[t.Worker]
		if w == nil || w.silent || w.draining || w.left > 0 || u.leaving(t.Worker) {
			n++
			continue
		}
		key := state.Key(p.Ref)
		key.Index = uint32(i)
		run, known := w.load[key]
		stopping := w.runs[key] != nil && w.runs[key].run == t.Run && w.runs[key].stopAt > 0
		if !known || run.Run != t.Run || run.Percent < fullPercent || stopping {
			n++
		}
	}
	return n
}

// mayStop reports whether a run on a worker that leaves may be stopped now: not
// while an upkeep that takes another task of its step is on its way.
func (u *upkeepDriver) mayStop(p *state.Placement) bool {
	if p.Step.MaxUnavailable == 0 {
		return true
	}
	for _, t := range p.State.Tasks {
		if t.Worker != "" && t.Worker != p.Task.Worker && u.leaving(t.Worker) {
			return false
		}
	}
	return true
}

// leaving reports whether the order for a worker's machine is on its way, or may be.
func (u *upkeepDriver) leaving(worker string) bool {
	name := u.byWorker[worker]
	m := u.machines[name]
	return m != nil && (m.ordering || u.justOut(m)) || u.unconfirmed[name]
}

// justOut reports whether an upkeep was confirmed that no list shows yet.
func (u *upkeepDriver) justOut(m *machineState) bool {
	return m.confirmedAt > u.s.began && u.listedAt <= m.confirmedAt
}
