package plan

import (
	"cmp"
	"slices"
)

// Planner keeps the assignment of hosts to pools and updates it for the pools that changed.
// It is not safe for concurrent use.
type Planner struct {
	weights Weights
	pools   []*poolState
	byPool  map[string]*poolState
	spare   *poolState
	hosts   map[string]*hostState
	racks   []*rackState
	byRack  map[Domain]*rackState
	zones   []*zoneState
	byZone  map[string]*zoneState
	dirty   map[*poolState]bool
}

type hostState struct {
	Host
	pool   *poolState
	rack   *rackState
	origin *poolState // pool before the current plan
}

type poolState struct {
	Pool
	budget *Budget
	zones  []int // available hosts by zone
	racks  []int // available hosts by rack
}

type zoneState struct {
	id    int
	name  string
	racks []*rackState
}

type rackState struct {
	id         int
	domain     Domain
	zone       *zoneState
	hosts      []*hostState // by name
	spareHosts int          // available hosts of the spare pool
}

// NewPlanner returns a planner for a snapshot. Hosts of unknown pools count as
// unavailable. If there is no spare pool, an empty one without a name is added.
func NewPlanner(pools []Pool, hosts []Host, w Weights) *Planner {
	p := &Planner{
		weights: w,
		byPool:  map[string]*poolState{},
		hosts:   make(map[string]*hostState, len(hosts)),
		byRack:  map[Domain]*rackState{},
		byZone:  map[string]*zoneState{},
		dirty:   map[*poolState]bool{},
	}
	for _, pool := range pools {
		p.addPool(pool)
	}
	if p.spare == nil {
		p.addPool(Pool{Spare: true})
	}
	slices.SortFunc(p.pools, func(a, b *poolState) int { return cmp.Compare(a.Name, b.Name) })
	sorted := slices.Clone(hosts)
	slices.SortFunc(sorted, func(a, b Host) int {
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Rack, b.Rack), cmp.Compare(a.Name, b.Name))
	})
	for _, h := range sorted {
		p.SetHost(h)
	}
	return p
}

func (p *Planner) addPool(pool Pool) {
	s := &poolState{Pool: pool, budget: NewBudget(pool.Promised, pool.Tolerance)}
	p.pools = append(p.pools, s)
	p.byPool[pool.Name] = s
	if pool.Spare && p.spare == nil {
		p.spare = s
	}
}

// SetHost adds a host or updates its state. The cost does not depend on the size of the fleet.
func (p *Planner) SetHost(h Host) {
	p.RemoveHost(h.Name)
	rack := p.rack(h.Domain)
	s := &hostState{Host: h, pool: p.byPool[h.Pool], rack: rack}
	p.hosts[h.Name] = s
	at, _ := slices.BinarySearchFunc(rack.hosts, h.Name, compareHostName)
	rack.hosts = slices.Insert(rack.hosts, at, s)
	p.updateCounts(s, 1)
}

// RemoveHost removes a host. Unknown names are ignored.
func (p *Planner) RemoveHost(name string) {
	s := p.hosts[name]
	if s == nil {
		return
	}
	p.updateCounts(s, -1)
	at, _ := slices.BinarySearchFunc(s.rack.hosts, name, compareHostName)
	s.rack.hosts = slices.Delete(s.rack.hosts, at, at+1)
	delete(p.hosts, name)
}

func compareHostName(h *hostState, name string) int { return cmp.Compare(h.Name, name) }

// Budget returns a pool's budget, which the caller must not change; nil when the pool is unknown.
func (p *Planner) Budget(pool string) *Budget {
	if s := p.byPool[pool]; s != nil {
		return s.budget
	}
	return nil
}

func (p *Planner) rack(d Domain) *rackState {
	if r := p.byRack[d]; r != nil {
		return r
	}
	z := p.byZone[d.Zone]
	if z == nil {
		z = &zoneState{id: len(p.zones), name: d.Zone}
		p.zones = append(p.zones, z)
		p.byZone[d.Zone] = z
		for _, pool := range p.pools {
			pool.zones = append(pool.zones, 0)
		}
	}
	r := &rackState{id: len(p.racks), domain: d, zone: z}
	z.racks = append(z.racks, r)
	p.racks = append(p.racks, r)
	p.byRack[d] = r
	for _, pool := range p.pools {
		pool.racks = append(pool.racks, 0)
	}
	return r
}

// updateCounts adds an available host to the counts of its pool if delta is 1 and
// removes it if delta is -1.
func (p *Planner) updateCounts(h *hostState, delta int) {
	if h.pool == nil || !h.Available {
		return
	}
	h.pool.zones[h.rack.zone.id] += delta
	h.pool.racks[h.rack.id] += delta
	if h.pool == p.spare {
		h.rack.spareHosts += delta
	}
	if delta > 0 {
		h.pool.budget.Add(h.Domain)
	} else {
		h.pool.budget.Remove(h.Domain)
	}
	p.dirty[h.pool] = true
}

func (p *Planner) assign(h *hostState, to *poolState) {
	p.updateCounts(h, -1)
	h.pool = to
	h.Pool = to.Name
	p.updateCounts(h, 1)
}

// reserve returns the number of hosts held above the promised numbers, plus the largest
// wave reserve of any pool, which all pools share in the spare pool.
func (p *Planner) reserve() int {
	total, wave := 0, 0
	for _, pool := range p.pools {
		if pool == p.spare {
			continue
		}
		total += max(0, pool.budget.Available()-pool.Promised)
		wave = max(wave, pool.waveReserve())
	}
	return total + wave
}

func (p *Planner) shortfalls() []Shortfall {
	var out []Shortfall
	wave := 0
	for _, pool := range p.pools {
		wave = max(wave, pool.waveReserve())
		if m := pool.budget.Margin(); m < 0 && pool != p.spare {
			out = append(out, Shortfall{pool.Name, -m})
		}
	}
	if missing := wave - p.spare.budget.Available(); missing > 0 {
		out = append(out, Shortfall{p.spare.Name, missing})
	}
	return out
}
