// Package capacity measures the buffer cost, host moves and rollout time that
// package plan achieves on the two users' sample fleets and on small instances of
// them, and compares them with baselines, lower bounds and exact optima. The
// figures are the same on every run and machine.
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

// Fleet is a fleet to plan for. Expected is the duration of maintenance of each
// host by name.
type Fleet struct {
	Pools    []plan.Pool
	Hosts    []plan.Host
	Expected map[string]time.Duration
}

// Maintenance of a host takes 10 to 19 minutes, and ten times as long for one host
// in 25 on average.
const (
	shortestMinutes = 10
	spreadMinutes   = 10
	stragglerOneIn  = 25
	stragglerFactor = 10
	seed            = 1
)

// LoadFleet reads a user's sample sheet; user is a folder of package examples.
// Each service pool also has to tolerate that a wave takes one host out, because
// every host is maintained.
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

// applyMoves moves hosts to the pools that a plan assigns.
func (f Fleet) applyMoves(moves []plan.Move) {
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

func (f Fleet) sparePool() string {
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

// layout holds the numbers of failure domains of a fleet.
type layout struct {
	zones, racks int
	fewestRacks  int // number of racks in the zone that has the fewest
}

func (f Fleet) layout() layout {
	racks := make(map[string]map[string]bool)
	for _, h := range f.Hosts {
		if racks[h.Zone] == nil {
			racks[h.Zone] = make(map[string]bool)
		}
		racks[h.Zone][h.Rack] = true
	}
	out := layout{zones: len(racks), fewestRacks: len(f.Hosts)}
	for _, r := range racks {
		out.racks += len(r)
		out.fewestRacks = min(out.fewestRacks, len(r))
	}
	return out
}

// Reserve is the buffer cost, in hosts above the promises of the pools.
type Reserve struct {
	Planned    int
	LowerBound int // sum of the least reserve of each pool alone, plus one host for a wave
	// Static is the reserve if each pool has its own additional host for waves.
	Static int
	// Exported is the reserve of the placement in the sheet, before any move.
	Exported   int
	Shortfalls int
}

// MeasureReserve computes a placement of the whole fleet and compares its reserve
// with the lower bound and the baselines.
func (f Fleet) MeasureReserve() Reserve {
	placement := plan.NewPlanner(f.Pools, f.Hosts, plan.DefaultWeights()).Optimise()
	out := Reserve{Planned: placement.Reserve, Shortfalls: len(placement.Shortfalls), LowerBound: 1}
	static := f.clone()
	budgets := f.budgets()
	domains := f.layout()
	for i, p := range static.Pools {
		if p.Spare {
			continue
		}
		out.LowerBound += leastReserve(p, domains)
		out.Exported += budgets[p.Name].Available() - p.Promised
		static.Pools[i].Tolerance.Wave = false
		out.Static++
	}
	out.Static += plan.NewPlanner(static.Pools, static.Hosts, plan.DefaultWeights()).Optimise().Reserve
	return out
}

// leastReserve returns the least number of hosts above a pool's promise that its
// rule needs if no other pool needs hosts. It is a lower bound, because the zone
// with the most hosts has at least an even share of them, and the rack with the
// most hosts in the other zones has at least an even share of the rest.
func leastReserve(p plan.Pool, l layout) int {
	for n := p.Promised; ; n++ {
		loss := 0
		rest := n
		otherRacks := l.racks
		if p.Tolerance.Zone {
			loss = ceilDiv(n, l.zones)
			rest = n - loss
			otherRacks = l.racks - l.fewestRacks
		}
		if p.Tolerance.Rack && otherRacks > 0 {
			loss += ceilDiv(rest, otherRacks)
		}
		if n-loss >= p.Promised {
			return n - p.Promised
		}
	}
}

func ceilDiv(n, d int) int { return (n + d - 1) / d }

// Moves compares the number of host moves after losses of hosts with the least
// number that restores the rules of the pools.
type Moves struct {
	Losses, Planned, Least int
	// PerLoss is the number of moves if each lost host of a service pool is
	// replaced.
	PerLoss int
}

// lossRounds is the number of rounds. Each starts from the placed fleet and loses
// two hosts.
const lossRounds = 48

// MeasureMoves places the fleet and, in each of several rounds, removes two hosts
// one after the other and plans again after each loss. A pool that is n hosts
// short of its rule needs at least n moves, if the spare pool has that many hosts.
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
			if h.Pool != f.sparePool() {
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

// Placed returns a copy of the fleet with the moves of a placement applied.
func (f Fleet) Placed() Fleet {
	out := f.clone()
	out.applyMoves(plan.NewPlanner(f.Pools, f.Hosts, plan.DefaultWeights()).Optimise().Moves)
	return out
}

// Lent returns the placed fleet with spare hosts lent to the pools in round-robin
// order until no more can be lent, so that a wave can advance in all pools.
func (f Fleet) Lent() Fleet {
	out := f.Placed()
	p := plan.NewPlanner(out.Pools, out.Hosts, plan.DefaultWeights())
	for margin := 1; margin <= len(f.Hosts); margin++ {
		lent := 0
		for _, pool := range out.Pools {
			moves := p.Lend(pool.Name, margin)
			out.applyMoves(moves)
			lent += len(moves)
		}
		if lent == 0 {
			break
		}
	}
	return out
}

// String returns the numbers of hosts, pools, zones and racks of the fleet.
func (f Fleet) String() string {
	l := f.layout()
	return fmt.Sprintf("%d hosts, %d pools, %d zones, %d racks", len(f.Hosts), len(f.Pools), l.zones, l.racks)
}
