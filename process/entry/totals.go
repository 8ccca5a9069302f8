package entry

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"marjoramtiller.example/marjoramtiller/connection/wirepb"
	"marjoramtiller.example/marjoramtiller/request/outcome"
	"marjoramtiller.example/marjoramtiller/request/queue"
)

const (
	// The waits of the last minute are kept in parts, the oldest of which is dropped.
	waitParts    = 6
	waitPart     = 10 * time.Second
	waitDigits   = 2
	longestWait  = maxDeadline
	p99Interval  = time.Second
	waitQuantile = 99
)

// Labels of requests in the metrics other than the kinds of outcomes.
const (
	labelAnswered = "answered"
	labelAborted  = "aborted" // the caller got an incomplete answer
)

// recentWaits holds the queue waits of short work of one service in the last minute.
type recentWaits struct {
	window *hdrhistogram.WindowedHistogram // milliseconds
	part   int64                           // number of the current part since the entry's start
	p99    uint32
	p99At  time.Duration
}

func newRecentWaits() *recentWaits {
	return &recentWaits{window: hdrhistogram.NewWindowed(waitParts, 1, longestWait.Milliseconds(), waitDigits), p99At: -p99Interval}
}

func (r *recentWaits) rotate(now time.Duration) {
	part := int64(now / waitPart)
	for range min(part-r.part, waitParts) {
		r.window.Rotate()
	}
	r.part = max(r.part, part)
}

func (r *recentWaits) observe(now, waited time.Duration) {
	r.rotate(now)
	_ = r.window.Current.RecordValue(min(waited, longestWait).Milliseconds())
}

// quantile returns the 99th percentile in milliseconds. It is computed once a
// second, as syncs may follow each other much faster.
func (r *recentWaits) quantile(now time.Duration) uint32 {
	if now-r.p99At >= p99Interval {
		r.rotate(now)
		r.p99 = uint32(r.window.Merge().ValueAtQuantile(waitQuantile))
		r.p99At = now
	}
	return r.p99
}

// fill sets the totals of a service since the entry's start.
func (m *metrics) fill(d *wirepb.ServiceDemand, now time.Duration) {
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
	d.Unknown = m.unknownBy[d.GetService()]
	d.Retried = m.retriedBy[d.GetService()]
	if r := m.recent[d.GetService()]; r != nil {
		d.ShortWaitP99Ms = r.quantile(now)
	}
}

// unknown counts a non-idempotent request whose record ends as unknown.
func (m *metrics) unknown(service string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.unknownBy[service]++
}

func (m *metrics) retried(service string) {
	m.retries.Add(1)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.retriedBy[service]++
}

// observeRecent takes the wait of a request that starts. The caller holds the mutex.
func (m *metrics) observeRecent(service string, now time.Duration, a queue.Action) {
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
