package storage

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io/fs"
	"strings"

	"marjoramtiller.example/marjoramtiller/connection/wirepb"
)

// replaceFile atomically replaces a file by one with data and its CRC.
func (s *Store) replaceFile(name string, data []byte) error {
	tmp := name + tmpSuffix
	if err := s.writeTempFile(tmp, data); err != nil {
		return s.stopOnSyncError(err)
	}
	return s.stopOnSyncError(s.commitTempFile(tmp, name))
}

// writeTempFile writes data with its CRC to a file and syncs it. It does not use
// the fields that other methods change and may run while they are called.
func (s *Store) writeTempFile(name string, data []byte) error {
	tmp := s.path(name)
	f, err := s.fs.Create(tmp)
	if err != nil {
		return writeError(tmp, err)
	}
	header := binary.LittleEndian.AppendUint32(nil, uint32(len(data)))
	header = binary.LittleEndian.AppendUint32(header, checksum(header, data))
	_, err = f.Write(header)
	if err == nil {
		_, err = f.Write(data)
	}
	if err != nil {
		_ = f.Close()
		_ = s.fs.Remove(tmp)
		return writeError(tmp, err)
	}
	syncErr := f.Sync()
	closeErr := f.Close()
	if err := errors.Join(syncErr, closeErr); err != nil {
		return &SyncError{File: tmp, Err: err}
	}
	return nil
}

// commitTempFile renames the synced file tmp to name and syncs the folder, so that
// the replacement is durable.
func (s *Store) commitTempFile(tmp, name string) error {
	if err := s.fs.Rename(s.path(tmp), s.path(name)); err != nil {
		return &SyncError{File: s.path(tmp), Err: err}
	}
	if err := s.fs.SyncDir(s.dir); err != nil {
		return syncDirError(s.dir, err)
	}
	return nil
}

func (s *Store) readChecksummed(name string) ([]byte, error) {
	data, err := s.fs.ReadFile(s.path(name))
	if err != nil {
		return nil, err
	}
	if len(data) < headerBytes || int(binary.LittleEndian.Uint32(data)) != len(data)-headerBytes ||
		checksum(data[:4], data[headerBytes:]) != binary.LittleEndian.Uint32(data[4:]) {
		return nil, &CorruptError{File: s.path(name), Detail: errCRC.Error()}
	}
	return data[headerBytes:], nil
}

// manifestBytes is the size of the manifest, which holds the numbers of the first
// and the last segment. A segment with a higher number is left by a crash during
// the creation of a segment, one with a lower number by a crash during compaction.
const manifestBytes = 16

func (s *Store) writeManifest(first, last uint64) error {
	data := binary.LittleEndian.AppendUint64(nil, first)
	return s.replaceFile(manifestName, binary.LittleEndian.AppendUint64(data, last))
}

// rotate creates a new segment and makes it the open one. Its first record repeats
// the hard state, so that older segments can be removed. The manifest is updated
// before any other record is written to the segment.
func (s *Store) rotate() error {
	next := s.segments[len(s.segments)-1].number + 1
	file, size, err := s.createSegment(next)
	if err != nil {
		return err
	}
	if err := s.writeManifest(s.segments[0].number, next); err != nil {
		_ = file.Close()
		return err
	}
	_ = s.file.Close()
	s.segments[len(s.segments)-1].bytes = s.size
	s.file, s.size, s.dirty = file, size, false
	s.segments = append(s.segments, segment{number: next})
	return nil
}

func (s *Store) createSegment(number uint64) (File, int64, error) {
	name := s.path(segmentName(number))
	file, err := s.fs.Create(name)
	if err != nil {
		return nil, 0, writeError(name, err)
	}
	var data []byte
	if s.hardState != nil {
		data, err = (&batch{hardState: s.hardState}).appendRecord(nil)
		if err != nil {
			_ = file.Close()
			return nil, 0, err
		}
		if _, err := file.Write(data); err != nil {
			_ = file.Close()
			_ = s.fs.Remove(name)
			return nil, 0, writeError(name, err)
		}
	}
	if err := file.Sync(); err != nil {
		_ = file.Close()
		return nil, 0, s.stop(&SyncError{File: name, Err: err})
	}
	if err := s.fs.SyncDir(s.dir); err != nil {
		_ = file.Close()
		return nil, 0, s.stopOnSyncError(syncDirError(s.dir, err))
	}
	return file, int64(len(data)), nil
}

func (s *Store) load() (*State, error) {
	state := &State{}
	snap, err := s.Snapshot()
	if err != nil {
		return nil, err
	}
	state.Snapshot = snap
	first, last, err := s.readManifest()
	if err != nil {
		return nil, err
	}
	if last == 0 {
		return state, s.createFirstSegment(snap)
	}
	if err := s.removeStaleFiles(first, last); err != nil {
		return nil, err
	}
	for n := first; n <= last; n++ {
		if err := s.loadSegment(state, n, n == last); err != nil {
			return nil, err
		}
	}
	s.hardState = state.HardState
	return state, s.alignLogWithSnapshot(state)
}

// createFirstSegment creates the first segment of an empty folder. A folder without
// a manifest that has a snapshot or a log segment with data is not empty but has
// lost its manifest, which is an error.
func (s *Store) createFirstSegment(snap *wirepb.RaftSnapshot) error {
	names, err := s.fs.List(s.dir)
	if err != nil {
		return fmt.Errorf("storage: list %s: %w", s.dir, err)
	}
	for _, name := range names {
		data, err := s.fs.ReadFile(s.path(name))
		if err != nil {
			return fmt.Errorf("storage: read %s: %w", name, err)
		}
		if strings.HasPrefix(name, "log-") && len(data) > 0 || snap != nil {
			return &MissingSegmentError{File: s.path(manifestName)}
		}
	}
	file, size, err := s.createSegment(1)
	if err != nil {
		return err
	}
	s.file, s.size = file, size
	s.segments = []segment{{number: 1}}
	return s.writeManifest(1, 1)
}

func (s *Store) readManifest() (first, last uint64, err error) {
	data, err := s.readChecksummed(manifestName)
	if errors.Is(err, fs.ErrNotExist) {
		return 0, 0, nil
	}
	if err != nil {
		return 0, 0, err
	}
	if len(data) != manifestBytes {
		return 0, 0, &CorruptError{File: s.path(manifestName), Detail: errMalformed.Error()}
	}
	return binary.LittleEndian.Uint64(data), binary.LittleEndian.Uint64(data[8:]), nil
}

// removeStaleFiles removes temporary files and the segments outside of first to last,
// which a crash has left. It reports a segment between them that is missing.
func (s *Store) removeStaleFiles(first, last uint64) error {
	names, err := s.fs.List(s.dir)
	if err != nil {
		return fmt.Errorf("storage: list %s: %w", s.dir, err)
	}
	present := map[string]bool{}
	for _, name := range names {
		present[name] = true
		stale := strings.HasSuffix(name, tmpSuffix)
		if strings.HasPrefix(name, "log-") {
			stale = name < segmentName(first) || name > segmentName(last)
		}
		if !stale {
			continue
		}
		if err := s.fs.Remove(s.path(name)); err != nil {
			return fmt.Errorf("storage: remove %s: %w", name, err)
		}
	}
	for n := first; n <= last; n++ {
		if !present[segmentName(n)] {
			return &MissingSegmentError{File: s.path(segmentName(n))}
		}
	}
	return nil
}

// loadSegment reads a segment and applies its records to the state. Only the last
// segment may have a torn tail.
func (s *Store) loadSegment(state *State, number uint64, last bool) error {
	name := s.path(segmentName(number))
	data, err := s.fs.ReadFile(name)
	if err != nil {
		return fmt.Errorf("storage: read %s: %w", name, err)
	}
	seg := segment{number: number, bytes: int64(len(data))}
	offset, lastRecord := 0, 0
	for offset < len(data) {
		b, n, err := decodeRecord(data[offset:])
		if err != nil {
			if !last || err == errMalformed || !isTornTail(data[offset:]) {
				return &CorruptError{File: name, Offset: int64(offset), Detail: err.Error()}
			}
			state.TruncatedBytes = int64(len(data) - offset)
			break
		}
		if detail := state.apply(b); detail != "" {
			return &CorruptError{File: name, Offset: int64(offset), Detail: detail}
		}
		for _, e := range b.entries {
			seg.lastIndex = max(seg.lastIndex, e.Index)
		}
		lastRecord = offset
		offset += n
	}
	s.segments = append(s.segments, seg)
	if !last {
		return nil
	}
	return s.openLastSegment(name, data[:offset], int64(lastRecord), state.TruncatedBytes > 0)
}

// openLastSegment opens the last segment for appending, truncates a torn tail and makes
// the intact records durable. All but the last record were synced before another was
// written. The last one is written again before the sync: if its first sync has failed,
// the operating system may take it for written and not write it again by itself.
func (s *Store) openLastSegment(name string, intact []byte, lastRecord int64, torn bool) error {
	file, err := s.fs.Append(name)
	if err != nil {
		return fmt.Errorf("storage: open %s: %w", name, err)
	}
	s.file, s.size = file, int64(len(intact))
	if torn {
		if err := file.Truncate(s.size); err != nil {
			return &SyncError{File: name, Err: err}
		}
	}
	if err := s.fs.Overwrite(name, lastRecord, intact[lastRecord:]); err != nil {
		return &SyncError{File: name, Err: err}
	}
	return nil
}

// apply adds the batch of a record to the state. It returns a description of what
// is invalid in the batch, or "" if it is valid.
func (state *State) apply(b *batch) string {
	if b.reset != nil {
		state.Entries = nil
	}
	for _, e := range b.entries {
		if n := len(state.Entries); n > 0 {
			first := state.Entries[0].Index
			if e.Index > first+uint64(n) || e.Index == 0 {
				return fmt.Sprintf("entry %d does not follow entry %d", e.Index, first+uint64(n)-1)
			}
			keep := 0
			if e.Index > first {
				keep = int(e.Index - first)
			}
			state.Entries = state.Entries[:keep]
		}
		state.Entries = append(state.Entries, e)
	}
	if b.hardState != nil {
		state.HardState = b.hardState
	}
	return ""
}

// alignLogWithSnapshot removes the entries that the snapshot covers. A log that ends
// before the snapshot's index, or has another term at it, was replaced by a snapshot
// of the leader; a crash then prevented the reset of the log, which is done here.
func (s *Store) alignLogWithSnapshot(state *State) error {
	var base, baseTerm uint64
	if state.Snapshot != nil {
		base, baseTerm = state.Snapshot.Index, state.Snapshot.Term
	}
	if n := len(state.Entries); n > 0 {
		first := state.Entries[0].Index
		if first > base+1 {
			return &MissingSegmentError{File: fmt.Sprintf("%s with entries %d to %d", s.dir, base+1, first-1)}
		}
		replaced := first+uint64(n)-1 < base
		if first <= base && !replaced {
			replaced = state.Entries[base-first].Term != baseTerm
		}
		if replaced {
			state.Entries = nil
			if err := s.write(&batch{reset: &wirepb.RaftSnapshot{Index: base, Term: baseTerm}}, false, nil); err != nil {
				return err
			}
		} else {
			state.Entries = state.Entries[base+1-first:]
		}
	}
	last := base + uint64(len(state.Entries))
	if state.HardState != nil && state.HardState.Commit > last {
		return &CorruptError{File: s.dir, Detail: fmt.Sprintf("the log ends at entry %d but entry %d is committed", last, state.HardState.Commit)}
	}
	return nil
}
