package jobs

// fenceRecord holds the lowest fence that may be used for each worker. A term may have
// several sessions of one process, and orders of an earlier one may be carried out late:
// a list under a session's fence proves something about them only if the fence is higher
// than all that the earlier sessions have used.
type fenceRecord struct {
	term    uint64
	session uint64            // number of the session in its term, from 1
	next    map[string]uint64 // by worker id
}

// continueFences returns the record of a new session in a term. Fences of an earlier term
// are lower than all of this one and are forgotten.
func continueFences(earlier *fenceRecord, term uint64) *fenceRecord {
	if earlier == nil || earlier.term != term {
		return &fenceRecord{term: term, session: 1, next: map[string]uint64{}}
	}
	return &fenceRecord{term: term, session: earlier.session + 1, next: earlier.next}
}

// use records that a fence may be in an order to a worker.
func (f *fenceRecord) use(worker string, fence uint64) {
	f.next[worker] = max(f.next[worker], fence+1)
}

// endFences returns the fences of a session that has ended, for the next one.
func (s *session) endFences() *fenceRecord {
	for id, w := range s.workers {
		s.fences.use(id, w.track.Fence())
	}
	return s.fences
}
