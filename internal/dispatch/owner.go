package dispatch

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/hillfork/hillfork/internal/bundle"
	"github.com/hillfork/hillfork/internal/errorlog"
	"github.com/hillfork/hillfork/internal/peerapi"
	"github.com/hillfork/hillfork/internal/platform"
	"github.com/hillfork/hillfork/internal/policy"
	"github.com/hillfork/hillfork/internal/shard"
)

// Causes that end a training attempt early. All but errUseless hand the tokens so far back to the step ledger.
var (
	errPreempted  = errors.New("slot was reclaimed")
	errHandBack   = errors.New("engine is handed over or leaves")
	errEngineDown = errors.New("engine is down")
	errUseless    = errors.New("step ledger has no more use for the attempt")
)

// engineOwner is the dispatcher of one engine, from the claim of its shard until the work is settled.
type engineOwner struct {
	dispatcher *Dispatcher
	config     *Config
	logger     *log.Logger
	machine    platform.Machine
	engine     platform.Engine
	shard      shard.Owner
	slots      *slotTable
	state      *engineState
	// work ends when the process stops at once; attempts and completions live by it.
	work context.Context
	// intake ends when no more new work is taken.
	intake     context.Context
	stopIntake context.CancelFunc
	loops      sync.WaitGroup
	// settled wakes those who wait for the work in flight to end.
	settled *notifier

	mutex    sync.Mutex
	sequence uint64
	cooling  cooldown
	links    map[linkKey]*workLink
	requests map[requestKey]context.CancelCauseFunc
}

func (d *Dispatcher) newOwner(work context.Context, machine platform.Machine, claimed shard.Owner) *engineOwner {
	intake, stopIntake := context.WithCancel(work)
	owner := &engineOwner{
		dispatcher: d,
		config:     &d.config,
		logger:     d.config.Logger.With("engine", machine.ID, "epoch", claimed.Epoch()),
		machine:    machine,
		engine:     d.config.Dialer.Engine(machine.Address),
		shard:      claimed,
		state:      newEngineState(),
		work:       work,
		intake:     intake,
		stopIntake: stopIntake,
		settled:    newNotifier(),
		links:      map[linkKey]*workLink{},
		requests:   map[requestKey]context.CancelCauseFunc{},
	}
	owner.cooling.pauses = d.config.Timing.newBackoff()
	owner.slots = newSlotTable(owner.preempt)
	return owner
}

// run dispatches for the engine until the shard is lost or released, or the context ends; then it settles what is in
// flight, and returns.
func (o *engineOwner) run(ctx context.Context) {
	o.start(o.followStatus)
	o.start(o.followBundle)
	o.start(o.followLeaving)
	o.start(o.loadWeights)
	select {
	case <-ctx.Done():
	case <-o.shard.Done():
		o.dispatcher.counters.OwnersSuperseded.Add(1)
	case <-o.intake.Done():
	}
	settling, cancel := context.WithTimeout(o.work, o.config.Timing.Settle)
	defer cancel()
	if err := o.settle(settling); err != nil {
		errorlog.Warn(o.logger, "engine is given up with work in flight", err, "requests", o.requestCount())
	}
	o.loops.Wait()
}

// linger waits for work in flight that outlived the hand-over: requests finish here, and finished samples are handed in.
func (o *engineOwner) linger() {
	_ = o.settled.waitUntil(o.work, o.quiet)
}

// start runs a loop that ends with the intake.
func (o *engineOwner) start(loop func(context.Context)) {
	o.loops.Go(func() { loop(o.intake) })
}

// settle takes no more work, hands training work back, and waits until requests, reports and completions are done.
func (o *engineOwner) settle(ctx context.Context) error {
	o.stopIntake()
	o.slots.close()
	o.cancelAttempts(errHandBack)
	return o.settled.waitUntil(ctx, o.quiet)
}

// quiet tells whether nothing is in flight and nothing is owed to a step ledger.
func (o *engineOwner) quiet() bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if len(o.requests) > 0 {
		return false
	}
	for _, link := range o.links {
		if !link.quiet() {
			return false
		}
	}
	return true
}

func (o *engineOwner) requestCount() int {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return len(o.requests)
}

// followBundle follows the workloads of the bundle in force.
func (o *engineOwner) followBundle(ctx context.Context) {
	for ctx.Err() == nil {
		changed, machines := o.config.Bundles.Changed(), o.config.Directory.Changed()
		if accepted := o.config.Bundles.Current(); accepted != nil {
			o.applyBundle(ctx, &accepted.Bundle)
		}
		select {
		case <-ctx.Done():
		case <-changed:
		case <-machines:
		}
	}
}

// applyBundle shares the slots by the bundle and pulls for its training workloads.
func (o *engineOwner) applyBundle(ctx context.Context, current *bundle.Bundle) {
	workloads := poolWorkloads(current, o.machine.Pool)
	settings := make([]workloadSettings, 0, len(workloads))
	pulled := map[linkKey]bool{}
	for _, workload := range workloads {
		settings = append(settings, settingsOf(workload))
		o.dispatcher.startAsking(o.work, workload.Model)
		for step := 0; workload.Kind == bundle.Training && step < o.config.StepShards; step++ {
			pulled[linkKey{workload: workload.Name, shard: step}] = true
		}
	}
	o.slots.configure(settings, policy.ShareOffset(o.rank()))
	o.startLinks(ctx, pulled)
	o.state.notify.notify()
}

// rank is the engine's place among those of its pool.
func (o *engineOwner) rank() int {
	engines := o.config.Directory.Engines(o.machine.Pool)
	rank, _ := slices.BinarySearchFunc(engines, o.machine.ID, func(machine platform.Machine, id string) int {
		return strings.Compare(machine.ID, id)
	})
	return rank
}

func settingsOf(workload bundle.Workload) workloadSettings {
	settings := workloadSettings{
		name:        workload.Name,
		interactive: workload.Kind == bundle.Interactive,
		share:       workload.Share,
		maxQueue:    workload.Limits.MaxQueue,
	}
	if settings.interactive {
		settings.maxInFlight = workload.Limits.MaxInFlight
	}
	return settings
}

// startLinks starts to pull for workloads that are new, and stops for those that are gone.
func (o *engineOwner) startLinks(ctx context.Context, wanted map[linkKey]bool) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	for key, link := range o.links {
		if !wanted[key] {
			link.stopPull()
		}
	}
	for key := range wanted {
		link := o.links[key]
		if link == nil {
			link = newWorkLink(o, key)
			o.links[key] = link
			o.dispatcher.tasks.Go(func() { link.report(o.work) })
		}
		link.startPull(ctx)
	}
}

// workload finds a workload of this engine's pool in the bundle in force.
func (o *engineOwner) workload(name string) *bundle.Workload {
	accepted := o.config.Bundles.Current()
	if accepted == nil {
		return nil
	}
	workload := accepted.Bundle.Workload(name)
	if workload == nil {
		return nil
	}
	for _, pool := range workload.Pools {
		if pool == o.machine.Pool {
			return workload
		}
	}
	return nil
}

// takesWork tells whether the engine may be given new work of a workload, and the version that it serves.
func (o *engineOwner) takesWork(workload *bundle.Workload) (version uint64, ok bool) {
	view := o.state.view()
	if !view.reachable() || view.leaving || o.config.Directory.Leaving(o.machine.ID) || view.quarantined[workload.Model] {
		return 0, false
	}
	version, served := view.served[workload.Model]
	return version, served && versionBounds(*workload).Accept(version)
}

// preempt makes streams of a training workload give way, those with the fewest tokens first.
func (o *engineOwner) preempt(workload string, count int) {
	candidates := o.runningAttempts(func(a *attempt) bool { return a.assignment.Workload == workload })
	slices.SortFunc(candidates, func(a, b *attempt) int { return a.length() - b.length() })
	for _, victim := range candidates {
		if count > 0 && victim.preempt() {
			o.dispatcher.counters.Preemptions.Add(1)
			count--
		}
	}
	o.slots.notPreempted(workload, count)
}

// info describes the engine.
func (o *engineOwner) info() peerapi.EngineInfo {
	view := o.state.view()
	if o.config.Directory.Leaving(o.machine.ID) {
		view.leaving = true
	}
	inFlight, slots := o.slots.counts()
	return peerapi.EngineInfo{
		ID:       o.machine.ID,
		Pool:     o.machine.Pool,
		Zone:     o.machine.Zone,
		State:    view.name(),
		Served:   view.served,
		InFlight: inFlight,
		Slots:    slots,
		Epoch:    o.shard.Epoch(),
	}
}

// nextFence numbers the next order to the engine.
func (o *engineOwner) nextFence() platform.Fence {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.sequence++
	return platform.Fence{Epoch: o.shard.Epoch(), Sequence: o.sequence}
}

// stepDown gives the engine up because another dispatcher is newer, and releases the shard so that the next claim opens
// an epoch above it.
func (o *engineOwner) stepDown() {
	o.logger.Warn("engine refused an order as superseded, stepping down")
	o.stopIntake()
}

// pause is a jittered wait that the intake's end cuts short.
func pause(ctx context.Context, delay time.Duration) {
	waitFor(ctx, jittered(delay))
}
