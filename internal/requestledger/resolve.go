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

// recorded tells how the log says that the run's ask ended. known is false when a Start of the ask would be valid.
func (s *Service) recorded(ctx context.Context, owner shard.Owner, run *run) (how result, known bool, err error) {
	var found lookup
	owner.View(func(state shard.State) { found = state.(*State).look(run.key, run.ask, run.digest, owner.Epoch()) })
	if found.leftRunning && s.neverDispatched(run.key, found.runningAsk, owner.Epoch()) {
		return s.closeUndispatched(ctx, owner, run, found.runningAsk)
	}
	return found.result, found.known, found.err
}

// lookup is what the state tells of one ask.
type lookup struct {
	known  bool
	result result
	err    error
	// leftRunning says that the Start of runningAsk, in this owner's epoch, has no end.
	leftRunning bool
	runningAsk  uint64
}

func (s *State) look(name key, ask uint64, digest []byte, epoch uint64) lookup {
	found := s.entries[name]
	if found == nil {
		return lookup{}
	}
	if slices.Contains(found.closed, ask) {
		return lookup{known: true, result: notRunResult(found)}
	}
	if found.conflicts(digest) {
		return lookup{err: &peer.Error{
			Code:    peer.CodeConflict,
			Message: "the request id was used before with other content",
		}}
	}
	if found.running {
		return lookup{known: true, result: ownerLost(), leftRunning: found.epoch == epoch, runningAsk: found.ask}
	}
	if found.answerDropped {
		return lookup{known: true, result: answerDropped()}
	}
	if found.result.isNotRun() {
		return lookup{}
	}
	return lookup{known: true, result: found.result}
}

// notRunResult is the answer to an ask that was proven not run, whatever a later ask of the same request came to.
func notRunResult(found *entry) result {
	if found.result.isNotRun() {
		return found.result
	}
	return result{outcome: peerapi.OutcomeNotRun, reason: "this ask was cancelled before it was started"}
}

func answerDropped() result {
	return result{outcome: peerapi.OutcomeUnknown, reason: "the request was completed; its answer is no longer kept"}
}

func (s *Service) neverDispatched(name key, ask, epoch uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, given := s.undispatched[startID{name, ask, epoch}]
	return given
}

// closeUndispatched records that a Start whose append was left uncertain, and which this owner never dispatched, did not
// run. Nobody else can have dispatched it, for only the owner that wrote a Start does. The ask at hand goes on from
// there.
func (s *Service) closeUndispatched(
	ctx context.Context, owner shard.Owner, run *run, startedAsk uint64,
) (how result, known bool, err error) {
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
		return result{}, false, appendFailed(err)
	}
	s.mu.Lock()
	delete(s.undispatched, startID{run.key, startedAsk, owner.Epoch()})
	s.mu.Unlock()
	return s.recorded(ctx, owner, run)
}

// appendFailed turns the error of a record that cannot have started anything into an answer.
func appendFailed(err error) error {
	if errors.Is(err, shard.ErrNotOwner) {
		return notOwner()
	}
	return uncertain("the log could not be asked for the outcome of the request")
}

// resolveAsk is the drive that settles an ask whose contact was lost: it tells the recorded end, or closes the ask.
func (s *Service) resolveAsk(ctx context.Context, run *run) (result, error) {
	owner, err := s.open(ctx, run)
	if err != nil {
		return result{}, err
	}
	for {
		if how, known, err := s.recorded(ctx, owner, run); known || err != nil {
			return how, err
		}
		s.failpoint(BeforeCancel)
		body := cancelRecord{run.key.workload, run.key.requestID, run.ask, time.Now().UnixMilli()}
		verdict, err := appendRecord(ctx, owner, kindCancel, &body)
		if err != nil {
			return result{}, appendFailed(err)
		}
		if verdict == VerdictFull {
			return result{}, uncertain("the shard of the request ledger holds as many requests as it may")
		}
		if verdict == VerdictApplied {
			s.failpoint(AfterCancel)
			return result{outcome: peerapi.OutcomeNotRun, reason: "cancelled before it was started"}, nil
		}
	}
}
