// Package unread bounds what a process holds in answers that their readers have not taken: memory is reserved for an answer before it is
// built, and a reader that takes nothing for a time is cut off, so that its memory comes back.
package unread

import (
	"errors"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/charmbracelet/log"
)

const (
	// memoryShare is the part of the process's memory that answers may take together: as much as large bodies of requests may, so that
	// both leave two thirds to the rest. Of 144 MB these are 22 MB, a dozen of the largest listings while they are built.
	memoryShare = 0.15
	// largeShare is the part of that which large answers may take. The rest is kept for answers of Small bytes, so that
	// readers of little are served while others read much and slowly.
	largeShare = 0.75
	// Small is the size in bytes of an answer that is served from the rest: some results of a job, or the body of an item.
	Small = 32 << 10
	// CutAfter is how long a reader may take nothing. One that goes on lost a packet or its processor, and is back within 3 s; one that
	// does not keeps an engine from which its answer streams waiting, and engines cut off after some seconds.
	CutAfter = 5 * time.Second
	// part is how much a reader has to take within CutAfter, in bytes: 13 KB/s, where callers' links carry megabytes.
	part = 64 << 10
)

// Budget is what answers may take of a process's memory. It is safe for concurrent use.
type Budget struct {
	logger *log.Logger
	// total and large are bounds in bytes, 0 for none.
	total, large int64

	mutex   sync.Mutex
	held    int64
	cut     int64
	refused int64
}

// New returns the budget of a process that may use so many bytes; 0 stands for no bound.
func New(memory int64, logger *log.Logger) *Budget {
	total := int64(memoryShare * float64(memory))
	return &Budget{logger: logger, total: total, large: int64(largeShare * float64(total))}
}

// Hold is memory that is reserved for one answer. Release gives it back.
type Hold struct {
	budget *Budget
	bytes  int64
}

// Reserve reserves up to want bytes, and not less than least. It returns false at once if there is no room.
func (b *Budget) Reserve(want, least int64) (*Hold, bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	granted := want
	if b.total > 0 {
		granted = max(min(want, b.large-b.held), min(want, Small, b.total-b.held))
		if granted < least && least <= Small && least <= b.total-b.held {
			granted = least
		}
	}
	if granted < least {
		b.refused++
		b.logger.Debug("answer refused, readers hold the memory", "bytes", least, "held", b.held)
		return nil, false
	}
	b.held += granted
	return &Hold{budget: b, bytes: granted}, true
}

// Count takes an answer that is held already and can't be had again, whatever room there is.
func (b *Budget) Count(size int64) *Hold {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.held += size
	return &Hold{budget: b, bytes: size}
}

// Full tells whether nothing is left: what may bring an answer is to be refused before it runs.
func (b *Budget) Full() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.total > 0 && b.held >= b.total
}

// Bytes is how much is reserved.
func (h *Hold) Bytes() int64 { return h.bytes }

// Resize changes a reservation to the size that an answer has. It returns false, and changes nothing, if it would take more than there is.
func (h *Hold) Resize(size int64) bool {
	b := h.budget
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if size > h.bytes && b.total > 0 && b.held+size-h.bytes > b.total {
		return false
	}
	b.held += size - h.bytes
	h.bytes = size
	return true
}

// Release gives the memory back.
func (h *Hold) Release() { h.Resize(0) }

// Figures are what a budget has come to.
type Figures struct {
	// Held is in bytes; Cut counts readers that were cut off, Refused answers for which there was no room.
	Held, Cut, Refused int64
}

// Figures returns the figures now.
func (b *Budget) Figures() Figures {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return Figures{Held: b.held, Cut: b.cut, Refused: b.refused}
}

// Write writes all of an answer's body. The error is os.ErrDeadlineExceeded if the reader was cut off: the answer is then to be
// aborted, for it is not whole.
func (b *Budget) Write(w http.ResponseWriter, content []byte) error {
	controller := http.NewResponseController(w)
	for {
		next := content[:min(part, len(content))]
		content = content[len(next):]
		err := b.Progress(controller, func() error {
			if _, err := w.Write(next); err != nil || len(content) > 0 {
				return err
			}
			return flush(controller)
		})
		if err != nil || len(content) == 0 {
			return err
		}
	}
}

// Progress makes one write that a reader has to take in time. The error is os.ErrDeadlineExceeded if it was cut off.
func (b *Budget) Progress(controller *http.ResponseController, write func() error) error {
	if err := deadline(controller, time.Now().Add(CutAfter)); err != nil {
		return err
	}
	err := write()
	if errors.Is(err, os.ErrDeadlineExceeded) {
		b.mutex.Lock()
		b.cut++
		held := b.held
		b.mutex.Unlock()
		b.logger.Info("reader cut off, it took nothing", "after", CutAfter, "held", held)
		return err
	}
	if err == nil {
		// The next request on the connection may take its time.
		err = deadline(controller, time.Time{})
	}
	return err
}

// deadline sets the deadline of writes, where the connection has one.
func deadline(controller *http.ResponseController, at time.Time) error {
	if err := controller.SetWriteDeadline(at); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return err
	}
	return nil
}

// flush sends what was written, where that can be told apart.
func flush(controller *http.ResponseController) error {
	if err := controller.Flush(); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return err
	}
	return nil
}
