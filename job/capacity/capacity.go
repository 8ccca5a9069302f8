// Package capacity decides which machines change their pool: machines that a
// pool needs are taken from standby or from pools that have some to spare, and
// machines that nobody needs are put on standby, where they cost nothing. It is
// pure: a snapshot goes in, moves come out.
package capacity

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Settings are the weights of the decision.
type Settings struct {
	// Fill is the share of a machine's cores that is planned with.
	Fill float64
	// Spare is the share of the mean size of a pool that each pool has beyond its
	// demand, for the onset of a burst.
	Spare float64
	// Vacate is the share of a machine's cores up to which its work is moved on to
	// free it.
	Vacate float64
	// Keep is how long demand counts after it has gone: a move back and forth
	// costs more than a machine that waits for a moment.
	Keep time.Duration
	// Window is the time over which arriving work is averaged.
	Window time.Duration
	// Onset is a shorter one, in which OnsetJobs arrivals are the begin of a burst:
	// Rise times their rate is expected until moved machines arrive.
	Onset     time.Duration
	OnsetJobs int
	Rise      float64
}

// Default returns the settings in use.
func Default() Settings {
	return Settings{Fill: 0.9, Spare: 0.4, Vacate: 0.4, Keep: 2 * time.Second, Window: time.Second,
		Onset: 500 * time.Millisecond, OnsetJobs: 4, Rise: 1.4}
}

// Pool is a pool with its demand.
type Pool struct {
	Name    string
	Standby bool
	// Live is the demand of the tasks that run or wait for a worker, in cores.
	Live float64
	// Cores is the demand that is planned with, as Tracker.Cores returns it.
	Cores float64
}

// Machine is a machine that is up.
type Machine struct {
	Name  string
	Pool  string
	Cores float64
	// Idle reports that nothing runs there and that it may be taken away.
	Idle bool
	// Arriving reports that it is on its way to Pool.
	Arriving bool
	// Busy is what runs there, in cores. Movable reports that all of it can go on
	// elsewhere from a checkpoint.
	Busy    float64
	Movable bool
}

// Move puts a machine into another pool.
type Move struct{ Machine, From, To string }

// Plan returns the moves to order now, and the machines to vacate so that they can
// be moved. Work that waits goes before work that is expected: it may take idle
// machines that another pool keeps ready, and those on which little is left.
func Plan(set Settings, pools []Pool, machines []Machine) (moves []Move, vacate []string) {
	p := newPlan(set, pools, machines)
	p.supply(p.beyondLive)
	vacate = p.vacate(set, machines)
	p.supply(p.surplus)
	p.park()
	return p.moves, vacate
}

// vacate returns the machines with the least work, from pools that can do without
// them, for the pools that still lack some.
func (p *plan) vacate(set Settings, machines []Machine) (names []string) {
	lacking := 0
	for _, pool := range p.pools {
		if !pool.Standby {
			lacking += max(0, -p.beyondLive[pool.Name])
		}
	}
	var list []Machine
	for _, m := range machines {
		if m.Movable && !m.Idle && !m.Arriving && m.Busy <= set.Vacate*m.Cores {
			list = append(list, m)
		}
	}
	slices.SortFunc(list, func(a, b Machine) int {
		return cmp.Or(cmp.Compare(a.Busy, b.Busy), cmp.Compare(a.Name, b.Name))
	})
	for _, m := range list {
		if lacking == 0 {
			break
		}
		if p.beyondLive[m.Pool] > 0 {
			p.beyondLive[m.Pool]--
			lacking--
			names = append(names, m.Name)
		}
	}
	return names
}

type plan struct {
	pools      []Pool
	standby    string
	isOff      map[string]bool
	idle       map[string][]Machine // by pool
	beyondLive map[string]int       // machines beyond those that the live demand needs
	surplus    map[string]int       // machines beyond those that are planned with
	moves      []Move
}

func newPlan(set Settings, pools []Pool, machines []Machine) *plan {
	p := &plan{pools: pools, isOff: map[string]bool{}, idle: map[string][]Machine{},
		beyondLive: map[string]int{}, surplus: map[string]int{}}
	var cores, n float64
	for _, m := range machines {
		cores += m.Cores
		n++
		p.surplus[m.Pool]++
		p.beyondLive[m.Pool]++
		if m.Idle && !m.Arriving {
			p.idle[m.Pool] = append(p.idle[m.Pool], m)
		}
	}
	spare := int(math.Ceil(set.Spare * n / max(1, float64(len(pools)))))
	size := max(cores/max(1, n)*set.Fill, 1)
	for _, pool := range pools {
		if pool.Standby {
			p.isOff[pool.Name] = true
			if p.standby == "" {
				p.standby = pool.Name
			}
			continue
		}
		p.beyondLive[pool.Name] -= int(math.Ceil(pool.Live / size))
		p.surplus[pool.Name] -= int(math.Ceil(pool.Cores/size)) + spare
	}
	for _, list := range p.idle {
		slices.SortFunc(list, func(a, b Machine) int { return cmp.Compare(a.Name, b.Name) })
	}
	return p
}

// supply gives machines to the pools that lack some by one of the measures, the
// neediest first.
func (p *plan) supply(measure map[string]int) {
	for {
		to := ""
		for _, pool := range p.pools {
			if pool.Standby || measure[pool.Name] >= 0 {
				continue
			}
			if to == "" || measure[pool.Name] < measure[to] {
				to = pool.Name
			}
		}
		if to == "" || !p.take(to, measure) {
			return
		}
	}
}

// take moves one idle machine into a pool: from standby, else from the pool with
// most to spare by the measure.
func (p *plan) take(to string, measure map[string]int) bool {
	from := ""
	for name, list := range p.idle {
		if len(list) == 0 || name == to || !p.isOff[name] && measure[name] <= 0 {
			continue
		}
		if from == "" || p.better(name, from, measure) {
			from = name
		}
	}
	if from == "" {
		return false
	}
	p.move(from, to)
	return true
}

func (p *plan) better(a, b string, measure map[string]int) bool {
	if p.isOff[a] != p.isOff[b] {
		return p.isOff[a]
	}
	if measure[a] != measure[b] {
		return measure[a] > measure[b]
	}
	return a < b
}

func (p *plan) move(from, to string) {
	list := p.idle[from]
	m := list[len(list)-1]
	p.idle[from] = list[:len(list)-1]
	p.surplus[from]--
	p.surplus[to]++
	p.beyondLive[from]--
	p.beyondLive[to]++
	p.moves = append(p.moves, Move{Machine: m.Name, From: from, To: to})
}

// park puts the idle surplus of all pools on standby.
func (p *plan) park() {
	if p.standby == "" {
		return
	}
	for _, pool := range p.pools {
		for !pool.Standby && p.surplus[pool.Name] > 0 && len(p.idle[pool.Name]) > 0 {
			p.move(pool.Name, p.standby)
		}
	}
}

// Tracker follows the demand of one pool.
type Tracker struct {
	set      Settings
	arrivals []arrival
	levels   []level // descending: the demand that still counts
}

type arrival struct {
	at   time.Duration
	work float64 // core-seconds
}

type level struct {
	at    time.Duration
	cores float64
}

// NewTracker returns a tracker without demand.
func NewTracker(set Settings) *Tracker { return &Tracker{set: set} }

// Arrived adds work that was handed in.
func (t *Tracker) Arrived(now time.Duration, coreSeconds float64) {
	t.arrivals = append(t.arrivals, arrival{at: now, work: coreSeconds})
}

// Cores returns the demand: the highest of the last Keep. live are the cores of
// the tasks that run or wait for a worker.
func (t *Tracker) Cores(now time.Duration, live float64) float64 {
	n := 0
	for n < len(t.arrivals) && now-t.arrivals[n].at > t.set.Window {
		n++
	}
	t.arrivals = t.arrivals[n:]
	arriving, onset, onsetJobs := 0.0, 0.0, 0
	for _, a := range t.arrivals {
		arriving += a.work
		if now-a.at <= t.set.Onset {
			onset += a.work
			onsetJobs++
		}
	}
	cores := max(live, arriving/t.set.Window.Seconds())
	if onsetJobs >= t.set.OnsetJobs {
		cores = max(cores, t.set.Rise*onset/t.set.Onset.Seconds())
	}
	for len(t.levels) > 0 && t.levels[len(t.levels)-1].cores <= cores {
		t.levels = t.levels[:len(t.levels)-1]
	}
	t.levels = append(t.levels, level{at: now, cores: cores})
	for len(t.levels) > 1 && now-t.levels[0].at > t.set.Keep {
		t.levels = t.levels[1:]
	}
	return t.levels[0].cores
}
