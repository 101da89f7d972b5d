package forward_test

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/hillfork/hillfork/internal/engineapi"
	"github.com/hillfork/hillfork/internal/follow"
	"github.com/hillfork/hillfork/internal/forward"
	"github.com/hillfork/hillfork/internal/keyedlog"
	"github.com/hillfork/hillfork/internal/quarantine"
	"github.com/hillfork/hillfork/internal/standin/memoryengine"
	"github.com/hillfork/hillfork/internal/standin/memorylog"
	"github.com/matryer/is"
)

// crashing is how an engine behaves that crashes under requests of the body "crash".
func crashing() memoryengine.Behaviour {
	return memoryengine.Behaviour{Work: work, Pace: work, Crashes: func(call engineapi.Call) bool { return string(call.Body) == "crash" }}
}

// quarantinedWorld is a world of three engines that a request crashes, whose forwarder has a quarantine.
func quarantinedWorld(t *testing.T) *world {
	w := newWorld(map[string]memoryengine.Behaviour{"a": crashing(), "b": crashing(), "c": crashing()})
	logger := log.New(io.Discard)
	store := memorylog.New(memorylog.Config{Partitions: 1, Delay: 3 * time.Millisecond}).For("node")
	held := quarantine.New(quarantine.Config{Log: store, Prober: w.engines, Directory: w.directory, Machine: "node", Logger: logger})
	follower := follow.New(follow.Config{Log: store, Partition: keyedlog.Crashes, Applier: held, Wait: time.Second, Logger: logger})
	held.Attach(follower)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{}, 2)
	go func() { follower.Run(ctx); done <- struct{}{} }()
	go func() { held.Run(ctx); done <- struct{}{} }()
	t.Cleanup(func() {
		cancel()
		<-done
		<-done
	})
	w.held = held
	w.forwarder = forward.New(forward.Config{
		Client: w.engines, Directory: w.directory, Quarantine: held, Zone: "near", Logger: logger,
	})
	return w
}

func crashRequest(mayRepeat bool) forward.Request {
	crash := request(mayRepeat)
	crash.Call.Body = []byte("crash")
	return crash
}

// TestARequestThatCrashesEnginesIsWithheld checks that a request ends after two engines have, whatever its route allows, that the next
// of its like is refused at once as not run, and that others go on.
func TestARequestThatCrashesEnginesIsWithheld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := quarantinedWorld(t)
		answer := w.forwarder.Do(t.Context(), crashRequest(true))
		is.Equal(answer.Outcome, forward.Lost)
		is.Equal(answer.Attempts, 2)
		is.Equal(len(w.engines.Runs()), 2)
		started := time.Now()
		answer = w.forwarder.Do(t.Context(), crashRequest(true))
		is.Equal(answer.Outcome, forward.Withheld)
		is.True(answer.RetryAfter > 0)
		is.Equal(answer.Content, quarantine.ContentOf(crashRequest(true).Call).String())
		is.Equal(time.Since(started), time.Duration(0))
		is.Equal(len(w.engines.Runs()), 2)
		is.Equal(w.forwarder.Do(t.Context(), request(true)).Outcome, forward.Answered)
	})
}

// TestARequestThatMayNotRepeatIsWithheldToo checks that ends are counted over attempts that may not be repeated.
func TestARequestThatMayNotRepeatIsWithheldToo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := quarantinedWorld(t)
		for range 2 {
			is.Equal(w.forwarder.Do(t.Context(), crashRequest(false)).Outcome, forward.Lost)
			time.Sleep(time.Second)
		}
		is.Equal(w.forwarder.Do(t.Context(), crashRequest(false)).Outcome, forward.Withheld)
		is.Equal(len(w.engines.Runs()), 2)
	})
}

// TestAStreamThatCrashesEnginesIsWithheld checks the same of a stream that may be resumed.
func TestAStreamThatCrashesEnginesIsWithheld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := quarantinedWorld(t)
		stream := streamRequest(true, 10)
		stream.Call.Body = []byte("crash")
		is.Equal(w.forwarder.Stream(t.Context(), stream, new(receiver)).Outcome, forward.Lost)
		is.Equal(len(w.engines.Runs()), 2)
		is.Equal(w.forwarder.Stream(t.Context(), stream, new(receiver)).Outcome, forward.Withheld)
		is.Equal(len(w.engines.Runs()), 2)
	})
}

// TestASuspectIsNotHedged checks that a request under which an engine ended goes to one engine at a time, however slow that is.
func TestASuspectIsNotHedged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := quarantinedWorld(t)
		w.forwarder.Do(t.Context(), crashRequest(false))
		time.Sleep(time.Second)
		slow := memoryengine.Behaviour{Work: 2 * aim}
		w.engines.Behave("b", slow)
		w.engines.Behave("c", slow)
		is.Equal(w.forwarder.Do(t.Context(), crashRequest(true)).Outcome, forward.Answered)
		is.Equal(len(w.engines.Runs()), 2)
		// The answer has cleared it: its like is hedged again.
		w.directory.Succeeded("b", time.Millisecond)
		w.directory.Succeeded("c", time.Millisecond)
		w.forwarder.Do(t.Context(), crashRequest(true))
		is.Equal(len(w.engines.Runs()), 4)
	})
}

// TestOneEndIsRepeated checks that a request whose engine ends by chance is answered by another.
func TestOneEndIsRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := quarantinedWorld(t)
		w.engines.Behave("b", memoryengine.Behaviour{Work: work})
		w.engines.Behave("c", memoryengine.Behaviour{Work: work})
		is.Equal(w.forwarder.Do(t.Context(), crashRequest(true)).Outcome, forward.Answered)
	})
}

// TestStrikesOfARequest checks that a request may be given more ends than usual.
func TestStrikesOfARequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := quarantinedWorld(t)
		patient := crashRequest(true)
		patient.Strikes = 3
		is.Equal(w.forwarder.Do(t.Context(), patient).Attempts, 3)
		is.Equal(w.forwarder.Do(t.Context(), patient).Outcome, forward.Withheld)
	})
}

// TestARequestThatHangsEnginesIsWithheld has requests time out at engines that are replaced afterwards.
func TestARequestThatHangsEnginesIsWithheld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := quarantinedWorld(t)
		for _, id := range []string{"a", "b", "c"} {
			w.engines.Behave(id, memoryengine.Behaviour{Silent: true})
		}
		for range 2 {
			answer := w.forwarder.Do(t.Context(), crashRequest(false))
			is.Equal(answer.Outcome, forward.TimedOut)
			synctest.Wait()
			engine, _ := w.directory.Engine(answer.Tried[0])
			w.directory.Remove(engine.ID)
			engine.ID = "next-" + engine.ID
			w.directory.Upsert(engine)
			w.engines.Add(engine, memoryengine.Behaviour{Work: work})
			time.Sleep(time.Second)
			w.directory.Remove(engine.ID)
		}
		is.Equal(w.forwarder.Do(t.Context(), crashRequest(false)).Outcome, forward.Withheld)
	})
}

// TestALoserOfARaceIsNotSilent checks that an engine which was slower than another at the same request does not count for it.
func TestALoserOfARaceIsNotSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := quarantinedWorld(t)
		w.engines.Behave("a", memoryengine.Behaviour{Silent: true})
		w.engines.Behave("b", memoryengine.Behaviour{Work: work})
		w.engines.Behave("c", memoryengine.Behaviour{Work: work})
		is.Equal(w.forwarder.Do(t.Context(), crashRequest(true)).Outcome, forward.Answered)
		engine, _ := w.directory.Engine("a")
		engine.ID = "next-a"
		w.directory.Upsert(engine)
		time.Sleep(time.Second)
		is.Equal(len(w.engines.Runs()), 2)
		is.Equal(w.held.Contents(), 0)
	})
}
