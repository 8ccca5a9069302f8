package fleet

import (
	"fmt"
	"iter"

	"marjoramtiller.example/marjoramtiller/version/fleetpb"
)

// Copy is an entry's copy of pools, hosts and backend servers, kept up to date
// by deltas. It is not safe for concurrent use.
type Copy struct {
	version        uint64
	pools          *table[*fleetpb.Pool]
	hosts          *table[*fleetpb.Host]
	servers        *table[*fleetpb.BackendServer]
	serviceServers index // service to its backend servers
	inactive       []string
}

// NewCopy returns an empty copy at version 0.
func NewCopy() *Copy {
	c := &Copy{}
	c.reset()
	return c
}

func (c *Copy) reset() {
	c.pools = newTable[*fleetpb.Pool]()
	c.hosts = newTable[*fleetpb.Host]()
	c.servers = newTable[*fleetpb.BackendServer]()
	c.serviceServers = make(index)
	c.inactive = nil
}

// GapError reports a delta that starts after the copy's version, so the changes
// in between are missing. The remedy is a delta since the copy's version.
type GapError struct{ Version, From uint64 }

func (e *GapError) Error() string {
	return fmt.Sprintf("the delta starts at version %d, the copy is at %d: request a delta since the version of the copy", e.From, e.Version)
}

// ApplyDelta applies a delta and reports whether it did. A delta to an older
// version is ignored, so the copy's version never decreases. A delta that starts
// after the copy's version is not applied and gives a *GapError.
func (c *Copy) ApplyDelta(d *fleetpb.Delta) (bool, error) {
	if d.ToVersion < c.version {
		return false, nil
	}
	if !d.Full && d.FromVersion > c.version {
		return false, &GapError{Version: c.version, From: d.FromVersion}
	}
	if d.Full {
		c.reset()
	}
	for _, t := range d.Deleted {
		c.remove(t)
	}
	for _, p := range d.Pools {
		c.pools.put(p)
	}
	for _, h := range d.Hosts {
		c.putHost(h)
	}
	for _, s := range d.Servers {
		c.serviceServers.move(c.Server(s.Name).GetService(), s.Service, s.Name)
		c.servers.put(s)
	}
	c.version = d.ToVersion
	return true, nil
}

func (c *Copy) putHost(h *fleetpb.Host) {
	c.hosts.put(h)
	if h.State == fleetpb.HostState_HOST_STATE_ACTIVE {
		c.inactive = removeName(c.inactive, h.Name)
		return
	}
	c.inactive = insertName(c.inactive, h.Name)
}

func (c *Copy) remove(t *fleetpb.Tombstone) {
	switch t.Kind {
	case fleetpb.Tombstone_KIND_POOL:
		c.pools.remove(t.Name)
	case fleetpb.Tombstone_KIND_HOST:
		c.hosts.remove(t.Name)
		c.inactive = removeName(c.inactive, t.Name)
	case fleetpb.Tombstone_KIND_SERVER:
		c.serviceServers.move(c.Server(t.Name).GetService(), "", t.Name)
		c.servers.remove(t.Name)
	}
}

// Version returns the configuration version of the copy.
func (c *Copy) Version() uint64 { return c.version }

// Pool returns a pool, or nil.
func (c *Copy) Pool(name string) *fleetpb.Pool { return c.pools.byName[name] }

// Host returns a host, or nil.
func (c *Copy) Host(name string) *fleetpb.Host { return c.hosts.byName[name] }

// Server returns a backend server, or nil.
func (c *Copy) Server(name string) *fleetpb.BackendServer { return c.servers.byName[name] }

// Pools iterates all pools in name order.
func (c *Copy) Pools() iter.Seq[*fleetpb.Pool] { return c.pools.all() }

// Servers iterates all backend servers in name order.
func (c *Copy) Servers() iter.Seq[*fleetpb.BackendServer] { return c.servers.all() }

// ServiceServers iterates the backend servers of a service in name order,
// including those that are leaving or on hosts that are not active.
func (c *Copy) ServiceServers(service string) iter.Seq[*fleetpb.BackendServer] {
	return objectsByName(c.servers, c.serviceServers[service])
}

// Inactive iterates the hosts that are not active, in name order.
func (c *Copy) Inactive() iter.Seq[*fleetpb.Host] { return objectsByName(c.hosts, c.inactive) }

// Serves reports whether the configuration lets a backend server receive new
// work: it is not leaving, its host is active, and the host's pool has the
// server's service. Leases and health are not considered.
func (c *Copy) Serves(s *fleetpb.BackendServer) bool {
	h := c.Host(s.GetHost())
	active := h.GetState() == fleetpb.HostState_HOST_STATE_ACTIVE
	return active && !s.GetLeaving() && c.Pool(h.Pool).GetService() == s.GetService()
}
