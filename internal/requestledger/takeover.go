package requestledger

import (
	"context"
	"time"

	"github.com/hillfork/hillfork/internal/errorlog"
	"github.com/hillfork/hillfork/internal/peer"
	"github.com/hillfork/hillfork/internal/peerapi"
	"github.com/hillfork/hillfork/internal/placement"
	"github.com/hillfork/hillfork/internal/shard"
)

// OwnerCaller calls the owner of a shard on whichever node it runs.
type OwnerCaller interface {
	// CallOwner calls the owner of key; an idempotent call may be retried after its response was lost.
	CallOwner(ctx context.Context, key string, preference placement.Preference, method string,
		request, response peer.Message, idempotent bool) error
}

// forwardResult returns the result of a run whose shard was taken over while it ran. A complete answer is sent to the
// new owner, which records it; any other result becomes unknown.
func (s *Service) forwardResult(ctx context.Context, epoch uint64, run *run, final result) result {
	if s.config.Owners == nil || final.outcome != peerapi.OutcomeCompleted {
		return ownerLostResult()
	}
	request := peerapi.FinishRequest{
		Workload:  run.key.workload,
		RequestID: run.key.requestID,
		Ask:       run.ask,
		Epoch:     epoch,
		Tokens:    final.tokens,
		Spans:     final.spans,
	}
	var answered peerapi.FinishRequestResult
	err := s.config.Owners.CallOwner(
		ctx, run.stream(), placement.Preference{}, peerapi.MethodFinishRequest, &request, &answered, true)
	if err != nil || !answered.Recorded {
		errorlog.Warn(s.logger, "could not forward the answer to the new owner of the shard", err, "request", run.key.requestID)
		return ownerLostResult()
	}
	return final
}

// handleFinishRequest records the answer of a run that an earlier owner started.
func (s *Service) handleFinishRequest(ctx context.Context, decode peer.Decode) (peer.Message, error) {
	var request peerapi.FinishRequest
	if err := decode(&request); err != nil {
		return nil, invalidError("request cannot be decoded")
	}
	forwarded := run{key: key{request.Workload, request.RequestID}, ask: request.Ask}
	owner, err := s.open(ctx, &forwarded)
	if err != nil {
		return nil, err
	}
	body := finishRecord{
		Workload:     request.Workload,
		RequestID:    request.RequestID,
		Ask:          request.Ask,
		Outcome:      peerapi.OutcomeCompleted,
		Tokens:       request.Tokens,
		Spans:        request.Spans,
		AtUnixMillis: time.Now().UnixMilli(),
		StartEpoch:   request.Epoch,
	}
	if _, err := appendRecord(ctx, owner, kindFinish, &body); err != nil {
		return nil, appendError(err)
	}
	return &peerapi.FinishRequestResult{Recorded: isCompleted(owner, &forwarded, request.Epoch)}, nil
}

// isCompleted reports whether the run's answer is recorded, by this call or by an earlier one whose response was lost.
func isCompleted(owner shard.Owner, forwarded *run, epoch uint64) (completed bool) {
	owner.View(func(state shard.State) {
		known := state.(*State).entries[forwarded.key]
		completed = known != nil && known.ask == forwarded.ask && known.epoch == epoch &&
			known.result.outcome == peerapi.OutcomeCompleted
	})
	return completed
}
