package queue

import "time"

// server is this entry's share of one backend server.
type server struct {
	name        string
	service     string
	slots       int // 0: no work is started
	maxSlots    int // greatest number of slots, or of running work, so far
	running     int
	long        int           // running work of class Long
	lastFailure time.Duration // set if everFailed
	everFailed  bool
	lastStart   uint64 // Core.startSequence of its last start
	removed     bool   // to be deleted once no work runs on it
}

// failurePenaltyTime is how long after a failure other backend servers are
// preferred.
const failurePenaltyTime = 2 * time.Second

// SetServer sets the entry's share of a backend server. A share may be lowered
// below the running work; the slots are released as that work ends. A server
// that moves to another service is first removed from the former one.
func (c *Core) SetServer(name, service string, slots int) {
	s := c.services[service]
	if s == nil {
		return
	}
	srv := c.servers[name]
	if srv != nil && srv.service != service {
		c.RemoveServer(name)
		srv = nil
	}
	if srv == nil {
		srv = &server{name: name, service: service}
		c.servers[name] = srv
		s.servers = append(s.servers, srv)
	}
	srv.removed = false
	srv.slots = max(0, slots)
	srv.maxSlots = max(srv.maxSlots, srv.slots)
	s.recountSlots()
}

// RemoveServer stops starting work on a backend server and deletes its share
// once the running work has ended.
func (c *Core) RemoveServer(name string) {
	srv := c.servers[name]
	if srv == nil {
		return
	}
	srv.slots = 0
	srv.removed = true
	c.services[srv.service].recountSlots()
	c.removeIfIdle(srv)
}

// MarkFailed records that a backend server has failed at time now, so that others
// are preferred for failurePenaltyTime.
func (c *Core) MarkFailed(now time.Duration, name string) {
	if srv := c.servers[name]; srv != nil {
		srv.lastFailure = now
		srv.everFailed = true
	}
}

// removeIfIdle deletes the share of a removed server on which no work runs.
func (c *Core) removeIfIdle(srv *server) {
	if !srv.removed || srv.running > 0 || c.servers[srv.name] != srv {
		return
	}
	delete(c.servers, srv.name)
	s := c.services[srv.service]
	for k, other := range s.servers {
		if other == srv {
			s.servers = append(s.servers[:k], s.servers[k+1:]...)
			return
		}
	}
}

func (s *service) recountSlots() {
	s.slots = 0
	for _, srv := range s.servers {
		s.slots += srv.slots
	}
}

// choose returns the least loaded of the servers with a free slot and the lowest
// penalty, or nil if no server has a free slot.
func (s *service) choose(now time.Duration, class Class, avoid string) *server {
	if s.running >= s.slots {
		if !s.anyFree() {
			return nil
		}
	}
	var best *server
	bestPenalty := 0
	for _, srv := range s.servers {
		if srv.running >= srv.slots {
			continue
		}
		sum := srv.penalty(now, class, avoid)
		if best == nil || sum < bestPenalty || (sum == bestPenalty && srv.lessLoaded(best)) {
			best = srv
			bestPenalty = sum
		}
	}
	return best
}

func (s *service) anyFree() bool {
	for _, srv := range s.servers {
		if srv.running < srv.slots {
			return true
		}
	}
	return false
}

// penalty returns the sum of the weights of the reasons against choosing a server:
//   - 4 if the previous attempt of the request used it,
//   - 2 if it failed within failurePenaltyTime,
//   - 1 if the request is short and most of the server's running work is long.
//
// Each weight is greater than the sum of the lower ones, so a reason always
// outweighs those below it.
func (srv *server) penalty(now time.Duration, class Class, avoid string) int {
	total := 0
	if srv.name == avoid {
		total += 4
	}
	if srv.everFailed && now-srv.lastFailure < failurePenaltyTime {
		total += 2
	}
	if class == Short && srv.running > 0 && 2*srv.long > srv.running {
		total++
	}
	return total
}

// lessLoaded reports whether srv runs less work than other in proportion to its
// slots or, if both run equally much, had its last start earlier.
func (srv *server) lessLoaded(other *server) bool {
	load, otherLoad := srv.running*other.slots, other.running*srv.slots
	if load != otherLoad {
		return load < otherLoad
	}
	return srv.lastStart < other.lastStart
}

// ServiceStats describes one service at this entry.
type ServiceStats struct {
	Service string `json:"service"`
	Queued  int    `json:"queued"`
	Running int    `json:"running"`
	Long    int    `json:"long"`
	Slots   int    `json:"slots"`
	Arrived uint64 `json:"arrived"`
	Routes  int    `json:"routes"`
}

// ServerStats describes the entry's share of one backend server.
type ServerStats struct {
	Server  string `json:"server"`
	Service string `json:"service"`
	Slots   int    `json:"slots"`
	Running int    `json:"running"`
	Long    int    `json:"long"`
}

// Services returns the statistics of every service in order of configuration.
func (c *Core) Services() []ServiceStats {
	out := make([]ServiceStats, 0, len(c.orderedServices))
	for _, s := range c.orderedServices {
		out = append(out, ServiceStats{s.name, s.queued, s.running, s.runningLong, s.slots, s.arrived, len(s.routes)})
	}
	return out
}

// Servers returns the statistics of every share, grouped by service in order of
// configuration.
func (c *Core) Servers() []ServerStats {
	var out []ServerStats
	for _, s := range c.orderedServices {
		for _, srv := range s.servers {
			out = append(out, ServerStats{srv.name, srv.service, srv.slots, srv.running, srv.long})
		}
	}
	return out
}

// RouteClass returns the learned class of a route and whether the class has
// enough observations to be used.
func (c *Core) RouteClass(service, name string) (Class, bool) {
	s := c.services[service]
	if s == nil || s.routes[name] == nil {
		return Short, false
	}
	r := s.routes[name]
	return r.class, r.known()
}
