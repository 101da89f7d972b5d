package gateway

import (
	"context"
	"errors"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"github.com/matryer/is"

	v1 "github.com/hillfork/hillfork/internal/gen/hillfork/v1"
	"github.com/hillfork/hillfork/internal/peer"
	"github.com/hillfork/hillfork/internal/peerapi"
	"github.com/hillfork/hillfork/internal/requestledger"
)

const (
	completed = v1.Outcome_OUTCOME_COMPLETED
	notRunEnd = v1.Outcome_OUTCOME_NOT_RUN
	unknown   = v1.Outcome_OUTCOME_UNKNOWN
	cancelled = v1.Outcome_OUTCOME_CANCELLED
)

func full(retryAfter time.Duration) script {
	return script{refuse: &peer.Error{Code: peer.CodeOverloaded, Message: "full", RetryAfter: retryAfter}}
}

// TestSafeRequest covers what engines and their owners do to a safe request, and what its caller is told.
func TestSafeRequest(t *testing.T) {
	answer := []uint32{1, 2, 3, 4, 5}
	rest := script{events: []peerapi.ExecuteEvent{tokens(2, 3, 4, 5), whole(5)}}
	all := script{events: []peerapi.ExecuteEvent{accepted, tokens(0, 1, 2, 3), tokens(3, 4, 5), whole(5)}}
	wrong := tokens(2, 9)
	wrong.Version = 2
	foreign := tokens(0, 66)
	foreign.RequestID = "another"
	late := tokens(0, 67)
	late.Attempt = 9
	refusedLate := script{events: []peerapi.ExecuteEvent{accepted}, err: &peer.Error{Code: peer.CodeNotReady}}
	cases := []struct {
		name     string
		engines  int
		scripts  []script
		want     v1.Outcome
		got      []uint32
		attempts int
	}{
		{"whole answer", 2, []script{all}, completed, answer, 1},
		{"end carries the last tokens", 2, []script{{events: []peerapi.ExecuteEvent{{Tokens: answer, Version: 5, Outcome: peerapi.OutcomeCompleted}}}}, completed, answer, 1},
		{"another request's and another attempt's events", 2, []script{{events: []peerapi.ExecuteEvent{foreign, tokens(0, 1, 2), late, tokens(2, 3, 4, 5), whole(5)}}}, completed, answer, 1},
		{"duplicate events", 2, []script{{events: []peerapi.ExecuteEvent{tokens(0, 1, 2), tokens(0, 1, 2), tokens(1, 2, 3), tokens(3, 4, 5), whole(5)}}}, completed, answer, 1},
		{"reordered events, the end first", 2, []script{{events: []peerapi.ExecuteEvent{whole(5), tokens(4, 5), tokens(2, 3), tokens(3, 4), tokens(0, 1, 2)}}}, completed, answer, 1},
		{"an event is missing", 2, []script{{events: []peerapi.ExecuteEvent{tokens(0, 1, 2), tokens(4, 5), whole(5)}}, rest}, completed, answer, 2},
		{"answer is longer than its end says", 1, []script{{events: []peerapi.ExecuteEvent{tokens(0, 1, 2), whole(1)}}}, unknown, []uint32{1, 2}, 1},
		{"refused, then run by another engine", 2, []script{full(0), all}, completed, answer, 2},
		{"lost before the first token", 2, []script{{refuse: peer.ErrLost}, all}, completed, answer, 2},
		{"broken off, resumed by another engine", 2, []script{{events: []peerapi.ExecuteEvent{accepted, tokens(0, 1, 2)}, err: peer.ErrLost}, rest}, completed, answer, 2},
		{"stream ends without an outcome", 2, []script{{events: []peerapi.ExecuteEvent{tokens(0, 1, 2)}}, rest}, completed, answer, 2},
		{"weights that the bundle does not accept", 2, []script{{events: []peerapi.ExecuteEvent{tokens(0, 1, 2), wrong}}, rest}, completed, answer, 2},
		{"cancelled", 2, []script{{events: []peerapi.ExecuteEvent{accepted, {Outcome: peerapi.OutcomeCancelled}}}}, cancelled, nil, 1},
		{"no engine", 0, nil, notRunEnd, nil, 0},
		{"all refuse", 3, []script{full(0), full(0), {refuse: peer.ErrNotSent}}, notRunEnd, nil, 3},
		{"engine says not run", 1, []script{{events: []peerapi.ExecuteEvent{accepted, {Outcome: peerapi.OutcomeNotRun}}}}, notRunEnd, nil, 1},
		{"engine says not run after tokens", 1, []script{{events: []peerapi.ExecuteEvent{tokens(0, 1), {Index: 1, Outcome: peerapi.OutcomeNotRun}}}}, unknown, []uint32{1}, 1},
		{"refused after it was accepted", 1, []script{refusedLate}, unknown, nil, 1},
		{"one lost, the others refuse", 3, []script{{refuse: peer.ErrLost}, full(0), full(0)}, unknown, nil, 3},
		{"internal error proves nothing", 1, []script{{refuse: &peer.Error{Code: peer.CodeInternal}}}, unknown, nil, 1},
		{"uncertain error proves nothing", 1, []script{{refuse: &peer.Error{Code: peer.CodeUncertain}}}, unknown, nil, 1},
		{"engine says unknown", 1, []script{{events: []peerapi.ExecuteEvent{{Outcome: peerapi.OutcomeUnknown}}}}, unknown, nil, 1},
		{"engine hangs", 1, []script{{events: []peerapi.ExecuteEvent{accepted}, hang: true}}, unknown, nil, 1},
		{"attempts are bounded", 9, nil, notRunEnd, nil, maxAttempts},
	}
	for _, tt := range cases {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				owners := &fakeOwners{scripts: tt.scripts}
				end, got, err := run(t.Context(), newTestGateway(owners, tt.engines), searchRequest())
				is.NoErr(err)
				is.Equal(end.outcome, tt.want)
				is.Equal(got, tt.got)
				is.Equal(end.tokens, len(got))
				is.Equal(len(owners.requests), tt.attempts)
				is.Equal(tt.want == notRunEnd || tt.want == unknown, end.retryAfter > 0)
				checkAttempts(t, owners.requests)
			})
		})
	}
}

// checkAttempts checks that no two attempts share an engine or a number, and that time budgets only shrink.
func checkAttempts(t *testing.T, requests []peerapi.Execute) {
	t.Helper()
	var engines []string
	for i, request := range requests {
		if slices.Contains(engines, request.Engine) {
			t.Errorf("engine %s was asked twice", request.Engine)
		}
		engines = append(engines, request.Engine)
		if int(request.Attempt) != i+1 || request.RequestID != requests[0].RequestID {
			t.Errorf("attempt %d is %s/%d", i+1, request.RequestID, request.Attempt)
		}
		if i > 0 && request.TimeoutMillis > requests[i-1].TimeoutMillis {
			t.Error("the time budget grew")
		}
		if request.RequestID == "r" {
			t.Error("the caller's own id was used towards an engine")
		}
	}
}

func TestResumeCarriesWhatTheCallerHas(t *testing.T) {
	is := is.New(t)
	owners := &fakeOwners{scripts: []script{
		{events: []peerapi.ExecuteEvent{tokens(0, 1, 2), tokens(3, 4)}, err: peer.ErrLost}, // 3 never came, so 4 is not delivered
		{events: []peerapi.ExecuteEvent{tokens(2, 3, 4), whole(4)}},
	}}
	_, got, err := run(t.Context(), newTestGateway(owners, 2), searchRequest())
	is.NoErr(err)
	is.Equal(got, []uint32{1, 2, 3, 4})
	is.Equal(owners.requests[1].Resume, []uint32{1, 2})
}

// TestGivenUpIsAnsweredAtOnce checks that no time passes between the last refusal and the answer, which tells the shortest
// time after which an engine wants to be asked again.
func TestGivenUpIsAnsweredAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		began := time.Now()
		owners := &fakeOwners{scripts: []script{full(3 * time.Second), full(2 * time.Second)}}
		end, _, err := run(t.Context(), newTestGateway(owners, 2), searchRequest())
		is.NoErr(err)
		is.Equal(end.outcome, notRunEnd)
		is.Equal(end.retryAfter, 2*time.Second)
		is.Equal(time.Since(began), time.Duration(0))
	})
}

// TestQueuedUntilTheDeadlineIsNotRun checks that a request which never left the queue is said not to have run, in time.
func TestQueuedUntilTheDeadlineIsNotRun(t *testing.T) {
	for _, unsafe := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			began := time.Now()
			request := searchRequest()
			request.UnsafeToRepeat = unsafe
			request.TimeoutMillis = 4000
			owners := &fakeOwners{scripts: []script{{queued: true}}}
			owners.resolve = func(_ context.Context, _, response peer.Message) error {
				time.Sleep(travelTime)
				response.(*peerapi.ResolveResult).Outcome = peerapi.OutcomeNotRun
				return nil
			}
			end, _, err := run(t.Context(), newTestGateway(owners, 1), request)
			is.NoErr(err)
			is.Equal(end.outcome, notRunEnd)
			is.True(time.Since(began) < 4*time.Second)
		})
	}
}

// TestRetryBudget lets every attempt fail, and bounds the retries by the workload's ratio.
func TestRetryBudget(t *testing.T) {
	is := is.New(t)
	owners := &fakeOwners{}
	gateway := newTestGateway(owners, 3)
	const requests = 200
	for range requests {
		_, _, err := run(t.Context(), gateway, searchRequest())
		is.NoErr(err)
	}
	retries := len(owners.requests) - requests
	is.True(retries <= retryBurst+requests/2) // ratio 0.5
	is.True(retries >= requests/2)            // and the budget is used

	gateway.budgets.earn("none", 0)
	is.True(!gateway.budgets.spend("none", 0)) // a workload without a ratio makes no retries
}

// TestUnsafeRequest covers what the request ledger answers, and what is asked of it after contact was lost.
func TestUnsafeRequest(t *testing.T) {
	answer := []uint32{1, 2, 3}
	settled := func(outcome peerapi.Outcome, tokens ...uint32) func(context.Context, peer.Message, peer.Message) error {
		return func(_ context.Context, _, response peer.Message) error {
			*response.(*peerapi.ResolveResult) = peerapi.ResolveResult{
				Outcome: outcome, Tokens: tokens, Spans: []peerapi.Span{{From: 0, To: len(tokens), Version: 4}},
			}
			return nil
		}
	}
	outage := func(ctx context.Context, _, _ peer.Message) error {
		<-ctx.Done()
		return ctx.Err()
	}
	lost := script{refuse: peer.ErrLost}
	uncertain := script{refuse: &peer.Error{Code: peer.CodeUncertain}}
	broken := script{events: []peerapi.ExecuteEvent{tokens(0, 1, 2)}, err: peer.ErrLost}
	cases := []struct {
		name    string
		script  script
		resolve func(context.Context, peer.Message, peer.Message) error
		want    v1.Outcome
		got     []uint32
		code    connect.Code
	}{
		{"whole answer", script{events: []peerapi.ExecuteEvent{tokens(0, 1, 2, 3), whole(3)}}, nil, completed, answer, 0},
		{"recorded as not run", script{events: []peerapi.ExecuteEvent{{Outcome: peerapi.OutcomeNotRun}}}, nil, notRunEnd, nil, 0},
		{"recorded as unknown is not asked again", script{events: []peerapi.ExecuteEvent{{Outcome: peerapi.OutcomeUnknown}}}, nil, unknown, nil, 0},
		{"refused for load", full(time.Second), nil, notRunEnd, nil, 0},
		{"never sent", script{refuse: peer.ErrNotSent}, nil, notRunEnd, nil, 0},
		{"other content under the key", script{refuse: &peer.Error{Code: peer.CodeConflict}}, nil, 0, nil, connect.CodeAlreadyExists},
		{"lost, resolved as completed", lost, settled(peerapi.OutcomeCompleted, 1, 2, 3), completed, answer, 0},
		{"lost mid-answer, the rest is resolved", broken, settled(peerapi.OutcomeCompleted, 1, 2, 3), completed, answer, 0},
		{"lost, cancelled before its start", lost, settled(peerapi.OutcomeNotRun), notRunEnd, nil, 0},
		{"uncertain, resolved as unknown", uncertain, settled(peerapi.OutcomeUnknown), unknown, nil, 0},
		{"lost, and nothing can be found out", lost, outage, unknown, nil, 0},
		{"still under way at the deadline", script{hang: true}, outage, unknown, nil, 0},
		{"lost, and a refused resolve proves nothing", lost, func(context.Context, peer.Message, peer.Message) error { return peer.ErrNotSent }, unknown, nil, 0},
	}
	for _, tt := range cases {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				began := time.Now()
				owners := &fakeOwners{scripts: []script{tt.script}, resolve: tt.resolve}
				request := searchRequest()
				request.UnsafeToRepeat = true
				end, got, err := run(t.Context(), newTestGateway(owners, 2), request)
				is.Equal(err != nil, tt.code != 0)
				is.True(err == nil || connect.CodeOf(err) == tt.code)
				is.Equal(end.outcome, tt.want)
				is.Equal(got, tt.got)
				is.Equal(len(owners.requests), 1) // sent once, whatever happens
				is.True(tt.script.hang || time.Since(began) <= resolveTimeout)
				is.True(time.Since(began) <= 20*time.Second) // the caller's deadline
				is.Equal(len(owners.calls) > 0, tt.resolve != nil)
			})
		})
	}
}

// TestResolveNamesTheAsk checks that a lost ask is resolved under its own name and content, and that asks differ.
func TestResolveNamesTheAsk(t *testing.T) {
	is := is.New(t)
	var asked []peerapi.Resolve
	owners := &fakeOwners{scripts: []script{{refuse: peer.ErrLost}, {refuse: peer.ErrLost}}}
	owners.resolve = func(_ context.Context, request, _ peer.Message) error {
		asked = append(asked, *request.(*peerapi.Resolve))
		return errors.New("down")
	}
	gateway := newTestGateway(owners, 1)
	request := searchRequest()
	request.UnsafeToRepeat = true
	for range 2 {
		_, _, err := run(t.Context(), gateway, request)
		is.NoErr(err)
	}
	for i, sent := range owners.requests {
		is.Equal(sent.RequestID, "r")
		is.Equal(asked[i].Ask, sent.Ask)
		is.Equal(asked[i].Digest, requestledger.Digest(sent.Prompt, sent.MaxTokens, sent.Seed))
	}
	is.True(owners.requests[0].Ask != owners.requests[1].Ask)
}
