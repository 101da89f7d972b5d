package weightroll

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/hillfork/hillfork/internal/fleet"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// allMovable allows every engine to be swapped.
func allMovable(string) bool { return true }

// countFast counts the engines of each model whose pace is below a limit.
func countFast(assignment Assignment, paces map[string]time.Duration, below time.Duration) map[string]int {
	counts := make(map[string]int)
	for id, model := range assignment {
		if paces[id] < below {
			counts[model]++
		}
	}
	return counts
}

// TestFastEnginesAreSpreadOverModels guards against an assignment by ids alone, which gave one model all fast engines.
// With four trainers whose steps wait for their longest item, on 44 engines of which a quarter is twice as fast, the
// steps of the other models took twice as long. Each model must get its share of fast engines, within one engine.
func TestFastEnginesAreSpreadOverModels(t *testing.T) {
	is := is.New(t)
	pool := engines(44, nil)
	paces := make(map[string]time.Duration)
	assignment := make(Assignment)
	shares := map[string]int{"a": 11, "b": 11, "c": 11, "d": 11}
	for i, engine := range pool {
		paces[engine.ID] = 60 * time.Millisecond
		assignment[engine.ID] = string(rune('a' + i/11))
		if i < 11 {
			paces[engine.ID] = 27 * time.Millisecond
		}
	}
	is.Equal(countFast(assignment, paces, 40*time.Millisecond), map[string]int{"a": 11})

	balanced, swaps := Balance(assignment, pool, shares, paces, allMovable)
	is.Equal(balanced.counts(), shares)
	for model, fast := range countFast(balanced, paces, 40*time.Millisecond) {
		if fast < 2 || fast > 4 {
			t.Errorf("model %s has %d fast engines of 11", model, fast)
		}
	}
	is.True(swaps >= 7)
	is.Equal(countFast(assignment, paces, 40*time.Millisecond), map[string]int{"a": 11}) // the input is not modified

	_, again := Balance(balanced, pool, shares, paces, allMovable)
	is.Equal(again, 0)
}

// TestALoadingEngineIsNotSwapped checks that an engine for which mayMove returns false is not swapped; the load in
// progress would be wasted.
func TestALoadingEngineIsNotSwapped(t *testing.T) {
	is := is.New(t)
	pool := engines(6, nil)
	paces := map[string]time.Duration{
		"e00": 20 * time.Millisecond, "e01": 20 * time.Millisecond, "e02": 20 * time.Millisecond,
		"e03": 60 * time.Millisecond, "e04": 60 * time.Millisecond, "e05": 60 * time.Millisecond,
	}
	assignment := Assignment{"e00": "a", "e01": "a", "e02": "a", "e03": "b", "e04": "b", "e05": "b"}
	shares := map[string]int{"a": 3, "b": 3}
	balanced, swaps := Balance(assignment, pool, shares, paces, func(id string) bool { return id == "e01" || id == "e05" })
	is.Equal(swaps, 1)
	is.Equal(balanced, Assignment{"e00": "a", "e01": "b", "e02": "a", "e03": "b", "e04": "b", "e05": "a"})

	_, swaps = Balance(assignment, pool, shares, paces, func(id string) bool { return id == "e05" })
	is.Equal(swaps, 0)
}

// TestEqualEnginesAreNotSwapped checks that paces of equal engines that differ only by measurement noise cause no
// swaps, and that unknown paces cause none.
func TestEqualEnginesAreNotSwapped(t *testing.T) {
	is := is.New(t)
	pool := engines(6, nil)
	assignment := Assignment{"e00": "a", "e01": "a", "e02": "a", "e03": "b", "e04": "b", "e05": "b"}
	shares := map[string]int{"a": 3, "b": 3}
	paces := make(map[string]time.Duration)
	for i, engine := range pool {
		paces[engine.ID] = time.Duration(50+2*i) * time.Millisecond
	}
	for _, known := range []map[string]time.Duration{nil, paces} {
		balanced, swaps := Balance(assignment, pool, shares, known, allMovable)
		is.Equal(swaps, 0)
		is.True(maps.Equal(balanced, assignment))
	}
}

// TestBalanceKeepsShares checks for random pools that Balance assigns no unassigned engine, keeps the engine count of
// each model, swaps nothing when it runs again, and does not increase the largest deviation of a model from its share.
func TestBalanceKeepsShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pool := engines(rapid.IntRange(2, 40).Draw(t, "engines"), nil)
		models := rapid.IntRange(1, 4).Draw(t, "models")
		assignment := make(Assignment)
		paces := make(map[string]time.Duration)
		for _, engine := range pool {
			if rapid.IntRange(0, 9).Draw(t, "assigned") > 0 {
				assignment[engine.ID] = fmt.Sprint("m", rapid.IntRange(0, models-1).Draw(t, "model"))
			}
			paces[engine.ID] = time.Duration(rapid.SampledFrom([]int{0, 20, 27, 58, 60, 200}).Draw(t, "pace")) * time.Millisecond
		}
		shares := assignment.counts()
		balanced, _ := Balance(assignment, pool, shares, paces, allMovable)
		if !maps.Equal(balanced.counts(), shares) || len(balanced) != len(assignment) {
			t.Fatalf("engine counts changed from %v to %v", shares, balanced.counts())
		}
		if _, again := Balance(balanced, pool, shares, paces, allMovable); again != 0 {
			t.Fatalf("second run swapped %d pairs", again)
		}
		if before, after := maxDeviation(assignment, pool, shares, paces), maxDeviation(balanced, pool, shares, paces); after > before+1e-9 {
			t.Fatalf("largest deviation from a share is %.2f, was %.2f before", after, before)
		}
	})
}

// maxDeviation returns the largest deviation of a model from its share of the speed.
func maxDeviation(assignment Assignment, pool []fleet.Engine, shares map[string]int, paces map[string]time.Duration) float64 {
	off := []float64{0}
	for _, over := range newSpeeds(assignment, pool, paces).excess(assignment, shares) {
		off = append(off, max(over, -over))
	}
	return slices.Max(off)
}
