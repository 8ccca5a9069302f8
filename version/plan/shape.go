package plan

// shape limits how many hosts a pool may have in one zone and in one rack. A pool
// with size hosts within these limits meets its availability rule.
type shape struct {
	size, perZone, perRack int
}

// shapes calls visit for each candidate shape of a pool. For each limit per rack, the
// shapes come in order of increasing reserve.
func (p *Planner) shapes(pool *poolState, capacity []int, visit func(shape)) {
	largestRack := 1
	for _, c := range capacity {
		largestRack = max(largestRack, c)
	}
	if !pool.Tolerance.Rack {
		p.zoneShapes(pool, capacity, largestRack, 0, visit)
		return
	}
	for perRack := min(1, pool.Promised); perRack <= largestRack; perRack++ {
		p.zoneShapes(pool, capacity, perRack, perRack, visit)
	}
}

func (p *Planner) zoneShapes(pool *poolState, capacity []int, perRack, rackLoss int, visit func(shape)) {
	zoneCapacity := make([]int, len(p.zones))
	total := 0
	for _, r := range p.racks {
		zoneCapacity[r.zone.id] += min(perRack, capacity[r.id])
	}
	largest := 0
	for _, c := range zoneCapacity {
		total += c
		largest = max(largest, c)
	}
	if !pool.Tolerance.Zone {
		if size := pool.Promised + rackLoss; size <= total {
			visit(shape{size, largest, perRack})
		}
		return
	}
	for perZone := min(1, pool.Promised); perZone <= largest; perZone++ {
		usable := 0
		for _, c := range zoneCapacity {
			usable += min(perZone, c)
		}
		if size := pool.Promised + rackLoss + perZone; size <= usable {
			visit(shape{size, perZone, perRack})
		}
	}
}

// chooseShape returns the shape with the lowest weighted cost, given the hosts that the
// pool already has and the capacity of each rack. It reports false if no shape fits.
func (p *Planner) chooseShape(pool *poolState, capacity []int) (shape, bool) {
	var best shape
	bestCost, found := 0.0, false
	p.shapes(pool, capacity, func(s shape) {
		kept := p.keepableHosts(pool, s)
		for _, size := range [2]int{s.size, max(s.size, kept)} {
			option := shape{size, s.perZone, s.perRack}
			cost := p.cost(pool, option, kept)
			if !found || cost < bestCost {
				best, bestCost, found = option, cost, true
			}
		}
	})
	return best, found
}

// keepableHosts returns how many of the pool's present hosts lie within the limits of s.
func (p *Planner) keepableHosts(pool *poolState, s shape) int {
	total := 0
	for _, z := range p.zones {
		inZone := 0
		for _, r := range z.racks {
			inZone += min(s.perRack, pool.racks[r.id])
		}
		total += min(s.perZone, inZone)
	}
	return total
}

func (p *Planner) cost(pool *poolState, s shape, kept int) float64 {
	present := pool.budget.Available()
	stay := min(kept, s.size)
	moves := (s.size - stay) + (present - stay)
	uneven := 0
	if zones := len(p.zones); zones > 0 {
		uneven = max(0, s.perZone-(s.size+zones-1)/zones)
	}
	return p.weights.Buffer*float64(s.size-pool.Promised) +
		p.weights.Move*float64(moves) +
		p.weights.Spread*float64(uneven)
}
