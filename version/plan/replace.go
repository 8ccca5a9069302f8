package plan

import (
	"cmp"
	"slices"
)

// Replan restores the availability rule of the pools that changed since the last plan,
// with the fewest moves. A lost host is replaced only if its pool does not meet the rule
// without it. The cost is proportional to the number of pools that changed.
func (p *Planner) Replan() Assignment {
	var plan Assignment
	for _, pool := range p.takeDirty() {
		plan.Moves = append(plan.Moves, p.fill(pool, 0, true)...)
		plan.Moves = append(plan.Moves, p.returnSurplus(pool)...)
	}
	clear(p.dirty)
	plan.Reserve = p.reserve()
	plan.Shortfalls = p.shortfalls()
	return plan
}

// Lend moves spare hosts into a pool until its margin is at least n, or no spare host
// raises it. It is meant for a pool whose wave could not advance otherwise.
func (p *Planner) Lend(pool string, n int) []Move { return p.Fill(pool, n, false) }

// Fill moves spare hosts, and surplus hosts of other pools where donors is set, into
// a pool until its margin is at least the target, or no host is left. It then drops every
// move without which the margin is as large or still at the target, since several hosts
// of one failure domain may raise the margin no further than one of them does.
func (p *Planner) Fill(pool string, margin int, donors bool) []Move {
	s := p.byPool[pool]
	if s == nil || s == p.spare {
		return nil
	}
	var needed []Move
	moves := p.fill(s, margin, donors)
	for _, m := range moves {
		h := p.hosts[m.Host]
		least := min(margin, s.budget.Margin())
		p.assign(h, p.byPool[m.From])
		if s.budget.Margin() < least {
			p.assign(h, s)
			needed = append(needed, m)
		}
	}
	return needed
}

func (p *Planner) takeDirty() []*poolState {
	var out []*poolState
	for pool := range p.dirty {
		if pool != p.spare {
			out = append(out, pool)
		}
	}
	clear(p.dirty)
	// Pools with a lower margin are replanned first.
	slices.SortFunc(out, func(a, b *poolState) int {
		return cmp.Or(cmp.Compare(a.budget.Margin(), b.budget.Margin()), cmp.Compare(a.Name, b.Name))
	})
	return out
}

// fill moves spare hosts, and surplus hosts of other pools where donors is set, into the
// pool until its margin is at least the target.
func (p *Planner) fill(pool *poolState, margin int, donors bool) []Move {
	var moves []Move
	for pool.budget.Margin() < margin {
		h := p.bestSpare(pool)
		if h == nil && donors {
			h = p.bestDonor(pool)
		}
		if h == nil {
			break
		}
		moves = append(moves, Move{h.Name, h.Pool, pool.Name})
		p.assign(h, pool)
	}
	return moves
}

// returnSurplus returns surplus hosts to the spare pool if a host in reserve costs more than a move.
func (p *Planner) returnSurplus(pool *poolState) []Move {
	if p.weights.Buffer <= p.weights.Move {
		return nil
	}
	var moves []Move
	for {
		h := p.surplusHost(pool)
		if h == nil {
			return moves
		}
		moves = append(moves, Move{h.Name, pool.Name, p.spare.Name})
		p.assign(h, p.spare)
	}
}

// surplusHost returns a host without which the pool still meets its rule, or nil. It
// tries the fullest zones first, and in each the fullest rack.
func (p *Planner) surplusHost(pool *poolState) *hostState {
	if pool.budget.Available() <= pool.Promised || pool.budget.Margin() < 0 {
		return nil
	}
	for _, z := range p.zonesByCount(pool, -1) {
		var best *rackState
		for _, r := range z.racks {
			if pool.racks[r.id] > 0 && (best == nil || pool.racks[r.id] > pool.racks[best.id]) {
				best = r
			}
		}
		if best != nil && pool.budget.MayRemove(best.domain) {
			return hostIn(best, pool)
		}
	}
	return nil
}

func (p *Planner) zonesByCount(pool *poolState, sign int) []*zoneState {
	zones := slices.Clone(p.zones)
	slices.SortStableFunc(zones, func(a, b *zoneState) int {
		return sign * cmp.Compare(pool.zones[a.id], pool.zones[b.id])
	})
	return zones
}

// bestSpare returns the spare host that raises the pool's margin most: one in the zone,
// and there in the rack, with the fewest hosts of the pool. Among equal zones it prefers
// the one with the most spare hosts, since other pools need spare hosts in every zone too.
func (p *Planner) bestSpare(pool *poolState) *hostState {
	zones := p.zonesByCount(p.spare, -1)
	slices.SortStableFunc(zones, func(a, b *zoneState) int { return cmp.Compare(pool.zones[a.id], pool.zones[b.id]) })
	for _, z := range zones {
		var best *rackState
		for _, r := range z.racks {
			if r.spareHosts > 0 && (best == nil || pool.racks[r.id] < pool.racks[best.id]) {
				best = r
			}
		}
		if best != nil {
			return hostIn(best, p.spare)
		}
	}
	return nil
}

// bestDonor returns a host of the pool with the largest margin among those that still
// meet their rule without it.
func (p *Planner) bestDonor(to *poolState) *hostState {
	var best *hostState
	margin := 0
	for _, pool := range p.pools {
		if pool == to || pool == p.spare || pool.budget.Margin() < margin {
			continue
		}
		h := p.surplusHost(pool)
		if h != nil && (best == nil || pool.budget.Margin() > margin) {
			best, margin = h, pool.budget.Margin()
		}
	}
	return best
}

func hostIn(r *rackState, pool *poolState) *hostState {
	for _, h := range r.hosts {
		if h.pool == pool && h.Available {
			return h
		}
	}
	return nil
}
