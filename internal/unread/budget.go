// Package unread bounds what a process holds in answers that their readers have not taken: memory is reserved for an answer before it is
// built, and a reader that takes nothing for a time is cut off, so that its memory comes back.
package unread

import (
	"sync"

	"github.com/charmbracelet/log"
)

const (
	// memoryShare is the part of the process's memory that answers may take together: as much as large bodies of requests may, so that
	// both leave two thirds to the rest. Of 144 MB these are 22 MB, a dozen of the largest listings while they are built.
	memoryShare = 0.15
	// largeShare is the part of that which large answers may take. The rest is kept for answers of up to SmallBytes, so that these are
	// served while others read large answers slowly.
	largeShare = 0.75
	// SmallBytes is the size in bytes of an answer that is served from the rest: some results of a job, or the body of an item.
	SmallBytes = 32 << 10
)

// Budget bounds the memory of a process that unread answers take. It is safe for concurrent use.
type Budget struct {
	logger *log.Logger
	// total and large are bounds in bytes, 0 for none.
	total, large int64

	mutex   sync.Mutex
	held    int64
	cut     int64
	refused int64
}

// New returns the budget of a process that may use memory bytes; 0 stands for no bound.
func New(memory int64, logger *log.Logger) *Budget {
	total := int64(memoryShare * float64(memory))
	return &Budget{logger: logger, total: total, large: int64(largeShare * float64(total))}
}

// Reservation is memory that is reserved for one answer. Release must follow.
type Reservation struct {
	budget *Budget
	bytes  int64
}

// Reserve reserves up to want bytes, and at least least. It returns false at once if there is no room.
func (b *Budget) Reserve(want, least int64) (*Reservation, bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	granted := want
	if b.total > 0 {
		granted = max(min(want, b.large-b.held), min(want, SmallBytes, b.total-b.held))
		if granted < least && least <= SmallBytes && least <= b.total-b.held {
			granted = least
		}
	}
	if granted < least {
		b.refused++
		b.logger.Debug("answer refused, readers hold the memory", "bytes", least, "held", b.held)
		return nil, false
	}
	b.held += granted
	return &Reservation{budget: b, bytes: granted}, true
}

// Charge reserves size bytes whatever room there is, for an answer that is in memory already and must not be refused.
func (b *Budget) Charge(size int64) *Reservation {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.held += size
	return &Reservation{budget: b, bytes: size}
}

// Full tells whether no byte is left. Requests are refused before they run then, since their answers would have no room.
func (b *Budget) Full() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.total > 0 && b.held >= b.total
}

// Bytes returns how many bytes are reserved.
func (r *Reservation) Bytes() int64 { return r.bytes }

// Resize changes a reservation to size bytes. It returns false, and changes nothing, if there is no room for them.
func (r *Reservation) Resize(size int64) bool {
	b := r.budget
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if size > r.bytes && b.total > 0 && b.held+size-r.bytes > b.total {
		return false
	}
	b.held += size - r.bytes
	r.bytes = size
	return true
}

// Release gives the memory back.
func (r *Reservation) Release() { r.Resize(0) }

// Stats is a snapshot of a budget.
type Stats struct {
	// Held is in bytes; Cut counts readers that were cut off, Refused answers for which there was no room.
	Held, Cut, Refused int64
}

// Stats returns a snapshot.
func (b *Budget) Stats() Stats {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return Stats{Held: b.held, Cut: b.cut, Refused: b.refused}
}
