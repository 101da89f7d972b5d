package cluster

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/hillfork/hillfork/internal/lab/check"
	"github.com/hillfork/hillfork/internal/lab/trace"
	"github.com/hillfork/hillfork/internal/platform"
	"github.com/hillfork/hillfork/internal/platform/connectadapter"
	"github.com/hillfork/hillfork/internal/standin/engine"
	"github.com/hillfork/hillfork/internal/standin/server"
)

const enginePort = "7600"

// leavingGrace is how long a leaving engine still takes what it is given. It is long, so that the promise that it is given
// nothing is hillfork's to keep and not the engine's.
const leavingGrace = time.Hour

// engineProcess is one engine on its host.
type engineProcess struct {
	name    string
	pool    string
	zone    string
	host    Host
	address string
	engine  *engine.Engine
	weights *connectadapter.Adapter

	mu     sync.Mutex
	server *server.Server
}

func (c *Cluster) startEngines(context.Context) error {
	for _, group := range c.topology.Engines {
		for number := 1; number <= group.Count; number++ {
			zone := group.Zones[(number-1)%len(group.Zones)]
			process := c.newEngine(group, trace.EngineName(group.Pool, number), zone, uint64(len(c.engines)))
			if err := process.serve(); err != nil {
				return err
			}
			c.engines = append(c.engines, process)
			c.platform.Machines.Set(c.machineOf(process))
		}
		for model, version := range group.Models {
			c.platform.Store.Add(model, version)
		}
	}
	return nil
}

func (c *Cluster) newEngine(group trace.EngineGroup, name, zone string, number uint64) *engineProcess {
	host := c.newHost(zone, false)
	weights := connectadapter.New(host.Network, connectadapter.Options{})
	process := &engineProcess{
		name: name, pool: group.Pool, zone: zone, host: host, weights: weights,
		address: net.JoinHostPort(host.IP, enginePort),
	}
	process.engine = engine.New(engine.Config{
		ID: name, Pool: group.Pool, Zone: zone, Served: group.Models, Slots: group.Slots,
		MemoryTokens:    group.CacheTokens,
		BaseStep:        time.Duration(group.TokenTime),
		PerStreamStep:   time.Duration(group.StreamTime),
		PrefillPerToken: time.Duration(group.PrefillTime),
		StatusLag:       time.Duration(group.StatusLag),
		LeavingGrace:    leavingGrace,
		ChunkInterval:   time.Duration(group.ChunkInterval),
		SwapPause:       time.Duration(group.SwapPause),
		Weights:         weights.WeightStore(c.platform.Address),
		Observer:        engineObserver{c.config.Recorder},
		Seed:            c.topology.Seed + number,
	})
	return process
}

func (c *Cluster) machineOf(process *engineProcess) platform.Machine {
	return platform.Machine{
		ID: process.name, Kind: platform.MachineEngine, Address: process.address, Zone: process.zone,
		Region: c.regions[process.zone], Pool: process.pool, State: platform.MachineLive,
	}
}

func (p *engineProcess) serve() error {
	served, err := server.Start(p.host.Network, p.address, p.engine.Handler)
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.server = served
	return nil
}

// crash loses the engine's state and cuts its connections.
func (p *engineProcess) crash() {
	p.engine.Crash()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.server.Close()
}

func (p *engineProcess) restart() error {
	p.engine.Restart()
	return p.serve()
}

func (p *engineProcess) close() {
	p.engine.Close()
	p.mu.Lock()
	p.server.Close()
	p.mu.Unlock()
	p.weights.Close()
}

// engineObserver records what engines run.
type engineObserver struct {
	recorder *check.Recorder
}

func (o engineObserver) Received(engine, requestID string, attempt uint32, at time.Time) {
	o.recorder.Received(engine, requestID, attempt, at)
}

func (o engineObserver) Started(engine, requestID string, attempt uint32, content uint64, at time.Time) {
	o.recorder.Started(engine, requestID, attempt, content, at)
}

func (o engineObserver) Produced(engine, requestID string, attempt uint32, index, count int, version uint64) {
	o.recorder.Produced(engine, requestID, attempt, index, count, version)
}
