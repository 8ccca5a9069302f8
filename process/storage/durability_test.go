package storage

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"marjoramtiller.example/marjoramtiller/connection/wirepb"
	"marjoramtiller.example/marjoramtiller/standin/disk"
)

// processFS is the file system of a process on a simulated disk.
type processFS struct{ *disk.Process }

func (p processFS) Append(name string) (File, error) { return p.Process.Append(name) }
func (p processFS) Create(name string) (File, error) { return p.Process.Create(name) }

// readState is what a process has read at its start.
type readState struct {
	*State
	incarnation uint64
}

func (s readState) equal(other readState) bool {
	return proto.Equal(s.HardState, other.HardState) && proto.Equal(s.Snapshot, other.Snapshot) &&
		equalEntries(s.Entries, other.Entries) && s.incarnation == other.incarnation
}

// String describes the state.
func (s readState) String() string {
	return fmt.Sprintf("hard state {%v}, snapshot at %d, %d entries, incarnation %x", s.HardState, s.Snapshot.GetIndex(), len(s.Entries), s.incarnation)
}

func openOn(p *disk.Process) (*Store, readState, error) {
	store, state, err := Open(Options{FS: processFS{p}, Dir: testDir, SegmentBytes: 300})
	if err != nil {
		return nil, readState{State: &State{}}, err
	}
	incarnation, err := store.Incarnation()
	return store, readState{state, incarnation}, err
}

// useStore opens a store and carries out every kind of change: it creates the folder, and
// appends, votes, and stores snapshots of its own and of a leader. It returns at the first error.
func useStore(p *disk.Process) error {
	store, _, err := openOn(p)
	if err != nil {
		return err
	}
	appendOne := func(index, term uint64, vote string) error {
		return store.Append(testEntries(index, index, term), &wirepb.RaftHardState{Term: term, Vote: vote, Commit: index - 1})
	}
	for i := uint64(1); i <= 12; i++ {
		if err := appendOne(i, 1, "a"); err != nil {
			return err
		}
	}
	if err := store.SaveSnapshot(&wirepb.RaftSnapshot{Index: 8, Term: 1, Data: []byte("eight")}); err != nil {
		return err
	}
	if err := store.Compact(8); err != nil {
		return err
	}
	if err := store.Append(nil, &wirepb.RaftHardState{Term: 2, Vote: "b", Commit: 12}); err != nil {
		return err
	}
	if err := store.InstallSnapshot(&wirepb.RaftSnapshot{Index: 20, Term: 2, Data: []byte("twenty")}); err != nil {
		return err
	}
	for i := uint64(21); i <= 24; i++ {
		if err := appendOne(i, 2, "b"); err != nil {
			return err
		}
	}
	return nil
}

// Guards against state that a process has read at its start, on which it votes and
// acknowledges entries, and that a loss of power takes away, alone or with the folders
// that it is in. The process before it ends at each of its changes of the disk, and so
// leaves changes that are not synced.
func TestWhatOpenReturnsSurvivesALossOfPower(t *testing.T) {
	const randomLosses = 4 // losses of power that keep a random part, for each end of the process
	for changes := 0; ; changes++ {
		for seed := range uint64(1 + randomLosses) {
			d := disk.New(seed)
			first := d.Start()
			first.EndAfter(changes)
			err := useStore(first)
			if err == nil {
				if changes < 100 {
					t.Fatalf("the process carries out only %d changes", changes)
				}
				return
			}
			if !errors.Is(err, disk.ErrProcessEnded) {
				t.Fatal(err)
			}
			second := d.Start()
			_, read, err := openOn(second)
			if err != nil {
				t.Errorf("after an end at change %d: %v", changes, err)
				break
			}
			second.End()
			if seed == 0 {
				d.LosePowerKeepingNothing()
			} else {
				d.LosePower()
			}
			_, after, err := openOn(d.Start())
			if err != nil || !after.equal(read) {
				t.Errorf("after an end at change %d, seed %d: read %v, after a loss of power %v (%v)", changes, seed, read, after, err)
				break
			}
		}
	}
}

// Guards against acknowledged entries that a loss of power takes away although they were
// synced: what they depend on, such as the manifest that lists their segment, was
// replaced by the process before and is not durable.
func TestAppendAfterAnInterruptedChangeSurvivesALossOfPower(t *testing.T) {
	for changes := 0; ; changes++ {
		d := disk.New(uint64(changes))
		first := d.Start()
		first.EndAfter(changes)
		if useStore(first) == nil {
			return
		}
		second := d.Start()
		store, read, err := openOn(second)
		if err != nil {
			t.Errorf("after an end at change %d: %v", changes, err)
			continue
		}
		last := read.Snapshot.GetIndex() + uint64(len(read.Entries))
		added := testEntries(last+1, last+2, 3)
		is.New(t).NoErr(store.Append(added, &wirepb.RaftHardState{Term: 3, Vote: "c"}))
		second.End()
		d.LosePowerKeepingNothing()
		_, after, err := openOn(d.Start())
		if err != nil || !equalEntries(after.Entries, append(read.Entries, added...)) || after.HardState.GetVote() != "c" {
			t.Errorf("after an end at change %d: read %v, after two further entries and a loss of power %v (%v)", changes, read, after, err)
		}
	}
}

// Guards against a record whose sync failed: the process stops, and the next one can read
// the record and sync the file without an error although the record is not on the disk.
func TestRecordWhoseSyncFailedIsDurableAfterARestart(t *testing.T) {
	is := is.New(t)
	d := disk.New(1)
	first := d.Start()
	store, _, err := openOn(first)
	is.NoErr(err)
	is.NoErr(store.Append(testEntries(1, 2, 1), &wirepb.RaftHardState{Term: 1, Vote: "a"}))
	first.FailNextSync()
	var failed *SyncError
	is.True(errors.As(store.Append(testEntries(3, 3, 2), &wirepb.RaftHardState{Term: 2, Vote: "b"}), &failed))
	first.End()

	second := d.Start()
	store, read, err := openOn(second)
	is.NoErr(err)
	is.NoErr(store.Append(testEntries(uint64(len(read.Entries))+1, 4, 3), nil))
	second.End()
	d.LosePowerKeepingNothing()
	_, after, err := openOn(d.Start())
	is.NoErr(err)
	is.True(equalEntries(after.Entries[:len(read.Entries)], read.Entries))
	is.Equal(len(after.Entries), 4)
}

// parentDeniedFS is a file system on which one folder may not be opened.
type parentDeniedFS struct {
	OS
	denied string
}

func (f parentDeniedFS) SyncDir(dir string) error {
	if dir == f.denied {
		return &fs.PathError{Op: "open", Path: dir, Err: fs.ErrPermission}
	}
	return f.OS.SyncDir(dir)
}

// Guards against a process that does not start because it may not read the folder above its
// data folder, which somebody else has created.
func TestFolderIsUsedThoughItsParentMayNotBeOpened(t *testing.T) {
	is := is.New(t)
	parent := t.TempDir()
	dir := filepath.Join(parent, "data")
	is.NoErr(os.Mkdir(dir, 0o700))
	is.NoErr(CreateFolder(parentDeniedFS{denied: parent}, dir))
}
