// Package forward sends a caller's request to engines of a pool and returns its outcome. It retries a request on another
// engine only if the request may run twice or provably has not run, and reports "not run" only if that is proven for every
// attempt.
package forward

import (
	"context"
	"errors"
	"time"

	"github.com/charmbracelet/log"
	"github.com/hillfork/hillfork/internal/engineapi"
	"github.com/hillfork/hillfork/internal/fleet"
	"github.com/hillfork/hillfork/internal/inbound"
	"github.com/hillfork/hillfork/internal/policy"
	"github.com/hillfork/hillfork/internal/quarantine"
)

// Outcome is the result of a request.
type Outcome int

// Outcomes of a request.
const (
	// Answered means that an engine returned a complete response; its status may be a failure.
	Answered Outcome = iota
	// NotRun means that no engine has run the request or will run it.
	NotRun
	// Lost means that an engine may have run the request but its response is lost.
	Lost
	// TimedOut means that the deadline passed after the request was sent to an engine.
	TimedOut
	// Abandoned means that the caller canceled the request or disconnected.
	Abandoned
	// Withheld means that the request was sent to no engine because engines have crashed under requests of the same content.
	Withheld
)

var outcomeNames = [...]string{"answered", "not_run", "lost", "timed_out", "abandoned", "withheld"}

// String returns the name used in logs.
func (o Outcome) String() string {
	return outcomeNames[o]
}

// Request is a caller's request.
type Request struct {
	Pool string
	// Regions are the regions whose engines may run the request, nil for all.
	Regions []string
	Call    engineapi.Call
	// Deadline is the time after which the response is of no use.
	Deadline time.Time
	// MaxSlotWait is how long the request waits for an engine with a free slot before it is refused.
	MaxSlotWait time.Duration
	// Aim is the latency target: a response within it earns full credit.
	Aim time.Duration
	// MaxAttempts limits the number of attempts that may have run the request.
	MaxAttempts int
	// MayRepeat allows the request to run more than once.
	MayRepeat bool
	// CrashClass says how the request is treated once engines have crashed under requests of its content.
	CrashClass policy.CrashClass
}

// Answer is the result of a request.
type Answer struct {
	Outcome Outcome
	// Reply and Body are the engine's response if Outcome is Answered.
	Reply *engineapi.Reply
	Body  []byte
	// RetryAfter is the delay after which a caller whose request was not run should retry.
	RetryAfter time.Duration
	// StartedAt is when the request started to run or may have started: the send time of the earliest attempt that an engine answered,
	// or of the first attempt without a response if there is none. It is zero if no engine has run the request.
	StartedAt time.Time
	// Attempts counts the attempts that were not rejected; Failures counts those that were answered with a status of 500 or above.
	Attempts int
	Failures int
	// EngineID is the engine whose response this is.
	EngineID string
	// Tried lists the engine of every attempt in order, rejected attempts included.
	Tried []string
	// Cause is why the last attempt failed, empty if it did not.
	Cause string
	// Content identifies the content of a withheld request.
	Content string
}

// Config configures a forwarder.
type Config struct {
	Client    engineapi.Client
	Directory *fleet.Directory
	// Quarantine withholds requests that crash engines, nil for none.
	Quarantine *quarantine.Quarantine
	// Inbound bounds the memory of answers while they are read, nil for no bound.
	Inbound *inbound.Budget
	Zone    string
	Logger  *log.Logger
}

// Forwarder sends requests to engines. It is safe for concurrent use.
type Forwarder struct {
	config Config
	hedges hedgeBudget
	// cut is canceled by CutOff.
	cut    context.Context
	cutOff context.CancelFunc
}

// New returns a forwarder.
func New(config Config) *Forwarder {
	cut, cutOff := context.WithCancel(context.Background())
	return &Forwarder{config: config, cut: cut, cutOff: cutOff}
}

// CutOff ends all requests in progress as if their deadline had passed, so that each caller still gets an outcome, and refuses later
// requests. A process calls it shortly before it exits.
func (f *Forwarder) CutOff() {
	f.cutOff()
}

// withCutOff returns a context that ends with ctx or with CutOff. Attempts that CutOff ends have the cause errSettled, so that their
// engines are not reported as failed.
func (f *Forwarder) withCutOff(ctx context.Context) (context.Context, context.CancelCauseFunc) {
	ctx, settle := context.WithCancelCause(ctx)
	stop := context.AfterFunc(f.cut, func() { settle(errSettled) })
	return ctx, func(cause error) {
		stop()
		settle(cause)
	}
}

// refused returns the answer to a request that arrives after CutOff.
func refused() Answer {
	return Answer{Outcome: NotRun, Cause: causeStopped}
}

const (
	// maxRejections is the number of rejected attempts after which a request is no longer sent to engines.
	maxRejections = 12
	// slotPollInterval is the delay before engines that rejected the request are tried again.
	slotPollInterval = 15 * time.Millisecond
	// hedgeTargetShare is the share of the latency target (Request.Aim) that passes before a hedged attempt at a second engine.
	hedgeTargetShare = 0.45
	// hedgeLatencyFactor times the pool's smoothed latency is the minimum delay before a hedged attempt.
	hedgeLatencyFactor = 3
)

// Do sends a request and returns its complete response.
func (f *Forwarder) Do(ctx context.Context, request Request) Answer {
	if f.cut.Err() != nil {
		return refused()
	}
	deadlineCtx, cancel := context.WithDeadline(ctx, request.Deadline)
	defer cancel()
	runCtx, settle := f.withCutOff(deadlineCtx)
	defer settle(errSettled)
	f.hedges.earn()
	admission := f.config.Quarantine.Admit(runCtx, request.Call, request.CrashClass)
	if !admission.MaySend() {
		return withheld(request.Call, admission.Wait)
	}
	exch := &exchange{
		forwarder: f, request: request, started: time.Now(), standing: admission.Standing,
		results: make(chan attempt, maxRejections+request.MaxAttempts),
	}
	answer := exch.run(runCtx)
	if ctx.Err() != nil && answer.Outcome != Answered {
		answer.Outcome = Abandoned
	}
	return answer
}

// send makes one attempt and reads the complete response.
func (f *Forwarder) send(ctx context.Context, engine fleet.Engine, call engineapi.Call, class policy.CrashClass) attempt {
	started := time.Now()
	reply, err := f.config.Client.Send(ctx, engine, call)
	if err != nil {
		elapsed := time.Since(started)
		return attempt{engine: engine, err: err, sentAt: started, elapsed: elapsed, standing: f.reportBroken(ctx, engine, call, err, class, elapsed)}
	}
	if reply.NotRun {
		// The head says all. The body may have no end.
		_ = reply.Body.Close()
		return attempt{engine: engine, reply: reply, sentAt: started, elapsed: time.Since(started)}
	}
	body, err := f.config.Inbound.ReadAll(inbound.Answer, engine.ID, reply.Body)
	closeErr := reply.Body.Close()
	if err == nil {
		err = closeErr
	}
	elapsed := time.Since(started)
	return attempt{
		engine: engine, reply: reply, body: body, err: err, sentAt: started, elapsed: elapsed,
		standing: f.reportBroken(ctx, engine, call, err, class, elapsed),
	}
}

// reportBroken reports an attempt without a complete response to the quarantine, which checks whether the engine has ended, and returns
// the request's standing after that.
func (f *Forwarder) reportBroken(
	ctx context.Context, engine fleet.Engine, call engineapi.Call, err error, class policy.CrashClass, elapsed time.Duration,
) quarantine.Standing {
	switch {
	case err == nil, errors.Is(err, engineapi.ErrNotSent), errors.Is(context.Cause(ctx), errSettled):
		return quarantine.Clear
	case ctx.Err() != nil:
		f.config.Quarantine.ReportSilent(call, engine, elapsed)
		return quarantine.Clear
	}
	return f.config.Quarantine.ReportBroken(ctx, call, engine, err, class)
}

// Causes of outcomes that don't come from the error of an attempt.
const (
	causeNoEngine = "no engine of the pool takes work"
	causeNoHome   = "no engine of the request's regions stays"
	causeCold     = "all engines of the pool are cold"
	causeAllLeave = "all engines of the pool leave or are in evacuated zones"
	causeSilent   = "the engine had not answered"
	causeWithheld = "engines ended under the same request"
	causeStopped  = "the process stops"
)

// errSettled is the cancellation cause of attempts that are still running when the request has its outcome.
var errSettled = errors.New("request is settled")
