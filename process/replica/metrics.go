package replica

import (
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"

	"marjoramtiller.example/marjoramtiller/process/consensus"
)

// Counters count events since Open.
type Counters struct {
	Syncs           uint64 // batches written and synced to the log
	DroppedMessages uint64 // received messages dropped because the queue was full
	Snapshots       uint64 // own snapshots stored
	RefusedForSpace uint64 // proposals refused with a DiskBudgetError
	DelayedAppends  uint64 // messages with entries dropped until a snapshot has freed space
	// BrokenInvariant is the name of the invariant that stopped the replica, one
	// of consensus.Invariants, or "".
	BrokenInvariant string
}

type counters struct {
	syncs, dropped, snapshots       atomic.Uint64
	refusedForSpace, delayedAppends atomic.Uint64
	syncSeconds, batch              prometheus.Histogram
}

func (c *counters) init(group string) {
	labels := prometheus.Labels{"group": group}
	c.syncSeconds = prometheus.NewHistogram(prometheus.HistogramOpts{
		Name: "marjoramtiller_group_sync_seconds", Help: "Time to write and sync a batch.", ConstLabels: labels,
		Buckets: prometheus.ExponentialBuckets(0.0001, 2, 16),
	})
	c.batch = prometheus.NewHistogram(prometheus.HistogramOpts{
		Name: "marjoramtiller_group_batch_entries", Help: "Log entries in a synced batch.", ConstLabels: labels,
		Buckets: prometheus.ExponentialBuckets(1, 2, 11),
	})
}

func (c *counters) read() Counters {
	return Counters{Syncs: c.syncs.Load(), DroppedMessages: c.dropped.Load(), Snapshots: c.snapshots.Load(),
		RefusedForSpace: c.refusedForSpace.Load(), DelayedAppends: c.delayedAppends.Load()}
}

var groupLabel = []string{"group"}

var (
	descTerm      = prometheus.NewDesc("marjoramtiller_group_term", "Term of the replica.", groupLabel, nil)
	descCommit    = prometheus.NewDesc("marjoramtiller_group_commit_index", "Last log index known as committed.", groupLabel, nil)
	descApplied   = prometheus.NewDesc("marjoramtiller_group_applied_index", "Last log index applied.", groupLabel, nil)
	descSyncs     = prometheus.NewDesc("marjoramtiller_group_log_syncs_total", "Batches synced to the log.", groupLabel, nil)
	descDropped   = prometheus.NewDesc("marjoramtiller_group_dropped_messages_total", "Received consensus messages that found the queue full.", groupLabel, nil)
	descSnapshots = prometheus.NewDesc("marjoramtiller_group_snapshots_total", "Snapshots stored.", groupLabel, nil)
	descRefused   = prometheus.NewDesc("marjoramtiller_group_commands_over_disk_budget_total", "Commands refused because the log has used up its part of the disk.", groupLabel, nil)
	descDelayed   = prometheus.NewDesc("marjoramtiller_group_delayed_appends_total", "Messages of a leader whose entries have to wait for a snapshot.", groupLabel, nil)
	descLogBytes  = prometheus.NewDesc("marjoramtiller_group_log_bytes", "Disk space of the log.", groupLabel, nil)
	descLogLimit  = prometheus.NewDesc("marjoramtiller_group_log_limit_bytes", "Part of the disk that the log may take, 0 if the size of the disk is not known.", groupLabel, nil)
	descSnapBytes = prometheus.NewDesc("marjoramtiller_group_snapshot_bytes", "Disk space of the stored snapshot.", groupLabel, nil)
	descInvariant = prometheus.NewDesc("marjoramtiller_group_broken_invariants_total", "Violations of a named invariant; one stops the replica.", []string{"group", "invariant"}, nil)
)

// Describe implements prometheus.Collector.
func (r *Replica) Describe(ch chan<- *prometheus.Desc) { prometheus.DescribeByCollect(r, ch) }

// Collect implements prometheus.Collector. The counter of every invariant is
// exported from the start, because an alert on an increase would miss the first
// violation if the series appeared only with it.
func (r *Replica) Collect(ch chan<- prometheus.Metric) {
	s := r.Status()
	emit := func(d *prometheus.Desc, kind prometheus.ValueType, value uint64) {
		ch <- prometheus.MustNewConstMetric(d, kind, float64(value), r.options.Group)
	}
	emit(descTerm, prometheus.GaugeValue, s.Term)
	emit(descCommit, prometheus.GaugeValue, s.Commit)
	emit(descApplied, prometheus.GaugeValue, s.Applied)
	emit(descSyncs, prometheus.CounterValue, s.Syncs)
	emit(descDropped, prometheus.CounterValue, s.DroppedMessages)
	emit(descSnapshots, prometheus.CounterValue, s.Snapshots)
	emit(descRefused, prometheus.CounterValue, s.RefusedForSpace)
	emit(descDelayed, prometheus.CounterValue, s.DelayedAppends)
	emit(descLogBytes, prometheus.GaugeValue, uint64(s.Disk.LogBytes))
	emit(descSnapBytes, prometheus.GaugeValue, uint64(s.Disk.SnapshotBytes))
	logLimit := int64(0)
	if s.Disk.DiskBytes > 0 {
		logLimit = r.budget.limits(s.Disk.SnapshotBytes).total
	}
	emit(descLogLimit, prometheus.GaugeValue, uint64(logLimit))
	r.metrics.syncSeconds.Collect(ch)
	r.metrics.batch.Collect(ch)
	for _, name := range consensus.Invariants {
		broken := 0.0
		if name == s.BrokenInvariant {
			broken = 1
		}
		ch <- prometheus.MustNewConstMetric(descInvariant, prometheus.CounterValue, broken, r.options.Group, name)
	}
}
