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

// Causes that end a training attempt early. All but errNotNeeded hand the tokens generated so far back to the step
// ledger.
var (
	errPreempted  = errors.New("slot was reclaimed")
	errHandBack   = errors.New("engine is being handed over or is leaving")
	errEngineDown = errors.New("engine is down")
	errNotNeeded  = errors.New("step ledger no longer needs the attempt")
)

// engineOwner is the dispatcher of one engine, from the claim of its shard until its work has ended.
type engineOwner struct {
	dispatcher *Dispatcher
	config     *Config
	logger     *log.Logger
	machine    platform.Machine
	engine     platform.Engine
	shard      shard.Owner
	slots      *slotTable
	state      *engineState
	// work ends when the process stops without a drain; attempts and completions run under it.
	work context.Context
	// intake ends when the owner stops accepting new work.
	intake     context.Context
	stopIntake context.CancelFunc
	loops      sync.WaitGroup
	// workEnded is notified when work in flight ends.
	workEnded *notifier

	mutex    sync.Mutex
	sequence uint64
	cooldown cooldown
	links    map[linkKey]*stepShardLink
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
		workEnded:  newNotifier(),
		links:      map[linkKey]*stepShardLink{},
		requests:   map[requestKey]context.CancelCauseFunc{},
	}
	owner.cooldown.backoff = d.config.Timing.newBackoff()
	owner.slots = newSlotTable(owner.preempt)
	return owner
}

// run dispatches for the engine until the shard is lost, the intake stops or the context ends. It then drains the work
// in flight and returns.
func (o *engineOwner) run(ctx context.Context) {
	o.startLoop(o.pollStatus)
	o.startLoop(o.watchBundle)
	o.startLoop(o.handleLeaving)
	o.startLoop(o.loadWeights)
	select {
	case <-ctx.Done():
	case <-o.shard.Done():
		o.dispatcher.counters.OwnersSuperseded.Add(1)
	case <-o.intake.Done():
	}
	drainCtx, cancel := context.WithTimeout(o.work, o.config.Timing.DrainTimeout)
	defer cancel()
	if err := o.drain(drainCtx); err != nil {
		errorlog.Warn(o.logger, "engine is released with work in flight", err, "requests", o.requestCount())
	}
	o.loops.Wait()
}

// awaitDrained waits for work in flight that outlived the hand-over: requests finish on this node, and finished samples
// are submitted.
func (o *engineOwner) awaitDrained() {
	_ = o.workEnded.waitUntil(o.work, o.drained)
}

// startLoop runs a loop in the background under the intake context.
func (o *engineOwner) startLoop(loop func(context.Context)) {
	o.loops.Go(func() { loop(o.intake) })
}

// drain stops the intake, hands training work back, and waits until requests, reports and completions have ended. It
// returns the context's error if the context ends first.
func (o *engineOwner) drain(ctx context.Context) error {
	o.stopIntake()
	o.slots.close()
	o.cancelAttempts(errHandBack)
	return o.workEnded.waitUntil(ctx, o.drained)
}

// drained reports whether nothing is in flight and no step ledger is waiting for a report or completion.
func (o *engineOwner) drained() bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if len(o.requests) > 0 {
		return false
	}
	for _, link := range o.links {
		if !link.drained() {
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

// watchBundle applies the bundle in force, now and after each change of the bundle or of the machines.
func (o *engineOwner) watchBundle(ctx context.Context) {
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

// applyBundle configures the slot shares from the bundle and pulls samples for its training workloads.
func (o *engineOwner) applyBundle(ctx context.Context, current *bundle.Bundle) {
	workloads := poolWorkloads(current, o.machine.Pool)
	settings := make([]workloadSettings, 0, len(workloads))
	pulled := map[linkKey]bool{}
	for _, workload := range workloads {
		settings = append(settings, settingsOf(workload))
		o.dispatcher.startVersionQuery(o.work, workload.Model)
		for step := 0; workload.Kind == bundle.Training && step < o.config.StepShards; step++ {
			pulled[linkKey{workload: workload.Name, shard: step}] = true
		}
	}
	o.slots.configure(settings, policy.ShareOffset(o.rank()))
	o.updateLinks(ctx, pulled)
	o.state.notify.notify()
}

// rank returns the engine's index among the engines of its pool.
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

// updateLinks starts to pull for new step shards and stops for those of removed workloads.
func (o *engineOwner) updateLinks(ctx context.Context, wanted map[linkKey]bool) {
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
			link = newStepShardLink(o, key)
			o.links[key] = link
			o.dispatcher.tasks.Go(func() { link.reportLoop(o.work) })
		}
		link.startPull(ctx)
	}
}

// workload returns a workload of the bundle in force, or nil if this engine's pool does not run it.
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

// acceptsWork reports whether the engine may be assigned new work of a workload, and returns the version that it
// serves.
func (o *engineOwner) acceptsWork(workload *bundle.Workload) (version uint64, ok bool) {
	view := o.state.view()
	if !view.reachable() || view.leaving || o.config.Directory.Leaving(o.machine.ID) || view.quarantined[workload.Model] {
		return 0, false
	}
	version, served := view.served[workload.Model]
	return version, served && versionBounds(*workload).Accept(version)
}

// preempt cancels streams of a training workload to free their slots, those with the fewest tokens first.
func (o *engineOwner) preempt(workload string, count int) {
	candidates := o.runningAttempts(func(a *attempt) bool { return a.assignment.Workload == workload })
	slices.SortFunc(candidates, func(a, b *attempt) int { return a.length() - b.length() })
	for _, victim := range candidates {
		if count > 0 && victim.preempt() {
			o.dispatcher.counters.Preemptions.Add(1)
			count--
		}
	}
	o.slots.withdrawPreemption(workload, count)
}

// info returns the description of the engine for ListEngines.
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
		State:    view.stateName(),
		Served:   view.served,
		InFlight: inFlight,
		Slots:    slots,
		Epoch:    o.shard.Epoch(),
	}
}

// nextFence returns the fence of the next order to the engine.
func (o *engineOwner) nextFence() platform.Fence {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.sequence++
	return platform.Fence{Epoch: o.shard.Epoch(), Sequence: o.sequence}
}

// stepDown stops dispatching for the engine because a newer dispatcher owns it. The shard is then released, so that the
// next claim opens an epoch above the newer one.
func (o *engineOwner) stepDown() {
	o.logger.Warn("engine refused an order as superseded, stepping down")
	o.stopIntake()
}

// waitJittered waits for a jittered delay; the end of the context cuts it short.
func waitJittered(ctx context.Context, delay time.Duration) {
	waitFor(ctx, jittered(delay))
}
