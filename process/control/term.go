package control

import (
	"context"
	"sort"
	"time"

	"marjoramtiller.example/marjoramtiller/connection/lease"
	"marjoramtiller.example/marjoramtiller/connection/slots"
	"marjoramtiller.example/marjoramtiller/process/consensus"
	"marjoramtiller.example/marjoramtiller/process/replica"
	"marjoramtiller.example/marjoramtiller/version/fleet"
	"marjoramtiller.example/marjoramtiller/version/fleetpb"
	"marjoramtiller.example/marjoramtiller/version/plan"
	"marjoramtiller.example/marjoramtiller/version/reconcile"
)

// term is the in-memory state of one term of the fleet group's leader. It is not
// replicated: the next leader rebuilds it from the reports of entries and backend
// servers. Server.mu guards it.
type term struct {
	number uint64
	// inheritedEntries are the entries that may hold shares granted by an earlier
	// leader. All leases granted by it have expired at inheritedLeaseEnd.
	inheritedEntries  []string
	inheritedLeaseEnd time.Duration
	lease             *lease.Leader
	slots             *slots.Allocator
	live              liveSet
	counts            *requestTotals
	jobs              *reconcile.Jobs
	uses              map[lease.SessionID]serverUses
	// usable contains the backend servers that may receive work according to version
	// usableVersion of the fleet. The live set was computed from version liveVersion
	// and is valid until liveUntil, when the first lease in it can expire.
	usable        map[string]*fleetpb.BackendServer
	usableVersion uint64
	liveVersion   uint64
	liveUntil     time.Duration
	lastPlan      planRecord
}

// liveSet is the set of live backend servers. It numbers its changes, so that the
// response to a sync contains only the changes since the last acknowledged one.
type liveSet struct {
	term          uint64
	changeCount   uint64
	added         map[string]uint64 // by live server: number of the change that added it
	removed       []removal         // oldest first, bounded
	lastDiscarded uint64            // changes up to this number may be missing from removed
}

type removal struct {
	server string
	number uint64
}

// maxRemovals is the most removals that are kept. An entry that has not acknowledged an
// older one receives the full set.
const maxRemovals = 4096

// changeCountBits is the number of low bits of a change number that hold the count of
// changes in the term, which allows 2^40 changes. The higher bits hold the term, so that
// a number from an earlier leader is not mistaken for one of this leader.
const changeCountBits = 40

func newLiveSet(term uint64) liveSet {
	return liveSet{term: term, added: make(map[string]uint64)}
}

func (l *liveSet) number() uint64 { return l.term<<changeCountBits | l.changeCount }

// update replaces the set and reports whether it has changed.
func (l *liveSet) update(now map[string]bool) bool {
	before := l.changeCount
	for name := range l.added {
		if !now[name] {
			l.changeCount++
			delete(l.added, name)
			l.removed = append(l.removed, removal{name, l.changeCount})
		}
	}
	for name := range now {
		if _, ok := l.added[name]; !ok {
			l.changeCount++
			l.added[name] = l.changeCount
		}
	}
	if extra := len(l.removed) - maxRemovals; extra > 0 {
		l.lastDiscarded = l.removed[extra-1].number
		l.removed = append([]removal(nil), l.removed[extra:]...)
	}
	return l.changeCount != before
}

// since returns the servers added and removed after the acknowledged change number. If
// those changes are not all known, it returns the full set in added and full = true.
func (l *liveSet) since(acked uint64) (added, removed []string, full bool) {
	count := acked & (1<<changeCountBits - 1)
	full = acked>>changeCountBits != l.term || acked == 0 || count < l.lastDiscarded || count > l.changeCount
	for name, n := range l.added {
		if full || n > count {
			added = append(added, name)
		}
	}
	sort.Strings(added)
	if full {
		return added, nil, true
	}
	for _, r := range l.removed {
		if r.number <= count {
			continue
		}
		if _, live := l.added[r.server]; !live {
			removed = append(removed, r.server)
		}
	}
	return added, removed, false
}

func isLeader(r *replica.Replica) bool {
	return r.Status().Role == consensus.Leader
}

// leaderTerm returns the state of the current term after a quorum has confirmed that this
// process leads the fleet group and every acknowledged command is applied here. It
// returns *replica.NotLeaderError if this process is not the leader.
func (s *Server) leaderTerm(ctx context.Context) (*term, error) {
	ctx, cancel := context.WithTimeout(ctx, barrierTimeout)
	defer cancel()
	if err := s.fleet.ReadBarrier(ctx); err != nil {
		return nil, err
	}
	st := s.fleet.Status()
	if st.Role != consensus.Leader {
		return nil, &replica.NotLeaderError{Leader: st.Leader}
	}
	if t := s.currentTerm(st.Term); t != nil {
		return t, nil
	}
	return s.startTerm(st.Term), nil
}

func (s *Server) currentTerm(number uint64) *term {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.term != nil && s.term.number == number {
		return s.term
	}
	return nil
}

// startTerm creates the in-memory state of a new term. Every entry and every registered
// backend server starts with a full lease, since an earlier leader may have granted one
// just before.
func (s *Server) startTerm(number uint64) *term {
	var registered []lease.RegisteredServer
	s.viewFleet(func(f *fleet.Fleet) {
		for b := range f.Servers() {
			registered = append(registered, lease.RegisteredServer{Name: b.GetName(), BootID: b.GetBootId()})
		}
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.term != nil && s.term.number >= number {
		return s.term
	}
	now := s.clock.Now()
	inherited := s.options.Entries
	if len(registered) == 0 {
		inherited = nil // no backend server is registered, so no entry can hold a share
	}
	s.term = &term{
		number:            number,
		inheritedEntries:  inherited,
		inheritedLeaseEnd: now + lease.ConfigLease,
		lease:             lease.NewLeader(now, s.options.Entries, registered),
		slots:             slots.New(number, inherited),
		live:              newLiveSet(number),
		counts:            newRequestTotals(now, number > firstTerm),
		jobs:              reconcile.NewJobs(plan.DefaultJobSettings()),
		uses:              make(map[lease.SessionID]serverUses),
	}
	s.log.Info().Uint64("term", number).Msg("this process now leads the fleet group")
	return s.term
}

// refreshServers updates the set of live backend servers and the slot allocator from the
// leases and the fleet. A server is live while its lease is valid, it is not leaving and
// its host is active. If the fleet has not changed, the update is skipped until a lease
// can have expired.
func (s *Server) refreshServers(t *term) {
	s.viewFleet(func(f *fleet.Fleet) { s.loadUsable(t, f) })
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	if t.liveVersion == t.usableVersion && now < t.liveUntil {
		return
	}
	t.liveVersion, t.liveUntil = t.usableVersion, now+lease.ServerLease
	live := make(map[string]bool, len(t.usable))
	for name, remaining := range t.lease.LiveServers(now) {
		if t.usable[name] != nil {
			live[name] = true
			t.liveUntil = min(t.liveUntil, now+remaining)
		}
	}
	changed := t.live.update(live)
	if !changed && !t.slotsChanged(live) {
		return
	}
	for _, server := range t.slots.Servers() {
		if !live[server.Name] {
			t.slots.RemoveServer(server.Name)
		}
	}
	for name := range live {
		t.slots.SetServer(allocatorServer(t.usable[name]))
	}
	t.slots.Rebalance()
	s.notifySyncsLocked()
}

// loadUsable lists the backend servers that may receive work. It does nothing if the
// fleet has not changed since the last call.
func (s *Server) loadUsable(t *term, f *fleet.Fleet) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t.usable != nil && t.usableVersion == f.Version() {
		return
	}
	t.usable, t.usableVersion = make(map[string]*fleetpb.BackendServer, len(t.usable)), f.Version()
	for b := range f.Servers() {
		if !b.GetLeaving() && f.Host(b.GetHost()).GetState() == fleetpb.HostState_HOST_STATE_ACTIVE {
			t.usable[b.GetName()] = b
		}
	}
}

func allocatorServer(b *fleetpb.BackendServer) slots.Server {
	return slots.Server{Name: b.GetName(), Service: b.GetService(), Slots: b.GetSlots(), Connections: b.GetConnections()}
}

// slotsChanged reports whether the live servers or their slots differ from those in the
// slot allocator.
func (t *term) slotsChanged(live map[string]bool) bool {
	if t.slots.ServerCount() != len(live) {
		return true
	}
	for name := range live {
		if server, ok := t.slots.LookupServer(name); !ok || server != allocatorServer(t.usable[name]) {
			return true
		}
	}
	return false
}
