package jobs

import (
	"time"

	"marjoramtiller.example/marjoramtiller/job/state"
)

// A machine that is due for upkeep is cordoned: its worker gets no new tasks, so that what
// runs there ends or moves before the upkeep is ordered. A cordon may neither keep out the
// tasks that the upkeep waits for, nor last for long while the upkeep can't be ordered.

// Limits of cordons.
const (
	upkeepLookahead = 1 // machines cordoned in advance, beyond those that may be out
	// cordonLimit is the time for which a machine stays cordoned without an order for its
	// upkeep or a run that was stopped to spread its step.
	cordonLimit = 2 * upkeepCycle
	// cordonPause is the time for which a machine gets tasks again after cordonLimit.
	cordonPause = upkeepCycle
	// hostlessLimit is the time for which a cordoned machine may be blocked by a step that no
	// other worker can take a task of.
	hostlessLimit = time.Second
)

// cordon is the state of a machine's cordon. The zero value is that of a machine that has
// never been cordoned.
type cordon struct {
	since         time.Duration // when it was set, 0 if it is not
	progressAt    time.Duration // when it was set or last let a run be stopped to spread its step
	hostlessSince time.Duration // since when a step without another host blocks the upkeep, 0 if none does
	pausedUntil   time.Duration // before which it is not set again
}

func (c *cordon) set() bool { return c.since > 0 }

// cordoned reports whether a worker gets no new tasks because its machine is due for
// upkeep, or its upkeep was confirmed and no list of machines shows its end yet.
func (u *upkeepDriver) cordoned(worker string) bool {
	name := u.byWorker[worker]
	m := u.machines[name]
	if m != nil && (m.cordon.set() || u.upkeepNotListed(m)) {
		return true
	}
	return u.unconfirmed[name] && (m == nil || !m.released)
}

// updateCordon sets or lifts the cordon of a machine that waits for its upkeep, and reports
// whether it is set. free reports that one more machine may be cordoned.
func (u *upkeepDriver) updateCordon(now time.Duration, st *state.Store, machine string, free bool) bool {
	c := &u.machine(machine).cordon
	if !c.set() && (!free || now < c.pausedUntil) {
		return false
	}
	blocking := u.hostlessRun(now, st, machine)
	switch {
	case blocking == nil:
		c.hostlessSince = 0
	case !c.set():
		return false
	case c.hostlessSince == 0:
		c.hostlessSince = now
	case now >= c.hostlessSince+hostlessLimit:
		u.s.log.Info().Str("machine", machine).Str("request", blocking.Ref.Job).Uint32("step", blocking.Ref.Step).Dur("cordoned", now-c.since).
			Msg("machine no longer cordoned: tasks of a lasting step that blocks its upkeep can start on no other worker")
		*c = cordon{}
		return false
	}
	if !c.set() {
		if u.hostOfCordoned(now, st, machine) {
			return false
		}
		*c = cordon{since: now, progressAt: now}
	}
	return true
}

// expireCordon lifts a cordon under which the upkeep could not be ordered for cordonLimit.
func (u *upkeepDriver) expireCordon(now time.Duration, machine string) {
	c := &u.machine(machine).cordon
	if now < c.progressAt+cordonLimit {
		return
	}
	u.s.log.Info().Str("machine", machine).Dur("cordoned", now-c.since).Dur("pause", cordonPause).
		Msg("machine no longer cordoned for now: its upkeep could not be ordered")
	*c = cordon{pausedUntil: now + cordonPause}
}

// hostOfCordoned reports whether a machine's worker is the last one on which tasks can start
// that the upkeep of an already cordoned machine waits for.
func (u *upkeepDriver) hostOfCordoned(now time.Duration, st *state.Store, machine string) bool {
	worker := u.listed[machine].WorkerID
	for name, m := range u.machines {
		if name != machine && (m.cordon.set() || u.unconfirmed[name]) && u.hostlessRun(now, st, name, worker) != nil {
			return true
		}
	}
	return false
}

// hostlessRun returns a run that blocks the upkeep of a machine until a task of its step has
// started elsewhere, although no worker other than the machine's own and those excluded can
// take that task; nil if there is none.
func (u *upkeepDriver) hostlessRun(now time.Duration, st *state.Store, machine string, excluded ...string) *state.Placement {
	worker := u.listed[machine].WorkerID
	for p := range u.blockingRuns(st, worker) {
		if waitsForHost(p) && !u.s.hasHost(now, st, p, append(excluded, worker)...) {
			return p
		}
	}
	return nil
}

// waitsForHost reports whether an upkeep that a run blocks must wait until a task of its
// step has started on another worker: one waits, or too many of them are on the worker.
func waitsForHost(p *state.Placement) bool {
	onWorker := 0
	for _, t := range p.State.Tasks {
		if state.Waiting(t) {
			return true
		}
		if t.Worker == p.Task.Worker {
			onWorker++
		}
	}
	return onWorker > int(p.Step.MaxUnavailable)
}
