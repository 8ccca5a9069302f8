package lease

import (
	"fmt"
	"time"
)

// Decision answers whether work may be sent to a backend server.
type Decision int

// Decisions of MaySend.
const (
	// Allowed: both leases run.
	Allowed Decision = iota
	// ConfigLeaseOver: the entry has had no sync in ConfigLease; reject all work.
	ConfigLeaseOver
	// ServerUnknown: no sync has listed the backend server since it was revoked.
	ServerUnknown
	// ServerLeaseOver: neither a sync nor the backend server renewed its lease.
	ServerLeaseOver
	// Stopped: an invariant is broken.
	Stopped
)

func (d Decision) String() string {
	switch d {
	case Allowed:
		return "allowed"
	case ConfigLeaseOver:
		return "configuration lease is over"
	case ServerUnknown:
		return "backend server is not listed"
	case ServerLeaseOver:
		return "backend server's lease is over"
	}
	return "stopped by a broken invariant"
}

// LiveServer is a backend server in a sync response.
type LiveServer struct {
	Name  string
	Lease time.Duration // what remained of its lease at the leader
}

// Sync is a successful sync as an entry saw it.
type Sync struct {
	SentAt      time.Duration // when the entry sent the request
	Term        uint64        // of the leader that answered
	ConfigLease time.Duration
	Live        []LiveServer
	Full        bool // Live lists all live servers
	Gone        []string
}

type serverLease struct {
	end     time.Duration
	revoked time.Duration // a sync sent at or before this does not list it again
	listed  bool
	// known: the leader's list names the backend server, which stays so while
	// its lease here is revoked.
	known bool
}

// Serving is an entry's right to send work. It is not safe for concurrent use.
type Serving struct {
	now       time.Duration
	term      uint64
	lastSent  time.Duration
	synced    bool
	configEnd time.Duration
	servers   map[string]*serverLease
	broken    *InvariantError
}

// NewServing returns a state in which nothing may be sent.
func NewServing() *Serving {
	return &Serving{servers: make(map[string]*serverLease)}
}

// Broken returns the *InvariantError that stopped the core, or nil.
func (s *Serving) Broken() error {
	if s.broken == nil {
		return nil
	}
	return s.broken
}

func (s *Serving) fail(name, detail string) {
	if s.broken == nil {
		s.broken = &InvariantError{Name: name, Detail: detail}
	}
}

func (s *Serving) at(now time.Duration) bool {
	if now < s.now {
		s.fail(InvariantTimeForward, fmt.Sprintf("time went from %v to %v", s.now, now))
	}
	s.now = max(s.now, now)
	return s.broken == nil
}

// Synced takes a successful sync. Leases count from when the request was sent,
// before the leader answered, so they end before the leader's copies. It
// returns false for an answer that is older than one already taken: of an
// earlier term, or to a request sent earlier.
func (s *Serving) Synced(y Sync, now time.Duration) bool {
	if !s.at(now) {
		return false
	}
	if y.SentAt > now {
		s.fail(InvariantTimeForward, "a sync was answered before it was sent")
		return false
	}
	if s.synced && (y.Term < s.term || y.SentAt < s.lastSent) {
		return false
	}
	s.synced = true
	s.term = y.Term
	s.lastSent = y.SentAt
	s.configEnd = max(s.configEnd, y.SentAt+min(y.ConfigLease, ConfigLease))
	for _, name := range y.Gone {
		s.unlist(name)
	}
	if y.Full {
		s.unlistAllBut(y.Live, y.SentAt)
	} else {
		s.renewListed(y.SentAt)
	}
	for _, live := range y.Live {
		s.list(live, y.SentAt)
	}
	return true
}

func (s *Serving) list(live LiveServer, sentAt time.Duration) {
	v := s.servers[live.Name]
	if v == nil {
		v = &serverLease{revoked: -1}
		s.servers[live.Name] = v
	}
	v.known = true
	v.renew(sentAt, live.Lease)
}

func (s *Serving) unlist(name string) {
	if v := s.servers[name]; v != nil {
		v.known = false
		v.listed = false
		v.end = 0
	}
}

// renew takes a listing in an answer to a sync sent at sentAt.
func (v *serverLease) renew(sentAt, lease time.Duration) {
	if sentAt <= v.revoked {
		return
	}
	v.listed = true
	v.end = max(v.end, sentAt+min(lease, ServerLease))
}

// renewListed renews the servers that an earlier sync listed: an answer that is
// not full names only changes, so it lists again all that it does not take away,
// also those that were revoked before the sync was sent.
func (s *Serving) renewListed(sentAt time.Duration) {
	for _, v := range s.servers {
		if v.known {
			v.renew(sentAt, ServerLease)
		}
	}
}

// unlistAllBut forgets the servers that a full answer does not name. One that
// was revoked after the request was sent is kept, so that no other answer to an
// early request lists it again.
func (s *Serving) unlistAllBut(live []LiveServer, sentAt time.Duration) {
	keep := make(map[string]bool, len(live))
	for _, v := range live {
		keep[v.Name] = true
	}
	for name, v := range s.servers {
		if keep[name] {
			continue
		}
		s.unlist(name)
		if v.revoked < sentAt {
			delete(s.servers, name)
		}
	}
}

// Answered takes a response that a backend server itself gave to a request sent
// at sentAt. It renews the lease of a listed server, unless the response said
// Connection: close, which means that it is leaving.
func (s *Serving) Answered(server string, sentAt, now time.Duration, closing bool) {
	if !s.at(now) {
		return
	}
	if closing {
		s.Revoke(server, now)
		return
	}
	v := s.servers[server]
	if v == nil || !v.listed || sentAt <= v.revoked {
		return
	}
	v.end = max(v.end, now+ServerLease)
}

// Revoke ends a backend server's lease until a sync sent later lists it again:
// it refused a connection or said that it is leaving.
func (s *Serving) Revoke(server string, now time.Duration) {
	if !s.at(now) {
		return
	}
	v := s.servers[server]
	if v == nil {
		v = &serverLease{}
		s.servers[server] = v
	}
	v.listed = false
	v.end = 0
	v.revoked = now
}

// MaySend answers whether work may be sent to a backend server. Call it with
// the present time right before the request is written.
func (s *Serving) MaySend(server string, now time.Duration) Decision {
	if !s.at(now) {
		return Stopped
	}
	if !s.synced || now >= s.configEnd {
		return ConfigLeaseOver
	}
	v := s.servers[server]
	if v == nil || !v.listed {
		return ServerUnknown
	}
	if now >= v.end {
		return ServerLeaseOver
	}
	if v.end > now+ServerLease || s.configEnd > now+ConfigLease {
		s.fail(InvariantServingInside, "a lease of backend server "+server+" ends later than a full one from now")
		return Stopped
	}
	return Allowed
}

// ServerLeft returns what remains of a backend server's lease, or 0.
func (s *Serving) ServerLeft(server string, now time.Duration) time.Duration {
	v := s.servers[server]
	if v == nil || !v.listed || !s.at(now) {
		return 0
	}
	return max(0, v.end-now)
}

// ConfigLeft returns what remains of the configuration lease, or 0. The health
// check fails and every request is rejected when it is 0.
func (s *Serving) ConfigLeft(now time.Duration) time.Duration {
	if !s.at(now) || !s.synced {
		return 0
	}
	return max(0, s.configEnd-now)
}
