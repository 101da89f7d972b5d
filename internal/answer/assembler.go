// Package answer puts the events of one attempt at a request together into an answer without a gap, and tells how the
// attempt ended. It is shared by the gateway, which relays the parts, and the request ledger, which records the whole.
package answer

import (
	"github.com/hillfork/hillfork/internal/peerapi"
)

// maxPending bounds the events held for one that is missing before them; more are dropped.
const maxPending = 256

// Drops counts events that were not taken, by cause.
type Drops struct {
	// Foreign events name another request or attempt.
	Foreign int
	// Duplicate events hold only tokens that had arrived.
	Duplicate int
	// Overflow events came too far ahead of a missing one.
	Overflow int
}

// Total is the number of events dropped.
func (d Drops) Total() int { return d.Foreign + d.Duplicate + d.Overflow }

// Assembler orders the events of one attempt. It is not safe for concurrent use.
type Assembler struct {
	requestID string
	attempt   uint32
	next      int
	pending   map[int]peerapi.ExecuteEvent
	end       *peerapi.ExecuteEvent
	drops     Drops
}

// NewAssembler expects the events of an attempt that goes on after resumed tokens.
func NewAssembler(requestID string, attempt uint32, resumed int) *Assembler {
	return &Assembler{requestID: requestID, attempt: attempt, next: resumed}
}

// Next is the index of the first token that has not arrived in order.
func (a *Assembler) Next() int { return a.next }

// Drops counts what was dropped so far.
func (a *Assembler) Drops() Drops { return a.drops }

// Accept takes one event. It returns the events that are now ready, in order and without a gap, and the end of the
// attempt once it is reached. A completed end is reached only when every token before it has arrived.
func (a *Assembler) Accept(event peerapi.ExecuteEvent) (ready []peerapi.ExecuteEvent, end *peerapi.ExecuteEvent) {
	if event.RequestID != a.requestID || event.Attempt != a.attempt {
		a.drops.Foreign++
		return nil, nil
	}
	if event.Outcome != peerapi.OutcomeNone {
		a.acceptEnd(event)
	}
	if len(event.Tokens) > 0 {
		ready = a.acceptTokens(event)
	}
	return ready, a.reachedEnd()
}

func (a *Assembler) acceptEnd(event peerapi.ExecuteEvent) {
	if a.end != nil {
		a.drops.Duplicate++
		return
	}
	end := event
	a.end = &end
}

func (a *Assembler) reachedEnd() *peerapi.ExecuteEvent {
	if a.end == nil {
		return nil
	}
	if a.end.Outcome != peerapi.OutcomeCompleted {
		return a.end
	}
	if a.next == a.end.Index+len(a.end.Tokens) {
		return a.end
	}
	return nil
}

func (a *Assembler) acceptTokens(event peerapi.ExecuteEvent) []peerapi.ExecuteEvent {
	if event.Index+len(event.Tokens) <= a.next {
		a.drops.Duplicate++
		return nil
	}
	if event.Index > a.next {
		a.hold(event)
		return nil
	}
	ready := []peerapi.ExecuteEvent{a.take(event)}
	for {
		held, ok := a.unhold()
		if !ok {
			return ready
		}
		ready = append(ready, a.take(held))
	}
}

// take cuts off the tokens of event that have arrived before and moves on past it.
func (a *Assembler) take(event peerapi.ExecuteEvent) peerapi.ExecuteEvent {
	event.Tokens = event.Tokens[a.next-event.Index:]
	event.Index = a.next
	a.next += len(event.Tokens)
	return event
}

func (a *Assembler) hold(event peerapi.ExecuteEvent) {
	known, exists := a.pending[event.Index]
	if exists && len(known.Tokens) >= len(event.Tokens) {
		a.drops.Duplicate++
		return
	}
	if !exists && len(a.pending) >= maxPending {
		a.drops.Overflow++
		return
	}
	if a.pending == nil {
		a.pending = make(map[int]peerapi.ExecuteEvent)
	}
	a.pending[event.Index] = event
}

// unhold returns a held event that goes on where the answer stands, and forgets those that were overtaken.
func (a *Assembler) unhold() (peerapi.ExecuteEvent, bool) {
	for index, held := range a.pending {
		if index > a.next {
			continue
		}
		delete(a.pending, index)
		if index+len(held.Tokens) > a.next {
			return held, true
		}
		a.drops.Duplicate++
	}
	return peerapi.ExecuteEvent{}, false
}
