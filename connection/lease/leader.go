// Package lease tracks the leases without which no work may be sent. At the
// control leader these are the leases of the entries' sessions and of the backend
// servers. At an entry they decide whether it may send work to a backend server.
//
// The package does no I/O and reads no clock. Each call passes the time as a
// time.Duration on the process's own monotonic clock, counted from the start of the
// process; times of two processes are never compared.
package lease

import (
	"cmp"
	"fmt"
	"iter"
	"slices"
	"time"
)

const (
	// ConfigLease is how long an entry may act on its configuration after it sent
	// the latest sync request that succeeded.
	ConfigLease = 12 * time.Second
	// ServerLease is how long a backend server counts as alive after its last
	// announcement.
	ServerLease = 4 * time.Second
)

// SessionID identifies one boot of an entry. BootID is empty for an entry that may
// hold a lease from an earlier leader and has not reported to this one.
type SessionID struct {
	Entry  string
	BootID string
}

// Session is the leader's record of one boot of an entry.
type Session struct {
	ID           SessionID
	AckedVersion uint64
	LastAnswered time.Duration // zero before the first response to a sync request
	LeaseEnd     time.Duration
	// InFlight counts the requests in flight to hosts that drain in AckedVersion.
	// The map is shared with the latest report and must not be modified.
	InFlight map[string]uint32
}

// Report is the part of an entry's sync request that concerns its lease.
type Report struct {
	ID           SessionID
	AckedVersion uint64
	InFlight     map[string]uint32
}

// heartbeat is the lease from a backend server's latest announcement.
type heartbeat struct {
	bootID string
	end    time.Duration
}

// Leader is the in-memory lease state of one term of the control leader. A new
// leader rebuilds it from reports. It is not safe for concurrent use.
type Leader struct {
	sessions map[SessionID]*Session
	servers  map[string]*heartbeat
	guard
}

// RegisteredServer is a backend server that the replicated state lists.
type RegisteredServer struct {
	Name   string
	BootID string
}

// NewLeader starts a term. An earlier leader may have renewed the lease of any
// entry or backend server just before, so all of them start with a full lease.
func NewLeader(now time.Duration, entries []string, servers []RegisteredServer) *Leader {
	l := &Leader{sessions: make(map[SessionID]*Session), servers: make(map[string]*heartbeat), guard: guard{now: now}}
	for _, name := range entries {
		id := SessionID{Entry: name}
		l.sessions[id] = &Session{ID: id, LeaseEnd: now + ConfigLease}
	}
	for _, s := range servers {
		l.servers[s.Name] = &heartbeat{bootID: s.BootID, end: now + ServerLease}
	}
	return l
}

// Report records an entry's sync request. It does not renew the lease; RenewLease
// does. The first report of an entry replaces the session that was inherited from an
// earlier leader. An earlier boot that has reported to this leader keeps its lease,
// because its process may be paused rather than ended.
func (l *Leader) Report(r Report, now time.Duration) error {
	if !l.advanceClock(now) {
		return l.broken
	}
	inherited := SessionID{Entry: r.ID.Entry}
	s := l.sessions[r.ID]
	if s == nil {
		s = &Session{ID: r.ID, LeaseEnd: now}
		if old := l.sessions[inherited]; old != nil {
			s.LeaseEnd = old.LeaseEnd
			delete(l.sessions, inherited)
		}
		l.sessions[r.ID] = s
	}
	if r.AckedVersion < s.AckedVersion {
		// Reports of one entry may arrive out of order; ignore the older one.
		return nil
	}
	s.AckedVersion = r.AckedVersion
	s.InFlight = r.InFlight
	return nil
}

// RenewLease renews an entry's lease. Call it immediately before the response to a
// sync request is written. It returns an error if the entry has not reported.
func (l *Leader) RenewLease(id SessionID, now time.Duration) error {
	if !l.advanceClock(now) {
		return l.broken
	}
	s := l.sessions[id]
	if s == nil {
		return fmt.Errorf("entry %s boot %s has not reported: pass its request to Report first", id.Entry, id.BootID)
	}
	end := now + ConfigLease
	if end < s.LeaseEnd {
		l.fail(InvariantNotShortened, "renewing the lease of entry "+id.Entry+" would shorten it")
		return l.broken
	}
	s.LastAnswered = now
	s.LeaseEnd = end
	return nil
}

// LeaseExpired reports whether the lease of a session has expired, so that the entry
// can no longer send work under it. If the session is unknown, the session of the
// same entry inherited from an earlier leader decides, if there is one.
func (l *Leader) LeaseExpired(id SessionID, now time.Duration) bool {
	if !l.advanceClock(now) {
		return false
	}
	s := l.sessions[id]
	if s == nil {
		s = l.sessions[SessionID{Entry: id.Entry}]
	}
	return s == nil || now >= s.LeaseEnd
}

// Sessions returns copies of all sessions, sorted by entry and boot id. Sessions
// whose lease has expired are included until Expire removes them.
func (l *Leader) Sessions() []Session {
	out := make([]Session, 0, len(l.sessions))
	for _, s := range l.sessions {
		out = append(out, *s)
	}
	slices.SortFunc(out, func(a, b Session) int {
		return cmp.Or(cmp.Compare(a.ID.Entry, b.ID.Entry), cmp.Compare(a.ID.BootID, b.ID.BootID))
	})
	return out
}

// Expire removes the sessions whose lease has expired and returns them, sorted by
// entry and boot id.
func (l *Leader) Expire(now time.Duration) []Session {
	if !l.advanceClock(now) {
		return nil
	}
	var expired []Session
	for _, s := range l.Sessions() {
		if now >= s.LeaseEnd {
			expired = append(expired, s)
			delete(l.sessions, s.ID)
		}
	}
	return expired
}

// AwaitingReport returns the entries that may hold an unexpired lease from an
// earlier leader and have not reported to this one, sorted by name.
func (l *Leader) AwaitingReport(now time.Duration) []string {
	var out []string
	for id, s := range l.sessions {
		if id.BootID == "" && now < s.LeaseEnd {
			out = append(out, id.Entry)
		}
	}
	slices.Sort(out)
	return out
}

// InForce returns the greatest configuration version, at most current, that every
// session with an unexpired lease has acknowledged.
func (l *Leader) InForce(current uint64, now time.Duration) uint64 {
	if !l.advanceClock(now) {
		return 0
	}
	version := current
	for _, s := range l.sessions {
		if now < s.LeaseEnd {
			version = min(version, s.AckedVersion)
		}
	}
	return version
}

// Heartbeat renews a backend server's lease.
func (l *Leader) Heartbeat(server, bootID string, now time.Duration) error {
	if !l.advanceClock(now) {
		return l.broken
	}
	l.servers[server] = &heartbeat{bootID: bootID, end: now + ServerLease}
	return nil
}

// RemoveServer removes the lease of a backend server that was unregistered.
func (l *Leader) RemoveServer(server string) { delete(l.servers, server) }

// ServerLeaseRemaining returns the remaining time of a backend server's lease, or 0.
func (l *Leader) ServerLeaseRemaining(server string, now time.Duration) time.Duration {
	b := l.servers[server]
	if b == nil || !l.advanceClock(now) {
		return 0
	}
	return max(0, b.end-now)
}

// LiveServers iterates over the backend servers with an unexpired lease and the
// remaining time of each lease, in no particular order.
func (l *Leader) LiveServers(now time.Duration) iter.Seq2[string, time.Duration] {
	return func(yield func(string, time.Duration) bool) {
		if !l.advanceClock(now) {
			return
		}
		for name, b := range l.servers {
			if b.end > now && !yield(name, b.end-now) {
				return
			}
		}
	}
}

// ExpiredServers returns the registered backend servers whose lease has expired,
// sorted by name. They are kept until RemoveServer.
func (l *Leader) ExpiredServers(now time.Duration) []RegisteredServer {
	if !l.advanceClock(now) {
		return nil
	}
	var out []RegisteredServer
	for name, b := range l.servers {
		if b.end <= now {
			out = append(out, RegisteredServer{Name: name, BootID: b.bootID})
		}
	}
	slices.SortFunc(out, func(a, b RegisteredServer) int { return cmp.Compare(a.Name, b.Name) })
	return out
}
