// Package forward carries one request of a caller to engines of a pool and tells its outcome. It repeats a request on
// another engine only where the request may run twice or provably has not run, and says "not run" only where that is
// proven for every attempt.
package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/charmbracelet/log"
	"github.com/hillfork/hillfork/internal/engineapi"
	"github.com/hillfork/hillfork/internal/fleet"
	"github.com/hillfork/hillfork/internal/policy"
	"github.com/hillfork/hillfork/internal/quarantine"
)

// Outcome says what became of a request.
type Outcome int

// Outcomes of a request.
const (
	// Answered says that an engine gave a whole answer; its status may be a failure.
	Answered Outcome = iota
	// NotRun says that no engine has run the request or will.
	NotRun
	// Lost says that an engine may have run the request and its answer is lost.
	Lost
	// TimedOut says that time ran out after the request was sent to an engine.
	TimedOut
	// Abandoned says that the caller has gone.
	Abandoned
	// Withheld says that the request was sent to no engine, since engines have ended under its like.
	Withheld
)

var outcomeNames = [...]string{"answered", "not_run", "lost", "timed_out", "abandoned", "withheld"}

// String returns the name used in logs.
func (o Outcome) String() string {
	return outcomeNames[o]
}

// Request is one request of a caller.
type Request struct {
	Pool string
	Call engineapi.Call
	// Deadline is when the answer is of no use any more.
	Deadline time.Time
	// Patience is how long to wait for an engine with room before the request is refused.
	Patience time.Duration
	// Aim is the time within which the answer earns its full credit.
	Aim time.Duration
	// MaxAttempts bounds the engines that may have run the request.
	MaxAttempts int
	// MayRepeat says that the request may run more than once.
	MayRepeat bool
	// Strikes is how many engines may end under requests of this content before they are withheld, 0 for the usual number.
	Strikes int
}

func (r Request) strikes() int {
	if r.Strikes == 0 {
		return policy.RequestStrikes
	}
	return r.Strikes
}

// Answer is the outcome of a request.
type Answer struct {
	Outcome Outcome
	// Reply and Body are the engine's answer if Outcome is Answered.
	Reply *engineapi.Reply
	Body  []byte
	// RetryAfter tells a caller whose request was not run when to come back.
	RetryAfter time.Duration
	// RanAt is when the request began to run, or may have: when the attempt was sent that an engine answered first, or the first one of
	// which no engine said anything. It is zero if no engine has run the request.
	RanAt time.Time
	// Attempts counts the engines the request was sent to; Failures those that answered 500.
	Attempts int
	Failures int
	// EngineID is the engine that answered last.
	EngineID string
	// Tried are the engines that the request was offered to, each as often as it was.
	Tried []string
	// Cause says what the last attempt failed of, empty if none failed.
	Cause string
	// Content is what the request asks, if it was withheld.
	Content string
}

// Config configures a forwarder.
type Config struct {
	Client    engineapi.Client
	Directory *fleet.Directory
	// Quarantine watches requests whose engines end, nil for none.
	Quarantine *quarantine.Quarantine
	Zone       string
	Logger     *log.Logger
}

// Forwarder carries requests. It is safe for concurrent use.
type Forwarder struct {
	config Config
	hedges hedgeBudget
	// cut ends with CutOff.
	cut    context.Context
	cutOff context.CancelFunc
}

// New returns a forwarder.
func New(config Config) *Forwarder {
	cut, cutOff := context.WithCancel(context.Background())
	return &Forwarder{config: config, cut: cut, cutOff: cutOff}
}

// CutOff ends the requests under way as if their time were over, so that each is still answered with what is known of it, and refuses those
// that come later. A process calls it shortly before it ends.
func (f *Forwarder) CutOff() {
	f.cutOff()
}

// untilCut returns a context that ends with another, and when requests are cut off. Attempts that end so are settled: their engines did
// nothing wrong.
func (f *Forwarder) untilCut(ctx context.Context) (context.Context, context.CancelCauseFunc) {
	ctx, settle := context.WithCancelCause(ctx)
	stop := context.AfterFunc(f.cut, func() { settle(errSettled) })
	return ctx, func(cause error) {
		stop()
		settle(cause)
	}
}

// refused is the answer to a request that comes after requests were cut off.
func refused() Answer {
	return Answer{Outcome: NotRun, Cause: causeStopped}
}

const (
	// retryAfter is what a refused caller is told: engines regain room within fractions of a second.
	retryAfter = 250 * time.Millisecond
	// refusalsMost bounds the engines that may turn one request away before it is given up.
	refusalsMost = 12
	// roomPoll is how long to wait before engines that turned the request away are asked again.
	roomPoll = 15 * time.Millisecond
	// bodyMost bounds an answer that is held whole before it is passed on.
	bodyMost = 64 << 20
	// hedgeShare of the aim goes by before a second engine is tried.
	hedgeShare = 0.45
	// hedgeLatencies is how many times the usual latency must have gone by before that.
	hedgeLatencies = 3
)

// Do carries a request whose answer is passed on whole.
func (f *Forwarder) Do(ctx context.Context, request Request) Answer {
	if f.cut.Err() != nil {
		return refused()
	}
	deadlineCtx, cancel := context.WithDeadline(ctx, request.Deadline)
	defer cancel()
	runCtx, settle := f.untilCut(deadlineCtx)
	defer settle(errSettled)
	f.hedges.earn()
	standing, wait := f.config.Quarantine.Admit(runCtx, request.Call, request.strikes())
	if standing == quarantine.Withheld {
		return withheld(request.Call, wait)
	}
	run := &exchange{
		forwarder: f, request: request, started: time.Now(), standing: standing,
		results: make(chan attempt, refusalsMost+request.MaxAttempts),
	}
	answer := run.conduct(runCtx)
	if ctx.Err() != nil && answer.Outcome != Answered {
		answer.Outcome = Abandoned
	}
	return answer
}

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
		Pool: e.request.Pool, Exclude: e.tried, Zone: e.forwarder.config.Zone,
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
		directory.TurnedAway(result.engine.ID)
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
		e.forwarder.config.Quarantine.Answered(e.request.Call)
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

// send makes one attempt and reads the whole answer.
func (f *Forwarder) send(ctx context.Context, engine fleet.Engine, call engineapi.Call, strikes int) attempt {
	started := time.Now()
	reply, err := f.config.Client.Send(ctx, engine, call)
	if err != nil {
		took := time.Since(started)
		return attempt{engine: engine, err: err, sentAt: started, took: took, standing: f.broke(ctx, engine, call, err, strikes, took)}
	}
	body, err := io.ReadAll(io.LimitReader(reply.Body, bodyMost+1))
	closeErr := reply.Body.Close()
	if err == nil && len(body) > bodyMost {
		err = errBodyTooLarge
	}
	if err == nil {
		err = closeErr
	}
	if reply.NotRun {
		err = nil
	}
	took := time.Since(started)
	return attempt{
		engine: engine, reply: reply, body: body, err: err, sentAt: started, took: took,
		standing: f.broke(ctx, engine, call, err, strikes, took),
	}
}

// broke has the quarantine look at an engine whose answer broke off, and returns how the request stands then.
func (f *Forwarder) broke(
	ctx context.Context, engine fleet.Engine, call engineapi.Call, err error, strikes int, took time.Duration,
) quarantine.Standing {
	switch {
	case err == nil, errors.Is(err, engineapi.ErrNotSent), errors.Is(context.Cause(ctx), errSettled):
		return quarantine.Clear
	case ctx.Err() != nil:
		f.config.Quarantine.Silent(call, engine, took)
		return quarantine.Clear
	}
	return f.config.Quarantine.Broke(ctx, call, engine, err, strikes)
}

// Causes of requests that no attempt gave one for.
const (
	causeNoEngine = "no engine of the pool takes work"
	causeSilent   = "the engine had not answered"
	causeWithheld = "engines ended under the same request"
	causeStopped  = "the process stops"
)

// errSettled says that an attempt is of no use any more since the request is settled.
var errSettled = errors.New("request is settled")

// errBodyTooLarge says that an answer is larger than one may be.
var errBodyTooLarge = errors.New("answer is too large")
