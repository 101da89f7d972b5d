package dispatch

import (
	"context"
	"errors"
	"time"

	"github.com/hillfork/hillfork/internal/errorlog"
	"github.com/hillfork/hillfork/internal/peer"
	"github.com/hillfork/hillfork/internal/peerapi"
)

// submitCompletion submits a complete answer until the step ledger has accepted it or no longer needs it. It retries
// until the process stops, because no other process has the answer.
func (a *attempt) submitCompletion(incarnation uint64, completed time.Time) {
	request := a.completionRequest(incarnation, completed)
	retryBackoff := a.link.owner.config.Timing.newBackoff()
	for a.neededCtx.Err() == nil {
		if a.trySubmitCompletion(request) {
			return
		}
		waitFor(a.neededCtx, retryBackoff.NextBackOff())
	}
}

func (a *attempt) completionRequest(incarnation uint64, completed time.Time) *peerapi.CompleteSample {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return &peerapi.CompleteSample{
		Workload:            a.assignment.Workload,
		Step:                a.assignment.Step,
		Index:               a.assignment.Index,
		Attempt:             a.assignment.Attempt,
		Engine:              a.link.owner.machine.ID,
		EngineIncarnation:   incarnation,
		Tokens:              a.tokens,
		Spans:               a.spans,
		CompletedUnixMillis: completed.UnixMilli(),
	}
}

// trySubmitCompletion submits the answer once and reports whether no retry is needed.
func (a *attempt) trySubmitCompletion(request *peerapi.CompleteSample) bool {
	owner := a.link.owner
	owner.dispatcher.counters.Completions.Add(1)
	ctx, cancel := context.WithTimeout(a.neededCtx, owner.config.Timing.CallTimeout)
	defer cancel()
	err := a.link.callLedger(ctx, peerapi.MethodCompleteSample, request, &peerapi.CompleteSampleResult{}, true)
	if err == nil {
		return true
	}
	errorlog.Warn(owner.logger, "step ledger did not accept the finished sample", err, "request", a.requestID)
	return a.link.permanentlyRefused(err)
}

// permanentlyRefused reports whether the step shard will refuse a call on every retry. A ledger that does not know the
// workload may have an older bundle, so CodeNotFound counts only if this node's bundle does not have the workload
// either.
func (l *stepShardLink) permanentlyRefused(err error) bool {
	var refusal *peer.Error
	if !errors.As(err, &refusal) {
		return false
	}
	switch refusal.Code {
	case peer.CodeInvalid, peer.CodeConflict:
		return true
	case peer.CodeNotFound:
		return l.owner.workload(l.key.workload) == nil
	default:
		return false
	}
}
