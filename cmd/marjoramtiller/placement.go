package main

import (
	"context"
	"fmt"

	"marjoramtiller.example/marjoramtiller/process/settings"
	"marjoramtiller.example/marjoramtiller/version/fleetpb"
	"marjoramtiller.example/marjoramtiller/version/plan"
)

// placement prints the moves to a better assignment of hosts to pools. It changes
// nothing: planners copy the moves that they want into their sheet.
func placement(ctx context.Context, t *tool, args []string) error {
	a := t.arguments("placement")
	s, c, err := t.connect(a, args, 0)
	if err != nil {
		return err
	}
	current := &fleetpb.Snapshot{}
	if err := c.get(ctx, "/v1/configuration", current); err != nil {
		return err
	}
	t.printPlacement(newPlanner(current, s.Weights))
	return nil
}

// newPlanner returns a planner for the hosts in their home pools. Hosts that are not
// active are not moved.
func newPlanner(current *fleetpb.Snapshot, w settings.Weights) *plan.Planner {
	var pools []plan.Pool
	for _, p := range current.GetPools() {
		pools = append(pools, plan.Pool{
			Name: p.GetName(), Spare: p.GetSpare(), Promised: int(p.GetPromisedHosts()), MaxOut: int(p.GetMaxOut()),
			Tolerance: plan.Tolerance{Rack: p.GetSurviveRack(), Zone: p.GetSurviveZone(), Wave: p.GetSurviveWave()},
		})
	}
	var hosts []plan.Host
	for _, h := range current.GetHosts() {
		hosts = append(hosts, plan.Host{
			Name: h.GetName(), Pool: h.GetHomePool(), Domain: plan.Domain{Zone: h.GetZone(), Rack: h.GetRack()},
			Available: h.GetState() == fleetpb.HostState_HOST_STATE_ACTIVE,
		})
	}
	return plan.NewPlanner(pools, hosts, plan.Weights{Buffer: w.Buffer, Move: w.Moves, Spread: w.Spread})
}

func (t *tool) printPlacement(p *plan.Planner) {
	best := p.Optimise()
	for _, m := range best.Moves {
		fmt.Fprintf(t.out, "move host %s from pool %s to pool %s\n", m.Host, m.From, m.To)
	}
	for _, s := range best.Shortfalls {
		fmt.Fprintf(t.out, "pool %s is short of %d host(s): add hosts, or lower its promised hosts or the failures that it must survive\n", s.Pool, s.Missing)
	}
	fmt.Fprintf(t.out, "%d move(s); reserve after them: %d host(s)\n", len(best.Moves), best.Reserve)
}
