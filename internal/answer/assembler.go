// Package answer puts the events of one attempt at a request together into an answer without a gap, and tells how the
// attempt ended. It is shared by the gateway, which relays the parts, and the request ledger, which records the whole.
package answer

import (
	"github.com/hillfork/hillfork/internal/peerapi"
	"github.com/hillfork/hillfork/internal/reorder"
)

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
	tokens    *reorder.Buffer[peerapi.ExecuteEvent]
	end       *peerapi.ExecuteEvent
	// foreign and secondEnds count events that never reach tokens.
	foreign    int
	secondEnds int
}

var eventShape = reorder.Accessors[peerapi.ExecuteEvent]{
	Index:  func(event peerapi.ExecuteEvent) int { return event.Index },
	Length: func(event peerapi.ExecuteEvent) int { return len(event.Tokens) },
	Skip: func(event peerapi.ExecuteEvent, tokens int) peerapi.ExecuteEvent {
		event.Index += tokens
		event.Tokens = event.Tokens[tokens:]
		return event
	},
}

// NewAssembler expects the events of an attempt that goes on after resumed tokens.
func NewAssembler(requestID string, attempt uint32, resumed int) *Assembler {
	return &Assembler{requestID: requestID, attempt: attempt, tokens: reorder.NewBuffer(eventShape, resumed)}
}

// Next is the index of the first token that has not arrived in order.
func (a *Assembler) Next() int { return a.tokens.Next() }

// Drops counts what was dropped so far.
func (a *Assembler) Drops() Drops {
	drops := a.tokens.Drops()
	return Drops{Foreign: a.foreign, Duplicate: a.secondEnds + drops.Duplicate, Overflow: drops.Overflow}
}

// Accept takes one event. It returns the events that are now ready, in order and without a gap, and the end of the
// attempt once it is reached. A completed end is reached only when every token before it has arrived.
func (a *Assembler) Accept(event peerapi.ExecuteEvent) (ready []peerapi.ExecuteEvent, end *peerapi.ExecuteEvent) {
	if event.RequestID != a.requestID || event.Attempt != a.attempt {
		a.foreign++
		return nil, nil
	}
	if event.Outcome != peerapi.OutcomeNone {
		a.acceptEnd(event)
	}
	if len(event.Tokens) > 0 {
		ready = a.tokens.Add(event)
	}
	return ready, a.reachedEnd()
}

func (a *Assembler) acceptEnd(event peerapi.ExecuteEvent) {
	if a.end != nil {
		a.secondEnds++
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
	if a.Next() == a.end.Index+len(a.end.Tokens) {
		return a.end
	}
	return nil
}
