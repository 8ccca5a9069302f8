package jobs

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"marjoramtiller.example/marjoramtiller/job/capacity"
	"marjoramtiller.example/marjoramtiller/job/jobpb"
	"marjoramtiller.example/marjoramtiller/job/schedule"
	"marjoramtiller.example/marjoramtiller/job/state"
)

// Timings of moves.
const (
	poolLogInterval = time.Second
	moveInterval    = 100 * time.Millisecond // between looks at the demand
	vacateTime      = time.Second            // in which a vacated machine's work has stopped
	moveTimeout     = 4 * time.Second        // after which a moved machine is planned with as listed
	moveRetry       = time.Second
	// minWorkBeforeMove is how long a run is left alone: most end soon.
	minWorkBeforeMove = 700 * time.Millisecond
	// lateCores bounds the cores that are kept for jobs that are too late: they
	// are worth little more than the machines they take.
	lateCores = 128.0
)

// moving is a move of this term.
type moving struct {
	to       string
	ordering bool
	until    time.Duration // while it counts as on its way
}

// moveDriver moves machines between pools as demand changes.
type moveDriver struct {
	s      *session
	set    capacity.Settings
	demand map[string]*capacity.Tracker // by pool
	moving map[string]*moving           // by machine
	// vacated are machines that get no new tasks until the given time, since their
	// work is moved on.
	vacated map[string]time.Duration
	next    time.Duration
	logAt   time.Duration
}

func newMoveDriver(s *session) *moveDriver {
	return &moveDriver{s: s, set: capacity.Default(), demand: map[string]*capacity.Tracker{}, moving: map[string]*moving{},
		vacated: map[string]time.Duration{}}
}

func (d *moveDriver) tracker(pool string) *capacity.Tracker {
	t := d.demand[pool]
	if t == nil {
		t = capacity.NewTracker(d.set)
		d.demand[pool] = t
	}
	return t
}

// arrived takes note of a job's work.
func (d *moveDriver) arrived(j *jobpb.Job) {
	work := d.s.estimate.AddJob(j)
	if j.Repetitions == 0 && work > 0 {
		d.tracker(j.Pool).Arrived(d.s.now(), work)
	}
}

func coresOf(step *jobpb.Step) float64 {
	if step.Fill {
		return 0
	}
	return float64(step.CpuMillis) / 1000
}

// leaving reports whether a worker's machine is about to be moved.
func (d *moveDriver) leaving(worker string) bool {
	name := d.s.upkeep.byWorker[worker]
	now := d.s.now()
	if pool, may := d.s.holder.arrives(now, name); may && d.s.upkeep.listed[name].Pool != pool {
		return true
	}
	return d.moving[name] != nil || now < d.vacated[name]
}

// round orders the moves that the demand asks for.
func (d *moveDriver) round(now time.Duration) {
	u := d.s.upkeep
	if d.s.c.o.Machines == nil || now < d.next || u.listed == nil {
		return
	}
	d.next = now + moveInterval
	d.s.view(func(st *state.Store) {
		d.settle(now, st)
		pools := d.pools(now, st)
		machines := d.machines(now, st)
		d.logPools(now, pools, machines)
		moves, vacate := capacity.Plan(d.set, pools, machines)
		for _, name := range vacate {
			d.vacate(now, st, name)
		}
		for _, m := range moves[:min(len(moves), d.s.c.o.Bounds.orders(moveInterval))] {
			d.order(m)
		}
	})
}

// logPools states, once a second, what the moves are decided on.
func (d *moveDriver) logPools(now time.Duration, pools []capacity.Pool, machines []capacity.Machine) {
	if now < d.logAt {
		return
	}
	d.logAt = now + poolLogInterval
	count, idle := map[string]int{}, map[string]int{}
	for _, m := range machines {
		count[m.Pool]++
		if m.Idle {
			idle[m.Pool]++
		}
	}
	event := d.s.log.Info()
	for _, p := range pools {
		event.Dict(p.Name, zerolog.Dict().Float64("live", p.Live).Float64("cores", p.Cores).Int("machines", count[p.Name]).Int("idle", idle[p.Name]))
	}
	event.Int("moving", len(d.moving)).Dur("list_age", now-d.s.upkeep.listedAt).Msg("pools")
}

// settle ends the moves that the list of machines shows as done, or as not done
// after their time.
func (d *moveDriver) settle(now time.Duration, st *state.Store) {
	u := d.s.upkeep
	for name, m := range d.moving {
		if !m.ordering && (now > m.until || u.listedAt > m.until-moveTimeout && u.listed[name].Up && u.listed[name].Pool == m.to) {
			delete(d.moving, name)
		}
	}
	for name := range st.Moves() {
		if d.moving[name] == nil && d.s.holder.forgettable(now, name) {
			done := &jobpb.Move{Machine: name, Done: true}
			d.s.add(&jobpb.Entry{Change: &jobpb.Entry_Move{Move: done}}, nil)
		}
	}
}

// pools returns the pools of the configuration with their demand.
func (d *moveDriver) pools(now time.Duration, st *state.Store) []capacity.Pool {
	live := map[string]float64{}
	late := map[string]float64{}
	nowMs := d.s.nowMs()
	for _, j := range st.Open() {
		running, waiting := liveCores(j, nowMs)
		live[j.Pool] += running
		if waiting > 0 && schedule.TooLate(d.s.estimate, j, d.s.queues[j.Queue], nowMs) {
			late[j.Pool] += waiting
		} else {
			live[j.Pool] += waiting
		}
	}
	for pool, cores := range late {
		live[pool] += min(cores, lateCores)
	}
	var pools []capacity.Pool
	for _, p := range st.Configuration().Pools {
		pools = append(pools, capacity.Pool{Name: p.Name, Standby: p.Standby, Live: live[p.Name], Cores: d.tracker(p.Name).Cores(now, live[p.Name])})
	}
	return pools
}

// liveCores returns the cores of a job's tasks that run, and of those whose turn
// has come.
func liveCores(j *jobpb.Job, nowMs int64) (running, waiting float64) {
	if j.State == jobpb.Job_QUEUED && (j.Repetitions == 0 || j.FirstDueMs <= nowMs) {
		for _, step := range j.Steps {
			if len(step.After) == 0 {
				waiting += float64(step.Count) * coresOf(step)
			}
		}
		return 0, waiting
	}
	for _, o := range j.Occurrences {
		for i, st := range o.Steps {
			ready := !state.Ended(j) && state.Ready(o, j.Steps[i])
			for _, t := range st.Tasks {
				switch {
				case t.Worker != "":
					running += coresOf(j.Steps[i])
				case ready && !t.Done:
					waiting += coresOf(j.Steps[i])
				}
			}
		}
	}
	return running, waiting
}

// machines returns the machines that the plan may count on.
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
			cm.Pool, cm.Arriving = mv.to, true
		case !m.Up || u.busy(name):
			continue
		case !d.s.holder.mayOrder(now, name):
		default:
			cm.Idle = standby[m.Pool] || d.idle(now, st, m)
			if !cm.Idle && now >= d.vacated[name] {
				cm.Busy, cm.Movable = d.movable(now, st, m)
			}
		}
		list = append(list, cm)
	}
	return list
}

// idle reports whether nothing runs on a machine, or may begin there.
func (d *moveDriver) idle(now time.Duration, st *state.Store, m Machine) bool {
	w := d.s.workers[m.WorkerID]
	return w != nil && w.track.Looked && !w.silent && !w.draining && w.left == 0 && !w.dropping &&
		w.info.Pool == m.Pool && len(st.Placed(m.WorkerID)) == 0 && !d.s.batchStarts(m.WorkerID)
}

// movable reports whether all that runs on a machine can go on elsewhere from a
// checkpoint, and the cores that it takes.
func (d *moveDriver) movable(now time.Duration, st *state.Store, m Machine) (cores float64, movable bool) {
	w := d.s.workers[m.WorkerID]
	if w == nil || w.silent || w.draining || w.left > 0 || d.s.batchStarts(m.WorkerID) {
		return 0, false
	}
	for key, p := range st.Placed(m.WorkerID) {
		r := w.runs[key]
		atWork := r != nil && r.answered && r.stopAt == 0 && now > r.okAt+minWorkBeforeMove
		if !atWork || !p.Step.Checkpointing || p.Step.Lasting || p.Step.Gang || p.Step.Fill {
			return 0, false
		}
		cores += coresOf(p.Step)
	}
	return cores, true
}

// vacate stops what runs on a machine, so that it goes on elsewhere.
func (d *moveDriver) vacate(now time.Duration, st *state.Store, name string) {
	m := d.s.upkeep.listed[name]
	w := d.s.workers[m.WorkerID]
	if w == nil {
		return
	}
	d.vacated[name] = now + vacateTime
	d.s.log.Info().Str("machine", name).Str("worker", m.WorkerID).Str("pool", m.Pool).Int("runs", len(st.Placed(m.WorkerID))).
		Msg("work is moved on: another pool lacks machines")
	for key, p := range st.Placed(m.WorkerID) {
		d.s.stopRun(now, w, key, p)
	}
}

// batchStarts reports whether a start on a worker is on its way into the log.
func (s *session) batchStarts(worker string) bool {
	for _, e := range s.batch {
		if start := e.GetStart(); start != nil && start.Worker == worker {
			return true
		}
	}
	return false
}

// order stores a move and then asks the platform for it.
func (d *moveDriver) order(m capacity.Move) {
	now := d.s.now()
	mv := &moving{to: m.To, ordering: true, until: now + moveTimeout}
	d.s.holder.ordered(now, m.Machine)
	d.moving[m.Machine] = mv
	worker := d.s.upkeep.listed[m.Machine].WorkerID
	change := &jobpb.Move{Machine: m.Machine, Pool: m.To}
	d.s.add(&jobpb.Entry{Change: &jobpb.Entry_Move{Move: change}}, func(applied bool, err error) {
		if !applied || !d.s.c.Leads() {
			mv.ordering = false
			mv.until = d.s.now()
			return
		}
		go func() {
			ctx, cancel := context.WithTimeout(d.s.ctx, machineTimeout)
			defer cancel()
			err := d.s.c.o.Machines.Move(ctx, m.Machine, m.To, d.s.term)
			d.s.post(func() { d.ordered(m, mv, worker, err) })
		}()
	})
}

func (d *moveDriver) ordered(m capacity.Move, mv *moving, worker string, err error) {
	now := d.s.now()
	mv.ordering = false
	d.s.holder.ordered(now, m.Machine)
	d.s.log.Info().Err(err).Str("machine", m.Machine).Str("worker", worker).Str("from", m.From).Str("to", m.To).Msg("move ordered")
	d.s.c.metrics.order("move", err)
	var refused *RefusedError
	switch {
	case err == nil:
		mv.until = now + moveTimeout
		if w := d.s.workers[worker]; w != nil {
			w.silent = true // its process ends with the move, and nothing ran there
		}
	case errors.As(err, &refused):
		mv.until = now + moveRetry
	default:
		mv.until = now + moveTimeout
	}
}
