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

// maxSyncWait bounds the wait of a sync call without news.
const maxSyncWait = 500 * time.Millisecond

// sync takes an entry's report and answers with what is new for it. The entry's
// lease starts anew only if this process still leads when it answers: a leader
// that is partitioned from the quorum renews nothing.
func (s *Server) sync(ctx context.Context, peer string, req *wirepb.SyncRequest) (*wirepb.SyncResponse, error) {
	if req.GetEntry() != peer {
		return nil, &InvalidRequestError{Message: "the report names entry " + req.GetEntry() + " but was sent by " + peer + ": correct the process name in the settings"}
	}
	t, err := s.leading(ctx)
	if err != nil {
		return nil, err
	}
	id := lease.SessionID{Entry: req.GetEntry(), BootID: req.GetBootId()}
	if err := s.report(t, id, req); err != nil {
		return nil, err
	}
	s.waitForNews(ctx, t, id, req)
	again, err := s.leading(ctx)
	if err != nil {
		return nil, err
	}
	if again != t {
		return nil, &replica.NotLeaderError{Leader: s.o.Process}
	}
	return s.answerSync(t, id, req)
}

func (s *Server) report(t *term, id lease.SessionID, req *wirepb.SyncRequest) error {
	s.mu.Lock()
	defer s.mu.Unlock()
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
		s.wakeLocked()
	}
	t.counts.report(id, time.Duration(req.GetUptimeMs())*time.Millisecond, req.GetDemand(), s.clock.Now())
	t.uses[id] = req.GetServers()
	return nil
}

func slotReport(id lease.SessionID, req *wirepb.SyncRequest) slots.Report {
	r := slots.Report{
		Holder:     slots.Holder{Entry: id.Entry, BootID: id.BootID},
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

func (s *Server) waitForNews(ctx context.Context, t *term, id lease.SessionID, req *wirepb.SyncRequest) {
	wait := min(time.Duration(req.GetWaitMs())*time.Millisecond, maxSyncWait)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		news, has := s.hasNews(t, id, req)
		if has {
			return
		}
		select {
		case <-news:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// hasNews reports whether an answer would tell the entry anything, and
// otherwise returns the channel that is closed at the next change.
func (s *Server) hasNews(t *term, id lease.SessionID, req *wirepb.SyncRequest) (<-chan struct{}, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	grant, _ := t.slots.Grant(slots.Holder{Entry: id.Entry, BootID: id.BootID})
	has := s.version.Load() != req.GetAckedVersion() ||
		t.live.number() != req.GetAckedLive() ||
		grant != req.GetAckedGrant()
	return s.news, has
}

func (s *Server) answerSync(t *term, id lease.SessionID, req *wirepb.SyncRequest) (*wirepb.SyncResponse, error) {
	out := &wirepb.SyncResponse{
		Leader:        s.o.Process,
		LeaderTerm:    t.number,
		ConfigLeaseMs: uint32(lease.ConfigLease.Milliseconds()),
	}
	s.viewFleet(func(f *fleet.Fleet) {
		out.Version = f.Version()
		out.Delta = f.Delta(req.GetAckedVersion(), req.GetAckedVersion() == 0)
	})
	dropForeignTombstones(out.Delta)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	added, gone, full := t.live.since(req.GetAckedLive())
	out.LiveFull, out.Gone, out.LiveNumber = full, gone, t.live.number()
	for _, name := range added {
		out.Live = append(out.Live, &wirepb.LiveServer{Server: name, LeaseMs: uint32(lease.ServerLease.Milliseconds())})
	}
	grant, shares := t.slots.Grant(slots.Holder{Entry: id.Entry, BootID: id.BootID})
	out.Grant = grant
	if grant != req.GetAckedGrant() {
		for _, sh := range shares {
			out.Shares = append(out.Shares, &wirepb.SlotShare{Server: sh.Server, Slots: sh.Slots, Connections: sh.Connections})
		}
	}
	if err := t.lease.Answered(id, now); err != nil {
		return nil, err
	}
	return out, nil
}

// dropForeignTombstones drops the tombstones that an entry keeps no copy for.
func dropForeignTombstones(d *fleetpb.Delta) {
	kept := d.Deleted[:0:0]
	for _, t := range d.Deleted {
		switch t.GetKind() {
		case fleetpb.Tombstone_KIND_POOL, fleetpb.Tombstone_KIND_HOST, fleetpb.Tombstone_KIND_SERVER:
			kept = append(kept, t)
		}
	}
	d.Deleted = kept
}
