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

// OwnerCaller calls the owner of a shard, wherever it is.
type OwnerCaller interface {
	// CallOwner calls the owner of key; an idempotent call may be repeated after it was lost.
	CallOwner(ctx context.Context, key string, preference placement.Preference, method string,
		request, response peer.Message, idempotent bool) error
}

// handIn is the end of a run whose shard was taken over while it went on: a whole answer is given to the new owner to
// record; anything else is unknown.
func (s *Service) handIn(ctx context.Context, epoch uint64, run *run, how result) result {
	if s.config.Owners == nil || how.outcome != peerapi.OutcomeCompleted {
		return ownerLost()
	}
	request := peerapi.FinishRequest{
		Workload:  run.key.workload,
		RequestID: run.key.requestID,
		Ask:       run.ask,
		Epoch:     epoch,
		Tokens:    how.tokens,
		Spans:     how.spans,
	}
	var answered peerapi.FinishRequestResult
	err := s.config.Owners.CallOwner(
		ctx, run.stream(), placement.Preference{}, peerapi.MethodFinishRequest, &request, &answered, true)
	if err != nil || !answered.Recorded {
		errorlog.Warn(s.logger, "answer could not be handed in", err, "request", run.key.requestID)
		return ownerLost()
	}
	return how
}

// handleFinishRequest records the answer of a run that an earlier owner started.
func (s *Service) handleFinishRequest(ctx context.Context, decode peer.Decode) (peer.Message, error) {
	var request peerapi.FinishRequest
	if err := decode(&request); err != nil {
		return nil, invalid("request cannot be decoded")
	}
	handed := run{key: key{request.Workload, request.RequestID}, ask: request.Ask}
	owner, err := s.open(ctx, &handed)
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
		return nil, appendFailed(err)
	}
	return &peerapi.FinishRequestResult{Recorded: isCompleted(owner, &handed, request.Epoch)}, nil
}

// isCompleted tells whether the run's answer is recorded, by this call or by an earlier one that was lost.
func isCompleted(owner shard.Owner, handed *run, epoch uint64) (completed bool) {
	owner.View(func(state shard.State) {
		known := state.(*State).entries[handed.key]
		completed = known != nil && known.ask == handed.ask && known.epoch == epoch &&
			known.result.outcome == peerapi.OutcomeCompleted
	})
	return completed
}
