package control

import (
	"sort"

	"github.com/prometheus/client_golang/prometheus"
)

// metrics exports the gauges of the replicas and the leader. It reads the values at
// each scrape.
type metrics struct {
	server   *Server
	version  *prometheus.Desc
	leader   *prometheus.Desc
	sessions *prometheus.Desc
	live     *prometheus.Desc
}

func newMetrics(s *Server, r prometheus.Registerer) *metrics {
	group := []string{"group"}
	m := &metrics{
		server:   s,
		version:  prometheus.NewDesc("marjoramtiller_configuration_version", "Configuration version applied by this process.", nil, nil),
		leader:   prometheus.NewDesc("marjoramtiller_group_leader", "1 while this process leads the group.", group, nil),
		sessions: prometheus.NewDesc("marjoramtiller_entry_sessions", "Entry sessions known to this leader.", nil, nil),
		live:     prometheus.NewDesc("marjoramtiller_live_backend_servers", "Backend servers with a valid lease at this leader.", nil, nil),
	}
	if r != nil {
		r.MustRegister(m)
	}
	return m
}

// Describe implements prometheus.Collector.
func (m *metrics) Describe(ch chan<- *prometheus.Desc) { prometheus.DescribeByCollect(m, ch) }

// Collect implements prometheus.Collector.
func (m *metrics) Collect(ch chan<- prometheus.Metric) {
	ch <- prometheus.MustNewConstMetric(m.version, prometheus.GaugeValue, float64(m.server.version.Load()))
	for _, name := range m.server.groupNames() {
		lead := 0.0
		if isLeader(m.server.groups[name]) {
			lead = 1
		}
		ch <- prometheus.MustNewConstMetric(m.leader, prometheus.GaugeValue, lead, name)
		m.server.groups[name].Collect(ch)
	}
	m.server.mu.Lock()
	defer m.server.mu.Unlock()
	if t := m.server.term; t != nil && isLeader(m.server.fleet) {
		ch <- prometheus.MustNewConstMetric(m.sessions, prometheus.GaugeValue, float64(len(t.lease.Sessions())))
		ch <- prometheus.MustNewConstMetric(m.live, prometheus.GaugeValue, float64(len(t.live.added)))
	}
}

// groupNames returns the names of this process's groups, sorted.
func (s *Server) groupNames() []string {
	names := make([]string, 0, len(s.groups))
	for name := range s.groups {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
