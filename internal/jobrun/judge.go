package jobrun

import (
	"context"
	"net/http"
	"time"

	"github.com/hillfork/hillfork/internal/catalog"
	"github.com/hillfork/hillfork/internal/eventrun"
	"github.com/hillfork/hillfork/internal/pause"
	"github.com/hillfork/hillfork/internal/policy"
)

// judge decides what follows from the end of a run: done says that nothing more is run, whole that the text is.
func (e *execution) judge(ctx context.Context, route catalog.Route, result eventrun.Result) (done, whole bool) {
	directory := e.runner.config.Directory
	if result.Ending != eventrun.EndedWhole && ctx.Err() == nil {
		e.runner.config.Logger.Info("run ended early", "job", e.view.Spec.ID, "item", e.item.ID, "engine", e.engine.ID,
			"ending", result.Ending, "status", result.Status, "error", result.Err, "events", len(e.events),
			"version", e.current)
	}
	e.brokenAt = time.Now()
	e.exclude, e.refused = nil, false
	switch result.Ending {
	case eventrun.EndedWhole:
		directory.Succeeded(e.engine.ID, 0)
		e.runner.config.Quarantine.Answered(e.call())
		e.runner.learnLength(e.item.LengthHint, len(e.events))
		return true, true
	case eventrun.EndedNotRun:
		e.turnedAway(result)
	case eventrun.EndedFailed:
		return e.failed(route, result), false
	case eventrun.EndedByReceiver:
		e.exclude = []string{e.engine.ID}
	case eventrun.EndedBroken, eventrun.EndedSilent:
		e.exclude = []string{e.engine.ID}
		if !directory.Loading(e.engine.ID, e.view.Spec.Model) {
			directory.Failed(e.engine.ID, policy.FailureInWork, result.Cause())
		}
		e.runner.config.Quarantine.Broke(ctx, e.call(), e.engine, result.Err, policy.ItemCrashLimit)
		if result.Ending == eventrun.EndedSilent {
			e.runner.config.Quarantine.Silent(e.call(), e.engine, gapLeast)
		}
	}
	return false, false
}

// turnedAway takes that the engine did not run the item. Others are asked first: the engine is left alone for less long than an item that
// was turned away often waits.
func (e *execution) turnedAway(result eventrun.Result) {
	e.exclude, e.refused = []string{e.engine.ID}, true
	e.runner.config.Quarantine.NotRun(e.call())
	directory := e.runner.config.Directory
	if result.Err != nil {
		directory.Failed(e.engine.ID, policy.FailureToConnect, result.Cause())
		return
	}
	directory.Rejected(e.engine.ID)
	directory.SetLoading(e.engine.ID, e.view.Spec.Model, time.Now().Add(loadingPause))
}

// asksAgain has the engine that turned the item away asked again, where no other one has taken it.
func (e *execution) asksAgain() {
	if e.refused {
		e.exclude, e.refused = nil, false
	}
}

// failed counts an answer of the engine that the item failed; it returns true if the item is given up for it.
func (e *execution) failed(route catalog.Route, result eventrun.Result) bool {
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

// backOff waits after runs that brought nothing, longer each time.
func (e *execution) backOff(ctx context.Context, advanced bool) {
	if advanced {
		e.fruitless = 0
		return
	}
	pause.For(ctx, min(retryMost, retryLeast<<min(e.fruitless, 5)))
	e.fruitless++
}
