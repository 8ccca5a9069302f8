package reconcile

import (
	"iter"
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"marjoramtiller.example/marjoramtiller/version/fleet"
	"marjoramtiller.example/marjoramtiller/version/fleetpb"
)

// trial is the fleet with the steps of the round applied. It implements fleet.View.
type trial struct {
	fleet   *fleet.Fleet
	changed map[string]*fleetpb.Host
	moving  map[string]*fleetpb.Host // hosts that are draining or released for a move
}

var _ fleet.View = (*trial)(nil)

func newTrial(f *fleet.Fleet) *trial {
	t := &trial{fleet: f, changed: make(map[string]*fleetpb.Host), moving: make(map[string]*fleetpb.Host)}
	for h := range f.Inactive() {
		if h.GetMoveTo() != "" {
			t.moving[h.GetName()] = h
		}
	}
	return t
}

func (t *trial) set(h *fleetpb.Host, state fleetpb.HostState, moveTo, wave string) {
	n := proto.CloneOf(h)
	n.State, n.MoveTo, n.Wave = state, moveTo, wave
	t.changed[n.Name] = n
	delete(t.moving, n.Name)
	if moveTo != "" {
		t.moving[n.Name] = n
	}
}

// Pool implements fleet.View.
func (t *trial) Pool(name string) *fleetpb.Pool { return t.fleet.Pool(name) }

// Host implements fleet.View.
func (t *trial) Host(name string) *fleetpb.Host {
	if h := t.changed[name]; h != nil {
		return h
	}
	return t.fleet.Host(name)
}

// current returns a host of the fleet with the steps of the round applied.
func (t *trial) current(h *fleetpb.Host) *fleetpb.Host {
	if len(t.changed) == 0 {
		return h
	}
	if changed := t.changed[h.GetName()]; changed != nil {
		return changed
	}
	return h
}

// PoolHosts implements fleet.View. No step of a round changes a host's pool.
func (t *trial) PoolHosts(pool string) iter.Seq[*fleetpb.Host] {
	return func(yield func(*fleetpb.Host) bool) {
		for h := range t.fleet.PoolHosts(pool) {
			if !yield(t.current(h)) {
				return
			}
		}
	}
}

// hosts iterates all hosts in name order.
func (t *trial) hosts() iter.Seq[*fleetpb.Host] {
	return func(yield func(*fleetpb.Host) bool) {
		for h := range t.fleet.Hosts() {
			if !yield(t.current(h)) {
				return
			}
		}
	}
}

// movingHosts returns the hosts that move, in name order.
func (t *trial) movingHosts() []*fleetpb.Host {
	var out []*fleetpb.Host
	for _, name := range slices.Sorted(maps.Keys(t.moving)) {
		out = append(out, t.moving[name])
	}
	return out
}

// budgetAfterMoves returns a pool's budget in which every host that moves to the
// pool, and every host in coming, counts as active there.
func (t *trial) budgetAfterMoves(p *fleetpb.Pool, coming ...*fleetpb.Host) fleet.PoolBudget {
	return fleet.BudgetOf(p, func(yield func(*fleetpb.Host) bool) {
		for h := range t.PoolHosts(p.GetName()) {
			if !yield(h) {
				return
			}
		}
		for _, h := range t.movingHosts() {
			if h.GetMoveTo() == p.GetName() {
				coming = append(coming, h)
			}
		}
		for _, h := range coming {
			n := proto.CloneOf(h)
			n.State = fleetpb.HostState_HOST_STATE_ACTIVE
			if !yield(n) {
				return
			}
		}
	})
}

func active(h *fleetpb.Host) bool { return h.GetState() == fleetpb.HostState_HOST_STATE_ACTIVE }
