package entry

import (
	"time"

	"marjoramtiller.example/marjoramtiller/request/forward"
	"marjoramtiller.example/marjoramtiller/request/queue"
	"marjoramtiller.example/marjoramtiller/version/fleetpb"
)

// config is the entry's leased copy of the fleet state it needs.
type config struct {
	version uint64
	pools   map[string]*fleetpb.Pool
	hosts   map[string]*fleetpb.Host
	servers map[string]*fleetpb.BackendServer
}

func newConfig() *config {
	return &config{
		pools:   make(map[string]*fleetpb.Pool),
		hosts:   make(map[string]*fleetpb.Host),
		servers: make(map[string]*fleetpb.BackendServer),
	}
}

// apply brings the copy to the delta's version. A delta that is older than
// the copy, or that starts after it, is not applied; the next sync names the
// copy's version, so the leader sends what is missing.
func (c *config) apply(d *fleetpb.Delta) bool {
	if d == nil || d.GetToVersion() <= c.version && c.version > 0 {
		return false
	}
	if !d.GetFull() && d.GetFromVersion() > c.version {
		return false
	}
	if d.GetFull() {
		fresh := newConfig()
		c.pools, c.hosts, c.servers = fresh.pools, fresh.hosts, fresh.servers
	}
	for _, p := range d.GetPools() {
		c.pools[p.GetName()] = p
	}
	for _, h := range d.GetHosts() {
		c.hosts[h.GetName()] = h
	}
	for _, s := range d.GetServers() {
		c.servers[s.GetName()] = s
	}
	for _, t := range d.GetDeleted() {
		c.remove(t)
	}
	c.version = d.GetToVersion()
	return true
}

// remove applies a tombstone, unless the object was created again after it.
func (c *config) remove(t *fleetpb.Tombstone) {
	name := t.GetName()
	switch t.GetKind() {
	case fleetpb.Tombstone_KIND_POOL:
		if c.pools[name].GetModifiedVersion() <= t.GetVersion() {
			delete(c.pools, name)
		}
	case fleetpb.Tombstone_KIND_HOST:
		if c.hosts[name].GetModifiedVersion() <= t.GetVersion() {
			delete(c.hosts, name)
		}
	case fleetpb.Tombstone_KIND_SERVER:
		if c.servers[name].GetModifiedVersion() <= t.GetVersion() {
			delete(c.servers, name)
		}
	}
}

// usable reports whether the configuration allows new work on a server: its
// host is an active member of a pool of the server's service.
func (c *config) usable(s *fleetpb.BackendServer) bool {
	if s == nil || s.GetLeaving() {
		return false
	}
	h := c.hosts[s.GetHost()]
	if h.GetState() != fleetpb.HostState_HOST_STATE_ACTIVE {
		return false
	}
	return c.pools[h.GetPool()].GetService() == s.GetService()
}

// serviceOf returns the pool that serves a service, nil if there is none.
func (c *config) serviceOf(name string) *fleetpb.Pool {
	if name == "" {
		return nil
	}
	var found *fleetpb.Pool
	for _, p := range c.pools {
		if p.GetService() == name && (found == nil || p.GetName() < found.GetName()) {
			found = p
		}
	}
	return found
}

// configureQueue passes the services' limits to the queue core.
func (e *Entry) configureQueue() {
	for _, p := range e.cfg.pools {
		if p.GetService() == "" || e.cfg.serviceOf(p.GetService()) != p {
			continue
		}
		e.core.SetService(p.GetService(), queue.ServiceConfig{
			ShortSlotsPercent: int(p.GetShortSlotsPercent()),
			LongThreshold:     time.Duration(p.GetLongThresholdMs()) * time.Millisecond,
			MaxPerCaller:      e.o.MaxQueuedPerCaller,
			MaxQueued:         e.o.MaxQueuedPerService,
			Deferrable:        p.GetMayWait(),
		})
	}
}

// refresh brings the queue core's servers in line with configuration, leases
// and shares. The caller holds the mutex.
func (e *Entry) refresh(now time.Duration) {
	valid := e.leases.configValid(now)
	for name, s := range e.cfg.servers {
		share := e.shares[name]
		if !valid || share.slots == 0 || !e.cfg.usable(s) || !e.leases.serverValid(name, now) {
			e.core.RemoveServer(name)
			continue
		}
		// One connection carries one request, so the connection limit is a slot limit too.
		e.core.SetServer(name, s.GetService(), min(share.slots, share.connections))
		e.targetOf(s, share)
	}
	for name, t := range e.targets {
		if e.cfg.servers[name] == nil {
			e.core.RemoveServer(name)
			t.t.CloseIdle()
			delete(e.targets, name)
		}
	}
}

// target is the transport to one boot of a backend server.
type target struct {
	t           *forward.Target
	address     string
	bootID      string
	connections int
}

func (e *Entry) targetOf(s *fleetpb.BackendServer, sh share) *target {
	t := e.targets[s.GetName()]
	if t != nil && t.address == s.GetAddress() && t.bootID == s.GetBootId() && t.connections == sh.connections {
		return t
	}
	if t != nil {
		t.t.CloseIdle()
	}
	t = &target{
		t:           forward.NewTarget(forward.Options{Address: s.GetAddress(), Connections: sh.connections}),
		address:     s.GetAddress(),
		bootID:      s.GetBootId(),
		connections: sh.connections,
	}
	e.targets[s.GetName()] = t
	return t
}

// mayWrite is the check immediately before the first byte of a request.
func (e *Entry) mayWrite(name string, t *target) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	s := e.cfg.servers[name]
	return e.leases.configValid(now) && e.leases.serverValid(name, now) &&
		e.cfg.usable(s) && s.GetAddress() == t.address && s.GetBootId() == t.bootID && e.shares[name].slots > 0
}
