package control

import (
	"context"

	"google.golang.org/protobuf/proto"

	"marjoramtiller.example/marjoramtiller/connection/lease"
	"marjoramtiller.example/marjoramtiller/connection/wirepb"
	"marjoramtiller.example/marjoramtiller/version/fleet"
	"marjoramtiller.example/marjoramtiller/version/fleetpb"
)

// announceInterval is when a backend server is to announce itself again.
const announceInterval = lease.ServerLease / 4

// announce takes a backend server's announcement. Only a first announcement and
// a change are replicated; a repeated one renews the lease in memory.
func (s *Server) announce(ctx context.Context, req *wirepb.AnnounceRequest) (*wirepb.AnnounceResponse, error) {
	t, err := s.leading(ctx)
	if err != nil {
		return nil, err
	}
	if req.GetLeaving() {
		return s.announceLeaving(ctx, t, req.GetServer())
	}
	b := proto.Clone(req.GetServer()).(*fleetpb.BackendServer)
	b.Leaving, b.ModifiedVersion = false, 0
	var known *fleetpb.BackendServer
	s.viewFleet(func(f *fleet.Fleet) { known = f.Server(b.GetName()) })
	if !sameServer(known, b) {
		result, err := s.proposeFleet(ctx, &fleetpb.Command{Actor: b.GetName(), Body: &fleetpb.Command_Register{Register: &fleetpb.Register{Server: b}}})
		if err != nil {
			return nil, err
		}
		if refused := refusal(result); refused != "" {
			return &wirepb.AnnounceResponse{Reason: refused, RenewMs: uint32(announceInterval.Milliseconds())}, nil
		}
	}
	if err := s.heartbeat(t, b); err != nil {
		return nil, err
	}
	return &wirepb.AnnounceResponse{Accepted: true, RenewMs: uint32(announceInterval.Milliseconds())}, nil
}

func (s *Server) heartbeat(t *term, b *fleetpb.BackendServer) error {
	s.mu.Lock()
	left := t.lease.ServerLeft(b.GetName(), s.clock.Now())
	err := t.lease.Heartbeat(b.GetName(), b.GetBootId(), s.clock.Now())
	if left == 0 {
		t.liveUntil = 0 // the server may be live again
	}
	s.mu.Unlock()
	if left == 0 && err == nil {
		s.refreshServers(t)
	}
	return err
}

// announceLeaving withdraws a backend server from all entries. Drained is set
// once no entry sends it work any more and none has work in flight there.
func (s *Server) announceLeaving(ctx context.Context, t *term, b *fleetpb.BackendServer) (*wirepb.AnnounceResponse, error) {
	result, err := s.proposeFleet(ctx, &fleetpb.Command{Actor: b.GetName(), Body: &fleetpb.Command_Unregister{
		Unregister: &fleetpb.Unregister{Server: b.GetName(), BootId: b.GetBootId()},
	}})
	if err != nil {
		return nil, err
	}
	if refused := refusal(result); refused != "" {
		return &wirepb.AnnounceResponse{Reason: refused}, nil
	}
	s.refreshServers(t)
	var left *fleetpb.BackendServer
	s.viewFleet(func(f *fleet.Fleet) { left = f.Server(b.GetName()) })
	out := &wirepb.AnnounceResponse{Accepted: true, RenewMs: uint32(announceInterval.Milliseconds())}
	s.mu.Lock()
	defer s.mu.Unlock()
	if left.GetBootId() == b.GetBootId() && left.GetLeaving() {
		// A leaving server still renews its lease, so that its registration
		// stays until it has finished its work.
		if err := t.lease.Heartbeat(b.GetName(), b.GetBootId(), s.clock.Now()); err != nil {
			return nil, err
		}
	}
	inForce := t.lease.InForce(s.version.Load(), s.clock.Now())
	out.Drained = inForce >= left.GetModifiedVersion() && t.slots.Bound(b.GetName()) == 0
	return out, nil
}

func sameServer(known, b *fleetpb.BackendServer) bool {
	return known != nil && !known.GetLeaving() &&
		known.GetHost() == b.GetHost() && known.GetService() == b.GetService() &&
		known.GetAddress() == b.GetAddress() && known.GetSlots() == b.GetSlots() &&
		known.GetConnections() == b.GetConnections() && known.GetBootId() == b.GetBootId()
}

// refusal returns why a command was refused, or "".
func refusal(r *fleetpb.Result) string {
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
