package replica

import (
	"marjoramtiller.example/marjoramtiller/connection/wirepb"
)

// diskUsage returns the space that the replica takes on its disk.
func (r *Replica) diskUsage() DiskUsage {
	return DiskUsage{Usage: r.store.Usage(), QueuedBytes: r.queuedBytes, DiskBytes: r.options.DiskBytes}
}

func (r *Replica) logLimits() logLimits { return r.budget.limits(r.store.Usage().SnapshotBytes) }

// proposeWithinBudget proposes a command if the log has room for it.
func (r *Replica) proposeWithinBudget(command []byte) (index, term uint64, err error) {
	if err := r.diskUsage().CheckTotal(len(command)); err != nil {
		r.metrics.refusedForSpace.Add(1)
		r.log.Warn().Err(err).Msg("command refused")
		return 0, 0, err
	}
	index, term, err = r.core.Propose(command)
	if err == nil {
		r.queuedBytes += int64(len(command))
	}
	return index, term, err
}

// mustDelayAppend reports whether a leader's entries have to wait for the next snapshot,
// because the log would exceed its limit. The message is then dropped, and the leader sends
// the entries again. Heartbeats still arrive, so that no election begins. Entries are
// appended beyond the limit if no snapshot can free space: as long as they are not
// committed, no snapshot can cover them.
func (r *Replica) mustDelayAppend(m *wirepb.RaftMessage) bool {
	if len(m.Entries) == 0 {
		return false
	}
	size := 0
	for _, e := range m.Entries {
		size += len(e.Data)
	}
	err := r.diskUsage().CheckTotal(size)
	delay := err != nil && (r.savingSnapshot || r.snapshotDue())
	if delay != r.delayingAppends {
		r.delayingAppends = delay
		r.log.Warn().Err(err).Bool("delayed", delay).Uint64("applied", r.applied).Uint64("snapshot", r.snapshot.GetIndex()).Msg("entries of the leader wait for a snapshot")
	}
	if delay {
		r.metrics.delayedAppends.Add(1)
	}
	return delay
}
