package storage

import (
	"errors"
	"fmt"
	"io/fs"

	"google.golang.org/protobuf/proto"

	"marjoramtiller.example/marjoramtiller/connection/wirepb"
)

// Names of the files in which a snapshot is prepared. They differ because a
// leader's snapshot may be installed while SaveSnapshot runs.
const (
	savedTmp     = snapshotName + "-saved" + tmpSuffix
	installedTmp = snapshotName + "-installed" + tmpSuffix
)

// SaveSnapshot stores a snapshot of this replica's own state in place of the
// earlier one. It may run while other methods are called. A snapshot that was
// overtaken by an installed one is dropped.
//
// The log is left as it is: a crash at any point leaves the earlier snapshot or
// this one, and the log continues both.
func (s *Store) SaveSnapshot(snap *wirepb.RaftSnapshot) error {
	if err := s.stopped(); err != nil {
		return err
	}
	data, err := proto.Marshal(snap)
	if err != nil {
		return fmt.Errorf("storage: encode snapshot: %w", err)
	}
	if err := s.prepare(savedTmp, data); err != nil {
		return s.stopOnSync(err)
	}
	s.snapshotMu.Lock()
	defer s.snapshotMu.Unlock()
	if snap.Index < s.snapshotIndex {
		return s.fs.Remove(s.path(savedTmp))
	}
	return s.stopOnSync(s.publishSnapshot(savedTmp, snap.Index))
}

// InstallSnapshot stores a snapshot of the leader in place of the earlier one,
// empties the log and continues it after the snapshot.
func (s *Store) InstallSnapshot(snap *wirepb.RaftSnapshot) error {
	if err := s.stopped(); err != nil {
		return err
	}
	data, err := proto.Marshal(snap)
	if err != nil {
		return fmt.Errorf("storage: encode snapshot: %w", err)
	}
	if err := s.prepare(installedTmp, data); err != nil {
		return s.stopOnSync(err)
	}
	s.snapshotMu.Lock()
	err = s.publishSnapshot(installedTmp, snap.Index)
	s.snapshotMu.Unlock()
	if err != nil {
		return s.stopOnSync(err)
	}
	start := &wirepb.RaftSnapshot{Index: snap.Index, Term: snap.Term, Voters: snap.Voters}
	return s.write(&batch{reset: start}, false, nil)
}

func (s *Store) publishSnapshot(tmp string, index uint64) error {
	if err := s.publish(tmp, snapshotName); err != nil {
		return err
	}
	s.snapshotIndex = index
	return nil
}

// stopOnSync ends the use of the store after a failed sync.
func (s *Store) stopOnSync(err error) error {
	var failed *SyncError
	if errors.As(err, &failed) {
		return s.stop(err)
	}
	return err
}

// Snapshot reads the stored snapshot, nil if there is none.
func (s *Store) Snapshot() (*wirepb.RaftSnapshot, error) {
	data, err := s.readChecked(snapshotName)
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
