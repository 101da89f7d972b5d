package job

import (
	"fmt"
	"slices"
	"testing"
)

// TestKeysOfResultsLieInOrder checks that the keys of results, and of parts of them, lie in the order of their positions, and that those
// from a position on, and none before, lie after the key that stands for it.
func TestKeysOfResultsLieInOrder(t *testing.T) {
	positions := []int{0, 1, 2, 9, 10, 11, 99, 100, 12345, 99999998}
	var keys []string
	for _, position := range positions {
		key := resultKey("one", position)
		keys = append(keys, key, partKey(key, 0), partKey(key, 12))
		for _, from := range positions {
			after := ResultsFrom("one", from)
			for _, own := range keys[len(keys)-3:] {
				if behind := own > after; behind != (position >= from) {
					t.Errorf("%s lies behind %q: %t", own, after, behind)
				}
			}
			plain := fmt.Sprint(ResultPrefix("one"), position)
			if position >= from && plain <= after {
				t.Errorf("%s does not lie behind %q", plain, after)
			}
		}
	}
	if !slices.IsSorted(keys) {
		t.Errorf("keys are not in order: %v", keys)
	}
}

// TestResultsOfBothKindsGoAtExpiry checks that a job which is closed loses no results, and one that expires loses those under keys of either
// kind.
func TestResultsOfBothKindsGoAtExpiry(t *testing.T) {
	ledger := NewLedger(NewIndex(), 0)
	keys := []string{"r/one/0", resultKey("one", 1), "r/one/2"}
	for position, key := range keys {
		records, err := EncodeResult("one", position, Result{ItemID: fmt.Sprint("i", position)}, 1<<18)
		if err != nil {
			t.Fatal(err)
		}
		records[0].Key = key
		if err := ledger.Apply(records[0]); err != nil {
			t.Fatal(err)
		}
	}
	if pieces := ledger.PieceKeys("one"); len(pieces) > 0 {
		t.Errorf("keys that go when the job is closed: %v", pieces)
	}
	entry := Entry{JobID: "one", Items: len(keys)}
	for _, key := range keys {
		if !slices.Contains(entry.keys(), key) {
			t.Errorf("%s stays when the job expires", key)
		}
	}
	if listed, _ := ledger.Listed("one"); listed != 3 {
		t.Errorf("%d listed", listed)
	}
}
