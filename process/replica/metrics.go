package replica

import "sync/atomic"

// Counters count events since Open. A metrics collector reads them, and the
// gauges, from Status.
type Counters struct {
	Syncs           uint64 // batches synced to the log
	DroppedMessages uint64 // received messages that found the queue full
	Snapshots       uint64 // snapshots stored
	// BrokenInvariant is the name of the invariant that stopped the replica, one
	// of consensus.Invariants, or "".
	BrokenInvariant string
}

type counters struct {
	syncs, dropped, snapshots atomic.Uint64
}

func (c *counters) read() Counters {
	return Counters{Syncs: c.syncs.Load(), DroppedMessages: c.dropped.Load(), Snapshots: c.snapshots.Load()}
}
