package jobs

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"marjoramtiller.example/marjoramtiller/job/jobpb"
	"marjoramtiller.example/marjoramtiller/job/orders"
	"marjoramtiller.example/marjoramtiller/job/state"
)

// Timings of the orders to the machine service.
const (
	listInterval       = 900 * time.Millisecond // between two requests for the list of machines
	machineCallTimeout = 2 * time.Second        // of a call to the machine service
	upkeepRetryDelay   = 500 * time.Millisecond
	// upkeepCycle is the time from the order of an upkeep to the order of the next
	// one that replaces it among the machines that may be out at once.
	upkeepCycle    = 3500 * time.Millisecond
	shortTaskGrace = 1500 * time.Millisecond // for the short tasks of a cordoned machine to end
	upkeepInterval = 50 * time.Millisecond   // between two rounds over the waves
	// absentLists is the number of whole lists in a row without a machine or a worker from
	// which it counts as gone. A list is read in pages and may change between them.
	absentLists = 2
	// lateUpkeepLimit is the time after which an order without an answer is no longer
	// carried out.
	lateUpkeepLimit = 15 * time.Second
)

// machineState is this term's state of one machine of a wave.
type machineState struct {
	ordering    bool          // a log entry or an order for it is in flight
	retryAt     time.Duration // earliest next order after a failed one
	attemptedAt time.Duration // when the last order was sent; the start of the term if none was
	confirmedAt time.Duration // when the platform confirmed the upkeep; the start of the term if it has not
	blockLogged bool          // the log line about a blocking step was written
	cordon      cordon
	absent      int // lists in a row that do not name it
	// released reports that it gets tasks although an order for its upkeep is in the log: none
	// can be carried out any more, and tasks that block the next one can start nowhere else.
	released bool
}

// upkeepDriver carries out waves: it cordons their machines and orders the upkeeps.
type upkeepDriver struct {
	s        *session
	machines map[string]*machineState
	listed   map[string]Machine // last list of machines by name, nil before the first one
	byWorker map[string]string  // machine names by worker ID
	// unconfirmed holds the machines whose upkeep was ordered by this leader or an
	// earlier one without a confirmation; it may be carried out at any time.
	unconfirmed  map[string]bool
	dueMachines  map[string]bool // of open waves, whose upkeep has not begun
	listedAt     time.Duration   // when the last list was requested
	listing      bool            // a request for the list is in flight
	nextListAt   time.Duration
	nextRoundAt  time.Duration
	nextSpreadAt map[state.StepKey]time.Duration // before which no further run of a step is stopped to spread it
}

func newUpkeepDriver(s *session) *upkeepDriver {
	return &upkeepDriver{s: s, machines: map[string]*machineState{}, nextSpreadAt: map[state.StepKey]time.Duration{}}
}

func (u *upkeepDriver) machine(name string) *machineState {
	m := u.machines[name]
	if m == nil {
		m = &machineState{confirmedAt: u.s.began, attemptedAt: u.s.began}
		u.machines[name] = m
	}
	return m
}

// due reports whether a worker's machine has its upkeep ahead.
func (u *upkeepDriver) due(worker string) bool { return u.dueMachines[u.byWorker[worker]] }

// round refreshes the list of machines and processes the open waves in the order
// of their due times.
func (u *upkeepDriver) round(now time.Duration) {
	if u.s.c.o.Machines == nil || now < u.nextRoundAt {
		return
	}
	u.nextRoundAt = now + upkeepInterval
	u.s.view(func(st *state.Store) {
		var open []*jobpb.Wave
		u.unconfirmed = map[string]bool{}
		u.dueMachines = map[string]bool{}
		for _, w := range st.Waves() {
			if state.WaveCompleted(w) {
				continue
			}
			open = append(open, w)
			for _, wm := range w.Machines {
				if wm.Begun {
					continue
				}
				u.dueMachines[wm.Machine] = true
				if wm.Ordered {
					u.unconfirmed[wm.Machine] = true
				}
			}
		}
		u.refreshList(now)
		if u.listed == nil {
			return
		}
		slices.SortFunc(open, func(a, b *jobpb.Wave) int { return cmp.Compare(a.DueMs, b.DueMs) })
		for _, w := range open {
			u.processWave(now, st, w)
		}
	})
}

// refreshList requests the platform's list of machines if it is due.
func (u *upkeepDriver) refreshList(now time.Duration) {
	if u.listing || now < u.nextListAt {
		return
	}
	u.listing = true
	u.nextListAt = now + listInterval
	go func() {
		ctx, cancel := context.WithTimeout(u.s.ctx, machineCallTimeout)
		defer cancel()
		list, err := u.s.c.o.Machines.List(ctx)
		u.s.post(func() {
			u.listing = false
			if err != nil {
				u.s.log.Warn().Err(err).Msg("list of machines could not be read from the machine service; it is requested again")
				return
			}
			if list.Unreadable > 0 {
				u.s.log.Warn().Int("unreadable", list.Unreadable).Int("machines", len(list.Machines)).
					Msg("entries of the list of machines can't be read: the earlier ones of their machines are kept")
			}
			u.applyList(now, list)
		})
	}()
}

// applyList stores a list of machines. A worker's process has ended if its machine is
// listed as not up or with another worker. If the worker was in contact after the list was
// requested, the next list decides. A message that was delayed on its way may count as such
// a contact although the worker sent it before.
func (u *upkeepDriver) applyList(requestedAt time.Duration, list MachineList) {
	if list.Unreadable == 0 {
		for _, w := range u.s.workers {
			w.endUnsettled = false
		}
	}
	for _, m := range list.Machines {
		previous := u.listed[m.Name].WorkerID
		if w := u.s.workers[previous]; w != nil {
			w.endUnsettled = false
		}
		if previous != "" && (m.WorkerID != previous || !m.Up) {
			u.s.markWorkerEnded(previous, requestedAt, m)
		}
	}
	earlier := u.listed
	u.listed = make(map[string]Machine, len(list.Machines))
	if list.Unreadable == 0 {
		u.endUnlistedWorkers(requestedAt, list.Machines)
		u.recordAbsence(requestedAt, list.Machines)
		u.countAbsent(list.Machines)
	} else {
		for name, m := range earlier {
			m.Up = false // not known: the unreadable entry may be that of this machine
			u.listed[name] = m
		}
	}
	u.listedAt = requestedAt
	for _, m := range list.Machines {
		u.listed[m.Name] = m
	}
	u.byWorker = make(map[string]string, len(u.listed))
	for _, m := range u.listed {
		u.byWorker[m.WorkerID] = m.Name
		if w := u.s.workers[m.WorkerID]; w != nil {
			w.machine = m.Name
		}
	}
}

// recordAbsence notes which of the workers that have ended have no process under their id:
// their machine is listed without it, or several lists in a row lack the machine.
func (u *upkeepDriver) recordAbsence(requestedAt time.Duration, list []Machine) {
	listed := make(map[string]Machine, len(list))
	for _, m := range list {
		listed[m.Name] = m
	}
	for id, w := range u.s.workers {
		if !w.listedAsEnded {
			continue
		}
		m, named := listed[w.machine]
		if named && (!m.Up || m.WorkerID != id) || !named && w.absent >= absentLists {
			w.absentAt = requestedAt
		}
	}
}

// countAbsent counts the lists in a row that do not name a machine of a wave.
func (u *upkeepDriver) countAbsent(list []Machine) {
	named := make(map[string]bool, len(list))
	for _, m := range list {
		named[m.Name] = true
	}
	for name, m := range u.machines {
		m.absent++
		if named[name] {
			m.absent = 0
		}
	}
}

// endUnlistedWorkers marks workers as ended that no list names any more, or none has named
// yet, although they have been silent since: their machine is not known or is gone.
func (u *upkeepDriver) endUnlistedWorkers(requestedAt time.Duration, list []Machine) {
	named := make(map[string]bool, len(list))
	for _, m := range list {
		named[m.WorkerID] = true
	}
	for id, w := range u.s.workers {
		knownSince := max(u.s.began, w.knownSince)
		if named[id] || requestedAt < knownSince+listLag || requestedAt < w.track.LastContact {
			w.absent = 0
			continue
		}
		w.absent++
		if w.absent >= absentLists {
			u.s.markWorkerEnded(id, requestedAt, Machine{Name: w.machine})
		}
	}
}

// mayBeOut reports whether a machine of a wave may be out for its upkeep.
func (u *upkeepDriver) mayBeOut(wm *jobpb.WaveMachine) bool {
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

// processWave cordons the next machines of a wave and orders the upkeeps that are
// possible now.
func (u *upkeepDriver) processWave(now time.Duration, st *state.Store, w *jobpb.Wave) {
	out, remaining := 0, 0
	var waiting []*jobpb.WaveMachine
	for _, wm := range w.Machines {
		if !wm.Begun {
			remaining++
		}
		if u.mayBeOut(wm) {
			out++
		}
		switch {
		case wm.Begun || u.machine(wm.Machine).ordering:
		case u.removedFromList(now, wm.Machine):
			u.s.log.Warn().Uint64("wave", w.Number).Str("machine", wm.Machine).Int("lists", u.machine(wm.Machine).absent).Int("listed_machines", len(u.listed)).
				Dur("list_age", now-u.listedAt).Msg("machine counts as removed: lists of machines do not name it; its wave goes on without it")
			u.recordUpkeep(w, wm.Machine, true)
		case !u.s.orderGate.mayOrder(now, wm.Machine):
		case wm.Ordered:
			u.sendRecordedOrder(now, st, w, wm.Machine)
		default:
			waiting = append(waiting, wm)
		}
	}
	allowed := int(w.Maximum) - out
	free := allowed + upkeepLookahead
	u.sortByLoad(st, waiting)
	rounds := (remaining + int(w.Maximum) - 1) / max(1, int(w.Maximum))
	urgent := w.DueMs-u.s.nowMs() < int64(rounds)*upkeepCycle.Milliseconds()
	for _, wm := range waiting {
		m := u.machine(wm.Machine)
		if !u.updateCordon(now, st, wm.Machine, free > 0) {
			continue
		}
		free--
		if allowed <= 0 || now < m.retryAt || !u.upkeepPossible(now, st, w, wm.Machine, urgent) {
			u.expireCordon(now, wm.Machine)
			continue
		}
		allowed--
		u.recordUpkeep(w, wm.Machine, false)
	}
}

// upkeepPossible reports whether the upkeep of a cordoned machine may be ordered now. An
// urgent one does not wait for short tasks.
func (u *upkeepDriver) upkeepPossible(now time.Duration, st *state.Store, w *jobpb.Wave, machine string, urgent bool) bool {
	if u.s.moves.moving[machine] != nil || !u.workloadKnown(st, machine) {
		return false
	}
	idle := countShortTasks(st, u.listed[machine].WorkerID) == 0
	if !idle && !urgent && now < u.machine(machine).cordon.since+shortTaskGrace {
		return false
	}
	return !u.blockedByLastingStep(now, st, w, machine)
}

// sendRecordedOrder sends or repeats an order that is in the log and not confirmed. The
// conditions are checked again: if no earlier attempt was carried out, this one ends
// whatever runs on the machine by now.
func (u *upkeepDriver) sendRecordedOrder(now time.Duration, st *state.Store, w *jobpb.Wave, machine string) {
	u.machine(machine).released = !u.upkeepPending(u.listed[machine].WorkerID) && u.hostlessRun(now, st, machine) != nil
	if !u.workloadKnown(st, machine) || u.blockedByLastingStep(now, st, w, machine) {
		return
	}
	u.sendOrder(now, w, machine)
}

// removedFromList reports whether the last lists do not name a machine, and the latest is
// recent.
func (u *upkeepDriver) removedFromList(now time.Duration, machine string) bool {
	return u.machine(machine).absent >= absentLists && now-u.listedAt < 2*listInterval
}

func (u *upkeepDriver) sortByLoad(st *state.Store, list []*jobpb.WaveMachine) {
	load := map[string]uint64{}
	for _, wm := range list {
		for _, p := range st.Placements(u.listed[wm.Machine].WorkerID) {
			load[wm.Machine] += p.Step.CpuMillis + 1
		}
		if !u.machine(wm.Machine).cordon.set() {
			load[wm.Machine] += 1 << 40 // larger than any real load: cordoned machines come first
		}
	}
	slices.SortStableFunc(list, func(a, b *jobpb.WaveMachine) int {
		return cmp.Or(cmp.Compare(load[a.Machine], load[b.Machine]), cmp.Compare(a.Machine, b.Machine))
	})
}

// countShortTasks counts the runs on a worker that end by themselves.
func countShortTasks(st *state.Store, worker string) int {
	n := 0
	for _, p := range st.Placements(worker) {
		if !p.Step.Lasting {
			n++
		}
	}
	return n
}

// inUpkeep reports whether a machine is cordoned for upkeep, its upkeep is being
// ordered, or a confirmed upkeep is not in the list of machines yet.
func (u *upkeepDriver) inUpkeep(machine string) bool {
	m := u.machines[machine]
	return m != nil && (m.ordering || m.cordon.set() || u.upkeepNotListed(m))
}

// recordUpkeep writes to the log that a machine's upkeep is ordered, and sends the
// order after that; or that the upkeep has begun.
func (u *upkeepDriver) recordUpkeep(w *jobpb.Wave, machine string, begun bool) {
	m := u.machine(machine)
	m.ordering = true
	e := &jobpb.Upkeep{Wave: w.Number, Machine: machine, Begun: begun}
	u.s.add(&jobpb.Entry{Change: &jobpb.Entry_Upkeep{Upkeep: e}}, func(applied bool, err error) {
		m.ordering = false
		if applied && !begun {
			// Tasks may have become unavailable while the entry was being committed.
			u.s.view(func(st *state.Store) { u.sendRecordedOrder(u.s.now(), st, w, machine) })
		}
	})
}

// sendOrder orders an upkeep that is in the log from the platform. An order without
// an answer is repeated, which is safe: the platform also confirms an upkeep that it
// has carried out before.
func (u *upkeepDriver) sendOrder(now time.Duration, w *jobpb.Wave, machine string) {
	m := u.machine(machine)
	if m.ordering || now < m.retryAt || !u.s.leads() {
		return
	}
	m.ordering, m.attemptedAt = true, now
	u.s.markEndOrdered(machine, true)
	go func() {
		ctx, cancel := context.WithTimeout(u.s.ctx, machineCallTimeout)
		err := u.s.c.o.Machines.Upkeep(ctx, machine, w.Number, u.s.leadership())
		cancel()
		u.s.post(func() { u.handleOrderResult(w, m, machine, err) })
	}()
}

func (u *upkeepDriver) handleOrderResult(w *jobpb.Wave, m *machineState, machine string, err error) {
	now := u.s.now()
	m.ordering = false
	u.s.log.Info().Err(err).Uint64("wave", w.Number).Str("machine", machine).Str("worker", u.listed[machine].WorkerID).Msg("upkeep ordered")
	u.s.c.metrics.order("upkeep", err)
	var refused *orders.RefusedError
	neverCarriedOut := errors.As(err, &refused) && (refused.Reason == orders.RefusedNotInWave || refused.Reason == orders.RefusedInvalid)
	if neverCarriedOut {
		u.s.markEndOrdered(machine, false)
	}
	settled := err == nil || neverCarriedOut
	if !settled {
		m.retryAt = now + upkeepRetryDelay
		return
	}
	m.confirmedAt = now
	m.cordon = cordon{}
	u.recordUpkeep(w, machine, true)
	u.nextListAt = now // the next list shows which process has ended
}

// markWorkerEnded records that a worker's process has ended according to a list of
// machines that was requested at requestedAt.
func (s *session) markWorkerEnded(id string, requestedAt time.Duration, m Machine) {
	w := s.workers[id]
	if w == nil || w.listedAsEnded {
		return
	}
	if requestedAt < w.track.LastContact {
		w.endUnsettled = true
		return
	}
	s.log.Info().Str("worker", id).Str("machine", m.Name).Bool("up", m.Up).Str("listed_worker", m.WorkerID).
		Dur("list_age", s.now()-requestedAt).Msg("worker has ended: its machine is listed without it")
	w.leftAt, w.listedAsEnded = requestedAt, true
}
