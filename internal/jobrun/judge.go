package jobrun

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/hillfork/hillfork/internal/catalog"
	"github.com/hillfork/hillfork/internal/engineapi"
	"github.com/hillfork/hillfork/internal/eventrun"
	"github.com/hillfork/hillfork/internal/pause"
	"github.com/hillfork/hillfork/internal/policy"
)

// handleEnding updates the item's state after a run. done reports that no further run is needed, complete that the text is
// complete; an item that is done but not complete is abandoned.
func (e *execution) handleEnding(ctx context.Context, route catalog.Route, result eventrun.Result) (done, complete bool) {
	directory := e.runner.config.Directory
	if result.Ending != eventrun.EndedComplete && ctx.Err() == nil {
		e.runner.config.Logger.Info("run ended early", "job", e.view.Spec.ID, "item", e.item.ID, "engine", e.engine.ID,
			"ending", result.Ending, "status", result.Status, "error", result.Err, "events", len(e.events),
			"version", e.currentVersion)
	}
	e.runEndedAt = time.Now()
	e.exclude, e.rejected = nil, false
	switch result.Ending {
	case eventrun.EndedComplete:
		directory.Succeeded(e.engine.ID, 0)
		e.runner.config.Quarantine.ReportAnswered(e.call())
		e.runner.recordLength(e.item.LengthHint, len(e.events))
		return true, true
	case eventrun.EndedUnconfirmed:
		// The next run continues the text and finds out whether it is complete.
		directory.Succeeded(e.engine.ID, 0)
		e.runner.config.Quarantine.ReportAnswered(e.call())
	case eventrun.EndedNotRun:
		e.handleRejection(result)
	case eventrun.EndedFailed:
		return e.handleFailure(route, result), false
	case eventrun.EndedByReceiver:
		e.exclude = []string{e.engine.ID}
		if errors.Is(result.Err, errTextTooLarge) {
			directory.Failed(e.engine.ID, policy.FailureInWork, result.Cause())
			e.restart(result.Err.Error())
		}
	case eventrun.EndedBroken, eventrun.EndedSilent:
		e.exclude = []string{e.engine.ID}
		if result.EngineAtFault() && !directory.Loading(e.engine.ID, e.view.Spec.Model) {
			directory.Failed(e.engine.ID, policy.FailureInWork, result.Cause())
		}
		e.runner.config.Quarantine.ReportBroken(ctx, e.call(), e.engine, result.Err, policy.CrashItem)
		if result.Ending == eventrun.EndedSilent {
			e.heardSince = e.lastSign()
			e.runner.config.Quarantine.ReportSilent(e.call(), e.engine, minEventGap)
		}
	}
	return false, false
}

// handleRejection handles a run that the engine did not start. The engine is excluded from the next run, since its backoff in
// the directory ends before an item that was rejected often is retried.
func (e *execution) handleRejection(result eventrun.Result) {
	e.exclude, e.rejected = []string{e.engine.ID}, true
	directory := e.runner.config.Directory
	if errors.Is(result.Err, engineapi.ErrLeaving) {
		return
	}
	if result.Err != nil {
		directory.Failed(e.engine.ID, policy.FailureToConnect, result.Cause())
		return
	}
	directory.Rejected(e.engine.ID)
	directory.SetLoading(e.engine.ID, e.view.Spec.Model, time.Now().Add(loadingBackoff))
}

// includeRejected allows the engine that rejected the item again, after no other engine could be acquired.
func (e *execution) includeRejected() {
	if e.rejected {
		e.exclude, e.rejected = nil, false
	}
}

// handleFailure handles an error status of the engine. It returns true if the item is abandoned: after one 422, or after as
// many answers with status 500 as the route allows attempts.
func (e *execution) handleFailure(route catalog.Route, result eventrun.Result) bool {
	if result.Status == http.StatusUnprocessableEntity {
		return true
	}
	if result.Status != http.StatusInternalServerError {
		e.runner.config.Directory.Failed(e.engine.ID, policy.FailureInWork, result.Cause())
		return false
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.failures++
	return e.failures >= route.MaxAttempts
}

// backOff waits after a run that produced no event, doubling the delay up to maxRetryBackoff.
func (e *execution) backOff(ctx context.Context, advanced bool) {
	if advanced {
		e.emptyRuns = 0
		return
	}
	pause.For(ctx, min(maxRetryBackoff, minRetryBackoff<<min(e.emptyRuns, 5)))
	e.emptyRuns++
}
