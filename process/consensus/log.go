package consensus

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"marjoramtiller.example/marjoramtiller/connection/wirepb"
)

// raftLog holds the entries after the base in memory. The base is the position
// before the first entry; it is at or below the latest snapshot.
type raftLog struct {
	baseIndex, baseTerm uint64
	entries             []*wirepb.RaftEntry
	stable              uint64 // last index that is synced
	commit              uint64
	handed              uint64 // last index handed out as committed
	snapshot            *wirepb.RaftSnapshot
	// memberships lists the voter sets in the log, oldest first. The last one
	// is in force from the moment it is appended.
	memberships []membership
}

type membership struct {
	index  uint64
	voters *wirepb.RaftVoters
}

func (l *raftLog) last() uint64 { return l.baseIndex + uint64(len(l.entries)) }

func (l *raftLog) lastTerm() uint64 {
	t, _ := l.term(l.last())
	return t
}

// term returns the term of the entry at index i, and false when it is unknown.
func (l *raftLog) term(i uint64) (uint64, bool) {
	if i == l.baseIndex {
		return l.baseTerm, true
	}
	if l.snapshot != nil && i == l.snapshot.Index {
		return l.snapshot.Term, true
	}
	if i < l.baseIndex || i > l.last() {
		return 0, false
	}
	return l.entries[i-l.baseIndex-1].Term, true
}

func (l *raftLog) matches(i, term uint64) bool {
	t, ok := l.term(i)
	return ok && t == term
}

// slice returns the entries lo..hi, both inclusive.
func (l *raftLog) slice(lo, hi uint64) []*wirepb.RaftEntry {
	if lo > hi {
		return nil
	}
	from, to := lo-l.baseIndex-1, hi-l.baseIndex
	return l.entries[from:to:to]
}

// limited returns entries from lo up to about maxBytes, at least one if any.
func (l *raftLog) limited(lo uint64, maxBytes int) []*wirepb.RaftEntry {
	size := 0
	hi := lo - 1
	for hi < l.last() {
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

// append adds entries after the last one.
func (l *raftLog) append(entries ...*wirepb.RaftEntry) error {
	for _, e := range entries {
		if e.Index != l.last()+1 || e.Term < l.lastTerm() {
			return &InvariantError{InvariantLogMatching, fmt.Sprintf("entry %d of term %d does not follow entry %d of term %d", e.Index, e.Term, l.last(), l.lastTerm())}
		}
		if e.Type == wirepb.RaftEntry_TYPE_VOTERS {
			v := &wirepb.RaftVoters{}
			if err := proto.Unmarshal(e.Data, v); err != nil {
				return &InvariantError{InvariantLogMatching, fmt.Sprintf("voters entry %d: %v", e.Index, err)}
			}
			l.memberships = append(l.memberships, membership{e.Index, v})
		}
		l.entries = append(l.entries, e)
	}
	return nil
}

// truncate removes the entries from index i on. A committed entry stays.
func (l *raftLog) truncate(i uint64) error {
	if i <= l.commit {
		return &InvariantError{InvariantLogMatching, fmt.Sprintf("leader replaces committed entry %d (commit %d)", i, l.commit)}
	}
	// The removed slots may be shared with messages, so the tail is copied on
	// the next append.
	n := i - l.baseIndex - 1
	l.entries = l.entries[:n:n]
	l.stable = min(l.stable, i-1)
	for len(l.memberships) > 1 && l.memberships[len(l.memberships)-1].index >= i {
		l.memberships = l.memberships[:len(l.memberships)-1]
	}
	return nil
}

// merge adds a leader's entries, replacing those that conflict, and returns the
// index of the last one.
func (l *raftLog) merge(prev uint64, entries []*wirepb.RaftEntry) (uint64, error) {
	for n, e := range entries {
		if e.Index != prev+1+uint64(n) {
			return 0, &InvariantError{InvariantLogMatching, fmt.Sprintf("append holds entry %d at position %d after %d", e.Index, n, prev)}
		}
		if e.Index <= l.baseIndex || l.matches(e.Index, e.Term) {
			continue
		}
		if e.Index <= l.last() {
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
		return &InvariantError{InvariantCommitMonotone, fmt.Sprintf("commit %d after %d", i, l.commit)}
	}
	if i > l.last() {
		return &InvariantError{InvariantAckedKept, fmt.Sprintf("commit %d is beyond the last entry %d", i, l.last())}
	}
	l.commit = i
	return nil
}

// hint returns the last position at or before i whose term is at most term.
func (l *raftLog) hint(i, term uint64) (uint64, uint64) {
	i = min(i, l.last())
	for i > l.baseIndex {
		t, _ := l.term(i)
		if t <= term {
			return i, t
		}
		i--
	}
	return l.baseIndex, l.baseTerm
}

// reset replaces the whole log by a snapshot.
func (l *raftLog) reset(s *wirepb.RaftSnapshot) {
	l.baseIndex, l.baseTerm = s.Index, s.Term
	l.entries = nil
	l.stable, l.commit = s.Index, s.Index
	l.handed = s.Index
	l.snapshot = meta(s)
	l.memberships = []membership{{s.Index, s.Voters}}
}

// compact records a snapshot and drops the entries up to keepAfter.
func (l *raftLog) compact(s *wirepb.RaftSnapshot, keepAfter uint64) {
	l.snapshot = meta(s)
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

func meta(s *wirepb.RaftSnapshot) *wirepb.RaftSnapshot {
	return &wirepb.RaftSnapshot{Index: s.Index, Term: s.Term, Voters: s.Voters}
}
