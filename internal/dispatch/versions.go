package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/hillfork/hillfork/internal/bundle"
	"github.com/hillfork/hillfork/internal/policy"
)

// WeightFactKey is the key of the fact whose version is the newest weight version published for a workload.
func WeightFactKey(workload string) string {
	return "weights/" + workload
}

// knownVersion is the newest version of a model and when this node learned of it.
type knownVersion struct {
	version uint64
	since   time.Time
}

// versionTracker holds the newest published version of each model, from whatever source told of it first.
type versionTracker struct {
	notify *notifier

	mutex  sync.Mutex
	newest map[string]knownVersion
	asked  map[string]bool
}

func newVersionTracker() *versionTracker {
	return &versionTracker{notify: newNotifier(), newest: map[string]knownVersion{}, asked: map[string]bool{}}
}

// learn notes that a version of a model was published.
func (v *versionTracker) learn(model string, version uint64) {
	v.mutex.Lock()
	isNews := version > v.newest[model].version
	if isNews {
		v.newest[model] = knownVersion{version: version, since: time.Now()}
	}
	v.mutex.Unlock()
	if isNews {
		v.notify.notify()
	}
}

func (v *versionTracker) latest(model string) knownVersion {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	return v.newest[model]
}

// askOnce tells whether the weight store has still to be asked for a model, and notes that it is.
func (v *versionTracker) askOnce(model string) bool {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	if v.asked[model] {
		return false
	}
	v.asked[model] = true
	return true
}

// learnFromFacts takes over what the facts say of the workloads of a bundle.
func (d *Dispatcher) learnFromFacts() {
	accepted := d.config.Bundles.Current()
	if accepted == nil || d.config.Facts == nil {
		return
	}
	for _, workload := range accepted.Bundle.Workloads {
		version, _, known := d.config.Facts.Fact(WeightFactKey(workload.Name))
		if known {
			d.versions.learn(workload.Model, version)
		}
	}
}

// followFacts learns versions from facts until the context ends.
func (d *Dispatcher) followFacts(ctx context.Context) {
	if d.config.Facts == nil {
		return
	}
	for ctx.Err() == nil {
		facts, bundles := d.config.Facts.FactsChanged(), d.config.Bundles.Changed()
		d.learnFromFacts()
		select {
		case <-ctx.Done():
		case <-facts:
		case <-bundles:
		}
	}
}

// askWeightStore asks once for the newest version of a model that this node has to load, until the store answers.
func (d *Dispatcher) askWeightStore(ctx context.Context, model string) {
	if d.config.Weights == nil || !d.versions.askOnce(model) {
		return
	}
	pauses := d.config.Timing.newBackoff()
	for ctx.Err() == nil {
		version, err := d.config.Weights.Latest(ctx, model)
		if err == nil {
			d.versions.learn(model, version)
			return
		}
		waitFor(ctx, pauses.NextBackOff())
	}
}

// modelPlan is what an engine should serve of one model.
type modelPlan struct {
	model   string
	desired uint64
	since   time.Time
}

// planModels tells what the engines of a pool should serve under a bundle, in the order of its workloads. It is pure.
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
