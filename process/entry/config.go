package entry

import (
	"time"

	"marjoramtiller.example/marjoramtiller/connection/lease"
	"marjoramtiller.example/marjoramtiller/request/forward"
	"marjoramtiller.example/marjoramtiller/request/queue"
	"marjoramtiller.example/marjoramtiller/version/fleetpb"
)

// applyDelta updates the copy of the configuration to the delta's version. A
// delta that leaves a gap is not applied: the next sync reports the copy's
// version, so the leader sends the missing changes. The caller holds the mutex.
func (e *Entry) applyDelta(d *fleetpb.Delta) {
	if d == nil || d.GetToVersion() == e.cfg.Version() && e.configured {
		return
	}
	applied, err := e.cfg.ApplyDelta(d)
	if err != nil {
		e.options.Log.Warn().Err(err).Msg("configuration delta not applied; the next sync requests the missing changes")
		return
	}
	if applied {
		e.configured = true
		e.configureQueue()
	}
}

// configureQueue passes the limits of the services to the queue core. If
// several pools have the same service, the limits of the first pool by name
// apply.
func (e *Entry) configureQueue() {
	clear(e.pools)
	for p := range e.cfg.Pools() {
		if p.GetService() == "" || e.pools[p.GetService()] != nil {
			continue
		}
		e.pools[p.GetService()] = p
		short := int(p.GetShortSlotsPercent())
		if short == 0 {
			short = e.options.ShortSlotsPercent
		}
		e.core.SetService(p.GetService(), queue.ServiceConfig{
			ShortSlotsPercent: short,
			LongThreshold:     time.Duration(p.GetLongThresholdMs()) * time.Millisecond,
			MaxPerCaller:      e.options.MaxQueuedPerCaller,
			MaxQueued:         e.options.MaxQueuedPerService,
			Deferrable:        p.GetMayWait(),
		})
	}
	e.memory.SetServices(len(e.pools))
	e.openRequests.SetServices(len(e.pools))
}

// refreshServers updates the servers of the queue core from the configuration,
// the leases and the shares. The caller holds the mutex.
func (e *Entry) refreshServers(now time.Duration) {
	for s := range e.cfg.Servers() {
		name := s.GetName()
		share := e.shares[name]
		if share.slots == 0 || !e.cfg.Serves(s) || e.leases.MaySend(name, now) != lease.Allowed {
			e.core.RemoveServer(name)
			continue
		}
		// A connection carries one request at a time, so the connection limit
		// also limits the slots.
		e.core.SetServer(name, s.GetService(), min(share.slots, share.connections))
		e.targetFor(s, share)
	}
	for name, t := range e.targets {
		if e.cfg.Server(name) == nil {
			e.core.RemoveServer(name)
			t.transport.CloseIdle()
			delete(e.targets, name)
		}
	}
}

// mayServe reports whether the configuration lease is valid. The caller holds the mutex.
func (e *Entry) mayServe(now time.Duration) bool { return e.leases.ConfigLeaseRemaining(now) > 0 }

// target holds the transport to one boot of a backend server.
type target struct {
	transport   *forward.Target
	address     string
	bootID      string
	connections int
}

func (e *Entry) targetFor(s *fleetpb.BackendServer, sh share) *target {
	t := e.targets[s.GetName()]
	if t != nil && t.address == s.GetAddress() && t.bootID == s.GetBootId() && t.connections == sh.connections {
		return t
	}
	if t != nil {
		t.transport.CloseIdle()
	}
	t = &target{
		transport:   forward.NewTarget(forward.Options{Address: s.GetAddress(), Connections: sh.connections}),
		address:     s.GetAddress(),
		bootID:      s.GetBootId(),
		connections: sh.connections,
	}
	e.targets[s.GetName()] = t
	return t
}

// mayWrite reports whether a request may still be sent to a target. It is
// called immediately before the first byte of the request is written.
func (e *Entry) mayWrite(name string, t *target) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.cfg.Server(name)
	return e.leases.MaySend(name, e.now()) == lease.Allowed &&
		e.cfg.Serves(s) && s.GetAddress() == t.address && s.GetBootId() == t.bootID && e.shares[name].slots > 0
}
