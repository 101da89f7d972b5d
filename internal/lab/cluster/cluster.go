package cluster

import (
	"context"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/hillfork/hillfork/internal/lab/check"
	"github.com/hillfork/hillfork/internal/lab/trace"
	"github.com/hillfork/hillfork/internal/mutation"
	"github.com/hillfork/hillfork/internal/platform/connectadapter"
	"github.com/hillfork/hillfork/internal/policy"
)

// Config is what a cluster is stood up from.
type Config struct {
	Trace    *trace.Trace
	Fabric   Fabric
	Recorder *check.Recorder
	// Policy chooses how the nodes hand work out.
	Policy policy.Settings
	// Mutations switches mechanisms of the nodes off; only tests set it.
	Mutations mutation.Set
	// Logger gets the nodes' logs; nil discards them.
	Logger *log.Logger
}

// Cluster is a whole deployment, with everything outside it.
type Cluster struct {
	config   Config
	topology *trace.Topology
	keys     *Keys
	platform *Platform
	regions  map[string]string

	nodes   []*nodeProcess
	engines []*engineProcess
	client  clientSide

	started time.Time
	// logDownUntil is guarded by the recorder.
	logDownUntil time.Time
	running      sync.WaitGroup
}

// clientSide is the operators' and callers' view of the cluster, from hosts outside the machine rooms.
type clientSide struct {
	// mu guards adapters; trainers does not change after New.
	mu       sync.Mutex
	adapters map[string]*connectadapter.Adapter
	trainers map[string]*trainerProcess
}

// New stands the platform, engines and nodes up. Start sets the work going; Close ends everything.
func New(ctx context.Context, config Config) (*Cluster, error) {
	topology := &config.Trace.Topology
	c := &Cluster{
		config:   config,
		topology: topology,
		keys:     NewKeys(topology.Seed, config.Trace.Bundles),
		regions:  regionsOf(topology),
		started:  time.Now(),
	}
	c.client.adapters = make(map[string]*connectadapter.Adapter)
	c.client.trainers = make(map[string]*trainerProcess)
	steps := []func(context.Context) error{c.startPlatform, c.startEngines, c.startNodes, c.makeTrainers}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			c.Close()
			return nil, err
		}
	}
	return c, nil
}

func regionsOf(topology *trace.Topology) map[string]string {
	regions := make(map[string]string)
	for _, region := range topology.Regions {
		for _, zone := range region.Zones {
			regions[zone.Name] = region.Name
		}
	}
	return regions
}

func (c *Cluster) startPlatform(context.Context) error {
	host := c.newHost(c.topology.PlatformZone, false)
	var err error
	c.platform, err = newPlatform(host, c.topology, c.keys, c.config.Recorder)
	return err
}

func (c *Cluster) newHost(zone string, client bool) Host {
	return c.config.Fabric.NewHost(Place{Zone: zone, Region: c.regions[zone], Client: client})
}

// Close kills whatever still runs and waits for it.
func (c *Cluster) Close() {
	for _, process := range c.nodes {
		process.kill()
	}
	for _, process := range c.engines {
		process.close()
	}
	if c.platform != nil {
		c.platform.close()
	}
	c.running.Wait()
	for _, adapter := range c.client.adapters {
		adapter.Close()
	}
}

// adapterFrom returns the HTTP side of a client host in a zone; one host a zone serves all its clients.
func (c *Cluster) adapterFrom(zone string) *connectadapter.Adapter {
	c.client.mu.Lock()
	defer c.client.mu.Unlock()
	adapter, found := c.client.adapters[zone]
	if !found {
		adapter = connectadapter.New(c.newHost(zone, true).Network, connectadapter.Options{})
		c.client.adapters[zone] = adapter
	}
	return adapter
}

// gatewaysNear lists the addresses of all nodes, those of the zone first, then those of its region.
func (c *Cluster) gatewaysNear(zone string) []*nodeProcess {
	var near, region, far []*nodeProcess
	for _, process := range c.nodes {
		switch {
		case process.zone == zone:
			near = append(near, process)
		case c.regions[process.zone] == c.regions[zone]:
			region = append(region, process)
		default:
			far = append(far, process)
		}
	}
	return append(append(near, region...), far...)
}
