package gateway

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/hillfork/hillfork/internal/answer"
	"github.com/hillfork/hillfork/internal/bundle"
	v1 "github.com/hillfork/hillfork/internal/gen/hillfork/v1"
	"github.com/hillfork/hillfork/internal/peerapi"
	"github.com/hillfork/hillfork/internal/platform"
)

// maxAttempts limits the attempts of one safe request.
const maxAttempts = 4

// errWrongVersion is returned if an engine answered with weights that the bundle does not accept.
var errWrongVersion = errors.New("engine answered with a weight version that the bundle does not accept")

// execution is one safe request in flight.
type execution struct {
	gateway  *Gateway
	workload *bundle.Workload
	message  *v1.ExecuteRequest
	send     sendPart
	request  peerapi.Execute
	// delivered are the tokens already sent to the caller; the next attempt resumes after them.
	delivered []uint32
	excluded  []string
	history   history
}

// history summarizes the failed attempts of a request.
type history struct {
	attempts int
	// mayHaveRun is set once an attempt failed without proof that it did not run.
	mayHaveRun bool
	reason     string
	// retryAfter is the shortest retry delay that an engine named when it rejected an attempt.
	retryAfter time.Duration
}

// add records an attempt that gave no complete answer.
func (h *history) add(ending answer.Ending) {
	h.attempts++
	h.reason = ending.Reason
	if ending.Kind != answer.EndNotRun {
		h.mayHaveRun = true
	}
	if ending.RetryAfter > 0 && (h.retryAfter == 0 || ending.RetryAfter < h.retryAfter) {
		h.retryAfter = ending.RetryAfter
	}
}

// finalResult is the result of a request that is not retried. Its outcome is OUTCOME_NOT_RUN only if every attempt is
// proven not to have run.
func (h *history) finalResult(reason string) requestResult {
	end := requestResult{outcome: v1.Outcome_OUTCOME_NOT_RUN, reason: reason, retryAfter: h.retryAfter}
	if h.reason != "" {
		end.reason = reason + "; last attempt: " + h.reason
	}
	if h.mayHaveRun {
		end.outcome = v1.Outcome_OUTCOME_UNKNOWN
	}
	if end.retryAfter == 0 {
		end.retryAfter = notReadyRetryAfter
	}
	return end
}

func (s *requestService) executeSafe(
	ctx context.Context, workload *bundle.Workload, message *v1.ExecuteRequest, send sendPart,
) (requestResult, error) {
	s.gateway.budgets.earn(workload.Name, workload.Limits.RetryRatio)
	running := &execution{
		gateway:  s.gateway,
		workload: workload,
		message:  message,
		send:     send,
		request:  executeMessage(message, engineRequestID(message)),
	}
	end, err := running.run(ctx)
	end.tokens = len(running.delivered)
	return end, err
}

// run tries engines until the answer is complete. It never waits: when there is nothing left to try, it returns at once
// with a retry delay. The error is that of sending to the caller.
func (e *execution) run(ctx context.Context) (requestResult, error) {
	for {
		engine, reason, ok := e.next(ctx)
		if !ok {
			return e.history.finalResult(reason), nil
		}
		ending, err := e.attempt(ctx, engine)
		if err != nil {
			return requestResult{}, err
		}
		switch ending.Kind {
		case answer.EndComplete:
			return requestResult{outcome: v1.Outcome_OUTCOME_COMPLETED}, nil
		case answer.EndCancelled:
			return requestResult{outcome: v1.Outcome_OUTCOME_CANCELLED, reason: ending.Reason}, nil
		}
		e.history.add(ending)
		e.excluded = append(e.excluded, engine.ID)
		e.gateway.router.hints.failed(engine.ID, time.Now())
		e.gateway.logger.Debug("attempt failed", "engine", engine.ID, "request", e.request.RequestID, "reason", ending.Reason)
	}
}

// next chooses the engine of the next attempt. If there is none, it returns the reason and false.
func (e *execution) next(ctx context.Context) (engine platform.Machine, reason string, ok bool) {
	if ctx.Err() != nil {
		return engine, "the deadline has passed", false
	}
	if e.history.attempts > 0 && !answer.AllowsRetry(remainingTime(ctx)) {
		return engine, "the deadline is too near for another engine", false
	}
	if e.history.attempts >= maxAttempts {
		return engine, fmt.Sprintf("%d engines were tried", maxAttempts), false
	}
	engine, ok = e.gateway.router.pick(e.workload, e.request.Prompt, e.excluded)
	if !ok {
		return engine, noEngine, false
	}
	if e.history.attempts > 0 && !e.gateway.budgets.spend(e.workload.Name, e.workload.Limits.RetryRatio) {
		return engine, "the workload's retry budget is spent", false
	}
	return engine, "", true
}

// attempt runs one attempt and relays its events. The error is that of sending to the caller.
func (e *execution) attempt(ctx context.Context, engine platform.Machine) (answer.Ending, error) {
	e.countRetry()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	request := e.request
	request.Attempt = uint32(e.history.attempts + 1)
	request.Resume = e.delivered
	request.TimeoutMillis = max(1, answer.InnerTimeout(remainingTime(ctx)).Milliseconds())
	stream, err := e.gateway.router.open(ctx, engine, &request)
	if err != nil {
		return answer.FromError(err), nil
	}
	defer func() { _ = stream.Close() }()
	assembler := answer.NewAssembler(request.RequestID, request.Attempt, len(e.delivered))
	reportLoad := func(load float64) { e.gateway.router.hints.reported(engine.ID, load, time.Now()) }
	ending, err := answer.Follow(stream, assembler, reportLoad, e.deliver)
	e.gateway.metrics.countDrops(assembler.Drops())
	if errors.Is(err, errWrongVersion) {
		return ending, nil
	}
	return ending, err
}

func (e *execution) countRetry() {
	if e.history.attempts == 0 {
		return
	}
	kind := "retry"
	if len(e.delivered) > 0 {
		kind = "resume"
	}
	e.gateway.metrics.retries.WithLabelValues(e.workload.Name, kind).Inc()
}

// deliver sends one part of the answer to the caller. It returns errWrongVersion for weights that the bundle does not
// accept.
func (e *execution) deliver(event peerapi.ExecuteEvent) error {
	if !accepts(e.workload, event.Version) {
		return errWrongVersion
	}
	if err := e.send(responsePart(e.message, event)); err != nil {
		return err
	}
	e.delivered = append(e.delivered, event.Tokens...)
	return nil
}

func accepts(workload *bundle.Workload, version uint64) bool {
	if version < workload.MinVersion {
		return false
	}
	return workload.MaxVersion == 0 || version <= workload.MaxVersion
}
