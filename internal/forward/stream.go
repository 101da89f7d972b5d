package forward

import (
	"context"
	"time"

	"github.com/hillfork/hillfork/internal/engineapi"
	"github.com/hillfork/hillfork/internal/eventrun"
	"github.com/hillfork/hillfork/internal/fleet"
	"github.com/hillfork/hillfork/internal/policy"
	"github.com/hillfork/hillfork/internal/quarantine"
)

// StreamRequest is a request whose answer is passed on event by event.
type StreamRequest struct {
	Request
	// Model bounds the engines to those that serve it, empty for any.
	Model string
	// Resumable says that another engine may go on after a break.
	Resumable bool
	// Gap is how long an engine may be silent between events of a resumable stream.
	Gap time.Duration
}

// StreamReceiver takes a stream. Begin is called once, before the first event.
type StreamReceiver interface {
	Begin(reply *engineapi.Reply) error
	Event(event engineapi.Event) error
}

// Stream carries a request whose answer is passed on event by event. The outcome is Answered for a stream that came to its
// end, and for a failure that an engine answered; Lost for a stream that was cut short after it began.
func (f *Forwarder) Stream(ctx context.Context, request StreamRequest, receiver StreamReceiver) Answer {
	if f.cut.Err() != nil {
		return refused()
	}
	deadlineCtx, cancel := context.WithDeadline(ctx, request.Deadline)
	defer cancel()
	runCtx, settle := f.untilCut(deadlineCtx)
	defer settle(errSettled)
	standing, wait := f.config.Quarantine.Admit(runCtx, request.Call, request.strikes())
	if standing == quarantine.Withheld {
		return withheld(request.Call, wait)
	}
	run := &streamExchange{forwarder: f, request: request, receiver: receiver, last: request.Call.ResumeAfter, started: time.Now()}
	answer := run.conduct(runCtx)
	if ctx.Err() != nil && answer.Outcome != Answered {
		answer.Outcome = Abandoned
	}
	return answer
}

type streamExchange struct {
	forwarder  *Forwarder
	request    StreamRequest
	receiver   StreamReceiver
	started    time.Time
	tried      []string
	sent       int
	refusals   int
	mayHaveRun bool
	// withheld says that too many engines have ended under the request.
	withheld bool
	begun    bool
	// last is the number of the last event passed on.
	last   int64
	status int
	sentAt time.Time
	paced  time.Time
	engine string
	// offered holds every engine that the request was offered to; cause is how the last run ended, if not whole.
	offered []string
	cause   string
}

func (s *streamExchange) conduct(ctx context.Context) Answer {
	for s.mayStart() {
		engine, ok := s.acquire()
		if !ok {
			if !s.awaitRoom(ctx) {
				break
			}
			continue
		}
		result := s.runOn(ctx, engine)
		s.forwarder.config.Directory.Release(engine.ID)
		if answer, done := s.take(engine, result); done {
			return answer
		}
	}
	return s.settle(ctx)
}

func (s *streamExchange) mayStart() bool {
	if s.sent >= s.request.MaxAttempts || s.refusals >= refusalsMost || s.withheld {
		return false
	}
	return !s.mayHaveRun || s.request.Resumable
}

func (s *streamExchange) acquire() (fleet.Engine, bool) {
	return s.forwarder.config.Directory.Acquire(fleet.Want{
		Pool: s.request.Pool, Regions: s.request.Regions, Model: s.request.Model, Exclude: s.tried, Zone: s.forwarder.config.Zone,
		NoTrial: !s.request.Resumable,
	})
}

func (s *streamExchange) awaitRoom(ctx context.Context) bool {
	if ctx.Err() != nil || (time.Since(s.started) >= s.request.Patience && !s.begun) {
		return false
	}
	s.tried = nil
	timer := time.NewTimer(roomPoll)
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
	s.engine = engine.ID
	s.paced = time.Time{}
	call := s.request.Call
	call.ResumeAfter = s.last
	call.Remaining = time.Until(s.request.Deadline)
	limits := eventrun.Limits{First: call.Remaining + time.Second, Gap: call.Remaining + time.Second}
	if s.request.Resumable && s.request.Gap > 0 {
		limits.Gap = s.request.Gap
	}
	s.sentAt = time.Now()
	result := eventrun.Run(ctx, s.forwarder.config.Client, engine, call, limits, s)
	if result.Ending == eventrun.EndedBroken || result.Ending == eventrun.EndedSilent {
		standing := s.forwarder.config.Quarantine.ReportBroken(ctx, call, engine, result.Err, s.request.strikes())
		s.withheld = standing == quarantine.Withheld
	}
	if result.Ending == eventrun.EndedSilent {
		s.forwarder.config.Quarantine.ReportSilent(call, engine, time.Since(s.sentAt))
	}
	return result
}

// Head begins the answer with the head of the first engine.
func (s *streamExchange) Head(reply *engineapi.Reply) error {
	s.status = reply.Status
	if s.begun {
		return nil
	}
	s.begun = true
	return s.receiver.Begin(reply)
}

// Event passes an event on.
func (s *streamExchange) Event(event engineapi.Event) error {
	now := time.Now()
	if s.paced.IsZero() {
		s.forwarder.config.Directory.Answered(s.engine, s.sentAt)
	} else {
		s.forwarder.config.Directory.RecordGap(s.engine, now.Sub(s.paced))
	}
	s.paced = now
	s.last = event.ID
	return s.receiver.Event(event)
}

func (s *streamExchange) take(engine fleet.Engine, result eventrun.Result) (Answer, bool) {
	directory := s.forwarder.config.Directory
	s.cause = ""
	if result.Ending != eventrun.EndedComplete {
		s.cause = result.Ending.String()
	}
	switch result.Ending {
	case eventrun.EndedComplete:
		directory.Succeeded(engine.ID, 0)
		s.forwarder.config.Quarantine.ReportAnswered(s.request.Call)
		return s.answer(Answered, engine), true
	case eventrun.EndedNotRun:
		s.sent--
		s.refusals++
		if result.Err != nil {
			directory.Failed(engine.ID, policy.FailureToConnect, result.Cause())
		} else {
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
		directory.Failed(engine.ID, policy.FailureInWork, result.Cause())
	}
	return Answer{}, false
}

func (s *streamExchange) settle(ctx context.Context) Answer {
	switch {
	case !s.mayHaveRun:
		return Answer{Outcome: NotRun, RetryAfter: retryAfter, Attempts: s.sent, Tried: s.offered, Cause: s.cause}
	case ctx.Err() != nil:
		return Answer{Outcome: TimedOut, Attempts: s.sent, Tried: s.offered, Cause: s.cause}
	default:
		return Answer{Outcome: Lost, Attempts: s.sent, Tried: s.offered, Cause: s.cause}
	}
}

func (s *streamExchange) answer(outcome Outcome, engine fleet.Engine) Answer {
	return Answer{Outcome: outcome, Attempts: s.sent, EngineID: engine.ID, Tried: s.offered, Cause: s.cause}
}
