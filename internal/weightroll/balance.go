package weightroll

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/hillfork/hillfork/internal/fleet"
)

const (
	// minPaceRatio is the minimum ratio between the paces of two engines for swapping them between models. Measured
	// paces of equal engines differ by a few percent.
	minPaceRatio = 1.3
	// minLargerImbalance is the minimum deviation of one of the two models from its share of the speed, as a multiple
	// of the speed that the swap moves. A value above 1 keeps a swap from being undone when the shares of models change
	// by one engine.
	minLargerImbalance = 1.25
	// minSmallerImbalance is the same minimum for the other model. With 0.5 or more, a swap increases the deviation of
	// neither.
	minSmallerImbalance = 0.5
)

// Balance swaps engines between the models of an assignment until each model has its share of the pool's speed. It
// returns the new assignment and the number of swapped pairs. A step ends with its longest item, which runs on one
// engine, so a model without fast engines is late however many engines it has. An engine of unknown pace counts as one
// of median speed. Only engines for which mayMove returns true are swapped; each swapped engine has to load weights.
func Balance(
	assignment Assignment, engines []fleet.Engine, shares map[string]int, paces map[string]time.Duration, mayMove func(id string) bool,
) (Assignment, int) {
	speeds := newSpeeds(assignment, engines, paces)
	if speeds == nil {
		return assignment, 0
	}
	balanced := maps.Clone(assignment)
	swaps := 0
	for range engines {
		excessOf := speeds.excess(balanced, shares)
		fast, slow, found := bestSwap(balanced, speeds, excessOf, mayMove)
		if !found {
			break
		}
		balanced[fast], balanced[slow] = balanced[slow], balanced[fast]
		swaps++
	}
	return balanced, swaps
}

// speeds maps engine ids to speeds relative to the engine of median pace, which has 1.
type speeds map[string]float64

// newSpeeds returns the speeds of the assigned engines, or nil if no two differ enough for a swap.
func newSpeeds(assignment Assignment, engines []fleet.Engine, paces map[string]time.Duration) speeds {
	var known []time.Duration
	for _, engine := range engines {
		if pace := paces[engine.ID]; pace > 0 && assignment[engine.ID] != "" {
			known = append(known, pace)
		}
	}
	if len(known) == 0 {
		return nil
	}
	slices.Sort(known)
	median := known[len(known)/2]
	if float64(known[len(known)-1]) < minPaceRatio*float64(known[0]) {
		return nil
	}
	result := make(speeds, len(engines))
	for _, engine := range engines {
		if assignment[engine.ID] == "" {
			continue
		}
		result[engine.ID] = 1
		if pace := paces[engine.ID]; pace > 0 {
			result[engine.ID] = float64(median) / float64(pace)
		}
	}
	return result
}

// excess returns by how much the total speed of each model's engines exceeds the model's share of the pool's speed. It
// sums in a fixed order: the rounding errors of the sums would otherwise vary from plan to plan, and a swap close to the
// threshold would be made by one of many plans.
func (s speeds) excess(assignment Assignment, shares map[string]int) map[string]float64 {
	total, count := 0.0, 0
	excessOf := make(map[string]float64)
	for _, id := range slices.SortedFunc(maps.Keys(s), strings.Compare) {
		total += s[id]
		excessOf[assignment[id]] += s[id]
	}
	for _, share := range shares {
		count += share
	}
	for model, share := range shares {
		excessOf[model] -= total * float64(share) / float64(max(1, count))
	}
	return excessOf
}

// bestSwap returns the pair of engines of two models whose swap moves the most speed from a model above its share to
// one below it.
func bestSwap(assignment Assignment, speedOf speeds, excessOf map[string]float64, mayMove func(id string) bool) (fast, slow string, found bool) {
	ids := slices.SortedFunc(maps.Keys(speedOf), strings.Compare)
	best := 0.0
	for _, candidate := range ids {
		surplusModel := assignment[candidate]
		if excessOf[surplusModel] <= 0 || !mayMove(candidate) {
			continue
		}
		for _, other := range ids {
			deficitModel := assignment[other]
			speedMoved := speedOf[candidate] - speedOf[other]
			if speedMoved <= best || excessOf[deficitModel] >= 0 || speedOf[candidate] < minPaceRatio*speedOf[other] || !mayMove(other) {
				continue
			}
			surplus, deficit := excessOf[surplusModel]/speedMoved, -excessOf[deficitModel]/speedMoved
			if max(surplus, deficit) >= minLargerImbalance && min(surplus, deficit) >= minSmallerImbalance {
				fast, slow, best, found = candidate, other, speedMoved, true
			}
		}
	}
	return fast, slow, found
}
