package stepledger

import (
	"context"
	"time"

	"github.com/hillfork/hillfork/internal/mutation"
	"github.com/hillfork/hillfork/internal/peer"
	"github.com/hillfork/hillfork/internal/peerapi"
)

// CompleteSample records a complete answer, which is durable when the call returns. The first valid answer to a sample is
// recorded, whichever attempt it is from. Spans that do not cover every token are refused with CodeInvalid.
func (s *Service) CompleteSample(ctx context.Context, request *peerapi.CompleteSample) (*peerapi.CompleteSampleResult, error) {
	workload, err := s.workload(request.Workload)
	if err != nil {
		return nil, err
	}
	current, err := s.openSession(ctx, request.Workload, ShardOf(request.Step))
	if err != nil {
		return nil, err
	}
	key := sampleKey{step: request.Step, index: request.Index}
	spans := recordSpans(request.Spans)
	// The time is capped so that an engine whose clock is ahead does not extend the max age of its answers.
	completed := min(request.CompletedUnixMillis, time.Now().UnixMilli())
	found, waiting, maxTokens := false, false, 0
	var limits bounds
	current.view(func(state *State) {
		limits = boundsOf(workload, state.Latest())
		if s.config.Mutations.Has(mutation.NoStalenessAtCommit) {
			limits = unbounded
		}
		step, sample := state.sample(key.step, key.index)
		if sample == nil {
			return
		}
		found = true
		waiting = step.waiting(key.index)
		maxTokens = step.MaxTokens
	})
	if !found {
		current.forgetSample(key)
		return &peerapi.CompleteSampleResult{Outcome: peerapi.CompleteUnknownSample}, nil
	}
	if !waiting {
		s.counters.Duplicates.Add(1)
		current.ready.notify() // an earlier call may have written the answer and failed before it could notify waiters
		return &peerapi.CompleteSampleResult{Outcome: peerapi.CompleteDuplicate}, nil
	}
	if len(request.Tokens) > maxTokens || !spansCover(spans, len(request.Tokens)) {
		current.requeueSample(key, request.Attempt)
		return nil, refuse(peer.CodeInvalid, "answer is empty or too long, or its spans do not cover it")
	}
	if !limits.acceptsSpans(spans) || !limits.acceptsAge(completed, time.Now()) {
		s.counters.Stale.Add(1)
		current.requeueSample(key, request.Attempt)
		return &peerapi.CompleteSampleResult{Outcome: peerapi.CompleteStale}, nil
	}
	record := &SampleCompleted{
		Step:                request.Step,
		Index:               request.Index,
		Attempt:             request.Attempt,
		Engine:              request.Engine,
		EngineIncarnation:   request.EngineIncarnation,
		Payload:             packTokens(request.Tokens),
		Spans:               spans,
		CompletedUnixMillis: completed,
	}
	return current.commitCompletion(ctx, key, record, len(request.Tokens))
}

// commitCompletion writes a completion record and returns its outcome.
func (c *session) commitCompletion(ctx context.Context, key sampleKey, record *SampleCompleted, tokens int) (*peerapi.CompleteSampleResult, error) {
	c.service.runFailpoint("complete.before_append")
	outcomes, err := c.append(ctx, proposal(KindSampleCompleted, record))
	if err != nil {
		return nil, err
	}
	c.service.runFailpoint("complete.after_append")
	switch outcomes[0] {
	case OutcomeRecorded:
		c.service.counters.Completed.Add(1)
		c.sampleCompleted(key, tokens)
		return &peerapi.CompleteSampleResult{Outcome: peerapi.CompleteRecorded}, nil
	case OutcomeDuplicate:
		c.service.counters.Duplicates.Add(1)
		return &peerapi.CompleteSampleResult{Outcome: peerapi.CompleteDuplicate}, nil
	case OutcomeUnknown:
		return &peerapi.CompleteSampleResult{Outcome: peerapi.CompleteUnknownSample}, nil
	default:
		return nil, refuse(peer.CodeInternal, "completion record was not accepted")
	}
}

// sampleCompleted removes the volatile state of a completed sample and notifies waiting fetches and the scoring.
func (c *session) sampleCompleted(key sampleKey, tokens int) {
	c.mutex.Lock()
	c.dropAttempts(key)
	c.history.Add(tokens)
	c.mutex.Unlock()
	c.ready.notify()
	c.wakeScoring()
}

// wakeScoring makes the scoring check for answers without a reward. It never blocks.
func (c *session) wakeScoring() {
	select {
	case c.scoreWakeup <- struct{}{}:
	default:
	}
}

// recordSpans converts spans of a message to those of a record and merges adjacent spans of the same version.
func recordSpans(spans []peerapi.Span) []VersionSpan {
	var result []VersionSpan
	for _, span := range spans {
		last := len(result) - 1
		if last >= 0 && result[last].To == span.From && result[last].Version == span.Version && span.To > span.From {
			result[last].To = span.To
			continue
		}
		result = append(result, VersionSpan{From: span.From, To: span.To, Version: span.Version})
	}
	return result
}

// messageSpans converts spans of a record to those of a message.
func messageSpans(spans []VersionSpan) []peerapi.Span {
	result := make([]peerapi.Span, len(spans))
	for i, span := range spans {
		result[i] = peerapi.Span{From: span.From, To: span.To, Version: span.Version}
	}
	return result
}
