// Package answer assembles the events of one attempt at a request into an answer without gaps, and determines how the
// attempt ended. It is shared by the gateway, which relays the parts, and the request ledger, which records the
// complete answer.
package answer

import (
	"github.com/hillfork/hillfork/internal/peerapi"
	"github.com/hillfork/hillfork/internal/reorder"
)

// Drops counts dropped events by cause.
type Drops struct {
	// Foreign events belong to another request or attempt.
	Foreign int
	// Duplicate events contain only tokens that have already arrived, or are a second end of the attempt.
	Duplicate int
	// Overflow events are too far ahead of a missing event to be buffered.
	Overflow int
}

// Total returns the number of dropped events.
func (d Drops) Total() int { return d.Foreign + d.Duplicate + d.Overflow }

// Assembler puts the events of one attempt in order. It is not safe for concurrent use.
type Assembler struct {
	requestID string
	attempt   uint32
	tokens    *reorder.Buffer[peerapi.ExecuteEvent]
	end       *peerapi.ExecuteEvent
	// foreign and secondEnds count dropped events that are not passed to tokens.
	foreign    int
	secondEnds int
}

var eventAccessors = reorder.Accessors[peerapi.ExecuteEvent]{
	Index:  func(event peerapi.ExecuteEvent) int { return event.Index },
	Length: func(event peerapi.ExecuteEvent) int { return len(event.Tokens) },
	Skip: func(event peerapi.ExecuteEvent, tokens int) peerapi.ExecuteEvent {
		event.Index += tokens
		event.Tokens = event.Tokens[tokens:]
		return event
	},
}

// NewAssembler returns an Assembler for an attempt that continues after the given number of resumed tokens.
func NewAssembler(requestID string, attempt uint32, resumed int) *Assembler {
	return &Assembler{requestID: requestID, attempt: attempt, tokens: reorder.NewBuffer(eventAccessors, resumed)}
}

// Next returns the index of the first token that has not arrived in order.
func (a *Assembler) Next() int { return a.tokens.Next() }

// Drops returns the counts of events dropped so far.
func (a *Assembler) Drops() Drops {
	drops := a.tokens.Drops()
	return Drops{Foreign: a.foreign, Duplicate: a.secondEnds + drops.Duplicate, Overflow: drops.Overflow}
}

// Accept adds one event. It returns the events that are now ready, in order and without gaps, and the end of the
// attempt once it is reached. A completed end is reached only when all tokens before it have arrived.
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
