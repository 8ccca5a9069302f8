// Package capacity measures buffer cost, host moves and rollout time of package
// plan on the two users' sample fleets and on small instances of them, beside
// baselines and lower bounds. The figures are the same on every run and machine.
package capacity

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"

	"marjoramtiller.example/marjoramtiller/examples"
	"marjoramtiller.example/marjoramtiller/process/settings"
	"marjoramtiller.example/marjoramtiller/version/plan"
	"marjoramtiller.example/marjoramtiller/version/sheet"
)

// Fleet is a fleet to plan for. Expected is the time that maintenance of each
// host takes.
type Fleet struct {
	Pools    []plan.Pool
	Hosts    []plan.Host
	Expected map[string]time.Duration
}

// Maintenance takes 10 to 19 minutes, and ten times as long for one host in 25.
const (
	shortestMinutes = 10
	spreadMinutes   = 10
	stragglerOneIn  = 25
	stragglerFactor = 10
	seed            = 1
)

// LoadFleet reads a user's sample sheet; user is a folder of package examples.
// Each pool also keeps room for one host of a wave, as every host is maintained.
func LoadFleet(user string) (Fleet, error) {
	raw, err := examples.Files.ReadFile(user + "/client.ini")
	if err != nil {
		return Fleet{}, errors.Wrap(err, "read the sample settings")
	}
	client, err := settings.ParseClient(raw)
	if err != nil {
		return Fleet{}, errors.Wrap(err, "parse the sample settings")
	}
	raw, err = examples.Files.ReadFile(user + "/sheet.csv")
	if err != nil {
		return Fleet{}, errors.Wrap(err, "read the sample sheet")
	}
	s, err := sheet.Parse(bytes.NewReader(raw), sheet.Options{Titles: client.SheetTitles})
	if err != nil {
		return Fleet{}, errors.Wrap(err, "parse the sample sheet")
	}
	f := Fleet{Expected: make(map[string]time.Duration)}
	for _, p := range s.Pools {
		f.Pools = append(f.Pools, plan.Pool{
			Name: p.GetName(), Spare: p.GetSpare(), Promised: int(p.GetPromisedHosts()), MaxOut: int(p.GetMaxOut()),
			Tolerance: plan.Tolerance{Rack: p.GetSurviveRack(), Zone: p.GetSurviveZone(), Wave: !p.GetSpare()},
		})
	}
	rng := rand.New(rand.NewPCG(seed, 0))
	for _, h := range s.Hosts {
		f.Hosts = append(f.Hosts, plan.Host{
			Name: h.GetName(), Pool: h.GetPool(), Available: true,
			Domain: plan.Domain{Zone: h.GetZone(), Rack: h.GetRack()},
		})
		f.Expected[h.GetName()] = drawMaintenance(rng)
	}
	return f, nil
}

func drawMaintenance(rng *rand.Rand) time.Duration {
	minutes := shortestMinutes + rng.IntN(spreadMinutes)
	if rng.IntN(stragglerOneIn) == 0 {
		minutes *= stragglerFactor
	}
	return time.Duration(minutes) * time.Minute
}

func (f Fleet) clone() Fleet {
	f.Pools = slices.Clone(f.Pools)
	f.Hosts = slices.Clone(f.Hosts)
	return f
}

// move applies a plan's moves.
func (f Fleet) move(moves []plan.Move) {
	to := make(map[string]string)
	for _, m := range moves {
		to[m.Host] = m.To
	}
	for i, h := range f.Hosts {
		if pool, ok := to[h.Name]; ok {
			f.Hosts[i].Pool = pool
		}
	}
}

func (f Fleet) spare() string {
	for _, p := range f.Pools {
		if p.Spare {
			return p.Name
		}
	}
	return ""
}

func (f Fleet) budgets() map[string]*plan.Budget {
	out := make(map[string]*plan.Budget)
	for _, p := range f.Pools {
		out[p.Name] = plan.NewBudget(p.Promised, p.Tolerance)
	}
	for _, h := range f.Hosts {
		if h.Available {
			out[h.Pool].Add(h.Domain)
		}
	}
	return out
}

// layout counts failure domains.
type layout struct {
	zones, racks int
	fewest       int // racks of the zone with the fewest
}

func (f Fleet) layout() layout {
	racks := make(map[string]map[string]bool)
	for _, h := range f.Hosts {
		if racks[h.Zone] == nil {
			racks[h.Zone] = make(map[string]bool)
		}
		racks[h.Zone][h.Rack] = true
	}
	out := layout{zones: len(racks), fewest: len(f.Hosts)}
	for _, r := range racks {
		out.racks += len(r)
		out.fewest = min(out.fewest, len(r))
	}
	return out
}

// Reserve is the buffer cost in hosts above the promises.
type Reserve struct {
	Planned    int
	LowerBound int // of each pool alone, plus one host for a wave
	// Static is the reserve when each pool holds its own host for waves.
	Static int
	// Exported is the reserve of the sheet as it was exported.
	Exported   int
	Shortfalls int
}

// MeasureReserve places the fleet anew.
func (f Fleet) MeasureReserve() Reserve {
	got := plan.NewPlanner(f.Pools, f.Hosts, plan.DefaultWeights()).Optimise()
	out := Reserve{Planned: got.Reserve, Shortfalls: len(got.Shortfalls), LowerBound: 1}
	static := f.clone()
	budgets := f.budgets()
	l := f.layout()
	for i, p := range static.Pools {
		if p.Spare {
			continue
		}
		out.LowerBound += leastReserve(p, l)
		out.Exported += budgets[p.Name].Available() - p.Promised
		static.Pools[i].Tolerance.Wave = false
		out.Static++
	}
	out.Static += plan.NewPlanner(static.Pools, static.Hosts, plan.DefaultWeights()).Optimise().Reserve
	return out
}

// leastReserve is the least number of hosts above a pool's promise that its rule
// needs if no other pool needs hosts. The fullest zone holds at least an even
// share, and the fullest rack of the others an even share of the rest.
func leastReserve(p plan.Pool, l layout) int {
	for n := p.Promised; ; n++ {
		loss := 0
		rest := n
		otherRacks := l.racks
		if p.Tolerance.Zone {
			loss = ceil(n, l.zones)
			rest = n - loss
			otherRacks = l.racks - l.fewest
		}
		if p.Tolerance.Rack && otherRacks > 0 {
			loss += ceil(rest, otherRacks)
		}
		if n-loss >= p.Promised {
			return n - p.Promised
		}
	}
}

func ceil(n, d int) int { return (n + d - 1) / d }

// Moves compares host moves after losses with the least that restores the rule.
type Moves struct {
	Losses, Planned, Least int
	// PerLoss is one replacement for every lost host of a pool.
	PerLoss int
}

// lossRounds is the number of losses, each in a freshly placed fleet.
const lossRounds = 48

// MeasureMoves places the fleet and loses two hosts in turn, again and again,
// with a plan after each loss. A pool whose rule is missed by n hosts needs at
// least n moves, if the spare pool has so many hosts.
func (f Fleet) MeasureMoves() Moves {
	placed := f.Placed()
	rng := rand.New(rand.NewPCG(seed, 1))
	var out Moves
	for range lossRounds {
		p := plan.NewPlanner(placed.Pools, placed.Hosts, plan.DefaultWeights())
		pool := make(map[string]string)
		for _, h := range placed.Hosts {
			pool[h.Name] = h.Pool
		}
		order := rng.Perm(len(placed.Hosts))
		for _, i := range order[:2] {
			h := placed.Hosts[i]
			h.Available = false
			h.Pool = pool[h.Name]
			p.SetHost(h)
			out.Losses++
			if h.Pool != f.spare() {
				out.PerLoss++
				out.Least += max(0, -p.Budget(h.Pool).Margin())
			}
			for _, m := range p.Replan().Moves {
				pool[m.Host] = m.To
				out.Planned++
			}
		}
	}
	return out
}

// Placed returns the fleet after a placement.
func (f Fleet) Placed() Fleet {
	out := f.clone()
	out.move(plan.NewPlanner(f.Pools, f.Hosts, plan.DefaultWeights()).Optimise().Moves)
	return out
}

// Lent returns the placed fleet with spare hosts lent in turn to the pools, one
// each while there are any, so that a wave can advance in all of them.
func (f Fleet) Lent() Fleet {
	out := f.Placed()
	p := plan.NewPlanner(out.Pools, out.Hosts, plan.DefaultWeights())
	for margin := 1; margin <= len(f.Hosts); margin++ {
		lent := 0
		for _, pool := range out.Pools {
			moves := p.Lend(pool.Name, margin)
			out.move(moves)
			lent += len(moves)
		}
		if lent == 0 {
			break
		}
	}
	return out
}

// String summarises the fleet.
func (f Fleet) String() string {
	l := f.layout()
	return fmt.Sprintf("%d hosts, %d pools, %d zones, %d racks", len(f.Hosts), len(f.Pools), l.zones, l.racks)
}
