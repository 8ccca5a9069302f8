package consensus

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"marjoramtiller.example/marjoramtiller/connection/wirepb"
)

// raftLog holds the log entries after the base in memory. The base is the position
// directly before the first entry in memory. It is never after the latest snapshot.
type raftLog struct {
	baseIndex, baseTerm uint64
	entries             []*wirepb.RaftEntry
	stable              uint64 // index of the last synced entry
	commit              uint64
	applied             uint64 // index of the last entry that the caller has applied or that a received snapshot covers
	snapshot            *wirepb.RaftSnapshot
	// memberships lists the memberships in the log, oldest first. The last one
	// takes effect when it is appended, before it is committed.
	memberships []membership
}

type membership struct {
	index  uint64
	voters *wirepb.RaftVoters
}

func (l *raftLog) lastIndex() uint64 { return l.baseIndex + uint64(len(l.entries)) }

func (l *raftLog) lastTerm() uint64 {
	t, _ := l.term(l.lastIndex())
	return t
}

// term returns the term of the entry at index i. It returns false if the log has no
// record of that term.
func (l *raftLog) term(i uint64) (uint64, bool) {
	if i == l.baseIndex {
		return l.baseTerm, true
	}
	if l.snapshot != nil && i == l.snapshot.Index {
		return l.snapshot.Term, true
	}
	if i < l.baseIndex || i > l.lastIndex() {
		return 0, false
	}
	return l.entries[i-l.baseIndex-1].Term, true
}

func (l *raftLog) matches(i, term uint64) bool {
	t, ok := l.term(i)
	return ok && t == term
}

// slice returns the entries from index lo to index hi, both inclusive.
func (l *raftLog) slice(lo, hi uint64) []*wirepb.RaftEntry {
	if lo > hi {
		return nil
	}
	from, to := lo-l.baseIndex-1, hi-l.baseIndex
	return l.entries[from:to:to]
}

// entriesFrom returns the entries from index lo on, at most maxBytes in total. It
// returns at least one entry if there is one, even if that entry is larger.
func (l *raftLog) entriesFrom(lo uint64, maxBytes int) []*wirepb.RaftEntry {
	size := 0
	hi := lo - 1
	for hi < l.lastIndex() {
		size += entrySize(l.entries[hi-l.baseIndex])
		if size > maxBytes && hi >= lo {
			break
		}
		hi++
	}
	return l.slice(lo, hi)
}

func entrySize(e *wirepb.RaftEntry) int {
	const overhead = 24
	return len(e.Data) + overhead
}

// append adds entries at the end of the log. Their indexes must be consecutive and
// their terms must not decrease.
func (l *raftLog) append(entries ...*wirepb.RaftEntry) error {
	for _, e := range entries {
		if e.Index != l.lastIndex()+1 || e.Term < l.lastTerm() {
			return &InvariantError{InvariantLogMatching, fmt.Sprintf("entry %d of term %d does not follow entry %d of term %d", e.Index, e.Term, l.lastIndex(), l.lastTerm())}
		}
		if e.Type == wirepb.RaftEntry_TYPE_VOTERS {
			v := &wirepb.RaftVoters{}
			if err := proto.Unmarshal(e.Data, v); err != nil {
				return &InvariantError{InvariantLogMatching, fmt.Sprintf("voters entry %d can't be decoded: %v", e.Index, err)}
			}
			l.memberships = append(l.memberships, membership{e.Index, v})
		}
		l.entries = append(l.entries, e)
	}
	return nil
}

// truncate removes the entries from index i on. It returns an error if that would
// remove a committed entry.
func (l *raftLog) truncate(i uint64) error {
	if i <= l.commit {
		return &InvariantError{InvariantLogMatching, fmt.Sprintf("leader's append conflicts with committed entry %d (commit index %d)", i, l.commit)}
	}
	// Queued messages may share the array of entries. Limiting the capacity
	// makes the next append copy it instead of overwriting the removed entries.
	n := i - l.baseIndex - 1
	l.entries = l.entries[:n:n]
	l.stable = min(l.stable, i-1)
	for len(l.memberships) > 1 && l.memberships[len(l.memberships)-1].index >= i {
		l.memberships = l.memberships[:len(l.memberships)-1]
	}
	return nil
}

// merge appends a leader's entries that follow index prev, replacing entries that
// conflict with them. It returns the index of the last entry given, or prev if
// there is none.
func (l *raftLog) merge(prev uint64, entries []*wirepb.RaftEntry) (uint64, error) {
	for n, e := range entries {
		if e.Index != prev+1+uint64(n) {
			return 0, &InvariantError{InvariantLogMatching, fmt.Sprintf("append message has entry %d at position %d after previous index %d", e.Index, n, prev)}
		}
		if e.Index <= l.baseIndex || l.matches(e.Index, e.Term) {
			continue
		}
		if e.Index <= l.lastIndex() {
			if err := l.truncate(e.Index); err != nil {
				return 0, err
			}
		}
		if err := l.append(entries[n:]...); err != nil {
			return 0, err
		}
		break
	}
	return prev + uint64(len(entries)), nil
}

func (l *raftLog) commitTo(i uint64) error {
	if i < l.commit {
		return &InvariantError{InvariantCommitMonotone, fmt.Sprintf("commit index would decrease to %d from %d", i, l.commit)}
	}
	if i > l.lastIndex() {
		return &InvariantError{InvariantAckedKept, fmt.Sprintf("commit index %d is beyond the last entry %d", i, l.lastIndex())}
	}
	l.commit = i
	return nil
}

// lastWithTermAtMost returns the index and term of the last entry at or before
// index i whose term is at most term, or the base if there is none.
func (l *raftLog) lastWithTermAtMost(i, term uint64) (uint64, uint64) {
	i = min(i, l.lastIndex())
	for i > l.baseIndex {
		t, _ := l.term(i)
		if t <= term {
			return i, t
		}
		i--
	}
	return l.baseIndex, l.baseTerm
}

// reset replaces the whole log with a snapshot.
func (l *raftLog) reset(s *wirepb.RaftSnapshot) {
	l.baseIndex, l.baseTerm = s.Index, s.Term
	l.entries = nil
	l.stable, l.commit = s.Index, s.Index
	l.applied = s.Index
	l.snapshot = snapshotMetadata(s)
	l.memberships = []membership{{s.Index, s.Voters}}
}

// compact records a snapshot and drops the entries up to keepAfter, or up to the
// snapshot if that is earlier.
func (l *raftLog) compact(s *wirepb.RaftSnapshot, keepAfter uint64) {
	l.snapshot = snapshotMetadata(s)
	keepAfter = min(keepAfter, s.Index)
	if keepAfter <= l.baseIndex {
		return
	}
	term, _ := l.term(keepAfter)
	l.entries = append([]*wirepb.RaftEntry(nil), l.entries[keepAfter-l.baseIndex:]...)
	l.baseIndex, l.baseTerm = keepAfter, term
	for len(l.memberships) > 1 && l.memberships[1].index <= keepAfter {
		l.memberships = l.memberships[1:]
	}
}

func (l *raftLog) votersAt(i uint64) *wirepb.RaftVoters {
	v := l.memberships[0].voters
	for _, m := range l.memberships {
		if m.index <= i {
			v = m.voters
		}
	}
	return v
}

func snapshotMetadata(s *wirepb.RaftSnapshot) *wirepb.RaftSnapshot {
	return &wirepb.RaftSnapshot{Index: s.Index, Term: s.Term, Voters: s.Voters}
}
