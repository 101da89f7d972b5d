package dispatch

import (
	"context"
	"errors"
	"time"

	"github.com/hillfork/hillfork/internal/errorlog"
	"github.com/hillfork/hillfork/internal/peer"
	"github.com/hillfork/hillfork/internal/peerapi"
)

// complete hands a whole answer in, until the step ledger has taken it or has no use for it. It gives up only with the
// process: the answer is in nobody else's hands.
func (a *attempt) complete(incarnation uint64, completed time.Time) {
	request := a.completion(incarnation, completed)
	pauses := a.link.owner.config.Timing.newBackoff()
	for a.useful.Err() == nil {
		if a.completeOnce(request) {
			return
		}
		waitFor(a.useful, pauses.NextBackOff())
	}
}

func (a *attempt) completion(incarnation uint64, completed time.Time) *peerapi.CompleteSample {
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

// completeOnce tells whether the answer needs no more attention.
func (a *attempt) completeOnce(request *peerapi.CompleteSample) bool {
	owner := a.link.owner
	owner.dispatcher.counters.Completions.Add(1)
	ctx, cancel := context.WithTimeout(a.useful, owner.config.Timing.Call)
	defer cancel()
	err := a.link.callLedger(ctx, peerapi.MethodCompleteSample, request, &peerapi.CompleteSampleResult{}, true)
	if err == nil {
		return true
	}
	errorlog.Warn(owner.logger, "finished sample was not taken yet", err, "request", a.requestID)
	return a.link.refusedForGood(err)
}

// refusedForGood tells whether the step shard will refuse a call each time. A ledger that does not know the workload may
// only be behind with the bundle, so this node's bundle has to agree.
func (l *workLink) refusedForGood(err error) bool {
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
