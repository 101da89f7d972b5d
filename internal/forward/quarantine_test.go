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
	"github.com/hillfork/hillfork/internal/policy"
	"github.com/hillfork/hillfork/internal/quarantine"
	"github.com/hillfork/hillfork/internal/standin/memoryengine"
	"github.com/hillfork/hillfork/internal/standin/memorylog"
	"github.com/matryer/is"
)

// crashingBehaviour returns the behaviour of an engine that crashes under requests with the body "crash".
func crashingBehaviour() memoryengine.Behaviour {
	return memoryengine.Behaviour{Work: work, Pace: work, Crashes: func(call engineapi.Call) bool { return string(call.Body) == "crash" }}
}

// newQuarantineEnv returns a testEnv of three engines with crashingBehaviour and a forwarder with a quarantine.
func newQuarantineEnv(t *testing.T) *testEnv {
	env := newTestEnv(map[string]memoryengine.Behaviour{"a": crashingBehaviour(), "b": crashingBehaviour(), "c": crashingBehaviour()})
	logger := log.New(io.Discard)
	store := memorylog.New(memorylog.Config{Partitions: 1, Delay: 3 * time.Millisecond}).For("node")
	guard := quarantine.New(quarantine.Config{Log: store, Prober: env.engines, Directory: env.directory, Machine: "node", Logger: logger})
	follower := follow.New(follow.Config{Log: store, Partition: keyedlog.Crashes, Applier: guard, Wait: time.Second, Logger: logger})
	guard.Attach(follower)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{}, 2)
	go func() { follower.Run(ctx); done <- struct{}{} }()
	go func() { guard.Run(ctx); done <- struct{}{} }()
	t.Cleanup(func() {
		cancel()
		<-done
		<-done
	})
	env.quarantine = guard
	env.forwarder = forward.New(forward.Config{
		Client: env.engines, Directory: env.directory, Quarantine: guard, Zone: "near", Logger: logger,
	})
	return env
}

func crashRequest(mayRepeat bool) forward.Request {
	crash := request(mayRepeat)
	crash.Call.Body = []byte("crash")
	return crash
}

// TestCrashingRequestIsWithheld checks that a request ends after two engines have crashed under it, although MaxAttempts allows more, that
// the next request of the same content is withheld without delay, and that requests of other content are still answered.
func TestCrashingRequestIsWithheld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		env := newQuarantineEnv(t)
		answer := env.forwarder.Do(t.Context(), crashRequest(true))
		is.Equal(answer.Outcome, forward.Lost)
		is.Equal(answer.Attempts, 2)
		is.Equal(len(env.engines.Runs()), 2)
		started := time.Now()
		answer = env.forwarder.Do(t.Context(), crashRequest(true))
		is.Equal(answer.Outcome, forward.Withheld)
		is.True(answer.RetryAfter > 0)
		is.Equal(answer.Content, quarantine.ContentOf(crashRequest(true).Call).String())
		is.Equal(time.Since(started), time.Duration(0))
		is.Equal(len(env.engines.Runs()), 2)
		is.Equal(env.forwarder.Do(t.Context(), request(true)).Outcome, forward.Answered)
	})
}

// TestCrashingUnrepeatableRequestIsWithheld checks that crashes are counted over several requests of one content that make one attempt each.
func TestCrashingUnrepeatableRequestIsWithheld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		env := newQuarantineEnv(t)
		for range 2 {
			is.Equal(env.forwarder.Do(t.Context(), crashRequest(false)).Outcome, forward.Lost)
			time.Sleep(time.Second)
		}
		is.Equal(env.forwarder.Do(t.Context(), crashRequest(false)).Outcome, forward.Withheld)
		is.Equal(len(env.engines.Runs()), 2)
	})
}

// TestCrashingStreamIsWithheld checks that a resumable stream ends after two engines have crashed under it and that the next stream of the
// same content is withheld.
func TestCrashingStreamIsWithheld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		env := newQuarantineEnv(t)
		stream := streamRequest(true, 10)
		stream.Call.Body = []byte("crash")
		is.Equal(env.forwarder.Stream(t.Context(), stream, new(receiver)).Outcome, forward.Lost)
		is.Equal(len(env.engines.Runs()), 2)
		is.Equal(env.forwarder.Stream(t.Context(), stream, new(receiver)).Outcome, forward.Withheld)
		is.Equal(len(env.engines.Runs()), 2)
	})
}

// TestSuspectRequestIsNotHedged checks that a request under which an engine has crashed runs on one engine at a time, however slow that is.
func TestSuspectRequestIsNotHedged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		env := newQuarantineEnv(t)
		env.forwarder.Do(t.Context(), crashRequest(false))
		time.Sleep(time.Second)
		slow := memoryengine.Behaviour{Work: 2 * aim}
		env.engines.Behave("b", slow)
		env.engines.Behave("c", slow)
		is.Equal(env.forwarder.Do(t.Context(), crashRequest(true)).Outcome, forward.Answered)
		is.Equal(len(env.engines.Runs()), 2)
		// The answer has cleared the content, so requests of it are hedged again.
		env.directory.Succeeded("b", time.Millisecond)
		env.directory.Succeeded("c", time.Millisecond)
		env.forwarder.Do(t.Context(), crashRequest(true))
		is.Equal(len(env.engines.Runs()), 4)
	})
}

// TestRequestIsRepeatedAfterOneCrash checks that a request is answered by a second engine after the first has crashed.
func TestRequestIsRepeatedAfterOneCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		env := newQuarantineEnv(t)
		env.engines.Behave("b", memoryengine.Behaviour{Work: work})
		env.engines.Behave("c", memoryengine.Behaviour{Work: work})
		is.Equal(env.forwarder.Do(t.Context(), crashRequest(true)).Outcome, forward.Answered)
	})
}

// TestCrashLimitOfScore checks that a call that scores an item has a higher crash limit than a caller's request.
func TestCrashLimitOfScore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		env := newQuarantineEnv(t)
		limited := crashRequest(true)
		limited.CrashClass = policy.CrashScore
		is.Equal(env.forwarder.Do(t.Context(), limited).Attempts, 3)
		is.Equal(env.forwarder.Do(t.Context(), limited).Outcome, forward.Withheld)
	})
}

// TestHangingRequestIsWithheld checks that a request is withheld after it has timed out at two engines that were replaced afterwards.
func TestHangingRequestIsWithheld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		env := newQuarantineEnv(t)
		for _, id := range []string{"a", "b", "c"} {
			env.engines.Behave(id, memoryengine.Behaviour{Silent: true})
		}
		for range 2 {
			answer := env.forwarder.Do(t.Context(), crashRequest(false))
			is.Equal(answer.Outcome, forward.TimedOut)
			synctest.Wait()
			engine, _ := env.directory.Engine(answer.Tried[0])
			env.directory.Remove(engine.ID)
			engine.ID = "next-" + engine.ID
			env.directory.Upsert(engine)
			env.engines.Add(engine, memoryengine.Behaviour{Work: work})
			time.Sleep(time.Second)
			env.directory.Remove(engine.ID)
		}
		is.Equal(env.forwarder.Do(t.Context(), crashRequest(false)).Outcome, forward.Withheld)
	})
}

// TestSlowerHedgedAttemptIsNotSilent checks that an engine whose attempt was canceled because a hedged attempt was answered first is not
// counted as silent, even if another engine replaces it.
func TestSlowerHedgedAttemptIsNotSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		env := newQuarantineEnv(t)
		env.engines.Behave("a", memoryengine.Behaviour{Silent: true})
		env.engines.Behave("b", memoryengine.Behaviour{Work: work})
		env.engines.Behave("c", memoryengine.Behaviour{Work: work})
		is.Equal(env.forwarder.Do(t.Context(), crashRequest(true)).Outcome, forward.Answered)
		engine, _ := env.directory.Engine("a")
		engine.ID = "next-a"
		env.directory.Upsert(engine)
		time.Sleep(time.Second)
		is.Equal(len(env.engines.Runs()), 2)
		is.Equal(env.quarantine.Contents(), 0)
	})
}
