package forward

import (
	"context"
	"errors"
	"time"

	"github.com/hillfork/hillfork/internal/engineapi"
	"github.com/hillfork/hillfork/internal/eventrun"
	"github.com/hillfork/hillfork/internal/fleet"
	"github.com/hillfork/hillfork/internal/policy"
	"github.com/hillfork/hillfork/internal/quarantine"
)

// StreamRequest is a request whose response is passed on event by event.
type StreamRequest struct {
	Request
	// Model limits the engines to those that serve it, empty for any.
	Model string
	// Resumable allows another engine to continue a stream that broke off.
	Resumable bool
	// Gap is the maximum time between events of a resumable stream; after it another engine continues. 0 sets no limit besides
	// the deadline.
	Gap time.Duration
}

// StreamReceiver receives a stream. Begin is called once, before the first event.
type StreamReceiver interface {
	Begin(reply *engineapi.Reply) error
	Event(event engineapi.Event) error
}

// Stream sends a request and passes the events of its response to receiver. The outcome is Answered for a complete stream.
// If no attempt completes the stream, it is Lost or TimedOut where an attempt may have run, else NotRun, and Abandoned if the caller
// or the receiver ended the request.
func (f *Forwarder) Stream(ctx context.Context, request StreamRequest, receiver StreamReceiver) Answer {
	if f.cut.Err() != nil {
		return refused()
	}
	deadlineCtx, cancel := context.WithDeadline(ctx, request.Deadline)
	defer cancel()
	runCtx, settle := f.withCutOff(deadlineCtx)
	defer settle(errSettled)
	admission := f.config.Quarantine.Admit(runCtx, request.Call, request.CrashClass)
	if !admission.MaySend() {
		return withheld(request.Call, admission.Wait)
	}
	exch := &streamExchange{forwarder: f, request: request, receiver: receiver, lastEventID: request.Call.ResumeAfter, started: time.Now()}
	answer := exch.run(runCtx)
	if ctx.Err() != nil && answer.Outcome != Answered {
		answer.Outcome = Abandoned
	}
	return answer
}

// streamExchange is a streamed request in progress. It has one attempt at a time.
type streamExchange struct {
	forwarder  *Forwarder
	request    StreamRequest
	receiver   StreamReceiver
	started    time.Time
	tried      []string
	sent       int
	rejections int
	mayHaveRun bool
	// withheld is set once the crash limit of the request is reached.
	withheld bool
	// headSent is set once the Begin method of the receiver was called.
	headSent bool
	// unconfirmed is the engine whose stream ended normally and may lack events, nil if there is none.
	unconfirmed *fleet.Engine
	// lastEventID is the ID of the last event passed on.
	lastEventID int64
	status      int
	sentAt      time.Time
	lastEventAt time.Time
	engineID    string
	// offered holds the engine of every attempt; cause is how the last attempt ended, empty if its stream was complete.
	offered []string
	cause   string
	// refusal is why no engine will run the stream soon.
	refusal refusal
}

func (s *streamExchange) run(ctx context.Context) Answer {
	for s.mayStart() {
		engine, ok := s.acquire()
		if !ok {
			if s.unconfirmed != nil || s.unservable() || !s.awaitSlot(ctx) {
				break
			}
			continue
		}
		result := s.runOn(ctx, engine)
		s.forwarder.config.Directory.Release(engine.ID)
		if answer, done := s.handleResult(engine, result); done {
			return answer
		}
	}
	return s.settle(ctx)
}

func (s *streamExchange) mayStart() bool {
	if s.sent >= s.request.MaxAttempts || s.rejections >= maxRejections || s.withheld {
		return false
	}
	return !s.mayHaveRun || s.request.Resumable
}

// want returns the requirements of the stream, without the engines that were tried.
func (s *streamExchange) want() fleet.Want {
	return fleet.Want{
		Pool: s.request.Pool, Regions: s.request.Regions, Model: s.request.Model, Zone: s.forwarder.config.Zone,
		NoTrial: !s.request.Resumable,
	}
}

func (s *streamExchange) acquire() (fleet.Engine, bool) {
	want := s.want()
	want.Exclude = s.tried
	return s.forwarder.config.Directory.Acquire(want)
}

// unservable reports whether the stream has not run and no engine will run it soon.
func (s *streamExchange) unservable() bool {
	if s.mayHaveRun {
		return false
	}
	var found bool
	s.refusal, found = s.forwarder.unservable(s.want())
	return found
}

func (s *streamExchange) awaitSlot(ctx context.Context) bool {
	if ctx.Err() != nil || (time.Since(s.started) >= s.request.MaxSlotWait && !s.headSent) {
		return false
	}
	s.tried = nil
	timer := time.NewTimer(slotPollInterval)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.forwarder.config.Directory.Changed():
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}

func (s *streamExchange) runOn(ctx context.Context, engine fleet.Engine) eventrun.Result {
	s.tried = append(s.tried, engine.ID)
	s.offered = append(s.offered, engine.ID)
	s.sent++
	s.engineID = engine.ID
	s.lastEventAt = time.Time{}
	call := s.request.Call
	call.ResumeAfter = s.lastEventID
	call.Remaining = time.Until(s.request.Deadline)
	limits := eventrun.Limits{First: call.Remaining + time.Second, Gap: call.Remaining + time.Second}
	if s.request.Resumable && s.request.Gap > 0 {
		limits.Gap = s.request.Gap
	}
	s.sentAt = time.Now()
	result := eventrun.Run(ctx, s.forwarder.config.Client, engine, call, limits, s)
	if result.Ending == eventrun.EndedBroken || result.Ending == eventrun.EndedSilent {
		standing := s.forwarder.config.Quarantine.ReportBroken(ctx, call, engine, result.Err, s.request.CrashClass)
		s.withheld = standing == quarantine.Withheld
	}
	if result.Ending == eventrun.EndedSilent {
		s.request.Call.HeardSince = s.sentAt
		if !s.lastEventAt.IsZero() {
			s.request.Call.HeardSince = s.lastEventAt
		}
		s.forwarder.config.Quarantine.ReportSilent(call, engine, time.Since(s.sentAt))
	}
	return result
}

// Head passes on the head of the first engine's response and ignores those of later attempts.
func (s *streamExchange) Head(reply *engineapi.Reply) error {
	s.status = reply.Status
	if s.headSent {
		return nil
	}
	s.headSent = true
	return s.receiver.Begin(reply)
}

// Event passes an event on and records the pace of the engine.
func (s *streamExchange) Event(event engineapi.Event) error {
	now := time.Now()
	if s.lastEventAt.IsZero() {
		s.forwarder.config.Directory.Answered(s.engineID, s.sentAt)
	} else {
		s.forwarder.config.Directory.RecordGap(s.engineID, now.Sub(s.lastEventAt))
	}
	s.lastEventAt = now
	s.lastEventID = event.ID
	return s.receiver.Event(event)
}

func (s *streamExchange) handleResult(engine fleet.Engine, result eventrun.Result) (Answer, bool) {
	directory := s.forwarder.config.Directory
	s.cause = ""
	if result.Ending != eventrun.EndedComplete {
		s.cause = result.Ending.String()
	}
	if result.Events > 0 {
		s.unconfirmed = nil
	}
	switch result.Ending {
	case eventrun.EndedUnconfirmed:
		directory.Succeeded(engine.ID, 0)
		s.forwarder.config.Quarantine.ReportAnswered(s.request.Call)
		if !s.request.Resumable {
			// Nothing tells whether it is complete, and it must not run again.
			s.cause = ""
			return s.answer(Answered, engine), true
		}
		s.mayHaveRun, s.unconfirmed = true, &engine
	case eventrun.EndedComplete:
		directory.Succeeded(engine.ID, 0)
		s.forwarder.config.Quarantine.ReportAnswered(s.request.Call)
		return s.answer(Answered, engine), true
	case eventrun.EndedNotRun:
		s.sent--
		s.rejections++
		switch {
		case errors.Is(result.Err, engineapi.ErrLeaving):
		case result.Err != nil:
			directory.Failed(engine.ID, policy.FailureToConnect, result.Cause())
		default:
			directory.Rejected(engine.ID)
		}
	case eventrun.EndedByCaller:
		s.mayHaveRun = true
		return s.answer(TimedOut, engine), true
	case eventrun.EndedByReceiver:
		return s.answer(Abandoned, engine), true
	case eventrun.EndedFailed:
		s.mayHaveRun = true
		s.status = result.Status
	default:
		s.mayHaveRun = true
		if result.EngineAtFault() {
			directory.Failed(engine.ID, policy.FailureInWork, result.Cause())
		}
	}
	return Answer{}, false
}

func (s *streamExchange) settle(ctx context.Context) Answer {
	switch {
	case s.unconfirmed != nil:
		// No engine can tell more.
		s.cause = ""
		return s.answer(Answered, *s.unconfirmed)
	case !s.mayHaveRun:
		return s.refusal.complete(Answer{Attempts: s.sent, Tried: s.offered, Cause: s.cause})
	case ctx.Err() != nil:
		return Answer{Outcome: TimedOut, Attempts: s.sent, Tried: s.offered, Cause: s.cause}
	default:
		return Answer{Outcome: Lost, Attempts: s.sent, Tried: s.offered, Cause: s.cause}
	}
}

func (s *streamExchange) answer(outcome Outcome, engine fleet.Engine) Answer {
	return Answer{Outcome: outcome, Attempts: s.sent, EngineID: engine.ID, Tried: s.offered, Cause: s.cause}
}
