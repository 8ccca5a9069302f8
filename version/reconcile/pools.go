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

// sendHome drains hosts that are not in their home pool, as far as the budget of
// the pool that they leave allows: lent ones, or those that an operator gave
// another home. Those to pools that are short go first.
func (r *round) sendHome(lent bool) {
	var away []*fleetpb.Host
	for h := range r.trial.hosts() {
		if active(h) && h.GetPool() != h.GetHomePool() && h.GetLent() == lent {
			away = append(away, h)
		}
	}
	for _, toShort := range []bool{true, false} {
		for _, h := range away {
			home := r.in.Fleet.Pool(h.GetHomePool())
			if !active(r.trial.Host(h.GetName())) || toShort && r.trial.arrived(home).Met() {
				continue
			}
			if !r.held(h) && fleet.CheckDrain(r.trial, h, false) == nil {
				r.hostStep(h, fleetpb.HostStep_KIND_DRAIN, home.GetName(), "")
			}
		}
	}
}

// held reports whether a pool still needs a host that is not at home. A lent host
// stays while a wave in progress has hosts waiting in the pool, as without it the
// wave would ask for another, unless the wave cannot advance even so. A host with a new home stays while its absence
// would stop a wave that advances.
func (r *round) held(h *fleetpb.Host) bool {
	pool := r.in.Fleet.Pool(h.GetPool())
	if h.GetLent() {
		return len(r.waiting[pool.GetName()]) > 0 && !r.stuck[pool.GetName()]
	}
	if len(r.ready[pool.GetName()]) == 0 || reserved(pool) || r.blocked(pool) {
		return false
	}
	return fleet.Budget(r.trial, pool.GetName()).Spare() <= 1
}

// reserved reports whether a pool's rule keeps hosts for its waves, so that one
// can advance whenever the rule is met.
func reserved(p *fleetpb.Pool) bool { return p.GetSurviveWave() && p.GetMaxOut() > 0 }

// blocked reports whether running waves have hosts to start in a pool, none away
// and none that the budget lets go.
func (r *round) blocked(p *fleetpb.Pool) bool {
	if p.GetSpare() || r.maintained[p.GetName()] > 0 {
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

// fillShortfalls moves hosts to pools that miss their rule: first those that are
// about to leave it stay, then spare hosts and surplus hosts of other pools come.
// The pool that the fewest spare hosts help chooses first.
func (r *round) fillShortfalls() {
	var short []shortPool
	for p := range r.in.Fleet.Pools() {
		if p.GetSpare() || r.trial.arrived(p).Met() {
			continue
		}
		for _, h := range r.trial.movingHosts() {
			draining := h.GetState() == fleetpb.HostState_HOST_STATE_DRAINING
			if h.GetPool() == p.GetName() && draining && !r.decided(h) && !r.trial.arrived(p).Met() {
				r.hostStep(h, fleetpb.HostStep_KIND_CANCEL, "", "")
			}
		}
		if !r.trial.arrived(p).Met() {
			short = append(short, shortPool{p, r.helpful(p)})
		}
	}
	slices.SortStableFunc(short, func(a, b shortPool) int { return cmp.Compare(a.helpful, b.helpful) })
	for _, s := range short {
		r.lend(r.planner(s.pool).Fill(s.pool.GetName(), 0, true))
	}
}

// shortPool is a pool that misses its rule and the number of spare hosts that
// would each bring it nearer to it.
type shortPool struct {
	pool    *fleetpb.Pool
	helpful int
}

func (r *round) helpful(p *fleetpb.Pool) int {
	n := 0
	before := r.trial.arrived(p).Spare()
	for h := range r.trial.hosts() {
		if active(h) && r.in.Fleet.Pool(h.GetPool()).GetSpare() && r.trial.arrived(p, h).Spare() > before {
			n++
		}
	}
	return n
}

// decided reports whether this round has a step for a host already.
func (r *round) decided(h *fleetpb.Host) bool { return r.trial.changed[h.GetName()] != nil }

// unblockWaves lends spare hosts to the pools whose waves cannot advance: no more
// than it takes to let every waiting host go in its turn, and none if that lets no
// host go. Pools that each hold a part of the spare hosts would wait for each other,
// so one that cannot advance gives back what it has.
func (r *round) unblockWaves() {
	for p := range r.in.Fleet.Pools() {
		if !r.blocked(p) || r.letsGo(p, nil, false) {
			continue // or a host that lets it advance is on its way
		}
		moves := r.singleLoan(p)
		if moves == nil {
			moves = r.planner(p).Fill(p.GetName(), 1, false)
		}
		all := r.letsGo(p, moves, true)
		if !all && !r.letsGo(p, moves, false) {
			r.stuck[p.GetName()] = true
			continue
		}
		for i := len(moves) - 1; i >= 0; i-- {
			if fewer := slices.Delete(slices.Clone(moves), i, i+1); r.letsGo(p, fewer, all) {
				moves = fewer
			}
		}
		r.lend(moves)
	}
}

// singleLoan is the one spare host that lets every waiting host of a pool go, if
// there is one. The planner does not know which hosts wait, and may need more.
func (r *round) singleLoan(p *fleetpb.Pool) []plan.Move {
	tried := make(map[plan.Domain]bool)
	for h := range r.trial.hosts() {
		domain := planHost(h).Domain
		if !active(h) || !r.in.Fleet.Pool(h.GetPool()).GetSpare() || tried[domain] {
			continue
		}
		tried[domain] = true
		if move := []plan.Move{{Host: h.GetName(), From: h.GetPool(), To: p.GetName()}}; r.letsGo(p, move, true) {
			return move
		}
	}
	return nil
}

// letsGo reports whether a pool's rule would allow any, or all, of the hosts that
// wait for a running wave to go out one at a time after the moves.
func (r *round) letsGo(p *fleetpb.Pool, moves []plan.Move, all bool) bool {
	var coming []*fleetpb.Host
	for _, m := range moves {
		coming = append(coming, r.trial.Host(m.Host))
	}
	if !r.trial.arrived(p, coming...).Met() {
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
		met := t.arrived(p, coming...).Met()
		t.changed[out.Name] = before
		if met != all {
			return met
		}
	}
	return all
}

// unblockExchanges lends one spare host to a pool at its limit that is to give a
// host away and get one, when neither may leave its pool before the other has
// come. The lent host goes home when both have moved.
func (r *round) unblockExchanges() {
	leaving, coming := make(map[string]bool), make(map[string]bool)
	for h := range r.trial.hosts() {
		if active(h) && !h.GetLent() && h.GetPool() != h.GetHomePool() && fleet.CheckDrain(r.trial, h, false) != nil {
			leaving[h.GetPool()] = true
			coming[h.GetHomePool()] = true
		}
	}
	for p := range r.in.Fleet.Pools() {
		if leaving[p.GetName()] && coming[p.GetName()] && r.trial.arrived(p).Spare() == 0 {
			r.lend(r.planner(p).Fill(p.GetName(), 1, false))
			return
		}
	}
}

// lend drains hosts to another pool than their home.
func (r *round) lend(moves []plan.Move) {
	for _, m := range moves {
		h := r.trial.Host(m.Host)
		if active(h) && fleet.CheckDrain(r.trial, h, false) == nil {
			r.hostStep(h, fleetpb.HostStep_KIND_DRAIN, m.To, "")
		}
	}
}

// planner returns a planner of the trial state with all moving hosts arrived. Its
// promises contain the reserve for waves, and in pools other than the one to fill
// one host for a wave that waits, so that filling one pool blocks no other.
func (r *round) planner(fill *fleetpb.Pool) *plan.Planner {
	var pools []plan.Pool
	for p := range r.in.Fleet.Pools() {
		x := planPool(p)
		x.Promised += r.trial.arrived(p).WaveReserve
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
			// A host that is not there yet counts, but cannot be sent on.
			x.Available = !r.in.Fleet.Pool(h.GetMoveTo()).GetSpare()
		}
		hosts = append(hosts, x)
	}
	return plan.NewPlanner(pools, hosts, plan.DefaultWeights())
}
