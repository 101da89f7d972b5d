package replica

import (
	"slices"
	"time"

	"github.com/hillfork/hillfork/internal/catalog"
	"github.com/hillfork/hillfork/internal/policy"
)

// models returns the models of all pools, sorted.
func (r *Replica) models() []string {
	return modelsOf(r.catalog.Current())
}

// modelsOf returns the models of all pools of a catalog, sorted.
func modelsOf(current *catalog.Catalog) []string {
	if current == nil {
		return nil
	}
	var models []string
	for _, pool := range current.Pools {
		models = append(models, pool.Models...)
	}
	slices.Sort(models)
	return slices.Compact(models)
}

// stepLoads returns the load that the steps of each model put on engines, based on the steps in the index.
func (r *Replica) stepLoads() map[string]policy.StepLoad {
	current := r.catalog.Current()
	steps := make(map[string][]policy.Step)
	priorities := make(map[string]int)
	for _, model := range r.models() {
		steps[model] = nil
	}
	for model, jobs := range r.index.JobsByModel() {
		for _, status := range jobs {
			steps[model] = append(steps[model], policy.Step{
				At: status.AcceptedAt, Tokens: float64(status.Entry.Work), Items: status.SlotTime.Items, Longest: status.SlotTime.Longest,
				Count: status.Entry.Items,
				Open:  !status.Ended && !status.Settled,
			})
		}
		if current != nil {
			last := jobs[len(jobs)-1].Entry
			route, _ := current.Match(last.Host, last.Path)
			priorities[model] = current.Priority(route, last.Tenant)
		}
	}
	loads := policy.StepLoads(steps, time.Now())
	for model, load := range loads {
		load.Priority = priorities[model]
		loads[model] = load
	}
	return loads
}
