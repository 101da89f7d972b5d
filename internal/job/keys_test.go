package job

import (
	"fmt"
	"slices"
	"testing"

	"github.com/hillfork/hillfork/internal/keyedlog"
)

// TestResultKeysSortByPosition checks that the keys of results and of their parts sort by position, and that ResultsAfterKey
// sorts before the keys from its position on and not before any earlier one.
func TestResultKeysSortByPosition(t *testing.T) {
	positions := []int{0, 1, 2, 9, 10, 11, 99, 100, 12345, 99999998}
	var keys []string
	for _, position := range positions {
		key := resultKey("one", position)
		keys = append(keys, key, partKey(key, 0), partKey(key, 12))
		for _, from := range positions {
			after := ResultsAfterKey("one", from)
			for _, own := range keys[len(keys)-3:] {
				if sortsAfter := own > after; sortsAfter != (position >= from) {
					t.Errorf("%s sorts after %q: %t", own, after, sortsAfter)
				}
			}
			unpadded := fmt.Sprint(ResultPrefix("one"), position)
			if position >= from && unpadded <= after {
				t.Errorf("%s does not sort after %q", unpadded, after)
			}
		}
	}
	if !slices.IsSorted(keys) {
		t.Errorf("keys are not in order: %v", keys)
	}
}

// TestExpiryDropsPaddedAndUnpaddedKeys checks that a job loses no results when it is closed, and that it loses results with
// padded and unpadded keys when it expires.
func TestExpiryDropsPaddedAndUnpaddedKeys(t *testing.T) {
	ledger := NewLedger(NewIndex(), keyedlog.Partition{Topic: keyedlog.TopicJobs})
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
		t.Errorf("keys dropped when the job is closed: %v", pieces)
	}
	entry := Entry{JobID: "one", Items: len(keys)}
	for _, key := range keys {
		if !slices.Contains(entry.keys(), key) {
			t.Errorf("%s is not dropped when the job expires", key)
		}
	}
	if listed, _ := ledger.Listed("one"); listed != 3 {
		t.Errorf("%d listed", listed)
	}
}
