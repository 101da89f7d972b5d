package answer

import (
	"errors"
	"io"
	"time"

	"github.com/hillfork/hillfork/internal/peer"
	"github.com/hillfork/hillfork/internal/peerapi"
)

// EndKind is the closed set of ways in which one attempt ends.
type EndKind uint8

// Ways in which an attempt ends.
const (
	// EndBroken says that contact was lost, or that the attempt stopped before the whole answer; it may have run.
	EndBroken EndKind = iota
	// EndWhole says that every token of the answer has arrived.
	EndWhole
	// EndNotRun says that it is proven that the attempt ran nowhere.
	EndNotRun
	// EndCancelled says that the attempt was cancelled while it ran.
	EndCancelled
)

// Ending tells how one attempt ended.
type Ending struct {
	Kind   EndKind
	Reason string
	// RetryAfter is when the refusing side asks to come back; 0 when it does not say.
	RetryAfter time.Duration
	// Accepted says that the engine had been given the attempt.
	Accepted bool
	// Settled says that the other side told the outcome, in place of losing contact.
	Settled bool
	// Err is the error that ended the attempt; nil where the other side told the outcome.
	Err error
}

// ProvenNotRun tells whether the error of a call proves that the call had no effect. It holds only for an error that
// came before any answer.
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

// RetryAfter is when the refusing side asks to come back; 0 when it does not say.
func RetryAfter(err error) time.Duration {
	var refusal *peer.Error
	if errors.As(err, &refusal) {
		return refusal.RetryAfter
	}
	return 0
}

// FromError is the ending of an attempt whose call failed before any answer.
func FromError(err error) Ending {
	ending := Ending{Kind: EndBroken, Reason: err.Error(), RetryAfter: RetryAfter(err), Err: err}
	if ProvenNotRun(err) {
		ending.Kind = EndNotRun
	}
	return ending
}

// Observe is told of every event of the attempt that is ready, in order; an error from it stops the attempt.
type Observe func(event peerapi.ExecuteEvent) error

// Follow reads an attempt's stream to its end, and gives what is ready to deliver. The error is deliver's.
func Follow(stream peer.ClientStream, assembler *Assembler, load func(float64), deliver Observe) (Ending, error) {
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

// streamEnd is the ending of a stream that stopped without an outcome.
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
		ending.Kind = EndWhole
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
