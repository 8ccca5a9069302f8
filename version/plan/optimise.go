package plan

import (
	"cmp"
	"slices"
)

// Optimise reassigns all available hosts at the lowest weighted cost of reserve, moves
// and spread. Each pool holds the hosts that it can lose with a rack or zone, since
// such a loss is sudden. The hosts for waves and repairs are shared in the spare pool,
// since they can be moved before they are needed.
func (p *Planner) Optimise() Assignment {
	p.saveOrigins()
	order := p.servicePools()
	capacity := p.capacity()
	shapes := make(map[*poolState]shape, len(order))
	for _, pool := range order {
		// Hosts of other pools count as capacity too, since exchanges can free them.
		s, ok := p.chooseShape(pool, capacity)
		shapes[pool] = s
		if ok {
			p.release(pool, s)
			p.grow(pool, s)
		}
	}
	for _, pool := range order {
		p.coverShortfall(pool, shapes)
	}
	p.undoMoves()
	clear(p.dirty)
	return Assignment{Moves: p.changes(), Reserve: p.reserve(), Shortfalls: p.shortfalls()}
}

func (p *Planner) saveOrigins() {
	for _, r := range p.racks {
		for _, h := range r.hosts {
			h.origin = h.pool
		}
	}
}

// servicePools returns all pools but spare ones by the number of promised hosts, largest
// first, since a large pool has the fewest ways to spread its hosts.
func (p *Planner) servicePools() []*poolState {
	var out []*poolState
	for _, pool := range p.pools {
		if !pool.Spare {
			out = append(out, pool)
		}
	}
	slices.SortStableFunc(out, func(a, b *poolState) int { return cmp.Compare(b.Promised, a.Promised) })
	return out
}

// capacity returns the number of available hosts of all pools by rack.
func (p *Planner) capacity() []int {
	out := make([]int, len(p.racks))
	for _, r := range p.racks {
		for _, h := range r.hosts {
			if h.Available && h.pool != nil {
				out[r.id]++
			}
		}
	}
	return out
}

// release returns the pool's hosts beyond the limits of s to the spare pool.
func (p *Planner) release(pool *poolState, s shape) {
	for _, r := range p.racks {
		for pool.racks[r.id] > s.perRack {
			p.assign(hostIn(r, pool), p.spare)
		}
	}
	for _, z := range p.zones {
		for pool.zones[z.id] > s.perZone {
			p.assign(hostIn(fullestRack(pool, z), pool), p.spare)
		}
	}
	for pool.budget.Available() > s.size {
		z := p.zonesByCount(pool, -1)[0]
		p.assign(hostIn(fullestRack(pool, z), pool), p.spare)
	}
}

func fullestRack(pool *poolState, z *zoneState) *rackState {
	return slices.MaxFunc(z.racks, func(a, b *rackState) int {
		return cmp.Compare(pool.racks[a.id], pool.racks[b.id])
	})
}

// grow adds spare hosts within the limits of s until the pool has the size of s.
func (p *Planner) grow(pool *poolState, s shape) {
	for pool.budget.Available() < s.size {
		h := p.pickSpare(pool, s)
		if h == nil {
			return
		}
		p.assign(h, pool)
	}
}

// pickSpare chooses a spare host within the limits of s. It prefers a host that belonged
// to the pool before the plan, then one that another pool has released in this plan,
// since that host moves anyway, then one in the zone with the fewest hosts of the pool.
func (p *Planner) pickSpare(pool *poolState, s shape) *hostState {
	var best *hostState
	var bestRank [4]int
	for _, z := range p.zones {
		if pool.zones[z.id] >= s.perZone {
			continue
		}
		for _, r := range z.racks {
			if r.spareHosts == 0 || pool.racks[r.id] >= s.perRack {
				continue
			}
			h, originRank := p.bestInRack(r, pool)
			hostRank := [4]int{originRank, pool.zones[z.id], pool.racks[r.id], -r.spareHosts}
			if best == nil || slices.Compare(hostRank[:], bestRank[:]) < 0 {
				best, bestRank = h, hostRank
			}
		}
	}
	return best
}

// bestInRack returns the preferred spare host of a rack and its rank: 0 if the host
// belonged to the pool before the plan, 1 if it belonged to another pool, 2 if it was
// spare.
func (p *Planner) bestInRack(r *rackState, pool *poolState) (*hostState, int) {
	var best *hostState
	bestRank := 3
	for _, h := range r.hosts {
		if h.pool != p.spare || !h.Available {
			continue
		}
		rank := 2
		if h.origin == pool {
			rank = 0
		} else if h.origin != p.spare {
			rank = 1
		}
		if rank < bestRank {
			best, bestRank = h, rank
		}
	}
	return best, bestRank
}

// coverShortfall adds the hosts that grow could not add to a pool: by exchanges with
// other pools within the limits of all shapes and, if that fails, by any host that raises
// the margin.
func (p *Planner) coverShortfall(pool *poolState, shapes map[*poolState]shape) {
	for pool.budget.Margin() < 0 {
		if p.exchange(pool, shapes) {
			continue
		}
		h := p.bestSpare(pool)
		if h == nil {
			h = p.bestDonor(pool)
		}
		if h == nil {
			return
		}
		p.assign(h, pool)
	}
}

// exchange adds one host to the pool along the shortest augmenting path: the pool
// receives a host of another pool, which receives one in another rack in its place, and
// so on until a pool receives a spare host.
func (p *Planner) exchange(pool *poolState, shapes map[*poolState]shape) bool {
	type step struct {
		rack     *rackState // where receiver gets a host
		receiver *poolState
		previous int // index of the step in whose rack receiver releases a host; -1: none
	}
	visited := make([]bool, len(p.racks))
	var steps []step
	expand := func(receiver *poolState, releasedIn *rackState, previous int) int {
		s := shapes[receiver]
		for _, r := range p.racks {
			if visited[r.id] {
				continue
			}
			inZone, inRack := receiver.zones[r.zone.id], receiver.racks[r.id]
			if releasedIn != nil && releasedIn.zone == r.zone {
				inZone--
			}
			if inZone >= s.perZone || inRack >= s.perRack {
				continue
			}
			visited[r.id] = true
			steps = append(steps, step{r, receiver, previous})
			if r.spareHosts > 0 {
				return len(steps) - 1
			}
		}
		return -1
	}
	end := expand(pool, nil, -1)
	for at := 0; end < 0 && at < len(steps); at++ {
		for _, other := range p.pools {
			if other == p.spare || other == steps[at].receiver || other.racks[steps[at].rack.id] == 0 {
				continue
			}
			if end = expand(other, steps[at].rack, at); end >= 0 {
				break
			}
		}
	}
	if end < 0 {
		return false
	}
	h := hostIn(steps[end].rack, p.spare)
	for at := end; at >= 0; at = steps[at].previous {
		var released *hostState
		if before := steps[at].previous; before >= 0 {
			released = hostIn(steps[before].rack, steps[at].receiver)
		}
		p.assign(h, steps[at].receiver)
		h = released
	}
	return true
}

// changes lists the hosts whose pool differs from that before the plan.
func (p *Planner) changes() []Move {
	var out []Move
	for _, r := range p.racks {
		for _, h := range r.hosts {
			if h.pool != h.origin && h.origin != nil {
				out = append(out, Move{h.Name, h.origin.Name, h.Pool})
			}
		}
	}
	slices.SortFunc(out, func(a, b Move) int { return cmp.Compare(a.Host, b.Host) })
	return out
}
