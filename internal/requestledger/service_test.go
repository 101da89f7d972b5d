package requestledger

import (
	"context"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/hillfork/hillfork/internal/peer"
	"github.com/hillfork/hillfork/internal/peerapi"
)

var (
	completed = askResult{outcome: peerapi.OutcomeCompleted, tokens: engineAnswer}
	notRun    = askResult{outcome: peerapi.OutcomeNotRun}
	unknown   = askResult{outcome: peerapi.OutcomeUnknown}
	uncertain = askResult{refused: true, code: peer.CodeUncertain}
	conflict  = askResult{refused: true, code: peer.CodeConflict}
)

// step is one ask by a caller to one of the nodes.
type step struct {
	ask     uint64
	resolve bool
	// node is the node that receives the ask; a node that receives its first ask takes over the shard.
	node int
	seed uint64
	want askResult
}

// TestAsksWithFaults sends asks of one key one after the other, with log and dispatch faults in the given order, and
// checks each result and that no engine runs the request twice.
func TestAsksWithFaults(t *testing.T) {
	cases := []struct {
		name     string
		log      []logFault
		dispatch []dispatchFault
		steps    []step
		starts   int
	}{
		{"complete answer is returned to another ask", nil, nil,
			[]step{{ask: 1, want: completed}, {ask: 2, want: completed}, {ask: 3, resolve: true, want: completed}}, 1},
		{"complete answer is returned by the next owner", nil, nil,
			[]step{{ask: 1, want: completed}, {ask: 2, node: 1, want: completed}}, 1},
		{"other content is a conflict", nil, nil,
			[]step{{ask: 1, want: completed}, {ask: 2, seed: 5, want: conflict}, {ask: 3, resolve: true, seed: 5, want: conflict}}, 1},
		{"a refusing engine is replaced by another", nil, []dispatchFault{dispatchRefused, dispatchNotSent},
			[]step{{ask: 1, want: completed}}, 1},
		{"all engines refuse; the same ask stays not run, a new one runs", nil,
			[]dispatchFault{dispatchRefused, dispatchRefused, dispatchRefused},
			[]step{{ask: 1, want: notRun}, {ask: 1, want: notRun}, {ask: 2, want: completed}, {ask: 1, want: notRun}}, 1},
		{"a lost dispatch stays unknown", nil, []dispatchFault{dispatchLost},
			[]step{{ask: 1, want: unknown}, {ask: 2, want: unknown}, {ask: 3, node: 1, want: unknown}, {ask: 1, resolve: true, want: unknown}}, 1},
		{"an interrupted answer is unknown", nil, []dispatchFault{dispatchBroken},
			[]step{{ask: 1, want: unknown}, {ask: 2, want: unknown}}, 1},
		{"a refusal after a lost dispatch proves nothing", nil, []dispatchFault{dispatchRefused, dispatchLost},
			[]step{{ask: 1, want: unknown}}, 1},
		{"a resolved ask is never run, a new one is", nil, nil,
			[]step{{ask: 1, resolve: true, want: notRun}, {ask: 1, want: notRun}, {ask: 1, node: 1, want: notRun}, {ask: 2, node: 1, want: completed}, {ask: 1, resolve: true, node: 1, want: notRun}}, 1},
		{"a Start whose response was lost is closed as not run", []logFault{logLostResponse}, nil,
			[]step{{ask: 1, want: uncertain}, {ask: 1, resolve: true, want: notRun}, {ask: 1, want: notRun}, {ask: 2, want: completed}}, 1},
		{"a Start that was lost is cancelled", []logFault{logLostRequest}, nil,
			[]step{{ask: 1, want: uncertain}, {ask: 1, resolve: true, want: notRun}, {ask: 2, want: completed}}, 1},
		{"a Start whose response was lost is unknown to the next owner", []logFault{logLostResponse}, nil,
			[]step{{ask: 1, want: uncertain}, {ask: 1, resolve: true, node: 1, want: unknown}, {ask: 2, node: 1, want: unknown}}, 0},
		{"a Finish whose response was lost is written again", []logFault{logOK, logLostResponse}, nil,
			[]step{{ask: 1, want: completed}, {ask: 2, want: completed}}, 1},
		{"a Finish that was lost is written again", []logFault{logOK, logLostRequest, logLostRequest}, nil,
			[]step{{ask: 1, want: completed}, {ask: 2, node: 1, want: completed}}, 1},
		{"a Cancel whose response was lost is uncertain, then applies", []logFault{logLostResponse}, nil,
			[]step{{ask: 1, resolve: true, want: uncertain}, {ask: 1, want: notRun}, {ask: 1, resolve: true, want: notRun}}, 0},
	}
	for _, tt := range cases {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				log := &fakeLog{fault: anyKind(inOrder(tt.log))}
				engines := &fakeEngines{fault: inOrder(tt.dispatch)}
				nodes := make(map[int]*Service)
				for i, step := range tt.steps {
					if nodes[step.node] == nil {
						nodes[step.node] = New(Config{Opener: &fakeNode{log: log}, Dispatcher: engines, Bundles: fakeBundles{}})
						defer nodes[step.node].Close()
					}
					asked := request("key", step.ask)
					asked.Seed = step.seed
					got := askResult{}
					if step.resolve {
						got = resolve(t.Context(), nodes[step.node], asked)
					} else {
						got = execute(t.Context(), nodes[step.node], asked)
					}
					if !equal(got, step.want) {
						t.Errorf("step %d: got %+v, want %+v", i, got, step.want)
					}
				}
				is.Equal(engines.total(), tt.starts)
			})
		})
	}
}

// inOrder returns a function that returns the given faults one by one, and then no fault.
func inOrder[F ~uint8](faults []F) func() F {
	return func() F {
		if len(faults) == 0 {
			return 0
		}
		next := faults[0]
		faults = faults[1:]
		return next
	}
}

func anyKind(next func() logFault) func(uint8) logFault {
	return func(uint8) logFault { return next() }
}

func equal(a, b askResult) bool {
	if a.outcome != b.outcome || a.refused != b.refused || a.code != b.code || len(a.tokens) != len(b.tokens) {
		return false
	}
	for i := range a.tokens {
		if a.tokens[i] != b.tokens[i] {
			return false
		}
	}
	return true
}

// TestOwnerSupersededAtFailpoint pauses an owner at every failpoint, lets a second owner take over and answer, and then
// resumes the first one, which still assumes that it owns the shard. A resumed owner must not run a request that was
// answered as not run.
func TestOwnerSupersededAtFailpoint(t *testing.T) {
	refusing := []dispatchFault{dispatchRefused, dispatchRefused, dispatchRefused}
	cases := []struct {
		at       Failpoint
		resolves bool // the first owner is paused in a Resolve
		dispatch []dispatchFault
		log      []logFault
		want     askResult // the second owner's answer to a Resolve of the ask
		starts   int       // engine starts in total, including those of a new ask at the end
		again    askResult // the result of the new ask
	}{
		{at: BeforeStart, want: notRun, starts: 1, again: completed},
		{at: AfterStart, want: unknown, starts: 1, again: unknown}, // the first owner is resumed and dispatches
		{at: AfterDispatch, want: unknown, starts: 1, again: unknown},
		{at: BeforeFinish, want: unknown, starts: 1, again: unknown},
		{at: AfterFinish, want: completed, starts: 1, again: completed},
		{at: AfterNotRun, dispatch: refusing, want: unknown, starts: 0, again: unknown},
		{at: BeforeFinish, dispatch: refusing, want: unknown, starts: 0, again: unknown},
		{at: AfterFinish, dispatch: refusing, want: notRun, starts: 1, again: completed},
		{at: BeforeCancel, resolves: true, want: notRun, starts: 1, again: completed},
		{at: AfterCancel, resolves: true, want: notRun, starts: 1, again: completed},
	}
	for _, tt := range cases {
		t.Run(string(tt.at), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				log := &fakeLog{}
				engines := &fakeEngines{fault: inOrder(tt.dispatch)}
				resume := make(chan struct{})
				reached := false
				first := New(Config{Opener: &fakeNode{log: log}, Dispatcher: engines, Bundles: fakeBundles{}, Failpoint: func(at Failpoint) {
					if at == tt.at && !reached {
						reached = true
						<-resume
					}
				}})
				defer first.Close()
				asked := request("key", 1)
				var firstEnd askResult
				firstDone := make(chan struct{})
				go func() {
					defer close(firstDone)
					if tt.resolves {
						firstEnd = resolve(t.Context(), first, asked)
					} else {
						firstEnd = execute(t.Context(), first, asked)
					}
				}()
				synctest.Wait()
				is.True(reached)

				second := New(Config{Opener: &fakeNode{log: log}, Dispatcher: engines, Bundles: fakeBundles{}})
				defer second.Close()
				if got := resolve(t.Context(), second, asked); !equal(got, tt.want) {
					t.Errorf("second owner: got %+v, want %+v", got, tt.want)
				}
				close(resume)
				<-firstDone
				if tt.want.outcome == peerapi.OutcomeNotRun {
					is.Equal(engines.total(), 0)                           // answered as not run, and never run later
					is.True(firstEnd.outcome != peerapi.OutcomeCompleted)  // nor answered as completed by the resumed owner
					is.Equal(execute(t.Context(), second, asked), tt.want) // nor run by a delayed execution of the same ask
				}
				if tt.want.outcome == peerapi.OutcomeUnknown && firstEnd.outcome == peerapi.OutcomeNotRun {
					t.Error("the first owner answered not run after it was superseded")
				}
				if got := execute(t.Context(), second, request("key", 2)); !equal(got, tt.again) {
					t.Errorf("new ask: got %+v, want %+v", got, tt.again)
				}
				is.Equal(engines.total(), tt.starts)
			})
		})
	}
}

// TestConcurrentAsksShareRun sends asks for a key that is already running; all of them wait for the one run.
func TestConcurrentAsksShareRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		engines := &fakeEngines{gate: make(chan struct{})}
		service := New(Config{Opener: &fakeNode{log: &fakeLog{}}, Dispatcher: engines, Bundles: fakeBundles{}})
		defer service.Close()
		ends := make(chan askResult, 4)
		callerCtx, disconnect := context.WithCancel(t.Context())
		for ask := range uint64(3) {
			go func() { ends <- execute(t.Context(), service, request("key", ask+1)) }()
		}
		go func() { ends <- execute(callerCtx, service, request("key", 9)) }()
		synctest.Wait()
		disconnect()
		is.Equal(<-ends, uncertain) // a caller that disconnects does not stop the run
		close(engines.gate)
		for range 3 {
			is.True(equal(<-ends, completed))
		}
		is.Equal(engines.total(), 1)
	})
}

// TestCallerTimeoutDoesNotStopRun checks a run that takes longer than its caller waits: it finishes and a later ask
// gets the answer. If the engine never answers, the request ends as unknown.
func TestCallerTimeoutDoesNotStopRun(t *testing.T) {
	for _, hangs := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			engines := &fakeEngines{gate: make(chan struct{})}
			service := New(Config{Opener: &fakeNode{log: &fakeLog{}}, Dispatcher: engines, Bundles: fakeBundles{}})
			defer service.Close()
			callerCtx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			shortRequest := request("key", 1)
			shortRequest.TimeoutMillis = 1000
			is.True(equal(execute(callerCtx, service, shortRequest), uncertain))
			want := unknown
			if !hangs {
				time.AfterFunc(10*time.Second, func() { close(engines.gate) })
				want = completed
			}
			is.True(equal(execute(t.Context(), service, request("key", 2)), want))
			is.Equal(engines.total(), 1)
		})
	}
}

// TestQueuedUntilDeadlineIsNotRun keeps a request in an engine's queue for the whole timeout of its caller. The caller
// must still receive the answer that the request did not run.
func TestQueuedUntilDeadlineIsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		engines := &fakeEngines{fault: func() dispatchFault { return dispatchQueued }}
		service := New(Config{Opener: &fakeNode{log: &fakeLog{}}, Dispatcher: engines, Bundles: fakeBundles{}})
		defer service.Close()
		shortRequest := request("key", 1)
		shortRequest.TimeoutMillis = 4000 // shorter than the workload's timeout
		callerCtx, cancel := context.WithTimeout(t.Context(), 4*time.Second)
		defer cancel()
		is.Equal(execute(callerCtx, service, shortRequest).outcome, peerapi.OutcomeNotRun)
	})
}

// TestDelayedStartAppend delays the append of a Start whose outcome was uncertain until each later point of the
// history: the request must still run only once.
func TestDelayedStartAppend(t *testing.T) {
	for _, deliveredBefore := range []int{1, 2, 3} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			log := &fakeLog{fault: anyKind(inOrder([]logFault{logDelayed}))}
			engines := &fakeEngines{}
			service := New(Config{Opener: &fakeNode{log: log}, Dispatcher: engines, Bundles: fakeBundles{}})
			defer service.Close()
			asks := []func() askResult{
				func() askResult { return execute(t.Context(), service, request("key", 1)) },
				func() askResult { return resolve(t.Context(), service, request("key", 1)) },
				func() askResult { return execute(t.Context(), service, request("key", 2)) },
				func() askResult { return execute(t.Context(), service, request("key", 1)) },
			}
			wants := []askResult{uncertain, notRun, completed, notRun}
			for i, ask := range asks {
				if i == deliveredBefore {
					log.deliverDelayed()
				}
				if got := ask(); !equal(got, wants[i]) {
					t.Errorf("delivered before %d: ask %d got %+v, want %+v", deliveredBefore, i, got, wants[i])
				}
			}
			is.Equal(engines.total(), 1)
		})
	}
}

// TestUnrecordedFinishIsUnknown makes the log drop the Finish of a request that ran: the request must never be answered
// as not run.
func TestUnrecordedFinishIsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := &fakeLog{fault: func(kind uint8) logFault {
			if kind == kindFinish {
				return logLostRequest
			}
			return logOK
		}}
		engines := &fakeEngines{}
		service := New(Config{Opener: &fakeNode{log: log}, Dispatcher: engines, Bundles: fakeBundles{}})
		defer service.Close()
		is.True(equal(execute(t.Context(), service, request("key", 1)), uncertain))
		log.fault = nil
		is.True(equal(resolve(t.Context(), service, request("key", 1)), unknown))
		is.True(equal(execute(t.Context(), service, request("key", 2)), unknown))
		is.Equal(engines.total(), 1)
	})
}

// TestHandoverWaitsForRun hands the shard over, or drains the node, while a request runs: the run must not be cut off,
// and no other run may start.
func TestHandoverWaitsForRun(t *testing.T) {
	for _, stops := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			engines := &fakeEngines{gate: make(chan struct{})}
			log := &fakeLog{}
			service := New(Config{Opener: &fakeNode{log: log}, Dispatcher: engines, Bundles: fakeBundles{}})
			defer service.Close()
			running := make(chan askResult, 1)
			go func() { running <- execute(t.Context(), service, request("key", 1)) }()
			synctest.Wait()
			settled := make(chan struct{})
			go func() {
				defer close(settled)
				if stops {
					is.NoErr(service.Drain(t.Context()))
					return
				}
				for index := range Shards {
					service.OnHandover(t.Context(), StreamName("filing", index))
				}
			}()
			synctest.Wait()
			select {
			case <-settled:
				t.Error("the shard was released while a request was running")
			default:
			}
			// Finds another request id in the same shard.
			other := request("key", 1)
			for i := 0; StreamOf("filing", other.RequestID) != StreamOf("filing", "key") || other.RequestID == "key"; i++ {
				other.RequestID = strconv.Itoa(i)
			}
			is.Equal(execute(t.Context(), service, other), askResult{refused: true, code: peer.CodeNotReady})
			close(engines.gate)
			<-settled
			is.True(equal(<-running, completed))
			is.Equal(engines.total(), 1)

			next := New(Config{Opener: &fakeNode{log: log}, Dispatcher: engines, Bundles: fakeBundles{}})
			defer next.Close()
			is.True(equal(execute(t.Context(), next, request("key", 2)), completed))
			is.True(equal(execute(t.Context(), next, other), completed))
			is.Equal(engines.total(), 2)
		})
	}
}

// TestAnswerForwardedAfterTakeover has another owner take over the shard while a request runs. The answer must not be
// lost with the epoch: the first owner forwards it to the new owner.
func TestAnswerForwardedAfterTakeover(t *testing.T) {
	for name, tt := range map[string]struct {
		dispatch dispatchFault
		first    askResult
		after    askResult
	}{
		"complete answer":    {dispatchOK, completed, completed},
		"broken answer":      {dispatchBroken, unknown, unknown},
		"all engines refuse": {dispatchRefused, unknown, unknown},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				log := &fakeLog{}
				engines := &fakeEngines{fault: func() dispatchFault { return tt.dispatch }}
				second := New(Config{Opener: &fakeNode{log: log}, Dispatcher: engines, Bundles: fakeBundles{}})
				defer second.Close()
				resume := make(chan struct{})
				first := New(Config{
					Opener: &fakeNode{log: log}, Dispatcher: engines, Bundles: fakeBundles{},
					Owners: fakeOwners{func() *Service { return second }},
					Failpoint: func(at Failpoint) {
						if at == BeforeFinish {
							<-resume
						}
					},
				})
				defer first.Close()
				firstEnd := make(chan askResult, 1)
				go func() { firstEnd <- execute(t.Context(), first, request("key", 1)) }()
				synctest.Wait()
				is.True(equal(resolve(t.Context(), second, request("key", 1)), unknown))
				close(resume)
				is.True(equal(<-firstEnd, tt.first))
				is.True(equal(execute(t.Context(), second, request("key", 2)), tt.after))
				third := New(Config{Opener: &fakeNode{log: log}, Dispatcher: engines, Bundles: fakeBundles{}})
				defer third.Close()
				is.True(equal(execute(t.Context(), third, request("key", 3)), tt.after))
				is.True(engines.total() <= 1)
			})
		})
	}
}

// TestMaxTokensLimit checks that a request whose answer could be too long to record is refused before it is dispatched.
func TestMaxTokensLimit(t *testing.T) {
	is := is.New(t)
	engines := &fakeEngines{}
	service := New(Config{Opener: &fakeNode{log: &fakeLog{}}, Dispatcher: engines, Bundles: fakeBundles{}})
	defer service.Close()
	long := request("key", 1)
	long.MaxTokens = MaxRecordedTokens + 1
	is.Equal(execute(t.Context(), service, long), askResult{refused: true, code: peer.CodeInvalid})
	is.Equal(engines.total(), 0)
}
