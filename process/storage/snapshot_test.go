package storage

import (
	"testing"

	"github.com/matryer/is"

	"marjoramtiller.example/marjoramtiller/connection/wirepb"
)

// Guards against a crash while a snapshot is stored and the log goes on, or
// while the log before it is removed, that leaves a folder which does not start
// or lacks a synced entry.
func TestCrashWhileASnapshotIsStored(t *testing.T) {
	is := is.New(t)
	m := newMemFS()
	s, _ := open(t, m)
	fill(t, s, 20)
	last, inside := uint64(20), false
	var disks []*memFS
	var synced []uint64
	m.before = func() {
		for _, keep := range []int{0, 5} {
			disks = append(disks, m.copy(keep))
			synced = append(synced, last)
		}
		if inside {
			return
		}
		inside = true
		is.NoErr(s.Append(testEntries(last+1, last+1, 1), nil))
		last++
		inside = false
	}
	is.NoErr(s.SaveSnapshot(&wirepb.RaftSnapshot{Index: 15, Term: 1, Data: []byte("state")}))
	inside = true
	is.NoErr(s.Compact(15))
	is.True(len(disks) > 20)
	for i, disk := range disks {
		_, st, err := Open(Options{FS: disk, Dir: testDir, SegmentBytes: s.segmentBytes})
		is.NoErr(err)
		base := st.Snapshot.GetIndex()
		is.True(base == 0 || base == 15)
		is.True(base+uint64(len(st.Entries)) >= synced[i]) // every synced entry is there
		is.True(len(st.Entries) == 0 || st.Entries[0].Index == base+1)
	}
}

// Guards against an older snapshot of this replica that replaces a newer one of
// the leader, after which the log would begin beyond the snapshot.
func TestOvertakenSnapshotIsDropped(t *testing.T) {
	is := is.New(t)
	m := newMemFS()
	s, _ := open(t, m)
	fill(t, s, 5)
	is.NoErr(s.InstallSnapshot(&wirepb.RaftSnapshot{Index: 30, Term: 2}))
	is.NoErr(s.SaveSnapshot(&wirepb.RaftSnapshot{Index: 4, Term: 1}))
	_, st := open(t, m)
	is.Equal(st.Snapshot.Index, uint64(30))
}
