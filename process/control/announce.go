package control

import (
	"context"

	"google.golang.org/protobuf/proto"

	"marjoramtiller.example/marjoramtiller/connection/lease"
	"marjoramtiller.example/marjoramtiller/connection/wirepb"
	"marjoramtiller.example/marjoramtiller/version/fleet"
	"marjoramtiller.example/marjoramtiller/version/fleetpb"
)

// announceInterval is the interval at which a backend server announces itself.
const announceInterval = lease.ServerLease / 4

// announce handles a backend server's announcement. The first announcement and
// changes are replicated; an unchanged one only renews the lease in memory.
func (s *Server) announce(ctx context.Context, req *wirepb.AnnounceRequest) (*wirepb.AnnounceResponse, error) {
	t, err := s.leaderTerm(ctx)
	if err != nil {
		return nil, err
	}
	if req.GetLeaving() {
		return s.announceLeaving(ctx, t, req.GetServer())
	}
	b := proto.Clone(req.GetServer()).(*fleetpb.BackendServer)
	b.Leaving, b.ModifiedVersion = false, 0
	var registered *fleetpb.BackendServer
	s.viewFleet(func(f *fleet.Fleet) { registered = f.Server(b.GetName()) })
	if !sameRegistration(registered, b) {
		result, err := s.proposeFleet(ctx, &fleetpb.Command{Actor: b.GetName(), Body: &fleetpb.Command_Register{Register: &fleetpb.Register{Server: b}}})
		if err != nil {
			return nil, err
		}
		if reason := refusalReason(result); reason != "" {
			return &wirepb.AnnounceResponse{Reason: reason, RenewMs: uint32(announceInterval.Milliseconds())}, nil
		}
	}
	if err := s.heartbeat(t, b); err != nil {
		return nil, err
	}
	return &wirepb.AnnounceResponse{Accepted: true, RenewMs: uint32(announceInterval.Milliseconds())}, nil
}

func (s *Server) heartbeat(t *term, b *fleetpb.BackendServer) error {
	s.mu.Lock()
	remaining := t.lease.ServerLeaseRemaining(b.GetName(), s.clock.Now())
	err := t.lease.Heartbeat(b.GetName(), b.GetBootId(), s.clock.Now())
	if remaining == 0 {
		t.liveUntil = 0 // the server may have become live again: refresh the live set now
	}
	s.mu.Unlock()
	if remaining == 0 && err == nil {
		s.refreshServers(t)
	}
	return err
}

// announceLeaving removes a backend server from the configuration that entries use.
// The response sets Drained once every entry with a valid lease has applied the
// removal and no entry can still be using a slot of the server.
func (s *Server) announceLeaving(ctx context.Context, t *term, b *fleetpb.BackendServer) (*wirepb.AnnounceResponse, error) {
	result, err := s.proposeFleet(ctx, &fleetpb.Command{Actor: b.GetName(), Body: &fleetpb.Command_Unregister{
		Unregister: &fleetpb.Unregister{Server: b.GetName(), BootId: b.GetBootId()},
	}})
	if err != nil {
		return nil, err
	}
	if reason := refusalReason(result); reason != "" {
		return &wirepb.AnnounceResponse{Reason: reason}, nil
	}
	s.refreshServers(t)
	var registered *fleetpb.BackendServer
	s.viewFleet(func(f *fleet.Fleet) { registered = f.Server(b.GetName()) })
	out := &wirepb.AnnounceResponse{Accepted: true, RenewMs: uint32(announceInterval.Milliseconds())}
	s.mu.Lock()
	defer s.mu.Unlock()
	if registered.GetBootId() == b.GetBootId() && registered.GetLeaving() {
		// A leaving server renews its lease, so that it stays registered until its
		// work in flight has ended.
		if err := t.lease.Heartbeat(b.GetName(), b.GetBootId(), s.clock.Now()); err != nil {
			return nil, err
		}
	}
	inForce := t.lease.InForce(s.version.Load(), s.clock.Now())
	out.Drained = inForce >= registered.GetModifiedVersion() && t.slots.MaxInUse(b.GetName()) == 0
	return out, nil
}

func sameRegistration(registered, b *fleetpb.BackendServer) bool {
	return registered != nil && !registered.GetLeaving() &&
		registered.GetHost() == b.GetHost() && registered.GetService() == b.GetService() &&
		registered.GetAddress() == b.GetAddress() && registered.GetSlots() == b.GetSlots() &&
		registered.GetConnections() == b.GetConnections() && registered.GetBootId() == b.GetBootId()
}

// refusalReason returns the reason why the fleet refused a command, or "".
func refusalReason(r *fleetpb.Result) string {
	switch r.GetKind() {
	case fleetpb.Result_KIND_APPLIED, fleetpb.Result_KIND_UNCHANGED:
		return ""
	}
	text := r.GetKind().String()
	for _, f := range r.GetFaults() {
		text += "; " + f.GetObject() + " " + f.GetField() + ": " + f.GetMessage()
	}
	return text
}
