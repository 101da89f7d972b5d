package unread_test

import (
	"io"
	"testing"

	"github.com/charmbracelet/log"
	"github.com/hillfork/hillfork/internal/unread"
)

const (
	megabyte = 1 << 20
	memory   = 144 * megabyte
)

func newBudget(bytes int64) *unread.Budget { return unread.New(bytes, log.New(io.Discard)) }

// TestManyLargeAnswersLeaveRoomForSmallOnes answers 200 callers of 1 MB at a process of 144 MB, which is killed above that: answers get
// smaller, and a caller of little is served.
func TestManyLargeAnswersLeaveRoomForSmallOnes(t *testing.T) {
	budget := newBudget(memory)
	var holds []*unread.Reservation
	for caller := range 200 {
		if hold, ok := budget.Reserve(megabyte, 1); ok {
			holds = append(holds, hold)
		}
		if held := budget.Stats().Held; held > memory*15/100 {
			t.Fatalf("%d bytes held", held)
		}
		if caller == 100 {
			small, ok := budget.Reserve(10<<10, 10<<10)
			if !ok {
				t.Fatal("a small answer is refused")
			}
			small.Release()
		}
	}
	if holds[0].Bytes() != megabyte {
		t.Errorf("the first answer has %d bytes", holds[0].Bytes())
	}
	for _, hold := range holds {
		hold.Release()
	}
	if held := budget.Stats().Held; held != 0 {
		t.Errorf("%d bytes held after all", held)
	}
}

// TestWhatDoesNotFitIsRefused checks that an answer that can't be smaller is refused at once, and what has run is counted all the same.
func TestWhatDoesNotFitIsRefused(t *testing.T) {
	budget := newBudget(memory)
	run := budget.Charge(memory)
	if !budget.Full() {
		t.Error("not full")
	}
	if _, ok := budget.Reserve(1, 1); ok || budget.Stats().Refused != 1 {
		t.Error("an answer was taken")
	}
	run.Release()
	hold, ok := budget.Reserve(megabyte, megabyte)
	if !ok || hold.Resize(memory) || hold.Bytes() != megabyte {
		t.Error("an answer grew over the bound")
	}
}

// TestWithoutAStatedMemoryNothingIsBounded has a process whose settings state no memory answer as before.
func TestWithoutAStatedMemoryNothingIsBounded(t *testing.T) {
	budget := newBudget(0)
	for range 200 {
		hold, ok := budget.Reserve(megabyte, megabyte)
		if !ok || !hold.Resize(2*megabyte) || budget.Full() {
			t.Fatal("an answer was refused")
		}
	}
}
