package forward

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/hillfork/hillfork/internal/engineapi"
	"github.com/hillfork/hillfork/internal/fleet"
	"github.com/hillfork/hillfork/internal/policy"
	"github.com/hillfork/hillfork/internal/quarantine"
)

// attempt is what became of one send.
type attempt struct {
	engine fleet.Engine
	reply  *engineapi.Reply
	body   []byte
	err    error
	// sentAt is when the attempt began, took how long it lasted.
	sentAt time.Time
	took   time.Duration
	// standing is how the request stands after it.
	standing quarantine.Standing
}

// exchange is one request under way. Only the goroutine of conduct touches its fields; results come by the channel.
type exchange struct {
	forwarder *Forwarder
	request   Request
	started   time.Time
	results   chan attempt
	// tried holds the engines that the request was sent to or that turned it away.
	tried    []string
	running  int
	sent     int
	refusals int
	failures int
	// standing says whether engines have ended under the request.
	standing quarantine.Standing
	// mayHaveRun says that some attempt is not proven not to have run.
	mayHaveRun  bool
	lastFailure *attempt
	// firstSent is when the first attempt was sent that is not proven not to have run; ranAt when the first one was that was answered.
	firstSent time.Time
	ranAt     time.Time
	// offered holds every engine that the request was offered to; cause is what the last one failed of.
	offered []string
	cause   string
}

// conduct starts attempts and takes their results until the request is settled.
func (e *exchange) conduct(ctx context.Context) Answer {
	for {
		if e.running == 0 {
			if !e.mayStart() {
				return e.settle()
			}
			if !e.start(ctx) && !e.awaitRoom(ctx) {
				return e.settle()
			}
			continue
		}
		hedge := time.NewTimer(e.hedgeDelay())
		select {
		case result := <-e.results:
			e.running--
			if answer, done := e.take(result); done {
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

// mayStart tells whether the request may be sent to another engine.
func (e *exchange) mayStart() bool {
	if e.refusals >= refusalsMost || e.sent >= e.request.MaxAttempts || e.standing == quarantine.Withheld {
		return false
	}
	return !e.mayHaveRun || e.request.MayRepeat
}

// start sends the request to the best engine that was not tried; it returns false if there is none.
func (e *exchange) start(ctx context.Context) bool {
	engine, ok := e.forwarder.config.Directory.Acquire(fleet.Want{
		Pool: e.request.Pool, Regions: e.request.Regions, Exclude: e.tried, Zone: e.forwarder.config.Zone,
		NoTrial: !e.request.MayRepeat,
	})
	if !ok {
		return false
	}
	e.tried = append(e.tried, engine.ID)
	e.offered = append(e.offered, engine.ID)
	e.running++
	e.sent++
	if e.firstSent.IsZero() {
		e.firstSent = time.Now()
	}
	call := e.request.Call
	call.Remaining = time.Until(e.request.Deadline)
	go func() {
		defer e.forwarder.config.Directory.Release(engine.ID)
		e.results <- e.forwarder.send(ctx, engine, call, e.request.strikes())
	}()
	return true
}

// awaitRoom waits for engines after all that exist were tried. It returns false once patience is over.
func (e *exchange) awaitRoom(ctx context.Context) bool {
	if time.Since(e.started) >= e.request.Patience || ctx.Err() != nil {
		return false
	}
	// Every engine was tried; from here on each may be tried again.
	e.tried = nil
	timer := time.NewTimer(roomPoll)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-e.forwarder.config.Directory.Changed():
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}

// hedgeDelay is how long to wait for the running attempts before another engine is tried as well.
func (e *exchange) hedgeDelay() time.Duration {
	if !e.request.MayRepeat || !e.mayStart() || e.running > 1 || e.standing != quarantine.Clear {
		return time.Until(e.request.Deadline) + time.Second
	}
	usual := e.forwarder.config.Directory.SmoothedLatency(e.request.Pool)
	return max(time.Duration(hedgeShare*float64(e.request.Aim)), hedgeLatencies*usual)
}

// take judges the result of an attempt.
func (e *exchange) take(result attempt) (Answer, bool) {
	directory := e.forwarder.config.Directory
	e.cause = result.cause()
	e.standing = max(e.standing, result.standing)
	switch {
	case errors.Is(result.err, engineapi.ErrNotSent):
		directory.Failed(result.engine.ID, result.failure(), e.cause)
		e.turnedAway()
	case result.err != nil:
		directory.Failed(result.engine.ID, policy.FailureInWork, e.cause)
		e.mayHaveRun = true
	case result.reply.NotRun:
		directory.Rejected(result.engine.ID)
		e.turnedAway()
	case result.reply.Stamp == "" && result.reply.Status < http.StatusMultipleChoices:
		// A success without the engine's signature is none.
		directory.Failed(result.engine.ID, policy.FailureInWork, e.cause)
		e.mayHaveRun = true
	case result.reply.Status >= http.StatusInternalServerError:
		e.failures++
		e.mayHaveRun = true
		e.lastFailure = &result
		e.ran(result.sentAt)
		e.cleared(&result)
	default:
		e.ran(result.sentAt)
		directory.Answered(result.engine.ID, result.sentAt)
		directory.Succeeded(result.engine.ID, result.took)
		e.cleared(&result)
		return e.answered(&result), true
	}
	return Answer{}, false
}

// cleared takes that an engine outlived the request, if its signature says so.
func (e *exchange) cleared(result *attempt) {
	if result.reply.Stamp != "" {
		e.forwarder.config.Quarantine.ReportAnswered(e.request.Call)
	}
}

// withheld is the answer to a request that is sent to no engine.
func withheld(call engineapi.Call, wait time.Duration) Answer {
	return Answer{Outcome: Withheld, RetryAfter: wait, Cause: causeWithheld, Content: quarantine.ContentOf(call).String()}
}

// cause says what the attempt failed of, empty if it did not.
func (a *attempt) cause() string {
	switch {
	case a.err != nil:
		return a.err.Error()
	case a.reply.NotRun:
		return "turned away with " + strconv.Itoa(a.reply.Status)
	case a.reply.Stamp == "":
		return "no signature"
	case a.reply.Status >= http.StatusInternalServerError:
		return "answered " + strconv.Itoa(a.reply.Status)
	default:
		return ""
	}
}

// failure returns the kind of failure of an attempt that was not sent: the time was over before there was a connection, or none was made.
func (a *attempt) failure() policy.Failure {
	if errors.Is(a.err, context.Canceled) || errors.Is(a.err, context.DeadlineExceeded) {
		return policy.FailureInWork
	}
	return policy.FailureToConnect
}

// turnedAway takes back an attempt that has not run.
func (e *exchange) turnedAway() {
	e.sent--
	e.refusals++
	if e.running == 0 && !e.mayHaveRun {
		e.firstSent = time.Time{}
	}
}

// ran takes that an engine has answered an attempt that it ran.
func (e *exchange) ran(sentAt time.Time) {
	if e.ranAt.IsZero() || sentAt.Before(e.ranAt) {
		e.ranAt = sentAt
	}
}

// beganAt is when the request began to run, as far as that can be told, zero if it did not.
func (e *exchange) beganAt() time.Time {
	switch {
	case !e.ranAt.IsZero():
		return e.ranAt
	case e.mayHaveRun || e.running > 0:
		return e.firstSent
	default:
		return time.Time{}
	}
}

func (e *exchange) answered(result *attempt) Answer {
	return Answer{
		Outcome: Answered, Reply: result.reply, Body: result.body, Attempts: e.sent, Failures: e.failures,
		EngineID: result.engine.ID, Tried: e.offered, Cause: e.cause, RanAt: e.beganAt(),
	}
}

// settle ends a request that no further attempt is made for.
func (e *exchange) settle() Answer {
	if e.lastFailure != nil {
		return e.answered(e.lastFailure)
	}
	answer := Answer{
		Outcome: Lost, Attempts: e.sent, Failures: e.failures, Tried: e.offered, Cause: e.cause, RanAt: e.beganAt(),
	}
	if len(e.offered) == 0 {
		answer.Cause = causeNoEngine
	}
	if !e.mayHaveRun {
		answer.Outcome = NotRun
		answer.RetryAfter = retryAfter
	}
	return answer
}

// timeout ends a request whose time is over; what still runs may have run.
func (e *exchange) timeout() Answer {
	answer := Answer{
		Outcome: TimedOut, Attempts: e.sent, Failures: e.failures, Tried: e.offered, Cause: e.cause, RanAt: e.beganAt(),
	}
	if e.running > 0 {
		answer.Cause = causeSilent
	}
	if e.running == 0 && !e.mayHaveRun {
		answer.Outcome = NotRun
		answer.RetryAfter = retryAfter
	}
	return answer
}
