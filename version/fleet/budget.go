package fleet

import (
	"fmt"
	"iter"

	"marjoramtiller.example/marjoramtiller/version/fleetpb"
)

// View gives read access to pools and hosts. *Fleet implements it, and so can the
// trial state of a planner.
type View interface {
	// Pool returns a pool, or nil.
	Pool(name string) *fleetpb.Pool
	// Host returns a host, or nil.
	Host(name string) *fleetpb.Host
	// PoolHosts iterates the hosts of a pool in name order.
	PoolHosts(pool string) iter.Seq[*fleetpb.Host]
}

// PoolBudget is a pool's availability budget, in hosts.
type PoolBudget struct {
	Promised  int // hosts that must be available at all times
	Total     int // hosts of the pool in any state
	Available int // active hosts
	WaveOut   int // hosts that are draining, released or out for a wave
	WorstLoss int // greatest number of active hosts that the rack and zone losses to survive can remove together
	// WaveReserve is the number of hosts that waves may still drain within
	// max_out, for a pool that must survive its waves. Hosts that are already out
	// for a wave are not in Available, so they don't count here.
	WaveReserve int
	MaxOut      int // limit of WaveOut; 0 means no limit but the availability budget
}

// Spare returns the number of hosts by which the pool exceeds the availability
// budget rule, available - worst loss - wave reserve >= promised. It is negative
// while the rule is not met.
func (b PoolBudget) Spare() int {
	return b.Available - b.WorstLoss - b.WaveReserve - b.Promised
}

// Met reports whether the availability budget rule holds.
func (b PoolBudget) Met() bool { return b.Spare() >= 0 }

// Budget computes the availability budget of a pool in one pass over the pool's
// hosts. The budget of an unknown pool is the zero value.
func Budget(view View, pool string) PoolBudget {
	p := view.Pool(pool)
	if p == nil {
		return PoolBudget{}
	}
	return BudgetOf(p, view.PoolHosts(pool))
}

// BudgetOf computes the budget that pool p would have with the given hosts.
func BudgetOf(p *fleetpb.Pool, hosts iter.Seq[*fleetpb.Host]) PoolBudget {
	return budget(p, hosts, "", false)
}

// CheckDrain returns nil if the availability budget rule holds now and after host
// starts to drain, and a *BudgetError otherwise. byWave is true for the drain of
// a wave, which is also limited by max_out, and false for a move to another pool.
func CheckDrain(view View, host *fleetpb.Host, byWave bool) error {
	p := view.Pool(host.GetPool())
	if p == nil {
		return nil
	}
	before := BudgetOf(p, view.PoolHosts(p.Name))
	after := budget(p, view.PoolHosts(p.Name), host.Name, byWave)
	switch {
	case !before.Met():
		return &BudgetError{Pool: p.Name, Host: host.Name, Budget: before, Reason: "the rule is not met already"}
	case byWave && p.MaxOut > 0 && after.WaveOut > after.MaxOut:
		return &BudgetError{Pool: p.Name, Host: host.Name, Budget: after, Reason: "more hosts than max_out would be out"}
	case !after.Met():
		return &BudgetError{Pool: p.Name, Host: host.Name, Budget: after, Reason: "the rule would not be met"}
	}
	return nil
}

// BudgetError reports that a drain is refused by a pool's availability budget.
type BudgetError struct {
	Pool   string
	Host   string
	Budget PoolBudget
	Reason string
}

func (e *BudgetError) Error() string {
	b := e.Budget
	return fmt.Sprintf("availability budget of pool %s: %s (available %d, worst loss %d, wave reserve %d, promised %d): wait for hosts to return, or add hosts to the pool",
		e.Pool, e.Reason, b.Available, b.WorstLoss, b.WaveReserve, b.Promised)
}

type rackID struct{ zone, rack string }

// budget computes the budget of pool p with the given hosts. The host named
// draining, if any, is counted as if it were draining already: for a wave if
// byWave is true, or else for a move.
func budget(p *fleetpb.Pool, hosts iter.Seq[*fleetpb.Host], draining string, byWave bool) PoolBudget {
	b := PoolBudget{Promised: int(p.PromisedHosts), MaxOut: int(p.MaxOut)}
	racks := make(map[rackID]int)
	zones := make(map[string]int)
	for h := range hosts {
		b.Total++
		switch {
		case draining != "" && h.Name == draining:
			if byWave {
				b.WaveOut++
			}
		case h.State == fleetpb.HostState_HOST_STATE_ACTIVE:
			b.Available++
			racks[rackID{h.Zone, h.Rack}]++
			zones[h.Zone]++
		case h.Wave != "":
			b.WaveOut++
		}
	}
	b.WorstLoss = worstLoss(p, racks, zones)
	if p.SurviveWave {
		b.WaveReserve = min(max(0, b.MaxOut-b.WaveOut), b.Available)
	}
	return b
}

// worstLoss returns the greatest number of active hosts that the failures which
// the pool must survive at the same time can remove: one rack, one zone, or both.
// With both, the rack is outside the zone, so no host is counted twice.
func worstLoss(p *fleetpb.Pool, racks map[rackID]int, zones map[string]int) int {
	worst := 0
	if !p.SurviveZone {
		if p.SurviveRack {
			for _, n := range racks {
				worst = max(worst, n)
			}
		}
		return worst
	}
	for zone, lost := range zones {
		rackElsewhere := 0
		if p.SurviveRack {
			for id, n := range racks {
				if id.zone != zone {
					rackElsewhere = max(rackElsewhere, n)
				}
			}
		}
		worst = max(worst, lost+rackElsewhere)
	}
	return worst
}
