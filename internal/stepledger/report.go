package stepledger

import (
	"context"
	"time"

	"github.com/hillfork/hillfork/internal/bundle"
	"github.com/hillfork/hillfork/internal/peerapi"
)

// ReportWork renews the attempts that an engine runs and takes back those that failed. The answer names attempts whose
// answer would be of no use: the sample is complete or gone, another attempt has replaced this one, or its oldest tokens
// can no longer be delivered in bound. An attempt that the previous owner gave out is taken over.
func (s *Service) ReportWork(ctx context.Context, request *peerapi.ReportWork) (*peerapi.ReportWorkResult, error) {
	workload, err := s.workload(request.Workload)
	if err != nil {
		return nil, err
	}
	current, err := s.open(ctx, request.Workload, request.Shard)
	if err != nil {
		return nil, err
	}
	return current.report(request, workload, time.Now()), nil
}

// report folds the reports of an engine into the volatile state.
func (c *session) report(request *peerapi.ReportWork, workload *bundle.Workload, now time.Time) *peerapi.ReportWorkResult {
	result := &peerapi.ReportWorkResult{}
	returned := false
	c.mutex.Lock()
	c.view(func(state *State) {
		result.Latest = state.Latest()
		limits := boundsOf(workload, state.Latest())
		for _, progress := range request.Attempts {
			keep := c.renew(state, request.Engine, progress, limits, now)
			if keep {
				continue
			}
			returned = true
			if !progress.Failed {
				c.service.counters.Cancelled.Add(1)
				ref := peerapi.AttemptRef{Step: progress.Step, Index: progress.Index, Attempt: progress.Attempt}
				result.Cancel = append(result.Cancel, ref)
			}
		}
	})
	c.mutex.Unlock()
	if returned {
		c.work.raise()
	}
	return result
}

// renew folds one report and tells whether the attempt goes on. A failed attempt hands back at least the tokens that it
// resumed; one that hands back none could not go on from them, and the next attempt starts afresh. The caller holds the mutex and the view.
func (c *session) renew(state *State, engine string, progress peerapi.Progress, limits bounds, now time.Time) bool {
	key := sampleKey{step: progress.Step, index: progress.Index}
	step, sample := state.sample(key.step, key.index)
	if sample == nil || !step.waiting(key.index) {
		return false
	}
	rest := partial{tokens: progress.Partial, spans: recordSpans(progress.Spans)}
	current := c.running[key]
	if progress.Failed {
		isCurrent := current != nil && current.number == progress.Attempt
		if isCurrent && len(rest.tokens) == 0 {
			delete(c.partials, key)
		}
		c.keepPartial(key, rest, step.MaxTokens, limits)
		if isCurrent {
			c.service.counters.Failed.Add(1)
			c.fail(key, now)
		}
		return false
	}
	if c.voided[key] == progress.Attempt {
		return false
	}
	if current == nil {
		c.service.counters.Adopted.Add(1)
		current = &attempt{number: progress.Attempt, engine: engine, oldest: limits.minVersion}
		c.running[key] = current
	}
	if current.number != progress.Attempt || current.engine != engine {
		return false
	}
	if len(rest.spans) > 0 {
		current.oldest = oldestVersion(rest.spans)
	}
	if !limits.acceptsVersion(current.oldest) {
		c.voided[key] = current.number
		delete(c.running, key)
		return false
	}
	current.heard = now
	current.tokens = progress.Tokens
	return true
}
