// Package lag tells of a value as it was some time ago.
package lag

import "time"

// History holds a value's recent past. It is not safe for concurrent use.
type History[T any] struct {
	lag     time.Duration
	entries []entry[T]
}

// entry is what the value was from a time on.
type entry[T any] struct {
	from  time.Time
	value T
}

// NewHistory returns a History that tells what was true lag ago; its value has always been initial.
func NewHistory[T any](lag time.Duration, initial T) *History[T] {
	return &History[T]{lag: lag, entries: []entry[T]{{value: initial}}}
}

// Record notes that the value is current from now on.
func (h *History[T]) Record(current T) {
	now := time.Now()
	last := len(h.entries) - 1
	if h.entries[last].from.Equal(now) {
		h.entries[last].value = current
		return
	}
	h.entries = append(h.entries, entry[T]{from: now, value: current})
	h.forget()
}

// Lagging returns what the value was lag ago.
func (h *History[T]) Lagging() T {
	h.forget()
	return h.entries[0].value
}

// forget drops what Lagging will never return again; the first entry left is what it returns.
func (h *History[T]) forget() {
	horizon := time.Now().Add(-h.lag)
	for len(h.entries) > 1 && !h.entries[1].from.After(horizon) {
		h.entries = h.entries[1:]
	}
}
