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

func overloaded(retryAfter time.Duration) script {
	return script{openErr: &peer.Error{Code: peer.CodeOverloaded, Message: "full", RetryAfter: retryAfter}}
}

// TestSafeRequest checks the outcome, tokens and number of attempts of a safe request for responses and failures of
// engines and their owners.
func TestSafeRequest(t *testing.T) {
	answer := []uint32{1, 2, 3, 4, 5}
	rest := script{events: []peerapi.ExecuteEvent{tokens(2, 3, 4, 5), completedEnd(5)}}
	all := script{events: []peerapi.ExecuteEvent{accepted, tokens(0, 1, 2, 3), tokens(3, 4, 5), completedEnd(5)}}
	wrong := tokens(2, 9)
	wrong.Version = 2
	foreign := tokens(0, 66)
	foreign.RequestID = "another"
	late := tokens(0, 67)
	late.Attempt = 9
	rejectedLate := script{events: []peerapi.ExecuteEvent{accepted}, err: &peer.Error{Code: peer.CodeNotReady}}
	cases := []struct {
		name     string
		engines  int
		scripts  []script
		want     v1.Outcome
		got      []uint32
		attempts int
	}{
		{"complete answer", 2, []script{all}, completed, answer, 1},
		{"end carries the last tokens", 2, []script{{events: []peerapi.ExecuteEvent{{Tokens: answer, Version: 5, Outcome: peerapi.OutcomeCompleted}}}}, completed, answer, 1},
		{"another request's and another attempt's events", 2, []script{{events: []peerapi.ExecuteEvent{foreign, tokens(0, 1, 2), late, tokens(2, 3, 4, 5), completedEnd(5)}}}, completed, answer, 1},
		{"duplicate events", 2, []script{{events: []peerapi.ExecuteEvent{tokens(0, 1, 2), tokens(0, 1, 2), tokens(1, 2, 3), tokens(3, 4, 5), completedEnd(5)}}}, completed, answer, 1},
		{"reordered events, the end first", 2, []script{{events: []peerapi.ExecuteEvent{completedEnd(5), tokens(4, 5), tokens(2, 3), tokens(3, 4), tokens(0, 1, 2)}}}, completed, answer, 1},
		{"an event is missing", 2, []script{{events: []peerapi.ExecuteEvent{tokens(0, 1, 2), tokens(4, 5), completedEnd(5)}}, rest}, completed, answer, 2},
		{"answer is longer than its end says", 1, []script{{events: []peerapi.ExecuteEvent{tokens(0, 1, 2), completedEnd(1)}}}, unknown, []uint32{1, 2}, 1},
		{"rejected, then run by another engine", 2, []script{overloaded(0), all}, completed, answer, 2},
		{"lost before the first token", 2, []script{{openErr: peer.ErrLost}, all}, completed, answer, 2},
		{"lost after the first tokens, resumed by another engine", 2, []script{{events: []peerapi.ExecuteEvent{accepted, tokens(0, 1, 2)}, err: peer.ErrLost}, rest}, completed, answer, 2},
		{"stream ends without an outcome", 2, []script{{events: []peerapi.ExecuteEvent{tokens(0, 1, 2)}}, rest}, completed, answer, 2},
		{"weights that the bundle does not accept", 2, []script{{events: []peerapi.ExecuteEvent{tokens(0, 1, 2), wrong}}, rest}, completed, answer, 2},
		{"cancelled", 2, []script{{events: []peerapi.ExecuteEvent{accepted, {Outcome: peerapi.OutcomeCancelled}}}}, cancelled, nil, 1},
		{"no engine", 0, nil, notRunEnd, nil, 0},
		{"all reject", 3, []script{overloaded(0), overloaded(0), {openErr: peer.ErrNotSent}}, notRunEnd, nil, 3},
		{"engine says not run", 1, []script{{events: []peerapi.ExecuteEvent{accepted, {Outcome: peerapi.OutcomeNotRun}}}}, notRunEnd, nil, 1},
		{"engine says not run after tokens", 1, []script{{events: []peerapi.ExecuteEvent{tokens(0, 1), {Index: 1, Outcome: peerapi.OutcomeNotRun}}}}, unknown, []uint32{1}, 1},
		{"rejected after it was accepted", 1, []script{rejectedLate}, unknown, nil, 1},
		{"one lost, the others reject", 3, []script{{openErr: peer.ErrLost}, overloaded(0), overloaded(0)}, unknown, nil, 3},
		{"internal error proves nothing", 1, []script{{openErr: &peer.Error{Code: peer.CodeInternal}}}, unknown, nil, 1},
		{"uncertain error proves nothing", 1, []script{{openErr: &peer.Error{Code: peer.CodeUncertain}}}, unknown, nil, 1},
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

// checkAttempts checks that no two attempts share an engine or an attempt number, and that timeouts never increase.
func checkAttempts(t *testing.T, requests []peerapi.Execute) {
	t.Helper()
	var engines []string
	for i, request := range requests {
		if slices.Contains(engines, request.Engine) {
			t.Errorf("engine %s received two attempts", request.Engine)
		}
		engines = append(engines, request.Engine)
		if int(request.Attempt) != i+1 || request.RequestID != requests[0].RequestID {
			t.Errorf("attempt %d is %s/%d", i+1, request.RequestID, request.Attempt)
		}
		if i > 0 && request.TimeoutMillis > requests[i-1].TimeoutMillis {
			t.Error("the timeout increased")
		}
		if request.RequestID == "r" {
			t.Error("the caller's own id was sent to an engine")
		}
	}
}

// TestResumeIncludesDeliveredTokens checks that a resumed attempt carries the tokens that were delivered to the caller,
// without those received after a gap.
func TestResumeIncludesDeliveredTokens(t *testing.T) {
	is := is.New(t)
	owners := &fakeOwners{scripts: []script{
		{events: []peerapi.ExecuteEvent{tokens(0, 1, 2), tokens(3, 4)}, err: peer.ErrLost}, // token 3 is missing, so token 4 is not delivered
		{events: []peerapi.ExecuteEvent{tokens(2, 3, 4), completedEnd(4)}},
	}}
	_, got, err := run(t.Context(), newTestGateway(owners, 2), searchRequest())
	is.NoErr(err)
	is.Equal(got, []uint32{1, 2, 3, 4})
	is.Equal(owners.requests[1].Resume, []uint32{1, 2})
}

// TestAbandonedRequestReturnsWithoutDelay checks that a request which all engines reject returns right after the last
// rejection, with the shortest retry delay that an engine named.
func TestAbandonedRequestReturnsWithoutDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		start := time.Now()
		owners := &fakeOwners{scripts: []script{overloaded(3 * time.Second), overloaded(2 * time.Second)}}
		end, _, err := run(t.Context(), newTestGateway(owners, 2), searchRequest())
		is.NoErr(err)
		is.Equal(end.outcome, notRunEnd)
		is.Equal(end.retryAfter, 2*time.Second)
		is.Equal(time.Since(start), time.Duration(0))
	})
}

// TestRequestQueuedUntilDeadlineIsNotRun checks that a request which never left the queue is reported as not run before
// its deadline.
func TestRequestQueuedUntilDeadlineIsNotRun(t *testing.T) {
	for _, unsafe := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			start := time.Now()
			request := searchRequest()
			request.UnsafeToRepeat = unsafe
			request.TimeoutMillis = 4000
			owners := &fakeOwners{scripts: []script{{queued: true}}}
			owners.resolve = func(_ context.Context, _, response peer.Message) error {
				time.Sleep(networkDelay)
				response.(*peerapi.ResolveResult).Outcome = peerapi.OutcomeNotRun
				return nil
			}
			end, _, err := run(t.Context(), newTestGateway(owners, 1), request)
			is.NoErr(err)
			is.Equal(end.outcome, notRunEnd)
			is.True(time.Since(start) < 4*time.Second)
		})
	}
}

// TestRetryBudget checks that the retries stay within the workload's ratio if every attempt fails.
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
	is.True(retries >= requests/2)            // the budget is used up

	gateway.budgets.earn("none", 0)
	is.True(!gateway.budgets.spend("none", 0)) // a workload with ratio 0 makes no retries
}

// TestUnsafeRequest checks the outcome of an unsafe request for the answers of the request ledger, and the query for
// the outcome after contact was lost.
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
	lost := script{openErr: peer.ErrLost}
	uncertain := script{openErr: &peer.Error{Code: peer.CodeUncertain}}
	broken := script{events: []peerapi.ExecuteEvent{tokens(0, 1, 2)}, err: peer.ErrLost}
	cases := []struct {
		name    string
		script  script
		resolve func(context.Context, peer.Message, peer.Message) error
		want    v1.Outcome
		got     []uint32
		code    connect.Code
	}{
		{"complete answer", script{events: []peerapi.ExecuteEvent{tokens(0, 1, 2, 3), completedEnd(3)}}, nil, completed, answer, 0},
		{"recorded as not run", script{events: []peerapi.ExecuteEvent{{Outcome: peerapi.OutcomeNotRun}}}, nil, notRunEnd, nil, 0},
		{"recorded as unknown is not queried again", script{events: []peerapi.ExecuteEvent{{Outcome: peerapi.OutcomeUnknown}}}, nil, unknown, nil, 0},
		{"refused for load", overloaded(time.Second), nil, notRunEnd, nil, 0},
		{"never sent", script{openErr: peer.ErrNotSent}, nil, notRunEnd, nil, 0},
		{"other content under the key", script{openErr: &peer.Error{Code: peer.CodeConflict}}, nil, 0, nil, connect.CodeAlreadyExists},
		{"lost, resolved as completed", lost, settled(peerapi.OutcomeCompleted, 1, 2, 3), completed, answer, 0},
		{"lost mid-answer, the rest is resolved", broken, settled(peerapi.OutcomeCompleted, 1, 2, 3), completed, answer, 0},
		{"lost, cancelled before its start", lost, settled(peerapi.OutcomeNotRun), notRunEnd, nil, 0},
		{"uncertain, resolved as unknown", uncertain, settled(peerapi.OutcomeUnknown), unknown, nil, 0},
		{"lost, and the query fails", lost, outage, unknown, nil, 0},
		{"still under way at the deadline", script{hang: true}, outage, unknown, nil, 0},
		{"lost, and a refused resolve proves nothing", lost, func(context.Context, peer.Message, peer.Message) error { return peer.ErrNotSent }, unknown, nil, 0},
	}
	for _, tt := range cases {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				start := time.Now()
				owners := &fakeOwners{scripts: []script{tt.script}, resolve: tt.resolve}
				request := searchRequest()
				request.UnsafeToRepeat = true
				end, got, err := run(t.Context(), newTestGateway(owners, 2), request)
				is.Equal(err != nil, tt.code != 0)
				is.True(err == nil || connect.CodeOf(err) == tt.code)
				is.Equal(end.outcome, tt.want)
				is.Equal(got, tt.got)
				is.Equal(len(owners.requests), 1) // never sent again
				is.True(tt.script.hang || time.Since(start) <= resolveTimeout)
				is.True(time.Since(start) <= 20*time.Second) // the caller's deadline
				is.Equal(len(owners.calls) > 0, tt.resolve != nil)
			})
		})
	}
}

// TestResolveIdentifiesLostCall checks that the query for the outcome of a lost call carries the Ask value and the
// content digest of that call, and that Ask differs between calls.
func TestResolveIdentifiesLostCall(t *testing.T) {
	is := is.New(t)
	var queries []peerapi.Resolve
	owners := &fakeOwners{scripts: []script{{openErr: peer.ErrLost}, {openErr: peer.ErrLost}}}
	owners.resolve = func(_ context.Context, request, _ peer.Message) error {
		queries = append(queries, *request.(*peerapi.Resolve))
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
		is.Equal(queries[i].Ask, sent.Ask)
		is.Equal(queries[i].Digest, requestledger.Digest(sent.Prompt, sent.MaxTokens, sent.Seed))
	}
	is.True(owners.requests[0].Ask != owners.requests[1].Ask)
}
