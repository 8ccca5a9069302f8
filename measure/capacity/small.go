package capacity

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"marjoramtiller.example/marjoramtiller/version/plan"
)

// Numbers and sizes of the small instances. The sizes limit the duration of the
// exhaustive searches.
const (
	smallInstances  = 100
	smallWaves      = 100
	smallRackHosts  = 2
	smallWaveHosts  = 6
	smallSpareOneIn = 3
)

// Small compares plans of small instances with exact optima. The sums cover the
// instances for which both a solution and a plan exist.
type Small struct {
	Solved, Waves              int
	Reserve, BestReserve       int
	Moves, BestMoves           int
	Rollout, BestRollout       time.Duration
	WorstReserve, WorstRollout float64 // of one instance, relative to its optimum
	Shortfalls, StuckRollouts  int     // instances that package plan does not solve although a solution exists
}

// MeasureSmall measures random instances that have the user's zones and two of its
// service pools, with promises of a few hosts.
func (f Fleet) MeasureSmall() Small {
	rng := rand.New(rand.NewPCG(seed, 2))
	var out Small
	for range smallInstances {
		f.measurePlacement(rng, &out)
	}
	for range smallWaves {
		f.measureWave(rng, &out)
	}
	return out
}

// drawSmall returns a random instance with two hosts per rack. Each zone has two
// racks, or one rack if there are more than three zones.
func (f Fleet) drawSmall(rng *rand.Rand) Fleet {
	zones := f.layout().zones
	racks := 2
	if zones > 3 {
		racks = 1
	}
	out := Fleet{Expected: make(map[string]time.Duration)}
	service := slices.DeleteFunc(slices.Clone(f.Pools), func(p plan.Pool) bool { return p.Spare })
	for _, i := range rng.Perm(len(service))[:2] {
		p := service[i]
		p.Promised = 1 + rng.IntN(2)
		p.Tolerance = plan.Tolerance{Rack: p.Tolerance.Rack && rng.IntN(2) == 0, Zone: p.Tolerance.Zone}
		out.Pools = append(out.Pools, p)
	}
	names := []string{out.Pools[0].Name, out.Pools[1].Name, "spare"}
	out.Pools = append(out.Pools, plan.Pool{Name: "spare", Spare: true})
	for z := range zones {
		for r := range racks {
			for h := range smallRackHosts {
				d := plan.Domain{Zone: fmt.Sprintf("z%d", z), Rack: fmt.Sprintf("r%d", r)}
				name := fmt.Sprintf("%s-%s-h%d", d.Zone, d.Rack, h)
				pool := names[rng.IntN(smallSpareOneIn)]
				out.Hosts = append(out.Hosts, plan.Host{Name: name, Domain: d, Pool: pool, Available: true})
				out.Expected[name] = drawMaintenance(rng)
			}
		}
	}
	return out
}

// measurePlacement compares the placement of one random instance with the best
// placement.
func (f Fleet) measurePlacement(rng *rand.Rand, out *Small) {
	small := f.drawSmall(rng)
	reserve, moves, ok := small.bestPlacement()
	if !ok {
		return
	}
	got := plan.NewPlanner(small.Pools, small.Hosts, plan.DefaultWeights()).Optimise()
	out.Solved++
	if len(got.Shortfalls) > 0 {
		out.Shortfalls++
		return
	}
	out.Reserve += got.Reserve
	out.BestReserve += reserve
	out.Moves += len(got.Moves)
	out.BestMoves += moves
	if reserve > 0 {
		out.WorstReserve = max(out.WorstReserve, float64(got.Reserve)/float64(reserve))
	}
}

// split holds the numbers of hosts of one rack that are in each of the two service
// pools. The other hosts of the rack are in the spare pool.
type split [2]int

// bestPlacement tries all combinations of splits of the racks and returns the least
// reserve at which the pools meet their rules, and the fewest moves for that
// reserve.
func (f Fleet) bestPlacement() (reserve, moves int, ok bool) {
	var racks []plan.Domain
	present := make(map[plan.Domain]map[string]int)
	for _, h := range f.Hosts {
		if present[h.Domain] == nil {
			present[h.Domain] = make(map[string]int)
			racks = append(racks, h.Domain)
		}
		present[h.Domain][h.Pool]++
	}
	var splits []split
	for a := 0; a <= smallRackHosts; a++ {
		for b := 0; a+b <= smallRackHosts; b++ {
			splits = append(splits, split{a, b})
		}
	}
	reserve, moves = math.MaxInt, math.MaxInt
	chosen := make([]int, len(racks))
	for {
		r, m := f.cost(racks, present, splits, chosen)
		if (r < reserve || r == reserve && m < moves) && f.meetsRules(racks, splits, chosen) {
			reserve, moves, ok = r, m, true
		}
		if !increment(chosen, len(splits)) {
			return reserve, moves, ok
		}
	}
}

// increment adds one to a number given by its digits in a base, least significant
// digit first. It returns false on overflow.
func increment(digits []int, base int) bool {
	for i := range digits {
		digits[i]++
		if digits[i] < base {
			return true
		}
		digits[i] = 0
	}
	return false
}

// cost returns the reserve and the number of moves if each rack has its chosen
// split. The elements of chosen are indexes into splits.
func (f Fleet) cost(racks []plan.Domain, present map[plan.Domain]map[string]int, splits []split, chosen []int) (reserve, moves int) {
	a, b := f.Pools[0], f.Pools[1]
	reserve = -a.Promised - b.Promised
	for i, d := range racks {
		s := splits[chosen[i]]
		now := present[d]
		spare := smallRackHosts - s[0] - s[1]
		reserve += s[0] + s[1]
		moves += max(0, s[0]-now[a.Name]) + max(0, s[1]-now[b.Name]) + max(0, spare-now["spare"])
	}
	return reserve, moves
}

// meetsRules reports whether both service pools meet their rules if each rack has
// its chosen split.
func (f Fleet) meetsRules(racks []plan.Domain, splits []split, chosen []int) bool {
	for k, pool := range f.Pools[:2] {
		b := plan.NewBudget(pool.Promised, pool.Tolerance)
		for i, d := range racks {
			for range splits[chosen[i]][k] {
				b.Add(d)
			}
		}
		if b.Margin() < 0 {
			return false
		}
	}
	return true
}

// measureWave compares the rollout time of a wave over one pool with the best
// rollout time. The pool has a few hosts in the user's zones.
func (f Fleet) measureWave(rng *rand.Rand, out *Small) {
	small := f.drawSmall(rng)
	zones := f.layout().zones
	var hosts []plan.Host
	for i := range smallWaveHosts {
		hosts = append(hosts, small.Hosts[i*len(small.Hosts)/smallWaveHosts])
		hosts[i].Pool = small.Pools[0].Name
	}
	small.Hosts = hosts
	small.Pools[0].Promised = rng.IntN(smallWaveHosts - ceilDiv(smallWaveHosts, zones))
	best := small.bestRollout()
	if best == stuck {
		return
	}
	got := small.simulateRollout(plannedStarts)
	out.Waves++
	if got == stuck {
		out.StuckRollouts++
		return
	}
	out.Rollout += got
	out.BestRollout += best
	out.WorstRollout = max(out.WorstRollout, float64(got)/float64(best))
}

// bestRollout tries all orders of the hosts and returns the least rollout time. At
// each time, the hosts are considered in their order and each waiting host starts
// if the budget allows it. The search ends early if it reaches the lower bound.
func (f Fleet) bestRollout() time.Duration {
	names := make([]string, 0, len(f.Hosts))
	for _, h := range f.Hosts {
		names = append(names, h.Name)
	}
	slices.SortFunc(names, func(a, b string) int { return int(f.Expected[b] - f.Expected[a]) })
	bound := f.rolloutBound()
	best := stuck
	var permuteFrom func(k int)
	permuteFrom = func(k int) {
		if best == bound {
			return
		}
		if k == len(names) {
			if d := f.simulateRollout(startsInOrder(names)); d != stuck && (best == stuck || d < best) {
				best = d
			}
			return
		}
		for i := k; i < len(names); i++ {
			names[k], names[i] = names[i], names[k]
			permuteFrom(k + 1)
			names[k], names[i] = names[i], names[k]
		}
	}
	permuteFrom(0)
	return best
}

// startsInOrder returns a policy that starts the waiting hosts that the budget
// allows, in the given order.
func startsInOrder(order []string) startPolicy {
	return func(w *wave) []string {
		budgets := w.budgets()
		var out []string
		for _, name := range order {
			h := w.byName[name]
			if slices.Contains(w.waiting, name) && budgets[h.Pool].MayRemove(h.Domain) {
				budgets[h.Pool].Remove(h.Domain)
				out = append(out, name)
			}
		}
		return out
	}
}
