package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/hillfork/hillfork/internal/answer"
	"github.com/hillfork/hillfork/internal/bundle"
	v1 "github.com/hillfork/hillfork/internal/gen/hillfork/v1"
	"github.com/hillfork/hillfork/internal/peer"
	"github.com/hillfork/hillfork/internal/peerapi"
	"github.com/hillfork/hillfork/internal/requestledger"
)

const (
	// resolveTimeout limits the query for the outcome of a request whose owner was lost.
	resolveTimeout = 10 * time.Second
	// minResolveTimeout is the minimum time for that query, even if the request's own deadline is closer.
	minResolveTimeout = 50 * time.Millisecond
	// resolveReserve is the part of the caller's deadline that is reserved for that query. For short deadlines the
	// reserve is 1/reserveShare of the remaining time.
	resolveReserve = time.Second
	reserveShare   = 4
)

// unsafeExecution is one unsafe request in flight. It is sent to the request ledger once. If contact is lost, the
// outcome is queried from the ledger and never inferred.
type unsafeExecution struct {
	gateway   *Gateway
	message   *v1.ExecuteRequest
	send      sendPart
	stream    string
	request   peerapi.Execute
	delivered int
}

func (s *requestService) executeUnsafe(
	ctx context.Context, workload *bundle.Workload, message *v1.ExecuteRequest, send sendPart,
) (requestResult, error) {
	running := &unsafeExecution{
		gateway: s.gateway,
		message: message,
		send:    send,
		stream:  requestledger.StreamOf(workload.Name, message.GetRequestId()),
		request: executeMessage(message, message.GetRequestId()),
	}
	running.request.Attempt = 1
	running.request.Ask = rand.Uint64()
	running.request.TimeoutMillis = max(1, ledgerTimeout(ctx).Milliseconds())
	end, err := running.run(ctx)
	end.tokens = running.delivered
	return end, err
}

func (u *unsafeExecution) run(ctx context.Context) (requestResult, error) {
	ending, err := u.sendToLedger(ctx)
	if err != nil {
		return requestResult{}, err
	}
	switch {
	case ending.Kind == answer.EndComplete:
		return requestResult{outcome: v1.Outcome_OUTCOME_COMPLETED}, nil
	case ending.Kind == answer.EndCancelled:
		return requestResult{outcome: v1.Outcome_OUTCOME_CANCELLED, reason: ending.Reason}, nil
	case ending.Kind == answer.EndNotRun:
		return notRun(ending)
	case ending.Settled:
		return requestResult{outcome: v1.Outcome_OUTCOME_UNKNOWN, reason: ending.Reason}, nil
	case errors.Is(ctx.Err(), context.Canceled):
		return requestResult{}, ctx.Err() // the caller has gone; the ledger keeps the answer
	}
	return u.resolve(ctx, ending)
}

// sendToLedger sends the request to the ledger and relays its answer. The error is that of sending to the caller.
func (u *unsafeExecution) sendToLedger(ctx context.Context) (answer.Ending, error) {
	ctx, cancel := context.WithTimeout(ctx, ledgerTimeout(ctx))
	defer cancel()
	stream, err := u.gateway.config.Owners.StreamOwner(
		ctx, u.stream, u.gateway.preference(), peerapi.MethodExecuteOnce, &u.request, true)
	if err != nil {
		return answer.FromError(err), nil
	}
	defer func() { _ = stream.Close() }()
	assembler := answer.NewAssembler(u.request.RequestID, u.request.Attempt, 0)
	ending, err := answer.Follow(stream, assembler, func(float64) {}, u.deliver)
	u.gateway.metrics.countDrops(assembler.Drops())
	return ending, err
}

// ledgerTimeout is the part of the caller's remaining time within which the ledger may answer. It is sent to the
// ledger, so that the outcome is settled while there is still time to query it.
func ledgerTimeout(ctx context.Context) time.Duration {
	remaining := remainingTime(ctx)
	return remaining - min(resolveReserve, remaining/reserveShare)
}

func (u *unsafeExecution) deliver(event peerapi.ExecuteEvent) error {
	if err := u.send(responsePart(u.message, event)); err != nil {
		return err
	}
	u.delivered += len(event.Tokens)
	return nil
}

// notRun is the result of a request that the ledger refused or recorded as not run. Refusals that a retry can't change
// become Connect errors.
func notRun(ending answer.Ending) (requestResult, error) {
	if refused := permanentRefusal(ending.Err); refused != nil {
		return requestResult{}, refusalError(refused)
	}
	end := requestResult{outcome: v1.Outcome_OUTCOME_NOT_RUN, reason: ending.Reason, retryAfter: ending.RetryAfter}
	if end.retryAfter == 0 {
		end.retryAfter = notReadyRetryAfter
	}
	return end, nil
}

// permanentRefusal returns the peer error of a request that is invalid or conflicts with the recorded one, and nil for
// any other error.
func permanentRefusal(err error) *peer.Error {
	var refused *peer.Error
	if !errors.As(err, &refused) {
		return nil
	}
	switch refused.Code {
	case peer.CodeConflict, peer.CodeInvalid, peer.CodeNotFound:
		return refused
	}
	return nil
}

// resolve queries the ledger for the outcome of the request. The ledger cancels a request that was never started.
func (u *unsafeExecution) resolve(ctx context.Context, lost answer.Ending) (requestResult, error) {
	budget := resolveBudget(ctx)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), budget)
	defer cancel()
	query := peerapi.Resolve{
		Workload:   u.request.Workload,
		RequestID:  u.request.RequestID,
		Ask:        u.request.Ask,
		Digest:     requestledger.Digest(u.request.Prompt, u.request.MaxTokens, u.request.Seed),
		WaitMillis: budget.Milliseconds(),
	}
	var settled peerapi.ResolveResult
	err := u.gateway.config.Owners.CallOwner(
		ctx, u.stream, u.gateway.preference(), peerapi.MethodResolve, &query, &settled, true)
	if refused := permanentRefusal(err); refused != nil && refused.Code == peer.CodeConflict {
		return requestResult{}, refusalError(refused)
	}
	if err != nil {
		u.gateway.logger.Debug("request could not be resolved", "request", u.request.RequestID, "lost", lost.Reason, "error", err)
		return unresolved(lost), nil
	}
	return u.finish(&settled)
}

func resolveBudget(ctx context.Context) time.Duration {
	return max(minResolveTimeout, min(resolveTimeout, remainingTime(ctx)))
}

// unresolved is the result of a request whose outcome could not be determined in time. Retrying with the same id is
// safe and may return the outcome.
func unresolved(lost answer.Ending) requestResult {
	return requestResult{
		outcome:    v1.Outcome_OUTCOME_UNKNOWN,
		reason:     "contact with the owner of the request was lost: " + lost.Reason,
		retryAfter: notReadyRetryAfter,
	}
}

// finish sends the caller the tokens of a settled answer that it has not received.
func (u *unsafeExecution) finish(settled *peerapi.ResolveResult) (requestResult, error) {
	end := requestResult{reason: settled.Reason, retryAfter: time.Duration(settled.RetryAfterMillis) * time.Millisecond}
	switch settled.Outcome {
	case peerapi.OutcomeCompleted:
		end.outcome = v1.Outcome_OUTCOME_COMPLETED
	case peerapi.OutcomeNotRun:
		end.outcome = v1.Outcome_OUTCOME_NOT_RUN
	case peerapi.OutcomeCancelled:
		end.outcome = v1.Outcome_OUTCOME_CANCELLED
	default:
		end.outcome = v1.Outcome_OUTCOME_UNKNOWN
	}
	for _, span := range settled.Spans {
		from := max(span.From, u.delivered)
		if from >= span.To || span.To > len(settled.Tokens) {
			continue
		}
		event := peerapi.ExecuteEvent{Index: from, Tokens: settled.Tokens[from:span.To], Version: span.Version}
		if err := u.deliver(event); err != nil {
			return requestResult{}, err
		}
	}
	return end, nil
}
