// Package unread limits the memory of a process that is held by answers their readers have not read yet. Memory is reserved
// for an answer before it is built, and the connection of a reader that reads nothing for some time is closed, so that its
// memory is released.
package unread

import (
	"sync"

	"github.com/charmbracelet/log"
)

const (
	// memoryShare is the fraction of the process's memory that all answers together may take: the same as for large request
	// bodies, so that both leave two thirds to the rest. Of 144 MB this is 22 MB, enough to build a dozen of the largest
	// listings.
	memoryShare = 0.15
	// largeShare is the fraction of that which large answers may take. The rest is reserved for answers of up to SmallBytes,
	// so that these are served while other readers read large answers slowly.
	largeShare = 0.75
	// SmallBytes is the maximum size in bytes of an answer served from this rest: some results of a job, or the body of an
	// item.
	SmallBytes = 32 << 10
)

// Budget limits the memory of a process that unread answers take. It is safe for concurrent use.
type Budget struct {
	logger *log.Logger
	// total and large are limits in bytes, 0 for none.
	total, large int64

	mutex   sync.Mutex
	held    int64
	cut     int64
	refused int64
}

// New returns the budget of a process with the given memory in bytes; 0 means no limit.
func New(memory int64, logger *log.Logger) *Budget {
	total := int64(memoryShare * float64(memory))
	return &Budget{logger: logger, total: total, large: int64(largeShare * float64(total))}
}

// Reservation is memory reserved for one answer. Release must be called.
type Reservation struct {
	budget *Budget
	bytes  int64
}

// Reserve reserves up to want bytes, and at least minimum. It returns false at once if there is not enough free memory.
func (b *Budget) Reserve(want, minimum int64) (*Reservation, bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	granted := want
	if b.total > 0 {
		granted = max(min(want, b.large-b.held), min(want, SmallBytes, b.total-b.held))
		if granted < minimum && minimum <= SmallBytes && minimum <= b.total-b.held {
			granted = minimum
		}
	}
	if granted < minimum {
		b.refused++
		b.logger.Debug("answer refused, readers hold the memory", "bytes", minimum, "held", b.held)
		return nil, false
	}
	b.held += granted
	return &Reservation{budget: b, bytes: granted}, true
}

// Charge reserves size bytes even if this exceeds the limit, for an answer that is in memory already and must not be
// refused.
func (b *Budget) Charge(size int64) *Reservation {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.held += size
	return &Reservation{budget: b, bytes: size}
}

// Full reports whether no byte is free. Requests are then refused before they run, since there would be no memory for their
// answers.
func (b *Budget) Full() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.total > 0 && b.held >= b.total
}

// Bytes returns the number of reserved bytes.
func (r *Reservation) Bytes() int64 { return r.bytes }

// Resize changes a reservation to size bytes. It returns false, and changes nothing, if there is not enough free memory.
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

// Release releases the memory.
func (r *Reservation) Release() { r.Resize(0) }

// Stats is a snapshot of a budget.
type Stats struct {
	// Held is in bytes. Cut counts the readers whose connections were closed, Refused the answers for which there was not
	// enough memory.
	Held, Cut, Refused int64
}

// Stats returns a snapshot.
func (b *Budget) Stats() Stats {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return Stats{Held: b.held, Cut: b.cut, Refused: b.refused}
}
