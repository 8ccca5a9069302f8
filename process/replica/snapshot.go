package replica

import (
	"errors"
	"fmt"
	"time"

	"marjoramtiller.example/marjoramtiller/connection/wirepb"
	"marjoramtiller.example/marjoramtiller/process/storage"
)

// snapshotRetryDelay is the time between attempts to store a snapshot on a disk
// that is full.
const snapshotRetryDelay = time.Second

// savedSnapshot is the result of a snapshot's encoding and storing.
type savedSnapshot struct {
	snapshot *wirepb.RaftSnapshot
	err      error
}

// maybeSnapshot begins a snapshot once enough entries were applied since the
// one before. Only the state machine's view is taken here: encoding, writing and
// syncing a large state takes longer than an election timeout and runs on a
// goroutine of its own.
func (r *Replica) maybeSnapshot() error {
	if r.saving || r.now() < r.saveNext || r.applied-r.snapshot.GetIndex() < r.o.SnapshotEntries {
		return nil
	}
	s := r.core.SnapshotMeta(r.applied)
	if s == nil {
		return nil
	}
	encode, err := r.snapshotView()
	if err != nil {
		return fmt.Errorf("replica: snapshot at %d: %w", r.applied, err)
	}
	r.saving = true
	go func() {
		data, err := encode()
		if err != nil {
			err = fmt.Errorf("replica: snapshot at %d: %w", s.Index, err)
		} else {
			s.Data = data
			err = r.store.SaveSnapshot(s)
		}
		r.saved <- savedSnapshot{snapshot: s, err: err}
	}()
	return nil
}

func (r *Replica) snapshotView() (encode func() ([]byte, error), err error) {
	r.smMu.Lock()
	defer r.smMu.Unlock()
	if v, ok := r.o.StateMachine.(Viewer); ok {
		return v.SnapshotView()
	}
	data, err := r.o.StateMachine.Snapshot()
	return func() ([]byte, error) { return data, nil }, err
}

// endSnapshot removes the log before a snapshot that is durable. A full disk
// only delays it.
func (r *Replica) endSnapshot(result savedSnapshot) error {
	r.saving = false
	var full *storage.DiskFullError
	if errors.As(result.err, &full) {
		r.log.Warn().Err(result.err).Msg("snapshot delayed")
		r.saveNext = r.now() + snapshotRetryDelay
		return nil
	}
	if result.err != nil {
		return result.err
	}
	s, base := result.snapshot, r.snapshot.GetIndex()
	if s.Index <= base {
		return nil // a snapshot of the leader replaced it
	}
	r.count.snapshots.Add(1)
	r.snapshot = s
	// The entries since the snapshot before stay in memory for slow followers.
	r.core.Compact(s.Index, base)
	return r.store.Compact(s.Index)
}
