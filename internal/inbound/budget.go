package inbound

import (
	"errors"
	"io"
	"sync"

	"github.com/charmbracelet/log"
)

const (
	// memoryShare is the fraction of the process's memory that answers take together while they are read: the same as for the
	// bodies of requests and for answers that callers have not read.
	memoryShare = 0.15
	// SmallBytes is the size in bytes up to which data is not counted, so that small answers are read also while large ones
	// hold the memory. The limit on file descriptors limits their number.
	SmallBytes = 64 << 10
	// firstBuffer is the size in bytes of the first buffer for an answer; it doubles as the answer grows.
	firstBuffer = 2 << 10
)

// Budget limits the memory that answers of engines take while they are read, and counts those that were cut. A nil Budget limits
// the size of each answer only. It is safe for concurrent use.
type Budget struct {
	logger *log.Logger
	// total is in bytes, 0 for no limit.
	total int64

	mutex sync.Mutex
	held  int64
	cut   [Kinds]int64
}

// NewBudget returns the budget of a process with the given memory in bytes; 0 means no limit.
func NewBudget(memory int64, logger *log.Logger) *Budget {
	return &Budget{total: int64(memoryShare * float64(memory)), logger: logger}
}

// Stats is a snapshot of a budget.
type Stats struct {
	// Held is the memory in bytes that answers take while they are read.
	Held int64
	// Cut counts what was not read to its end, by kind.
	Cut [Kinds]int64
}

// Stats returns a snapshot.
func (b *Budget) Stats() Stats {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return Stats{Held: b.held, Cut: b.cut}
}

// Cut counts and logs that something a sender sent was not read to its end.
func (b *Budget) Cut(kind Kind, sender string, cause error) {
	if b == nil {
		return
	}
	b.mutex.Lock()
	b.cut[kind]++
	b.mutex.Unlock()
	b.logger.Warn("answer cut", "kind", kind, "sender", sender, "limit", kind.Limit(), "error", cause)
}

// ReadAll reads to the end of an answer. It fails with ErrTooLarge or ErrNoMemory, or with the error of the reader. What it returns
// is no longer counted.
func (b *Budget) ReadAll(kind Kind, sender string, answer io.Reader) ([]byte, error) {
	memory := b.Memory(kind)
	defer memory.Release()
	content, err := readAll(answer, kind.Limit(), &memory)
	if errors.Is(err, ErrTooLarge) || errors.Is(err, ErrNoMemory) {
		b.Cut(kind, sender, err)
	}
	return content, err
}

func readAll(answer io.Reader, limit int64, memory *Memory) ([]byte, error) {
	content := make([]byte, 0, firstBuffer)
	for {
		if len(content) == cap(content) {
			grown := 2 * int64(cap(content))
			// Both buffers are held until the content is copied.
			if !memory.Hold(grown + int64(cap(content))) {
				return nil, ErrNoMemory
			}
			content = append(make([]byte, 0, grown), content...)
			memory.Hold(grown)
		}
		n, err := answer.Read(content[len(content):cap(content)])
		content = content[:len(content)+n]
		switch {
		case int64(len(content)) > limit:
			return nil, ErrTooLarge
		case errors.Is(err, io.EOF):
			return content, nil
		case err != nil:
			return content, err
		}
	}
}

// Memory is the memory that one answer takes. The zero value, and one without a budget, takes what it is asked for.
type Memory struct {
	budget *Budget
	held   int64
}

// Memory returns the memory of one answer of a kind. Release must be called.
func (b *Budget) Memory(kind Kind) Memory {
	if !kind.sharesMemory() {
		return Memory{}
	}
	return Memory{budget: b}
}

// Hold changes the size of the memory to a number of bytes. It returns false, and changes nothing, if other answers hold the memory.
func (m *Memory) Hold(bytes int64) bool {
	if bytes <= SmallBytes {
		bytes = 0
	}
	if m.budget == nil || bytes == m.held {
		return true
	}
	m.budget.mutex.Lock()
	defer m.budget.mutex.Unlock()
	more := bytes - m.held
	if more > 0 && m.budget.total > 0 && m.budget.held+more > m.budget.total {
		return false
	}
	m.budget.held += more
	m.held = bytes
	return true
}

// Release gives the memory back.
func (m *Memory) Release() {
	m.Hold(0)
}
