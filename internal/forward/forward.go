// Package forward carries one request of a caller to engines of a pool and tells its outcome. It repeats a request on
// another engine only where the request may run twice or provably has not run, and says "not run" only where that is
// proven for every attempt.
package forward

import (
	"context"
	"errors"
	"io"
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
	// Regions are those whose engines may run the request, nil for all.
	Regions []string
	Call    engineapi.Call
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
		return policy.RequestCrashLimit
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
		f.config.Quarantine.ReportSilent(call, engine, took)
		return quarantine.Clear
	}
	return f.config.Quarantine.ReportBroken(ctx, call, engine, err, strikes)
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
