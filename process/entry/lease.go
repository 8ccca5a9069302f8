package entry

import "time"

// serverLease is how long a backend server may be used after the last sync
// that listed it, or after it answered this entry itself.
const serverLease = 4 * time.Second

// leases holds the entry's right to serve at all and to use each backend
// server. Times are durations since the entry's start. It is guarded by the
// entry's mutex.
type leases struct {
	configUntil time.Duration
	servers     map[string]*serverRight
}

type serverRight struct {
	until time.Duration
	// endedAt is when the server refused a connection or said that it is
	// leaving; only a sync that was sent later restores its lease.
	endedAt time.Duration
	ended   bool
}

func newLeases() *leases { return &leases{servers: make(map[string]*serverRight)} }

// synced starts the configuration lease from when the sync was sent, so that
// it ends before the control leader's count of it, which starts later.
func (l *leases) synced(sent, lease time.Duration) {
	l.configUntil = max(l.configUntil, sent+lease)
}

// configValid reports whether the entry may serve.
func (l *leases) configValid(now time.Duration) bool { return now < l.configUntil }

// listed renews a server's lease after a sync sent at sent has listed it. The
// servers of the map are those of the leader's list.
func (l *leases) listed(server string, sent, lease time.Duration) {
	r := l.servers[server]
	if r == nil {
		r = &serverRight{}
		l.servers[server] = r
	}
	if r.ended && sent <= r.endedAt {
		return
	}
	r.ended = false
	r.until = max(r.until, sent+min(lease, serverLease))
}

// answered renews a running lease after the server itself has answered
// without announcing that it is leaving.
func (l *leases) answered(server string, now time.Duration) {
	if r := l.servers[server]; r != nil && !r.ended {
		r.until = max(r.until, now+serverLease)
	}
}

// end withdraws the right to use a server at once.
func (l *leases) end(server string, now time.Duration) {
	r := l.servers[server]
	if r == nil {
		return
	}
	r.ended = true
	r.endedAt = now
	r.until = 0
}

// gone forgets a server that the control leader no longer lists.
func (l *leases) gone(server string) { delete(l.servers, server) }

// serverValid reports whether work may be sent to a server.
func (l *leases) serverValid(server string, now time.Duration) bool {
	r := l.servers[server]
	return r != nil && !r.ended && now < r.until
}

// keepOnly forgets all servers but the listed ones.
func (l *leases) keepOnly(listed map[string]bool) {
	for name := range l.servers {
		if !listed[name] {
			delete(l.servers, name)
		}
	}
}
