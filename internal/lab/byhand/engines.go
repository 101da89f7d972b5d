package byhand

import (
	"context"
	"errors"
	"net/netip"
	"time"

	"connectrpc.com/connect"

	platformv1 "github.com/hillfork/hillfork/internal/gen/platform/v1"
	"github.com/hillfork/hillfork/internal/gen/platform/v1/platformv1connect"
	"github.com/hillfork/hillfork/internal/lab/trace"
	"github.com/hillfork/hillfork/internal/network"
	"github.com/hillfork/hillfork/internal/platform"
	"github.com/hillfork/hillfork/internal/platform/connectadapter"
	"github.com/hillfork/hillfork/internal/standin/engine"
	"github.com/hillfork/hillfork/internal/standin/server"
)

// leavePoll is the time between two looks at whether a leaving engine still has work.
const leavePoll = 100 * time.Millisecond

// ErrLeaveCut says that engines still had work when the time to leave was over.
var ErrLeaveCut = errors.New("engines still had work when the time to leave was over")

// EnginesConfig describes the engines of one pool.
type EnginesConfig struct {
	Pool  string
	Count int
	// Listen is the address of the first engine, "ip:port"; each further one takes the next port. Port 0 gives all a free one.
	Listen netip.AddrPort
	// Platform is the address of the platform's services.
	Platform string
	Zone     string
	Region   string
	// Models maps each model that is served at the start to its version, which is put into the weight store.
	Models map[string]uint64
	// Slots is how many answers one engine generates at once.
	Slots int
	// TokenTime is the time of one decoding step.
	TokenTime time.Duration
}

// Engines are running engines that stand on the platform's machine list.
type Engines struct {
	adapter  *connectadapter.Adapter
	registry platformv1connect.MachineRegistryServiceClient
	engines  []*runningEngine
}

type runningEngine struct {
	engine  *engine.Engine
	server  *server.Server
	machine *platformv1.Machine
}

// StartEngines serves the engines and puts them on the machine list. Leave or Close ends them.
func StartEngines(ctx context.Context, config EnginesConfig) (*Engines, error) {
	adapter := connectadapter.New(network.System{}, connectadapter.Options{})
	e := &Engines{
		adapter: adapter,
		registry: platformv1connect.NewMachineRegistryServiceClient(adapter.HTTPClient(),
			connectadapter.BaseURL(config.Platform), adapter.ClientOptions()...),
	}
	if err := e.start(ctx, config); err != nil {
		e.Close()
		return nil, err
	}
	return e, nil
}

func (e *Engines) start(ctx context.Context, config EnginesConfig) error {
	store := e.adapter.WeightStore(config.Platform)
	for model, version := range config.Models {
		if err := store.PutVersion(ctx, model, version); err != nil {
			return err
		}
	}
	for number := range config.Count {
		running, err := startEngine(config, number, store)
		if err != nil {
			return err
		}
		e.engines = append(e.engines, running)
		if err := e.register(ctx, running); err != nil {
			return err
		}
	}
	return nil
}

func startEngine(config EnginesConfig, number int, store connectadapter.WeightStore) (*runningEngine, error) {
	name := trace.EngineName(config.Pool, number+1)
	made := engine.New(engine.Config{
		ID: name, Pool: config.Pool, Zone: config.Zone, Served: config.Models, Slots: config.Slots,
		BaseStep: config.TokenTime, Weights: store, Seed: uint64(number),
	})
	served, err := server.Start(network.System{}, addressOf(config.Listen, number).String(), made.Handler)
	if err != nil {
		made.Close()
		return nil, err
	}
	machine := &platformv1.Machine{
		Id: name, Kind: string(platform.MachineEngine), Address: served.Address(), Zone: config.Zone,
		Region: config.Region, Pool: config.Pool, State: string(platform.MachineLive),
	}
	return &runningEngine{engine: made, server: served, machine: machine}, nil
}

func addressOf(first netip.AddrPort, number int) netip.AddrPort {
	if first.Port() == 0 {
		return first
	}
	return netip.AddrPortFrom(first.Addr(), first.Port()+uint16(number))
}

func (e *Engines) register(ctx context.Context, running *runningEngine) error {
	_, err := e.registry.SetMachine(ctx, connect.NewRequest(&platformv1.SetMachineRequest{Machine: running.machine}))
	return err
}

// Addresses lists where the engines are, by number.
func (e *Engines) Addresses() []string {
	var addresses []string
	for _, running := range e.engines {
		addresses = append(addresses, running.server.Address())
	}
	return addresses
}

// Leave stops the engines as planned: they say that they leave, end their work and go off the machine list. ErrLeaveCut
// says that ctx ended before their work did. Close still has to be called.
func (e *Engines) Leave(ctx context.Context) error {
	var failures []error
	for _, running := range e.engines {
		running.engine.Leave()
		running.machine.State = string(platform.MachineLeaving)
		failures = append(failures, e.register(ctx, running))
	}
	for _, running := range e.engines {
		failures = append(failures, awaitIdle(ctx, running.engine))
	}
	for _, running := range e.engines {
		removal := connect.NewRequest(&platformv1.RemoveMachineRequest{Id: running.machine.GetId()})
		_, err := e.registry.RemoveMachine(context.WithoutCancel(ctx), removal)
		failures = append(failures, err)
	}
	return errors.Join(failures...)
}

// awaitIdle waits until a leaving engine refuses new work and has none. Status lags, so that the grace is waited for first.
func awaitIdle(ctx context.Context, leaving *engine.Engine) error {
	pause := engine.DefaultLeavingGrace + engine.DefaultStatusLag
	for {
		select {
		case <-ctx.Done():
			return ErrLeaveCut
		case <-time.After(pause):
		}
		status, err := leaving.Status(ctx)
		if err == nil && status.Running == 0 && status.Waiting == 0 {
			return nil
		}
		pause = leavePoll
	}
}

// Close ends the engines as a crash would.
func (e *Engines) Close() {
	for _, running := range e.engines {
		running.engine.Close()
		running.server.Close()
	}
	e.adapter.Close()
}
