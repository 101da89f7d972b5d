package dispatch

import (
	"context"
	"errors"
	"time"

	"github.com/samber/oops"

	"github.com/hillfork/hillfork/internal/bundle"
	"github.com/hillfork/hillfork/internal/errorlog"
	"github.com/hillfork/hillfork/internal/platform"
	"github.com/hillfork/hillfork/internal/policy"
)

// errUnverified means that the engine acknowledged a load but serves another version.
var errUnverified = errors.New("engine does not serve the ordered version")

// loadWeights keeps the engine on the desired versions until the context ends. It sends one order at a time, because an
// engine refuses an order that arrives after a newer one.
func (o *engineOwner) loadWeights(ctx context.Context) {
	retryBackoff := o.config.Timing.newBackoff()
	for ctx.Err() == nil {
		state, versions := o.state.notify.changed(), o.dispatcher.versions.notify.changed()
		slots := o.slots.notify.changed()
		plan, delay, due := o.nextLoad()
		var idle <-chan struct{}
		if delay < idleInterval {
			idle = slots // a load is pending, and an engine that becomes idle need not wait for its wave
		}
		if !due {
			waitFor(ctx, delay, state, versions, idle)
			continue
		}
		err := o.load(ctx, plan)
		switch {
		case err == nil:
			retryBackoff.Reset()
		case errors.Is(err, platform.ErrStaleOrder):
			o.stepDown()
		default:
			o.countLoadFailure(err)
			waitFor(ctx, retryBackoff.NextBackOff())
		}
	}
}

func (o *engineOwner) countLoadFailure(err error) {
	if errors.Is(err, platform.ErrThrottled) {
		o.dispatcher.counters.LoadsThrottled.Add(1)
		return
	}
	if errors.Is(err, errUnverified) {
		o.dispatcher.counters.LoadsUnverified.Add(1)
	} else {
		o.dispatcher.counters.LoadsFailed.Add(1)
	}
	errorlog.Warn(o.logger, "weights were not loaded", err)
}

// idleInterval is the wait between checks when nothing is due and nothing changes.
const idleInterval = time.Minute

// nextLoad returns the load that is due now, or how long to wait until one may be due.
func (o *engineOwner) nextLoad() (plan modelPlan, delay time.Duration, due bool) {
	accepted := o.config.Bundles.Current()
	view := o.state.view()
	if accepted == nil || !view.reachable() {
		return modelPlan{}, idleInterval, false
	}
	delay = idleInterval
	for _, candidate := range planModels(&accepted.Bundle, o.machine.Pool, o.dispatcher.versions.latest) {
		if !needsLoad(candidate, view) {
			continue
		}
		wait := o.untilWave(&accepted.Bundle, candidate, view)
		if wait <= 0 {
			return candidate, 0, true
		}
		delay = min(delay, wait)
	}
	return modelPlan{}, delay, false
}

// needsLoad reports whether a load must be ordered.
func needsLoad(plan modelPlan, view engineView) bool {
	if plan.desired == 0 {
		return false
	}
	return view.served[plan.model] != plan.desired || view.quarantined[plan.model]
}

// untilWave returns the time until the engine's wave starts. It is 0 for an engine that is quarantined or serves no
// accepted version, for an idle engine in a pool without interactive workloads, and if the policy swaps the whole pool
// at once.
func (o *engineOwner) untilWave(current *bundle.Bundle, plan modelPlan, view engineView) time.Duration {
	served, serves := view.served[plan.model]
	if !serves || view.quarantined[plan.model] || !o.anyWorkloadAccepts(current, plan.model, served) {
		return 0
	}
	if o.slots.idle() && !hasInteractive(current, o.machine.Pool) {
		return 0
	}
	if o.config.Policy.WholePoolSwap {
		return 0
	}
	engines := o.poolEngines()
	floor := servingFloor(current, o.machine.Pool)
	wave := policy.WaveOf(engines, o.machine.ID, plan.model, plan.desired, floor)
	waves := policy.WaveCount(len(engines), floor)
	delay := policy.WaveDelay(wave, waves, o.config.Timing.RollDuration, o.config.Timing.MaxWaveInterval)
	return time.Until(plan.since.Add(delay))
}

// anyWorkloadAccepts reports whether any workload of the pool accepts a version of a model.
func (o *engineOwner) anyWorkloadAccepts(current *bundle.Bundle, model string, version uint64) bool {
	for _, workload := range poolWorkloads(current, o.machine.Pool) {
		if workload.Model == model && versionBounds(workload).Accept(version) {
			return true
		}
	}
	return false
}

func hasInteractive(current *bundle.Bundle, pool string) bool {
	for _, workload := range poolWorkloads(current, pool) {
		if workload.Kind == bundle.Interactive {
			return true
		}
	}
	return false
}

func servingFloor(current *bundle.Bundle, pool string) float64 {
	found := current.Pool(pool)
	if found == nil {
		return 0
	}
	return found.ServingFloor
}

// poolEngines returns the IDs of the pool's engines that are not leaving.
func (o *engineOwner) poolEngines() []string {
	var names []string
	for _, machine := range o.config.Directory.Engines(o.machine.Pool) {
		if machine.State == platform.MachineLive {
			names = append(names, machine.ID)
		}
	}
	return names
}

// load loads the desired version and returns nil once the engine's status shows it.
func (o *engineOwner) load(ctx context.Context, plan modelPlan) error {
	before := o.state.view()
	o.state.setLoading(true)
	defer o.state.setLoading(false)
	order := platform.LoadOrder{Fence: o.nextFence(), Model: plan.model, Version: plan.desired}
	o.dispatcher.counters.WeightOrders.Add(1)
	if err := o.sendLoadOrder(ctx, order); err != nil {
		return err
	}
	// A status with the ordered version proves the load only if the previous status showed another version.
	provesLoad := before.served[order.Model] != order.Version && !before.quarantined[order.Model]
	return o.verify(ctx, order, provesLoad)
}

func (o *engineOwner) sendLoadOrder(ctx context.Context, order platform.LoadOrder) error {
	ctx, cancel := context.WithTimeout(ctx, o.config.Timing.LoadTimeout)
	defer cancel()
	return oops.With("model", order.Model, "version", order.Version).Wrapf(o.engine.Load(ctx, order), "load weights")
}

// verifyReads is the maximum number of status reads within the status lag.
const verifyReads = 5

// verify reads the status until it is newer than the order, and compares the versions. early accepts the first status
// that shows the ordered version; otherwise only the last read, after the full status lag, counts.
func (o *engineOwner) verify(ctx context.Context, order platform.LoadOrder, early bool) error {
	for read := 1; read <= verifyReads; read++ {
		waitFor(ctx, o.config.Timing.StatusLag/verifyReads)
		if !early && read < verifyReads {
			continue
		}
		status, err := o.readStatus(ctx)
		if err != nil {
			return err
		}
		if status.Served[order.Model] == order.Version {
			o.state.recordVerified(order.Model, order.Version)
			return nil
		}
	}
	return oops.With("ordered", order.Version).Wrap(errUnverified)
}
