package stepledger

import (
	"context"
	"time"

	"github.com/hillfork/hillfork/internal/bundle"
	"github.com/hillfork/hillfork/internal/peerapi"
)

// ReportWork renews the attempts that an engine runs and ends those that failed. The response lists the attempts to cancel:
// those whose sample is complete or gone, that another attempt has replaced, or whose oldest tokens are over the staleness
// bound. An attempt that a previous owner assigned is adopted.
func (s *Service) ReportWork(ctx context.Context, request *peerapi.ReportWork) (*peerapi.ReportWorkResult, error) {
	workload, err := s.workload(request.Workload)
	if err != nil {
		return nil, err
	}
	current, err := s.openSession(ctx, request.Workload, request.Shard)
	if err != nil {
		return nil, err
	}
	return current.report(request, workload, time.Now()), nil
}

// report applies the reports of an engine to the volatile state.
func (c *session) report(request *peerapi.ReportWork, workload *bundle.Workload, now time.Time) *peerapi.ReportWorkResult {
	result := &peerapi.ReportWorkResult{}
	ended := false
	c.mutex.Lock()
	c.view(func(state *State) {
		result.Latest = state.Latest()
		limits := boundsOf(workload, state.Latest())
		for _, progress := range request.Attempts {
			keep := c.renewAttempt(state, request.Engine, progress, limits, now)
			if keep {
				continue
			}
			ended = true
			if !progress.Failed {
				c.service.counters.Cancelled.Add(1)
				ref := peerapi.AttemptRef{Step: progress.Step, Index: progress.Index, Attempt: progress.Attempt}
				result.Cancel = append(result.Cancel, ref)
			}
		}
	})
	c.mutex.Unlock()
	if ended {
		c.work.notify()
	}
	return result
}

// renewAttempt applies one report and reports whether the attempt continues. A failed attempt returns at least the tokens
// from which it resumed. If it returns none, it could not resume from them, and the next attempt starts without a partial
// answer. The caller holds the mutex and the view.
func (c *session) renewAttempt(state *State, engine string, progress peerapi.Progress, limits bounds, now time.Time) bool {
	key := sampleKey{step: progress.Step, index: progress.Index}
	step, sample := state.sample(key.step, key.index)
	if sample == nil || !step.waiting(key.index) {
		return false
	}
	answer := partial{tokens: progress.Partial, spans: recordSpans(progress.Spans)}
	current := c.running[key]
	if progress.Failed {
		isCurrent := current != nil && current.number == progress.Attempt
		if isCurrent && len(answer.tokens) == 0 {
			delete(c.partials, key)
		}
		c.keepPartial(key, answer, step.MaxTokens, limits)
		if isCurrent {
			c.service.counters.Failed.Add(1)
			c.failAttempt(key, now)
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
	if len(answer.spans) > 0 {
		current.oldest = oldestVersion(answer.spans)
	}
	if !limits.acceptsVersion(current.oldest) {
		c.voided[key] = current.number
		delete(c.running, key)
		return false
	}
	current.reportedAt = now
	current.tokens = progress.Tokens
	return true
}
