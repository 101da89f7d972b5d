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

// TestLargeAnswersLeaveMemoryForSmallOnes answers 200 callers with 1 MB each in a process of 144 MB, which is killed if it
// exceeds that. Answers must get smaller, and a small answer must still be served.
func TestLargeAnswersLeaveMemoryForSmallOnes(t *testing.T) {
	budget := newBudget(memory)
	var reservations []*unread.Reservation
	for caller := range 200 {
		if reservation, ok := budget.Reserve(megabyte, 1); ok {
			reservations = append(reservations, reservation)
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
	if reservations[0].Bytes() != megabyte {
		t.Errorf("the first answer has %d bytes", reservations[0].Bytes())
	}
	for _, reservation := range reservations {
		reservation.Release()
	}
	if held := budget.Stats().Held; held != 0 {
		t.Errorf("%d bytes held after all releases", held)
	}
}

// TestAnswerOverLimitIsRefused checks that an answer that can't be made smaller is refused at once, and that the answer of a
// request that has already run is counted in any case.
func TestAnswerOverLimitIsRefused(t *testing.T) {
	budget := newBudget(memory)
	run := budget.Charge(memory)
	if !budget.Full() {
		t.Error("not full")
	}
	if _, ok := budget.Reserve(1, 1); ok || budget.Stats().Refused != 1 {
		t.Error("an answer was accepted over the limit")
	}
	run.Release()
	reservation, ok := budget.Reserve(megabyte, megabyte)
	if !ok || reservation.Resize(memory) || reservation.Bytes() != megabyte {
		t.Error("an answer grew beyond the limit")
	}
}

// TestNoLimitWithoutMemorySetting checks that a process without a configured memory size does not limit answers.
func TestNoLimitWithoutMemorySetting(t *testing.T) {
	budget := newBudget(0)
	for range 200 {
		reservation, ok := budget.Reserve(megabyte, megabyte)
		if !ok || !reservation.Resize(2*megabyte) || budget.Full() {
			t.Fatal("an answer was refused")
		}
	}
}
