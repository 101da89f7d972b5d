package requestledger

import (
	"context"
	"fmt"
	"time"

	"github.com/hillfork/hillfork/internal/bundle"
	"github.com/hillfork/hillfork/internal/peer"
	"github.com/hillfork/hillfork/internal/peerapi"
)

func (s *Service) handleExecuteOnce(ctx context.Context, decode peer.Decode, stream peer.ServerStream) error {
	var request peerapi.Execute
	if err := decode(&request); err != nil {
		return invalidError("request cannot be decoded")
	}
	workload, err := s.check(&request)
	if err != nil {
		return err
	}
	digest := Digest(request.Prompt, request.MaxTokens, request.Seed)
	wanted := run{key: key{request.Workload, request.RequestID}, ask: request.Ask, digest: digest}
	ended, err := s.settle(ctx, wanted, runBudget(workload, &request), s.executeOnce(request))
	if err != nil {
		return err
	}
	return ended.result.send(request.RequestID, request.Attempt, stream)
}

// runBudget returns the maximum duration of a run. A caller whose timeout is shorter than the workload's does not cut
// its request off: it can ask again for the answer, whereas a run that was cut off would stay unknown.
func runBudget(workload *bundle.Workload, request *peerapi.Execute) time.Duration {
	limit := time.Duration(workload.Limits.Timeout)
	if limit <= 0 {
		limit = defaultTimeout
	}
	return max(limit, time.Duration(request.TimeoutMillis)*time.Millisecond)
}

func (s *Service) check(request *peerapi.Execute) (*bundle.Workload, error) {
	if request.RequestID == "" || len(request.RequestID) > MaxRequestIDBytes {
		return nil, invalidError(fmt.Sprintf("request id must have 1 to %d bytes", MaxRequestIDBytes))
	}
	if request.MaxTokens < 1 || request.MaxTokens > MaxRecordedTokens {
		return nil, invalidError(fmt.Sprintf("an unsafe request may ask for 1 to %d tokens", MaxRecordedTokens))
	}
	accepted := s.config.Bundles.Current()
	if accepted == nil {
		return nil, &peer.Error{Code: peer.CodeNotReady, Message: "no bundle is in force", RetryAfter: overloadedRetryAfter}
	}
	workload := accepted.Bundle.Workload(request.Workload)
	if workload == nil || workload.Kind != bundle.Interactive {
		return nil, &peer.Error{Code: peer.CodeNotFound, Message: "no such interactive workload"}
	}
	return workload, nil
}

func invalidError(message string) *peer.Error {
	return &peer.Error{Code: peer.CodeInvalid, Message: message}
}

func (s *Service) handleResolve(ctx context.Context, decode peer.Decode) (peer.Message, error) {
	var request peerapi.Resolve
	if err := decode(&request); err != nil {
		return nil, invalidError("request cannot be decoded")
	}
	budget := time.Duration(request.WaitMillis) * time.Millisecond
	if budget <= 0 {
		budget = settleTimeout
	}
	waiting, cancel := context.WithTimeout(ctx, budget)
	defer cancel()
	wanted := run{key: key{request.Workload, request.RequestID}, ask: request.Ask, digest: request.Digest}
	ended, err := s.settle(waiting, wanted, budget, s.resolveAsk)
	if err != nil {
		return nil, err
	}
	return &peerapi.ResolveResult{
		Outcome:          ended.result.outcome,
		Reason:           ended.result.reason,
		RetryAfterMillis: ended.result.retryAfterMillis,
		Tokens:           ended.result.tokens,
		Spans:            ended.result.spans,
	}, nil
}
