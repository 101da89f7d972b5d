package weightroll

import (
	"cmp"
	"slices"
	"strings"

	"github.com/hillfork/hillfork/internal/fleet"
)

// Step is one engine to be brought to a version.
type Step struct {
	Engine  fleet.Engine
	Model   string
	Version int64
}

// Assignment maps engines to the model that they are kept up to date for.
type Assignment map[string]string

// Demand is what a model asks of its pool.
type Demand struct {
	// Priority is the rank of the model's jobs, 0 first.
	Priority int
	// Work is how much there was lately, in any unit.
	Work float64
}

// compare orders demands, the one to be served better first.
func (d Demand) compare(other Demand) int {
	return cmp.Or(cmp.Compare(d.Priority, other.Priority), cmp.Compare(other.Work, d.Work))
}

// Assign gives every engine of a pool to one of its models, as evenly as engines allow: each trained model needs engines of
// its newest version, and a load takes an engine away from all others. Where engines do not divide evenly, the more urgent
// models have one more, and among equally urgent ones those with more work. An engine keeps its model while that is within
// the model's share; otherwise it goes where engines are missing, and there to the model whose newest version it is nearest to.
func Assign(
	engines []fleet.Engine, targets map[string]int64, previous Assignment, demands map[string]Demand,
) Assignment {
	models := trainedModels(targets)
	assignment := make(Assignment, len(engines))
	if len(models) == 0 {
		return assignment
	}
	missing := shares(len(engines), models, demands)
	var free []fleet.Engine
	for _, engine := range sortedByZone(engines) {
		if model, kept := previous[engine.ID]; kept && missing[model] > 0 {
			assignment[engine.ID] = model
			missing[model]--
			continue
		}
		free = append(free, engine)
	}
	for _, engine := range free {
		model := nearestModel(engine, models, targets, missing)
		assignment[engine.ID] = model
		missing[model]--
	}
	return assignment
}

// covers tells whether the assignment is of just these engines and models.
func (a Assignment) covers(engines []fleet.Engine, targets map[string]int64) bool {
	if len(a) != len(engines) {
		return false
	}
	models := make(map[string]bool, len(targets))
	for _, engine := range engines {
		model, assigned := a[engine.ID]
		if _, trained := targets[model]; !assigned || !trained {
			return false
		}
		models[model] = true
	}
	return len(models) == min(len(targets), len(engines))
}

// shares returns how many engines each model has; they differ by one at most.
func shares(engines int, models []string, demands map[string]Demand) map[string]int {
	byDemand := slices.Clone(models)
	slices.SortStableFunc(byDemand, func(a, b string) int { return demands[a].compare(demands[b]) })
	shares := make(map[string]int, len(models))
	for i, model := range byDemand {
		shares[model] = engines / len(models)
		if i < engines%len(models) {
			shares[model]++
		}
	}
	return shares
}

func trainedModels(targets map[string]int64) []string {
	models := make([]string, 0, len(targets))
	for model := range targets {
		models = append(models, model)
	}
	slices.Sort(models)
	return models
}

// sortedByZone orders engines so that neighbours lie in different zones where possible: by rank within the zone, then zone.
func sortedByZone(engines []fleet.Engine) []fleet.Engine {
	sorted := slices.Clone(engines)
	slices.SortFunc(sorted, func(a, b fleet.Engine) int { return strings.Compare(a.ID, b.ID) })
	rank := make(map[string]int, len(sorted))
	seen := make(map[string]int)
	for _, engine := range sorted {
		rank[engine.ID] = seen[engine.Zone]
		seen[engine.Zone]++
	}
	slices.SortStableFunc(sorted, func(a, b fleet.Engine) int {
		if rank[a.ID] != rank[b.ID] {
			return rank[a.ID] - rank[b.ID]
		}
		return strings.Compare(a.Zone, b.Zone)
	})
	return sorted
}

// nearestModel returns the model that misses most engines; among equals the one whose newest version the engine is nearest to.
func nearestModel(engine fleet.Engine, models []string, targets map[string]int64, missing map[string]int) string {
	return slices.MinFunc(models, func(a, b string) int {
		return cmp.Or(
			cmp.Compare(missing[b], missing[a]),
			cmp.Compare(targets[a]-engine.Serves(a), targets[b]-engine.Serves(b)),
			strings.Compare(a, b),
		)
	})
}

// PlanInput is what a plan rests on.
type PlanInput struct {
	Engines []fleet.Engine
	// Targets are the newest named versions of the pool's models.
	Targets    map[string]int64
	Assignment Assignment
	// Loading maps engines that are being ordered now to the model.
	Loading map[string]string
	// AtOnce is how many engines may load together.
	AtOnce int
}

// Plan returns the engines to order next: models with the fewest loading first, of these the ones with the fewest engines
// up to date, so that every trainer finds some engine of the newest version early. Of a model's engines the ones that are
// furthest behind go first: they are the least use to the jobs that run. It also returns how many engines wait for their turn.
func Plan(input PlanInput) (steps []Step, waiting int) {
	loading := make(map[string]int)
	for _, model := range input.Loading {
		loading[model]++
	}
	fresh := make(map[string]int)
	var behind []Step
	for _, engine := range sortedByZone(input.Engines) {
		model, assigned := input.Assignment[engine.ID]
		if !assigned || engine.Draining {
			continue
		}
		if engine.Serves(model) >= input.Targets[model] {
			fresh[model]++
			continue
		}
		if _, busy := input.Loading[engine.ID]; !busy {
			behind = append(behind, Step{Engine: engine, Model: model, Version: input.Targets[model]})
		}
	}
	for len(behind) > 0 && len(input.Loading)+len(steps) < input.AtOnce {
		next := 0
		for i, step := range behind {
			if less(step, behind[next], loading, fresh) {
				next = i
			}
		}
		steps = append(steps, behind[next])
		loading[behind[next].Model]++
		behind = slices.Delete(behind, next, next+1)
	}
	return steps, len(behind)
}

func less(a, b Step, loading, fresh map[string]int) bool {
	if loading[a.Model] != loading[b.Model] {
		return loading[a.Model] < loading[b.Model]
	}
	if fresh[a.Model] != fresh[b.Model] {
		return fresh[a.Model] < fresh[b.Model]
	}
	return a.Version-a.Engine.Serves(a.Model) > b.Version-b.Engine.Serves(b.Model)
}
