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
	// listedAt is when the last sync was sent whose answer renewed every listed
	// server, so that a renewal does not cost a pass over all of them.
	listedAt time.Duration
	ended    map[string]*serverRight // those of servers that ended
}

type serverRight struct {
	until time.Duration
	added time.Duration // sending of the sync that first listed the server
	// endedAt is when the server refused a connection or said that it is
	// leaving; only a sync that was sent later restores its lease.
	endedAt time.Duration
	ended   bool
}

func newLeases() *leases {
	return &leases{servers: make(map[string]*serverRight), ended: make(map[string]*serverRight)}
}

// synced starts the configuration lease from when the sync was sent, so that
// it ends before the control leader's count of it, which starts later.
func (l *leases) synced(sent, lease time.Duration) {
	l.configUntil = max(l.configUntil, sent+lease)
}

// configValid reports whether the entry may serve.
func (l *leases) configValid(now time.Duration) bool { return now < l.configUntil }

// renewed renews all servers of the list after a sync sent at sent. It reports
// whether a server that had ended may be used again.
func (l *leases) renewed(sent time.Duration) bool {
	l.listedAt = max(l.listedAt, sent)
	restored := false
	for name, r := range l.ended {
		if sent > r.endedAt {
			r.ended = false
			delete(l.ended, name)
			restored = true
		}
	}
	return restored
}

// until returns when the lease of a listed server ends.
func (l *leases) until(r *serverRight) time.Duration {
	if l.listedAt > r.added {
		return max(r.until, l.listedAt+serverLease)
	}
	return r.until
}

// listed renews a server's lease after a sync sent at sent has listed it. The
// servers of the map are those of the leader's list.
func (l *leases) listed(server string, sent, lease time.Duration) {
	r := l.servers[server]
	if r == nil {
		r = &serverRight{added: sent}
		l.servers[server] = r
	}
	if r.ended && sent <= r.endedAt {
		return
	}
	r.ended = false
	delete(l.ended, server)
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
	l.ended[server] = r
}

// gone forgets a server that the control leader no longer lists.
func (l *leases) gone(server string) {
	delete(l.servers, server)
	delete(l.ended, server)
}

// serverValid reports whether work may be sent to a server.
func (l *leases) serverValid(server string, now time.Duration) bool {
	r := l.servers[server]
	return r != nil && !r.ended && now < l.until(r)
}

// keepOnly forgets all servers but the listed ones.
func (l *leases) keepOnly(listed map[string]bool) {
	for name := range l.servers {
		if !listed[name] {
			l.gone(name)
		}
	}
}
