// Package metric is how the roles of a node tell their counters, so that only the node knows the metrics library.
package metric

import "sync/atomic"

// Metric is one counter as it stands.
type Metric struct {
	// Name is without the prefix of program and role, as in "reads_total".
	Name string
	// Help says what is counted, in a sentence.
	Help  string
	Value uint64
}

// Counter is a counter with the name and help under which it is told.
type Counter struct {
	Value *atomic.Uint64
	Name  string
	Help  string
}

// Read returns the counters as they stand.
func Read(counters []Counter) []Metric {
	metrics := make([]Metric, len(counters))
	for i, counter := range counters {
		metrics[i] = Metric{Name: counter.Name, Help: counter.Help, Value: counter.Value.Load()}
	}
	return metrics
}
