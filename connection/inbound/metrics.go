package inbound

import (
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
)

const refusalLogInterval = time.Second

// metrics counts refusals and closed connections and logs them, with at most one line in
// refusalLogInterval.
type metrics struct {
	log         zerolog.Logger
	reserved    prometheus.GaugeFunc
	limit       prometheus.Gauge
	refusals    *prometheus.CounterVec
	closures    *prometheus.CounterVec
	connections *connectionsCollector

	mu      sync.Mutex
	logged  time.Time
	pending map[string]int // events since the last log line
}

func newMetrics(m *memory, budget string, log zerolog.Logger) *metrics {
	labels := prometheus.Labels{"budget": budget}
	limit := prometheus.NewGauge(prometheus.GaugeOpts{
		ConstLabels: labels, Name: "marjoramtiller_inbound_budget_bytes", Help: "Bytes that the process may hold for requests, 0 without a limit."})
	limit.Set(float64(m.budget.limit))
	return &metrics{
		log: log, limit: limit, pending: map[string]int{},
		reserved: prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			ConstLabels: labels, Name: "marjoramtiller_inbound_reserved_bytes", Help: "Bytes reserved for requests."}, func() float64 { return float64(m.reserved()) }),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			ConstLabels: labels, Name: "marjoramtiller_inbound_refusals_total", Help: "Requests refused before they were carried out, by reason."}, []string{"reason"}),
		closures: prometheus.NewCounterVec(prometheus.CounterOpts{
			ConstLabels: labels, Name: "marjoramtiller_inbound_connections_closed_total", Help: "Connections closed by the limits, by listener and reason."}, []string{"listener", "reason"}),
		connections: &connectionsCollector{counts: map[string]func() int{},
			desc: prometheus.NewDesc("marjoramtiller_inbound_connections", "Open connections by listener.", []string{"listener"}, labels)},
	}
}

func (m *metrics) collectors() []prometheus.Collector {
	return []prometheus.Collector{m.reserved, m.limit, m.refusals, m.closures, m.connections}
}

func (m *metrics) refused(why reason) {
	m.refusals.WithLabelValues(string(why)).Inc()
	m.record("refused_" + string(why))
}

func (m *metrics) closed(listener, why string) {
	m.closures.WithLabelValues(listener, why).Inc()
	m.record("closed_" + why)
}

func (m *metrics) watchConnections(listener string, count func() int) {
	m.connections.add(listener, count)
}

// record counts an event for the next log line, and writes it if the last one is old enough.
func (m *metrics) record(event string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.pending[event]++
	now := time.Now()
	if now.Sub(m.logged) < refusalLogInterval {
		return
	}
	m.logged = now
	line := m.log.Warn()
	for name, count := range m.pending {
		line = line.Int(name, count)
	}
	line.Msg("requests refused or connections closed to stay within the limits of the process")
	clear(m.pending)
}

// connectionsCollector reports the open connections of the listeners.
type connectionsCollector struct {
	desc *prometheus.Desc

	mu     sync.Mutex
	counts map[string]func() int
}

func (c *connectionsCollector) add(listener string, count func() int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[listener] = count
}

// Describe implements prometheus.Collector.
func (c *connectionsCollector) Describe(ch chan<- *prometheus.Desc) { ch <- c.desc }

// Collect implements prometheus.Collector.
func (c *connectionsCollector) Collect(ch chan<- prometheus.Metric) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for listener, count := range c.counts {
		ch <- prometheus.MustNewConstMetric(c.desc, prometheus.GaugeValue, float64(count()), listener)
	}
}
