package lease

import (
	"time"
)

// Decision is the result of MaySend.
type Decision int

// Results of MaySend.
const (
	// Allowed: the configuration lease and the server's lease are both valid.
	Allowed Decision = iota
	// ConfigLeaseExpired: no sync sent within the last ConfigLease has succeeded;
	// reject all work.
	ConfigLeaseExpired
	// ServerNotListed: the syncs do not list the backend server, or none has listed
	// it again since its lease was revoked.
	ServerNotListed
	// ServerLeaseExpired: neither a sync nor a response of the backend server has
	// renewed its lease in time.
	ServerLeaseExpired
	// Stopped: an invariant is broken, so no work may be sent.
	Stopped
)

func (d Decision) String() string {
	switch d {
	case Allowed:
		return "allowed"
	case ConfigLeaseExpired:
		return "configuration lease has expired"
	case ServerNotListed:
		return "backend server is not listed"
	case ServerLeaseExpired:
		return "lease of the backend server has expired"
	}
	return "stopped by a broken invariant"
}

// LiveServer is a backend server in a sync response.
type LiveServer struct {
	Name  string
	Lease time.Duration // remaining lease at the leader
}

// Sync is the result of a successful sync at an entry.
type Sync struct {
	SentAt      time.Duration // when the entry sent the request
	Term        uint64        // term of the leader that answered
	ConfigLease time.Duration
	Live        []LiveServer
	Full        bool     // Live lists all live servers
	Gone        []string // servers that are no longer live
}

// serverLease is an entry's copy of a backend server's lease.
type serverLease struct {
	end       time.Duration
	revokedAt time.Duration // a sync sent at or before this time does not list the server again
	listed    bool
	// inLeaderList: the leader's list contains the server. Revoking the lease at this
	// entry does not change that.
	inLeaderList bool
}

// EntryLeases holds an entry's configuration lease and its copies of the backend
// servers' leases. It is not safe for concurrent use.
type EntryLeases struct {
	term         uint64
	lastSyncSent time.Duration
	synced       bool
	configEnd    time.Duration
	servers      map[string]*serverLease
	guard
}

// NewEntryLeases returns a state in which no work may be sent.
func NewEntryLeases() *EntryLeases {
	return &EntryLeases{servers: make(map[string]*serverLease)}
}

// ApplySync applies a successful sync. Leases count from the time the request was
// sent, which is before the leader answered, so they end before the leader's copies
// do. ApplySync ignores a response that is older than one already applied, that is,
// of an earlier term or to a request sent earlier, and returns false.
func (s *EntryLeases) ApplySync(result Sync, now time.Duration) bool {
	if !s.advanceClock(now) {
		return false
	}
	if result.SentAt > now {
		s.fail(InvariantTimeForward, "a response to a sync arrived before its request was sent")
		return false
	}
	if s.synced && (result.Term < s.term || result.SentAt < s.lastSyncSent) {
		return false
	}
	s.synced = true
	s.term = result.Term
	s.lastSyncSent = result.SentAt
	s.configEnd = max(s.configEnd, result.SentAt+min(result.ConfigLease, ConfigLease))
	for _, name := range result.Gone {
		s.markUnlisted(name)
	}
	if result.Full {
		s.removeUnlisted(result.Live, result.SentAt)
	} else {
		s.renewListed(result.SentAt)
	}
	for _, live := range result.Live {
		s.markListed(live, result.SentAt)
	}
	return true
}

func (s *EntryLeases) markListed(live LiveServer, sentAt time.Duration) {
	v := s.servers[live.Name]
	if v == nil {
		v = &serverLease{revokedAt: -1}
		s.servers[live.Name] = v
	}
	v.inLeaderList = true
	v.renew(sentAt, live.Lease)
}

func (s *EntryLeases) markUnlisted(name string) {
	if v := s.servers[name]; v != nil {
		v.inLeaderList = false
		v.listed = false
		v.end = 0
	}
}

// renew renews the lease because the response to a sync sent at sentAt lists the
// server. It has no effect if the lease was revoked at or after sentAt.
func (v *serverLease) renew(sentAt, lease time.Duration) {
	if sentAt <= v.revokedAt {
		return
	}
	v.listed = true
	v.end = max(v.end, sentAt+min(lease, ServerLease))
}

// renewListed renews the leases of the servers in the leader's list. A response that
// is not full contains only changes, so it lists again every server that it does not
// remove, including those that were revoked before the sync was sent.
func (s *EntryLeases) renewListed(sentAt time.Duration) {
	for _, v := range s.servers {
		if v.inLeaderList {
			v.renew(sentAt, ServerLease)
		}
	}
}

// removeUnlisted removes the servers that a full response does not list. The record
// of a server that was revoked after the request was sent is kept, so that no other
// response to a request sent before the revocation lists the server again.
func (s *EntryLeases) removeUnlisted(live []LiveServer, sentAt time.Duration) {
	inResponse := make(map[string]bool, len(live))
	for _, v := range live {
		inResponse[v.Name] = true
	}
	for name, v := range s.servers {
		if inResponse[name] {
			continue
		}
		s.markUnlisted(name)
		if v.revokedAt < sentAt {
			delete(s.servers, name)
		}
	}
}

// ApplyResponse applies a response that a backend server sent to a request of this
// entry, sent at sentAt. It renews the lease of a listed server. If the response
// contains Connection: close, the server is leaving and its lease is revoked.
func (s *EntryLeases) ApplyResponse(server string, sentAt, now time.Duration, closing bool) {
	if !s.advanceClock(now) {
		return
	}
	if closing {
		s.Revoke(server, now)
		return
	}
	v := s.servers[server]
	if v == nil || !v.listed || sentAt <= v.revokedAt {
		return
	}
	v.end = max(v.end, now+ServerLease)
}

// Revoke ends the lease of a backend server that refused a connection or announced
// that it is leaving. Only a sync that is sent later can list the server again.
func (s *EntryLeases) Revoke(server string, now time.Duration) {
	if !s.advanceClock(now) {
		return
	}
	v := s.servers[server]
	if v == nil {
		v = &serverLease{}
		s.servers[server] = v
	}
	v.listed = false
	v.end = 0
	v.revokedAt = now
}

// MaySend returns whether work may be sent to a backend server. Call it with the
// current time immediately before the request is written.
func (s *EntryLeases) MaySend(server string, now time.Duration) Decision {
	if !s.advanceClock(now) {
		return Stopped
	}
	if !s.synced || now >= s.configEnd {
		return ConfigLeaseExpired
	}
	v := s.servers[server]
	if v == nil || !v.listed {
		return ServerNotListed
	}
	if now >= v.end {
		return ServerLeaseExpired
	}
	if v.end > now+ServerLease || s.configEnd > now+ConfigLease {
		s.fail(InvariantServingInside, "a lease for work at backend server "+server+" ends later than a full lease from now")
		return Stopped
	}
	return Allowed
}

// ServerLeaseRemaining returns the remaining time of a backend server's lease, or 0.
func (s *EntryLeases) ServerLeaseRemaining(server string, now time.Duration) time.Duration {
	v := s.servers[server]
	if v == nil || !v.listed || !s.advanceClock(now) {
		return 0
	}
	return max(0, v.end-now)
}

// ConfigLeaseRemaining returns the remaining time of the configuration lease, or 0.
// At 0 the entry's health check fails and it rejects every request.
func (s *EntryLeases) ConfigLeaseRemaining(now time.Duration) time.Duration {
	if !s.advanceClock(now) || !s.synced {
		return 0
	}
	return max(0, s.configEnd-now)
}
