// Package metric defines how the roles of a node publish their counters, so that only the node depends on the metrics library.
package metric

import "sync/atomic"

// Metric is the value of one counter at the time of reading.
type Metric struct {
	// Name excludes the prefix of program and role, as in "reads_total".
	Name string
	// Help describes in one sentence what is counted.
	Help  string
	Value uint64
}

// Counter is a counter with the name and help text under which it is published.
type Counter struct {
	Value *atomic.Uint64
	Name  string
	Help  string
}

// Read returns the current values of the counters.
func Read(counters []Counter) []Metric {
	metrics := make([]Metric, len(counters))
	for i, counter := range counters {
		metrics[i] = Metric{Name: counter.Name, Help: counter.Help, Value: counter.Value.Load()}
	}
	return metrics
}
