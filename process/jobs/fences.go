package jobs

import (
	"maps"
	"time"
)

// fenceRecord holds what a session must know of the orders of this process's earlier ones,
// which may be carried out late. A term may have several sessions of one process.
type fenceRecord struct {
	term    uint64
	session uint64 // number of the session in its term, from 1
	// next is the lowest fence that may be used, by worker id. A list under a session's
	// fence proves something about the orders of earlier sessions only if the fence is
	// higher than all that these have used.
	next map[string]uint64
	// foreignLeases is the time until which another process under a worker's id may hold
	// leases of orders that were not meant for it, by worker id.
	foreignLeases map[string]time.Duration
	// knowsLeases reports that no other process has led since this one did: foreignLeases
	// then holds what any leader knew.
	knowsLeases bool
}

// continueFences returns the record of a new session in a term. Fences of an earlier term
// are lower than all of this one and are forgotten. Leases do not end with their term.
func continueFences(earlier *fenceRecord, term uint64) *fenceRecord {
	if earlier == nil {
		return &fenceRecord{term: term, session: 1, next: map[string]uint64{}, foreignLeases: map[string]time.Duration{}}
	}
	f := &fenceRecord{term: term, session: 1, next: map[string]uint64{}, foreignLeases: earlier.foreignLeases, knowsLeases: term-earlier.term <= 1}
	if earlier.term == term {
		f.session, f.next = earlier.session+1, earlier.next
	}
	return f
}

// use records that a fence may be in an order to a worker.
func (f *fenceRecord) use(worker string, fence uint64) {
	f.next[worker] = max(f.next[worker], fence+1)
}

// endFences returns the record of a session that has ended, for the next one.
func (s *session) endFences() *fenceRecord {
	now := s.now()
	maps.DeleteFunc(s.fences.foreignLeases, func(_ string, until time.Duration) bool { return until <= now })
	for id, w := range s.workers {
		s.fences.use(id, w.track.Fence())
		if until := w.track.ForeignLeasesUntil(); until > now {
			s.fences.foreignLeases[id] = until
		}
	}
	return s.fences
}
