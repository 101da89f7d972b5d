package forward_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/hillfork/hillfork/internal/engineapi"
	"github.com/hillfork/hillfork/internal/fleet"
	"github.com/hillfork/hillfork/internal/forward"
	"github.com/hillfork/hillfork/internal/quarantine"
	"github.com/hillfork/hillfork/internal/standin/memoryengine"
	"github.com/matryer/is"
)

const (
	aim      = 150 * time.Millisecond
	deadline = 1500 * time.Millisecond
	work     = 20 * time.Millisecond
)

// testEnv is a forwarder with engines a, b and c. "a" is in the forwarder's zone and so is tried first.
type testEnv struct {
	engines   *memoryengine.Engines
	directory *fleet.Directory
	forwarder *forward.Forwarder
	// quarantine is the forwarder's quarantine, nil for none.
	quarantine *quarantine.Quarantine
}

func newTestEnv(behaviours map[string]memoryengine.Behaviour) *testEnv {
	env := &testEnv{engines: memoryengine.New(), directory: fleet.NewDirectory()}
	for _, id := range []string{"a", "b", "c"} {
		behaviour, ok := behaviours[id]
		if !ok {
			continue
		}
		engine := fleet.Engine{ID: id, Pool: "p", Zone: "far", Slots: 100}
		if id == "a" {
			engine.Zone = "near"
		}
		env.engines.Add(engine, behaviour)
		env.directory.Upsert(engine)
	}
	env.forwarder = forward.New(forward.Config{
		Client: env.engines, Directory: env.directory, Zone: "near", Logger: log.New(io.Discard),
	})
	return env
}

func request(mayRepeat bool) forward.Request {
	return forward.Request{
		Pool: "p", Call: engineapi.Call{Method: http.MethodPost, RequestID: "r", Priority: engineapi.NoPriority},
		Deadline: time.Now().Add(deadline), MaxSlotWait: aim / 4, Aim: aim, MaxAttempts: 3, MayRepeat: mayRepeat,
	}
}

func TestDo(t *testing.T) {
	good := memoryengine.Behaviour{Work: work}
	down := memoryengine.Behaviour{Down: true}
	full := memoryengine.Behaviour{Full: true}
	failing := memoryengine.Behaviour{Work: work, Failing: true}
	foreign := memoryengine.Behaviour{Work: work, Foreign: true}
	silent := memoryengine.Behaviour{Silent: true}
	type behaviours = map[string]memoryengine.Behaviour
	tests := []struct {
		name       string
		engines    behaviours
		mayRepeat  bool
		outcome    forward.Outcome
		status     int
		maxElapsed time.Duration
		runsOfEach int
	}{
		{"a complete response", behaviours{"a": good}, true, forward.Answered, 200, work, 1},
		{"another engine when one is down", behaviours{"a": down, "b": good}, false, forward.Answered, 200, work, 1},
		{"another engine when one is full", behaviours{"a": full, "b": good}, false, forward.Answered, 200, work, 1},
		{"another engine after a failure, if repeatable", behaviours{"a": failing, "b": good}, true, forward.Answered, 200, 2 * work, 1},
		{"the failure itself, if not repeatable", behaviours{"a": failing, "b": good}, false, forward.Answered, 500, work, 1},
		{"the failure itself, if all fail", behaviours{"a": failing, "b": failing, "c": failing}, true, forward.Answered, 500, 4 * work, 1},
		{"another engine after a foreign response, if repeatable", behaviours{"a": foreign, "b": good}, true, forward.Answered, 200, 2 * work, 1},
		{"lost after a foreign response, if not repeatable", behaviours{"a": foreign, "b": good}, false, forward.Lost, 0, work, 1},
		{"a hedged attempt if the first engine is silent, if repeatable", behaviours{"a": silent, "b": good}, true, forward.Answered, 200, aim, 1},
		{"timeout at a silent engine, if not repeatable", behaviours{"a": silent, "b": good}, false, forward.TimedOut, 0, deadline, 1},
		{"not run when all are down", behaviours{"a": down, "b": down}, false, forward.NotRun, 0, aim / 2, 0},
		{"not run when all are full", behaviours{"a": full, "b": full}, true, forward.NotRun, 0, aim, 0},
		{"not run without engines", behaviours{}, true, forward.NotRun, 0, aim / 2, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				env := newTestEnv(test.engines)
				started := time.Now()
				answer := env.forwarder.Do(t.Context(), request(test.mayRepeat))
				is.Equal(answer.Outcome.String(), test.outcome.String())
				if answer.Reply != nil {
					is.Equal(answer.Reply.Status, test.status)
				}
				is.True(time.Since(started) <= test.maxElapsed)
				perEngine := make(map[string]int)
				for _, run := range env.engines.Runs() {
					perEngine[run.Engine]++
					is.True(run.Remaining > 0 && run.At.Add(run.Remaining).Before(started.Add(deadline+time.Millisecond)))
				}
				for _, runs := range perEngine {
					is.True(runs <= max(1, test.runsOfEach))
				}
				if answer.Outcome == forward.NotRun {
					is.Equal(len(env.engines.Runs()), 0)
					is.True(answer.RetryAfter > 0)
				}
				synctest.Wait()
				is.Equal(env.engines.Running("r"), 0)
			})
		})
	}
}

// TestAttemptsAreBounded checks that a request makes no more attempts than MaxAttempts.
func TestAttemptsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		failing := memoryengine.Behaviour{Work: work, Failing: true}
		env := newTestEnv(map[string]memoryengine.Behaviour{"a": failing, "b": failing})
		limited := request(true)
		limited.MaxAttempts = 4
		limited.MaxSlotWait = deadline
		answer := env.forwarder.Do(t.Context(), limited)
		is.Equal(answer.Failures, 4)
		is.Equal(len(env.engines.Runs()), 4)
	})
}

// TestCallerCancellationStopsWork checks that no engine keeps running a request after its caller has canceled it.
func TestCallerCancellationStopsWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		env := newTestEnv(map[string]memoryengine.Behaviour{"a": {Work: time.Hour}})
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(50*time.Millisecond, cancel)
		answer := env.forwarder.Do(ctx, request(true))
		is.Equal(answer.Outcome, forward.Abandoned)
		synctest.Wait()
		is.Equal(env.engines.Running("r"), 0)
	})
}

// TestHedgesAreBounded checks that hedging does not double the load of a pool whose engines are all slow.
func TestHedgesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		// Two engines are slow. The third is full, but its recorded latency is low, so every request reaches the hedge delay.
		slow := memoryengine.Behaviour{Work: aim}
		env := newTestEnv(map[string]memoryengine.Behaviour{"a": slow, "b": slow, "c": {Full: true}})
		env.directory.Succeeded("c", time.Millisecond)
		const requests = 100
		for range requests {
			is.Equal(env.forwarder.Do(t.Context(), request(true)).Outcome, forward.Answered)
		}
		is.True(len(env.engines.Runs()) > requests)
		is.True(len(env.engines.Runs()) <= requests+requests/8+6)
	})
}

// receiver records the events of a stream.
type receiver struct {
	begins int
	events []string
}

func (r *receiver) Begin(*engineapi.Reply) error {
	r.begins++
	return nil
}

func (r *receiver) Event(event engineapi.Event) error {
	r.events = append(r.events, event.Data)
	return nil
}

func streamRequest(resumable bool, events int) forward.StreamRequest {
	base := request(resumable)
	base.Call.Header = http.Header{memoryengine.EventsHeader: {strconv.Itoa(events)}}
	return forward.StreamRequest{Request: base, Resumable: resumable, Gap: 300 * time.Millisecond}
}

func TestStream(t *testing.T) {
	const events = 10
	good := memoryengine.Behaviour{Pace: work}
	breaking := memoryengine.Behaviour{Pace: work, BreakAfter: 4}
	silent := memoryengine.Behaviour{Pace: time.Hour}
	full := memoryengine.Behaviour{Full: true}
	unframed := memoryengine.Behaviour{Pace: work, Unframed: true}
	ending := memoryengine.Behaviour{Pace: work, Unframed: true, EndAfter: 4}
	type behaviours = map[string]memoryengine.Behaviour
	tests := []struct {
		name      string
		engines   behaviours
		resumable bool
		outcome   forward.Outcome
		events    int
	}{
		{"complete", behaviours{"a": good}, false, forward.Answered, events},
		{"resumed after a break", behaviours{"a": breaking, "b": good}, true, forward.Answered, events},
		{"continued after an end that is not its own", behaviours{"a": ending, "b": good}, true, forward.Answered, events},
		{"confirmed after an end that is not its own", behaviours{"a": unframed, "b": good}, true, forward.Answered, events},
		{"unconfirmed, if no other engine is there", behaviours{"a": unframed}, true, forward.Answered, events},
		{"unconfirmed, if the other engine is full", behaviours{"a": unframed, "b": full}, true, forward.Answered, events},
		{"unconfirmed, if not resumable", behaviours{"a": unframed, "b": good}, false, forward.Answered, events},
		{"lost after a break, if not resumable", behaviours{"a": breaking, "b": good}, false, forward.Lost, 4},
		{"another engine when one is full", behaviours{"a": full, "b": good}, false, forward.Answered, events},
		{"not run when all are full", behaviours{"a": full}, false, forward.NotRun, 0},
		{"timeout at a silent engine", behaviours{"a": silent}, false, forward.TimedOut, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				env := newTestEnv(test.engines)
				received := new(receiver)
				answer := env.forwarder.Stream(t.Context(), streamRequest(test.resumable, events), received)
				is.Equal(answer.Outcome.String(), test.outcome.String())
				is.Equal(fmt.Sprint(received.events), fmt.Sprint(memoryengine.Text("r", events)[:test.events]))
				is.True(received.begins <= 1)
				synctest.Wait()
				is.Equal(env.engines.Running("r"), 0)
			})
		})
	}
}
