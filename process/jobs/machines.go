package jobs

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"marjoramtiller.example/marjoramtiller/job/capacity"
	"marjoramtiller.example/marjoramtiller/job/jobpb"
	"marjoramtiller.example/marjoramtiller/job/orders"
	"marjoramtiller.example/marjoramtiller/job/schedule"
	"marjoramtiller.example/marjoramtiller/job/state"
)

// Timings and limits of moves.
const (
	poolLogInterval = time.Second
	moveInterval    = 100 * time.Millisecond // between two plans
	vacateTime      = time.Second            // without new tasks on a vacated machine, in which its runs stop
	moveTimeout     = 4 * time.Second        // after which a moved machine is planned as the list shows it
	moveRetryDelay  = time.Second
	// minRunTimeBeforeMove is the time for which a run is not stopped to vacate its
	// machine, since most runs end soon by themselves.
	minRunTimeBeforeMove = 700 * time.Millisecond
	// maxLateCores limits the cores that are planned in each pool for jobs that can no
	// longer be in time: their value is little more than the cost of the machines
	// they use.
	maxLateCores = 128.0
)

// pendingMove is a move of this term that is not known to be finished.
type pendingMove struct {
	to        string
	ordering  bool
	expiresAt time.Duration // until then the machine counts as moving
}

// moveDriver moves machines between pools as demand changes.
type moveDriver struct {
	s        *session
	settings capacity.Settings
	demand   map[string]*capacity.Tracker // by pool
	moving   map[string]*pendingMove      // by machine
	// vacatedUntil holds, by machine, the time until which a vacated machine gets no
	// new tasks.
	vacatedUntil map[string]time.Duration
	nextRoundAt  time.Duration
	nextLogAt    time.Duration // of the next line of logPools
}

func newMoveDriver(s *session) *moveDriver {
	return &moveDriver{s: s, settings: capacity.Default(), demand: map[string]*capacity.Tracker{}, moving: map[string]*pendingMove{},
		vacatedUntil: map[string]time.Duration{}}
}

func (d *moveDriver) tracker(pool string) *capacity.Tracker {
	t := d.demand[pool]
	if t == nil {
		t = capacity.NewTracker(d.settings)
		d.demand[pool] = t
	}
	return t
}

// recordDemand adds a submitted job's work to the estimates of its queue and, unless
// the job repeats, to the demand of its pool.
func (d *moveDriver) recordDemand(j *jobpb.Job) {
	work := d.s.estimate.AddJob(j)
	if j.Repetitions == 0 && work > 0 {
		d.tracker(j.Pool).AddWork(d.s.now(), work)
	}
}

func coresPerTask(step *jobpb.Step) float64 {
	if step.Fill {
		return 0
	}
	return float64(step.CpuMillis) / 1000
}

// movePending reports whether a worker's machine is being vacated or moved, or may
// still be moved by an earlier leader's order.
func (d *moveDriver) movePending(worker string) bool {
	name := d.s.upkeep.byWorker[worker]
	now := d.s.now()
	if pool, may := d.s.orderGate.inheritedMove(now, name); may && d.s.upkeep.listed[name].Pool != pool {
		return true
	}
	return d.moving[name] != nil || now < d.vacatedUntil[name]
}

// round orders the moves that the demand requires, and vacates machines for later ones.
func (d *moveDriver) round(now time.Duration) {
	u := d.s.upkeep
	if d.s.c.o.Machines == nil || now < d.nextRoundAt || u.listed == nil {
		return
	}
	d.nextRoundAt = now + moveInterval
	d.s.view(func(st *state.Store) {
		d.removeFinishedMoves(now, st)
		pools := d.pools(now, st)
		machines := d.machines(now, st)
		d.logPools(now, pools, machines)
		moves, vacate := capacity.Plan(d.settings, pools, machines)
		for _, name := range vacate {
			d.vacate(now, st, name)
		}
		for _, m := range moves[:min(len(moves), d.s.c.o.Bounds.orders(moveInterval))] {
			d.orderMove(m)
		}
	})
}

// logPools logs the inputs of the plan once a second.
func (d *moveDriver) logPools(now time.Duration, pools []capacity.Pool, machines []capacity.Machine) {
	if now < d.nextLogAt {
		return
	}
	d.nextLogAt = now + poolLogInterval
	count, idle := map[string]int{}, map[string]int{}
	for _, m := range machines {
		count[m.Pool]++
		if m.Idle {
			idle[m.Pool]++
		}
	}
	event := d.s.log.Info()
	for _, p := range pools {
		event.Dict(p.Name, zerolog.Dict().Float64("live", p.CurrentDemand).Float64("cores", p.PlannedDemand).Int("machines", count[p.Name]).Int("idle", idle[p.Name]))
	}
	event.Int("moving", len(d.moving)).Dur("list_age", now-d.s.upkeep.listedAt).Msg("pools")
}

// removeFinishedMoves removes the moves that the list of machines shows as done or
// that have timed out. It also marks moves in the log as done once the next leader
// may order their machines without a wait.
func (d *moveDriver) removeFinishedMoves(now time.Duration, st *state.Store) {
	u := d.s.upkeep
	for name, m := range d.moving {
		if !m.ordering && (now > m.expiresAt || u.listedAt > m.expiresAt-moveTimeout && u.listed[name].Up && u.listed[name].Pool == m.to) {
			delete(d.moving, name)
		}
	}
	for name := range st.Moves() {
		if d.moving[name] == nil && d.s.orderGate.gapPassed(now, name) {
			done := &jobpb.Move{Machine: name, Done: true}
			d.s.add(&jobpb.Entry{Change: &jobpb.Entry_Move{Move: done}}, nil)
		}
	}
}

// pools returns the configured pools with their demand.
func (d *moveDriver) pools(now time.Duration, st *state.Store) []capacity.Pool {
	live := map[string]float64{}
	late := map[string]float64{}
	nowMs := d.s.nowMs()
	for _, j := range st.OpenJobs() {
		running, waiting := liveCores(j, nowMs)
		live[j.Pool] += running
		if waiting > 0 && schedule.TooLate(d.s.estimate, j, d.s.queues[j.Queue], nowMs) {
			late[j.Pool] += waiting
		} else {
			live[j.Pool] += waiting
		}
	}
	for pool, cores := range late {
		live[pool] += min(cores, maxLateCores)
	}
	var pools []capacity.Pool
	for _, p := range st.Configuration().Pools {
		pools = append(pools, capacity.Pool{Name: p.Name, Standby: p.Standby, CurrentDemand: live[p.Name], PlannedDemand: d.tracker(p.Name).Demand(now, live[p.Name])})
	}
	return pools
}

// liveCores returns the cores of a job's placed tasks, and of the tasks that are
// ready to start and wait for a worker.
func liveCores(j *jobpb.Job, nowMs int64) (running, waiting float64) {
	if len(j.Occurrences) == 0 && !state.Ended(j) && (j.Repetitions == 0 || j.FirstDueMs <= nowMs) {
		for _, step := range j.Steps {
			if len(step.After) == 0 {
				waiting += float64(step.Count) * coresPerTask(step)
			}
		}
		return 0, waiting
	}
	for _, o := range j.Occurrences {
		for i, st := range o.Steps {
			ready := !state.Ended(j) && state.StepReady(o, j.Steps[i])
			for _, t := range st.Tasks {
				switch {
				case t.Worker != "":
					running += coresPerTask(j.Steps[i])
				case ready && state.Waiting(t):
					waiting += coresPerTask(j.Steps[i])
				}
			}
		}
	}
	return running, waiting
}

// machines returns the machines that the plan may use.
func (d *moveDriver) machines(now time.Duration, st *state.Store) []capacity.Machine {
	u := d.s.upkeep
	standby := map[string]bool{}
	for _, p := range st.Configuration().Pools {
		standby[p.Name] = p.Standby
	}
	var list []capacity.Machine
	for name, m := range u.listed {
		cm := capacity.Machine{Name: name, Pool: m.Pool, Cores: m.Cores}
		switch mv := d.moving[name]; {
		case mv != nil:
			cm.Pool, cm.Incoming = mv.to, true
		case !m.Up || u.inUpkeep(name):
			continue
		case !d.s.orderGate.mayOrder(now, name):
		default:
			cm.Idle = standby[m.Pool] || d.idle(now, st, m)
			if !cm.Idle && now >= d.vacatedUntil[name] {
				cm.BusyCores, cm.Movable = d.movable(now, st, m)
			}
		}
		list = append(list, cm)
	}
	return list
}

// idle reports whether a machine's worker has no runs and none is about to start.
func (d *moveDriver) idle(now time.Duration, st *state.Store, m Machine) bool {
	w := d.s.workers[m.WorkerID]
	return w != nil && w.track.RunsListed && !w.silent && !w.draining && w.leftAt == 0 && !w.dropping &&
		w.info.Pool == m.Pool && len(st.Placements(m.WorkerID)) == 0 && !d.s.startInBatch(m.WorkerID)
}

// movable reports whether all runs on a machine can resume elsewhere from a
// checkpoint, and returns the cores that they use.
func (d *moveDriver) movable(now time.Duration, st *state.Store, m Machine) (cores float64, movable bool) {
	w := d.s.workers[m.WorkerID]
	if w == nil || w.silent || w.draining || w.leftAt > 0 || d.s.startInBatch(m.WorkerID) {
		return 0, false
	}
	for key, p := range st.Placements(m.WorkerID) {
		r := w.runs[key]
		ranLongEnough := r != nil && r.startConfirmed && r.stopSentAt == 0 && now > r.startConfirmedAt+minRunTimeBeforeMove
		if !ranLongEnough || !p.Step.Checkpointing || p.Step.Lasting || p.Step.Gang || p.Step.Fill {
			return 0, false
		}
		cores += coresPerTask(p.Step)
	}
	return cores, true
}

// vacate stops all runs on a machine, so that they resume elsewhere and the machine
// can be moved.
func (d *moveDriver) vacate(now time.Duration, st *state.Store, name string) {
	m := d.s.upkeep.listed[name]
	w := d.s.workers[m.WorkerID]
	if w == nil {
		return
	}
	d.vacatedUntil[name] = now + vacateTime
	d.s.log.Info().Str("machine", name).Str("worker", m.WorkerID).Str("pool", m.Pool).Int("runs", len(st.Placements(m.WorkerID))).
		Msg("machine vacated: its runs are stopped and resume elsewhere, since another pool lacks machines")
	for key, p := range st.Placements(m.WorkerID) {
		d.s.stopRun(now, w, key, p)
	}
}

// startInBatch reports whether a start on a worker is queued to be written to the log.
func (s *session) startInBatch(worker string) bool {
	for _, e := range s.batch {
		if start := e.GetStart(); start != nil && start.Worker == worker {
			return true
		}
	}
	return false
}

// orderMove records a move in the log and then sends the order to the platform.
func (d *moveDriver) orderMove(m capacity.Move) {
	now := d.s.now()
	mv := &pendingMove{to: m.To, ordering: true, expiresAt: now + moveTimeout}
	d.s.orderGate.recordOrder(now, m.Machine)
	d.moving[m.Machine] = mv
	worker := d.s.upkeep.listed[m.Machine].WorkerID
	d.s.markEndOrdered(m.Machine, true)
	change := &jobpb.Move{Machine: m.Machine, Pool: m.To}
	d.s.add(&jobpb.Entry{Change: &jobpb.Entry_Move{Move: change}}, func(applied bool, err error) {
		if !applied || !d.s.leads() {
			mv.ordering = false
			mv.expiresAt = d.s.now()
			d.s.markEndOrdered(m.Machine, false)
			return
		}
		go func() {
			ctx, cancel := context.WithTimeout(d.s.ctx, machineCallTimeout)
			defer cancel()
			err := d.s.c.o.Machines.Move(ctx, m.Machine, m.To, d.s.leadership())
			d.s.post(func() { d.handleMoveResult(m, mv, worker, err) })
		}()
	})
}

func (d *moveDriver) handleMoveResult(m capacity.Move, mv *pendingMove, worker string, err error) {
	now := d.s.now()
	mv.ordering = false
	d.s.orderGate.recordOrder(now, m.Machine)
	d.s.log.Info().Err(err).Str("machine", m.Machine).Str("worker", worker).Str("from", m.From).Str("to", m.To).Msg("move ordered")
	d.s.c.metrics.order("move", err)
	var refused *orders.RefusedError
	switch {
	case err == nil:
		mv.expiresAt = now + moveTimeout
		if w := d.s.workers[worker]; w != nil {
			w.silent = true // its process exits with the move; it had no runs
		}
	case errors.As(err, &refused):
		d.s.markEndOrdered(m.Machine, false)
		mv.expiresAt = now + moveRetryDelay
	default:
		mv.expiresAt = now + moveTimeout
	}
}
