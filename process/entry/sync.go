package entry

import (
	"context"
	"sort"
	"time"

	"marjoramtiller.example/marjoramtiller/connection/lease"
	"marjoramtiller.example/marjoramtiller/connection/wirepb"
	"marjoramtiller.example/marjoramtiller/version/fleetpb"
)

const (
	syncWait  = 500 * time.Millisecond
	syncRetry = 100 * time.Millisecond
	// syncPause bounds the rate of syncs when the leader always has news.
	syncPause = 20 * time.Millisecond
	// demandWindow is the averaging time of the arrival rates reported.
	demandWindow = 2 * time.Second
)

// share is the entry's part of a backend server.
type share struct {
	slots       int
	connections int
}

// arrivals measures the arrival rate of one service.
type arrivals struct {
	seen uint64
	at   time.Duration
	rate float64 // per second
}

func (a *arrivals) update(total uint64, now time.Duration) float64 {
	elapsed := now - a.at
	if elapsed < syncPause {
		return a.rate
	}
	w := min(1, elapsed.Seconds()/demandWindow.Seconds())
	a.rate += w * (float64(total-a.seen)/elapsed.Seconds() - a.rate)
	a.seen, a.at = total, now
	return a.rate
}

// syncLoop reports to the control leader until ctx ends.
func (e *Entry) syncLoop(ctx context.Context) {
	for ctx.Err() == nil {
		pause := syncPause
		if err := e.syncOnce(ctx); err != nil && ctx.Err() == nil {
			e.m.syncFailures.Add(1)
			e.o.Log.Warn().Err(err).Msg("sync with the control leader failed")
			pause = syncRetry
		}
		sleep(ctx, pause)
	}
}

func (e *Entry) syncOnce(ctx context.Context) error {
	sent := e.now()
	req := e.syncRequest(sent)
	resp, err := e.o.Control.Sync(ctx, req)
	if err != nil {
		e.restoreFailed(req.GetFailedServers())
		return err
	}
	e.applySync(sent, resp)
	return nil
}

func (e *Entry) syncRequest(now time.Duration) *wirepb.SyncRequest {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := &wirepb.SyncRequest{
		Entry:        e.o.Name,
		BootId:       e.o.BootID,
		AckedVersion: e.cfg.Version(),
		AckedGrant:   e.grant,
		AckedLive:    e.liveNumber,
		UptimeMs:     uint64(now.Milliseconds()),
		WaitMs:       uint32(syncWait / time.Millisecond),
	}
	r.FailedServers = sortedKeys(e.refusing)
	clear(e.refusing)
	r.Servers = e.use()
	for _, s := range e.core.Services() {
		a := e.rates[s.Service]
		if a == nil {
			a = &arrivals{at: now, seen: s.Arrived}
			e.rates[s.Service] = a
		}
		d := &wirepb.ServiceDemand{
			Service:           s.Service,
			Queued:            uint32(s.Queued),
			Running:           uint32(s.Running),
			ArrivalsPerSecond: a.update(s.Arrived, now),
		}
		e.m.fill(d, now)
		r.Demand = append(r.Demand, d)
	}
	r.Draining = e.draining()
	return r
}

// use reports slots held. A share lowered below the work in flight is still
// held until that work ends, so the leader cannot grant it elsewhere.
func (e *Entry) use() []*wirepb.ServerUse {
	names := make(map[string]bool)
	for name := range e.shares {
		names[name] = true
	}
	for name := range e.inFlight {
		names[name] = true
	}
	out := make([]*wirepb.ServerUse, 0, len(names))
	for _, name := range sortedKeys(names) {
		n := e.inFlight[name]
		out = append(out, &wirepb.ServerUse{Server: name, SlotsHeld: uint32(max(n, e.shares[name].slots)), InFlight: uint32(n)})
	}
	return out
}

// draining reports every draining host of the acknowledged version, also
// those without work in flight: the leader waits for the zero.
func (e *Entry) draining() []*wirepb.HostInFlight {
	counts := make(map[string]uint32)
	for h := range e.cfg.Inactive() {
		if h.GetState() == fleetpb.HostState_HOST_STATE_DRAINING {
			counts[h.GetName()] = 0
		}
	}
	for host, n := range e.inFlightHost {
		if _, ok := counts[host]; ok {
			counts[host] += uint32(n)
		}
	}
	var out []*wirepb.HostInFlight
	for _, name := range sortedKeys(counts) {
		out = append(out, &wirepb.HostInFlight{Host: name, InFlight: counts[name]})
	}
	return out
}

func (e *Entry) restoreFailed(names []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, name := range names {
		e.refusing[name] = true
	}
}

// applySync applies the leader's answer to a sync sent at sent.
func (e *Entry) applySync(sent time.Duration, r *wirepb.SyncResponse) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.GetLeaderTerm() < e.term {
		return // a late answer of an earlier leader
	}
	newTerm := r.GetLeaderTerm() > e.term
	e.term = r.GetLeaderTerm()
	e.leader = r.GetLeader()
	e.applyDelta(r.GetDelta())
	e.applyLeases(sent, r)
	if newTerm || r.GetGrant() > e.grant {
		e.applyGrant(r)
	}
	e.refresh(e.now())
	e.pump()
}

// applyLeases renews the configuration lease and those of the live servers.
// The configuration lease covers the version that the leader knows: an entry
// that is behind it, or a leader that is behind the entry, renews nothing.
func (e *Entry) applyLeases(sent time.Duration, r *wirepb.SyncResponse) {
	y := lease.Sync{SentAt: sent, Term: r.GetLeaderTerm(), Full: r.GetLiveFull(), Gone: r.GetGone()}
	if e.cfg.Version() == r.GetVersion() {
		y.ConfigLease = time.Duration(r.GetConfigLeaseMs()) * time.Millisecond
	}
	for _, s := range r.GetLive() {
		y.Live = append(y.Live, lease.LiveServer{Name: s.GetServer(), Lease: time.Duration(s.GetLeaseMs()) * time.Millisecond})
	}
	if e.serving.Synced(y, e.now()) {
		e.liveNumber = r.GetLiveNumber()
	}
}

func (e *Entry) applyGrant(r *wirepb.SyncResponse) {
	if r.GetGrant() == 0 && len(r.GetShares()) == 0 {
		return
	}
	clear(e.shares)
	for _, s := range r.GetShares() {
		e.shares[s.GetServer()] = share{slots: int(s.GetSlots()), connections: int(s.GetConnections())}
	}
	e.grant = r.GetGrant()
}

// Announce passes a backend server's announcement to the control leader. A
// server that is leaving gets no new work from this entry at once.
func (e *Entry) Announce(ctx context.Context, r *wirepb.AnnounceRequest) (*wirepb.AnnounceResponse, error) {
	if r.GetLeaving() {
		e.mu.Lock()
		if name := r.GetServer().GetName(); e.cfg.Server(name) != nil {
			e.serving.Revoke(name, e.now())
		}
		e.refresh(e.now())
		e.mu.Unlock()
	}
	return e.o.Control.Announce(ctx, r)
}

func sortedKeys[V any](m map[string]V) []string {
	out := make([]string, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	sort.Strings(out)
	return out
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
