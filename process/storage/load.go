package storage

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io/fs"
	"strings"

	"marjoramtiller.example/marjoramtiller/connection/wirepb"
)

// replace stores data with its CRC under name, atomically.
func (s *Store) replace(name string, data []byte) error {
	tmp := name + tmpSuffix
	if err := s.prepare(tmp, data); err != nil {
		return s.stopOnSync(err)
	}
	return s.stopOnSync(s.publish(tmp, name))
}

// prepare writes data with its CRC to a file and syncs it. It changes nothing
// else and may run while other methods are called.
func (s *Store) prepare(name string, data []byte) error {
	tmp := s.path(name)
	f, err := s.fs.Create(tmp)
	if err != nil {
		return &DiskFullError{File: tmp, Err: err}
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
		return &DiskFullError{File: tmp, Err: err}
	}
	syncErr := f.Sync()
	closeErr := f.Close()
	if err := errors.Join(syncErr, closeErr); err != nil {
		return &SyncError{File: tmp, Err: err}
	}
	return nil
}

// publish puts a prepared file in the place of name, durably.
func (s *Store) publish(tmp, name string) error {
	if err := s.fs.Rename(s.path(tmp), s.path(name)); err != nil {
		return &SyncError{File: s.path(tmp), Err: err}
	}
	if err := s.fs.SyncDir(s.dir); err != nil {
		return &SyncError{File: s.dir, Err: err}
	}
	return nil
}

func (s *Store) readChecked(name string) ([]byte, error) {
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

// The manifest holds the numbers of the first and the last segment. A segment
// after the last is one whose creation a crash interrupted; one before the first
// is one whose removal it interrupted.
const manifestBytes = 16

func (s *Store) writeManifest(first, last uint64) error {
	data := binary.LittleEndian.AppendUint64(nil, first)
	return s.replace(manifestName, binary.LittleEndian.AppendUint64(data, last))
}

// rotate begins a new segment. Its first record repeats the hard state, so that
// older segments can be removed. The manifest names it before any other record
// is written to it.
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
	s.file, s.size, s.dirty = file, size, false
	s.segments = append(s.segments, segment{number: next})
	return nil
}

func (s *Store) createSegment(number uint64) (File, int64, error) {
	name := s.path(segmentName(number))
	file, err := s.fs.Create(name)
	if err != nil {
		return nil, 0, &DiskFullError{File: name, Err: err}
	}
	var data []byte
	if s.hardState != nil {
		data, err = (&batch{hardState: s.hardState}).encode(nil)
		if err != nil {
			_ = file.Close()
			return nil, 0, err
		}
		if _, err := file.Write(data); err != nil {
			_ = file.Close()
			_ = s.fs.Remove(name)
			return nil, 0, &DiskFullError{File: name, Err: err}
		}
	}
	if err := file.Sync(); err != nil {
		_ = file.Close()
		return nil, 0, s.stop(&SyncError{File: name, Err: err})
	}
	if err := s.fs.SyncDir(s.dir); err != nil {
		_ = file.Close()
		return nil, 0, s.stop(&SyncError{File: s.dir, Err: err})
	}
	return file, int64(len(data)), nil
}

func (s *Store) load() (*State, error) {
	st := &State{}
	snap, err := s.Snapshot()
	if err != nil {
		return nil, err
	}
	st.Snapshot = snap
	first, last, err := s.readManifest()
	if err != nil {
		return nil, err
	}
	if last == 0 {
		return st, s.initialise(snap)
	}
	if err := s.removeStrays(first, last); err != nil {
		return nil, err
	}
	for n := first; n <= last; n++ {
		if err := s.loadSegment(st, n, n == last); err != nil {
			return nil, err
		}
	}
	return st, s.checkLoaded(st)
}

// initialise begins the first segment of an empty folder.
func (s *Store) initialise(snap *wirepb.RaftSnapshot) error {
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
	data, err := s.readChecked(manifestName)
	if errors.Is(err, fs.ErrNotExist) {
		return 0, 0, nil
	}
	if err != nil {
		return 0, 0, err
	}
	if len(data) != manifestBytes {
		return 0, 0, &CorruptError{File: s.path(manifestName), Detail: errBody.Error()}
	}
	return binary.LittleEndian.Uint64(data), binary.LittleEndian.Uint64(data[8:]), nil
}

func (s *Store) removeStrays(first, last uint64) error {
	names, err := s.fs.List(s.dir)
	if err != nil {
		return fmt.Errorf("storage: list %s: %w", s.dir, err)
	}
	present := map[string]bool{}
	for _, name := range names {
		present[name] = true
		stray := strings.HasSuffix(name, tmpSuffix)
		if strings.HasPrefix(name, "log-") {
			stray = name < segmentName(first) || name > segmentName(last)
		}
		if !stray {
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

func (s *Store) loadSegment(st *State, number uint64, last bool) error {
	name := s.path(segmentName(number))
	data, err := s.fs.ReadFile(name)
	if err != nil {
		return fmt.Errorf("storage: read %s: %w", name, err)
	}
	seg := segment{number: number}
	offset := 0
	for offset < len(data) {
		b, n, err := decode(data[offset:])
		if err != nil {
			if !last || err == errBody || !tornTail(data[offset:]) {
				return &CorruptError{File: name, Offset: int64(offset), Detail: err.Error()}
			}
			st.TruncatedBytes = int64(len(data) - offset)
			break
		}
		if detail := st.apply(b); detail != "" {
			return &CorruptError{File: name, Offset: int64(offset), Detail: detail}
		}
		for _, e := range b.entries {
			seg.lastIndex = max(seg.lastIndex, e.Index)
		}
		offset += n
	}
	s.segments = append(s.segments, seg)
	if !last {
		return nil
	}
	return s.openLast(name, int64(offset), st.TruncatedBytes > 0)
}

// openLast opens the last segment for appending, without its torn tail.
func (s *Store) openLast(name string, size int64, torn bool) error {
	file, err := s.fs.Append(name)
	if err != nil {
		return fmt.Errorf("storage: open %s: %w", name, err)
	}
	s.file, s.size = file, size
	if !torn {
		return nil
	}
	if err := file.Truncate(size); err != nil {
		return &SyncError{File: name, Err: err}
	}
	if err := file.Sync(); err != nil {
		return &SyncError{File: name, Err: err}
	}
	return nil
}

// apply adds a record to the state and returns what is wrong with it, or "".
func (st *State) apply(b *batch) string {
	if b.reset != nil {
		st.Entries = nil
	}
	for _, e := range b.entries {
		if n := len(st.Entries); n > 0 {
			first := st.Entries[0].Index
			if e.Index > first+uint64(n) || e.Index == 0 {
				return fmt.Sprintf("entry %d does not follow %d", e.Index, first+uint64(n)-1)
			}
			keep := 0
			if e.Index > first {
				keep = int(e.Index - first)
			}
			st.Entries = st.Entries[:keep]
		}
		st.Entries = append(st.Entries, e)
	}
	if b.hardState != nil {
		st.HardState = b.hardState
	}
	return ""
}

// checkLoaded joins the log to the snapshot. A log that ends before it or
// disagrees with it was replaced by a snapshot of the leader.
func (s *Store) checkLoaded(st *State) error {
	var base, baseTerm uint64
	if st.Snapshot != nil {
		base, baseTerm = st.Snapshot.Index, st.Snapshot.Term
	}
	if n := len(st.Entries); n > 0 {
		first := st.Entries[0].Index
		if first > base+1 {
			return &MissingSegmentError{File: fmt.Sprintf("%s with entries %d to %d", s.dir, base+1, first-1)}
		}
		replaced := first+uint64(n)-1 < base
		if first <= base && !replaced {
			replaced = st.Entries[base-first].Term != baseTerm
		}
		if replaced {
			st.Entries = nil
			if err := s.write(&batch{reset: &wirepb.RaftSnapshot{Index: base, Term: baseTerm}}, false, nil); err != nil {
				return err
			}
		} else {
			st.Entries = st.Entries[base+1-first:]
		}
	}
	last := base + uint64(len(st.Entries))
	if st.HardState != nil && st.HardState.Commit > last {
		return &CorruptError{File: s.dir, Detail: fmt.Sprintf("entries end at %d but %d is committed", last, st.HardState.Commit)}
	}
	return nil
}
