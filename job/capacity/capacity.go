// Package capacity decides which machines move to another pool. A pool that lacks
// machines receives them from standby or from pools with a surplus; machines that no
// pool needs go to standby, where they cost nothing. It is a pure function of a
// snapshot of pools and machines and carries out no moves itself.
package capacity

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Settings are the parameters of the decision.
type Settings struct {
	// TargetUtilization is the share of a machine's cores that a plan counts as usable.
	TargetUtilization float64
	// SpareShare is the number of machines that each pool has beyond its demand, as a
	// share of the mean number of machines of a pool. They serve the start of a burst.
	SpareShare float64
	// MaxVacateLoad is the largest share of a machine's cores that may be busy for its
	// work to be moved elsewhere in order to free the machine.
	MaxVacateLoad float64
	// DemandRetention is how long a peak of demand still counts after demand has fallen:
	// moving a machine away and back costs more than leaving it idle for a short time.
	DemandRetention time.Duration
	// ArrivalWindow is the time over which the rate of submitted work is averaged.
	ArrivalWindow time.Duration
	// BurstWindow is a shorter window for the detection of bursts. A burst has begun
	// when BurstJobs jobs were submitted within it; BurstFactor times their rate of
	// work is then expected until moved machines arrive.
	BurstWindow time.Duration
	BurstJobs   int
	BurstFactor float64
}

// Default returns the settings in use.
func Default() Settings {
	return Settings{TargetUtilization: 0.9, SpareShare: 0.4, MaxVacateLoad: 0.4, DemandRetention: 2 * time.Second, ArrivalWindow: time.Second,
		BurstWindow: 500 * time.Millisecond, BurstJobs: 4, BurstFactor: 1.4}
}

// Pool is a pool with its demand.
type Pool struct {
	Name    string
	Standby bool
	// CurrentDemand is the demand of the tasks that run or wait for a worker, in cores.
	CurrentDemand float64
	// PlannedDemand is the demand to provide for, as Tracker.Demand returns it, in cores.
	PlannedDemand float64
}

// Machine is a machine that is up.
type Machine struct {
	Name  string
	Pool  string
	Cores float64
	// Idle reports that nothing runs on the machine and that it may be moved.
	Idle bool
	// Incoming reports that its move into Pool is in flight.
	Incoming bool
	// BusyCores is the number of cores that its tasks use. Movable reports that all of
	// them can resume on another machine from a checkpoint.
	BusyCores float64
	Movable   bool
}

// Move is an order to move a machine to another pool.
type Move struct{ Machine, From, To string }

// Plan returns the moves to order now, and the machines to vacate so that they can
// be moved later. Current demand takes precedence over expected demand: a pool with
// waiting work may receive machines that another pool keeps idle for expected work,
// and machines with little work, which are vacated first.
func Plan(settings Settings, pools []Pool, machines []Machine) (moves []Move, vacate []string) {
	p := newPlan(settings, pools, machines)
	p.fillShortages(p.currentSurplus)
	vacate = p.machinesToVacate(settings, machines)
	p.fillShortages(p.plannedSurplus)
	p.moveSurplusToStandby()
	return p.moves, vacate
}

// machinesToVacate returns at most as many machines as the pools still lack for their
// current demand. It chooses those with the least work, from pools with a current surplus.
func (p *plan) machinesToVacate(settings Settings, machines []Machine) (names []string) {
	lacking := 0
	for _, pool := range p.pools {
		if !pool.Standby {
			lacking += max(0, -p.currentSurplus[pool.Name])
		}
	}
	var list []Machine
	for _, m := range machines {
		if m.Movable && !m.Idle && !m.Incoming && m.BusyCores <= settings.MaxVacateLoad*m.Cores {
			list = append(list, m)
		}
	}
	slices.SortFunc(list, func(a, b Machine) int {
		return cmp.Or(cmp.Compare(a.BusyCores, b.BusyCores), cmp.Compare(a.Name, b.Name))
	})
	for _, m := range list {
		if lacking == 0 {
			break
		}
		if p.currentSurplus[m.Pool] > 0 {
			p.currentSurplus[m.Pool]--
			lacking--
			names = append(names, m.Name)
		}
	}
	return names
}

type plan struct {
	pools          []Pool
	standby        string
	isStandby      map[string]bool
	idleMachines   map[string][]Machine // by pool
	currentSurplus map[string]int       // by pool: machines beyond its current demand, negative if it lacks some
	plannedSurplus map[string]int       // by pool: machines beyond its planned demand and spare machines
	moves          []Move
}

func newPlan(settings Settings, pools []Pool, machines []Machine) *plan {
	p := &plan{pools: pools, isStandby: map[string]bool{}, idleMachines: map[string][]Machine{},
		currentSurplus: map[string]int{}, plannedSurplus: map[string]int{}}
	var cores, count float64
	for _, m := range machines {
		cores += m.Cores
		count++
		p.plannedSurplus[m.Pool]++
		p.currentSurplus[m.Pool]++
		if m.Idle && !m.Incoming {
			p.idleMachines[m.Pool] = append(p.idleMachines[m.Pool], m)
		}
	}
	spare := int(math.Ceil(settings.SpareShare * count / max(1, float64(len(pools)))))
	usableCores := max(cores/max(1, count)*settings.TargetUtilization, 1)
	for _, pool := range pools {
		if pool.Standby {
			p.isStandby[pool.Name] = true
			if p.standby == "" {
				p.standby = pool.Name
			}
			continue
		}
		p.currentSurplus[pool.Name] -= int(math.Ceil(pool.CurrentDemand / usableCores))
		p.plannedSurplus[pool.Name] -= int(math.Ceil(pool.PlannedDemand/usableCores)) + spare
	}
	for _, list := range p.idleMachines {
		slices.SortFunc(list, func(a, b Machine) int { return cmp.Compare(a.Name, b.Name) })
	}
	return p
}

// fillShortages moves idle machines to the pools whose given surplus is negative. Each
// machine goes to the pool that lacks most.
func (p *plan) fillShortages(surplus map[string]int) {
	for {
		to := ""
		for _, pool := range p.pools {
			if pool.Standby || surplus[pool.Name] >= 0 {
				continue
			}
			if to == "" || surplus[pool.Name] < surplus[to] {
				to = pool.Name
			}
		}
		if to == "" || !p.moveIdleMachine(to, surplus) {
			return
		}
	}
}

// moveIdleMachine moves one idle machine into a pool: from a standby pool if it has one,
// else from the pool with the largest surplus. It returns false if there is none.
func (p *plan) moveIdleMachine(to string, surplus map[string]int) bool {
	from := ""
	for name, list := range p.idleMachines {
		if len(list) == 0 || name == to || !p.isStandby[name] && surplus[name] <= 0 {
			continue
		}
		if from == "" || p.betterSource(name, from, surplus) {
			from = name
		}
	}
	if from == "" {
		return false
	}
	p.move(from, to)
	return true
}

// betterSource reports whether pool a is a better source of a machine than pool b.
func (p *plan) betterSource(a, b string, surplus map[string]int) bool {
	if p.isStandby[a] != p.isStandby[b] {
		return p.isStandby[a]
	}
	if surplus[a] != surplus[b] {
		return surplus[a] > surplus[b]
	}
	return a < b
}

// move moves the last idle machine of a pool into another one.
func (p *plan) move(from, to string) {
	list := p.idleMachines[from]
	m := list[len(list)-1]
	p.idleMachines[from] = list[:len(list)-1]
	p.plannedSurplus[from]--
	p.plannedSurplus[to]++
	p.currentSurplus[from]--
	p.currentSurplus[to]++
	p.moves = append(p.moves, Move{Machine: m.Name, From: from, To: to})
}

// moveSurplusToStandby moves the idle machines beyond the planned demand of all pools
// to the first standby pool.
func (p *plan) moveSurplusToStandby() {
	if p.standby == "" {
		return
	}
	for _, pool := range p.pools {
		for !pool.Standby && p.plannedSurplus[pool.Name] > 0 && len(p.idleMachines[pool.Name]) > 0 {
			p.move(pool.Name, p.standby)
		}
	}
}

// Tracker computes the demand of one pool from submitted work and running tasks.
type Tracker struct {
	settings Settings
	arrivals []arrival
	peaks    []demandPeak // descending in cores: the peaks of demand that still count
}

type arrival struct {
	at   time.Duration
	work float64 // core-seconds
}

type demandPeak struct {
	at    time.Duration
	cores float64
}

// NewTracker returns a tracker without demand.
func NewTracker(settings Settings) *Tracker { return &Tracker{settings: settings} }

// AddWork records work that was submitted.
func (t *Tracker) AddWork(now time.Duration, coreSeconds float64) {
	t.arrivals = append(t.arrivals, arrival{at: now, work: coreSeconds})
}

// Demand returns the highest demand within the last DemandRetention, in cores. current
// is the demand of the tasks that run or wait for a worker.
func (t *Tracker) Demand(now time.Duration, current float64) float64 {
	outdated := 0
	for outdated < len(t.arrivals) && now-t.arrivals[outdated].at > t.settings.ArrivalWindow {
		outdated++
	}
	t.arrivals = t.arrivals[outdated:]
	windowWork, burstWork, burstJobs := 0.0, 0.0, 0
	for _, a := range t.arrivals {
		windowWork += a.work
		if now-a.at <= t.settings.BurstWindow {
			burstWork += a.work
			burstJobs++
		}
	}
	cores := max(current, windowWork/t.settings.ArrivalWindow.Seconds())
	if burstJobs >= t.settings.BurstJobs {
		cores = max(cores, t.settings.BurstFactor*burstWork/t.settings.BurstWindow.Seconds())
	}
	for len(t.peaks) > 0 && t.peaks[len(t.peaks)-1].cores <= cores {
		t.peaks = t.peaks[:len(t.peaks)-1]
	}
	t.peaks = append(t.peaks, demandPeak{at: now, cores: cores})
	for len(t.peaks) > 1 && now-t.peaks[0].at > t.settings.DemandRetention {
		t.peaks = t.peaks[1:]
	}
	return t.peaks[0].cores
}
