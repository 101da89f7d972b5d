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

// Dispatcher dispatches for the engines that are placed on this node.
type Dispatcher struct {
	config   Config
	versions *versionTracker
	counters Counters
	// tasks are the attempts, reports and owners that run; Run waits for them.
	tasks sync.WaitGroup
	wake  *notifier

	mutex    sync.Mutex
	draining bool
	owners   map[string]*engineOwner
	opening  map[string]bool
	// lingering are owners that were given up with work in flight.
	lingering map[*engineOwner]struct{}
}

// New returns a Dispatcher that owns nothing until Run.
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

// Counters counts what the Dispatcher did.
func (d *Dispatcher) Counters() *Counters { return &d.counters }

// Register adds the handlers of the engine dispatcher.
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

// Engines describes the engines dispatched for, by ID.
func (d *Dispatcher) Engines() []peerapi.EngineInfo {
	infos := []peerapi.EngineInfo{}
	for _, owner := range d.allOwners() {
		infos = append(infos, owner.info())
	}
	sort.Slice(infos, func(i, j int) bool { return infos[i].ID < infos[j].ID })
	return infos
}

// Run dispatches until the context ends, which cuts off everything in flight: call Drain before. It returns the
// context's error.
func (d *Dispatcher) Run(ctx context.Context) error {
	d.tasks.Go(func() { d.followFacts(ctx) })
	steady := newSteadiness(d.config.Timing, time.Now())
	for ctx.Err() == nil {
		machines, members, wake := d.config.Directory.Changed(), d.config.Placer.Changed(), d.wake.changed()
		unsteady := steady.observe(members, d.config.Joined(), time.Now())
		placed := d.giveUpMisplaced()
		delay := d.config.Timing.Reconcile
		switch {
		case unsteady > 0:
			delay = unsteady
		case d.openPlaced(ctx, placed):
			delay = idleLook
		}
		d.waitForChange(ctx, delay, machines, members, wake)
	}
	d.tasks.Wait()
	return ctx.Err()
}

func (d *Dispatcher) waitForChange(ctx context.Context, delay time.Duration, machines, members, wake <-chan struct{}) {
	// Changes come in bursts; the placement of all engines is reckoned once per burst.
	const burst = 100 * time.Millisecond
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
	waitFor(ctx, burst)
}

// giveUpMisplaced stops the intake of owned engines that are not placed here any more, and returns those that are.
func (d *Dispatcher) giveUpMisplaced() map[string]platform.Machine {
	placed := map[string]platform.Machine{}
	for _, machine := range d.config.Directory.Engines("") {
		if d.placedHere(machine) {
			placed[machine.ID] = machine
		}
	}
	for _, owner := range d.allOwners() {
		machine, stays := placed[owner.machine.ID]
		if !stays || machine.Address != owner.machine.Address {
			owner.stopIntake()
		}
	}
	return placed
}

// openPlaced opens the engines that are placed here. It tells whether all are open.
func (d *Dispatcher) openPlaced(ctx context.Context, placed map[string]platform.Machine) bool {
	inPlace := true
	for id, machine := range placed {
		if d.startOpening(id) {
			inPlace = false
			d.tasks.Go(func() { d.open(ctx, machine) })
		}
	}
	return inPlace
}

func (d *Dispatcher) placedHere(machine platform.Machine) bool {
	member, found := d.config.Placer.Owner(EngineKey(machine.ID), preferenceOf(machine))
	return found && member.Node == d.config.Placer.Self().Node
}

// startOpening tells whether an engine has to be opened, and notes that it is.
func (d *Dispatcher) startOpening(engine string) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.draining || d.opening[engine] || d.owners[engine] != nil {
		return false
	}
	d.opening[engine] = true
	return true
}

// open claims an engine's shard and dispatches for the engine until it is lost.
func (d *Dispatcher) open(ctx context.Context, machine platform.Machine) {
	defer d.wake.notify()
	claimed, err := d.config.Opener.Open(ctx, EngineKey(machine.ID))
	if err != nil {
		errorlog.Debug(d.config.Logger, "engine could not be taken over", err, "engine", machine.ID)
		waitFor(ctx, jittered(d.config.Timing.Reconcile))
		d.endOpening(machine.ID)
		return
	}
	owner := d.newOwner(ctx, machine, claimed)
	if d.adopt(owner) {
		owner.run(ctx)
	} else {
		owner.stopIntake()
	}
	superseded := broadcast.Closed(owner.shard.Done())
	if !superseded && ctx.Err() == nil {
		d.release(ctx, owner)
	}
	d.disown(owner)
	if superseded {
		// Two nodes that each believe to be placed must not take the engine from each other in a tight loop.
		waitFor(ctx, jittered(d.config.Timing.Reconcile))
	}
	d.endOpening(machine.ID)
	d.wake.notify()
	owner.linger()
	d.endLingering(owner)
}

// endLingering forgets an owner whose work is all settled.
func (d *Dispatcher) endLingering(owner *engineOwner) {
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

// empty tells whether no engine is dispatched for and nothing is in flight.
func (d *Dispatcher) empty() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return len(d.owners) == 0 && len(d.opening) == 0 && len(d.lingering) == 0
}

func (d *Dispatcher) endOpening(engine string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	delete(d.opening, engine)
}

// adopt notes an owner; false when the node stops meanwhile.
func (d *Dispatcher) adopt(owner *engineOwner) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.draining {
		return false
	}
	d.owners[owner.machine.ID] = owner
	return true
}

// disown ends an owner's part in new calls; what is in flight lingers.
func (d *Dispatcher) disown(owner *engineOwner) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.lingering[owner] = struct{}{}
	if d.owners[owner.machine.ID] == owner {
		delete(d.owners, owner.machine.ID)
	}
}

// release gives the shard up, so that the next dispatcher need not wait.
func (d *Dispatcher) release(ctx context.Context, owner *engineOwner) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), d.config.Timing.Call)
	defer cancel()
	if err := owner.shard.Release(ctx); err != nil {
		errorlog.Warn(owner.logger, "shard was not released", err)
	}
}

// owner finds the dispatcher of an engine on this node; nil where there is none.
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

// startAsking asks the weight store for a model's newest version, in the background.
func (d *Dispatcher) startAsking(work context.Context, model string) {
	d.tasks.Go(func() { d.askWeightStore(work, model) })
}
