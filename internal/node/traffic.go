package node

import (
	"strings"
)

// trafficPrefix is the prefix of the names of the metrics that count network traffic.
const trafficPrefix = "hillfork_network_"

// TrafficSample is the value of one counter of network traffic.
type TrafficSample struct {
	// Name is the name of the metric followed by its label values, as in "hillfork_network_bytes_total/membership/sent".
	Name  string
	Value float64
}

// Traffic returns the counters of network traffic; nil if the metrics cannot be gathered.
func (n *Node) Traffic() []TrafficSample {
	families, err := n.registry.Gather()
	if err != nil {
		return nil
	}
	var samples []TrafficSample
	for _, family := range families {
		if !strings.HasPrefix(family.GetName(), trafficPrefix) {
			continue
		}
		for _, metric := range family.GetMetric() {
			name := family.GetName()
			for _, label := range metric.GetLabel() {
				name += "/" + label.GetValue()
			}
			samples = append(samples, TrafficSample{Name: name, Value: metric.GetCounter().GetValue()})
		}
	}
	return samples
}
