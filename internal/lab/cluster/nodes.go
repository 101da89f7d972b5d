package cluster

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/hillfork/hillfork/internal/errorlog"
	"github.com/hillfork/hillfork/internal/lab/check"
	"github.com/hillfork/hillfork/internal/lab/trace"
	"github.com/hillfork/hillfork/internal/node"
	"github.com/hillfork/hillfork/internal/platform"
	"github.com/hillfork/hillfork/internal/settings"
)

// Ports of a node.
const (
	apiPort     = "7400"
	peerPort    = "7401"
	gossipPort  = "7402"
	metricsPort = "7403"
)

// labDrainTimeout is how long a planned stop may take in the lab.
const labDrainTimeout = 10 * time.Minute

// nodeProcess is one node's host, with the process that runs on it, if any.
type nodeProcess struct {
	cluster *Cluster
	name    string
	zone    string
	host    Host

	mu          sync.Mutex
	running     *node.Node
	ended       chan struct{}
	incarnation int
	// armed names the failpoint at which the process crashes next; empty for none.
	armed   string
	mayMiss bool

	// hindrances is guarded by the recorder.
	hindrances map[hindrance]int
}

func (c *Cluster) startNodes(context.Context) error {
	for _, region := range c.topology.Regions {
		for _, zone := range region.Zones {
			for number := 1; number <= zone.Nodes; number++ {
				c.nodes = append(c.nodes, &nodeProcess{
					cluster: c, name: trace.NodeName(zone.Name, number), zone: zone.Name, host: c.newHost(zone.Name, false),
					hindrances: make(map[hindrance]int),
				})
			}
		}
	}
	for _, process := range c.nodes {
		c.platform.Machines.Set(process.machine(platform.MachineLive))
	}
	for _, process := range c.nodes {
		if err := process.start(); err != nil {
			return err
		}
	}
	return nil
}

func (p *nodeProcess) machine(state platform.MachineState) platform.Machine {
	return platform.Machine{
		ID: p.name, Kind: platform.MachineNode, Address: p.address(gossipPort), Zone: p.zone,
		Region: p.cluster.regions[p.zone], State: state,
	}
}

func (p *nodeProcess) address(port string) string { return net.JoinHostPort(p.host.IP, port) }

// start runs a new process on the host.
func (p *nodeProcess) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running != nil {
		return nil
	}
	started, err := node.New(node.Config{
		Settings:    p.settings(),
		Network:     p.host.Network,
		Incarnation: uint64(time.Now().UnixNano()),
		Logger:      p.cluster.config.Logger,
		Policy:      p.cluster.config.Policy,
		Failpoint:   p.reach,
		Mutations:   p.cluster.config.Mutations,
	})
	if err != nil {
		return fmt.Errorf("node %s: %w", p.name, err)
	}
	p.running = started
	p.incarnation++
	ended := make(chan struct{})
	p.ended = ended
	p.cluster.running.Go(func() {
		defer close(ended)
		err := started.Run(context.Background())
		p.mu.Lock()
		p.running = nil
		p.mu.Unlock()
		p.stopEnded()
		p.unreachable(processDown)
		p.cluster.noteNodeEnd(p, err)
	})
	p.reachable(processDown)
	return nil
}

func (p *nodeProcess) settings() *settings.Settings {
	platformAddress := p.cluster.platform.Address
	var seeds []string
	for _, other := range p.cluster.nodes {
		if other != p && len(seeds) < maxSeeds {
			seeds = append(seeds, other.address(gossipPort))
		}
	}
	return &settings.Settings{
		Node: p.name, Zone: p.zone, Region: p.cluster.regions[p.zone],
		APIListen: p.address(apiPort), PeerListen: p.address(peerPort),
		GossipListen: p.address(gossipPort), MetricsListen: p.address(metricsPort),
		PeerAdvertise: p.address(peerPort), GossipAdvertise: p.address(gossipPort),
		LogAddress: platformAddress, WeightsAddress: platformAddress, MachinesAddress: platformAddress,
		ScorerAddress: platformAddress,
		Seeds:         seeds,
		TrustedKeys:   p.cluster.keys.Trusted(),
		DrainTimeout:  labDrainTimeout,
	}
}

// maxSeeds is how many other nodes each node is told of at its start.
const maxSeeds = 3

// kill ends the process as a crash would, and waits for it.
func (p *nodeProcess) kill() {
	p.mu.Lock()
	running, ended := p.running, p.ended
	p.mu.Unlock()
	if running == nil {
		return
	}
	running.Kill()
	<-ended
}

// crash cuts the host off first, so that nothing of the process's end can be seen, then ends the process.
func (p *nodeProcess) crash() error {
	p.unreachable(processDown)
	p.reachable(processPaused)
	if err := p.cluster.config.Fabric.Crash(p.host.IP); err != nil {
		return err
	}
	p.kill()
	return nil
}

// replace starts a new process under the node's name. One that still drains is waited for, since a host runs one process.
func (p *nodeProcess) replace(ctx context.Context) error {
	if p.disarm() {
		return nil
	}
	p.mu.Lock()
	draining, ended := p.running != nil, p.ended
	p.mu.Unlock()
	if !draining {
		return p.startAnew()
	}
	p.cluster.running.Go(func() {
		select {
		case <-ended:
		case <-ctx.Done():
			return
		}
		if err := p.startAnew(); err != nil {
			p.cluster.noteNodeEnd(p, err)
		}
	})
	return nil
}

func (p *nodeProcess) startAnew() error {
	restarted, err := p.cluster.config.Fabric.Restart(p.host.IP)
	if err != nil {
		return err
	}
	p.host.Network = restarted
	p.cluster.platform.Machines.Set(p.machine(platform.MachineLive))
	return p.start()
}

// stop begins a planned stop and returns at once.
func (p *nodeProcess) stop() {
	p.cluster.platform.Machines.MarkLeaving(p.name)
	p.cluster.config.Recorder.Record(func(o *check.Observations) {
		o.Stops = append(o.Stops, check.Stop{Name: p.name, At: time.Now()})
	})
	p.mu.Lock()
	running := p.running
	p.mu.Unlock()
	if running != nil {
		running.Stop()
	}
}

// stopEnded notes the end of the planned stop under way, if there is one.
func (p *nodeProcess) stopEnded() {
	p.cluster.config.Recorder.Record(func(o *check.Observations) {
		for i := range o.Stops {
			if o.Stops[i].Name == p.name && o.Stops[i].EndedAt.IsZero() {
				o.Stops[i].EndedAt = time.Now()
			}
		}
	})
}

// hindrance is why a node cannot be reached, or cannot reach the log.
type hindrance string

const (
	processDown   hindrance = "process down"
	processPaused hindrance = "process paused"
	// partitioned may be in force several times at once.
	partitioned hindrance = "partitioned"
)

// unreachable notes that what the node says or does not say from now on is no fault of its.
func (p *nodeProcess) unreachable(why hindrance) {
	p.cluster.config.Recorder.Record(func(o *check.Observations) {
		if len(p.hindrances) == 0 {
			o.Unreachable[p.name] = append(o.Unreachable[p.name], check.Interval{From: time.Now()})
		}
		if why == partitioned {
			p.hindrances[why]++
			return
		}
		p.hindrances[why] = 1
		p.cluster.noteForgotten(o)
	})
}

// reachable ends one hindrance; the node can be reached again when none is left.
func (p *nodeProcess) reachable(why hindrance) {
	p.cluster.config.Recorder.Record(func(o *check.Observations) {
		if p.hindrances[why] == 0 {
			return
		}
		p.hindrances[why]--
		if p.hindrances[why] > 0 {
			return
		}
		delete(p.hindrances, why)
		intervals := o.Unreachable[p.name]
		if len(p.hindrances) == 0 {
			intervals[len(intervals)-1].To = time.Now()
		}
	})
}

func (c *Cluster) noteNodeEnd(p *nodeProcess, err error) {
	if c.config.Logger != nil && err != nil {
		errorlog.Warn(c.config.Logger, "node ended", err, "node", p.name)
	}
}

// Metrics returns the sums over all nodes of the counters of network traffic, by name, mechanism and direction.
func (c *Cluster) Metrics() map[string]float64 {
	totals := make(map[string]float64)
	for _, process := range c.nodes {
		process.mu.Lock()
		running := process.running
		process.mu.Unlock()
		if running == nil {
			continue
		}
		for _, sample := range running.Traffic() {
			totals[sample.Name] += sample.Value
		}
	}
	return totals
}
