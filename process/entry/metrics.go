package entry

import (
	"sync"
	"sync/atomic"
	"time"

	"marjoramtiller.example/marjoramtiller/request/queue"
)

// waitBounds are the upper bounds of the buckets of the queue wait histogram.
var waitBounds = func() []time.Duration {
	var out []time.Duration
	for d := 500 * time.Microsecond; d < 2*time.Minute; d *= 2 {
		out = append(out, d)
	}
	return out
}()

type requestLabel struct{ service, outcome string }

// entryMetrics holds the counters of the entry. It is safe for concurrent use.
type entryMetrics struct {
	retries            atomic.Int64
	syncFailures       atomic.Int64
	ledgerFailures     atomic.Int64
	answeredUnrecorded atomic.Int64
	abortedAnswers     atomic.Int64
	pendingRecords     atomic.Int64

	mu               sync.Mutex
	requests         map[requestLabel]uint64
	violations       map[string]uint64
	waits            map[queue.Class]*waitHistogram
	retriedByService map[string]uint64       // by service
	unknownByService map[string]uint64       // by service
	recent           map[string]*recentWaits // by service
}

type waitHistogram struct {
	count   uint64
	seconds float64
	buckets []uint64 // by waitBounds, not cumulative; longer waits are in count only
}

func newMetrics() *entryMetrics {
	m := &entryMetrics{
		requests:         make(map[requestLabel]uint64),
		violations:       make(map[string]uint64),
		waits:            make(map[queue.Class]*waitHistogram),
		retriedByService: make(map[string]uint64),
		unknownByService: make(map[string]uint64),
		recent:           make(map[string]*recentWaits),
	}
	for _, c := range []queue.Class{queue.Short, queue.Long} {
		m.waits[c] = &waitHistogram{buckets: make([]uint64, len(waitBounds))}
	}
	return m
}

func (m *entryMetrics) countRequest(service, outcome string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.requests[requestLabel{service, outcome}]++
}

func (m *entryMetrics) countViolation(invariant string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.violations[invariant]++
}

func (m *entryMetrics) observeWait(service string, now time.Duration, a queue.Action) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.observeRecent(service, now, a)
	h := m.waits[a.Class]
	h.count++
	h.seconds += a.Waited.Seconds()
	for k, bound := range waitBounds {
		if a.Waited <= bound {
			h.buckets[k]++
			return
		}
	}
}

// Counters holds the counters since the start of the entry.
type Counters struct {
	Requests           map[string]map[string]uint64 `json:"requests"` // by service and outcome
	Retries            int64                        `json:"retries"`
	SyncFailures       int64                        `json:"sync_failures"`
	LedgerFailures     int64                        `json:"ledger_failures"`
	AnsweredUnrecorded int64                        `json:"answered_unrecorded"`
	AbortedAnswers     int64                        `json:"aborted_answers"`
	PendingRecords     int64                        `json:"pending_records"`
	Violations         map[string]uint64            `json:"invariant_violations"`
}

// Counters returns a copy of the counters.
func (e *Entry) Counters() Counters {
	m := e.metrics
	m.mu.Lock()
	defer m.mu.Unlock()
	c := Counters{
		Requests:           make(map[string]map[string]uint64),
		Retries:            m.retries.Load(),
		SyncFailures:       m.syncFailures.Load(),
		LedgerFailures:     m.ledgerFailures.Load(),
		AnsweredUnrecorded: m.answeredUnrecorded.Load(),
		AbortedAnswers:     m.abortedAnswers.Load(),
		PendingRecords:     m.pendingRecords.Load(),
		Violations:         make(map[string]uint64),
	}
	for l, n := range m.requests {
		if c.Requests[l.service] == nil {
			c.Requests[l.service] = make(map[string]uint64)
		}
		c.Requests[l.service][l.outcome] = n
	}
	for name, n := range m.violations {
		c.Violations[name] = n
	}
	return c
}

// State is the entry's state dump.
type State struct {
	Entry         string               `json:"entry"`
	BootID        string               `json:"boot_id"`
	Leader        string               `json:"leader"`
	Term          uint64               `json:"term"`
	Version       uint64               `json:"version"`
	Grant         uint64               `json:"grant"`
	ConfigLeaseMs int64                `json:"config_lease_ms"` // remaining; 0: expired
	Closing       bool                 `json:"closing"`
	Broken        bool                 `json:"broken"`
	Services      []queue.ServiceStats `json:"services"`
	Servers       []ServerState        `json:"servers"`
	InFlightHosts map[string]int       `json:"in_flight_hosts"`
	Counters      Counters             `json:"counters"`
}

// ServerState is one backend server in the state dump.
type ServerState struct {
	queue.ServerStats
	Address  string `json:"address"`
	Share    int    `json:"share"`
	InFlight int    `json:"in_flight"`
	LeaseMs  int64  `json:"lease_ms"` // remaining; 0: expired
	Usable   bool   `json:"usable"`   // the configuration allows new work
}

// Dump returns the state of the entry as a value that marshals to JSON.
func (e *Entry) Dump() any {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	s := State{
		Entry: e.options.Name, BootID: e.options.BootID, Leader: e.leader, Term: e.term,
		Version: e.cfg.Version(), Grant: e.grant,
		ConfigLeaseMs: e.leases.ConfigLeaseRemaining(now).Milliseconds(),
		Closing:       e.closing.Load(), Broken: e.broken.Load(),
		Services: e.core.Services(), InFlightHosts: make(map[string]int), Counters: e.Counters(),
	}
	for host, n := range e.inFlightHost {
		s.InFlightHosts[host] = n
	}
	stats := make(map[string]queue.ServerStats)
	for _, st := range e.core.Servers() {
		stats[st.Server] = st
	}
	for b := range e.cfg.Servers() {
		name := b.GetName()
		st, ok := stats[name]
		if !ok {
			st = queue.ServerStats{Server: name, Service: b.GetService()}
		}
		s.Servers = append(s.Servers, ServerState{ServerStats: st, Address: b.GetAddress(), Share: e.shares[name].slots,
			InFlight: e.inFlight[name], LeaseMs: e.leases.ServerLeaseRemaining(name, now).Milliseconds(), Usable: e.cfg.Serves(b)})
	}
	return s
}
