package control

import (
	"context"
	"time"

	"marjoramtiller.example/marjoramtiller/connection/lease"
	"marjoramtiller.example/marjoramtiller/connection/slots"
	"marjoramtiller.example/marjoramtiller/connection/wirepb"
	"marjoramtiller.example/marjoramtiller/process/replica"
	"marjoramtiller.example/marjoramtiller/version/fleet"
	"marjoramtiller.example/marjoramtiller/version/fleetpb"
)

// maxSyncWait is the longest time for which a sync call waits for updates.
const maxSyncWait = 500 * time.Millisecond

// sync handles an entry's report and returns the updates since the entry's last
// acknowledgement. The entry's lease is renewed only if a quorum confirms, after the
// wait for updates, that this process still leads: a leader that is partitioned from the
// quorum must not renew leases.
func (s *Server) sync(ctx context.Context, peer string, req *wirepb.SyncRequest) (*wirepb.SyncResponse, error) {
	if req.GetEntry() != peer {
		return nil, &InvalidRequestError{Message: "the report is of entry " + req.GetEntry() + " but was sent by process " + peer + ": correct the process name in the settings"}
	}
	t, err := s.leaderTerm(ctx)
	if err != nil {
		return nil, err
	}
	id := lease.SessionID{Entry: req.GetEntry(), BootID: req.GetBootId()}
	if err := s.report(t, id, req); err != nil {
		return nil, err
	}
	s.waitForUpdates(ctx, t, id, req)
	current, err := s.leaderTerm(ctx)
	if err != nil {
		return nil, err
	}
	if current != t {
		return nil, &replica.NotLeaderError{Leader: s.options.Process}
	}
	return s.buildSyncResponse(t, id, req)
}

func (s *Server) report(t *term, id lease.SessionID, req *wirepb.SyncRequest) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !t.counts.acceptSequence(id, req.GetSequence()) {
		return &InvalidRequestError{Message: "a later report of entry " + id.Entry + " has been received already: send the next report"}
	}
	inFlight := make(map[string]uint32, len(req.GetDraining()))
	for _, h := range req.GetDraining() {
		inFlight[h.GetHost()] = h.GetInFlight()
	}
	r := lease.Report{ID: id, AckedVersion: req.GetAckedVersion(), InFlight: inFlight}
	if err := t.lease.Report(r, s.clock.Now()); err != nil {
		return err
	}
	t.slots.Report(slotReport(id, req))
	if len(t.slots.Rebalance()) > 0 {
		s.notifySyncsLocked()
	}
	t.counts.record(id, time.Duration(req.GetUptimeMs())*time.Millisecond, req.GetDemand(), s.clock.Now())
	t.uses[id] = req.GetServers()
	return nil
}

func slotReport(id lease.SessionID, req *wirepb.SyncRequest) slots.Report {
	r := slots.Report{
		ID:         slots.EntryID{Entry: id.Entry, BootID: id.BootID},
		AckedGrant: req.GetAckedGrant(),
		Demand:     make(map[string]float64, len(req.GetDemand())),
	}
	for _, u := range req.GetServers() {
		r.Uses = append(r.Uses, slots.Use{Server: u.GetServer(), Held: u.GetSlotsHeld(), InFlight: u.GetInFlight()})
	}
	for _, d := range req.GetDemand() {
		r.Demand[d.GetService()] = float64(d.GetQueued() + d.GetRunning())
	}
	return r
}

func (s *Server) waitForUpdates(ctx context.Context, t *term, id lease.SessionID, req *wirepb.SyncRequest) {
	wait := min(time.Duration(req.GetWaitMs())*time.Millisecond, maxSyncWait)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		changed, has := s.hasUpdates(t, id, req)
		if has {
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// hasUpdates reports whether a response would contain a change for the entry. It also
// returns the channel that is closed at the next change.
func (s *Server) hasUpdates(t *term, id lease.SessionID, req *wirepb.SyncRequest) (<-chan struct{}, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	grant := t.slots.GrantNumber(slots.EntryID{Entry: id.Entry, BootID: id.BootID})
	has := s.version.Load() != req.GetAckedVersion() ||
		t.live.number() != req.GetAckedLive() ||
		grant != req.GetAckedGrant()
	return s.changed, has
}

func (s *Server) buildSyncResponse(t *term, id lease.SessionID, req *wirepb.SyncRequest) (*wirepb.SyncResponse, error) {
	out := &wirepb.SyncResponse{
		Leader:        s.options.Process,
		LeaderTerm:    t.number,
		ConfigLeaseMs: uint32(lease.ConfigLease.Milliseconds()),
	}
	s.viewFleet(func(f *fleet.Fleet) {
		out.Version = f.Version()
		out.Delta = f.Delta(req.GetAckedVersion(), req.GetAckedVersion() == 0)
	})
	dropUnusedTombstones(out.Delta)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	added, removed, full := t.live.since(req.GetAckedLive())
	out.LiveFull, out.Gone, out.LiveNumber = full, removed, t.live.number()
	for _, name := range added {
		out.Live = append(out.Live, &wirepb.LiveServer{Server: name, LeaseMs: uint32(lease.ServerLease.Milliseconds())})
	}
	entryID := slots.EntryID{Entry: id.Entry, BootID: id.BootID}
	out.Grant = t.slots.GrantNumber(entryID)
	if out.Grant != req.GetAckedGrant() {
		_, shares := t.slots.Grant(entryID)
		for _, sh := range shares {
			out.Shares = append(out.Shares, &wirepb.SlotShare{Server: sh.Server, Slots: sh.Slots, Connections: sh.Connections})
		}
	}
	if err := t.lease.RenewLease(id, now); err != nil {
		return nil, err
	}
	return out, nil
}

// dropUnusedTombstones removes the tombstones of objects that entries keep no copy of.
func dropUnusedTombstones(d *fleetpb.Delta) {
	kept := d.Deleted[:0:0]
	for _, t := range d.Deleted {
		switch t.GetKind() {
		case fleetpb.Tombstone_KIND_POOL, fleetpb.Tombstone_KIND_HOST, fleetpb.Tombstone_KIND_SERVER:
			kept = append(kept, t)
		}
	}
	d.Deleted = kept
}
