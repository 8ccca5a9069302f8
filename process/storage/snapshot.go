package storage

import (
	"errors"
	"fmt"
	"io/fs"

	"google.golang.org/protobuf/proto"

	"marjoramtiller.example/marjoramtiller/connection/wirepb"
)

// Names of the temporary files that a snapshot is written to. They differ because
// InstallSnapshot may store a leader's snapshot while SaveSnapshot runs.
const (
	localSnapshotTmp  = snapshotName + "-saved" + tmpSuffix
	leaderSnapshotTmp = snapshotName + "-installed" + tmpSuffix
)

// SaveSnapshot stores a snapshot of this replica's own state in place of the
// earlier one. It may run while other methods are called. The snapshot is
// discarded if InstallSnapshot has stored a newer one in the meantime.
//
// The log is not changed. A crash at any point therefore leaves the earlier
// snapshot or this one, and the log has the entries that follow either.
func (s *Store) SaveSnapshot(snap *wirepb.RaftSnapshot) error {
	if err := s.stopError(); err != nil {
		return err
	}
	data, err := proto.Marshal(snap)
	if err != nil {
		return fmt.Errorf("storage: encode snapshot: %w", err)
	}
	if err := s.writeTempFile(localSnapshotTmp, data); err != nil {
		return s.stopOnSyncError(err)
	}
	s.snapshotMu.Lock()
	defer s.snapshotMu.Unlock()
	if snap.Index < s.snapshotIndex {
		return s.fs.Remove(s.path(localSnapshotTmp))
	}
	return s.stopOnSyncError(s.commitSnapshot(localSnapshotTmp, snap.Index, len(data)))
}

// InstallSnapshot stores a snapshot received from the leader in place of the
// earlier one and discards all log entries. The log continues after the snapshot.
func (s *Store) InstallSnapshot(snap *wirepb.RaftSnapshot) error {
	if err := s.stopError(); err != nil {
		return err
	}
	data, err := proto.Marshal(snap)
	if err != nil {
		return fmt.Errorf("storage: encode snapshot: %w", err)
	}
	if err := s.writeTempFile(leaderSnapshotTmp, data); err != nil {
		return s.stopOnSyncError(err)
	}
	s.snapshotMu.Lock()
	err = s.commitSnapshot(leaderSnapshotTmp, snap.Index, len(data))
	s.snapshotMu.Unlock()
	if err != nil {
		return s.stopOnSyncError(err)
	}
	start := &wirepb.RaftSnapshot{Index: snap.Index, Term: snap.Term, Voters: snap.Voters}
	if err := s.write(&batch{reset: start}, false, nil); err != nil {
		return err
	}
	// The open segment begins with the hard state and now holds the reset, so nothing in the
	// older ones counts any more. Those that can't be removed now are removed by Compact.
	if err := s.removeOldestSegments(len(s.segments) - 1); err != nil && !Retryable(err) {
		return err
	}
	return nil
}

// commitSnapshot makes the temporary file tmp, with size bytes of data, the stored snapshot.
func (s *Store) commitSnapshot(tmp string, index uint64, size int) error {
	if err := s.commitTempFile(tmp, snapshotName); err != nil {
		return err
	}
	s.snapshotIndex = index
	s.snapshotBytes.Store(int64(headerBytes + size))
	return nil
}

// stopOnSyncError stops the store if err is a SyncError, and returns err.
func (s *Store) stopOnSyncError(err error) error {
	var failed *SyncError
	if errors.As(err, &failed) {
		return s.stop(err)
	}
	return err
}

// Snapshot reads the stored snapshot. It returns nil if there is none.
func (s *Store) Snapshot() (*wirepb.RaftSnapshot, error) {
	data, err := s.readChecksummed(snapshotName)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	snap := &wirepb.RaftSnapshot{}
	if err := proto.Unmarshal(data, snap); err != nil {
		return nil, &CorruptError{File: s.path(snapshotName), Detail: err.Error()}
	}
	return snap, nil
}
