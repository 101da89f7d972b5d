package node

import (
	"github.com/hillfork/hillfork/internal/metric"
	"github.com/prometheus/client_golang/prometheus"
)

// roleCounters is a prometheus.Collector of the counters that a role maintains itself. The set of their names is constant.
type roleCounters struct {
	role string
	read func() []metric.Metric
}

func (c roleCounters) description(counter metric.Metric) *prometheus.Desc {
	return prometheus.NewDesc(metricPrefix+c.role+"_"+counter.Name, counter.Help, nil, nil)
}

// Describe implements prometheus.Collector.
func (c roleCounters) Describe(descriptions chan<- *prometheus.Desc) {
	for _, counter := range c.read() {
		descriptions <- c.description(counter)
	}
}

// Collect implements prometheus.Collector.
func (c roleCounters) Collect(metrics chan<- prometheus.Metric) {
	for _, counter := range c.read() {
		metrics <- prometheus.MustNewConstMetric(c.description(counter), prometheus.CounterValue, float64(counter.Value))
	}
}
