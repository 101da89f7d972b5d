package node

import (
	"github.com/hillfork/hillfork/internal/membership"
	"github.com/hillfork/hillfork/internal/peer"
	"github.com/prometheus/client_golang/prometheus"
)

// metricPrefix is the prefix of all metric names of a node; the name of the role follows it.
const metricPrefix = "hillfork_"

// dropReasons are the values of the label "reason" of hillfork_membership_drops_total.
var dropReasons = []membership.DropReason{
	membership.DropMalformed, membership.DropOverBudget, membership.DropSendFailed, membership.DropTooManyFacts,
}

// newDropCounter registers the counter of what membership drops, by reason, and returns the function that increments it.
// All reasons are exported from the start.
func newDropCounter(registerer prometheus.Registerer) func(membership.DropReason) {
	drops := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: metricPrefix + "membership_drops_total",
		Help: "Datagrams and records that membership dropped, by reason.",
	}, []string{"reason"})
	registerer.MustRegister(drops)
	for _, reason := range dropReasons {
		drops.WithLabelValues(string(reason))
	}
	return func(reason membership.DropReason) { drops.WithLabelValues(string(reason)).Inc() }
}

// reading is one metric whose value is read at each collection.
type reading struct {
	kind   prometheus.ValueType
	name   string
	help   string
	labels []string
	// values are the values of the label; one empty value if there is no label.
	values []string
	read   func(value string) float64
}

// readings is a prometheus.Collector of readings.
type readings []reading

func (r reading) description() *prometheus.Desc {
	return prometheus.NewDesc(metricPrefix+r.name, r.help, r.labels, nil)
}

// Describe implements prometheus.Collector.
func (r readings) Describe(descriptions chan<- *prometheus.Desc) {
	for _, metric := range r {
		descriptions <- metric.description()
	}
}

// Collect implements prometheus.Collector.
func (r readings) Collect(metrics chan<- prometheus.Metric) {
	for _, metric := range r {
		for _, value := range metric.values {
			metrics <- prometheus.MustNewConstMetric(metric.description(), metric.kind, metric.read(value), labelValues(metric, value)...)
		}
	}
}

func labelValues(metric reading, value string) []string {
	if len(metric.labels) == 0 {
		return nil
	}
	return []string{value}
}

// plain returns a metric without labels.
func plain(kind prometheus.ValueType, name, help string, read func() float64) reading {
	return reading{kind: kind, name: name, help: help, values: []string{""}, read: func(string) float64 { return read() }}
}

// registerMetrics registers the metrics of the node and its roles.
func (n *Node) registerMetrics() {
	n.registry.MustRegister(n.nodeReadings(), n.bundleReadings(), n.memberReadings(), n.peerReadings())
	n.registry.MustRegister(
		roleCounters{role: "steps", read: n.steps.Counters().Metrics},
		roleCounters{role: "shards", read: n.shards.Counters().Metrics},
		roleCounters{role: "dispatch", read: n.dispatcher.Counters().Metrics},
	)
}

func (n *Node) nodeReadings() readings {
	return readings{
		plain(prometheus.GaugeValue, "node_ready", "1 while the node takes work, 0 while it does not.", func() float64 {
			if n.notReady() == "" {
				return 1
			}
			return 0
		}),
		plain(prometheus.GaugeValue, "shards_owned", "Shards that this node owns, engines' shards included.", func() float64 {
			return float64(len(n.shards.List()))
		}),
		plain(prometheus.GaugeValue, "dispatch_engines_owned", "Engines that this node dispatches for.", func() float64 {
			return float64(len(n.View().OwnedEngines))
		}),
	}
}

func (n *Node) bundleReadings() readings {
	return readings{
		plain(prometheus.GaugeValue, "bundle_version", "Version of the bundle in force here; 0 before the first.", func() float64 {
			return float64(n.follower.Stats().Version)
		}),
		plain(prometheus.GaugeValue, "bundle_next_offset", "Offset up to which the bundle stream is folded.", func() float64 {
			return float64(n.follower.Stats().NextOffset)
		}),
		plain(prometheus.CounterValue, "bundle_reads_total", "Reads of the bundle stream.", func() float64 {
			return float64(n.follower.Stats().Reads)
		}),
		plain(prometheus.CounterValue, "bundle_read_bytes_total", "Payload bytes that those reads returned.", func() float64 {
			return float64(n.follower.Stats().ReadBytes)
		}),
		plain(prometheus.CounterValue, "bundle_skipped_records_total", "Records of the bundle stream without effect: garbage, repeats or invalid.", func() float64 {
			return float64(n.follower.Stats().Skipped)
		}),
	}
}

func (n *Node) memberReadings() readings {
	var states []string
	for _, state := range []membership.State{
		membership.StateAlive, membership.StateSuspect, membership.StateLeaving, membership.StateDead,
	} {
		states = append(states, state.String())
	}
	return readings{{
		kind: prometheus.GaugeValue, name: "membership_members", help: "Nodes as membership sees them here, by state.",
		labels: []string{"state"}, values: states,
		read: func(state string) float64 {
			count := 0
			for _, member := range n.membership.Members() {
				if member.State.String() == state {
					count++
				}
			}
			return float64(count)
		},
	}}
}

// Values of the label "side": the two sides of a connection of the peer protocol.
const (
	clientSide = "client"
	serverSide = "server"
)

func (n *Node) peerReadings() readings {
	stats := func(side string) peer.Stats {
		if side == clientSide {
			return n.peerClient.Stats()
		}
		return n.peerServer.Stats()
	}
	bySide := func(name, help string, read func(peer.Stats) uint64) reading {
		return reading{
			kind: prometheus.CounterValue, name: name, help: help, labels: []string{"side"}, values: []string{clientSide, serverSide},
			read: func(side string) float64 { return float64(read(stats(side))) },
		}
	}
	return readings{
		bySide("peer_protocol_errors_total", "Connections closed since their bytes were not the peer protocol, by side.",
			func(s peer.Stats) uint64 { return s.ProtocolErrors }),
		bySide("peer_lost_connections_total", "Connections closed since pings were not answered, by side.",
			func(s peer.Stats) uint64 { return s.LostConnections }),
		bySide("peer_overloaded_total", "Calls refused at the limit of calls in flight, by side.",
			func(s peer.Stats) uint64 { return s.Overloaded }),
	}
}
