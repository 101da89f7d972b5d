package cluster

import (
	"context"

	"connectrpc.com/connect"
	hillforkv1 "github.com/hillfork/hillfork/internal/gen/hillfork/v1"
	"github.com/hillfork/hillfork/internal/gen/hillfork/v1/hillforkv1connect"
	"github.com/hillfork/hillfork/internal/node"
	"github.com/hillfork/hillfork/internal/platform/connectadapter"
)

// RunningNodes returns the processes that run now, by the names of their nodes.
func (c *Cluster) RunningNodes() map[string]*node.Node {
	running := make(map[string]*node.Node, len(c.nodes))
	for _, process := range c.nodes {
		process.mu.Lock()
		if process.running != nil {
			running[process.name] = process.running
		}
		process.mu.Unlock()
	}
	return running
}

// CrashNodes ends the processes of nodes that are chosen by name and zone, all at once, and returns how many.
func (c *Cluster) CrashNodes(chosen func(name, zone string) bool) (int, error) {
	var crashed []*nodeProcess
	for _, process := range c.nodes {
		if chosen(process.name, process.zone) {
			crashed = append(crashed, process)
		}
	}
	for _, process := range crashed {
		if err := c.config.Fabric.Crash(process.host.IP); err != nil {
			return 0, err
		}
	}
	for _, process := range crashed {
		process.kill()
	}
	return len(crashed), nil
}

// StartNodes starts the nodes that do not run.
func (c *Cluster) StartNodes() error {
	for _, process := range c.nodes {
		process.mu.Lock()
		runs := process.running != nil
		process.mu.Unlock()
		if runs {
			continue
		}
		if err := process.startAnew(); err != nil {
			return err
		}
	}
	return nil
}

// Cut parts places from others until heal.
func (c *Cluster) Cut(a, b []string) (heal func(), err error) {
	return c.config.Fabric.Partition(a, b, false)
}

// LeaveEngine makes an engine leave as planned; false says that there is none of the name.
func (c *Cluster) LeaveEngine(name string) bool {
	for _, process := range c.engines {
		if process.name == name {
			c.leave(process)
			return true
		}
	}
	return false
}

// EngineNames lists the engines of a pool.
func (c *Cluster) EngineNames(pool string) []string {
	var names []string
	for _, process := range c.engines {
		if process.pool == pool {
			names = append(names, process.name)
		}
	}
	return names
}

// ServingEngines counts the engines of a pool whose new tokens come from at least a version of a model.
func (c *Cluster) ServingEngines(pool, model string, version uint64) int {
	count := 0
	for _, process := range c.engines {
		if process.pool == pool && process.engine.Serves(model) >= version {
			count++
		}
	}
	return count
}

// PublishVersion puts a version into the weight store and tells a node of it, as a trainer would.
func (c *Cluster) PublishVersion(ctx context.Context, workload, model string, version uint64) error {
	c.platform.Store.Add(model, version)
	adapter := c.adapterFrom(c.topology.PlatformZone)
	client := hillforkv1connect.NewSampleServiceClient(adapter.HTTPClient(),
		connectadapter.BaseURL(c.nodes[0].address(apiPort)), adapter.ClientOptions()...)
	_, err := client.PublishVersion(ctx, connect.NewRequest(&hillforkv1.PublishVersionRequest{Workload: workload, Version: version}))
	return err
}
