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

// term is the soft state of one term of the fleet group's leader. It is lost
// with the leadership and rebuilt by the next leader from what entries and
// backend servers report. Guarded by Server.mu.
type term struct {
	number uint64
	// holders are the entries that may hold shares of an earlier leader until oldOver.
	holders []string
	oldOver time.Duration
	lease   *lease.Leader
	slots   *slots.Allocator
	live    liveSet
	counts  *requestTotals
	jobs    *reconcile.Jobs
	uses    map[lease.SessionID]serverUses
	// usable are the backend servers that may take work in version usableAt of the
	// fleet. The live set is of version liveAt and stands until liveUntil.
	usable    map[string]*fleetpb.BackendServer
	usableAt  uint64
	liveAt    uint64
	liveUntil time.Duration
	planned   plannedAt
}

// liveSet numbers the changes of the set of live backend servers, so that an
// answer to a sync carries only what changed.
type liveSet struct {
	term   uint64
	count  uint64
	added  map[string]uint64 // live server to the change that added it
	gone   []removal         // oldest first, bounded
	oldest uint64            // changes up to this one may be missing from gone
}

type removal struct {
	server string
	number uint64
}

// maxRemovals bounds the remembered removals; an entry that is further behind
// gets the full list.
const maxRemovals = 4096

// numberBits leaves 2^40 changes a term; the term fills the higher bits, so
// numbers of an earlier leader are never taken for this one's.
const numberBits = 40

func newLiveSet(term uint64) liveSet {
	return liveSet{term: term, added: make(map[string]uint64)}
}

func (l *liveSet) number() uint64 { return l.term<<numberBits | l.count }

// update takes the set that is live now and reports whether it changed.
func (l *liveSet) update(now map[string]bool) bool {
	before := l.count
	for name := range l.added {
		if !now[name] {
			l.count++
			delete(l.added, name)
			l.gone = append(l.gone, removal{name, l.count})
		}
	}
	for name := range now {
		if _, ok := l.added[name]; !ok {
			l.count++
			l.added[name] = l.count
		}
	}
	if extra := len(l.gone) - maxRemovals; extra > 0 {
		l.oldest = l.gone[extra-1].number
		l.gone = append([]removal(nil), l.gone[extra:]...)
	}
	return l.count != before
}

// since returns what changed after the acknowledged number, or the full set.
func (l *liveSet) since(acked uint64) (added, gone []string, full bool) {
	count := acked & (1<<numberBits - 1)
	full = acked>>numberBits != l.term || acked == 0 || count < l.oldest || count > l.count
	for name, n := range l.added {
		if full || n > count {
			added = append(added, name)
		}
	}
	sort.Strings(added)
	if full {
		return added, nil, true
	}
	for _, r := range l.gone {
		if r.number <= count {
			continue
		}
		if _, again := l.added[r.server]; !again {
			gone = append(gone, r.server)
		}
	}
	return added, gone, false
}

func leads(r *replica.Replica) bool {
	return r.Status().Role == consensus.Leader
}

// leading returns this process's current term as the confirmed leader of the
// fleet group: a quorum has just agreed, and every acknowledged command is
// applied. It fails with replica.NotLeaderError elsewhere.
func (s *Server) leading(ctx context.Context) (*term, error) {
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

// startTerm builds the soft state of a new term. Every entry and every
// registered backend server gets a full lease, since an earlier leader may have
// granted one just before.
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
	holders := s.o.Entries
	if len(registered) == 0 {
		holders = nil // no backend server was registered, so no share can be held
	}
	s.term = &term{
		number:  number,
		holders: holders,
		oldOver: now + lease.ConfigLease,
		lease:   lease.NewLeader(now, s.o.Entries, registered),
		slots:   slots.New(number, holders),
		live:    newLiveSet(number),
		counts:  newRequestTotals(now, number > firstTerm),
		jobs:    reconcile.NewJobs(plan.DefaultJobSettings()),
		uses:    make(map[lease.SessionID]serverUses),
	}
	s.log.Info().Uint64("term", number).Msg("leads the fleet group")
	return s.term
}

// refreshServers brings the set of live backend servers and the slots to share
// in line with the leases and the fleet. A server counts as live while its lease
// is valid, it is not leaving and its host is active. Without a change of the
// fleet nothing is done before a lease can have ended.
func (s *Server) refreshServers(t *term) {
	s.viewFleet(func(f *fleet.Fleet) { s.loadUsable(t, f) })
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	if t.liveAt == t.usableAt && now < t.liveUntil {
		return
	}
	t.liveAt, t.liveUntil = t.usableAt, now+lease.ServerLease
	live := make(map[string]bool, len(t.usable))
	for name, left := range t.lease.Live(now) {
		if t.usable[name] != nil {
			live[name] = true
			t.liveUntil = min(t.liveUntil, now+left)
		}
	}
	changed := t.live.update(live)
	if !changed && !t.sharesDiffer(live) {
		return
	}
	for _, known := range t.slots.Servers() {
		if !live[known.Name] {
			t.slots.RemoveServer(known.Name)
		}
	}
	for name := range live {
		t.slots.SetServer(sharedServer(t.usable[name]))
	}
	t.slots.Rebalance()
	s.wakeLocked()
}

// loadUsable lists the backend servers that may take work, unless the fleet is as
// it was at the last call.
func (s *Server) loadUsable(t *term, f *fleet.Fleet) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t.usable != nil && t.usableAt == f.Version() {
		return
	}
	t.usable, t.usableAt = make(map[string]*fleetpb.BackendServer, len(t.usable)), f.Version()
	for b := range f.Servers() {
		if !b.GetLeaving() && f.Host(b.GetHost()).GetState() == fleetpb.HostState_HOST_STATE_ACTIVE {
			t.usable[b.GetName()] = b
		}
	}
}

func sharedServer(b *fleetpb.BackendServer) slots.Server {
	return slots.Server{Name: b.GetName(), Service: b.GetService(), Slots: b.GetSlots(), Connections: b.GetConnections()}
}

// sharesDiffer reports whether a live server's slots differ from those shared.
func (t *term) sharesDiffer(live map[string]bool) bool {
	if t.slots.Len() != len(live) {
		return true
	}
	for name := range live {
		if known, ok := t.slots.Known(name); !ok || known != sharedServer(t.usable[name]) {
			return true
		}
	}
	return false
}
