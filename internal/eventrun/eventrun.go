// Package eventrun runs one streamed request on one engine: it sends the request, passes the events on in order, and tells
// how the run ended. A run whose engine falls silent is given up. It chooses no engine and repeats nothing.
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
)

// Ending says how a run ended.
type Ending int

// Endings of a run.
const (
	// EndedWhole says that the stream came to its end.
	EndedWhole Ending = iota
	// EndedNotRun says that the engine did not run the request.
	EndedNotRun
	// EndedFailed says that the engine answered with a failure of its own.
	EndedFailed
	// EndedBroken says that the stream was cut short, or that its bytes were no events in order.
	EndedBroken
	// EndedSilent says that the engine fell silent and was given up.
	EndedSilent
	// EndedByReceiver says that the receiver of the events stopped the run.
	EndedByReceiver
	// EndedByCaller says that the context ended.
	EndedByCaller
)

var endingNames = [...]string{"whole", "not_run", "failed", "broken", "silent", "stopped", "cancelled"}

// String returns the name used in logs.
func (e Ending) String() string {
	return endingNames[e]
}

// Limits bounds how long an engine may be silent.
type Limits struct {
	// First bounds the time to the first event, Gap that between events.
	First time.Duration
	Gap   time.Duration
}

// Result tells how a run ended.
type Result struct {
	Ending Ending
	// Status is that of the answer, 0 if there was none.
	Status int
	// Events counts those passed on.
	Events int
	// Err says what was wrong, nil for a whole run.
	Err error
}

// Cause says why the run was not whole.
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

// Receiver takes what an engine answers.
type Receiver interface {
	// Head takes the head of an answer that is a stream.
	Head(reply *engineapi.Reply) error
	// Event takes the next event. An error ends the run.
	Event(event engineapi.Event) error
}

// errDisorder says that an event does not follow the one before.
var errDisorder = errors.New("event is not the next")

// Run sends the call to the engine and passes its events to the receiver.
func Run(
	ctx context.Context, client engineapi.Client, engine fleet.Engine, call engineapi.Call, limits Limits, receiver Receiver,
) Result {
	runCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	var silent atomic.Bool
	watchdog := time.AfterFunc(limits.First, func() {
		silent.Store(true)
		cancel()
	})
	defer watchdog.Stop()
	reply, err := client.Send(runCtx, engine, call)
	if err != nil {
		return Result{Ending: interruption(ctx, &silent, sendEnding(err)), Err: err}
	}
	defer reply.Body.Close() //nolint:errcheck // closing early is how a run is stopped
	if reply.NotRun {
		return Result{Ending: EndedNotRun, Status: reply.Status}
	}
	if reply.Status != http.StatusOK || reply.Stamp == "" {
		return Result{Ending: EndedFailed, Status: reply.Status}
	}
	if err := receiver.Head(reply); err != nil {
		return Result{Ending: EndedByReceiver, Status: reply.Status, Err: err}
	}
	result := pass(client.Events(reply.Body), call.ResumeAfter, receiver, func() { watchdog.Reset(limits.Gap) })
	result.Status = reply.Status
	if result.Ending == EndedBroken {
		result.Ending = interruption(ctx, &silent, EndedBroken)
	}
	return result
}

func sendEnding(err error) Ending {
	if errors.Is(err, engineapi.ErrNotSent) {
		return EndedNotRun
	}
	return EndedBroken
}

// interruption tells who interrupted a run, or how it ended if nobody did.
func interruption(ctx context.Context, silent *atomic.Bool, otherwise Ending) Ending {
	switch {
	case ctx.Err() != nil:
		return EndedByCaller
	case silent.Load() && otherwise == EndedBroken:
		return EndedSilent
	default:
		return otherwise
	}
}

// pass hands the events on, each the next after the one before.
func pass(events engineapi.EventReader, after int64, receiver Receiver, alive func()) Result {
	passed := 0
	last := after
	for {
		event, err := events.Next()
		if errors.Is(err, io.EOF) {
			return Result{Ending: EndedWhole, Events: passed}
		}
		if err == nil && event.ID != last+1 {
			err = errDisorder
		}
		if err != nil {
			return Result{Ending: EndedBroken, Events: passed, Err: err}
		}
		alive()
		if err := receiver.Event(event); err != nil {
			return Result{Ending: EndedByReceiver, Events: passed, Err: err}
		}
		last = event.ID
		passed++
	}
}
