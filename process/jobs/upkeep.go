package jobs

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"marjoramtiller.example/marjoramtiller/job/jobpb"
	"marjoramtiller.example/marjoramtiller/job/state"
)

// Timings of the orders to the machine service.
const (
	listInterval    = 900 * time.Millisecond // between readings while there is a use for them
	machineTimeout  = 2 * time.Second        // of a call to the machine service
	upkeepRetry     = 500 * time.Millisecond
	upkeepCycle     = 3500 * time.Millisecond // from one upkeep's order to the next one's in its place
	upkeepPatience  = 1500 * time.Millisecond // that a machine's short tasks are given to end
	upkeepInterval  = 50 * time.Millisecond   // between looks at the waves
	upkeepLookahead = 1                       // machines that are emptied beyond those that may be out
)

// machineState is what this term knows of one machine of a wave.
type machineState struct {
	ordering    bool
	retryAt     time.Duration
	confirmedAt time.Duration // when the platform confirmed the upkeep
	waits       bool          // a lasting step holds the upkeep up
	cordonedAt  time.Duration // when new tasks were kept away, 0 if they are not
}

// upkeepDriver carries out waves.
type upkeepDriver struct {
	s        *session
	machines map[string]*machineState
	listed   map[string]Machine
	byWorker map[string]string // worker's id to machine
	// unconfirmed are the machines whose upkeep was ordered, also by an earlier
	// leader, and may be carried out at any time.
	unconfirmed map[string]bool
	listedAt    time.Duration // when the last reading was asked for
	listing     bool
	nextList    time.Duration
	next        time.Duration
	spreadAt    time.Duration // before which no run is stopped to spread its step
}

func newUpkeepDriver(s *session) *upkeepDriver {
	return &upkeepDriver{s: s, machines: map[string]*machineState{}}
}

func (u *upkeepDriver) machine(name string) *machineState {
	m := u.machines[name]
	if m == nil {
		m = &machineState{confirmedAt: u.s.began}
		u.machines[name] = m
	}
	return m
}

// cordoned reports whether a worker gets no new tasks since its machine goes out.
func (u *upkeepDriver) cordoned(worker string) bool {
	name := u.byWorker[worker]
	m := u.machines[name]
	return m != nil && m.cordonedAt > 0 || u.unconfirmed[name]
}

// round sends the orders that are due.
func (u *upkeepDriver) round(now time.Duration) {
	if u.s.c.o.Machines == nil || now < u.next {
		return
	}
	u.next = now + upkeepInterval
	u.s.view(func(st *state.Store) {
		var open []*jobpb.Wave
		u.unconfirmed = map[string]bool{}
		for _, w := range st.Waves() {
			if state.WaveCompleted(w) {
				continue
			}
			open = append(open, w)
			for _, wm := range w.Machines {
				if wm.Ordered && !wm.Begun {
					u.unconfirmed[wm.Machine] = true
				}
			}
		}
		u.list(now)
		if u.listed == nil {
			return
		}
		slices.SortFunc(open, func(a, b *jobpb.Wave) int { return cmp.Compare(a.DueMs, b.DueMs) })
		for _, w := range open {
			u.wave(now, st, w)
		}
	})
}

// list reads the platform's list of machines.
func (u *upkeepDriver) list(now time.Duration) {
	if u.listing || now < u.nextList {
		return
	}
	u.listing = true
	u.nextList = now + listInterval
	go func() {
		ctx, cancel := context.WithTimeout(u.s.ctx, machineTimeout)
		defer cancel()
		list, err := u.s.c.o.Machines.List(ctx)
		u.s.post(func() {
			u.listing = false
			if err != nil {
				u.s.log.Warn().Err(err).Msg("the machines could not be listed")
				return
			}
			u.took(now, list)
		})
	}()
}

// took takes a reading of the list. A worker's process has ended if its machine
// is listed as not up, or with another process, unless it was heard from since
// the reading was asked for.
func (u *upkeepDriver) took(asked time.Duration, list []Machine) {
	for _, m := range list {
		before := u.listed[m.Name].WorkerID
		if before != "" && (m.WorkerID != before || !m.Up) {
			u.s.ended(before, asked, m)
		}
	}
	u.listedAt = asked
	u.listed = make(map[string]Machine, len(list))
	u.byWorker = make(map[string]string, len(list))
	for _, m := range list {
		u.listed[m.Name] = m
		u.byWorker[m.WorkerID] = m.Name
	}
}

// out reports whether a machine of a wave may be out for its upkeep.
func (u *upkeepDriver) out(wm *jobpb.WaveMachine) bool {
	m := u.machine(wm.Machine)
	if m.ordering || wm.Ordered && !wm.Begun {
		return true
	}
	if !wm.Begun {
		return false
	}
	listed, there := u.listed[wm.Machine]
	return u.listedAt <= m.confirmedAt || there && !listed.Up
}

// wave orders the next upkeeps of one wave.
func (u *upkeepDriver) wave(now time.Duration, st *state.Store, w *jobpb.Wave) {
	out, left := 0, 0
	var waiting []*jobpb.WaveMachine
	for _, wm := range w.Machines {
		if !wm.Begun {
			left++
		}
		if u.out(wm) {
			out++
		}
		switch {
		case wm.Begun || u.machine(wm.Machine).ordering:
		case u.gone(now, wm.Machine):
			u.record(w, wm.Machine, true)
		case !u.s.holder.mayOrder(now, wm.Machine):
		case wm.Ordered:
			u.orderAgain(now, st, w, wm.Machine)
		default:
			waiting = append(waiting, wm)
		}
	}
	room := int(w.Maximum) - out
	u.sortByLoad(st, waiting)
	rounds := (left + int(w.Maximum) - 1) / max(1, int(w.Maximum))
	hurry := w.DueMs-u.s.nowMs() < int64(rounds)*upkeepCycle.Milliseconds()
	for i, wm := range waiting {
		m := u.machine(wm.Machine)
		if i < room+upkeepLookahead && m.cordonedAt == 0 {
			m.cordonedAt = now
		}
		if room <= 0 || m.cordonedAt == 0 || now < m.retryAt || u.s.moves.moving[wm.Machine] != nil {
			continue
		}
		if !u.workerKnown(st, wm.Machine) {
			continue
		}
		idle := shortTasks(st, u.listed[wm.Machine].WorkerID) == 0
		if !idle && !hurry && now < m.cordonedAt+upkeepPatience {
			continue
		}
		if u.blocked(now, st, w, wm.Machine) {
			continue
		}
		room--
		u.record(w, wm.Machine, false)
	}
}

// orderAgain sends or repeats an order that is in the log and not confirmed. It may
// not have been carried out, so that what runs there by now is ended by this one.
func (u *upkeepDriver) orderAgain(now time.Duration, st *state.Store, w *jobpb.Wave, machine string) {
	if !u.workerKnown(st, machine) || u.blocked(now, st, w, machine) {
		return
	}
	u.order(now, w, machine)
}

// gone reports whether a machine is no longer listed.
func (u *upkeepDriver) gone(now time.Duration, machine string) bool {
	_, there := u.listed[machine]
	return !there && now-u.listedAt < 2*listInterval
}

func (u *upkeepDriver) sortByLoad(st *state.Store, list []*jobpb.WaveMachine) {
	load := map[string]uint64{}
	for _, wm := range list {
		for _, p := range st.Placed(u.listed[wm.Machine].WorkerID) {
			load[wm.Machine] += p.Step.CpuMillis + 1
		}
		if u.machine(wm.Machine).cordonedAt == 0 {
			load[wm.Machine] += 1 << 40 // those that are being emptied come first
		}
	}
	slices.SortStableFunc(list, func(a, b *jobpb.WaveMachine) int {
		return cmp.Or(cmp.Compare(load[a.Machine], load[b.Machine]), cmp.Compare(a.Machine, b.Machine))
	})
}

// shortTasks counts the runs on a worker that end by themselves.
func shortTasks(st *state.Store, worker string) int {
	n := 0
	for _, p := range st.Placed(worker) {
		if !p.Step.Lasting {
			n++
		}
	}
	return n
}

// busy reports whether a machine goes out for upkeep now, or is out.
func (u *upkeepDriver) busy(machine string) bool {
	m := u.machines[machine]
	return m != nil && (m.ordering || m.cordonedAt > 0 || u.justOut(m))
}

// record stores that a machine's upkeep is ordered, and then orders it; or that
// it has begun.
func (u *upkeepDriver) record(w *jobpb.Wave, machine string, begun bool) {
	m := u.machine(machine)
	m.ordering = true
	e := &jobpb.Upkeep{Wave: w.Number, Machine: machine, Begun: begun}
	u.s.add(&jobpb.Entry{Change: &jobpb.Entry_Upkeep{Upkeep: e}}, func(applied bool, err error) {
		m.ordering = false
		if applied && !begun {
			// Tasks may have gone away since the plan, while the log was written.
			u.s.view(func(st *state.Store) { u.orderAgain(u.s.now(), st, w, machine) })
		}
	})
}

// order asks the platform for an upkeep that is in the log. An order without an
// answer is repeated: it is confirmed also if it was carried out before.
func (u *upkeepDriver) order(now time.Duration, w *jobpb.Wave, machine string) {
	m := u.machine(machine)
	if m.ordering || now < m.retryAt || !u.s.c.Leads() {
		return
	}
	m.ordering = true
	go func() {
		ctx, cancel := context.WithTimeout(u.s.ctx, machineTimeout)
		err := u.s.c.o.Machines.Upkeep(ctx, machine, w.Number, u.s.term)
		cancel()
		u.s.post(func() { u.ordered(w, m, machine, err) })
	}()
}

func (u *upkeepDriver) ordered(w *jobpb.Wave, m *machineState, machine string, err error) {
	now := u.s.now()
	m.ordering = false
	u.s.log.Info().Err(err).Uint64("wave", w.Number).Str("machine", machine).Str("worker", u.listed[machine].WorkerID).Msg("upkeep ordered")
	u.s.c.metrics.order("upkeep", err)
	var refused *RefusedError
	settled := err == nil || errors.As(err, &refused) && (refused.Reason == RefusedWave || refused.Reason == RefusedInvalid)
	if !settled {
		m.retryAt = now + upkeepRetry
		return
	}
	m.confirmedAt = now
	m.cordonedAt = 0
	u.record(w, machine, true)
	u.nextList = now // it shows which process has ended
}

// ended notes that a worker's process has ended, as a reading that was asked for
// at asked shows.
func (s *session) ended(id string, asked time.Duration, m Machine) {
	w := s.workers[id]
	if w == nil || w.left > 0 || asked < w.track.LastContact {
		return
	}
	s.log.Info().Str("worker", id).Str("machine", m.Name).Bool("up", m.Up).Str("listed_worker", m.WorkerID).
		Dur("list_age", s.now()-asked).Msg("worker has ended: its machine is listed without it")
	w.left = asked - leaveGrace
}
