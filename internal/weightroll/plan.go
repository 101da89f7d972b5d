package weightroll

import (
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

// Assign gives every engine of a pool to one of its models, as evenly as engines allow: each trained model needs engines of
// its newest version, and a load takes an engine away from all others. An engine keeps its model while the shares stay even;
// otherwise it goes where its version is least behind.
func Assign(engines []fleet.Engine, targets map[string]int64, previous Assignment) Assignment {
	models := trainedModels(targets)
	assignment := make(Assignment, len(engines))
	if len(models) == 0 {
		return assignment
	}
	quota := (len(engines) + len(models) - 1) / len(models)
	counts := make(map[string]int, len(models))
	var free []fleet.Engine
	for _, engine := range sortedByZone(engines) {
		model, kept := previous[engine.ID]
		if kept && counts[model] < quota && slices.Contains(models, model) {
			assignment[engine.ID] = model
			counts[model]++
			continue
		}
		free = append(free, engine)
	}
	for _, engine := range free {
		model := nearestModel(engine, models, targets, counts)
		assignment[engine.ID] = model
		counts[model]++
	}
	level(assignment, engines, models, counts)
	return assignment
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

// nearestModel returns the model with the fewest engines; among equals the one whose newest version the engine is nearest to.
func nearestModel(engine fleet.Engine, models []string, targets map[string]int64, counts map[string]int) string {
	return slices.MinFunc(models, func(a, b string) int {
		if counts[a] != counts[b] {
			return counts[a] - counts[b]
		}
		behindA, behindB := targets[a]-engine.Serves(a), targets[b]-engine.Serves(b)
		if behindA != behindB {
			return int(behindA - behindB)
		}
		return strings.Compare(a, b)
	})
}

// level moves engines from models with two more than others to these.
func level(assignment Assignment, engines []fleet.Engine, models []string, counts map[string]int) {
	byCount := func(a, b string) int { return counts[a] - counts[b] }
	for {
		least, most := slices.MinFunc(models, byCount), slices.MaxFunc(models, byCount)
		if counts[most]-counts[least] < 2 {
			return
		}
		for _, engine := range engines {
			if assignment[engine.ID] == most {
				assignment[engine.ID] = least
				break
			}
		}
		counts[most]--
		counts[least]++
	}
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
// furthest behind go first: they are the least use to the jobs that run.
func Plan(input PlanInput) []Step {
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
	var steps []Step
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
	return steps
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
