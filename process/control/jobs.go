package control

import (
	"context"

	"marjoramtiller.example/marjoramtiller/process/platform"
	"marjoramtiller.example/marjoramtiller/version/fleet"
	"marjoramtiller.example/marjoramtiller/version/fleetpb"
	"marjoramtiller.example/marjoramtiller/version/reconcile"
)

// workerUp reports whether a host's worker is up again after maintenance.
func (s *Server) workerUp(t *term, f *fleet.Fleet, host string) bool {
	if s.options.Platform == nil {
		return s.registeredSinceOut(f, f.Host(host))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return t.jobs.WorkerUp(f.Host(host))
}

// registeredSinceOut replaces the query of the platform if no platform is configured:
// it reports whether a backend server on the host has registered since the host was
// taken out.
func (s *Server) registeredSinceOut(f *fleet.Fleet, h *fleetpb.Host) bool {
	for b := range f.HostServers(h.GetName()) {
		if !b.GetLeaving() && b.GetModifiedVersion() > h.GetModifiedVersion() {
			return true
		}
	}
	return false
}

func rebootToken(r reconcile.Reboot) string { return platform.Token(r.Host, r.Epoch, "reboot") }

// reconcileJobs records the scheduler's decisions in the fleet and queues the
// resulting calls to the platform.
func (s *Server) reconcileJobs(ctx context.Context, t *term) {
	if s.options.Platform == nil {
		return
	}
	var starts []reconcile.Call
	s.viewFleet(func(f *fleet.Fleet) {
		s.mu.Lock()
		defer s.mu.Unlock()
		starts = t.jobs.Decide(f, s.clock.Now())
	})
	for _, c := range starts {
		ok := s.submitTask(ctx, c.Task)
		s.mu.Lock()
		t.jobs.StartRecorded(c, ok)
		s.mu.Unlock()
	}
}

func (s *Server) submitTask(ctx context.Context, x *fleetpb.Task) bool {
	return s.submit(ctx, &fleetpb.Command{Body: &fleetpb.Command_TaskSteps{
		TaskSteps: &fleetpb.TaskSteps{Tasks: []*fleetpb.Task{x}},
	}})
}
