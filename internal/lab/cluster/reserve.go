package cluster

import (
	"net"

	"github.com/hillfork/hillfork/internal/platform"
	"github.com/hillfork/hillfork/internal/settings"
)

// Reserve makes room for a node that runs in a process of its own: it gets a host in a zone and stands on the machine
// list. The settings returned are those the process must be started with.
func (c *Cluster) Reserve(name, zone string) *settings.Settings {
	process := &nodeProcess{cluster: c, name: name, zone: zone, host: c.newHost(zone, false)}
	c.platform.Machines.Set(process.machine(platform.MachineLive))
	return process.settings()
}

// MetricsAddress is where a node with these settings serves its metrics.
func MetricsAddress(s *settings.Settings) string {
	ip, _, _ := net.SplitHostPort(s.APIListen)
	return net.JoinHostPort(ip, metricsPort)
}
