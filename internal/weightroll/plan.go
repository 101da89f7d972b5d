package weightroll

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"github.com/hillfork/hillfork/internal/fleet"
)

// Step is the update of one engine to a version of a model.
type Step struct {
	Engine  fleet.Engine
	Model   string
	Version int64
}

// Assignment maps engine ids to the model that the engine is assigned to.
type Assignment map[string]string

// Assign assigns the engines of a pool to its models, to each as many as shares says, and leaves the others unassigned:
// a trained model needs engines with its newest version, and a load takes an engine out of service for all other
// models. A pinned engine keeps its model whatever the model's share. Any other engine keeps its model while that is
// within its share. Otherwise it is assigned to the model that lacks the most engines, and among equals to the one
// whose newest version it is nearest to.
func Assign(
	engines []fleet.Engine, targets map[string]int64, previous Assignment, shares map[string]int, pinned func(fleet.Engine, string) bool,
) Assignment {
	models := trainedModels(targets)
	assignment := make(Assignment, len(engines))
	if len(models) == 0 {
		return assignment
	}
	missing := maps.Clone(shares)
	var movable, unassigned []fleet.Engine
	for _, engine := range sortedByZone(engines) {
		if model, assigned := previous[engine.ID]; assigned && pinned(engine, model) {
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
		unassigned = append(unassigned, engine)
	}
	for _, engine := range unassigned {
		model := nearestModel(engine, models, targets, missing)
		if missing[model] <= 0 {
			// All models have their share.
			break
		}
		assignment[engine.ID] = model
		missing[model]--
	}
	return assignment
}

// candidateEngines returns the engines of a pool that an assignment may use: those already assigned, and as many
// others, spread over zones, as the models lack. Steps need some hundreds out of thousands of engines, and a plan is
// made many times a second.
func candidateEngines(engines []fleet.Engine, previous Assignment, shares map[string]int) []fleet.Engine {
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

// counts returns the number of engines of each model.
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

// sortedByZone sorts engines so that neighbours are in different zones where possible: the first of each zone, then the
// second of each, and so on, by id.
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

// nearestModel returns the model that lacks the most engines, among equals the one whose newest version is nearest to
// the engine's.
func nearestModel(engine fleet.Engine, models []string, targets map[string]int64, missing map[string]int) string {
	return slices.MinFunc(models, func(a, b string) int {
		return cmp.Or(
			cmp.Compare(missing[b], missing[a]),
			cmp.Compare(targets[a]-engine.ServedVersion(a), targets[b]-engine.ServedVersion(b)),
			strings.Compare(a, b),
		)
	})
}

// PlanInput is the input of Plan.
type PlanInput struct {
	Engines []fleet.Engine
	// Targets are the newest versions of the pool's models that trainers have published.
	Targets    map[string]int64
	Assignment Assignment
	// Loading maps the engines with an order in progress to their model.
	Loading map[string]string
	// MaxLoads is how many engines may load concurrently.
	MaxLoads int
}

// Plan returns the engines to order next. Models with the smallest fraction of their engines loading come first, and
// among these the ones with the smallest fraction up to date, so that every trainer soon has some engines with its
// newest version. Of a model's engines the most outdated come first, since running jobs can use them least. Plan also
// returns how many engines remain waiting to load.
func Plan(input PlanInput) (steps []Step, waiting int) {
	loading := make(map[string]int)
	for _, model := range input.Loading {
		loading[model]++
	}
	counts := input.Assignment.counts()
	upToDate := make(map[string]int)
	outdated := make(map[string][]rankedStep)
	for i, engine := range sortedByZone(input.Engines) {
		model, assigned := input.Assignment[engine.ID]
		if !assigned || engine.Draining {
			continue
		}
		if engine.ServedVersion(model) >= input.Targets[model] {
			upToDate[model]++
			continue
		}
		if _, busy := input.Loading[engine.ID]; !busy {
			outdated[model] = append(outdated[model], rankedStep{Step{Engine: engine, Model: model, Version: input.Targets[model]}, i})
			waiting++
		}
	}
	for _, ranked := range outdated {
		slices.SortStableFunc(ranked, func(a, b rankedStep) int { return cmp.Compare(b.gap(), a.gap()) })
	}
	for waiting > 0 && len(input.Loading)+len(steps) < input.MaxLoads {
		// Compare the first engine of each model.
		var next rankedStep
		for _, ranked := range outdated {
			if next.Model == "" || less(ranked[0], next, counts, loading, upToDate) {
				next = ranked[0]
			}
		}
		steps = append(steps, next.Step)
		loading[next.Model]++
		waiting--
		if outdated[next.Model] = outdated[next.Model][1:]; len(outdated[next.Model]) == 0 {
			delete(outdated, next.Model)
		}
	}
	return steps, waiting
}

// rankedStep is a step with the position of its engine in the order of sortedByZone.
type rankedStep struct {
	Step
	rank int
}

// gap returns by how many versions the engine is behind.
func (s rankedStep) gap() int64 {
	return s.Version - s.Engine.ServedVersion(s.Model)
}

// less compares the loading and the up-to-date engines of two models as fractions of the models' engines, then how far
// the engines are behind.
func less(a, b rankedStep, counts, loading, upToDate map[string]int) bool {
	countA, countB := counts[a.Model], counts[b.Model]
	return cmp.Or(
		cmp.Compare(loading[a.Model]*countB, loading[b.Model]*countA),
		cmp.Compare(upToDate[a.Model]*countB, upToDate[b.Model]*countA),
		cmp.Compare(b.gap(), a.gap()),
		cmp.Compare(a.rank, b.rank),
	) < 0
}
