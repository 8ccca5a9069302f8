package entry

import (
	"github.com/prometheus/client_golang/prometheus"

	"marjoramtiller.example/marjoramtiller/request/queue"
)

var (
	requestsDesc   = desc("requests_total", "Requests by service and outcome.", "service", "outcome")
	violationsDesc = desc("invariant_violations_total", "Invariants that did not hold.", "invariant")
	waitsDesc      = desc("queue_wait_seconds", "Time from arrival to start by class.", "class")
	retriesDesc    = desc("retries_total", "Requests sent again.")
	syncsDesc      = desc("sync_failures_total", "Failed syncs with the control leader.")
	ledgerDesc     = desc("ledger_failures_total", "Ledger calls without a result.")
	unrecordedDesc = desc("answered_unrecorded_total", "Answers passed on before their record was written.")
	abortedDesc    = desc("aborted_answers_total", "Answers cut off because they were incomplete.")
	pendingDesc    = desc("pending_records", "Ledger commands that are being sent until recorded.")
)

func desc(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc("marjoramtiller_entry_"+name, help, labels, nil)
}

// Collector exposes the counters of an entry to Prometheus.
type Collector struct{ e *Entry }

// NewCollector returns a collector for the metrics of an entry.
func NewCollector(e *Entry) *Collector { return &Collector{e} }

// Describe implements prometheus.Collector.
func (c *Collector) Describe(ch chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{requestsDesc, violationsDesc, waitsDesc, retriesDesc, syncsDesc, ledgerDesc, unrecordedDesc, abortedDesc, pendingDesc} {
		ch <- d
	}
}

// Collect implements prometheus.Collector.
func (c *Collector) Collect(ch chan<- prometheus.Metric) {
	n := c.e.Counters()
	counter := func(d *prometheus.Desc, v float64, labels ...string) {
		ch <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, v, labels...)
	}
	for service, outcomes := range n.Requests {
		for name, v := range outcomes {
			counter(requestsDesc, float64(v), service, name)
		}
	}
	for name, v := range n.Violations {
		counter(violationsDesc, float64(v), name)
	}
	counter(retriesDesc, float64(n.Retries))
	counter(syncsDesc, float64(n.SyncFailures))
	counter(ledgerDesc, float64(n.LedgerFailures))
	counter(unrecordedDesc, float64(n.AnsweredUnrecorded))
	counter(abortedDesc, float64(n.AbortedAnswers))
	ch <- prometheus.MustNewConstMetric(pendingDesc, prometheus.GaugeValue, float64(n.PendingRecords))
	c.collectWaits(ch)
}

func (c *Collector) collectWaits(ch chan<- prometheus.Metric) {
	m := c.e.metrics
	m.mu.Lock()
	defer m.mu.Unlock()
	for class, name := range map[queue.Class]string{queue.Short: "short", queue.Long: "long"} {
		h := m.waits[class]
		cumulative := make(map[float64]uint64)
		sum := uint64(0)
		for k, bound := range waitBounds {
			sum += h.buckets[k]
			cumulative[bound.Seconds()] = sum
		}
		ch <- prometheus.MustNewConstHistogram(waitsDesc, h.count, h.seconds, cumulative, name)
	}
}
