package dispatch

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/hillfork/hillfork/internal/broadcast"
	"github.com/hillfork/hillfork/internal/errorlog"
	"github.com/hillfork/hillfork/internal/peer"
	"github.com/hillfork/hillfork/internal/peerapi"
	"github.com/hillfork/hillfork/internal/platform"
)

// Dispatcher dispatches work to the engines that are placed on this node.
type Dispatcher struct {
	config   Config
	versions *versionTracker
	counters Counters
	// tasks are the running goroutines of attempts, reports, owners and version queries; Run waits for them.
	tasks sync.WaitGroup
	wake  *notifier

	mutex    sync.Mutex
	draining bool
	owners   map[string]*engineOwner
	opening  map[string]bool
	// lingering holds owners that have lost or released their engine but may still have work in flight.
	lingering map[*engineOwner]struct{}
}

// New returns a Dispatcher that owns no engine until Run is called.
func New(config Config) *Dispatcher {
	return &Dispatcher{
		config:   config.withDefaults(),
		versions: newVersionTracker(),
		wake:     newNotifier(),
		owners:   map[string]*engineOwner{},
		opening:  map[string]bool{},

		lingering: map[*engineOwner]struct{}{},
	}
}

// Counters returns the counters of the Dispatcher's activity.
func (d *Dispatcher) Counters() *Counters { return &d.counters }

// Register adds the handlers of the engine dispatcher to a registrar.
func (d *Dispatcher) Register(registrar peer.Registrar) {
	registrar.HandleStream(peerapi.MethodExecute, d.execute)
	registrar.HandleUnary(peerapi.MethodListEngines, d.listEngines)
}

func (d *Dispatcher) listEngines(_ context.Context, decode peer.Decode) (peer.Message, error) {
	if err := decode(&peerapi.ListEngines{}); err != nil {
		return nil, invalid(err.Error())
	}
	return &peerapi.ListEnginesResult{Engines: d.Engines()}, nil
}

// Engines describes the engines that this node dispatches for, ordered by ID.
func (d *Dispatcher) Engines() []peerapi.EngineInfo {
	infos := []peerapi.EngineInfo{}
	for _, owner := range d.allOwners() {
		infos = append(infos, owner.info())
	}
	sort.Slice(infos, func(i, j int) bool { return infos[i].ID < infos[j].ID })
	return infos
}

// Run dispatches until the context ends and returns the context's error. The end of the context cuts off all work in
// flight; call Drain first to avoid that.
func (d *Dispatcher) Run(ctx context.Context) error {
	d.tasks.Go(func() { d.watchFacts(ctx) })
	stability := newStabilityTracker(d.config.Timing, time.Now())
	for ctx.Err() == nil {
		machines, members, wake := d.config.Directory.Changed(), d.config.Placer.Changed(), d.wake.changed()
		stabilityWait := stability.observe(members, d.config.Joined(), time.Now())
		placed := d.stopMisplaced()
		delay := d.config.Timing.ReconcileInterval
		switch {
		case stabilityWait > 0:
			delay = stabilityWait
		case d.openPlaced(ctx, placed):
			delay = idleInterval
		}
		d.waitForChange(ctx, delay, machines, members, wake)
	}
	d.tasks.Wait()
	return ctx.Err()
}

func (d *Dispatcher) waitForChange(ctx context.Context, delay time.Duration, machines, members, wake <-chan struct{}) {
	// Changes come in bursts. The delay lets the placement of all engines be recomputed only once per burst.
	const burstWindow = 100 * time.Millisecond
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return
	case <-timer.C:
		return
	case <-machines:
	case <-members:
	case <-wake:
	}
	waitFor(ctx, burstWindow)
}

// stopMisplaced stops the intake of owned engines that are no longer placed on this node or whose address has changed,
// and returns the engines that are placed here.
func (d *Dispatcher) stopMisplaced() map[string]platform.Machine {
	placed := map[string]platform.Machine{}
	for _, machine := range d.config.Directory.Engines("") {
		if d.placedHere(machine) {
			placed[machine.ID] = machine
		}
	}
	for _, owner := range d.allOwners() {
		machine, stillPlaced := placed[owner.machine.ID]
		if !stillPlaced || machine.Address != owner.machine.Address {
			owner.stopIntake()
		}
	}
	return placed
}

// openPlaced starts to open the engines placed on this node. It reports whether there was none left to open.
func (d *Dispatcher) openPlaced(ctx context.Context, placed map[string]platform.Machine) bool {
	allOpen := true
	for id, machine := range placed {
		if d.markOpening(id) {
			allOpen = false
			d.tasks.Go(func() { d.open(ctx, machine) })
		}
	}
	return allOpen
}

// placedHere reports whether placement assigns an engine to this node.
func (d *Dispatcher) placedHere(machine platform.Machine) bool {
	member, found := d.config.Placer.Owner(EngineKey(machine.ID), preferenceOf(machine))
	return found && member.Node == d.config.Placer.Self().Node
}

// markOpening marks an engine as being opened and reports whether it needs to be.
func (d *Dispatcher) markOpening(engine string) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.draining || d.opening[engine] || d.owners[engine] != nil {
		return false
	}
	d.opening[engine] = true
	return true
}

// open claims an engine's shard and dispatches for the engine until it is lost or released.
func (d *Dispatcher) open(ctx context.Context, machine platform.Machine) {
	defer d.wake.notify()
	claimed, err := d.config.Opener.Open(ctx, EngineKey(machine.ID))
	if err != nil {
		errorlog.Debug(d.config.Logger, "engine could not be taken over", err, "engine", machine.ID)
		waitFor(ctx, jittered(d.config.Timing.ReconcileInterval))
		d.clearOpening(machine.ID)
		return
	}
	owner := d.newOwner(ctx, machine, claimed)
	if d.addOwner(owner) {
		owner.run(ctx)
	} else {
		owner.stopIntake()
	}
	superseded := broadcast.Closed(owner.shard.Done())
	if !superseded && ctx.Err() == nil {
		d.release(ctx, owner)
	}
	d.retireOwner(owner)
	if superseded {
		// Without this delay, two nodes that both regard the engine as placed on them would supersede each other in a
		// tight loop.
		waitFor(ctx, jittered(d.config.Timing.ReconcileInterval))
	}
	d.clearOpening(machine.ID)
	d.wake.notify()
	owner.awaitDrained()
	d.removeLingering(owner)
}

// removeLingering removes an owner whose work has all ended.
func (d *Dispatcher) removeLingering(owner *engineOwner) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	delete(d.lingering, owner)
}

func (d *Dispatcher) lingeringOwners() []*engineOwner {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	owners := make([]*engineOwner, 0, len(d.lingering))
	for owner := range d.lingering {
		owners = append(owners, owner)
	}
	return owners
}

// empty reports whether no engine is dispatched for and nothing is in flight.
func (d *Dispatcher) empty() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return len(d.owners) == 0 && len(d.opening) == 0 && len(d.lingering) == 0
}

func (d *Dispatcher) clearOpening(engine string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	delete(d.opening, engine)
}

// addOwner registers an owner. It returns false when the node is draining.
func (d *Dispatcher) addOwner(owner *engineOwner) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.draining {
		return false
	}
	d.owners[owner.machine.ID] = owner
	return true
}

// retireOwner stops routing calls to an owner and keeps it in lingering until its work in flight has ended.
func (d *Dispatcher) retireOwner(owner *engineOwner) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.lingering[owner] = struct{}{}
	if d.owners[owner.machine.ID] == owner {
		delete(d.owners, owner.machine.ID)
	}
}

// release releases the shard, so that the next dispatcher need not wait for it.
func (d *Dispatcher) release(ctx context.Context, owner *engineOwner) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), d.config.Timing.CallTimeout)
	defer cancel()
	if err := owner.shard.Release(ctx); err != nil {
		errorlog.Warn(owner.logger, "shard release failed", err)
	}
}

// owner returns the owner of an engine on this node, or nil if there is none.
func (d *Dispatcher) owner(engine string) *engineOwner {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.owners[engine]
}

func (d *Dispatcher) allOwners() []*engineOwner {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	owners := make([]*engineOwner, 0, len(d.owners))
	for _, owner := range d.owners {
		owners = append(owners, owner)
	}
	return owners
}

// startVersionQuery queries the weight store for a model's newest version in the background.
func (d *Dispatcher) startVersionQuery(work context.Context, model string) {
	d.tasks.Go(func() { d.queryWeightStore(work, model) })
}
