package reconcile

import (
	"cmp"
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"marjoramtiller.example/marjoramtiller/version/fleet"
	"marjoramtiller.example/marjoramtiller/version/fleetpb"
	"marjoramtiller.example/marjoramtiller/version/plan"
)

// moveToHomePools drains hosts that are not in their home pool, as far as the
// budget of the pool that they leave allows. It handles either lent hosts or hosts
// whose home pool an operator changed. Hosts whose home pool is below its budget
// are drained first.
func (r *round) moveToHomePools(lent bool) {
	var away []*fleetpb.Host
	for h := range r.trial.hosts() {
		if active(h) && h.GetPool() != h.GetHomePool() && h.GetLent() == lent {
			away = append(away, h)
		}
	}
	for _, toShort := range []bool{true, false} {
		for _, h := range away {
			home := r.in.Fleet.Pool(h.GetHomePool())
			if !active(r.trial.Host(h.GetName())) || toShort && r.trial.budgetAfterMoves(home).Met() {
				continue
			}
			if !r.neededInPool(h) && fleet.CheckDrain(r.trial, h, false) == nil {
				r.hostStep(h, fleetpb.HostStep_KIND_DRAIN, home.GetName(), "")
			}
		}
	}
}

// neededInPool reports whether a pool still needs a host that is not in its home
// pool. A lent host stays while a wave in progress has hosts waiting in the pool,
// because the wave would otherwise need another loan, unless the wave cannot advance
// even with spare hosts. A host with a new home pool stays while its departure would
// block a wave that can advance.
func (r *round) neededInPool(h *fleetpb.Host) bool {
	pool := r.in.Fleet.Pool(h.GetPool())
	if h.GetLent() {
		return len(r.waiting[pool.GetName()]) > 0 && !r.unhelpedPools[pool.GetName()]
	}
	if len(r.ready[pool.GetName()]) == 0 || reserved(pool) || r.blocked(pool) {
		return false
	}
	return fleet.Budget(r.trial, pool.GetName()).Spare() <= 1
}

// reserved reports whether a pool's availability rule includes a reserve for waves,
// so that a wave can advance whenever the rule is met.
func reserved(p *fleetpb.Pool) bool { return p.GetSurviveWave() && p.GetMaxOut() > 0 }

// blocked reports whether running waves have hosts to drain in a pool, none in
// maintenance, and none that the budget allows to drain.
func (r *round) blocked(p *fleetpb.Pool) bool {
	if p.GetSpare() || r.inMaintenance[p.GetName()] > 0 {
		return false
	}
	ready := false
	for _, h := range r.ready[p.GetName()] {
		now := r.trial.Host(h.GetName())
		ready = ready || active(now)
		if active(now) && fleet.CheckDrain(r.trial, now, true) == nil {
			return false
		}
	}
	return ready
}

// fillShortfalls moves hosts to pools below their availability rule. It first
// cancels moves out of the pool that are still draining, then moves in spare hosts
// and surplus hosts of other pools. The pool that the fewest spare hosts would help
// is filled first.
func (r *round) fillShortfalls() {
	var short []shortPool
	for p := range r.in.Fleet.Pools() {
		if p.GetSpare() || r.trial.budgetAfterMoves(p).Met() {
			continue
		}
		for _, h := range r.trial.movingHosts() {
			draining := h.GetState() == fleetpb.HostState_HOST_STATE_DRAINING
			if h.GetPool() == p.GetName() && draining && !r.hasStep(h) && !r.trial.budgetAfterMoves(p).Met() {
				r.hostStep(h, fleetpb.HostStep_KIND_CANCEL, "", "")
			}
		}
		if !r.trial.budgetAfterMoves(p).Met() {
			short = append(short, shortPool{p, r.countHelpfulSpares(p)})
		}
	}
	slices.SortStableFunc(short, func(a, b shortPool) int { return cmp.Compare(a.helpfulSpares, b.helpfulSpares) })
	for _, s := range short {
		r.lend(r.planner(s.pool).Fill(s.pool.GetName(), 0, true))
	}
}

// shortPool is a pool below its availability rule, with the number of spare hosts
// each of which would by itself reduce the shortfall.
type shortPool struct {
	pool          *fleetpb.Pool
	helpfulSpares int
}

func (r *round) countHelpfulSpares(p *fleetpb.Pool) int {
	n := 0
	before := r.trial.budgetAfterMoves(p).Spare()
	for h := range r.trial.hosts() {
		if active(h) && r.in.Fleet.Pool(h.GetPool()).GetSpare() && r.trial.budgetAfterMoves(p, h).Spare() > before {
			n++
		}
	}
	return n
}

// hasStep reports whether this round already has a step for a host.
func (r *round) hasStep(h *fleetpb.Host) bool { return r.trial.changed[h.GetName()] != nil }

// unblockWaves lends spare hosts to the pools whose waves cannot advance: no more
// than are needed to drain every waiting host one after the other, and none if no
// host could drain even then. Pools that each hold some of the spare hosts would wait
// for each other, so a pool that cannot advance even with a loan returns its lent
// hosts.
func (r *round) unblockWaves() {
	for p := range r.in.Fleet.Pools() {
		if !r.blocked(p) || r.allowsDrains(p, nil, false) {
			continue // the wave can advance, now or when hosts that move to the pool have arrived
		}
		moves := r.singleLoan(p)
		if moves == nil {
			moves = r.planner(p).Fill(p.GetName(), 1, false)
		}
		all := r.allowsDrains(p, moves, true)
		if !all && !r.allowsDrains(p, moves, false) {
			r.unhelpedPools[p.GetName()] = true
			continue
		}
		for i := len(moves) - 1; i >= 0; i-- {
			if fewer := slices.Delete(slices.Clone(moves), i, i+1); r.allowsDrains(p, fewer, all) {
				moves = fewer
			}
		}
		r.lend(moves)
	}
}

// singleLoan returns the move of one spare host with which every waiting host of a
// pool can be drained, or nil. The planner has no information about which hosts wait
// and may therefore move more hosts than needed.
func (r *round) singleLoan(p *fleetpb.Pool) []plan.Move {
	tried := make(map[plan.Domain]bool)
	for h := range r.trial.hosts() {
		domain := planHost(h).Domain
		if !active(h) || !r.in.Fleet.Pool(h.GetPool()).GetSpare() || tried[domain] {
			continue
		}
		tried[domain] = true
		if move := []plan.Move{{Host: h.GetName(), From: h.GetPool(), To: p.GetName()}}; r.allowsDrains(p, move, true) {
			return move
		}
	}
	return nil
}

// allowsDrains reports whether, after the moves, a pool's rule would allow any
// (or all, if all is set) of the hosts that wait for a running wave to be drained,
// one at a time.
func (r *round) allowsDrains(p *fleetpb.Pool, moves []plan.Move, all bool) bool {
	var coming []*fleetpb.Host
	for _, m := range moves {
		coming = append(coming, r.trial.Host(m.Host))
	}
	if !r.trial.budgetAfterMoves(p, coming...).Met() {
		return false
	}
	tried := make(map[plan.Domain]bool)
	t := &trial{fleet: r.trial.fleet, changed: maps.Clone(r.trial.changed), moving: r.trial.moving}
	for _, h := range r.ready[p.GetName()] {
		before := t.Host(h.GetName())
		domain := planHost(before).Domain
		if !active(before) || tried[domain] {
			continue
		}
		tried[domain] = true
		out := proto.CloneOf(before)
		out.State, out.Wave = fleetpb.HostState_HOST_STATE_DRAINING, "wave"
		t.changed[out.Name] = out
		met := t.budgetAfterMoves(p, coming...).Met()
		t.changed[out.Name] = before
		if met != all {
			return met
		}
	}
	return all
}

// unblockExchanges lends one spare host to a pool without surplus that must send
// a host to another pool and receive one, when neither host may leave its pool before
// the other has arrived. The lent host returns to its home pool after both have moved.
func (r *round) unblockExchanges() {
	leaving, coming := make(map[string]bool), make(map[string]bool)
	for h := range r.trial.hosts() {
		if active(h) && !h.GetLent() && h.GetPool() != h.GetHomePool() && fleet.CheckDrain(r.trial, h, false) != nil {
			leaving[h.GetPool()] = true
			coming[h.GetHomePool()] = true
		}
	}
	for p := range r.in.Fleet.Pools() {
		if leaving[p.GetName()] && coming[p.GetName()] && r.trial.budgetAfterMoves(p).Spare() == 0 {
			r.lend(r.planner(p).Fill(p.GetName(), 1, false))
			return
		}
	}
}

// lend drains hosts for moves to pools other than their home pool.
func (r *round) lend(moves []plan.Move) {
	for _, m := range moves {
		h := r.trial.Host(m.Host)
		if active(h) && fleet.CheckDrain(r.trial, h, false) == nil {
			r.hostStep(h, fleetpb.HostStep_KIND_DRAIN, m.To, "")
		}
	}
}

// planner returns a planner for the trial state in which all moving hosts have
// arrived. Its promises include the reserve for waves and, in pools other than fill,
// one host for a waiting wave, so that filling one pool does not block another.
func (r *round) planner(fill *fleetpb.Pool) *plan.Planner {
	var pools []plan.Pool
	for p := range r.in.Fleet.Pools() {
		x := planPool(p)
		x.Promised += r.trial.budgetAfterMoves(p).WaveReserve
		if p != fill && len(r.waiting[p.GetName()]) > 0 && !reserved(p) && !p.GetSpare() {
			x.Promised++
		}
		pools = append(pools, x)
	}
	var hosts []plan.Host
	for h := range r.trial.hosts() {
		x := planHost(h)
		if h.GetMoveTo() != "" {
			x.Pool = h.GetMoveTo()
			// A host in transit to a pool counts there; one in transit to a spare pool
			// is unavailable, as it cannot be moved again before it has arrived.
			x.Available = !r.in.Fleet.Pool(h.GetMoveTo()).GetSpare()
		}
		hosts = append(hosts, x)
	}
	return plan.NewPlanner(pools, hosts, plan.DefaultWeights())
}
