package entry

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"marjoramtiller.example/marjoramtiller/connection/wirepb"
	"marjoramtiller.example/marjoramtiller/request/outcome"
	"marjoramtiller.example/marjoramtiller/request/queue"
)

const (
	// The waits of the last minute are kept per interval, and the oldest
	// interval is dropped.
	waitIntervals         = 6
	waitInterval          = 10 * time.Second
	waitSignificantDigits = 2
	maxRecordedWait       = maxDeadline
	p99Interval           = time.Second
	waitQuantile          = 99
)

// Metric labels of requests in addition to the kinds of outcomes.
const (
	labelAnswered = "answered"
	labelAborted  = "aborted" // the caller received an incomplete response
)

// recentWaits holds the queue waits of short work of one service in the last minute.
type recentWaits struct {
	window   *hdrhistogram.WindowedHistogram // milliseconds
	interval int64                           // number of the current interval since the entry's start
	p99      uint32
	p99At    time.Duration
}

func newRecentWaits() *recentWaits {
	return &recentWaits{window: hdrhistogram.NewWindowed(waitIntervals, 1, maxRecordedWait.Milliseconds(), waitSignificantDigits), p99At: -p99Interval}
}

func (r *recentWaits) rotate(now time.Duration) {
	interval := int64(now / waitInterval)
	for range min(interval-r.interval, waitIntervals) {
		r.window.Rotate()
	}
	r.interval = max(r.interval, interval)
}

func (r *recentWaits) observe(now, waited time.Duration) {
	r.rotate(now)
	_ = r.window.Current.RecordValue(min(waited, maxRecordedWait).Milliseconds())
}

// p99Millis returns the 99th percentile in milliseconds. It is computed once
// per p99Interval, as syncs may follow each other much faster.
func (r *recentWaits) p99Millis(now time.Duration) uint32 {
	if now-r.p99At >= p99Interval {
		r.rotate(now)
		r.p99 = uint32(r.window.Merge().ValueAtQuantile(waitQuantile))
		r.p99At = now
	}
	return r.p99
}

// fillDemand sets the totals of a service since the entry's start and its
// recent wait in a demand report.
func (m *entryMetrics) fillDemand(d *wirepb.ServiceDemand, now time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for l, n := range m.requests {
		if l.service != d.GetService() {
			continue
		}
		d.Requests += n
		if l.outcome == string(outcome.NotRun) {
			d.Refused += n
		}
	}
	d.Unknown = m.unknownByService[d.GetService()]
	d.Retried = m.retriedByService[d.GetService()]
	if r := m.recent[d.GetService()]; r != nil {
		d.ShortWaitP99Ms = r.p99Millis(now)
	}
}

// countUnknown counts a non-idempotent request whose record ends as unknown.
func (m *entryMetrics) countUnknown(service string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.unknownByService[service]++
}

func (m *entryMetrics) countRetry(service string) {
	m.retries.Add(1)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.retriedByService[service]++
}

// observeRecent records the queue wait of a request that starts. Only short
// work counts. The caller holds the mutex.
func (m *entryMetrics) observeRecent(service string, now time.Duration, a queue.Action) {
	if a.Class != queue.Short {
		return
	}
	r := m.recent[service]
	if r == nil {
		r = newRecentWaits()
		m.recent[service] = r
	}
	r.observe(now, a.Waited)
}
