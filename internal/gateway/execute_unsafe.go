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
	// resolveTimeout bounds the time to find out what became of a request whose owner was lost.
	resolveTimeout = 10 * time.Second
	// minResolveTimeout is given to it even when the request's own deadline is near.
	minResolveTimeout = 50 * time.Millisecond
	// resolveReserve is kept of the caller's deadline to find out what became of the request; a short deadline is shared.
	resolveReserve = time.Second
	reserveShare   = 4
)

// unsafeExecution is one unsafe request under way. It is sent to the request ledger once; what became of it after contact
// was lost is asked, and never guessed.
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
) (final, error) {
	running := &unsafeExecution{
		gateway: s.gateway,
		message: message,
		send:    send,
		stream:  requestledger.StreamOf(workload.Name, message.GetRequestId()),
		request: executeMessage(message, message.GetRequestId()),
	}
	running.request.Attempt = 1
	running.request.Ask = rand.Uint64()
	running.request.TimeoutMillis = max(1, askTimeout(ctx).Milliseconds())
	end, err := running.run(ctx)
	end.tokens = running.delivered
	return end, err
}

func (u *unsafeExecution) run(ctx context.Context) (final, error) {
	ending, err := u.ask(ctx)
	if err != nil {
		return final{}, err
	}
	switch {
	case ending.Kind == answer.EndWhole:
		return final{outcome: v1.Outcome_OUTCOME_COMPLETED}, nil
	case ending.Kind == answer.EndCancelled:
		return final{outcome: v1.Outcome_OUTCOME_CANCELLED, reason: ending.Reason}, nil
	case ending.Kind == answer.EndNotRun:
		return notRun(ending)
	case ending.Settled:
		return final{outcome: v1.Outcome_OUTCOME_UNKNOWN, reason: ending.Reason}, nil
	case errors.Is(ctx.Err(), context.Canceled):
		return final{}, ctx.Err() // nobody waits for the answer any more; the ledger keeps it
	}
	return u.resolve(ctx, ending)
}

// ask sends the request to the ledger and relays its answer. The error is the caller's connection's.
func (u *unsafeExecution) ask(ctx context.Context) (answer.Ending, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout(ctx))
	defer cancel()
	stream, err := u.gateway.config.Owners.StreamOwner(
		ctx, u.stream, u.gateway.preference(), peerapi.MethodExecuteOnce, &u.request, true)
	if err != nil {
		return answer.FromError(err), nil
	}
	defer func() { _ = stream.Close() }()
	assembler := answer.NewAssembler(u.request.RequestID, u.request.Attempt, 0)
	ending, err := answer.Follow(stream, assembler, func(float64) {}, u.deliver)
	u.gateway.metrics.drops(assembler.Drops())
	return ending, err
}

// askTimeout is the part of the caller's time in which the ledger may answer. It is told to the ledger, so that what became
// of the request is settled while it can still be asked.
func askTimeout(ctx context.Context) time.Duration {
	remaining := remainingTime(ctx)
	return remaining - min(resolveReserve, remaining/reserveShare)
}

func (u *unsafeExecution) deliver(event peerapi.ExecuteEvent) error {
	if err := u.send(part(u.message, event)); err != nil {
		return err
	}
	u.delivered += len(event.Tokens)
	return nil
}

// notRun is the end of a request that the ledger refused or recorded as not run. A refusal that asking again will not
// change is a Connect error.
func notRun(ending answer.Ending) (final, error) {
	if refused := lastingRefusal(ending.Err); refused != nil {
		return final{}, refusalError(refused)
	}
	end := final{outcome: v1.Outcome_OUTCOME_NOT_RUN, reason: ending.Reason, retryAfter: ending.RetryAfter}
	if end.retryAfter == 0 {
		end.retryAfter = notReadyRetryAfter
	}
	return end, nil
}

// lastingRefusal is the refusal of a request that breaks a rule, or contradicts what is recorded; nil for any other error.
func lastingRefusal(err error) *peer.Error {
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

// resolve asks the ledger what became of the request. A request that was never started is cancelled by it.
func (u *unsafeExecution) resolve(ctx context.Context, lost answer.Ending) (final, error) {
	budget := resolveBudget(ctx)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), budget)
	defer cancel()
	question := peerapi.Resolve{
		Workload:   u.request.Workload,
		RequestID:  u.request.RequestID,
		Ask:        u.request.Ask,
		Digest:     requestledger.Digest(u.request.Prompt, u.request.MaxTokens, u.request.Seed),
		WaitMillis: budget.Milliseconds(),
	}
	var settled peerapi.ResolveResult
	err := u.gateway.config.Owners.CallOwner(
		ctx, u.stream, u.gateway.preference(), peerapi.MethodResolve, &question, &settled, true)
	if refused := lastingRefusal(err); refused != nil && refused.Code == peer.CodeConflict {
		return final{}, refusalError(refused)
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

// unresolved is the end of a request of which nothing could be found out in time. Asking again under the same id is safe
// and tells more.
func unresolved(lost answer.Ending) final {
	return final{
		outcome:    v1.Outcome_OUTCOME_UNKNOWN,
		reason:     "contact with the owner of the request was lost: " + lost.Reason,
		retryAfter: notReadyRetryAfter,
	}
}

// finish gives the caller what it has not got of a settled answer.
func (u *unsafeExecution) finish(settled *peerapi.ResolveResult) (final, error) {
	end := final{reason: settled.Reason, retryAfter: time.Duration(settled.RetryAfterMillis) * time.Millisecond}
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
			return final{}, err
		}
	}
	return end, nil
}
