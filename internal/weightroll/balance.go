package weightroll

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/hillfork/hillfork/internal/fleet"
)

const (
	// paceRatioLeast is how much quicker one engine must be than another for the two to be swapped between models. Measured paces of
	// equal engines differ by a few percent.
	paceRatioLeast = 1.3
	// swapFrom is how many times the speed moved by a swap one of the two models must be off its part. Above one, a swap is not undone when
	// the shares of models change by an engine.
	swapFrom = 1.25
	// swapLeast is the same for the other one of the two. From a half on, a swap takes neither further from its part.
	swapLeast = 0.5
)

// Balance swaps engines between the models of an assignment until each model has its part of the pool's speed, and returns the assignment
// and how many pairs were swapped. A step ends with its longest item, which runs on one engine, so that a model without quick engines is
// late however many it has. An engine of unknown pace counts as a typical one. Only engines for which mayMove returns true are swapped;
// each costs a load of weights.
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
		over := speeds.excess(balanced, shares)
		quick, slow, found := bestSwap(balanced, speeds, over, mayMove)
		if !found {
			break
		}
		balanced[quick], balanced[slow] = balanced[slow], balanced[quick]
		swaps++
	}
	return balanced, swaps
}

// speeds maps engines to their speed, 1 for a typical one.
type speeds map[string]float64

// newSpeeds returns the speeds of the assigned engines, nil if no two differ enough for a swap.
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
	typical := known[len(known)/2]
	if float64(known[len(known)-1]) < paceRatioLeast*float64(known[0]) {
		return nil
	}
	found := make(speeds, len(engines))
	for _, engine := range engines {
		if assignment[engine.ID] == "" {
			continue
		}
		found[engine.ID] = 1
		if pace := paces[engine.ID]; pace > 0 {
			found[engine.ID] = float64(typical) / float64(pace)
		}
	}
	return found
}

// excess returns by how much the engines of each model are quicker, all together, than its part of the pool's speed. It adds in one order: where
// a swap just pays or just does not, the last digits of the sums would have it made at one of many plans.
func (s speeds) excess(assignment Assignment, shares map[string]int) map[string]float64 {
	total, count := 0.0, 0
	over := make(map[string]float64)
	for _, id := range slices.SortedFunc(maps.Keys(s), strings.Compare) {
		total += s[id]
		over[assignment[id]] += s[id]
	}
	for _, share := range shares {
		count += share
	}
	for model, share := range shares {
		over[model] -= total * float64(share) / float64(max(1, count))
	}
	return over
}

// bestSwap returns the pair of engines of two models whose swap moves most speed from one that has too much to one that has too little.
func bestSwap(assignment Assignment, known speeds, over map[string]float64, mayMove func(id string) bool) (quick, slow string, found bool) {
	ids := slices.SortedFunc(maps.Keys(known), strings.Compare)
	best := 0.0
	for _, fast := range ids {
		from := assignment[fast]
		if over[from] <= 0 || !mayMove(fast) {
			continue
		}
		for _, other := range ids {
			to := assignment[other]
			moves := known[fast] - known[other]
			if moves <= best || over[to] >= 0 || known[fast] < paceRatioLeast*known[other] || !mayMove(other) {
				continue
			}
			tooMuch, tooLittle := over[from]/moves, -over[to]/moves
			if max(tooMuch, tooLittle) >= swapFrom && min(tooMuch, tooLittle) >= swapLeast {
				quick, slow, best, found = fast, other, moves, true
			}
		}
	}
	return quick, slow, found
}
