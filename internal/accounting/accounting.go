// Package accounting counts the network traffic of control work on a node, by mechanism and separately from the data path:
// bytes and messages in each direction.
package accounting

import (
	"strings"

	"github.com/hillfork/hillfork/internal/peerapi"
	"github.com/prometheus/client_golang/prometheus"
)

// Mechanism is a kind of work that causes network traffic.
type Mechanism string

// Mechanisms. Data is the traffic of prompts and answers; all others are control work.
const (
	Membership  Mechanism = "membership"
	Bundle      Mechanism = "bundle"
	Shards      Mechanism = "shards"
	Machines    Mechanism = "machines"
	Weights     Mechanism = "weights"
	EngineState Mechanism = "engine_state"
	WorkPull    Mechanism = "work_pull"
	Admin       Mechanism = "admin"
	Data        Mechanism = "data"
)

// Direction of bytes.
const (
	sent     = "sent"
	received = "received"
)

// Counters counts bytes and messages by mechanism. It is safe for concurrent use.
type Counters struct {
	bytes    *prometheus.CounterVec
	messages *prometheus.CounterVec
}

// New returns counters that are registered with registerer.
func New(registerer prometheus.Registerer) *Counters {
	counters := &Counters{
		bytes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "hillfork_network_bytes_total",
			Help: "Bytes of messages by mechanism and direction; mechanism data is the data path, all others are control work.",
		}, []string{"mechanism", "direction"}),
		messages: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "hillfork_network_messages_total",
			Help: "Messages by mechanism and direction.",
		}, []string{"mechanism", "direction"}),
	}
	registerer.MustRegister(counters.bytes, counters.messages)
	return counters
}

// Sent counts one message sent.
func (c *Counters) Sent(mechanism Mechanism, bytes int) { c.add(mechanism, sent, bytes) }

// Received counts one message received.
func (c *Counters) Received(mechanism Mechanism, bytes int) { c.add(mechanism, received, bytes) }

func (c *Counters) add(mechanism Mechanism, direction string, bytes int) {
	c.bytes.WithLabelValues(string(mechanism), direction).Add(float64(bytes))
	c.messages.WithLabelValues(string(mechanism), direction).Inc()
}

// PeerBytes counts a frame of the peer protocol; it implements peer.Observer.
func (c *Counters) PeerBytes(method string, sentBytes, receivedBytes int) {
	mechanism := mechanismOf(method)
	if sentBytes > 0 {
		c.Sent(mechanism, sentBytes)
	}
	if receivedBytes > 0 {
		c.Received(mechanism, receivedBytes)
	}
}

var methodMechanisms = map[string]Mechanism{
	peerapi.MethodPullWork:    WorkPull,
	peerapi.MethodReportWork:  WorkPull,
	peerapi.MethodGetBundle:   Bundle,
	peerapi.MethodListEngines: Admin,
	peerapi.MethodListShards:  Admin,
	peerapi.MethodListSteps:   Admin,
	peerapi.MethodNodeStatus:  Admin,
	peerapi.MethodDrain:       Admin,
}

func mechanismOf(method string) Mechanism {
	if mechanism, found := methodMechanisms[method]; found {
		return mechanism
	}
	if method == "" {
		return Membership
	}
	return Data
}

// MechanismOfStream returns the mechanism to which a log stream belongs.
func MechanismOfStream(stream string) Mechanism {
	switch {
	case strings.HasPrefix(stream, "bundles"):
		return Bundle
	case strings.HasPrefix(stream, "engines/"):
		return Shards
	default:
		return Data
	}
}
