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

// errUnverified says that a load was acknowledged, but the engine serves another version.
var errUnverified = errors.New("engine does not serve what it was ordered to")

// loadWeights keeps the engine on the desired versions until the context ends. Orders are given one at a time, because an
// engine refuses an order that was overtaken by a newer one.
func (o *engineOwner) loadWeights(ctx context.Context) {
	pauses := o.config.Timing.newBackoff()
	for ctx.Err() == nil {
		state, versions := o.state.notify.changed(), o.dispatcher.versions.notify.changed()
		slots := o.slots.notify.changed()
		plan, delay, due := o.nextLoad()
		var idle <-chan struct{}
		if delay < idleLook {
			idle = slots // a load is pending, which an idle engine need not wait for
		}
		if !due {
			waitFor(ctx, delay, state, versions, idle)
			continue
		}
		err := o.load(ctx, plan)
		switch {
		case err == nil:
			pauses.Reset()
		case errors.Is(err, platform.ErrStaleOrder):
			o.stepDown()
		default:
			o.countLoadFailure(err)
			waitFor(ctx, pauses.NextBackOff())
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

// idleLook is how long the loader rests when nothing is due and nothing changes.
const idleLook = time.Minute

// nextLoad returns the load that is due now, or how long it is until one may be.
func (o *engineOwner) nextLoad() (plan modelPlan, delay time.Duration, due bool) {
	accepted := o.config.Bundles.Current()
	view := o.state.view()
	if accepted == nil || !view.reachable() {
		return modelPlan{}, idleLook, false
	}
	delay = idleLook
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

// needsLoad tells whether the engine has to be ordered to load.
func needsLoad(plan modelPlan, view engineView) bool {
	if plan.desired == 0 {
		return false
	}
	return view.served[plan.model] != plan.desired || view.quarantined[plan.model]
}

// untilWave is how long it is until the engine's wave starts. An engine that serves nothing of use does not wait for it,
// nor does an idle one in a pool without interactive work.
func (o *engineOwner) untilWave(current *bundle.Bundle, plan modelPlan, view engineView) time.Duration {
	served, serves := view.served[plan.model]
	if !serves || view.quarantined[plan.model] || !o.useful(current, plan.model, served) {
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
	delay := policy.WaveDelay(wave, waves, o.config.Timing.Roll, o.config.Timing.Wave)
	return time.Until(plan.since.Add(delay))
}

// useful tells whether any workload of the pool accepts the version that the engine serves.
func (o *engineOwner) useful(current *bundle.Bundle, model string, version uint64) bool {
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

// poolEngines names the engines of the pool that are not leaving.
func (o *engineOwner) poolEngines() []string {
	var names []string
	for _, machine := range o.config.Directory.Engines(o.machine.Pool) {
		if machine.State == platform.MachineLive {
			names = append(names, machine.ID)
		}
	}
	return names
}

// load brings the engine to the desired version and returns nil once it was seen to serve it.
func (o *engineOwner) load(ctx context.Context, plan modelPlan) error {
	before := o.state.view()
	o.state.setLoading(true)
	defer o.state.setLoading(false)
	order := platform.LoadOrder{Fence: o.nextFence(), Model: plan.model, Version: plan.desired}
	o.dispatcher.counters.WeightOrders.Add(1)
	if err := o.order(ctx, order); err != nil {
		return err
	}
	// A status that shows the ordered version proves the load, if the last one showed another.
	shows := before.served[order.Model] != order.Version && !before.quarantined[order.Model]
	return o.verify(ctx, order, shows)
}

func (o *engineOwner) order(ctx context.Context, order platform.LoadOrder) error {
	ctx, cancel := context.WithTimeout(ctx, o.config.Timing.Load)
	defer cancel()
	return oops.With("model", order.Model, "version", order.Version).Wrapf(o.engine.Load(ctx, order), "load weights")
}

// verifySteps is how many times the status is read within its lag.
const verifySteps = 5

// verify reads the status until it is newer than the order, and compares. early accepts the first status that shows the
// ordered version.
func (o *engineOwner) verify(ctx context.Context, order platform.LoadOrder, early bool) error {
	for step := 1; step <= verifySteps; step++ {
		waitFor(ctx, o.config.Timing.StatusLag/verifySteps)
		if !early && step < verifySteps {
			continue
		}
		status, err := o.readStatus(ctx)
		if err != nil {
			return err
		}
		if status.Served[order.Model] == order.Version {
			o.state.verified(order.Model, order.Version)
			return nil
		}
	}
	return oops.With("ordered", order.Version).Wrap(errUnverified)
}
