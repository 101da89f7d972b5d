package gateway

import (
	"context"
	"crypto/rand"
	"fmt"
	"time"

	"connectrpc.com/connect"

	"github.com/hillfork/hillfork/internal/bundle"
	v1 "github.com/hillfork/hillfork/internal/gen/hillfork/v1"
	"github.com/hillfork/hillfork/internal/peerapi"
	"github.com/hillfork/hillfork/internal/requestledger"
)

const (
	// defaultTimeout limits a request if neither the caller nor the bundle sets a timeout.
	defaultTimeout = 2 * time.Minute
	noEngine       = "no engine serves the workload now"
)

// requestService serves interactive requests.
type requestService struct {
	gateway *Gateway
}

// requestResult is the final result of a request as reported to its caller.
type requestResult struct {
	outcome    v1.Outcome
	reason     string
	retryAfter time.Duration
	tokens     int
}

// Execute streams an answer; the last message carries the outcome. An invalid request is not run and returns a Connect
// error.
func (s *requestService) Execute(
	ctx context.Context, request *connect.Request[v1.ExecuteRequest], stream *connect.ServerStream[v1.ExecuteResponse],
) error {
	message := request.Msg
	end, err := s.execute(ctx, message, stream.Send)
	if err != nil {
		return err
	}
	s.gateway.metrics.outcomes.WithLabelValues(message.GetWorkload(), outcomeLabel(end.outcome)).Inc()
	return stream.Send(&v1.ExecuteResponse{
		RequestId:        message.GetRequestId(),
		Index:            int32(end.tokens),
		Outcome:          end.outcome,
		Reason:           end.reason,
		RetryAfterMillis: end.retryAfter.Milliseconds(),
		TotalTokens:      int32(end.tokens),
	})
}

// sendPart sends the caller one part of its answer.
type sendPart func(*v1.ExecuteResponse) error

func (s *requestService) execute(ctx context.Context, message *v1.ExecuteRequest, send sendPart) (requestResult, error) {
	accepted := s.gateway.config.Bundles.Current()
	if accepted == nil {
		return notAdmitted(&refusal{"the node has no bundle yet", notReadyRetryAfter}), nil
	}
	workload := accepted.Bundle.Workload(message.GetWorkload())
	if err := checkRequest(workload, message); err != nil {
		return requestResult{}, err
	}
	leave, refused := s.gateway.admission.enter(workload.Name, s.gateway.inFlightLimit(workload))
	if refused != nil {
		return notAdmitted(refused), nil
	}
	defer leave()
	ctx, cancel := context.WithTimeout(ctx, timeoutOf(workload, message))
	defer cancel()
	if message.GetUnsafeToRepeat() {
		return s.executeUnsafe(ctx, workload, message, send)
	}
	return s.executeSafe(ctx, workload, message, send)
}

func notAdmitted(refused *refusal) requestResult {
	return requestResult{outcome: v1.Outcome_OUTCOME_NOT_RUN, reason: refused.reason, retryAfter: refused.retryAfter}
}

// checkRequest returns an error for a request that is invalid and would fail again on a retry.
func checkRequest(workload *bundle.Workload, message *v1.ExecuteRequest) error {
	if workload == nil {
		return notFound(fmt.Sprintf("workload %q is not in the bundle in force", message.GetWorkload()))
	}
	if workload.Kind != bundle.Interactive {
		return invalidArgument(fmt.Sprintf("workload %q takes steps, not requests", workload.Name))
	}
	id := message.GetRequestId()
	if id == "" || len(id) > requestledger.MaxRequestIDBytes {
		return invalidArgument(fmt.Sprintf("request_id must have 1 to %d bytes", requestledger.MaxRequestIDBytes))
	}
	if message.GetTimeoutMillis() < 0 {
		return invalidArgument("timeout_millis must not be negative")
	}
	if err := checkPrompt(workload.Limits, message.GetPrompt()); err != nil {
		return err
	}
	return checkMaxTokens(workload.Limits, int(message.GetMaxTokens()))
}

func checkPrompt(limits bundle.Limits, prompt []uint32) error {
	if len(prompt) == 0 {
		return invalidArgument("prompt is empty")
	}
	if len(prompt) > limits.MaxPromptTokens {
		return invalidArgument(fmt.Sprintf("prompt has %d tokens; the bundle allows %d", len(prompt), limits.MaxPromptTokens))
	}
	return nil
}

func checkMaxTokens(limits bundle.Limits, maxTokens int) error {
	if maxTokens < 1 || maxTokens > limits.MaxTokens {
		return invalidArgument(fmt.Sprintf("max_tokens is %d; the bundle allows 1 to %d", maxTokens, limits.MaxTokens))
	}
	return nil
}

func timeoutOf(workload *bundle.Workload, message *v1.ExecuteRequest) time.Duration {
	timeout := time.Duration(workload.Limits.Timeout)
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	requested := time.Duration(min(message.GetTimeoutMillis(), timeout.Milliseconds())) * time.Millisecond
	if requested > 0 {
		return requested
	}
	return timeout
}

// inFlightLimit returns how many calls of a workload may be in flight at this gateway: the bundle's limits for running
// and queued calls together, capped by the gateway's own limit.
func (g *Gateway) inFlightLimit(workload *bundle.Workload) int {
	limit := g.config.Limits.MaxInFlight
	if workload.Limits.MaxInFlight > 0 {
		limit = min(limit, workload.Limits.MaxInFlight+workload.Limits.MaxQueue)
	}
	return limit
}

// engineRequestID returns an id that is unique to this call. The caller's own id is not sent to engines, because two
// callers may choose the same one.
func engineRequestID(message *v1.ExecuteRequest) string {
	return message.GetWorkload() + "/" + rand.Text()
}

func executeMessage(message *v1.ExecuteRequest, requestID string) peerapi.Execute {
	return peerapi.Execute{
		Workload:  message.GetWorkload(),
		RequestID: requestID,
		Prompt:    message.GetPrompt(),
		MaxTokens: int(message.GetMaxTokens()),
		Seed:      message.GetSeed(),
	}
}

// responsePart converts an event to the message sent to the caller.
func responsePart(message *v1.ExecuteRequest, event peerapi.ExecuteEvent) *v1.ExecuteResponse {
	return &v1.ExecuteResponse{
		RequestId: message.GetRequestId(),
		Index:     int32(event.Index),
		Tokens:    event.Tokens,
		Version:   event.Version,
	}
}

// remainingTime returns the time until the context's deadline, at least 1 ms, or defaultTimeout if there is no
// deadline.
func remainingTime(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return defaultTimeout
	}
	return max(time.Millisecond, time.Until(deadline))
}
