package gateway

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/hillfork/hillfork/internal/bundle"
	"github.com/hillfork/hillfork/internal/peer"
	"github.com/hillfork/hillfork/internal/peerapi"
	"github.com/hillfork/hillfork/internal/placement"
	"github.com/hillfork/hillfork/internal/platform"
	"github.com/hillfork/hillfork/internal/policy"
)

const (
	// hintSlots is the slot count to which loads, received as a ratio, are scaled.
	hintSlots = 8
	// hintHalfLife is the half-life of a load hint.
	hintHalfLife = 2 * time.Second
	// failurePenalty is the load assumed for an engine right after a failed attempt.
	failurePenalty = 4.0
	// enginePrefix is the prefix of the key under which an engine's owner is looked up.
	enginePrefix = "engines/"
)

// Picker chooses an engine for a request. Pick must be a pure function.
type Picker interface {
	Pick(snapshot policy.Snapshot, request policy.Request) (engine string, ok bool)
}

// PolicyPicker is a Picker that uses policy.PickEngine.
type PolicyPicker struct {
	// LeastLoaded disables prompt prefix affinity.
	LeastLoaded bool
}

// Pick chooses an engine. It returns false if no engine may run the request.
func (p PolicyPicker) Pick(snapshot policy.Snapshot, request policy.Request) (string, bool) {
	if p.LeastLoaded {
		request.PrefixHash = 0
	}
	return policy.PickEngine(snapshot, request)
}

// EngineRouter chooses engines for requests and opens streams to the owners of the engines. It learns engine loads from
// the events that the gateway relays.
type EngineRouter struct {
	self    placement.Member
	owners  OwnerCaller
	engines EngineDirectory
	bundles bundle.Source
	picker  Picker
	hints   *loadHints
}

func newEngineRouter(config Config) *EngineRouter {
	return &EngineRouter{
		self:    config.Self,
		owners:  config.Owners,
		engines: config.Engines,
		bundles: config.Bundles,
		picker:  config.Picker,
		hints:   newLoadHints(),
	}
}

// pick chooses an engine that is not excluded. It returns false if there is none.
func (r *EngineRouter) pick(workload *bundle.Workload, prompt []uint32, excluded []string) (platform.Machine, bool) {
	var machines []platform.Machine
	for _, pool := range workload.Pools {
		machines = append(machines, r.engines.Engines(pool)...)
	}
	snapshot := policy.Snapshot{
		Engines: make([]policy.EngineState, len(machines)),
		Zone:    r.self.Zone,
		Region:  r.self.Region,
	}
	loads := r.hints.loads(machines, time.Now())
	for i := range machines {
		snapshot.Engines[i] = engineState(&machines[i], loads[i])
	}
	engine, ok := r.picker.Pick(snapshot, policy.Request{
		Model:      workload.Model,
		Versions:   policy.VersionBounds{Min: workload.MinVersion, Max: workload.MaxVersion},
		Pools:      workload.Pools,
		PrefixHash: policy.PrefixHash(prompt),
		Exclude:    excluded,
	})
	if !ok {
		return platform.Machine{}, false
	}
	for i := range machines {
		if machines[i].ID == engine {
			return machines[i], true
		}
	}
	return platform.Machine{}, false
}

func engineState(machine *platform.Machine, load float64) policy.EngineState {
	return policy.EngineState{
		ID:       machine.ID,
		Pool:     machine.Pool,
		Zone:     machine.Zone,
		Region:   machine.Region,
		InFlight: int(math.Round(load * hintSlots)),
		Slots:    hintSlots,
		Leaving:  machine.State == platform.MachineLeaving,
	}
}

// open sends the request to the owner of the engine. The caller must close the stream.
func (r *EngineRouter) open(
	ctx context.Context, engine platform.Machine, request *peerapi.Execute,
) (peer.ClientStream, error) {
	request.Engine = engine.ID
	near := placement.Preference{Zone: engine.Zone, Region: engine.Region}
	stream, err := r.owners.StreamOwner(ctx, enginePrefix+engine.ID, near, peerapi.MethodExecute, request, false)
	if err != nil {
		return nil, err
	}
	r.hints.streamOpened(engine.ID)
	return &countedStream{ClientStream: stream, done: func() { r.hints.streamClosed(engine.ID) }}, nil
}

// Dispatch implements requestledger.Dispatcher.
func (r *EngineRouter) Dispatch(
	ctx context.Context, request peerapi.Execute, excluded []string,
) (engine string, stream peer.ClientStream, err error) {
	accepted := r.bundles.Current()
	if accepted == nil {
		return "", nil, &peer.Error{Code: peer.CodeNotReady, Message: "no bundle is in force", RetryAfter: notReadyRetryAfter}
	}
	workload := accepted.Bundle.Workload(request.Workload)
	if workload == nil {
		return "", nil, &peer.Error{Code: peer.CodeNotFound, Message: "no such workload"}
	}
	machine, ok := r.pick(workload, request.Prompt, excluded)
	if !ok {
		return "", nil, &peer.Error{Code: peer.CodeNotReady, Message: noEngine, RetryAfter: notReadyRetryAfter}
	}
	stream, err = r.open(ctx, machine, &request)
	return machine.ID, stream, err
}

// countedStream calls done when the stream is first closed.
type countedStream struct {
	peer.ClientStream
	once sync.Once
	done func()
}

// Close closes the stream.
func (s *countedStream) Close() error {
	s.once.Do(s.done)
	return s.ClientStream.Close()
}
