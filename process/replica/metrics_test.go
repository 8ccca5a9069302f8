package replica

import (
	"testing"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"marjoramtiller.example/marjoramtiller/process/consensus"
)

// Guards against a broken invariant, a slow disk or a group without progress that
// does not show in the metrics, and against counters of invariants that are exported
// only after the first violation.
func TestMetricsOfAReplica(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, "a")
	c.propose("1")
	registry := prometheus.NewPedanticRegistry()
	is.NoErr(registry.Register(c.leader()))
	families, err := registry.Gather()
	is.NoErr(err)
	series := map[string]int{}
	for _, f := range families {
		series[f.GetName()] = len(f.GetMetric())
		switch f.GetName() {
		case "marjoramtiller_group_broken_invariants_total":
			is.Equal(f.GetMetric()[0].GetCounter().GetValue(), 0.0)
		case "marjoramtiller_group_sync_seconds", "marjoramtiller_group_batch_entries":
			is.True(f.GetMetric()[0].GetHistogram().GetSampleCount() > 0)
		case "marjoramtiller_group_commit_index", "marjoramtiller_group_term", "marjoramtiller_group_applied_index":
			is.True(f.GetMetric()[0].GetGauge().GetValue() > 0)
		}
	}
	is.Equal(series["marjoramtiller_group_broken_invariants_total"], len(consensus.Invariants))
	is.Equal(len(series), 14)
}
