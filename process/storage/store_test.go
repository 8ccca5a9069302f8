package storage

import (
	"bytes"
	"errors"
	"io/fs"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"marjoramtiller.example/marjoramtiller/connection/wirepb"
	"marjoramtiller.example/marjoramtiller/standin/randomtest"
)

const testDir = "/data/g"

func testEntries(from, to, term uint64) []*wirepb.RaftEntry {
	var list []*wirepb.RaftEntry
	for i := from; i <= to; i++ {
		list = append(list, &wirepb.RaftEntry{Index: i, Term: term, Data: bytes.Repeat([]byte{byte(i)}, 50)})
	}
	return list
}

func open(t *testing.T, fsys *memFS) (*Store, *State) {
	t.Helper()
	store, state, err := Open(Options{FS: fsys, Dir: testDir, SegmentBytes: 300})
	if err != nil {
		t.Fatal(err)
	}
	return store, state
}

// fill appends entries 1 to n, each as a record of its own.
func fill(t *testing.T, store *Store, n uint64) {
	t.Helper()
	for i := uint64(1); i <= n; i++ {
		if err := store.Append(testEntries(i, i, 1), &wirepb.RaftHardState{Term: 1, Vote: "a", Commit: i - 1}); err != nil {
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

// Guards against state that is lost at a restart, and against replaced entries that
// are present again after it.
func TestReopenReturnsAppendedState(t *testing.T) {
	is := is.New(t)
	fsys := newMemFS()
	store, state := open(t, fsys)
	is.True(state.HardState == nil) // an empty disk has no hard state
	fill(t, store, 20)
	is.NoErr(store.Append(testEntries(20, 22, 2), &wirepb.RaftHardState{Term: 2, Vote: "b", Commit: 19}))
	fsys.crash(0)
	_, state = open(t, fsys)
	is.True(equalEntries(state.Entries, append(testEntries(1, 19, 1), testEntries(20, 22, 2)...)))
	is.True(proto.Equal(state.HardState, &wirepb.RaftHardState{Term: 2, Vote: "b", Commit: 19}))
	is.True(len(fsys.segments()) > 3)
}

// Guards against a restart that fails after a crash during a write, for each number
// of bytes of the record that may have reached the disk.
func TestTornTailIsRepaired(t *testing.T) {
	is := is.New(t)
	for keep := range 140 {
		fsys := newMemFS()
		store, _ := open(t, fsys)
		fill(t, store, 3)
		last := fsys.files[fsys.segments()[len(fsys.segments())-1]]
		record, err := (&batch{entries: testEntries(4, 5, 1)}).appendRecord(nil)
		is.NoErr(err)
		last.data = append(last.data, record...)
		fsys.crash(min(keep, len(record)-1))
		store, state := open(t, fsys)
		is.True(equalEntries(state.Entries, testEntries(1, 3, 1)))
		is.Equal(state.TruncatedBytes > 0, keep > 0)
		is.NoErr(store.Append(testEntries(4, 4, 2), nil))
		_, state = open(t, fsys)
		is.Equal(len(state.Entries), 4)
	}
}

// Guards against corrupt data that Open silently discards. The test flips each bit
// before the last record, one at a time.
func TestFlippedBitBeforeTheTailFailsOpen(t *testing.T) {
	fsys := newMemFS()
	store, _ := open(t, fsys)
	fill(t, store, 9)
	segments := fsys.segments()
	for _, name := range segments {
		limit := len(fsys.files[name].data)
		if name == segments[len(segments)-1] {
			record, _ := (&batch{entries: testEntries(9, 9, 1), hardState: &wirepb.RaftHardState{Term: 1, Vote: "a", Commit: 8}}).appendRecord(nil)
			limit -= len(record)
		}
		for bit := range limit * 8 {
			fsys.files[name].data[bit/8] ^= 1 << (bit % 8)
			_, _, err := Open(Options{FS: fsys, Dir: testDir})
			var corrupt *CorruptError
			if !errors.As(err, &corrupt) || !strings.Contains(err.Error(), "learner") {
				t.Fatalf("%s bit %d: %v", name, bit, err)
			}
			fsys.files[name].data[bit/8] ^= 1 << (bit % 8)
		}
	}
}

// Guards against opening a log that lacks a segment or the manifest.
func TestMissingFileFailsOpen(t *testing.T) {
	fsys := newMemFS()
	store, _ := open(t, fsys)
	fill(t, store, 20)
	for _, name := range append(fsys.segments(), testDir+"/"+manifestName) {
		f := fsys.files[name]
		delete(fsys.files, name)
		_, _, err := Open(Options{FS: fsys, Dir: testDir})
		var missing *MissingSegmentError
		if !errors.As(err, &missing) {
			t.Fatalf("%s: %v", name, err)
		}
		fsys.files[name] = f
	}
}

// Guards against writes that continue after a failed sync: a later sync would
// succeed although the earlier data may not be on the disk.
func TestFailedSyncStopsTheStore(t *testing.T) {
	is := is.New(t)
	fsys := newMemFS()
	store, _ := open(t, fsys)
	fill(t, store, 2)
	fsys.failSync = true
	err := store.Append(testEntries(3, 3, 1), nil)
	var failed *SyncError
	is.True(errors.As(err, &failed))
	syncs := fsys.syncs
	is.True(errors.As(store.Append(testEntries(3, 3, 1), nil), &failed))
	is.True(errors.As(store.SaveSnapshot(&wirepb.RaftSnapshot{Index: 1, Term: 1}), &failed))
	is.Equal(fsys.syncs, syncs) // nothing is synced after the failure
}

// Guards against a full disk that corrupts stored data or makes writes fail after
// space has been freed, for each number of free bytes.
func TestFullDiskKeepsDataAndRecovers(t *testing.T) {
	is := is.New(t)
	for space := range 160 {
		fsys := newMemFS()
		store, _ := open(t, fsys)
		fill(t, store, 5)
		fsys.spaceBytes = space
		var stored uint64 = 5
		var full *DiskFullError
		for {
			err := store.Append(testEntries(stored+1, stored+1, 1), nil)
			if err != nil {
				is.True(errors.As(err, &full))
				break
			}
			stored++
		}
		fsys.spaceBytes = -1
		is.NoErr(store.Append(testEntries(stored+1, stored+1, 1), nil))
		fsys.crash(0)
		_, state := open(t, fsys)
		is.True(equalEntries(state.Entries, testEntries(1, stored+1, 1)))
	}
}

// Guards against compaction that removes entries after the snapshot, and against an
// installed snapshot of the leader that does not discard old entries. A corrupt
// snapshot must be reported.
func TestCompactAndInstallSnapshotKeepTheRightEntries(t *testing.T) {
	is := is.New(t)
	fsys := newMemFS()
	store, _ := open(t, fsys)
	fill(t, store, 20)
	before := len(fsys.segments())
	snap := &wirepb.RaftSnapshot{Index: 15, Term: 1, Data: []byte("state")}
	is.NoErr(store.SaveSnapshot(snap))
	is.NoErr(store.Compact(15))
	is.True(len(fsys.segments()) < before)
	store, state := open(t, fsys)
	is.True(proto.Equal(state.Snapshot, snap))
	is.True(equalEntries(state.Entries, testEntries(16, 20, 1)))

	is.NoErr(store.InstallSnapshot(&wirepb.RaftSnapshot{Index: 18, Term: 3}))
	is.NoErr(store.Append(testEntries(19, 21, 3), nil))
	_, state = open(t, fsys)
	is.True(equalEntries(state.Entries, testEntries(19, 21, 3)))
	name := testDir + "/" + snapshotName
	fsys.files[name].data[10] ^= 1
	_, _, err := Open(Options{FS: fsys, Dir: testDir})
	var corrupt *CorruptError
	is.True(errors.As(err, &corrupt))
}

// Guards against a gap in the log after a crash between the storing of a leader's
// snapshot and the reset of the log. A later start would report the gap as a missing
// segment.
func TestCrashBetweenSnapshotAndResetLeavesNoGap(t *testing.T) {
	is := is.New(t)
	fsys := newMemFS()
	store, _ := open(t, fsys)
	fill(t, store, 5)
	is.NoErr(store.SaveSnapshot(&wirepb.RaftSnapshot{Index: 30, Term: 2}))
	store, state := open(t, fsys)
	is.Equal(len(state.Entries), 0)
	is.NoErr(store.Append(testEntries(31, 32, 2), nil))
	_, state = open(t, fsys)
	is.True(equalEntries(state.Entries, testEntries(31, 32, 2)))
}

// Guards against a vote that is lost with the segment that holds it: Open resets the log
// after a crash between the storing of a leader's snapshot and the reset, and does so in a
// new segment if the last one is full.
func TestResetAtAStartKeepsTheHardState(t *testing.T) {
	is := is.New(t)
	fsys := newMemFS()
	store, _ := open(t, fsys)
	voted := &wirepb.RaftHardState{Term: 2, Vote: "b"}
	is.NoErr(store.Append(testEntries(1, 6, 1), voted)) // more than a segment's size
	is.NoErr(store.SaveSnapshot(&wirepb.RaftSnapshot{Index: 30, Term: 2}))
	store, _ = open(t, fsys)
	is.NoErr(store.Compact(30))
	is.Equal(len(fsys.segments()), 1)
	_, state := open(t, fsys)
	is.True(proto.Equal(state.HardState, voted))
}

// Guards against large batches that exceed the maximum size of a record.
func TestLargeBatchIsSplit(t *testing.T) {
	is := is.New(t)
	fsys := newMemFS()
	store, _ := open(t, fsys)
	var list []*wirepb.RaftEntry
	for i := range uint64(5) {
		list = append(list, &wirepb.RaftEntry{Index: i + 1, Term: 1, Data: make([]byte, MaxEntryBytes)})
	}
	is.NoErr(store.Append(list, &wirepb.RaftHardState{Term: 1, Commit: 4}))
	_, state := open(t, fsys)
	is.Equal(len(state.Entries), 5)
	is.Equal(state.HardState.Commit, uint64(4))
}

// Guards against a record that makes the decoder panic or allocate unbounded
// memory, and against a decoded batch that cannot be encoded and decoded again.
func FuzzDecodeRecord(f *testing.F) {
	record, err := (&batch{
		reset:     &wirepb.RaftSnapshot{Index: 3, Term: 1},
		entries:   testEntries(4, 6, 2),
		hardState: &wirepb.RaftHardState{Term: 2, Vote: "a", Commit: 3},
	}).appendRecord(nil)
	if err != nil {
		f.Fatal(err)
	}
	randomtest.Add(f, record)
	randomtest.Add(f, record[:len(record)-1])
	randomtest.Add(f, []byte{0, 0, 0, 0, 0, 0, 0, 0})
	f.Fuzz(func(t *testing.T, data []byte) {
		b, n, err := decodeRecord(data)
		if err != nil {
			return
		}
		if n > len(data) || n > headerBytes+MaxRecordBytes {
			t.Fatalf("decoded a record of %d bytes from %d bytes", n, len(data))
		}
		again, err := b.appendRecord(nil)
		if err != nil {
			t.Fatal(err)
		}
		if _, _, err := decodeRecord(again); err != nil {
			t.Fatalf("the decoded batch cannot be decoded after encoding it again: %v", err)
		}
	})
}

// Guards against a replica that stops for good because its process had no file
// descriptor left when a log segment was full: nothing was synced, so the append can be
// repeated.
func TestLackOfDescriptorsIsRetried(t *testing.T) {
	is := is.New(t)
	fsys := newMemFS()
	store, _ := open(t, fsys)
	fill(t, store, 1)
	var err error
	last := uint64(1)
	for err == nil && last < 20 {
		last++
		fsys.syncDirErr = &fs.PathError{Op: "open", Path: testDir, Err: syscall.EMFILE}
		err = store.Append(testEntries(last, last, 1), nil)
	}
	var descriptors *DescriptorsError
	is.True(errors.As(err, &descriptors))
	is.True(Retryable(err))
	fsys.syncDirErr = nil
	is.NoErr(store.Append(testEntries(last, last, 1), nil))
	_, state := open(t, fsys)
	is.True(equalEntries(state.Entries, testEntries(1, last, 1)))
}

// Guards against a log whose size is not known or that keeps segments which a snapshot, its
// own or its leader's, has made useless.
func TestUsageFollowsCompactionAndInstalledSnapshots(t *testing.T) {
	is := is.New(t)
	fsys := newMemFS()
	store, _ := open(t, fsys)
	logFiles := func() (total int64) {
		for _, name := range fsys.segments() {
			total += int64(len(fsys.files[name].data))
		}
		return total
	}
	fill(t, store, 20)
	is.Equal(store.Usage(), Usage{LogBytes: logFiles()})
	before := logFiles()
	is.NoErr(store.SaveSnapshot(&wirepb.RaftSnapshot{Index: 20, Term: 1, Data: []byte("state")}))
	is.NoErr(store.Compact(20))
	is.Equal(store.Usage().LogBytes, logFiles())
	is.True(logFiles() < before/4)
	is.Equal(store.Usage().SnapshotBytes, int64(len(fsys.files[testDir+"/snapshot"].data)))
	is.NoErr(store.Append(testEntries(21, 40, 1), nil)) // one record, much larger than a segment
	is.NoErr(store.InstallSnapshot(&wirepb.RaftSnapshot{Index: 60, Term: 2}))
	is.Equal(len(fsys.segments()), 1)
	is.Equal(store.Usage().LogBytes, logFiles())
	usage := store.Usage()
	fsys.crash(0)
	store, state := open(t, fsys)
	is.Equal(store.Usage(), usage)
	is.Equal(state.HardState.Term, uint64(1)) // the vote is kept
	is.Equal(len(state.Entries), 0)
}

// Guards against an open segment that keeps its space after a snapshot because one record
// has made it many times as large as it is meant to be.
func TestCompactRemovesALargeOpenSegment(t *testing.T) {
	is := is.New(t)
	store, _ := open(t, newMemFS())
	is.NoErr(store.Append(testEntries(1, 20, 1), &wirepb.RaftHardState{Term: 1, Vote: "a"}))
	is.NoErr(store.SaveSnapshot(&wirepb.RaftSnapshot{Index: 20, Term: 1}))
	is.NoErr(store.Compact(20))
	is.True(store.Usage().LogBytes < 100)
}

// Guards against a replica that stands still while its snapshot is renamed and the folder
// synced: it asks for the space in use in each of its steps.
func TestUsageDoesNotWaitForASnapshotBeingStored(t *testing.T) {
	is := is.New(t)
	fsys := newMemFS()
	store, _ := open(t, fsys)
	fill(t, store, 20)
	used, unanswered := store.Usage(), 0
	fsys.before = func() {
		answer := make(chan Usage, 1)
		go func() { answer <- store.Usage() }()
		select {
		case u := <-answer:
			is.Equal(u, used)
		case <-time.After(time.Second): // the lock's holder goes on, so that the test ends
			unanswered++
		}
	}
	is.NoErr(store.SaveSnapshot(&wirepb.RaftSnapshot{Index: 20, Term: 1, Data: []byte("state")}))
	fsys.before = nil
	is.Equal(unanswered, 0)
	is.True(store.Usage().SnapshotBytes > 0)
}
