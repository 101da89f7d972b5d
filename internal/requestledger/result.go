package requestledger

import (
	"github.com/hillfork/hillfork/internal/answer"
	"github.com/hillfork/hillfork/internal/peer"
	"github.com/hillfork/hillfork/internal/peerapi"
)

func (r *result) isNotRun() bool { return r.outcome == peerapi.OutcomeNotRun }

// add appends the next part of an answer.
func (r *result) add(event peerapi.ExecuteEvent) {
	from := len(r.tokens)
	r.tokens = append(r.tokens, event.Tokens...)
	last := len(r.spans) - 1
	if last >= 0 && r.spans[last].Version == event.Version {
		r.spans[last].To = len(r.tokens)
		return
	}
	r.spans = append(r.spans, peerapi.Span{From: from, To: len(r.tokens), Version: event.Version})
}

// resultOf returns the result to record for a run that ended with the given ending. Only complete answers are stored.
func resultOf(ending answer.Ending, gathered result) result {
	switch ending.Kind {
	case answer.EndComplete:
		if len(gathered.tokens) > MaxRecordedTokens {
			return result{outcome: peerapi.OutcomeUnknown, reason: "the engine answered more than can be recorded"}
		}
		gathered.outcome = peerapi.OutcomeCompleted
		return gathered
	case answer.EndNotRun:
		return result{
			outcome:          peerapi.OutcomeNotRun,
			reason:           ending.Reason,
			retryAfterMillis: ending.RetryAfter.Milliseconds(),
		}
	case answer.EndCancelled:
		return result{outcome: peerapi.OutcomeCancelled, reason: ending.Reason}
	}
	return result{outcome: peerapi.OutcomeUnknown, reason: ending.Reason}
}

// send sends a result as the events of one attempt, with the outcome in the last event.
func (r *result) send(requestID string, attempt uint32, stream peer.ServerStream) error {
	for _, span := range r.spans {
		for from := span.From; from < span.To; from += eventTokens {
			event := peerapi.ExecuteEvent{
				RequestID: requestID,
				Attempt:   attempt,
				Index:     from,
				Tokens:    r.tokens[from:min(from+eventTokens, span.To)],
				Version:   span.Version,
			}
			if err := stream.Send(&event); err != nil {
				return err
			}
		}
	}
	return stream.Send(&peerapi.ExecuteEvent{
		RequestID:        requestID,
		Attempt:          attempt,
		Index:            len(r.tokens),
		Outcome:          r.outcome,
		Reason:           r.reason,
		RetryAfterMillis: r.retryAfterMillis,
	})
}
