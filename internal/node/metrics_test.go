package node

import (
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/hillfork/hillfork/internal/network"
	"github.com/hillfork/hillfork/internal/settings"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
)

// metricsPage is the page of the operators' documentation that lists the metrics.
const metricsPage = "../../docs/operators/metrics.md"

var (
	describedName = regexp.MustCompile(`fqName: "(hillfork_[a-z_]+)", help: "([^"]*)"`)
	pageName      = regexp.MustCompile("(?m)^\\| `(hillfork_[a-z_]+)")
)

// registered returns the help texts of the metrics that a new node registers, by metric name.
func registered(t *testing.T) map[string]string {
	t.Helper()
	is := is.New(t)
	const anyPort = "127.0.0.1:0"
	n, err := New(Config{
		Network: network.System{}, Incarnation: 1,
		Settings: &settings.Settings{
			Node: "n1", Zone: "z1", Region: "r1", APIListen: anyPort, PeerListen: anyPort, GossipListen: anyPort, MetricsListen: anyPort,
			PeerAdvertise: "127.0.0.1:1", GossipAdvertise: "127.0.0.1:2",
			LogAddress: "127.0.0.1:3", WeightsAddress: "127.0.0.1:3", MachinesAddress: "127.0.0.1:3",
		},
	})
	is.NoErr(err)
	n.Kill()
	is.Equal(n.Run(t.Context()), errKilled)
	_, err = n.registry.Gather()
	is.NoErr(err)
	descriptions := make(chan *prometheus.Desc)
	go func() {
		n.registry.Describe(descriptions)
		close(descriptions)
	}()
	names := make(map[string]string)
	for description := range descriptions {
		if match := describedName.FindStringSubmatch(description.String()); match != nil {
			names[match[1]] = match[2]
		}
	}
	return names
}

// TestMetricsPageMatchesRegisteredMetrics checks that the operators' page lists every metric that a node registers and no
// other.
func TestMetricsPageMatchesRegisteredMetrics(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile(metricsPage)
	is.NoErr(err)
	names := registered(t)
	is.True(len(names) > 60) // the metrics of all roles are registered
	described := make(map[string]bool)
	for _, match := range pageName.FindAllStringSubmatch(string(page), -1) {
		described[match[1]] = true
	}
	for name, help := range names {
		if !described[name] {
			t.Errorf("%s is not on the page", name)
		}
		if !strings.HasSuffix(help, ".") {
			t.Errorf("help of %s does not end with a full stop: %q", name, help)
		}
	}
	for name := range described {
		if _, found := names[name]; !found {
			t.Errorf("the page describes %s, which no node registers", name)
		}
	}
}
