package jobrun

import (
	"context"
	"net/http"
	"time"

	"github.com/hillfork/hillfork/internal/catalog"
	"github.com/hillfork/hillfork/internal/engineapi"
	"github.com/hillfork/hillfork/internal/fleet"
	"github.com/hillfork/hillfork/internal/forward"
	"github.com/hillfork/hillfork/internal/pause"
	"github.com/hillfork/hillfork/internal/policy"
)

// requestScore requests a score of the text, retrying until the scorer answers. It returns false if the item is abandoned.
func (e *execution) requestScore(ctx context.Context) (string, bool) {
	scorer := e.item.Scorer
	if scorer == nil {
		return "", true
	}
	var heardSince time.Time
	for ctx.Err() == nil {
		route, ok := e.scorerRoute()
		if !ok {
			// The scorer's route may come back. Only the end of the item's own route ends the item.
			if e.ownRouteRemoved(ctx) {
				e.runner.config.Logger.Info("item given up, its route is gone", "item", e.item.ID, "job", e.view.Spec.ID)
				return "", false
			}
			continue
		}
		request := e.scoreRequest(ctx, route)
		request.Call.HeardSince = heardSince
		sentAt := time.Now()
		answer := e.runner.config.Forwarder.Do(ctx, request)
		if answer.Outcome == forward.Answered && answer.Reply.Succeeded() {
			return answer.Reply.Stamp, true
		}
		if answer.Failures >= route.MaxAttempts {
			e.runner.config.Logger.Info("item given up, its scorer fails", "item", e.item.ID, "job", e.view.Spec.ID,
				"failures", answer.Failures)
			return "", false
		}
		if answer.Outcome == forward.TimedOut {
			heardSince = sentAt
		}
		if answer.Outcome == forward.NotRun {
			e.runner.config.Quarantine.ReportNotRun(request.Call)
		}
		if answer.Outcome == forward.Withheld {
			pause.For(ctx, min(answer.RetryAfter, withheldPollInterval))
			continue
		}
		pause.For(ctx, scoreRetryInterval)
	}
	return "", false
}

func (e *execution) scoreRequest(ctx context.Context, route catalog.Route) forward.Request {
	scorer := e.item.Scorer
	deadline := time.Now().Add(scoreTimeout)
	if bound, bounded := ctx.Deadline(); bounded && bound.Before(deadline) {
		deadline = bound
	}
	pool := e.runner.config.Splitter.Pick(route)
	return forward.Request{
		Pool: pool, Regions: e.regions(route),
		Call: engineapi.Call{
			Kind: engineapi.CallScore, Method: http.MethodPost, Target: scorer.Path, Host: scorer.Host, Body: scorer.Body, RequestID: scorer.ID,
			Priority: engineapi.NoPriority,
		},
		Deadline: deadline, MaxSlotWait: e.maxScorerWait(pool), Aim: route.Aim, MaxAttempts: route.MaxAttempts, MayRepeat: true,
		CrashClass: policy.CrashScore,
	}
}

// maxScorerWait returns how long a call waits for a slot at a scorer of a pool. Scorers that are full are waited for; another route may lead
// past a pool that has none. A new call earns a hedged attempt, so that calls that wait are not made anew.
func (e *execution) maxScorerWait(pool string) time.Duration {
	if e.runner.config.Directory.Exists(fleet.Want{Pool: pool}) {
		return scoreTimeout
	}
	return emptyPoolWait
}
