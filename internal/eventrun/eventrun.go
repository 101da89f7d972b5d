// Package eventrun runs one streamed request on one engine: it sends the request, passes the events on in order, and reports
// how the run ended. A run is abandoned if its engine sends no event for too long. The package neither chooses the engine nor
// retries.
package eventrun

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/hillfork/hillfork/internal/engineapi"
	"github.com/hillfork/hillfork/internal/fleet"
	"github.com/hillfork/hillfork/internal/inbound"
)

// Ending is the way in which a run ended.
type Ending int

// Endings of a run.
const (
	// EndedComplete means that the stream ended normally.
	EndedComplete Ending = iota
	// EndedNotRun means that the engine did not run the request.
	EndedNotRun
	// EndedFailed means that the engine answered with an error.
	EndedFailed
	// EndedBroken means that the stream was cut off, or that it contained something else than events in sequence.
	EndedBroken
	// EndedSilent means that the run was abandoned because the engine sent no event in time.
	EndedSilent
	// EndedByReceiver means that the receiver of the events stopped the run.
	EndedByReceiver
	// EndedByCaller means that the context ended.
	EndedByCaller
	// EndedUnconfirmed means that the stream ended normally, but has no end of its own, so that it may lack events: its connection also ends
	// so if the engine's process ends. A run that continues it tells: it is complete if that one has no events.
	EndedUnconfirmed
)

var endingNames = [...]string{"whole", "not_run", "failed", "broken", "silent", "stopped", "cancelled", "unconfirmed"}

// String returns the name that log lines use.
func (e Ending) String() string {
	return endingNames[e]
}

// Limits are the timeouts of a run.
type Limits struct {
	// First is the timeout for the first event, Gap the timeout between two events.
	First time.Duration
	Gap   time.Duration
}

// Result describes how a run ended.
type Result struct {
	Ending Ending
	// Status is the HTTP status of the answer, 0 if there was none.
	Status int
	// Events is the number of events that were passed on.
	Events int
	// Err is the error that ended the run. It is nil if the stream ended normally, or if the engine's answer was not a stream.
	Err error
}

// Cause describes why the run did not end normally.
func (r Result) Cause() string {
	switch {
	case r.Err != nil:
		return r.Ending.String() + ": " + r.Err.Error()
	case r.Status != 0 && r.Status != http.StatusOK:
		return r.Ending.String() + " with status " + strconv.Itoa(r.Status)
	default:
		return r.Ending.String()
	}
}

// EngineAtFault reports whether a run that broke off says that its engine is in trouble: it does not if this process had no memory for
// an event.
func (r Result) EngineAtFault() bool {
	return !errors.Is(r.Err, inbound.ErrNoMemory)
}

// Receiver handles the answer of an engine.
type Receiver interface {
	// Head handles the head of a streamed answer. An error ends the run.
	Head(reply *engineapi.Reply) error
	// Event handles the next event. An error ends the run.
	Event(event engineapi.Event) error
}

// errOutOfSequence is returned for an event whose ID is not the successor of the previous one.
var errOutOfSequence = errors.New("event is out of sequence")

// Run sends the call to the engine and passes its events to the receiver. It returns when the stream or the context ends, a
// timeout of limits passes, or the receiver returns an error.
func Run(
	ctx context.Context, client engineapi.Client, engine fleet.Engine, call engineapi.Call, limits Limits, receiver Receiver,
) Result {
	runCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	var timedOut atomic.Bool
	watchdog := time.AfterFunc(limits.First, func() {
		timedOut.Store(true)
		cancel()
	})
	defer watchdog.Stop()
	reply, err := client.Send(runCtx, engine, call)
	if err != nil {
		return Result{Ending: interruption(ctx, &timedOut, sendErrorEnding(err)), Err: err}
	}
	defer reply.Body.Close() //nolint:errcheck // closing the body early stops the run
	if reply.NotRun {
		return Result{Ending: EndedNotRun, Status: reply.Status}
	}
	if reply.Status != http.StatusOK || reply.Stamp == "" {
		return Result{Ending: EndedFailed, Status: reply.Status}
	}
	if err := receiver.Head(reply); err != nil {
		cancel()
		return Result{Ending: EndedByReceiver, Status: reply.Status, Err: err}
	}
	result := passEvents(client.Events(reply.Body), call.ResumeAfter, receiver, func() { watchdog.Reset(limits.Gap) })
	result.Status = reply.Status
	if result.Ending == EndedComplete && reply.Unframed && (result.Events > 0 || call.ResumeAfter == 0) {
		result.Ending = EndedUnconfirmed
	}
	if result.Ending == EndedByReceiver {
		// The connection ends with the body. Its client distinguishes cancelled runs from broken connections by the context.
		cancel()
	}
	if result.Ending == EndedBroken {
		result.Ending = interruption(ctx, &timedOut, EndedBroken)
	}
	return result
}

func sendErrorEnding(err error) Ending {
	if errors.Is(err, engineapi.ErrNotSent) {
		return EndedNotRun
	}
	return EndedBroken
}

// interruption returns the ending of a run that the caller or the timeout interrupted, and otherwise if neither did.
func interruption(ctx context.Context, timedOut *atomic.Bool, otherwise Ending) Ending {
	switch {
	case ctx.Err() != nil:
		return EndedByCaller
	case timedOut.Load() && otherwise == EndedBroken:
		return EndedSilent
	default:
		return otherwise
	}
}

// passEvents passes the events to the receiver and checks that their IDs are consecutive. It calls onEvent for each event.
func passEvents(events engineapi.EventReader, resumeAfter int64, receiver Receiver, onEvent func()) Result {
	passed := 0
	last := resumeAfter
	for {
		event, err := events.Next()
		if errors.Is(err, io.EOF) {
			return Result{Ending: EndedComplete, Events: passed}
		}
		if err == nil && event.ID != last+1 {
			err = errOutOfSequence
		}
		if err != nil {
			return Result{Ending: EndedBroken, Events: passed, Err: err}
		}
		onEvent()
		if err := receiver.Event(event); err != nil {
			return Result{Ending: EndedByReceiver, Events: passed, Err: err}
		}
		last = event.ID
		passed++
	}
}
