package storage

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"marjoramtiller.example/marjoramtiller/connection/wirepb"
)

const testDir = "/data/g"

func testEntries(from, to, term uint64) []*wirepb.RaftEntry {
	var list []*wirepb.RaftEntry
	for i := from; i <= to; i++ {
		list = append(list, &wirepb.RaftEntry{Index: i, Term: term, Data: bytes.Repeat([]byte{byte(i)}, 50)})
	}
	return list
}

func open(t *testing.T, m *memFS) (*Store, *State) {
	t.Helper()
	s, st, err := Open(Options{FS: m, Dir: testDir, SegmentBytes: 300})
	if err != nil {
		t.Fatal(err)
	}
	return s, st
}

// fill writes entries 1 to n, one record each.
func fill(t *testing.T, s *Store, n uint64) {
	t.Helper()
	for i := uint64(1); i <= n; i++ {
		if err := s.Append(testEntries(i, i, 1), &wirepb.RaftHardState{Term: 1, Vote: "a", Commit: i - 1}); err != nil {
			t.Fatal(err)
		}
	}
}

func equalEntries(a, b []*wirepb.RaftEntry) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if !proto.Equal(a[i], b[i]) {
			return false
		}
	}
	return true
}

// Guards against state that a restart loses or brings back after replacement.
func TestReopenReturnsWhatWasAppended(t *testing.T) {
	is := is.New(t)
	m := newMemFS()
	s, st := open(t, m)
	is.True(st.HardState == nil) // an empty disk is recognisable
	fill(t, s, 20)
	is.NoErr(s.Append(testEntries(20, 22, 2), &wirepb.RaftHardState{Term: 2, Vote: "b", Commit: 19}))
	m.crash(0)
	_, st = open(t, m)
	is.True(equalEntries(st.Entries, append(testEntries(1, 19, 1), testEntries(20, 22, 2)...)))
	is.True(proto.Equal(st.HardState, &wirepb.RaftHardState{Term: 2, Vote: "b", Commit: 19}))
	is.True(len(m.segments()) > 3)
}

// Guards against a crash during a write that prevents the restart, at each
// possible length of the written part.
func TestTornTailIsRepaired(t *testing.T) {
	is := is.New(t)
	for keep := range 140 {
		m := newMemFS()
		s, _ := open(t, m)
		fill(t, s, 3)
		last := m.files[m.segments()[len(m.segments())-1]]
		record, err := (&batch{entries: testEntries(4, 5, 1)}).encode(nil)
		is.NoErr(err)
		last.data = append(last.data, record...)
		m.crash(min(keep, len(record)-1))
		s, st := open(t, m)
		is.True(equalEntries(st.Entries, testEntries(1, 3, 1)))
		is.Equal(st.TruncatedBytes > 0, keep > 0)
		is.NoErr(s.Append(testEntries(4, 4, 2), nil))
		_, st = open(t, m)
		is.Equal(len(st.Entries), 4)
	}
}

// Guards against damaged data that is silently dropped: each bit before the last
// record is flipped in turn.
func TestFlippedBitBeforeTheTailStopsTheStart(t *testing.T) {
	m := newMemFS()
	s, _ := open(t, m)
	fill(t, s, 9)
	segments := m.segments()
	for _, name := range segments {
		limit := len(m.files[name].data)
		if name == segments[len(segments)-1] {
			record, _ := (&batch{entries: testEntries(9, 9, 1), hardState: &wirepb.RaftHardState{Term: 1, Vote: "a", Commit: 8}}).encode(nil)
			limit -= len(record)
		}
		for bit := range limit * 8 {
			m.files[name].data[bit/8] ^= 1 << (bit % 8)
			_, _, err := Open(Options{FS: m, Dir: testDir})
			var corrupt *CorruptError
			if !errors.As(err, &corrupt) || !strings.Contains(err.Error(), "learner") {
				t.Fatalf("%s bit %d: %v", name, bit, err)
			}
			m.files[name].data[bit/8] ^= 1 << (bit % 8)
		}
	}
}

// Guards against a log with a hole, or without its manifest.
func TestMissingFileStopsTheStart(t *testing.T) {
	m := newMemFS()
	s, _ := open(t, m)
	fill(t, s, 20)
	for _, name := range append(m.segments(), testDir+"/"+manifestName) {
		f := m.files[name]
		delete(m.files, name)
		_, _, err := Open(Options{FS: m, Dir: testDir})
		var missing *MissingSegmentError
		if !errors.As(err, &missing) {
			t.Fatalf("%s: %v", name, err)
		}
		m.files[name] = f
	}
}

// Guards against a later sync that hides an earlier failed one.
func TestFailedSyncStopsTheStore(t *testing.T) {
	is := is.New(t)
	m := newMemFS()
	s, _ := open(t, m)
	fill(t, s, 2)
	m.failSync = true
	err := s.Append(testEntries(3, 3, 1), nil)
	var failed *SyncError
	is.True(errors.As(err, &failed))
	syncs := m.syncs
	is.True(errors.As(s.Append(testEntries(3, 3, 1), nil), &failed))
	is.True(errors.As(s.SaveSnapshot(&wirepb.RaftSnapshot{Index: 1, Term: 1}), &failed))
	is.Equal(m.syncs, syncs) // nothing is synced after the failure
}

// Guards against a full disk that damages stored data or is never left again,
// at each possible number of free bytes.
func TestFullDiskKeepsDataAndRecovers(t *testing.T) {
	is := is.New(t)
	for space := range 160 {
		m := newMemFS()
		s, _ := open(t, m)
		fill(t, s, 5)
		m.spaceBytes = space
		var stored uint64 = 5
		var full *DiskFullError
		for {
			err := s.Append(testEntries(stored+1, stored+1, 1), nil)
			if err != nil {
				is.True(errors.As(err, &full))
				break
			}
			stored++
		}
		m.spaceBytes = -1
		is.NoErr(s.Append(testEntries(stored+1, stored+1, 1), nil))
		m.crash(0)
		_, st := open(t, m)
		is.True(equalEntries(st.Entries, testEntries(1, stored+1, 1)))
	}
}

// Guards against compaction that removes entries after the snapshot, and a
// snapshot of the leader that leaves old entries behind.
func TestSnapshotCompactAndReset(t *testing.T) {
	is := is.New(t)
	m := newMemFS()
	s, _ := open(t, m)
	fill(t, s, 20)
	before := len(m.segments())
	snap := &wirepb.RaftSnapshot{Index: 15, Term: 1, Data: []byte("state")}
	is.NoErr(s.SaveSnapshot(snap))
	is.NoErr(s.Compact(15))
	is.True(len(m.segments()) < before)
	s, st := open(t, m)
	is.True(proto.Equal(st.Snapshot, snap))
	is.True(equalEntries(st.Entries, testEntries(16, 20, 1)))

	is.NoErr(s.InstallSnapshot(&wirepb.RaftSnapshot{Index: 18, Term: 3}))
	is.NoErr(s.Append(testEntries(19, 21, 3), nil))
	_, st = open(t, m)
	is.True(equalEntries(st.Entries, testEntries(19, 21, 3)))
	name := testDir + "/" + snapshotName
	m.files[name].data[10] ^= 1
	_, _, err := Open(Options{FS: m, Dir: testDir})
	var corrupt *CorruptError
	is.True(errors.As(err, &corrupt))
}

// Guards against a crash between the snapshot of a leader and the reset of the
// log, which would leave a gap that a later start takes for a missing segment.
func TestCrashBetweenSnapshotAndReset(t *testing.T) {
	is := is.New(t)
	m := newMemFS()
	s, _ := open(t, m)
	fill(t, s, 5)
	is.NoErr(s.SaveSnapshot(&wirepb.RaftSnapshot{Index: 30, Term: 2}))
	s, st := open(t, m)
	is.Equal(len(st.Entries), 0)
	is.NoErr(s.Append(testEntries(31, 32, 2), nil))
	_, st = open(t, m)
	is.True(equalEntries(st.Entries, testEntries(31, 32, 2)))
}

// Guards against large batches that exceed the bound of a record.
func TestLargeBatchIsSplit(t *testing.T) {
	is := is.New(t)
	m := newMemFS()
	s, _ := open(t, m)
	var list []*wirepb.RaftEntry
	for i := range uint64(5) {
		list = append(list, &wirepb.RaftEntry{Index: i + 1, Term: 1, Data: make([]byte, MaxEntryBytes)})
	}
	is.NoErr(s.Append(list, &wirepb.RaftHardState{Term: 1, Commit: 4}))
	_, st := open(t, m)
	is.Equal(len(st.Entries), 5)
	is.Equal(st.HardState.Commit, uint64(4))
}

// Guards against a record that makes the decoder panic, reserve memory without
// bound or accept what it would not write.
func FuzzDecodeRecord(f *testing.F) {
	record, err := (&batch{
		reset:     &wirepb.RaftSnapshot{Index: 3, Term: 1},
		entries:   testEntries(4, 6, 2),
		hardState: &wirepb.RaftHardState{Term: 2, Vote: "a", Commit: 3},
	}).encode(nil)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(record)
	f.Add(record[:len(record)-1])
	f.Add([]byte{0, 0, 0, 0, 0, 0, 0, 0})
	f.Fuzz(func(t *testing.T, data []byte) {
		b, n, err := decode(data)
		if err != nil {
			return
		}
		if n > len(data) || n > headerBytes+MaxRecordBytes {
			t.Fatalf("record of %d bytes in %d", n, len(data))
		}
		again, err := b.encode(nil)
		if err != nil {
			t.Fatal(err)
		}
		if _, _, err := decode(again); err != nil {
			t.Fatalf("an encoded record can't be decoded: %v", err)
		}
	})
}
