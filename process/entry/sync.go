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
	// syncPause bounds the rate of syncs when the leader responds to each one
	// at once.
	syncPause = 20 * time.Millisecond
	// demandWindow is the averaging time of the reported arrival rates.
	demandWindow = 2 * time.Second
)

// share is the entry's share of the slots and connections of a backend server.
type share struct {
	slots       int
	connections int
}

// arrivalRate measures the arrival rate of one service.
type arrivalRate struct {
	lastTotal uint64
	updatedAt time.Duration
	rate      float64 // per second
}

func (a *arrivalRate) update(total uint64, now time.Duration) float64 {
	elapsed := now - a.updatedAt
	if elapsed < syncPause {
		return a.rate
	}
	weight := min(1, elapsed.Seconds()/demandWindow.Seconds())
	a.rate += weight * (float64(total-a.lastTotal)/elapsed.Seconds() - a.rate)
	a.lastTotal, a.updatedAt = total, now
	return a.rate
}

// syncState is the state of the latest sync.
type syncState struct {
	sequence       uint64
	sent           time.Duration
	answered       time.Duration      // time of the last response
	reported       map[string]float64 // demand by service
	cancel         context.CancelFunc // nil: no sync is in flight
	cancelledEarly bool               // cancelled by syncEarly for a new report
}

// earlySyncLimit is how long after the last response a sync may still be
// cancelled for a new report. Without this limit, new reports in quick
// succession would prevent the leases from being renewed.
const earlySyncLimit = 2 * time.Second

// syncEarly cancels the sync in flight if the demand of a service has outgrown
// what that sync reported, so that the next one reports it at once: slots are
// granted by demand, and the response may take syncWait. The caller holds the
// mutex.
func (e *Entry) syncEarly(now time.Duration, service string) {
	s := &e.sync
	if s.cancel == nil || now-s.sent < syncPause || now-s.answered > earlySyncLimit {
		return
	}
	if e.core.DemandOutgrewReport(service, s.reported[service]) {
		s.cancelledEarly = true
		s.cancel()
		s.cancel = nil
	}
}

// begin records the start of a sync.
func (s *syncState) begin(now time.Duration, cancel context.CancelFunc) {
	s.sequence++
	s.sent = now
	s.reported = make(map[string]float64)
	s.cancel = cancel
	s.cancelledEarly = false
}

// endSync records the end of a sync and reports whether it was cancelled by
// syncEarly.
func (e *Entry) endSync() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sync.cancel = nil
	return e.sync.cancelledEarly
}

// syncLoop syncs with the control leader until ctx ends.
func (e *Entry) syncLoop(ctx context.Context) {
	for ctx.Err() == nil {
		pause := syncPause
		if err := e.syncOnce(ctx); err != nil && ctx.Err() == nil {
			e.metrics.syncFailures.Add(1)
			e.options.Log.Warn().Err(err).Msg("sync with the control leader failed; retrying")
			pause = syncRetry
		}
		sleep(ctx, pause)
	}
}

func (e *Entry) syncOnce(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	sent, req := e.syncRequest(cancel)
	resp, err := e.options.Control.Sync(ctx, req)
	cancelledEarly := e.endSync()
	if err != nil {
		e.restoreFailedServers(req.GetFailedServers())
		if cancelledEarly {
			return nil
		}
		return err
	}
	e.applySync(sent, resp)
	return nil
}

func (e *Entry) syncRequest(cancel context.CancelFunc) (time.Duration, *wirepb.SyncRequest) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	e.sync.begin(now, cancel)
	r := &wirepb.SyncRequest{
		Entry:        e.options.Name,
		BootId:       e.options.BootID,
		AckedVersion: e.cfg.Version(),
		AckedGrant:   e.grant,
		AckedLive:    e.liveNumber,
		UptimeMs:     uint64(now.Milliseconds()),
		Sequence:     e.sync.sequence,
		WaitMs:       uint32(syncWait / time.Millisecond),
	}
	r.FailedServers = sortedKeys(e.failedServers)
	clear(e.failedServers)
	r.Servers = e.serverUse()
	for _, s := range e.core.Services() {
		a := e.arrivalRates[s.Service]
		if a == nil {
			a = &arrivalRate{updatedAt: now, lastTotal: s.Arrived}
			e.arrivalRates[s.Service] = a
		}
		d := &wirepb.ServiceDemand{
			Service:           s.Service,
			Queued:            uint32(s.Queued),
			Running:           uint32(s.Running),
			ArrivalsPerSecond: a.update(s.Arrived, now),
		}
		e.metrics.fillDemand(d, now)
		e.sync.reported[s.Service] = float64(s.Queued + s.Running)
		r.Demand = append(r.Demand, d)
	}
	r.Draining = e.drainingHosts()
	return now, r
}

// serverUse reports the slots held. If a share is lowered below the work in
// flight, those slots remain held until the work ends, so that the leader does
// not grant them to another entry.
func (e *Entry) serverUse() []*wirepb.ServerUse {
	out := make([]*wirepb.ServerUse, 0, len(e.shares))
	for name, sh := range e.shares {
		n := e.inFlight[name]
		out = append(out, &wirepb.ServerUse{Server: name, SlotsHeld: uint32(max(n, sh.slots)), InFlight: uint32(n)})
	}
	for name, n := range e.inFlight {
		if _, shared := e.shares[name]; !shared {
			out = append(out, &wirepb.ServerUse{Server: name, SlotsHeld: uint32(n), InFlight: uint32(n)})
		}
	}
	return out
}

// drainingHosts reports every draining host of the acknowledged version, also
// those without work in flight, as the leader waits for a count of zero.
func (e *Entry) drainingHosts() []*wirepb.HostInFlight {
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

func (e *Entry) restoreFailedServers(names []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, name := range names {
		e.failedServers[name] = true
	}
}

// applySync applies the leader's response to a sync sent at sent.
func (e *Entry) applySync(sent time.Duration, r *wirepb.SyncResponse) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.GetLeaderTerm() < e.term {
		return // a late response of an earlier leader
	}
	e.sync.answered = e.now()
	newTerm := r.GetLeaderTerm() > e.term
	e.term = r.GetLeaderTerm()
	e.leader = r.GetLeader()
	e.applyDelta(r.GetDelta())
	e.applyLeases(sent, r)
	if newTerm || r.GetGrant() > e.grant {
		e.applyGrant(r)
	}
	e.refreshServers(e.now())
	e.dispatch()
}

// applyLeases renews the configuration lease and the leases of the live servers.
// The configuration lease covers the leader's version, so it is not renewed if the
// entry is behind the leader or the leader behind the entry.
func (e *Entry) applyLeases(sent time.Duration, r *wirepb.SyncResponse) {
	update := lease.Sync{SentAt: sent, Term: r.GetLeaderTerm(), Full: r.GetLiveFull(), Gone: r.GetGone()}
	if e.cfg.Version() == r.GetVersion() {
		update.ConfigLease = time.Duration(r.GetConfigLeaseMs()) * time.Millisecond
	}
	for _, s := range r.GetLive() {
		update.Live = append(update.Live, lease.LiveServer{Name: s.GetServer(), Lease: time.Duration(s.GetLeaseMs()) * time.Millisecond})
	}
	if e.leases.ApplySync(update, e.now()) {
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

// Announce forwards a backend server's announcement to the control leader. A
// server that is leaving gets no new work from this entry from then on.
func (e *Entry) Announce(ctx context.Context, r *wirepb.AnnounceRequest) (*wirepb.AnnounceResponse, error) {
	if r.GetLeaving() {
		e.mu.Lock()
		if name := r.GetServer().GetName(); e.cfg.Server(name) != nil {
			e.leases.Revoke(name, e.now())
		}
		e.refreshServers(e.now())
		e.mu.Unlock()
	}
	return e.options.Control.Announce(ctx, r)
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
