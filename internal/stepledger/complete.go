package stepledger

import (
	"context"
	"time"

	"github.com/hillfork/hillfork/internal/mutation"
	"github.com/hillfork/hillfork/internal/peer"
	"github.com/hillfork/hillfork/internal/peerapi"
)

// CompleteSample records a whole answer; it is durable when the answer is sent. The first valid answer of a sample wins,
// whichever attempt it is from. Spans that do not name a version for each token are CodeInvalid.
func (s *Service) CompleteSample(ctx context.Context, request *peerapi.CompleteSample) (*peerapi.CompleteSampleResult, error) {
	workload, err := s.workload(request.Workload)
	if err != nil {
		return nil, err
	}
	current, err := s.open(ctx, request.Workload, ShardOf(request.Step))
	if err != nil {
		return nil, err
	}
	key := sampleKey{step: request.Step, index: request.Index}
	spans := recordSpans(request.Spans)
	// A clock ahead of this one must not make an answer look younger than it is.
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
		current.forget(key)
		return &peerapi.CompleteSampleResult{Outcome: peerapi.CompleteUnknownSample}, nil
	}
	if !waiting {
		s.counters.Duplicates.Add(1)
		current.ready.raise() // the answer may be in the log since a call that did not learn of it
		return &peerapi.CompleteSampleResult{Outcome: peerapi.CompleteDuplicate}, nil
	}
	if len(request.Tokens) > maxTokens || !spansCover(spans, len(request.Tokens)) {
		current.requeue(key, request.Attempt)
		return nil, refuse(peer.CodeInvalid, "answer is empty or too long, or its spans do not cover it")
	}
	if !limits.acceptsSpans(spans) || !limits.acceptsAge(completed, time.Now()) {
		s.counters.Stale.Add(1)
		current.requeue(key, request.Attempt)
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
	return current.commit(ctx, key, record, len(request.Tokens))
}

// commit writes a completion and tells what became of it.
func (c *session) commit(ctx context.Context, key sampleKey, record *SampleCompleted, tokens int) (*peerapi.CompleteSampleResult, error) {
	c.service.reach("complete.before_append")
	outcomes, err := c.append(ctx, proposal(KindSampleCompleted, record))
	if err != nil {
		return nil, err
	}
	c.service.reach("complete.after_append")
	switch outcomes[0] {
	case OutcomeRecorded:
		c.service.counters.Completed.Add(1)
		c.finished(key, tokens)
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

// finished drops the volatile state of a completed sample and wakes those who wait for it.
func (c *session) finished(key sampleKey, tokens int) {
	c.mutex.Lock()
	c.drop(key)
	c.history.Add(tokens)
	c.mutex.Unlock()
	c.ready.raise()
	c.lookForUnscored()
}

// lookForUnscored makes the scoring look for answers without a score.
func (c *session) lookForUnscored() {
	select {
	case c.unscored <- struct{}{}:
	default:
	}
}

// recordSpans turns spans of a message into those of a record; neighbours of one version become one.
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

// messageSpans turns spans of a record into those of a message.
func messageSpans(spans []VersionSpan) []peerapi.Span {
	result := make([]peerapi.Span, len(spans))
	for i, span := range spans {
		result[i] = peerapi.Span{From: span.From, To: span.To, Version: span.Version}
	}
	return result
}
