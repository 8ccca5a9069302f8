package control

import (
	"context"
	"time"

	"marjoramtiller.example/marjoramtiller/connection/wirepb"
	"marjoramtiller.example/marjoramtiller/version/fleet"
	"marjoramtiller.example/marjoramtiller/version/fleetpb"
	"marjoramtiller.example/marjoramtiller/version/plan"
	"marjoramtiller.example/marjoramtiller/version/reconcile"
)

// replanInterval is the longest time between two plans for the same version of the fleet.
// The passing of time alone changes only which waves are due and which hosts are late.
const replanInterval = 5 * time.Second

// planRecord is the fleet version and the time of the last plan. Only the reconcile loop uses it.
type planRecord struct {
	version uint64
	at      time.Duration
}

// reconcileWaves proposes the commands that waves and pools need now. The fleet checks
// every drain against the budget again when it applies it.
func (s *Server) reconcileWaves(ctx context.Context, t *term) {
	in := reconcile.Input{
		NowMs:         time.Now().UnixMilli(),
		DrainDeadline: s.options.DrainDeadline,
		Waves:         plan.DefaultWaveSettings(),
	}
	var commands []*fleetpb.Command
	now := s.clock.Now()
	s.viewFleet(func(f *fleet.Fleet) {
		if t.lastPlan.version == f.Version() && now-t.lastPlan.at < replanInterval {
			return
		}
		t.lastPlan = planRecord{version: f.Version(), at: now}
		in.Fleet = f
		in.InFlight = s.inFlightByHost(t, f)
		commands = reconcile.Next(in)
	})
	for _, c := range commands {
		if !s.submit(ctx, c) {
			t.lastPlan = planRecord{} // refused or not confirmed: plan again
		}
	}
}

// inFlightByHost sums the requests in flight of all entries by host.
func (s *Server) inFlightByHost(t *term, f *fleet.Fleet) map[string]uint32 {
	out := make(map[string]uint32)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, uses := range t.uses {
		for _, u := range uses {
			if n := u.GetInFlight(); n > 0 {
				out[f.Server(u.GetServer()).GetHost()] += n
			}
		}
	}
	return out
}

// serverUses is an entry's reported use of backend servers.
type serverUses []*wirepb.ServerUse
