package requestledger

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/hillfork/hillfork/internal/answer"
	"github.com/hillfork/hillfork/internal/mutation"
	"github.com/hillfork/hillfork/internal/peer"
	"github.com/hillfork/hillfork/internal/peerapi"
	"github.com/hillfork/hillfork/internal/shard"
)

// errUnreadable is returned for a record that was appended but cannot be decoded when it is folded.
var errUnreadable = errors.New("the record cannot be read back")

// executeOnce returns the function that executes an unsafe request.
func (s *Service) executeOnce(request peerapi.Execute) runFunc {
	deadline := callerDeadlineOf(&request, time.Now())
	return func(ctx context.Context, run *run) (result, error) {
		owner, err := s.open(ctx, run)
		if err != nil {
			return result{}, err
		}
		final, started, err := s.start(ctx, owner, run)
		if !started || err != nil {
			return final, err
		}
		return s.recordFinish(ctx, owner, run, s.dispatch(ctx, run, request, deadline))
	}
}

// start appends a Start record unless the log already holds the result of the ask. started reports that the Start is
// valid and that the request must now be dispatched.
func (s *Service) start(ctx context.Context, owner shard.Owner, run *run) (final result, started bool, err error) {
	for {
		final, known, err := s.recordedResult(ctx, owner, run)
		if known || err != nil {
			return final, false, err
		}
		s.failpoint(BeforeStart)
		if s.config.Mutations.Has(mutation.NoStartRecord) {
			return result{}, true, nil
		}
		body := startRecord{run.key.workload, run.key.requestID, run.ask, run.digest, time.Now().UnixMilli()}
		verdict, err := appendRecord(ctx, owner, kindStart, &body)
		if err != nil {
			return result{}, false, s.startError(owner, run, err)
		}
		switch verdict {
		case VerdictApplied:
			s.failpoint(AfterStart)
			return result{}, true, nil
		case VerdictFull:
			return result{}, false, shardFullError()
		case VerdictUnreadable:
			return result{}, false, &peer.Error{Code: peer.CodeInternal, Message: "the Start could not be read back"}
		}
		// Another record was folded first; the next lookup sees its effect.
	}
}

func shardFullError() *peer.Error {
	return &peer.Error{
		Code:       peer.CodeOverloaded,
		Message:    "the shard of the request ledger holds as many requests as it may",
		RetryAfter: overloadedRetryAfter,
	}
}

// startError converts the error of appending a Start into the error for the caller. A Start whose append is uncertain
// is remembered as never dispatched, so that a later ask can be answered as not run.
func (s *Service) startError(owner shard.Owner, run *run, err error) error {
	if errors.Is(err, shard.ErrNotOwner) {
		return notOwnerError()
	}
	s.mu.Lock()
	if len(s.undispatched) >= maxRuns {
		clear(s.undispatched) // entries dropped here are answered as unknown
	}
	s.undispatched[startID{run.key, run.ask, owner.Epoch()}] = struct{}{}
	s.mu.Unlock()
	return uncertainError("the log could not be asked whether the request was recorded")
}

func notOwnerError() *peer.Error {
	return &peer.Error{Code: peer.CodeNotOwner, Message: "the shard of the request is owned elsewhere"}
}

// dispatch sends a started request to an engine. It tries another engine under the same Start only after a rejection
// that proves that no engine received the request, so at most one engine ever runs it.
func (s *Service) dispatch(ctx context.Context, run *run, request peerapi.Execute, deadline callerDeadline) result {
	var excluded []string
	last := answer.Ending{Kind: answer.EndNotRun, Reason: "the deadline passed before an engine was asked"}
	for attempt := uint32(1); attempt <= maxDispatches && ctx.Err() == nil; attempt++ {
		request.RequestID = dispatchID(run)
		request.Attempt = attempt
		request.TimeoutMillis = remainingMillis(ctx)
		request.QueueMillis = deadline.queueMillis()
		engine, ending, final := s.attempt(ctx, request, excluded)
		if ending.Kind == answer.EndBroken && s.config.Mutations.Has(mutation.NotRunWithoutProof) {
			return result{outcome: peerapi.OutcomeNotRun, reason: ending.Reason}
		}
		retry := ending.Kind == answer.EndBroken && s.config.Mutations.Has(mutation.RetryUnsafe)
		if ending.Kind != answer.EndNotRun && !retry {
			return final
		}
		last = ending
		s.failpoint(AfterNotRun)
		if engine == "" || !deadline.allowsRetry() {
			break
		}
		excluded = append(excluded, engine)
	}
	return result{
		outcome:          peerapi.OutcomeNotRun,
		reason:           last.Reason,
		retryAfterMillis: last.RetryAfter.Milliseconds(),
	}
}

// dispatchID returns the request id that is sent to the engine. It differs between the asks of one key and between the
// keys of different workloads.
func dispatchID(run *run) string {
	return fmt.Sprintf("unsafe/%s/%s/%016x", run.key.workload, run.key.requestID, run.ask)
}

// callerDeadline is the time until which the caller waits for its answer; zero means without limit.
type callerDeadline struct{ until time.Time }

func callerDeadlineOf(request *peerapi.Execute, now time.Time) callerDeadline {
	if request.TimeoutMillis <= 0 {
		return callerDeadline{}
	}
	return callerDeadline{now.Add(time.Duration(request.TimeoutMillis) * time.Millisecond)}
}

// queueMillis returns how long, in milliseconds, an engine may queue the request before running it. It is shorter than
// the caller's remaining time, so that the caller still receives the answer that the request did not run.
func (d callerDeadline) queueMillis() int64 {
	if d.until.IsZero() {
		return 0
	}
	return max(1, answer.InnerTimeout(time.Until(d.until)).Milliseconds())
}

func (d callerDeadline) allowsRetry() bool {
	return d.until.IsZero() || answer.AllowsRetry(time.Until(d.until))
}

// remainingMillis returns the timeout that is sent to an engine's owner, in milliseconds; 0 means none.
func remainingMillis(ctx context.Context) int64 {
	deadline, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	return max(1, answer.InnerTimeout(time.Until(deadline)).Milliseconds())
}

// attempt dispatches the request once and collects the answer.
func (s *Service) attempt(
	ctx context.Context, request peerapi.Execute, excluded []string,
) (engine string, ending answer.Ending, final result) {
	engine, stream, err := s.config.Dispatcher.Dispatch(ctx, request, excluded)
	if err != nil {
		ending = answer.FromError(err)
		return engine, ending, resultOf(ending, result{})
	}
	defer func() { _ = stream.Close() }()
	s.failpoint(AfterDispatch)
	var gathered result
	assembler := answer.NewAssembler(request.RequestID, request.Attempt, 0)
	ending, _ = answer.Follow(stream, assembler, func(float64) {}, func(event peerapi.ExecuteEvent) error {
		gathered.add(event)
		return nil
	})
	if dropped := assembler.Drops().Total(); dropped > 0 {
		s.logger.Warn("dropped events of an engine", "request", request.RequestID, "events", dropped)
	}
	return engine, ending, resultOf(ending, gathered)
}

// recordFinish appends the Finish record of a run. The result is returned to the caller only after the record is
// durable.
func (s *Service) recordFinish(ctx context.Context, owner shard.Owner, run *run, final result) (result, error) {
	s.failpoint(BeforeFinish)
	settle, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout)
	defer cancel()
	stop := context.AfterFunc(s.lifetime, cancel)
	defer stop()
	body := finishRecord{
		Workload:         run.key.workload,
		RequestID:        run.key.requestID,
		Ask:              run.ask,
		Outcome:          final.outcome,
		Reason:           final.reason,
		RetryAfterMillis: final.retryAfterMillis,
		Tokens:           final.tokens,
		Spans:            final.spans,
		AtUnixMillis:     time.Now().UnixMilli(),
	}
	err := appendUntilKnown(settle, owner, kindFinish, &body)
	if errors.Is(err, shard.ErrNotOwner) {
		return s.forwardResult(settle, owner.Epoch(), run, final), nil
	}
	if err != nil {
		return result{}, uncertainError("the end of the request could not be recorded")
	}
	s.failpoint(AfterFinish)
	return final, nil
}

// appendUntilKnown retries appending a Finish until it is known to be folded. A repeated Finish has no effect, because
// only the first Finish of a Start is valid and only this run writes it.
func appendUntilKnown(ctx context.Context, owner shard.Owner, kind uint8, body peer.Message) error {
	appendOnce := func() (Verdict, error) {
		verdict, err := appendRecord(ctx, owner, kind, body)
		if errors.Is(err, shard.ErrNotOwner) {
			return verdict, backoff.Permanent(err)
		}
		if err == nil && verdict == VerdictUnreadable {
			return verdict, backoff.Permanent(errUnreadable)
		}
		return verdict, err
	}
	_, err := backoff.Retry(ctx, appendOnce, backoff.WithBackOff(backoff.NewConstantBackOff(recordRetryDelay)))
	return err
}

func appendRecord(ctx context.Context, owner shard.Owner, kind uint8, body peer.Message) (Verdict, error) {
	encoded, err := body.MarshalMsg(nil)
	if err != nil {
		return 0, err
	}
	outcomes, err := owner.Append(ctx, shard.Proposal{Kind: kind, Body: encoded})
	if err != nil {
		return 0, err
	}
	verdict, ok := outcomes[0].(Verdict)
	if !ok {
		return 0, uncertainError("the shard holds another kind of state")
	}
	return verdict, nil
}
