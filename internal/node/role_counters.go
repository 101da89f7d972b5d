package node

import (
	"github.com/hillfork/hillfork/internal/dispatch"
	"github.com/hillfork/hillfork/internal/shard"
	"github.com/hillfork/hillfork/internal/stepledger"
	"github.com/prometheus/client_golang/prometheus"
)

// count is one counter of a role as it stands.
type count struct {
	name  string
	help  string
	value uint64
}

// roleCounters is a prometheus.Collector of the counters that a role keeps itself. The set of names never changes.
type roleCounters struct {
	role string
	read func() []count
}

func (c roleCounters) description(counter count) *prometheus.Desc {
	return prometheus.NewDesc(metricPrefix+c.role+"_"+counter.name, counter.help, nil, nil)
}

// Describe fills prometheus.Collector.
func (c roleCounters) Describe(descriptions chan<- *prometheus.Desc) {
	for _, counter := range c.read() {
		descriptions <- c.description(counter)
	}
}

// Collect fills prometheus.Collector.
func (c roleCounters) Collect(metrics chan<- prometheus.Metric) {
	for _, counter := range c.read() {
		metrics <- prometheus.MustNewConstMetric(c.description(counter), prometheus.CounterValue, float64(counter.value))
	}
}

func (n *Node) stepMetrics() []count {
	return countsOf(n.steps.Counters().Metrics(), func(m stepledger.Metric) count { return count{m.Name, m.Help, m.Value} })
}

func (n *Node) shardMetrics() []count {
	return countsOf(n.shards.Counters().Metrics(), func(m shard.Metric) count { return count{m.Name, m.Help, m.Value} })
}

func (n *Node) dispatchMetrics() []count {
	return countsOf(n.dispatcher.Counters().Metrics(), func(m dispatch.Metric) count { return count{m.Name, m.Help, m.Value} })
}

func countsOf[M any](metrics []M, convert func(M) count) []count {
	counts := make([]count, len(metrics))
	for i, metric := range metrics {
		counts[i] = convert(metric)
	}
	return counts
}
