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

// replanInterval bounds the time between two plans on the same version of the
// fleet. Time alone changes only which waves are due and which hosts are late.
const replanInterval = 5 * time.Second

// plannedAt is the version and time of the last plan. Only the reconcile loop uses it.
type plannedAt struct {
	version uint64
	at      time.Duration
}

// reconcileWaves submits what waves and pools need now. The fleet checks every
// drain against the budget again when it is applied.
func (s *Server) reconcileWaves(ctx context.Context, t *term) {
	in := reconcile.Input{
		NowMs:         time.Now().UnixMilli(),
		DrainDeadline: s.o.DrainDeadline,
		Waves:         plan.DefaultWaveSettings(),
	}
	var commands []*fleetpb.Command
	now := s.clock.Now()
	s.viewFleet(func(f *fleet.Fleet) {
		if t.planned.version == f.Version() && now-t.planned.at < replanInterval {
			return
		}
		t.planned = plannedAt{version: f.Version(), at: now}
		in.Fleet = f
		in.InFlight = s.hostsInFlight(t, f)
		commands = reconcile.Next(in)
	})
	for _, c := range commands {
		if !s.submit(ctx, c) {
			t.planned = plannedAt{} // refused or not confirmed: plan again
		}
	}
}

// hostsInFlight sums the entries' requests in flight by host.
func (s *Server) hostsInFlight(t *term, f *fleet.Fleet) map[string]uint32 {
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

// serverUses is an entry's report of its backend servers.
type serverUses []*wirepb.ServerUse
