package slots

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
)

// Rebalance moves shares toward demand and returns the entries whose grant
// changed, ordered by name and boot id. It does nothing while an entry of the
// earlier term has not reported, because that entry may hold any slot.
func (a *Allocator) Rebalance() []EntryID {
	if a.broken != nil || len(a.unreported) > 0 {
		return nil
	}
	live := a.liveEntries()
	if len(live) == 0 {
		return nil
	}
	before := make([]uint64, len(live))
	for i, e := range live {
		before[i] = e.latestGrant
	}
	for _, service := range slices.Sorted(maps.Keys(a.dirty)) {
		a.rebalanceService(service, live)
	}
	clear(a.dirty)
	var changed []EntryID
	for i, e := range live {
		if e.latestGrant != before[i] {
			changed = append(changed, e.id)
		}
	}
	return changed
}

// serviceRebalance is the working state of one Rebalance for one service.
type serviceRebalance struct {
	alloc      *Allocator
	live       []*entryState
	servers    []string
	totalSlots int
	free       map[string]int // by server: slots that no entry can be using
	current    []int          // by live entry: granted slots
	target     []int
	grants     []uint64 // by live entry: number of this rebalance's grant; 0 until its share changes
}

func (a *Allocator) rebalanceService(service string, live []*entryState) {
	r := &serviceRebalance{alloc: a, live: live, servers: a.services[service], free: make(map[string]int)}
	r.current = make([]int, len(live))
	r.grants = make([]uint64, len(live))
	for _, name := range r.servers {
		slots := int(a.servers[name].Slots)
		r.totalSlots += slots
		r.free[name] = max(0, slots-int(a.MaxInUse(name)))
		for i, e := range live {
			r.current[i] += int(e.granted[name])
		}
	}
	r.reclaimExcess()
	r.target = demandTargets(r.totalSlots, live, service, r.current)
	grantedBefore := slices.Clone(r.current)
	r.grantFreeSlots()
	r.reclaimForDemand()
	r.checkKeepsOne(service, grantedBefore)
}

// reclaimExcess reclaims the granted slots that exceed a server's slots. This
// happens after the server announced fewer slots, or when shares adopted from an
// earlier leader add up to more than it has.
func (r *serviceRebalance) reclaimExcess() {
	for _, name := range r.servers {
		slots := int(r.alloc.servers[name].Slots)
		sum := 0
		for _, e := range r.live {
			sum += int(e.granted[name])
		}
		for ; sum > slots; sum-- {
			r.reclaimOne(r.entryWithMostSlots(name), name)
		}
	}
}

func (r *serviceRebalance) entryWithMostSlots(server string) int {
	best := 0
	for i, e := range r.live {
		if e.granted[server] > r.live[best].granted[server] {
			best = i
		}
	}
	return best
}

// demandTargets divides the slots of a service among the entries in proportion
// to demand. Each entry first gets one slot if there are enough. One slot is added
// to the demand of every entry, so that idle entries get equal shares. Slots left
// over by rounding go to the entries with the largest remainders; of equal
// remainders the entry with more granted slots comes first.
func demandTargets(total int, live []*entryState, service string, current []int) []int {
	out := make([]int, len(live))
	if total < len(live) {
		return scarceTargets(total, live, service, current)
	}
	weights := make([]float64, len(live))
	sum := 0.0
	for i, e := range live {
		weights[i] = 1 + max(0, e.demand[service])
		sum += weights[i]
	}
	remaining := total - len(live)
	assigned := 0
	remainder := make([]float64, len(live))
	for i := range live {
		exact := float64(remaining) * weights[i] / sum
		out[i] = 1 + int(exact)
		remainder[i] = exact - float64(int(exact))
		assigned += out[i]
	}
	order := indexes(len(live))
	slices.SortStableFunc(order, func(i, j int) int {
		return cmp.Or(cmp.Compare(remainder[j], remainder[i]), cmp.Compare(current[j], current[i]))
	})
	for n := 0; assigned < total; n++ {
		out[order[n%len(order)]]++
		assigned++
	}
	return out
}

// scarceTargets handles a service with fewer slots than entries: it assigns one
// slot each to as many entries as there are slots. Entries that already have a
// slot come first, because moving it would interrupt them without a gain; the
// rest follow by demand.
func scarceTargets(total int, live []*entryState, service string, current []int) []int {
	out := make([]int, len(live))
	order := indexes(len(live))
	slices.SortStableFunc(order, func(i, j int) int {
		return cmp.Or(cmp.Compare(min(current[j], 1), min(current[i], 1)), cmp.Compare(live[j].demand[service], live[i].demand[service]))
	})
	for _, i := range order[:total] {
		out[i] = 1
	}
	return out
}

func indexes(n int) []int {
	out := make([]int, n)
	for i := range out {
		out[i] = i
	}
	return out
}

// grantFreeSlots grants each free slot to the entry that is furthest below its
// target. Each pass grants at most one slot per server, beginning with the
// servers that have the most free slots.
func (r *serviceRebalance) grantFreeSlots() {
	order := slices.Clone(r.servers)
	slices.SortStableFunc(order, func(x, y string) int { return cmp.Compare(r.free[y], r.free[x]) })
	for granted := true; granted; {
		granted = false
		for _, name := range order {
			if r.free[name] == 0 {
				continue
			}
			i := r.furthestBelowTarget(name)
			if i < 0 {
				return
			}
			r.grantOne(i, name)
			granted = true
		}
	}
}

// furthestBelowTarget returns the index of the live entry that is furthest below
// its target, or -1 if none is below. Of equal entries it picks the one with the
// smallest share of the server, so that each entry's slots are spread over servers.
func (r *serviceRebalance) furthestBelowTarget(server string) int {
	best := -1
	for i, e := range r.live {
		deficit := r.target[i] - r.current[i]
		if deficit <= 0 {
			continue
		}
		if best < 0 {
			best = i
			continue
		}
		bestDeficit := r.target[best] - r.current[best]
		if deficit > bestDeficit || (deficit == bestDeficit && e.granted[server] < r.live[best].granted[server]) {
			best = i
		}
	}
	return best
}

// reclaimForDemand reclaims slots from entries above their target for those that
// are still below theirs. Slots that were reclaimed earlier and are not yet free
// reduce the shortfall, so they are not reclaimed a second time.
func (r *serviceRebalance) reclaimForDemand() {
	band := max(1, r.totalSlots/bandDivisor)
	shortfall := 0
	for i := range r.live {
		deficit := r.target[i] - r.current[i]
		if deficit > band || (deficit > 0 && r.current[i] == 0) {
			shortfall += deficit
		}
	}
	shortfall -= r.returningSlots()
	shortfall = min(shortfall, max(1, r.totalSlots/churnDivisor))
	for ; shortfall > 0; shortfall-- {
		i := r.furthestAboveTarget()
		if i < 0 {
			return
		}
		r.reclaimOne(i, r.serverWithMostSlots(i))
	}
}

// returningSlots counts the reclaimed slots that are not free yet, because an
// entry has not acknowledged the decrease or still has requests in flight.
func (r *serviceRebalance) returningSlots() int {
	n := 0
	for _, name := range r.servers {
		grantedSlots := 0
		for _, e := range r.live {
			grantedSlots += int(e.granted[name])
		}
		n += max(0, int(r.alloc.servers[name].Slots)-grantedSlots-r.free[name])
	}
	return n
}

func (r *serviceRebalance) furthestAboveTarget() int {
	best := -1
	for i := range r.live {
		excess := r.current[i] - r.target[i]
		if excess > 0 && (best < 0 || excess > r.current[best]-r.target[best]) {
			best = i
		}
	}
	return best
}

// serverWithMostSlots returns the server on which a live entry has the most slots.
func (r *serviceRebalance) serverWithMostSlots(i int) string {
	best := ""
	most := uint32(0)
	for _, name := range r.servers {
		if n := r.live[i].granted[name]; n > most {
			best = name
			most = n
		}
	}
	return best
}

func (r *serviceRebalance) grantNumber(i int) uint64 {
	if r.grants[i] == 0 {
		r.grants[i] = r.alloc.nextGrant(r.live[i])
	}
	return r.grants[i]
}

func (r *serviceRebalance) reclaimOne(i int, server string) {
	e := r.live[i]
	e.setShare(server, e.granted[server]-1, r.grantNumber(i))
	r.current[i]--
}

// grantOne grants one free slot. It checks the invariant that a grant never lets
// entries use more slots than the server has.
func (r *serviceRebalance) grantOne(i int, server string) {
	e := r.live[i]
	r.free[server]--
	r.current[i]++
	usedBefore := e.maxInUse(server)
	e.setShare(server, e.granted[server]+1, r.grantNumber(i))
	slots := r.alloc.servers[server].Slots
	if e.maxInUse(server) > usedBefore && r.alloc.MaxInUse(server) > slots {
		r.alloc.fail(InvariantNotOvergranted, fmt.Sprintf("server %s has %d slots, entries may be using %d", server, slots, r.alloc.MaxInUse(server)))
	}
}

// checkKeepsOne checks the invariant that an entry does not lose its last slot of
// a service for another entry's demand while there is a slot for every entry.
func (r *serviceRebalance) checkKeepsOne(service string, grantedBefore []int) {
	if r.totalSlots < len(r.live) {
		return
	}
	for i, e := range r.live {
		if r.current[i] == 0 && grantedBefore[i] > 0 {
			r.alloc.fail(InvariantKeepsOne, "entry "+e.id.Entry+" lost its last slot of service "+service)
		}
	}
}
