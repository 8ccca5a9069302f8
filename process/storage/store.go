package storage

import (
	"errors"
	"fmt"
	"path/filepath"
	"sync"
	"sync/atomic"

	"google.golang.org/protobuf/proto"

	"marjoramtiller.example/marjoramtiller/connection/wirepb"
)

// Options are the parameters of a Store.
type Options struct {
	FS  FS // OS{} if nil
	Dir string
	// SegmentBytes is the size at which a new segment is begun, 1 MiB if 0.
	SegmentBytes int64
}

const defaultSegmentBytes = 1 << 20

// State is the durable state that Open found.
type State struct {
	HardState *wirepb.RaftHardState // nil on an empty disk
	Snapshot  *wirepb.RaftSnapshot  // nil if there is none
	Entries   []*wirepb.RaftEntry
	// TruncatedBytes is the size of the torn tail that was removed.
	TruncatedBytes int64
}

// Store is an open folder. Only SaveSnapshot may run concurrently with the other
// methods, once at a time and not with Close. After an error
// other than DiskFullError and TooLargeError every call fails with that error.
type Store struct {
	fs           FS
	dir          string
	segmentBytes int64
	segments     []segment // the last one is open
	file         File
	size         int64 // intact bytes of the open segment
	dirty        bool  // a failed write may have left bytes after size
	hardState    *wirepb.RaftHardState
	err          atomic.Pointer[error]

	snapshotMu    sync.Mutex // held while the snapshot file is replaced
	snapshotIndex uint64     // index of the stored snapshot
}

type segment struct {
	number    uint64
	lastIndex uint64 // highest index of an entry in it
}

func segmentName(number uint64) string { return fmt.Sprintf("log-%016x", number) }

const (
	snapshotName = "snapshot"
	manifestName = "manifest"
	tmpSuffix    = ".tmp"
)

func (s *Store) path(name string) string { return filepath.Join(s.dir, name) }

// Open reads a folder, repairs a torn tail and returns the store and its state.
func Open(o Options) (*Store, *State, error) {
	if o.FS == nil {
		o.FS = OS{}
	}
	if o.SegmentBytes == 0 {
		o.SegmentBytes = defaultSegmentBytes
	}
	s := &Store{fs: o.FS, dir: o.Dir, segmentBytes: o.SegmentBytes}
	if err := s.fs.MkdirAll(o.Dir); err != nil {
		return nil, nil, fmt.Errorf("storage: create %s: %w", o.Dir, err)
	}
	if err := s.fs.SyncDir(filepath.Dir(o.Dir)); err != nil {
		return nil, nil, &SyncError{File: filepath.Dir(o.Dir), Err: err}
	}
	st, err := s.load()
	if err != nil {
		return nil, nil, err
	}
	s.hardState = st.HardState
	s.snapshotIndex = st.Snapshot.GetIndex()
	return s, st, nil
}

// Append stores entries and a hard state, if any, and syncs them. An entry
// replaces all stored ones with the same or a higher index.
func (s *Store) Append(entries []*wirepb.RaftEntry, hs *wirepb.RaftHardState) error {
	for _, part := range split(entries) {
		if err := s.write(&batch{entries: part}, len(part) == len(entries), hs); err != nil {
			return err
		}
		if len(part) == len(entries) {
			return nil
		}
	}
	if hs == nil {
		return nil
	}
	return s.write(&batch{}, true, hs)
}

// write appends one record; it includes the hard state if last is set.
func (s *Store) write(b *batch, last bool, hs *wirepb.RaftHardState) error {
	if err := s.stopped(); err != nil {
		return err
	}
	if last {
		b.hardState = hs
	}
	data, err := b.encode(nil)
	if err != nil {
		return err
	}
	if s.size >= s.segmentBytes {
		if err := s.rotate(); err != nil {
			return err
		}
	}
	if err := s.writeRecord(data); err != nil {
		return err
	}
	current := &s.segments[len(s.segments)-1]
	for _, e := range b.entries {
		current.lastIndex = max(current.lastIndex, e.Index)
	}
	if b.hardState != nil {
		s.hardState = b.hardState
	}
	return nil
}

func (s *Store) writeRecord(data []byte) error {
	name := s.path(segmentName(s.segments[len(s.segments)-1].number))
	if err := s.repair(name); err != nil {
		return err
	}
	if _, err := s.file.Write(data); err != nil {
		s.dirty = true
		if repairErr := s.repair(name); repairErr != nil {
			return repairErr
		}
		return &DiskFullError{File: name, Err: err}
	}
	if err := s.file.Sync(); err != nil {
		return s.stop(&SyncError{File: name, Err: err})
	}
	s.size += int64(len(data))
	return nil
}

// repair removes the bytes of a failed write, so that the next record follows
// the last intact one.
func (s *Store) repair(name string) error {
	if !s.dirty {
		return nil
	}
	if err := s.file.Truncate(s.size); err != nil {
		return s.stop(&SyncError{File: name, Err: err})
	}
	s.dirty = false
	return nil
}

func (s *Store) stop(err error) error {
	s.err.CompareAndSwap(nil, &err)
	return err
}

// stopped returns the error that ended the use of the store, nil before it.
func (s *Store) stopped() error {
	if err := s.err.Load(); err != nil {
		return *err
	}
	return nil
}

// split divides entries into batches that fit a record.
func split(entries []*wirepb.RaftEntry) [][]*wirepb.RaftEntry {
	const target = MaxRecordBytes / 2
	var parts [][]*wirepb.RaftEntry
	start, size := 0, 0
	for i, e := range entries {
		n := proto.Size(e) + binaryOverhead
		if size+n > target && i > start {
			parts = append(parts, entries[start:i])
			start, size = i, 0
		}
		size += n
	}
	if start < len(entries) {
		parts = append(parts, entries[start:])
	}
	return parts
}

const binaryOverhead = 11 // item kind and the longest varint

// Compact removes the segments whose entries all are at or below index.
func (s *Store) Compact(index uint64) error {
	if err := s.stopped(); err != nil {
		return err
	}
	n := 0
	for n < len(s.segments)-1 && s.segments[n].lastIndex <= index {
		n++
	}
	if n == 0 {
		return nil
	}
	old := s.segments[:n]
	kept := s.segments[n:]
	if err := s.writeManifest(kept[0].number, kept[len(kept)-1].number); err != nil {
		return err
	}
	s.segments = append([]segment(nil), kept...)
	for _, seg := range old {
		if err := s.fs.Remove(s.path(segmentName(seg.number))); err != nil {
			return fmt.Errorf("storage: remove old segment: %w", err)
		}
	}
	return nil
}

// Close closes the open segment. Everything acknowledged is synced already.
func (s *Store) Close() error {
	_ = s.stop(errors.New("storage: closed"))
	return s.file.Close()
}
