package gateway

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"github.com/matryer/is"

	"github.com/hillfork/hillfork/internal/bundle"
	v1 "github.com/hillfork/hillfork/internal/gen/hillfork/v1"
	"github.com/hillfork/hillfork/internal/gen/hillfork/v1/hillforkv1connect"
	"github.com/hillfork/hillfork/internal/peer"
	"github.com/hillfork/hillfork/internal/peerapi"
)

// TestBoundViolation covers the staleness check right before samples are delivered.
func TestBoundViolation(t *testing.T) {
	now := time.UnixMilli(1_000_000_000)
	sample := func(age time.Duration, oldest uint64) peerapi.DeliveredSample {
		return peerapi.DeliveredSample{
			CompletedUnixMillis: now.Add(-age).UnixMilli(),
			Spans:               []peerapi.Span{{To: 2, Version: oldest}, {From: 2, To: 4, Version: oldest + 1}},
		}
	}
	cases := []struct {
		name   string
		sample peerapi.DeliveredSample
		// ownerVersion is the bundle version under which the owner checked; the node has version 7.
		ownerVersion uint64
		nodeBundle   *bundle.Bundle
		violated     bool
	}{
		{"in bound", sample(time.Second, 8), 7, testBundle(), false},
		{"at both bounds", sample(time.Minute, 8), 7, testBundle(), false},
		{"a millisecond too old", sample(time.Minute+time.Millisecond, 8), 7, testBundle(), true},
		{"one version too far behind", sample(time.Second, 7), 7, testBundle(), true},
		{"newer than the trainer", sample(time.Second, 12), 7, testBundle(), false},
		{"checked under an older bundle", sample(time.Second, 8), 6, testBundle(), true},
		{"checked under a newer bundle", sample(time.Second, 8), 8, testBundle(), true},
		{"workload left the bundle", sample(time.Second, 8), 7, &bundle.Bundle{Version: 7}, true},
		{"no bundle", sample(time.Second, 8), 7, nil, true},
	}
	for _, tt := range cases {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			fetch := peerapi.FetchSamples{Workload: "training", TrainerVersion: 10}
			result := peerapi.FetchSamplesResult{Samples: []peerapi.DeliveredSample{sample(0, 10), tt.sample}, BundleVersion: tt.ownerVersion}
			reason := boundViolation(fakeBundles{tt.nodeBundle}.Current(), &fetch, &result, now)
			is.Equal(reason != "", tt.violated)
		})
	}
}

// TestFetchWithholdsSamplesExpiredInTransit checks that samples are withheld if they were within the age bound when the
// owner sent them and exceed it on arrival.
func TestFetchWithholdsSamplesExpiredInTransit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		delay := time.Duration(0)
		owners := &fakeOwners{resolve: func(_ context.Context, _, response peer.Message) error {
			sent := time.Now()
			time.Sleep(delay) // transit time of the response, in virtual time
			*response.(*peerapi.FetchSamplesResult) = peerapi.FetchSamplesResult{
				Samples:       []peerapi.DeliveredSample{{CompletedUnixMillis: sent.Add(-50 * time.Second).UnixMilli(), Index: 3}},
				NextCursor:    1,
				BundleVersion: 7,
			}
			return nil
		}}
		service := &sampleService{gateway: newTestGateway(owners, 0)}
		fetch := connect.NewRequest(&v1.FetchSamplesRequest{Workload: "training", Step: 5})
		response, err := service.FetchSamples(t.Context(), fetch)
		is.NoErr(err)
		is.Equal(response.Msg.GetSamples()[0].GetId(), "5/3")
		is.Equal(response.Msg.GetSamples()[0].GetAgeMillis(), int64(50_000))
		delay = 11 * time.Second
		_, err = service.FetchSamples(t.Context(), fetch)
		is.Equal(connect.CodeOf(err), connect.CodeUnavailable)
	})
}

// TestDrain drains a gateway with one request in flight: new requests are refused as not run, and the one in flight
// completes.
func TestDrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		release := make(chan struct{})
		owners := &fakeOwners{scripts: []script{{openErr: peer.ErrLost}}}
		owners.resolve = func(_ context.Context, _, response peer.Message) error {
			<-release
			response.(*peerapi.ResolveResult).Outcome = peerapi.OutcomeCompleted
			return nil
		}
		gateway := newTestGateway(owners, 1)
		unsafe := searchRequest()
		unsafe.UnsafeToRepeat = true
		inFlight := make(chan requestResult, 1)
		go func() {
			end, _, _ := run(t.Context(), gateway, unsafe)
			inFlight <- end
		}()
		synctest.Wait()
		shortCtx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		is.Equal(gateway.Drain(shortCtx), context.DeadlineExceeded)

		end, _, err := run(t.Context(), gateway, searchRequest())
		is.NoErr(err)
		is.Equal(end.outcome, notRunEnd)
		is.True(end.retryAfter > 0)
		is.Equal(len(owners.requests), 1) // nothing was dispatched for it
		close(release)
		is.NoErr(gateway.Drain(t.Context()))
		is.Equal((<-inFlight).outcome, completed)
	})
}

// TestInFlightLimit checks that calls over the workload's limits in the bundle are refused, here 2 running and 1
// queued.
func TestInFlightLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		hang := script{hang: true}
		gateway := newTestGateway(&fakeOwners{scripts: []script{hang, hang, hang}}, 1)
		ctx, cancel := context.WithCancel(t.Context())
		for range 3 {
			go func() { _, _, _ = run(ctx, gateway, searchRequest()) }()
		}
		synctest.Wait()
		end, _, err := run(t.Context(), gateway, searchRequest())
		is.NoErr(err)
		is.Equal(end.outcome, notRunEnd)
		is.Equal(end.retryAfter, overloadRetryAfter)
		cancel()
		synctest.Wait()
		is.NoErr(gateway.Drain(t.Context())) // no call is in flight
	})
}

// serve runs a gateway on a loopback socket.
func serve(t testing.TB, gateway *Gateway) (*http.Client, string) {
	server := httptest.NewServer(gateway.Handler())
	t.Cleanup(server.Close)
	return server.Client(), server.URL
}

// TestRefusalsOverConnect covers the Connect errors that are returned to clients.
func TestRefusalsOverConnect(t *testing.T) {
	var answer error
	owners := &fakeOwners{resolve: func(context.Context, peer.Message, peer.Message) error { return answer }}
	gateway := New(Config{
		Owners: owners, Engines: fakeEngines(0), Bundles: fakeBundles{testBundle()}, Members: fakeNodes(0), Nodes: fakeNodes(0),
		Limits: Limits{MaxBodyBytes: 4096},
	})
	client, url := serve(t, gateway)
	samples := hillforkv1connect.NewSampleServiceClient(client, url)
	step := func(change func(*v1.SubmitStepRequest)) *v1.SubmitStepRequest {
		request := &v1.SubmitStepRequest{
			Workload: "training", Step: 1, Prompts: []*v1.Prompt{{Tokens: []uint32{1}}}, SamplesPerPrompt: 2, MaxTokens: 8,
		}
		change(request)
		return request
	}
	plain := step(func(*v1.SubmitStepRequest) {})
	cases := []struct {
		name       string
		request    *v1.SubmitStepRequest
		answer     error
		code       connect.Code
		retryAfter string
	}{
		{"unknown workload", step(func(r *v1.SubmitStepRequest) { r.Workload = "none" }), nil, connect.CodeNotFound, ""},
		{"interactive workload", step(func(r *v1.SubmitStepRequest) { r.Workload = "search" }), nil, connect.CodeInvalidArgument, ""},
		{"too many samples", step(func(r *v1.SubmitStepRequest) { r.SamplesPerPrompt = 9 }), nil, connect.CodeInvalidArgument, ""},
		{"no samples", step(func(r *v1.SubmitStepRequest) { r.SamplesPerPrompt = 0 }), nil, connect.CodeInvalidArgument, ""},
		{"prompt too long", step(func(r *v1.SubmitStepRequest) { r.Prompts[0].Tokens = make([]uint32, 9) }), nil, connect.CodeInvalidArgument, ""},
		{"too many tokens", step(func(r *v1.SubmitStepRequest) { r.MaxTokens = 65 }), nil, connect.CodeInvalidArgument, ""},
		{"body too large", step(func(r *v1.SubmitStepRequest) { r.Prompts[0].Tokens = make([]uint32, 5000) }), nil, connect.CodeResourceExhausted, ""},
		{"same step with other content", plain, &peer.Error{Code: peer.CodeConflict}, connect.CodeAlreadyExists, ""},
		{"invalid at the owner", plain, &peer.Error{Code: peer.CodeInvalid}, connect.CodeInvalidArgument, ""},
		{"owner not ready", plain, &peer.Error{Code: peer.CodeNotReady}, connect.CodeUnavailable, "1"},
		{"owner overloaded", plain, &peer.Error{Code: peer.CodeOverloaded, RetryAfter: 1500 * time.Millisecond}, connect.CodeResourceExhausted, "2"},
		{"owner lost", plain, peer.ErrLost, connect.CodeUnavailable, "1"},
		{"internal error of the owner", plain, &peer.Error{Code: peer.CodeInternal}, connect.CodeInternal, ""},
	}
	for _, tt := range cases {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			answer = tt.answer
			_, err := samples.SubmitStep(t.Context(), connect.NewRequest(tt.request))
			is.Equal(connect.CodeOf(err), tt.code)
			var refused *connect.Error
			is.True(errors.As(err, &refused))
			is.Equal(refused.Meta().Get(RetryAfterHeader), tt.retryAfter)
		})
	}
}

// TestListsArePaged pages through the lists and checks that no entry is repeated or left out, and that a node which
// does not respond does not fail the list.
func TestListsArePaged(t *testing.T) {
	is := is.New(t)
	client, url := serve(t, newTestGateway(&fakeOwners{}, 0))
	admin := hillforkv1connect.NewAdminServiceClient(client, url)

	seen := map[string]int{}
	page := &v1.Page{Size: 7}
	for pages := 0; pages == 0 || page.Token != ""; pages++ {
		response, err := admin.ListEngines(t.Context(), connect.NewRequest(&v1.ListEnginesRequest{Page: page}))
		is.NoErr(err)
		for _, engine := range response.Msg.GetEngines() {
			seen[engine.GetId()]++
		}
		page.Token = response.Msg.GetNextPageToken()
		is.True(pages < 40)
	}
	is.Equal(len(seen), 2*36) // 4 of 40 nodes do not respond

	nodes, responding := 0, 0
	page = &v1.Page{Size: 7}
	for pages := 0; pages == 0 || page.Token != ""; pages++ {
		response, err := admin.ListNodes(t.Context(), connect.NewRequest(&v1.ListNodesRequest{Page: page}))
		is.NoErr(err)
		nodes += len(response.Msg.GetNodes())
		for _, node := range response.Msg.GetNodes() {
			responding += int(node.GetBundleVersion()) / 7
		}
		page.Token = response.Msg.GetNextPageToken()
	}
	is.Equal(nodes, 40)
	is.Equal(responding, 36)

	_, err := admin.DrainNode(t.Context(), connect.NewRequest(&v1.DrainNodeRequest{Node: "n99"}))
	is.Equal(connect.CodeOf(err), connect.CodeNotFound)
	_, err = admin.ListNodes(t.Context(), connect.NewRequest(&v1.ListNodesRequest{Page: &v1.Page{Size: -1}}))
	is.Equal(connect.CodeOf(err), connect.CodeInvalidArgument)
	for workload, code := range map[string]connect.Code{"": connect.CodeNotFound, "search": connect.CodeInvalidArgument} {
		_, err = admin.ListSteps(t.Context(), connect.NewRequest(&v1.ListStepsRequest{Workload: workload}))
		is.Equal(connect.CodeOf(err), code)
	}
}

// TestExecuteOverConnect streams one answer over a socket.
func TestExecuteOverConnect(t *testing.T) {
	is := is.New(t)
	owners := &fakeOwners{scripts: []script{{events: []peerapi.ExecuteEvent{accepted, tokens(0, 1, 2), tokens(2, 3), completedEnd(3)}}}}
	client, url := serve(t, newTestGateway(owners, 2))
	stream, err := hillforkv1connect.NewRequestServiceClient(client, url).Execute(t.Context(), connect.NewRequest(searchRequest()))
	is.NoErr(err)
	var parts []*v1.ExecuteResponse
	for stream.Receive() {
		parts = append(parts, stream.Msg())
	}
	is.NoErr(stream.Err())
	is.Equal(len(parts), 3)
	is.Equal(parts[1].GetVersion(), uint64(5))
	is.Equal(parts[2].GetOutcome(), completed)
	is.Equal(parts[2].GetTotalTokens(), int32(3))
}
