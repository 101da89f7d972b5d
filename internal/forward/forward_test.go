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

// world is a forwarder before engines a, b and c. "a" is in the forwarder's zone and so is tried first.
type world struct {
	engines   *memoryengine.Engines
	directory *fleet.Directory
	forwarder *forward.Forwarder
	// held is the forwarder's quarantine, nil for none.
	held *quarantine.Quarantine
}

func newWorld(behaviours map[string]memoryengine.Behaviour) *world {
	w := &world{engines: memoryengine.New(), directory: fleet.NewDirectory()}
	for _, id := range []string{"a", "b", "c"} {
		behaviour, ok := behaviours[id]
		if !ok {
			continue
		}
		engine := fleet.Engine{ID: id, Pool: "p", Zone: "far", Slots: 100}
		if id == "a" {
			engine.Zone = "near"
		}
		w.engines.Add(engine, behaviour)
		w.directory.Upsert(engine)
	}
	w.forwarder = forward.New(forward.Config{
		Client: w.engines, Directory: w.directory, Zone: "near", Logger: log.New(io.Discard),
	})
	return w
}

func request(mayRepeat bool) forward.Request {
	return forward.Request{
		Pool: "p", Call: engineapi.Call{Method: http.MethodPost, RequestID: "r", Priority: engineapi.NoPriority},
		Deadline: time.Now().Add(deadline), Patience: aim / 4, Aim: aim, MaxAttempts: 3, MayRepeat: mayRepeat,
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
		most       time.Duration
		runsOfEach int
	}{
		{"a whole answer", behaviours{"a": good}, true, forward.Answered, 200, work, 1},
		{"another engine when one is down", behaviours{"a": down, "b": good}, false, forward.Answered, 200, work, 1},
		{"another engine when one is full", behaviours{"a": full, "b": good}, false, forward.Answered, 200, work, 1},
		{"another engine after a failure, if it may repeat", behaviours{"a": failing, "b": good}, true, forward.Answered, 200, 2 * work, 1},
		{"the failure itself, if it may not", behaviours{"a": failing, "b": good}, false, forward.Answered, 500, work, 1},
		{"the failure itself, if all fail", behaviours{"a": failing, "b": failing, "c": failing}, true, forward.Answered, 500, 4 * work, 1},
		{"another engine after a foreign answer, if it may repeat", behaviours{"a": foreign, "b": good}, true, forward.Answered, 200, 2 * work, 1},
		{"lost after a foreign answer, if it may not", behaviours{"a": foreign, "b": good}, false, forward.Lost, 0, work, 1},
		{"a second engine beside a silent one, if it may repeat", behaviours{"a": silent, "b": good}, true, forward.Answered, 200, aim, 1},
		{"time out on a silent one, if it may not", behaviours{"a": silent, "b": good}, false, forward.TimedOut, 0, deadline, 1},
		{"not run when all are down", behaviours{"a": down, "b": down}, false, forward.NotRun, 0, aim / 2, 0},
		{"not run when all are full", behaviours{"a": full, "b": full}, true, forward.NotRun, 0, aim, 0},
		{"not run without engines", behaviours{}, true, forward.NotRun, 0, aim / 2, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newWorld(test.engines)
				started := time.Now()
				answer := w.forwarder.Do(t.Context(), request(test.mayRepeat))
				is.Equal(answer.Outcome.String(), test.outcome.String())
				if answer.Reply != nil {
					is.Equal(answer.Reply.Status, test.status)
				}
				is.True(time.Since(started) <= test.most)
				perEngine := make(map[string]int)
				for _, run := range w.engines.Runs() {
					perEngine[run.Engine]++
					is.True(run.Remaining > 0 && run.At.Add(run.Remaining).Before(started.Add(deadline+time.Millisecond)))
				}
				for _, runs := range perEngine {
					is.True(runs <= max(1, test.runsOfEach))
				}
				if answer.Outcome == forward.NotRun {
					is.Equal(len(w.engines.Runs()), 0)
					is.True(answer.RetryAfter > 0)
				}
				synctest.Wait()
				is.Equal(w.engines.Running("r"), 0)
			})
		})
	}
}

// TestAttemptsAreBounded checks that a request is never sent to more engines than its route allows.
func TestAttemptsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		failing := memoryengine.Behaviour{Work: work, Failing: true}
		w := newWorld(map[string]memoryengine.Behaviour{"a": failing, "b": failing})
		bounded := request(true)
		bounded.MaxAttempts = 4
		bounded.Patience = deadline
		answer := w.forwarder.Do(t.Context(), bounded)
		is.Equal(answer.Failures, 4)
		is.Equal(len(w.engines.Runs()), 4)
	})
}

// TestACallerWhoLeavesStopsTheWork checks that nothing works on for a caller who has gone.
func TestACallerWhoLeavesStopsTheWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(map[string]memoryengine.Behaviour{"a": {Work: time.Hour}})
		ctx, leave := context.WithCancel(t.Context())
		time.AfterFunc(50*time.Millisecond, leave)
		answer := w.forwarder.Do(ctx, request(true))
		is.Equal(answer.Outcome, forward.Abandoned)
		synctest.Wait()
		is.Equal(w.engines.Running("r"), 0)
	})
}

// TestHedgesAreBounded checks that a pool that is slow as a whole does not get twice the load.
func TestHedgesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		// Two engines have become slow; the third, known to be quick, is full. So every request is worth a hedge.
		slow := memoryengine.Behaviour{Work: aim}
		w := newWorld(map[string]memoryengine.Behaviour{"a": slow, "b": slow, "c": {Full: true}})
		w.directory.Succeeded("c", time.Millisecond)
		const requests = 100
		for range requests {
			is.Equal(w.forwarder.Do(t.Context(), request(true)).Outcome, forward.Answered)
		}
		is.True(len(w.engines.Runs()) > requests)
		is.True(len(w.engines.Runs()) <= requests+requests/8+6)
	})
}

// receiver keeps what a stream brought.
type receiver struct {
	begun  int
	events []string
}

func (r *receiver) Begin(*engineapi.Reply) error {
	r.begun++
	return nil
}

func (r *receiver) Event(event engineapi.Event) error {
	r.events = append(r.events, event.Data)
	return nil
}

func streamRequest(resumable bool, events int) forward.StreamRequest {
	plain := request(resumable)
	plain.Call.Header = http.Header{memoryengine.EventsHeader: {strconv.Itoa(events)}}
	return forward.StreamRequest{Request: plain, Resumable: resumable, Gap: 300 * time.Millisecond}
}

func TestStream(t *testing.T) {
	const events = 10
	good := memoryengine.Behaviour{Pace: work}
	breaking := memoryengine.Behaviour{Pace: work, BreakAfter: 4}
	silent := memoryengine.Behaviour{Pace: time.Hour}
	full := memoryengine.Behaviour{Full: true}
	type behaviours = map[string]memoryengine.Behaviour
	tests := []struct {
		name      string
		engines   behaviours
		resumable bool
		outcome   forward.Outcome
		events    int
	}{
		{"whole", behaviours{"a": good}, false, forward.Answered, events},
		{"resumed after a break", behaviours{"a": breaking, "b": good}, true, forward.Answered, events},
		{"cut short after a break, if it may not be resumed", behaviours{"a": breaking, "b": good}, false, forward.Lost, 4},
		{"another engine when one is full", behaviours{"a": full, "b": good}, false, forward.Answered, events},
		{"not run when all are full", behaviours{"a": full}, false, forward.NotRun, 0},
		{"out of time on a silent one", behaviours{"a": silent}, false, forward.TimedOut, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newWorld(test.engines)
				got := new(receiver)
				answer := w.forwarder.Stream(t.Context(), streamRequest(test.resumable, events), got)
				is.Equal(answer.Outcome.String(), test.outcome.String())
				is.Equal(fmt.Sprint(got.events), fmt.Sprint(memoryengine.Text("r", events)[:test.events]))
				is.True(got.begun <= 1)
				synctest.Wait()
				is.Equal(w.engines.Running("r"), 0)
			})
		})
	}
}
