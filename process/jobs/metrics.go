package jobs

import (
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"marjoramtiller.example/marjoramtiller/job/orders"
)

// controlMetrics are the metrics of a control process.
type controlMetrics struct {
	orders        *prometheus.CounterVec
	commitSeconds prometheus.Histogram
	startSeconds  prometheus.Histogram
	workersEnded  *prometheus.CounterVec
	runsLost      *prometheus.CounterVec
	tasksGivenUp  prometheus.Counter
	// changesRejected counts the changes that the log can't hold.
	changesRejected prometheus.Counter
	// changesOverBudget counts the changes refused until the log has space for them.
	changesOverBudget prometheus.Counter
	// unplacedRuns counts the stops of runs that a worker lists and the log does not place there.
	unplacedRuns prometheus.Counter
	// callsUnauthorized counts the calls that were refused for want of a valid API key.
	callsUnauthorized *prometheus.CounterVec
	adviceCalls       prometheus.Gauge // calls to the advisor in flight
	adviceFailed      prometheus.Counter
	adviceWait        prometheus.Gauge // time for which a step has waited longest for advice
}

func newControlMetrics() *controlMetrics {
	return &controlMetrics{
		orders: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "marjoramtiller_jobs_orders_total", Help: "Orders by kind and outcome."}, []string{"kind", "outcome"}),
		commitSeconds: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "marjoramtiller_jobs_commit_seconds", Help: "Time from a log entry's proposal to its result.",
			Buckets: prometheus.ExponentialBuckets(0.002, 2, 12)}),
		startSeconds: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "marjoramtiller_jobs_start_seconds", Help: "Time from a start order to its answer.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 12)}),
		workersEnded: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "marjoramtiller_jobs_workers_ended_total", Help: "Worker processes that have ended, by cause."}, []string{"cause"}),
		runsLost: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "marjoramtiller_jobs_runs_lost_total", Help: "Runs that were lost with their worker, by the cause of its end."}, []string{"cause"}),
		tasksGivenUp: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "marjoramtiller_jobs_tasks_given_up_total", Help: "Tasks that were given up because they crash the workers that start them."}),
		changesRejected: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "marjoramtiller_jobs_changes_rejected_total", Help: "Changes that were rejected because the log can't hold them."}),
		changesOverBudget: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "marjoramtiller_jobs_changes_over_disk_budget_total", Help: "Changes that were refused because the log has used up its part of the disk."}),
		unplacedRuns: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "marjoramtiller_jobs_unplaced_runs_stopped_total", Help: "Stops of runs that a worker lists and the log does not place there."}),
		callsUnauthorized: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "marjoramtiller_jobs_calls_unauthorized_total", Help: "Calls refused because of their API key: missing, unknown or revoked."}, []string{"key"}),
		adviceCalls: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "marjoramtiller_jobs_advice_calls", Help: "Calls to the advisor without an answer."}),
		adviceFailed: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "marjoramtiller_jobs_advice_calls_failed_total", Help: "Calls to the advisor that failed or were given up."}),
		adviceWait: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "marjoramtiller_jobs_advice_wait_seconds", Help: "Time for which a step without tickets has waited longest for the advisor."}),
	}
}

// order counts an order by its kind and outcome.
func (m *controlMetrics) order(kind string, err error) {
	outcome := "confirmed"
	var refused *orders.RefusedError
	switch {
	case errors.As(err, &refused):
		outcome = "refused"
	case err != nil:
		outcome = "unanswered"
	}
	m.orders.WithLabelValues(kind, outcome).Inc()
}

// Collectors returns the metrics of a control process.
func (c *Control) Collectors() []prometheus.Collector {
	return []prometheus.Collector{c.metrics.orders, c.metrics.commitSeconds, c.metrics.startSeconds, c.metrics.workersEnded, c.metrics.runsLost, c.metrics.tasksGivenUp,
		c.metrics.changesRejected, c.metrics.changesOverBudget, c.metrics.unplacedRuns, c.metrics.callsUnauthorized,
		c.metrics.adviceCalls, c.metrics.adviceFailed, c.metrics.adviceWait, c.replica}
}
