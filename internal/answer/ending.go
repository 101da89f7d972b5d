package answer

import (
	"errors"
	"io"
	"time"

	"github.com/hillfork/hillfork/internal/peer"
	"github.com/hillfork/hillfork/internal/peerapi"
)

// EndKind is the way in which an attempt ended.
type EndKind uint8

// Values of EndKind.
const (
	// EndBroken means that contact was lost, or that the attempt stopped before the answer was complete; it may have
	// run.
	EndBroken EndKind = iota
	// EndComplete means that all tokens of the answer have arrived.
	EndComplete
	// EndNotRun means that the attempt is proven not to have run on any engine.
	EndNotRun
	// EndCancelled means that the attempt was cancelled while it ran.
	EndCancelled
)

// Ending describes how one attempt ended.
type Ending struct {
	Kind   EndKind
	Reason string
	// RetryAfter is the retry delay named by a refusal, or 0 if there is none.
	RetryAfter time.Duration
	// Accepted is set if the attempt had been handed to an engine.
	Accepted bool
	// Settled is set if the peer reported the outcome, as opposed to lost contact.
	Settled bool
	// Err is the error that ended the attempt; nil if the peer reported the outcome.
	Err error
}

// ProvenNotRun reports whether the error of a call proves that the call had no effect. It is valid only for an error
// that came before any response.
func ProvenNotRun(err error) bool {
	if errors.Is(err, peer.ErrNotSent) {
		return true
	}
	var refusal *peer.Error
	if !errors.As(err, &refusal) {
		return false
	}
	return refusal.Code != peer.CodeInternal && refusal.Code != peer.CodeUncertain
}

// RetryAfter returns the retry delay named by a refusal, or 0 if there is none.
func RetryAfter(err error) time.Duration {
	var refusal *peer.Error
	if errors.As(err, &refusal) {
		return refusal.RetryAfter
	}
	return 0
}

// FromError returns the ending of an attempt whose call failed before any response.
func FromError(err error) Ending {
	ending := Ending{Kind: EndBroken, Reason: err.Error(), RetryAfter: RetryAfter(err), Err: err}
	if ProvenNotRun(err) {
		ending.Kind = EndNotRun
	}
	return ending
}

// EventFunc is called with every ready event of the attempt, in order; an error from it stops the attempt.
type EventFunc func(event peerapi.ExecuteEvent) error

// Follow reads an attempt's stream to its end. It passes the load of each event to load and the ready events to
// deliver. A non-nil error is always that of deliver.
func Follow(stream peer.ClientStream, assembler *Assembler, load func(float64), deliver EventFunc) (Ending, error) {
	accepted := false
	resumed := assembler.Next()
	for {
		var event peerapi.ExecuteEvent
		if err := stream.Receive(&event); err != nil {
			return streamEnd(err, accepted || assembler.Next() > resumed), nil
		}
		accepted = accepted || event.Accepted
		load(event.Load)
		ready, end := assembler.Accept(event)
		for _, part := range ready {
			if err := deliver(part); err != nil {
				return Ending{Kind: EndBroken, Reason: err.Error(), Accepted: accepted, Err: err}, err
			}
		}
		if end != nil {
			return fromEnd(end, accepted, assembler.Next() > resumed), nil
		}
	}
}

// streamEnd returns the ending of a stream that stopped without an outcome.
func streamEnd(err error, started bool) Ending {
	if errors.Is(err, io.EOF) {
		return Ending{Kind: EndBroken, Reason: "stream ended before the answer", Accepted: started, Err: err}
	}
	if started {
		return Ending{Kind: EndBroken, Reason: err.Error(), Accepted: true, Err: err}
	}
	return FromError(err)
}

func fromEnd(end *peerapi.ExecuteEvent, accepted, hasTokens bool) Ending {
	ending := Ending{
		Reason:     end.Reason,
		RetryAfter: time.Duration(end.RetryAfterMillis) * time.Millisecond,
		Accepted:   accepted,
		Settled:    true,
	}
	switch end.Outcome {
	case peerapi.OutcomeCompleted:
		ending.Kind = EndComplete
	case peerapi.OutcomeNotRun:
		ending.Kind = EndNotRun
		if hasTokens {
			ending.Kind = EndBroken
		}
	case peerapi.OutcomeCancelled:
		ending.Kind = EndCancelled
	default:
		ending.Kind = EndBroken
	}
	return ending
}
