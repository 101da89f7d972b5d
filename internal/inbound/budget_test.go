package inbound

import (
	"errors"
	"io"
	"strings"
	"sync"
	"testing"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"
)

const megabyte = 1 << 20

// endless is an answer without end, which notes the most that its budget held meanwhile.
type endless struct {
	budget *Budget
	most   int64
}

func (e *endless) Read(buffer []byte) (int, error) {
	e.most = max(e.most, e.budget.Stats().Held)
	return len(buffer), nil
}

// TestAnswersWithoutEndShareTheMemory guards against answers that together take the memory of the process: each was read up to 64 MB. While
// they hold their share, small answers must still be read; what they took must be given back.
func TestAnswersWithoutEndShareTheMemory(t *testing.T) {
	const memory = 304 * megabyte
	is := is.New(t)
	budget := NewBudget(memory, log.New(io.Discard))
	var readers sync.WaitGroup
	for range 16 {
		readers.Go(func() {
			answer := &endless{budget: budget}
			content, err := budget.ReadAll(Answer, "engine", answer)
			is.True(errors.Is(err, ErrNoMemory))
			is.True(content == nil)
			is.True(answer.most <= budget.total)
		})
	}
	small := strings.Repeat("a", SmallBytes/4)
	for range 100 {
		content, err := budget.ReadAll(Answer, "engine", strings.NewReader(small))
		is.NoErr(err)
		is.Equal(string(content), small)
	}
	readers.Wait()
	is.Equal(budget.Stats().Held, int64(0))
	is.Equal(budget.Stats().Cut[Answer], int64(16))
}

// TestStoreIsReadWhileEnginesHoldTheMemory guards against a process that loses the store since engines send without end.
func TestStoreIsReadWhileEnginesHoldTheMemory(t *testing.T) {
	is := is.New(t)
	budget := NewBudget(304*megabyte, log.New(io.Discard))
	held := budget.Memory(Event)
	defer held.Release()
	is.True(held.Hold(budget.total))
	answer := strings.Repeat("a", megabyte)
	_, err := budget.ReadAll(Answer, "engine", strings.NewReader(answer))
	is.True(errors.Is(err, ErrNoMemory))
	content, err := budget.ReadAll(StoreAnswer, "store", strings.NewReader(answer))
	is.NoErr(err)
	is.Equal(len(content), megabyte)
}

// TestAnswersAreReadUpToTheirLimit checks what is read of answers about as large as the limit of their kind, with and without a budget.
func TestAnswersAreReadUpToTheirLimit(t *testing.T) {
	for _, budget := range []*Budget{nil, NewBudget(0, log.New(io.Discard)), NewBudget(304*megabyte, log.New(io.Discard))} {
		for kind := range Kinds {
			if kind == Answer {
				continue
			}
			is := is.New(t)
			whole := strings.Repeat("a", int(min(kind.Limit(), 4*megabyte)))
			content, err := budget.ReadAll(kind, "sender", strings.NewReader(whole))
			is.NoErr(err)
			is.Equal(len(content), len(whole))
			if kind.Limit() > int64(len(whole)) {
				continue
			}
			_, err = budget.ReadAll(kind, "sender", strings.NewReader(whole+"a"))
			is.True(errors.Is(err, ErrTooLarge))
		}
	}
}

// TestLargeAnswerFitsTheMemory checks that an answer of 10 MB is read on the smallest of the usual machines while nothing else is.
func TestLargeAnswerFitsTheMemory(t *testing.T) {
	is := is.New(t)
	budget := NewBudget(304*megabyte, log.New(io.Discard))
	content, err := budget.ReadAll(Answer, "engine", io.LimitReader(&endless{budget: budget}, 10*megabyte))
	is.NoErr(err)
	is.Equal(len(content), 10*megabyte)
	is.Equal(budget.Stats().Held, int64(0))
}
