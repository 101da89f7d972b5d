package weightroll

import (
	"cmp"
	"maps"
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

// Assign gives the engines of a pool to its models, as many to each as shares says, and those that are left to none: a trained model
// needs engines of its newest version, and a load takes an engine away from all others. An engine that is kept stays with its model
// whatever the model's share. Any other keeps its model while that is within its share, and goes where engines are missing otherwise, there
// to the model whose newest version it is nearest to.
func Assign(
	engines []fleet.Engine, targets map[string]int64, previous Assignment, shares map[string]int, kept func(fleet.Engine, string) bool,
) Assignment {
	models := trainedModels(targets)
	assignment := make(Assignment, len(engines))
	if len(models) == 0 {
		return assignment
	}
	missing := maps.Clone(shares)
	var movable, free []fleet.Engine
	for _, engine := range sortedByZone(engines) {
		if model, assigned := previous[engine.ID]; assigned && kept(engine, model) {
			assignment[engine.ID] = model
			missing[model]--
			continue
		}
		movable = append(movable, engine)
	}
	for _, engine := range movable {
		if model, assigned := previous[engine.ID]; assigned && missing[model] > 0 {
			assignment[engine.ID] = model
			missing[model]--
			continue
		}
		free = append(free, engine)
	}
	for _, engine := range free {
		model := nearestModel(engine, models, targets, missing)
		if missing[model] <= 0 {
			// All models have what they are to have.
			break
		}
		assignment[engine.ID] = model
		missing[model]--
	}
	return assignment
}

// relevant returns the engines of a pool to which an assignment may give a model: those that have one, and as many of the others, by zones,
// as models miss. Of thousands of engines steps need some hundreds, and a plan is made many times a second.
func relevant(engines []fleet.Engine, previous Assignment, shares map[string]int) []fleet.Engine {
	missing := maps.Clone(shares)
	var chosen, others []fleet.Engine
	for _, engine := range engines {
		if model, assigned := previous[engine.ID]; assigned {
			chosen = append(chosen, engine)
			missing[model]--
		}
	}
	needed := 0
	for _, count := range missing {
		needed += max(0, count)
	}
	if needed == 0 {
		return chosen
	}
	for _, engine := range engines {
		if _, assigned := previous[engine.ID]; !assigned {
			others = append(others, engine)
		}
	}
	return append(chosen, sortedByZone(others)[:min(needed, len(others))]...)
}

// counts returns how many engines each model has.
func (a Assignment) counts() map[string]int {
	counts := make(map[string]int)
	for _, model := range a {
		counts[model]++
	}
	return counts
}

func trainedModels(targets map[string]int64) []string {
	models := make([]string, 0, len(targets))
	for model := range targets {
		models = append(models, model)
	}
	slices.Sort(models)
	return models
}

// sortedByZone orders engines so that neighbours lie in different zones where possible: the first of each zone, then the second of each,
// and so on, by their ids.
func sortedByZone(engines []fleet.Engine) []fleet.Engine {
	byID := func(a, b fleet.Engine) int { return strings.Compare(a.ID, b.ID) }
	if !slices.IsSortedFunc(engines, byID) {
		engines = slices.Clone(engines)
		slices.SortFunc(engines, byID)
	}
	zones := make(map[string][]fleet.Engine)
	for _, engine := range engines {
		zones[engine.Zone] = append(zones[engine.Zone], engine)
	}
	names := slices.Sorted(maps.Keys(zones))
	sorted := make([]fleet.Engine, 0, len(engines))
	for rank := 0; len(sorted) < len(engines); rank++ {
		for _, name := range names {
			if rank < len(zones[name]) {
				sorted = append(sorted, zones[name][rank])
			}
		}
	}
	return sorted
}

// nearestModel returns the model that misses most engines; among equals the one whose newest version the engine is nearest to.
func nearestModel(engine fleet.Engine, models []string, targets map[string]int64, missing map[string]int) string {
	return slices.MinFunc(models, func(a, b string) int {
		return cmp.Or(
			cmp.Compare(missing[b], missing[a]),
			cmp.Compare(targets[a]-engine.ServedVersion(a), targets[b]-engine.ServedVersion(b)),
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

// Plan returns the engines to order next: models with the smallest part of their engines loading first, of these the ones with
// the smallest part up to date, so that every trainer finds some engines of the newest version early. Of a model's engines the ones that are
// furthest behind go first: they are the least use to the jobs that run. It also returns how many engines wait for their turn.
func Plan(input PlanInput) (steps []Step, waiting int) {
	loading := make(map[string]int)
	for _, model := range input.Loading {
		loading[model]++
	}
	counts := input.Assignment.counts()
	fresh := make(map[string]int)
	behind := make(map[string][]rankedStep)
	for i, engine := range sortedByZone(input.Engines) {
		model, assigned := input.Assignment[engine.ID]
		if !assigned || engine.Draining {
			continue
		}
		if engine.ServedVersion(model) >= input.Targets[model] {
			fresh[model]++
			continue
		}
		if _, busy := input.Loading[engine.ID]; !busy {
			behind[model] = append(behind[model], rankedStep{Step{Engine: engine, Model: model, Version: input.Targets[model]}, i})
			waiting++
		}
	}
	for _, ranked := range behind {
		slices.SortStableFunc(ranked, func(a, b rankedStep) int { return cmp.Compare(b.gap(), a.gap()) })
	}
	for waiting > 0 && len(input.Loading)+len(steps) < input.AtOnce {
		// Of each model the first one goes next.
		var next rankedStep
		for _, ranked := range behind {
			if next.Model == "" || less(ranked[0], next, counts, loading, fresh) {
				next = ranked[0]
			}
		}
		steps = append(steps, next.Step)
		loading[next.Model]++
		waiting--
		if behind[next.Model] = behind[next.Model][1:]; len(behind[next.Model]) == 0 {
			delete(behind, next.Model)
		}
	}
	return steps, waiting
}

// rankedStep is a step with its engine's place among all.
type rankedStep struct {
	Step
	place int
}

// gap is by how many versions the engine is behind.
func (s rankedStep) gap() int64 {
	return s.Version - s.Engine.ServedVersion(s.Model)
}

// less compares what is loading and up to date of two models as parts of the engines that they have, then how far the engines are behind.
func less(a, b rankedStep, counts, loading, fresh map[string]int) bool {
	ofA, ofB := counts[a.Model], counts[b.Model]
	return cmp.Or(
		cmp.Compare(loading[a.Model]*ofB, loading[b.Model]*ofA),
		cmp.Compare(fresh[a.Model]*ofB, fresh[b.Model]*ofA),
		cmp.Compare(b.gap(), a.gap()),
		cmp.Compare(a.place, b.place),
	) < 0
}
