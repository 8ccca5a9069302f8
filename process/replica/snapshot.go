package replica

import (
	"fmt"
	"time"

	"marjoramtiller.example/marjoramtiller/connection/wirepb"
	"marjoramtiller.example/marjoramtiller/process/storage"
)

// snapshotRetryDelay is the time between attempts to store a snapshot while the
// disk is full.
const snapshotRetryDelay = time.Second

// snapshotResult is the result of encoding and storing a snapshot.
type snapshotResult struct {
	snapshot     *wirepb.RaftSnapshot
	coveredBytes int64 // size of the entries that it covers and the previous one does not
	err          error
}

// snapshotDue reports whether the number or the size of the entries applied since the last
// snapshot, or the size of the log, require another one.
func (r *Replica) snapshotDue() bool {
	entries := r.applied - r.snapshot.GetIndex()
	if entries == 0 {
		return false
	}
	limits := r.logLimits()
	return entries >= r.options.SnapshotEntries || r.appliedBytes >= limits.snapshotDue || r.store.Usage().LogBytes >= limits.large
}

// startSnapshotIfDue begins a snapshot if one is due. Only the view of the state machine is
// obtained on this goroutine: encoding, writing and syncing a large state takes longer than
// an election timeout and therefore runs on another goroutine.
func (r *Replica) startSnapshotIfDue() error {
	if r.savingSnapshot || r.now() < r.nextSnapshotAt || !r.snapshotDue() {
		return nil
	}
	s := r.core.SnapshotMeta(r.applied)
	if s == nil {
		return nil
	}
	encode, err := r.snapshotView()
	if err != nil {
		return fmt.Errorf("replica: create a snapshot at index %d: %w", r.applied, err)
	}
	r.savingSnapshot = true
	covered := r.appliedBytes
	r.appliedBytes = 0
	go func() {
		data, err := encode()
		if err != nil {
			err = fmt.Errorf("replica: encode the snapshot at index %d: %w", s.Index, err)
		} else {
			s.Data = data
			err = r.store.SaveSnapshot(s)
		}
		r.snapshotResults <- snapshotResult{snapshot: s, coveredBytes: covered, err: err}
	}()
	return nil
}

func (r *Replica) snapshotView() (encode func() ([]byte, error), err error) {
	r.stateMachineMu.Lock()
	defer r.stateMachineMu.Unlock()
	if v, ok := r.options.StateMachine.(SnapshotViewer); ok {
		return v.SnapshotView()
	}
	data, err := r.options.StateMachine.Snapshot()
	return func() ([]byte, error) { return data, nil }, err
}

// finishSnapshot removes the log entries that a durable snapshot covers. If the
// snapshot could not be stored for lack of space or descriptors, it is retried after
// snapshotRetryDelay.
func (r *Replica) finishSnapshot(result snapshotResult) error {
	r.savingSnapshot = false
	if storage.Retryable(result.err) {
		r.log.Warn().Err(result.err).Msg("could not store a snapshot; retrying later")
		r.nextSnapshotAt = r.now() + snapshotRetryDelay
		r.appliedBytes += result.coveredBytes
		return nil
	}
	if result.err != nil {
		return result.err
	}
	s, base := result.snapshot, r.snapshot.GetIndex()
	if s.Index <= base {
		return nil // replaced by a snapshot installed from the leader
	}
	r.metrics.snapshots.Add(1)
	r.snapshot = s
	// The entries since the previous snapshot stay in memory, so that slow
	// followers can catch up without a snapshot.
	r.core.Compact(s.Index, base)
	err := r.store.Compact(s.Index)
	usage := r.store.Usage()
	r.log.Debug().Uint64("snapshot", s.Index).Int64("snapshot_bytes", usage.SnapshotBytes).Int64("log_bytes", usage.LogBytes).Msg("snapshot stored")
	if usage.LogBytes >= r.logLimits().large {
		// Entries that are not committed take the space; a snapshot of each entry that
		// is committed next would free little.
		r.nextSnapshotAt = r.now() + snapshotRetryDelay
	}
	if storage.Retryable(err) {
		r.log.Warn().Err(err).Uint64("snapshot", s.Index).Msg("could not remove old log segments; they are removed after the next snapshot")
		return nil
	}
	return err
}
