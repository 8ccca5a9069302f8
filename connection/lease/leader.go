// Package lease keeps the leases that let work be sent: at the control leader
// the entries' sessions and the backend servers' heartbeats, at an entry the
// right to send work to a backend server now.
//
// It is a pure core. Times are time.Duration on the caller's own monotonic
// clock, since the driver's start; times of two processes are never compared.
package lease

import (
	"cmp"
	"fmt"
	"iter"
	"slices"
	"time"
)

const (
	// ConfigLease is how long an entry may act on its configuration after it
	// sent the last successful sync.
	ConfigLease = 12 * time.Second
	// ServerLease is how long a backend server counts as alive after its last
	// announcement.
	ServerLease = 4 * time.Second
)

// InvariantError says that a named invariant is broken. The core refuses every
// call after it: the leader gives no lease, the entry sends nothing.
type InvariantError struct {
	Name   string
	Detail string
}

func (e *InvariantError) Error() string {
	return fmt.Sprintf("lease invariant %s is broken: %s; restart this process", e.Name, e.Detail)
}

// Names of the invariants.
const (
	InvariantTimeForward   = "lease-time-forward"
	InvariantNotShortened  = "lease-not-shortened"
	InvariantServingInside = "serving-inside-leases"
)

// SessionID names one boot of an entry. BootID is empty for an entry that has a
// lease from an earlier leader and has not reported to this one.
type SessionID struct {
	Entry  string
	BootID string
}

// Session is what the leader knows of one boot of an entry.
type Session struct {
	ID           SessionID
	AckedVersion uint64
	LastAnswered time.Duration // zero before the first answer
	LeaseEnd     time.Duration
	// InFlight counts requests to hosts that drain in AckedVersion. It belongs
	// to the latest report and must not be modified.
	InFlight map[string]uint32
}

// Report is the part of an entry's sync request that concerns its lease.
type Report struct {
	ID           SessionID
	AckedVersion uint64
	InFlight     map[string]uint32
}

type beat struct {
	boot string
	end  time.Duration
}

// Leader is the soft state of one term of the control leader. It is not safe
// for concurrent use.
type Leader struct {
	sessions map[SessionID]*Session
	servers  map[string]*beat
	now      time.Duration
	broken   *InvariantError
}

// RegisteredServer is a backend server that the replicated state lists.
type RegisteredServer struct {
	Name   string
	BootID string
}

// NewLeader starts a term. An earlier leader may have answered any entry and
// heard any backend server just before, so all get a full lease.
func NewLeader(now time.Duration, entries []string, servers []RegisteredServer) *Leader {
	l := &Leader{sessions: make(map[SessionID]*Session), servers: make(map[string]*beat), now: now}
	for _, name := range entries {
		id := SessionID{Entry: name}
		l.sessions[id] = &Session{ID: id, LeaseEnd: now + ConfigLease}
	}
	for _, s := range servers {
		l.servers[s.Name] = &beat{boot: s.BootID, end: now + ServerLease}
	}
	return l
}

// Broken returns the *InvariantError that stopped the core, or nil.
func (l *Leader) Broken() error {
	if l.broken == nil {
		return nil
	}
	return l.broken
}

func (l *Leader) fail(name, detail string) {
	if l.broken == nil {
		l.broken = &InvariantError{Name: name, Detail: detail}
	}
}

// at moves the core's clock. It reports false when the core is broken.
func (l *Leader) at(now time.Duration) bool {
	if now < l.now {
		l.fail(InvariantTimeForward, fmt.Sprintf("time went from %v to %v", l.now, now))
	}
	l.now = max(l.now, now)
	return l.broken == nil
}

// Report takes an entry's sync request. It gives no lease: that starts with
// Answered. The first report of an entry replaces its session from the earlier
// leader; an earlier boot that reported to this leader keeps its lease, as it
// may be paused rather than gone.
func (l *Leader) Report(r Report, now time.Duration) error {
	if !l.at(now) {
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
		// Reports of one entry may overtake each other; the later one stands.
		return nil
	}
	s.AckedVersion = r.AckedVersion
	s.InFlight = r.InFlight
	return nil
}

// Answered starts an entry's lease anew; call it right before the answer to a
// sync request is written. It is an error if the entry has not reported.
func (l *Leader) Answered(id SessionID, now time.Duration) error {
	if !l.at(now) {
		return l.broken
	}
	s := l.sessions[id]
	if s == nil {
		return fmt.Errorf("entry %s boot %s has not reported: pass its request to Report first", id.Entry, id.BootID)
	}
	end := now + ConfigLease
	if end < s.LeaseEnd {
		l.fail(InvariantNotShortened, "the lease of entry "+id.Entry+" would get shorter")
		return l.broken
	}
	s.LastAnswered = now
	s.LeaseEnd = end
	return nil
}

// Over reports whether a session may send no work any more. An unknown session
// of an entry that still has an inherited one is not over.
func (l *Leader) Over(id SessionID, now time.Duration) bool {
	if !l.at(now) {
		return false
	}
	s := l.sessions[id]
	if s == nil {
		s = l.sessions[SessionID{Entry: id.Entry}]
	}
	return s == nil || now >= s.LeaseEnd
}

// Sessions returns copies of all sessions in order of entry and boot, including
// those whose lease is over until Expire removes them.
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

// Expire removes the sessions whose lease is over and returns them in order.
func (l *Leader) Expire(now time.Duration) []Session {
	if !l.at(now) {
		return nil
	}
	var over []Session
	for _, s := range l.Sessions() {
		if now >= s.LeaseEnd {
			over = append(over, s)
			delete(l.sessions, s.ID)
		}
	}
	return over
}

// Waiting returns the entries that have a lease from an earlier leader and have
// not reported to this one, in order.
func (l *Leader) Waiting(now time.Duration) []string {
	var out []string
	for id, s := range l.sessions {
		if id.BootID == "" && now < s.LeaseEnd {
			out = append(out, id.Entry)
		}
	}
	slices.Sort(out)
	return out
}

// InForce returns the greatest version, at most current, that every session
// with a running lease has acknowledged.
func (l *Leader) InForce(current uint64, now time.Duration) uint64 {
	if !l.at(now) {
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

// Heartbeat starts a backend server's lease anew.
func (l *Leader) Heartbeat(server, boot string, now time.Duration) error {
	if !l.at(now) {
		return l.broken
	}
	l.servers[server] = &beat{boot: boot, end: now + ServerLease}
	return nil
}

// RemoveServer forgets a backend server that was unregistered.
func (l *Leader) RemoveServer(server string) { delete(l.servers, server) }

// ServerLeft returns what remains of a backend server's lease, or 0.
func (l *Leader) ServerLeft(server string, now time.Duration) time.Duration {
	b := l.servers[server]
	if b == nil || !l.at(now) {
		return 0
	}
	return max(0, b.end-now)
}

// Live iterates the backend servers with a running lease and what remains of
// it, in no order.
func (l *Leader) Live(now time.Duration) iter.Seq2[string, time.Duration] {
	return func(yield func(string, time.Duration) bool) {
		if !l.at(now) {
			return
		}
		for name, b := range l.servers {
			if b.end > now && !yield(name, b.end-now) {
				return
			}
		}
	}
}

// ExpiredServers returns the registered backend servers whose lease is over, in
// name order. They stay until RemoveServer.
func (l *Leader) ExpiredServers(now time.Duration) []RegisteredServer {
	if !l.at(now) {
		return nil
	}
	var out []RegisteredServer
	for name, b := range l.servers {
		if b.end <= now {
			out = append(out, RegisteredServer{Name: name, BootID: b.boot})
		}
	}
	slices.SortFunc(out, func(a, b RegisteredServer) int { return cmp.Compare(a.Name, b.Name) })
	return out
}
