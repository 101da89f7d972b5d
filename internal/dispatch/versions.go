package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/hillfork/hillfork/internal/bundle"
	"github.com/hillfork/hillfork/internal/policy"
)

// WeightFactKey returns the key of the fact that holds the newest weight version published for a workload.
func WeightFactKey(workload string) string {
	return "weights/" + workload
}

// knownVersion is the newest known version of a model and the time at which this node learned of it.
type knownVersion struct {
	version uint64
	since   time.Time
}

// versionTracker holds the newest published version of each model. It combines all sources.
type versionTracker struct {
	notify *notifier

	mutex   sync.Mutex
	newest  map[string]knownVersion
	queried map[string]bool
}

func newVersionTracker() *versionTracker {
	return &versionTracker{notify: newNotifier(), newest: map[string]knownVersion{}, queried: map[string]bool{}}
}

// observe records that a version of a model was published.
func (v *versionTracker) observe(model string, version uint64) {
	v.mutex.Lock()
	newer := version > v.newest[model].version
	if newer {
		v.newest[model] = knownVersion{version: version, since: time.Now()}
	}
	v.mutex.Unlock()
	if newer {
		v.notify.notify()
	}
}

func (v *versionTracker) latest(model string) knownVersion {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	return v.newest[model]
}

// markQueried marks a model as queried at the weight store and reports whether it was not before.
func (v *versionTracker) markQueried(model string) bool {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	if v.queried[model] {
		return false
	}
	v.queried[model] = true
	return true
}

// observeFacts records the versions in the facts for the workloads of the bundle in force.
func (d *Dispatcher) observeFacts() {
	accepted := d.config.Bundles.Current()
	if accepted == nil || d.config.Facts == nil {
		return
	}
	for _, workload := range accepted.Bundle.Workloads {
		version, _, known := d.config.Facts.Fact(WeightFactKey(workload.Name))
		if known {
			d.versions.observe(workload.Model, version)
		}
	}
}

// watchFacts records versions from facts until the context ends.
func (d *Dispatcher) watchFacts(ctx context.Context) {
	if d.config.Facts == nil {
		return
	}
	for ctx.Err() == nil {
		facts, bundles := d.config.Facts.FactsChanged(), d.config.Bundles.Changed()
		d.observeFacts()
		select {
		case <-ctx.Done():
		case <-facts:
		case <-bundles:
		}
	}
}

// queryWeightStore queries the weight store for a model's newest version, at most once per model, and retries until the
// store answers.
func (d *Dispatcher) queryWeightStore(ctx context.Context, model string) {
	if d.config.Weights == nil || !d.versions.markQueried(model) {
		return
	}
	retryBackoff := d.config.Timing.newBackoff()
	for ctx.Err() == nil {
		version, err := d.config.Weights.Latest(ctx, model)
		if err == nil {
			d.versions.observe(model, version)
			return
		}
		waitFor(ctx, retryBackoff.NextBackOff())
	}
}

// modelPlan is the version of one model that an engine should serve.
type modelPlan struct {
	model   string
	desired uint64
	since   time.Time
}

// planModels returns the versions that the engines of a pool should serve under a bundle, in the order of its
// workloads. It has no side effects.
func planModels(current *bundle.Bundle, pool string, latest func(model string) knownVersion) []modelPlan {
	var models []string
	bounds := map[string][]policy.VersionBounds{}
	for _, workload := range poolWorkloads(current, pool) {
		if bounds[workload.Model] == nil {
			models = append(models, workload.Model)
		}
		bounds[workload.Model] = append(bounds[workload.Model], versionBounds(workload))
	}
	plans := make([]modelPlan, 0, len(models))
	for _, model := range models {
		known := latest(model)
		plans = append(plans, modelPlan{
			model:   model,
			desired: policy.DesiredVersion(known.version, bounds[model]),
			since:   known.since,
		})
	}
	return plans
}

func versionBounds(workload bundle.Workload) policy.VersionBounds {
	return policy.VersionBounds{Min: workload.MinVersion, Max: workload.MaxVersion}
}

// poolWorkloads returns the workloads that a pool may run.
func poolWorkloads(current *bundle.Bundle, pool string) []bundle.Workload {
	var workloads []bundle.Workload
	for _, workload := range current.Workloads {
		for _, name := range workload.Pools {
			if name == pool {
				workloads = append(workloads, workload)
				break
			}
		}
	}
	return workloads
}
