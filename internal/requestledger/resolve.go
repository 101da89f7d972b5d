package requestledger

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/hillfork/hillfork/internal/peer"
	"github.com/hillfork/hillfork/internal/peerapi"
	"github.com/hillfork/hillfork/internal/shard"
)

// recordedResult returns the result that the log holds for the run's ask. known is false if a Start of the ask would be
// valid.
func (s *Service) recordedResult(ctx context.Context, owner shard.Owner, run *run) (final result, known bool, err error) {
	var found lookupResult
	owner.View(func(state shard.State) { found = state.(*State).lookup(run.key, run.ask, run.digest, owner.Epoch()) })
	if found.unfinished && s.neverDispatched(run.key, found.runningAsk, owner.Epoch()) {
		return s.closeUndispatched(ctx, owner, run, found.runningAsk)
	}
	return found.result, found.known, found.err
}

// lookupResult is what the state holds for one ask.
type lookupResult struct {
	known  bool
	result result
	err    error
	// unfinished reports that the Start of runningAsk, in this owner's epoch, has no Finish.
	unfinished bool
	runningAsk uint64
}

func (s *State) lookup(name key, ask uint64, digest []byte, epoch uint64) lookupResult {
	found := s.entries[name]
	if found == nil {
		return lookupResult{}
	}
	if slices.Contains(found.closed, ask) {
		return lookupResult{known: true, result: notRunResult(found)}
	}
	if found.conflicts(digest) {
		return lookupResult{err: &peer.Error{
			Code:    peer.CodeConflict,
			Message: "the request id was used before with other content",
		}}
	}
	if found.running {
		return lookupResult{known: true, result: ownerLostResult(), unfinished: found.epoch == epoch, runningAsk: found.ask}
	}
	if found.answerDropped {
		return lookupResult{known: true, result: answerDroppedResult()}
	}
	if found.result.isNotRun() {
		return lookupResult{}
	}
	return lookupResult{known: true, result: found.result}
}

// notRunResult returns the result of an ask that is proven not to have run, independent of the result of any later ask
// of the same request.
func notRunResult(found *entry) result {
	if found.result.isNotRun() {
		return found.result
	}
	return result{outcome: peerapi.OutcomeNotRun, reason: "this ask was cancelled before it was started"}
}

func answerDroppedResult() result {
	return result{outcome: peerapi.OutcomeUnknown, reason: "the request was completed; its answer is no longer kept"}
}

func (s *Service) neverDispatched(name key, ask, epoch uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, found := s.undispatched[startID{name, ask, epoch}]
	return found
}

// closeUndispatched records that a Start whose append was uncertain, and which this owner never dispatched, did not
// run. No other process can have dispatched it, because only the owner that wrote a Start dispatches it. The current
// ask then continues from the new state.
func (s *Service) closeUndispatched(
	ctx context.Context, owner shard.Owner, run *run, startedAsk uint64,
) (final result, known bool, err error) {
	s.failpoint(BeforeCloseAsk)
	body := finishRecord{
		Workload:     run.key.workload,
		RequestID:    run.key.requestID,
		Ask:          startedAsk,
		Outcome:      peerapi.OutcomeNotRun,
		Reason:       "the request was recorded but not given to an engine",
		AtUnixMillis: time.Now().UnixMilli(),
	}
	_, err = appendRecord(ctx, owner, kindFinish, &body)
	if err != nil {
		return result{}, false, appendError(err)
	}
	s.mu.Lock()
	delete(s.undispatched, startID{run.key, startedAsk, owner.Epoch()})
	s.mu.Unlock()
	return s.recordedResult(ctx, owner, run)
}

// appendError converts the error of appending a record that cannot start a run into the error for the caller.
func appendError(err error) error {
	if errors.Is(err, shard.ErrNotOwner) {
		return notOwnerError()
	}
	return uncertainError("the log could not be asked for the outcome of the request")
}

// resolveAsk settles an ask whose caller lost contact: it returns the recorded result, or closes the ask so that it
// never runs.
func (s *Service) resolveAsk(ctx context.Context, run *run) (result, error) {
	owner, err := s.open(ctx, run)
	if err != nil {
		return result{}, err
	}
	for {
		if final, known, err := s.recordedResult(ctx, owner, run); known || err != nil {
			return final, err
		}
		s.failpoint(BeforeCancel)
		body := cancelRecord{run.key.workload, run.key.requestID, run.ask, time.Now().UnixMilli()}
		verdict, err := appendRecord(ctx, owner, kindCancel, &body)
		if err != nil {
			return result{}, appendError(err)
		}
		if verdict == VerdictFull {
			return result{}, uncertainError("the shard of the request ledger holds as many requests as it may")
		}
		if verdict == VerdictApplied {
			s.failpoint(AfterCancel)
			return result{outcome: peerapi.OutcomeNotRun, reason: "cancelled before it was started"}, nil
		}
	}
}
