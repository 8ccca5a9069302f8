package slots

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
)

// Rebalance moves shares toward demand and returns the holders whose grant
// changed, in order. It does nothing while an entry of the earlier term is
// silent, because that entry may hold any slot.
func (a *Allocator) Rebalance() []Holder {
	if a.broken != nil || len(a.silent) > 0 {
		return nil
	}
	live := a.live()
	if len(live) == 0 {
		return nil
	}
	before := make([]uint64, len(live))
	for i, h := range live {
		before[i] = h.number
	}
	for _, service := range slices.Sorted(maps.Keys(a.dirty)) {
		a.rebalanceService(service, live)
	}
	clear(a.dirty)
	var changed []Holder
	for i, h := range live {
		if h.number != before[i] {
			changed = append(changed, h.id)
		}
	}
	return changed
}

// round is the rebalancing of one service.
type round struct {
	a       *Allocator
	live    []*holder
	servers []string
	total   int
	free    map[string]int // slots of each server that no entry may be using
	cur     []int          // slots of each live entry
	target  []int
	numbers []uint64 // grant of this round for each live entry; 0 before a change
}

func (a *Allocator) rebalanceService(service string, live []*holder) {
	r := &round{a: a, live: live, servers: a.services[service], free: make(map[string]int)}
	r.cur = make([]int, len(live))
	r.numbers = make([]uint64, len(live))
	for _, name := range r.servers {
		slots := int(a.servers[name].Slots)
		r.total += slots
		r.free[name] = max(0, slots-int(a.Bound(name)))
		for i, h := range live {
			r.cur[i] += int(h.current[name])
		}
	}
	r.shrink()
	r.target = targets(r.total, live, service, r.cur)
	held := slices.Clone(r.cur)
	r.giveFree()
	r.take()
	r.check(service, held)
}

// shrink takes back what exceeds a server's slots, after it announced fewer or
// when adopted shares add up to more.
func (r *round) shrink() {
	for _, name := range r.servers {
		slots := int(r.a.servers[name].Slots)
		sum := 0
		for _, h := range r.live {
			sum += int(h.current[name])
		}
		for ; sum > slots; sum-- {
			r.takeOne(r.largestOn(name), name)
		}
	}
}

func (r *round) largestOn(server string) int {
	best := 0
	for i, h := range r.live {
		if h.current[server] > r.live[best].current[server] {
			best = i
		}
	}
	return best
}

// targets divides total slots by demand. Each entry gets one first if there are
// enough. A demand of one slot is added to all, so that idle entries share
// evenly. Fractions go to the largest remainder, then to the present holder.
func targets(total int, live []*holder, service string, cur []int) []int {
	out := make([]int, len(live))
	if total < len(live) {
		return scarce(total, live, service, cur)
	}
	weights := make([]float64, len(live))
	sum := 0.0
	for i, h := range live {
		weights[i] = 1 + max(0, h.demand[service])
		sum += weights[i]
	}
	rest := total - len(live)
	given := 0
	remainder := make([]float64, len(live))
	for i := range live {
		exact := float64(rest) * weights[i] / sum
		out[i] = 1 + int(exact)
		remainder[i] = exact - float64(int(exact))
		given += out[i]
	}
	order := indexes(len(live))
	slices.SortStableFunc(order, func(i, j int) int {
		return cmp.Or(cmp.Compare(remainder[j], remainder[i]), cmp.Compare(cur[j], cur[i]))
	})
	for n := 0; given < total; n++ {
		out[order[n%len(order)]]++
		given++
	}
	return out
}

// scarce gives one slot each to as many entries as there are slots: those that
// have one first, because to move them interrupts for nothing, then by demand.
func scarce(total int, live []*holder, service string, cur []int) []int {
	out := make([]int, len(live))
	order := indexes(len(live))
	slices.SortStableFunc(order, func(i, j int) int {
		return cmp.Or(cmp.Compare(min(cur[j], 1), min(cur[i], 1)), cmp.Compare(live[j].demand[service], live[i].demand[service]))
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

// giveFree grants each free slot to the entry that is furthest below its
// target, on the servers with most free slots first.
func (r *round) giveFree() {
	order := slices.Clone(r.servers)
	slices.SortStableFunc(order, func(x, y string) int { return cmp.Compare(r.free[y], r.free[x]) })
	for given := true; given; {
		given = false
		for _, name := range order {
			if r.free[name] == 0 {
				continue
			}
			i := r.neediest(name)
			if i < 0 {
				return
			}
			r.giveOne(i, name)
			given = true
		}
	}
}

// neediest returns the entry furthest below its target, or -1. Of equals it is
// the one with the smallest share of the server, which spreads entries.
func (r *round) neediest(server string) int {
	best := -1
	for i, h := range r.live {
		need := r.target[i] - r.cur[i]
		if need <= 0 {
			continue
		}
		if best < 0 {
			best = i
			continue
		}
		bestNeed := r.target[best] - r.cur[best]
		if need > bestNeed || (need == bestNeed && h.current[server] < r.live[best].current[server]) {
			best = i
		}
	}
	return best
}

// take asks entries above their target to give slots back for those that are
// still below theirs, less what is on its way back already.
func (r *round) take() {
	band := max(1, r.total/bandDivisor)
	short := 0
	for i := range r.live {
		need := r.target[i] - r.cur[i]
		if need > band || (need > 0 && r.cur[i] == 0) {
			short += need
		}
	}
	short -= r.returning()
	short = min(short, max(1, r.total/churnDivisor))
	for ; short > 0; short-- {
		i := r.mostAbove()
		if i < 0 {
			return
		}
		r.takeOne(i, r.largestShare(i))
	}
}

// returning counts the slots that entries still have to acknowledge or finish.
func (r *round) returning() int {
	n := 0
	for _, name := range r.servers {
		granted := 0
		for _, h := range r.live {
			granted += int(h.current[name])
		}
		n += max(0, int(r.a.servers[name].Slots)-granted-r.free[name])
	}
	return n
}

func (r *round) mostAbove() int {
	best := -1
	for i := range r.live {
		above := r.cur[i] - r.target[i]
		if above > 0 && (best < 0 || above > r.cur[best]-r.target[best]) {
			best = i
		}
	}
	return best
}

// largestShare returns the server on which an entry has most slots.
func (r *round) largestShare(i int) string {
	best := ""
	most := uint32(0)
	for _, name := range r.servers {
		if n := r.live[i].current[name]; n > most {
			best = name
			most = n
		}
	}
	return best
}

func (r *round) number(i int) uint64 {
	if r.numbers[i] == 0 {
		r.numbers[i] = r.a.next(r.live[i])
	}
	return r.numbers[i]
}

func (r *round) takeOne(i int, server string) {
	h := r.live[i]
	h.set(server, h.current[server]-1, r.number(i))
	r.cur[i]--
}

// giveOne grants one free slot. The slots that entries may be using never
// exceed what the server has because of a grant.
func (r *round) giveOne(i int, server string) {
	h := r.live[i]
	r.free[server]--
	r.cur[i]++
	before := h.bound(server)
	h.set(server, h.current[server]+1, r.number(i))
	slots := r.a.servers[server].Slots
	if h.bound(server) > before && r.a.Bound(server) > slots {
		r.a.fail(InvariantNotOvergranted, fmt.Sprintf("server %s has %d slots, entries may be using %d", server, slots, r.a.Bound(server)))
	}
}

func (r *round) check(service string, held []int) {
	if r.total < len(r.live) {
		return
	}
	for i, h := range r.live {
		if r.cur[i] == 0 && held[i] > 0 {
			r.a.fail(InvariantKeepsOne, "entry "+h.id.Entry+" lost its last slot of service "+service)
		}
	}
}
