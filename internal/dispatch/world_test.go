package dispatch

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hillfork/hillfork/internal/bundle"
	"github.com/hillfork/hillfork/internal/machines"
	"github.com/hillfork/hillfork/internal/peer"
	"github.com/hillfork/hillfork/internal/peerapi"
	"github.com/hillfork/hillfork/internal/placement"
	"github.com/hillfork/hillfork/internal/platform"
	"github.com/hillfork/hillfork/internal/shard"
	"github.com/hillfork/hillfork/internal/standin/engine"
)

// harness runs one dispatcher with stand-in engines and fakes of its other dependencies.
type harness struct {
	*Dispatcher
	*fakeLedger
	t         *testing.T
	placer    *fakePlacer
	opener    *fakeOpener
	machines  *machines.Directory
	list      *fakeList
	bundles   *fakeBundles
	engines   map[string]*engine.Engine
	recorders map[string]*recordingEngine
	stop      context.CancelFunc
}

// Engine implements platform.EngineDialer.
func (h *harness) Engine(address string) platform.Engine { return h.recorders[address] }

// recordingEngine counts the calls to an engine and fails them on demand.
type recordingEngine struct {
	*engine.Engine
	mutex       sync.Mutex
	generations int
	cancels     map[string]int
	generateErr error
}

func (p *recordingEngine) Generate(ctx context.Context, request platform.GenerateRequest) (platform.ChunkStream, error) {
	p.mutex.Lock()
	p.generations++
	err := p.generateErr
	p.mutex.Unlock()
	if err != nil {
		return nil, err
	}
	return p.Engine.Generate(ctx, request)
}

func (p *recordingEngine) Cancel(ctx context.Context, requestID string, attempt uint32) error {
	p.mutex.Lock()
	p.cancels[requestID]++
	p.mutex.Unlock()
	return p.Engine.Cancel(ctx, requestID, attempt)
}

func (p *recordingEngine) counts(requestID string) (generations, cancels int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.generations, p.cancels[requestID]
}

func (p *recordingEngine) failGenerate(err error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.generateErr = err
}

func newHarness(t *testing.T, current bundle.Bundle, configs ...engine.Config) *harness {
	h := &harness{
		t: t, placer: &fakePlacer{here: true, changed: make(chan struct{})}, opener: &fakeOpener{},
		bundles: &fakeBundles{accepted: &bundle.Accepted{Bundle: current}, notify: newNotifier()}, list: &fakeList{},
		engines: map[string]*engine.Engine{}, recorders: map[string]*recordingEngine{}, fakeLedger: newFakeLedger(),
	}
	h.addEngines(configs...)
	h.machines = machines.New(machines.Config{List: h.list})
	h.Dispatcher = New(Config{
		Placer: h.placer, Opener: h.opener, Directory: h.machines, Dialer: h, Bundles: h.bundles, Ledger: h.fakeLedger,
	})
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { _ = h.machines.Run(ctx) })
	group.Go(func() { _ = h.Run(ctx) })
	h.stop = func() {
		cancel()
		group.Wait()
		for _, running := range h.engines {
			running.Close()
		}
	}
	t.Cleanup(h.stop)
	time.Sleep(time.Second)
	synctest.Wait()
	return h
}

// addEngines starts engines and adds them to the machine list.
func (h *harness) addEngines(configs ...engine.Config) {
	h.list.mutex.Lock()
	defer h.list.mutex.Unlock()
	for _, config := range configs {
		h.engines[config.ID] = engine.New(config)
		h.recorders[config.ID] = &recordingEngine{Engine: h.engines[config.ID], cancels: map[string]int{}}
		h.list.machines = append(h.list.machines, platform.Machine{
			ID: config.ID, Kind: platform.MachineEngine, Address: config.ID, Pool: config.Pool, State: platform.MachineLive,
		})
	}
}

func engineConfig(id string) engine.Config {
	return engine.Config{ID: id, Pool: "p", Slots: 4, Served: map[string]uint64{"m": 5}}
}

func training(name string, share float64) bundle.Workload {
	return bundle.Workload{
		Name: name, Kind: bundle.Training, Pools: []string{"p"}, Share: share, Model: "m", Swap: bundle.SwapContinue,
		Limits: bundle.Limits{MaxPromptTokens: 100, MaxTokens: 100000},
	}
}

func interactive(name string, share float64) bundle.Workload {
	workload := training(name, share)
	workload.Kind = bundle.Interactive
	return workload
}

func bundleOf(workloads ...bundle.Workload) bundle.Bundle {
	return bundle.Bundle{Version: 1, Pools: []bundle.Pool{{Name: "p", ServingFloor: 0.5}}, Workloads: workloads}
}

type fakeList struct {
	mutex    sync.Mutex
	machines []platform.Machine
}

func (f *fakeList) List(context.Context) ([]platform.Machine, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return append([]platform.Machine(nil), f.machines...), nil
}

func (f *fakeList) leave(i int) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.machines[i].State = platform.MachineLeaving
}

type fakePlacer struct {
	mutex   sync.Mutex
	here    bool
	changed chan struct{}
}

func (f *fakePlacer) Owner(string, placement.Preference) (placement.Member, bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.here {
		return f.Self(), true
	}
	return placement.Member{Node: "other", PeerAddress: "other:1"}, true
}

func (f *fakePlacer) Self() placement.Member {
	return placement.Member{Node: "self", PeerAddress: "self:1"}
}

func (f *fakePlacer) Changed() <-chan struct{} {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.changed
}

func (f *fakePlacer) moveAway() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.here = false
	close(f.changed)
	f.changed = make(chan struct{})
}

// fakeOpener claims the next epoch at each Open.
type fakeOpener struct {
	mutex sync.Mutex
	epoch uint64
	last  *fakeShard
	all   []*fakeShard
}

type fakeShard struct {
	shard.Owner
	epoch uint64
	done  chan struct{}
	once  sync.Once
}

func (f *fakeOpener) Open(context.Context, string) (shard.Owner, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.epoch++
	f.last = &fakeShard{epoch: f.epoch, done: make(chan struct{})}
	f.all = append(f.all, f.last)
	return f.last, nil
}

// supersedeRandom ends a random shard, as if another owner had superseded it.
func (f *fakeOpener) supersedeRandom(random *rand.Rand) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.all[random.IntN(len(f.all))].end()
}

func (f *fakeOpener) current() *fakeShard {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.last
}

func (f *fakeShard) Epoch() uint64         { return f.epoch }
func (f *fakeShard) Done() <-chan struct{} { return f.done }
func (f *fakeShard) Release(context.Context) error {
	f.end()
	return nil
}

func (f *fakeShard) end() { f.once.Do(func() { close(f.done) }) }

type fakeBundles struct {
	mutex    sync.Mutex
	accepted *bundle.Accepted
	notify   *notifier
}

func (f *fakeBundles) Current() *bundle.Accepted {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.accepted
}

func (f *fakeBundles) Changed() <-chan struct{} { return f.notify.changed() }

func (f *fakeBundles) roll(next bundle.Bundle) {
	f.mutex.Lock()
	f.accepted = &bundle.Accepted{Bundle: next}
	f.mutex.Unlock()
	f.notify.notify()
}

// fakeStream collects the events of a request.
type fakeStream struct {
	mutex  sync.Mutex
	events []peerapi.ExecuteEvent
	err    error
	done   chan struct{}
}

func (f *fakeStream) Send(event peer.Message) error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.events = append(f.events, *event.(*peerapi.ExecuteEvent))
	return nil
}

// request starts an interactive request.
func (h *harness) request(ctx context.Context, request peerapi.Execute) *fakeStream {
	stream := &fakeStream{done: make(chan struct{})}
	decode := func(into peer.Message) error {
		*into.(*peerapi.Execute) = request
		return nil
	}
	go func() {
		defer close(stream.done)
		stream.err = h.execute(ctx, decode, stream)
	}()
	return stream
}

// wait returns the answer including resumed tokens, the last event, and the refusal of a request.
func (f *fakeStream) wait(resumed []uint32) (tokens []uint32, last peerapi.ExecuteEvent, refusal *peer.Error) {
	<-f.done
	tokens = append(tokens, resumed...)
	for _, event := range f.events {
		if event.Index != len(tokens) {
			panic("the answer has a gap or an overlap")
		}
		tokens = append(tokens, event.Tokens...)
		last = event
	}
	errors.As(f.err, &refusal)
	return tokens, last, refusal
}

// cancelAllAttempts cancels every attempt of an engine, including those that have ended.
func (o *engineOwner) cancelAllAttempts(cause error) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	for _, link := range o.links {
		link.mutex.Lock()
		for _, each := range link.attempts {
			each.cancelStream(cause)
		}
		link.mutex.Unlock()
	}
}
