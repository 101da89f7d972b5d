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

// movableID says that every engine may be swapped.
func movableID(string) bool { return true }

// quickOf counts the engines of each model whose pace is below a limit.
func quickOf(assignment Assignment, paces map[string]time.Duration, below time.Duration) map[string]int {
	counts := make(map[string]int)
	for id, model := range assignment {
		if paces[id] < below {
			counts[model]++
		}
	}
	return counts
}

// TestQuickEnginesAreSharedAmongModels answers four trainers whose steps hang on their longest item, on 44 engines of which a quarter
// is twice as quick: dealt by their ids alone, one model had all of the quick ones and its neighbours took twice as long for a step. Each
// trainer is to have its part, within one engine.
func TestQuickEnginesAreSharedAmongModels(t *testing.T) {
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
	is.Equal(quickOf(assignment, paces, 40*time.Millisecond), map[string]int{"a": 11})

	balanced, swaps := Balance(assignment, pool, shares, paces, movableID)
	is.Equal(balanced.counts(), shares)
	for model, quick := range quickOf(balanced, paces, 40*time.Millisecond) {
		if quick < 2 || quick > 4 {
			t.Errorf("model %s has %d quick engines of 11", model, quick)
		}
	}
	is.True(swaps >= 7)
	is.Equal(quickOf(assignment, paces, 40*time.Millisecond), map[string]int{"a": 11}) // the assignment given is not changed

	_, again := Balance(balanced, pool, shares, paces, movableID)
	is.Equal(again, 0)
}

// TestALoadingEngineIsNotSwapped: its load would be for nothing.
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

// TestEqualEnginesStay: paces of equal engines that differ by what measuring them does move nothing, and neither does knowing none.
func TestEqualEnginesStay(t *testing.T) {
	is := is.New(t)
	pool := engines(6, nil)
	assignment := Assignment{"e00": "a", "e01": "a", "e02": "a", "e03": "b", "e04": "b", "e05": "b"}
	shares := map[string]int{"a": 3, "b": 3}
	paces := make(map[string]time.Duration)
	for i, engine := range pool {
		paces[engine.ID] = time.Duration(50+2*i) * time.Millisecond
	}
	for _, known := range []map[string]time.Duration{nil, paces} {
		balanced, swaps := Balance(assignment, pool, shares, known, movableID)
		is.Equal(swaps, 0)
		is.True(maps.Equal(balanced, assignment))
	}
}

// TestBalanceKeepsShares checks on any pool that a balance moves no engine to where none was, keeps the numbers of each model, swaps
// nothing the second time, and leaves no model further from its part than the one furthest off was.
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
		balanced, _ := Balance(assignment, pool, shares, paces, movableID)
		if !maps.Equal(balanced.counts(), shares) || len(balanced) != len(assignment) {
			t.Fatalf("counts %v became %v", shares, balanced.counts())
		}
		if _, again := Balance(balanced, pool, shares, paces, movableID); again != 0 {
			t.Fatalf("%d pairs were swapped again", again)
		}
		if before, after := furthest(assignment, pool, shares, paces), furthest(balanced, pool, shares, paces); after > before+1e-9 {
			t.Fatalf("a model is %.2f off its part, before %.2f", after, before)
		}
	})
}

// furthest returns by how much the model furthest off its part of the speed is off.
func furthest(assignment Assignment, pool []fleet.Engine, shares map[string]int, paces map[string]time.Duration) float64 {
	off := []float64{0}
	for _, over := range newSpeeds(assignment, pool, paces).excess(assignment, shares) {
		off = append(off, max(over, -over))
	}
	return slices.Max(off)
}
