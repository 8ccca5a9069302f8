package storage

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io/fs"
	"math"
	"math/rand/v2"
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
	// SegmentBytes is the size at which a new segment is created, DefaultSegmentBytes if 0.
	SegmentBytes int64
}

// DefaultSegmentBytes is the default of Options.SegmentBytes.
const DefaultSegmentBytes = 1 << 20

// State is the durable state that Open has read.
type State struct {
	HardState *wirepb.RaftHardState // nil on an empty disk
	Snapshot  *wirepb.RaftSnapshot  // nil if there is none
	Entries   []*wirepb.RaftEntry
	// TruncatedBytes is the size of the torn tail that was removed.
	TruncatedBytes int64
}

// Store gives access to the state in one folder. Its methods must not be called
// concurrently, with one exception: one call of SaveSnapshot may run while methods
// other than Close are called. After a SyncError, Append, SaveSnapshot,
// InstallSnapshot and Compact fail with that error.
type Store struct {
	fs           FS
	dir          string
	segmentBytes int64
	segments     []segment // the last one is open
	file         File
	size         int64 // intact bytes of the open segment
	dirty        bool  // a failed write may have left bytes beyond size
	hardState    *wirepb.RaftHardState
	err          atomic.Pointer[error]

	snapshotMu    sync.Mutex   // held while the snapshot file is replaced and its folder synced; guards snapshotIndex
	snapshotIndex uint64       // index of the stored snapshot
	snapshotBytes atomic.Int64 // size of its file; read without snapshotMu, which is held for as long as a sync takes
}

type segment struct {
	number    uint64
	lastIndex uint64 // highest index of its entries
	bytes     int64  // size of its file; not maintained for the open segment, see Store.size
}

// Usage is the disk space that a Store's log and snapshot take.
type Usage struct {
	LogBytes      int64 // all segments
	SnapshotBytes int64 // the stored snapshot, without one that is being written
}

// Usage returns the disk space in use. It doesn't wait for a snapshot that is being stored.
func (s *Store) Usage() Usage {
	u := Usage{LogBytes: s.size, SnapshotBytes: s.snapshotBytes.Load()}
	for _, seg := range s.segments[:len(s.segments)-1] {
		u.LogBytes += seg.bytes
	}
	return u
}

func segmentName(number uint64) string { return fmt.Sprintf("log-%016x", number) }

const (
	snapshotName     = "snapshot"
	manifestName     = "manifest"
	incarnationName  = "incarnation"
	incarnationBytes = 8
	tmpSuffix        = ".tmp"
)

func (s *Store) path(name string) string { return filepath.Join(s.dir, name) }

// Open reads a folder, truncates a torn tail of the log and returns the store and its
// state. The state is durable: a process that was killed may have left records and
// renames that are not synced and that a loss of power would take away, so Open syncs
// the folder and the last record. Everything else is synced before it is renamed or
// followed by another record.
func Open(options Options) (*Store, *State, error) {
	if options.FS == nil {
		options.FS = OS{}
	}
	if options.SegmentBytes == 0 {
		options.SegmentBytes = DefaultSegmentBytes
	}
	s := &Store{fs: options.FS, dir: options.Dir, segmentBytes: options.SegmentBytes}
	if err := CreateFolder(s.fs, s.dir); err != nil {
		return nil, nil, err
	}
	if err := s.fs.SyncDir(s.dir); err != nil {
		return nil, nil, syncDirError(s.dir, err)
	}
	state, err := s.load()
	if err != nil {
		return nil, nil, err
	}
	if state.Snapshot != nil {
		s.snapshotIndex = state.Snapshot.Index
		s.snapshotBytes.Store(int64(headerBytes + proto.Size(state.Snapshot)))
	}
	return s, state, nil
}

// Incarnation returns the incarnation id of this folder. The first call generates
// and stores it, before the replica sends any message. A folder that was lost and
// created again has another id.
func (s *Store) Incarnation() (uint64, error) {
	data, err := s.readChecksummed(incarnationName)
	if errors.Is(err, fs.ErrNotExist) {
		data = binary.LittleEndian.AppendUint64(nil, 1+rand.Uint64N(math.MaxUint64))
		err = s.replaceFile(incarnationName, data)
	}
	if err != nil {
		return 0, err
	}
	if len(data) != incarnationBytes {
		return 0, &CorruptError{File: s.path(incarnationName), Detail: errMalformed.Error()}
	}
	return binary.LittleEndian.Uint64(data), nil
}

// Append stores entries and a hard state, if any, and syncs them. An entry
// replaces all stored entries with the same or a higher index.
func (s *Store) Append(entries []*wirepb.RaftEntry, hs *wirepb.RaftHardState) error {
	for _, part := range splitEntries(entries) {
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

// write appends the batch as one record and syncs it. The record includes the hard
// state if last is set.
func (s *Store) write(b *batch, last bool, hs *wirepb.RaftHardState) error {
	if err := s.stopError(); err != nil {
		return err
	}
	if last {
		b.hardState = hs
	}
	data, err := b.appendRecord(nil)
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

// repair truncates the bytes of a failed write, so that the next record follows
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

// stop makes every later write fail with err, unless an earlier error already does,
// and returns err.
func (s *Store) stop(err error) error {
	s.err.CompareAndSwap(nil, &err)
	return err
}

// stopError returns the error that stopped the store, or nil if it has not stopped.
func (s *Store) stopError() error {
	if err := s.err.Load(); err != nil {
		return *err
	}
	return nil
}

// splitEntries splits entries into batches that each fit into a record.
func splitEntries(entries []*wirepb.RaftEntry) [][]*wirepb.RaftEntry {
	const target = MaxRecordBytes / 2
	var parts [][]*wirepb.RaftEntry
	start, size := 0, 0
	for i, e := range entries {
		n := proto.Size(e) + itemOverheadBytes
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

const itemOverheadBytes = 11 // item kind and the longest varint

// Compact removes the oldest segments whose entries all have index or a lower
// index. The open segment is kept unless it is full: one record can make it many times
// as large as a segment is meant to be.
func (s *Store) Compact(index uint64) error {
	if err := s.stopError(); err != nil {
		return err
	}
	if s.size >= s.segmentBytes {
		if err := s.rotate(); err != nil {
			return err
		}
	}
	n := 0
	for n < len(s.segments)-1 && s.segments[n].lastIndex <= index {
		n++
	}
	return s.removeOldestSegments(n)
}

// removeOldestSegments removes the first n segments.
func (s *Store) removeOldestSegments(n int) error {
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

// Close closes the open segment. It does not sync, since every write was synced
// before it was acknowledged.
func (s *Store) Close() error {
	_ = s.stop(errors.New("storage: the store is closed"))
	return s.file.Close()
}
