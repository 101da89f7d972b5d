package forward

import (
	"context"
	"errors"
	"strconv"
	"time"

	"github.com/hillfork/hillfork/internal/engineapi"
	"github.com/hillfork/hillfork/internal/fleet"
	"github.com/hillfork/hillfork/internal/inbound"
	"github.com/hillfork/hillfork/internal/policy"
	"github.com/hillfork/hillfork/internal/quarantine"
)

// attempt is the result of sending a request to one engine.
type attempt struct {
	engine fleet.Engine
	reply  *engineapi.Reply
	body   []byte
	err    error
	// sentAt is when the attempt started, elapsed is how long it lasted.
	sentAt  time.Time
	elapsed time.Duration
	// standing is the request's standing at the quarantine after the attempt.
	standing quarantine.Standing
}

// exchange is a request in progress. Only the goroutine of run accesses its fields; attempts deliver their results on the channel.
type exchange struct {
	forwarder *Forwarder
	request   Request
	started   time.Time
	results   chan attempt
	// tried holds the engines to skip: those of all attempts since awaitSlot last cleared the list.
	tried      []string
	running    int
	sent       int
	rejections int
	failures   int
	// standing is the strictest standing of the request so far: whether engines have crashed under it.
	standing quarantine.Standing
	// mayHaveRun is set once an attempt has ended that is not proven not to have run.
	mayHaveRun  bool
	lastFailure *attempt
	// firstSentAt is the send time of the first attempt that is not proven not to have run; firstRunAt is the earliest send time of the
	// attempts that were answered.
	firstSentAt time.Time
	firstRunAt  time.Time
	// offered holds the engine of every attempt; cause is why the last attempt to end failed.
	offered []string
	cause   string
	// refusal is why no engine will run the request soon.
	refusal refusal
}

// run starts attempts and handles their results until the request has an outcome.
func (e *exchange) run(ctx context.Context) Answer {
	for {
		if e.running == 0 {
			if !e.mayStart() {
				return e.settle()
			}
			if !e.start(ctx) && (e.unservable() || !e.awaitSlot(ctx)) {
				return e.settle()
			}
			continue
		}
		hedge := time.NewTimer(e.hedgeDelay())
		select {
		case result := <-e.results:
			e.running--
			if answer, done := e.handleResult(result); done {
				hedge.Stop()
				return answer
			}
		case <-hedge.C:
			if e.forwarder.hedges.spend() {
				e.start(ctx)
			}
		case <-ctx.Done():
			hedge.Stop()
			return e.timeout()
		}
		hedge.Stop()
	}
}

// mayStart reports whether the request may be sent to another engine.
func (e *exchange) mayStart() bool {
	if e.rejections >= maxRejections || e.sent >= e.request.MaxAttempts || e.standing == quarantine.Withheld {
		return false
	}
	return !e.mayHaveRun || e.request.MayRepeat
}

// want returns the requirements of the request, without the engines that were tried.
func (e *exchange) want() fleet.Want {
	return fleet.Want{
		Pool: e.request.Pool, Regions: e.request.Regions, Zone: e.forwarder.config.Zone, NoTrial: !e.request.MayRepeat,
	}
}

// unservable reports whether the request has not run and no engine will run it soon.
func (e *exchange) unservable() bool {
	if e.mayHaveRun {
		return false
	}
	var found bool
	e.refusal, found = e.forwarder.unservable(e.want())
	return found
}

// start sends the request to the best engine that was not tried. It returns false if there is none.
func (e *exchange) start(ctx context.Context) bool {
	want := e.want()
	want.Exclude = e.tried
	engine, ok := e.forwarder.config.Directory.Acquire(want)
	if !ok {
		return false
	}
	e.tried = append(e.tried, engine.ID)
	e.offered = append(e.offered, engine.ID)
	e.running++
	e.sent++
	if e.firstSentAt.IsZero() {
		e.firstSentAt = time.Now()
	}
	call := e.request.Call
	call.Remaining = time.Until(e.request.Deadline)
	go func() {
		defer e.forwarder.config.Directory.Release(engine.ID)
		e.results <- e.forwarder.send(ctx, engine, call, e.request.CrashClass)
	}()
	return true
}

// awaitSlot waits for a free slot after all available engines were tried. It returns false once MaxSlotWait has passed or ctx has ended.
func (e *exchange) awaitSlot(ctx context.Context) bool {
	if time.Since(e.started) >= e.request.MaxSlotWait || ctx.Err() != nil {
		return false
	}
	// Every available engine was tried, so each may be tried again.
	e.tried = nil
	timer := time.NewTimer(slotPollInterval)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-e.forwarder.config.Directory.Changed():
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}

// hedgeDelay returns how long to wait for the running attempt before a hedged attempt at another engine. Where hedging is not
// allowed, the delay ends after the deadline.
func (e *exchange) hedgeDelay() time.Duration {
	if !e.request.MayRepeat || !e.mayStart() || e.running > 1 || e.standing != quarantine.Clear {
		return time.Until(e.request.Deadline) + time.Second
	}
	latency := e.forwarder.config.Directory.SmoothedLatency(e.request.Pool)
	return max(time.Duration(hedgeTargetShare*float64(e.request.Aim)), hedgeLatencyFactor*latency)
}

// handleResult records the result of an attempt. It returns the answer and true if the result is a success.
func (e *exchange) handleResult(result attempt) (Answer, bool) {
	directory := e.forwarder.config.Directory
	e.cause = result.cause()
	e.standing = max(e.standing, result.standing)
	switch {
	case errors.Is(result.err, engineapi.ErrLeaving):
		e.recordRejection()
	case errors.Is(result.err, engineapi.ErrNotSent):
		directory.Failed(result.engine.ID, result.failure(), e.cause)
		e.recordRejection()
	case errors.Is(result.err, inbound.ErrNoMemory):
		// The engine is not to blame.
		e.mayHaveRun = true
	case result.err != nil:
		directory.Failed(result.engine.ID, policy.FailureInWork, e.cause)
		e.mayHaveRun = true
	case result.reply.NotRun:
		directory.Rejected(result.engine.ID)
		e.recordRejection()
	case result.reply.Stamp == "" && result.reply.Succeeded():
		// A success without the engine's signature counts as a failure.
		directory.Failed(result.engine.ID, policy.FailureInWork, e.cause)
		e.mayHaveRun = true
	case result.reply.Failed():
		e.failures++
		e.mayHaveRun = true
		e.lastFailure = &result
		e.recordRun(result.sentAt)
		e.reportAnswered(&result)
	default:
		e.recordRun(result.sentAt)
		directory.Answered(result.engine.ID, result.sentAt)
		directory.Succeeded(result.engine.ID, result.elapsed)
		e.reportAnswered(&result)
		return e.answered(&result), true
	}
	return Answer{}, false
}

// reportAnswered reports to the quarantine that an engine survived the request, if the engine's signature proves it.
func (e *exchange) reportAnswered(result *attempt) {
	if result.reply.Stamp != "" {
		e.forwarder.config.Quarantine.ReportAnswered(e.request.Call)
	}
}

// withheld returns the answer to a request that is withheld from engines.
func withheld(call engineapi.Call, wait time.Duration) Answer {
	return Answer{Outcome: Withheld, RetryAfter: wait, Cause: causeWithheld, Content: quarantine.ContentOf(call).String()}
}

// cause returns why the attempt failed, empty if it did not.
func (a *attempt) cause() string {
	switch {
	case a.err != nil:
		return a.err.Error()
	case a.reply.NotRun:
		return "turned away with " + strconv.Itoa(a.reply.Status)
	case a.reply.Stamp == "":
		return "no signature"
	case a.reply.Failed():
		return "answered " + strconv.Itoa(a.reply.Status)
	default:
		return ""
	}
}

// failure classifies an attempt that was not sent: FailureInWork if its context ended before it had a connection, FailureToConnect
// if no connection was made.
func (a *attempt) failure() policy.Failure {
	if errors.Is(a.err, context.Canceled) || errors.Is(a.err, context.DeadlineExceeded) {
		return policy.FailureInWork
	}
	return policy.FailureToConnect
}

// recordRejection uncounts an attempt that has not run.
func (e *exchange) recordRejection() {
	e.sent--
	e.rejections++
	if e.running == 0 && !e.mayHaveRun {
		e.firstSentAt = time.Time{}
	}
}

// recordRun records that an engine has run and answered the attempt sent at sentAt.
func (e *exchange) recordRun(sentAt time.Time) {
	if e.firstRunAt.IsZero() || sentAt.Before(e.firstRunAt) {
		e.firstRunAt = sentAt
	}
}

// startedAt returns when the request started to run as far as is known, zero if it did not.
func (e *exchange) startedAt() time.Time {
	switch {
	case !e.firstRunAt.IsZero():
		return e.firstRunAt
	case e.mayHaveRun || e.running > 0:
		return e.firstSentAt
	default:
		return time.Time{}
	}
}

func (e *exchange) answered(result *attempt) Answer {
	return Answer{
		Outcome: Answered, Reply: result.reply, Body: result.body, Attempts: e.sent, Failures: e.failures,
		EngineID: result.engine.ID, Tried: e.offered, Cause: e.cause, StartedAt: e.startedAt(),
	}
}

// settle returns the answer to a request for which no further attempt is made.
func (e *exchange) settle() Answer {
	if e.lastFailure != nil {
		return e.answered(e.lastFailure)
	}
	answer := Answer{
		Outcome: Lost, Attempts: e.sent, Failures: e.failures, Tried: e.offered, Cause: e.cause, StartedAt: e.startedAt(),
	}
	if len(e.offered) == 0 && answer.Cause == "" {
		answer.Cause = causeNoEngine
	}
	if !e.mayHaveRun {
		return e.refusal.complete(answer)
	}
	return answer
}

// timeout returns the answer to a request whose context has ended. Attempts still running count as possibly run.
func (e *exchange) timeout() Answer {
	answer := Answer{
		Outcome: TimedOut, Attempts: e.sent, Failures: e.failures, Tried: e.offered, Cause: e.cause, StartedAt: e.startedAt(),
	}
	if e.running > 0 {
		answer.Cause = causeSilent
	}
	if e.running == 0 && !e.mayHaveRun {
		return e.refusal.complete(answer)
	}
	return answer
}
