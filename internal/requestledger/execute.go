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

// errUnreadable says that a record that was written cannot be read back.
var errUnreadable = errors.New("the record cannot be read back")

// executeOnce is the drive of an unsafe request.
func (s *Service) executeOnce(request peerapi.Execute) drive {
	patience := patienceOf(&request, time.Now())
	return func(ctx context.Context, run *run) (result, error) {
		owner, err := s.open(ctx, run)
		if err != nil {
			return result{}, err
		}
		how, started, err := s.start(ctx, owner, run)
		if !started || err != nil {
			return how, err
		}
		return s.recordFinish(ctx, owner, run, s.dispatch(ctx, run, request, patience))
	}
}

// start writes a Start unless the log already tells how the ask ended. started says that the Start is valid and that the
// request must now be dispatched.
func (s *Service) start(ctx context.Context, owner shard.Owner, run *run) (how result, started bool, err error) {
	for {
		how, known, err := s.recorded(ctx, owner, run)
		if known || err != nil {
			return how, false, err
		}
		s.failpoint(BeforeStart)
		if s.config.Mutations.Has(mutation.NoStartRecord) {
			return result{}, true, nil
		}
		body := startRecord{run.key.workload, run.key.requestID, run.ask, run.digest, time.Now().UnixMilli()}
		verdict, err := appendRecord(ctx, owner, kindStart, &body)
		if err != nil {
			return result{}, false, s.startFailed(owner, run, err)
		}
		switch verdict {
		case VerdictApplied:
			s.failpoint(AfterStart)
			return result{}, true, nil
		case VerdictFull:
			return result{}, false, full()
		case VerdictUnreadable:
			return result{}, false, &peer.Error{Code: peer.CodeInternal, Message: "the Start could not be read back"}
		}
		// Another record came first; what it says is now in the state.
	}
}

func full() *peer.Error {
	return &peer.Error{
		Code:       peer.CodeOverloaded,
		Message:    "the shard of the request ledger holds as many requests as it may",
		RetryAfter: overloadedRetryAfter,
	}
}

// startFailed turns the error of a Start into an answer. A Start that may be in the log is remembered as never
// dispatched, so that a later ask can be told so.
func (s *Service) startFailed(owner shard.Owner, run *run, err error) error {
	if errors.Is(err, shard.ErrNotOwner) {
		return notOwner()
	}
	s.mu.Lock()
	if len(s.undispatched) >= maxRuns {
		clear(s.undispatched) // those forgotten are answered as unknown
	}
	s.undispatched[startID{run.key, run.ask, owner.Epoch()}] = struct{}{}
	s.mu.Unlock()
	return uncertain("the log could not be asked whether the request was recorded")
}

func notOwner() *peer.Error {
	return &peer.Error{Code: peer.CodeNotOwner, Message: "the shard of the request is owned elsewhere"}
}

// dispatch gives the started request to an engine. Another engine is tried under the same Start only after a refusal that
// proves that no engine was given the request, so at most one engine ever runs it.
func (s *Service) dispatch(ctx context.Context, run *run, request peerapi.Execute, patience patience) result {
	var excluded []string
	last := answer.Ending{Kind: answer.EndNotRun, Reason: "the deadline passed before an engine was asked"}
	for attempt := uint32(1); attempt <= maxDispatches && ctx.Err() == nil; attempt++ {
		request.RequestID = dispatchID(run)
		request.Attempt = attempt
		request.TimeoutMillis = remainingMillis(ctx)
		request.QueueMillis = patience.queueMillis()
		engine, ending, how := s.attempt(ctx, request, excluded)
		if ending.Kind == answer.EndBroken && s.config.Mutations.Has(mutation.NotRunWithoutProof) {
			return result{outcome: peerapi.OutcomeNotRun, reason: ending.Reason}
		}
		retry := ending.Kind == answer.EndBroken && s.config.Mutations.Has(mutation.RetryUnsafe)
		if ending.Kind != answer.EndNotRun && !retry {
			return how
		}
		last = ending
		s.failpoint(AfterNotRun)
		if engine == "" || !patience.allowsRetry() {
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

// dispatchID names a run to the engine; it differs between the asks of one key and between the keys of workloads.
func dispatchID(run *run) string {
	return fmt.Sprintf("unsafe/%s/%s/%016x", run.key.workload, run.key.requestID, run.ask)
}

// patience is until when the caller of a request waits for its answer; zero when that is unbounded.
type patience struct{ until time.Time }

func patienceOf(request *peerapi.Execute, now time.Time) patience {
	if request.TimeoutMillis <= 0 {
		return patience{}
	}
	return patience{now.Add(time.Duration(request.TimeoutMillis) * time.Millisecond)}
}

// queueMillis is how long an engine may let the request wait before it runs: the caller must still hear that it did not.
func (p patience) queueMillis() int64 {
	if p.until.IsZero() {
		return 0
	}
	return max(1, answer.InnerTimeout(time.Until(p.until)).Milliseconds())
}

func (p patience) allowsRetry() bool {
	return p.until.IsZero() || answer.AllowsRetry(time.Until(p.until))
}

// remainingMillis is the timeout that an engine's owner is told; 0 is none.
func remainingMillis(ctx context.Context) int64 {
	deadline, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	return max(1, answer.InnerTimeout(time.Until(deadline)).Milliseconds())
}

// attempt dispatches once and gathers the answer.
func (s *Service) attempt(
	ctx context.Context, request peerapi.Execute, excluded []string,
) (engine string, ending answer.Ending, how result) {
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

// recordFinish writes the end of a run. It is answered only once it is durable.
func (s *Service) recordFinish(ctx context.Context, owner shard.Owner, run *run, how result) (result, error) {
	s.failpoint(BeforeFinish)
	settle, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout)
	defer cancel()
	stop := context.AfterFunc(s.lifetime, cancel)
	defer stop()
	body := finishRecord{
		Workload:         run.key.workload,
		RequestID:        run.key.requestID,
		Ask:              run.ask,
		Outcome:          how.outcome,
		Reason:           how.reason,
		RetryAfterMillis: how.retryAfterMillis,
		Tokens:           how.tokens,
		Spans:            how.spans,
		AtUnixMillis:     time.Now().UnixMilli(),
	}
	err := appendUntilKnown(settle, owner, kindFinish, &body)
	if errors.Is(err, shard.ErrNotOwner) {
		return s.handIn(settle, owner.Epoch(), run, how), nil
	}
	if err != nil {
		return result{}, uncertain("the end of the request could not be recorded")
	}
	s.failpoint(AfterFinish)
	return how, nil
}

// appendUntilKnown repeats a Finish until it is known to be folded. A repeat changes nothing, for only the first Finish of
// a Start is valid and only this run writes it.
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
		return 0, uncertain("the shard holds another kind of state")
	}
	return verdict, nil
}
