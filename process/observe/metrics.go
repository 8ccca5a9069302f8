package observe

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// maxConcurrentScrapes bounds the concurrent requests for metrics of one process.
const maxConcurrentScrapes = 4

// NewRegistry returns a registry with the metrics of the Go runtime, the process
// and the build.
func NewRegistry() *prometheus.Registry {
	r := prometheus.NewRegistry()
	r.MustRegister(collectors.NewGoCollector())
	r.MustRegister(collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	b := ReadBuild()
	info := prometheus.NewGauge(prometheus.GaugeOpts{
		Name:        "marjoramtiller_build_info",
		Help:        "Always 1; the labels describe the build.",
		ConstLabels: prometheus.Labels{"version": b.Version, "revision": b.Revision, "go": b.Go},
	})
	info.Set(1)
	r.MustRegister(info)
	return r
}

// MetricsHandler serves the registry's metrics.
func MetricsHandler(r *prometheus.Registry) http.Handler {
	return promhttp.HandlerFor(r, promhttp.HandlerOpts{MaxRequestsInFlight: maxConcurrentScrapes})
}
