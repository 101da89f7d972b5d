package cli

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"connectrpc.com/connect"
	"github.com/matryer/is"

	"github.com/hillfork/hillfork/internal/bundle"
	v1 "github.com/hillfork/hillfork/internal/gen/hillfork/v1"
	"github.com/hillfork/hillfork/internal/gen/hillfork/v1/hillforkv1connect"
)

// fakeNode is a fake node whose responses are set by the test.
type fakeNode struct {
	hillforkv1connect.UnimplementedAdminServiceHandler
	hillforkv1connect.UnimplementedSampleServiceHandler
	hillforkv1connect.UnimplementedRequestServiceHandler
	failure  error
	document []byte
	signed   *v1.SignBundleRequest
	answer   []*v1.ExecuteResponse
	executed *v1.ExecuteRequest
}

func (n *fakeNode) ListNodes(_ context.Context, request *connect.Request[v1.ListNodesRequest]) (*connect.Response[v1.ListNodesResponse], error) {
	if request.Msg.GetPage().GetToken() == "" {
		nodes := []*v1.NodeStatus{{Id: "node-1", Zone: "linz-a", State: "alive", BundleVersion: 7}}
		return connect.NewResponse(&v1.ListNodesResponse{Nodes: nodes, NextPageToken: "next"}), nil
	}
	freshness := &v1.Freshness{Node: "node-1", NewestMillis: 1, OldestMillis: 20}
	return connect.NewResponse(&v1.ListNodesResponse{Nodes: []*v1.NodeStatus{{Id: "node-2"}}, Freshness: freshness}), nil
}

func (n *fakeNode) ProposeBundle(_ context.Context, request *connect.Request[v1.ProposeBundleRequest]) (*connect.Response[v1.ProposeBundleResponse], error) {
	if n.failure != nil {
		return nil, n.failure
	}
	decoded, err := bundle.Decode(request.Msg.GetDocument())
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	return connect.NewResponse(&v1.ProposeBundleResponse{Digest: digestOf(decoded), Version: decoded.Version, Base: decoded.Base}), nil
}

func (n *fakeNode) GetBundle(context.Context, *connect.Request[v1.GetBundleRequest]) (*connect.Response[v1.GetBundleResponse], error) {
	return connect.NewResponse(&v1.GetBundleResponse{Document: n.document, Status: &v1.BundleStatus{State: v1.BundleState_BUNDLE_STATE_IN_FORCE}}), nil
}

func (n *fakeNode) SignBundle(_ context.Context, request *connect.Request[v1.SignBundleRequest]) (*connect.Response[v1.SignBundleResponse], error) {
	n.signed = request.Msg
	status := &v1.BundleStatus{Digest: request.Msg.GetDigest(), State: v1.BundleState_BUNDLE_STATE_PROPOSED, Missing: []string{"fes"}}
	return connect.NewResponse(&v1.SignBundleResponse{Status: status}), nil
}

func (n *fakeNode) SubmitStep(_ context.Context, request *connect.Request[v1.SubmitStepRequest]) (*connect.Response[v1.SubmitStepResponse], error) {
	samples := int32(len(request.Msg.GetPrompts())) * request.Msg.GetSamplesPerPrompt()
	return connect.NewResponse(&v1.SubmitStepResponse{Samples: samples}), nil
}

func (n *fakeNode) FetchSamples(_ context.Context, request *connect.Request[v1.FetchSamplesRequest]) (*connect.Response[v1.FetchSamplesResponse], error) {
	sample := &v1.Sample{Id: "4/0", Position: request.Msg.GetCursor(), Tokens: []uint32{1, 2, 3},
		Spans: []*v1.VersionSpan{{From: 0, To: 2, Version: 5}, {From: 2, To: 3, Version: 6}}}
	return connect.NewResponse(&v1.FetchSamplesResponse{Samples: []*v1.Sample{sample}, NextCursor: 10}), nil
}

func (n *fakeNode) Execute(_ context.Context, request *connect.Request[v1.ExecuteRequest], stream *connect.ServerStream[v1.ExecuteResponse]) error {
	n.executed = request.Msg
	for _, part := range n.answer {
		if part.GetRequestId() == "" {
			part.RequestId = request.Msg.GetRequestId()
		}
		if err := stream.Send(part); err != nil {
			return err
		}
	}
	return n.failure
}

// runResult is the output and exit code of one invocation of the command line.
type runResult struct {
	code     ExitCode
	out, err string
}

// run executes the command line against a fake node. If node is nil, the node can't be reached.
func run(t *testing.T, node *fakeNode, arguments ...string) runResult {
	t.Helper()
	mux := http.NewServeMux()
	if node != nil {
		mux.Handle(hillforkv1connect.NewAdminServiceHandler(node))
		mux.Handle(hillforkv1connect.NewSampleServiceHandler(node))
		mux.Handle(hillforkv1connect.NewRequestServiceHandler(node))
	}
	server := httptest.NewServer(mux)
	defer server.Close()
	if node == nil {
		server.Close()
	}
	t.Setenv("HILLFORK_SERVER", strings.TrimPrefix(server.URL, "http://"))
	var out, errors bytes.Buffer
	code := Run(t.Context(), arguments, Streams{In: strings.NewReader("[[1,2],[3]]"), Out: &out, Err: &errors})
	return runResult{code: code, out: out.String(), err: errors.String()}
}

// testFiles writes a private key and a bundle document that contains its public key, and returns their paths and the
// decoded document.
func testFiles(t *testing.T) (key, document string, decoded *bundle.Bundle) {
	t.Helper()
	is := is.New(t)
	directory := t.TempDir()
	key, document = filepath.Join(directory, "key"), filepath.Join(directory, "bundle.yaml")
	made := run(t, nil, "keys", "new", "--out", key)
	is.Equal(made.code, ExitDone)
	text := `{"version": 1, "base": 0,
"partners": [{"name": "zollwerk", "keys": ["` + strings.TrimSpace(made.out) + `"]}],
"pools": [{"name": "desk-app", "serving_floor": 0.5}],
"workloads": [{"name": "desk", "partner": "zollwerk", "kind": "interactive", "pools": ["desk-app"], "share": 0.5,
"model": "drafter", "min_version": 0, "limits": {"max_prompt_tokens": 10, "max_tokens": 10, "timeout": "30s"}}]}`
	is.NoErr(os.WriteFile(document, []byte(text), 0o600))
	decoded, err := bundle.Decode([]byte(text))
	is.NoErr(err)
	return key, document, decoded
}

func TestBundleCommands(t *testing.T) {
	is := is.New(t)
	key, document, decoded := testFiles(t)
	digest := digestOf(decoded)
	checked := run(t, nil, "bundle", "check", document)
	is.Equal(checked.code, ExitDone) // check works without a node
	is.True(strings.Contains(checked.out, digest))
	is.Equal(run(t, nil, "keys", "new", "--out", key).code, ExitFailed) // an existing key file is never overwritten

	node := &fakeNode{document: bundle.Canonical(decoded)}
	proposed := run(t, node, "bundle", "propose", "--output", "json", document)
	is.Equal(proposed.out, `{"digest":"`+digest+`","version":"1","base":"0"}`+"\n")
	public, err := bundle.ParsePublicKey(decoded.Partners[0].Keys[0])
	is.NoErr(err)
	for _, source := range [][]string{{"--file", document}, {"--digest", digest}} {
		signed := run(t, node, append([]string{"bundle", "sign", "--partner", "zollwerk", "--key", key}, source...)...)
		is.Equal(signed.code, ExitDone)
		is.True(strings.Contains(signed.out, "fes"))
		is.True(bundle.Verify(public, digest, 1, 0, node.signed.GetSignature()))
	}
	node.signed = nil
	other := strings.Repeat("0", 64)
	refused := run(t, node, "bundle", "sign", "--partner", "zollwerk", "--key", key, "--digest", other)
	is.Equal(refused.code, ExitFailed) // the digest of the node's document differs from the requested one
	is.True(node.signed == nil)
	is.True(strings.Contains(run(t, node, "bundle", "status", digest).out, "in force"))
	is.Equal(run(t, node, "bundle", "show", "--output", "json").out, string(node.document)+"\n")

	is.NoErr(os.WriteFile(document, []byte("version: 1\nbase: 0\nparts: []\n"), 0o600))
	bad := run(t, nil, "bundle", "check", document)
	is.Equal(bad.code, ExitFailed)
	is.True(strings.Contains(bad.err, document+": line 3: parts: unknown key"))
}

func TestExitCodesOfFailedChanges(t *testing.T) {
	_, document, _ := testFiles(t)
	for _, test := range []struct {
		name string
		node *fakeNode
		want ExitCode
	}{
		{"conflict", &fakeNode{failure: connect.NewError(connect.CodeFailedPrecondition, errors.New("base"))}, ExitFailed},
		{"bad signature", &fakeNode{failure: connect.NewError(connect.CodePermissionDenied, errors.New("key"))}, ExitFailed},
		{"no room", &fakeNode{failure: connect.NewError(connect.CodeResourceExhausted, errors.New("full"))}, ExitNotRun},
		{"unavailable", &fakeNode{failure: connect.NewError(connect.CodeUnavailable, errors.New("log"))}, ExitUnknown},
		{"internal", &fakeNode{failure: errors.New("lost")}, ExitUnknown},
		{"not reached", nil, ExitNotRun},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(run(t, test.node, "bundle", "propose", document).code, test.want)
		})
	}
}

func TestUsageErrors(t *testing.T) {
	for _, arguments := range [][]string{
		{}, {"bundle"}, {"engine"}, {"drain"}, {"drain", "a", "b"}, {"nodes", "--output", "xml"}, {"nodes", "--no-such"},
		{"keys", "new"}, {"request", "--workload", "desk", "--prompt", "one"},
		{"request", "--workload", "desk", "--prompt", "1", "--unsafe"},
		{"request", "--workload", "desk", "--prompt", "1", "--max-tokens", "4294967297"},
		{"sample", "submit", "--workload", "desk"}, {"sample", "fetch"}, {"steps"},
		{"bundle", "sign", "--partner", "a", "--key", "k", "--file", "f", "--digest", "d"},
	} {
		t.Run(strings.Join(arguments, " "), func(t *testing.T) {
			is := is.New(t)
			result := run(t, &fakeNode{}, arguments...)
			is.Equal(result.code, ExitUsage)
			is.True(result.err != "")
		})
	}
}

func TestListsReadAllPages(t *testing.T) {
	is := is.New(t)
	shown := run(t, &fakeNode{}, "nodes")
	is.Equal(shown.code, ExitDone)
	lines := strings.Split(strings.TrimSpace(shown.out), "\n")
	is.Equal(len(lines), 3)
	is.Equal(strings.Fields(lines[1]), []string{"node-1", "-", "linz-a", "-", "alive", "0", "7"})
	is.True(strings.Contains(shown.err, "1 to 20 ms"))
	is.Equal(run(t, nil, "nodes").code, ExitNotRun)
	is.Equal(run(t, &fakeNode{}, "engines").code, ExitFailed) // the fake returns CodeUnimplemented
}

func TestSampleCommands(t *testing.T) {
	is := is.New(t)
	submitted := run(t, &fakeNode{}, "-o", "json", "sample", "submit", "--workload", "drafting", "--step", "4", "--samples-per-prompt", "8", "--max-tokens", "9")
	is.Equal(submitted.out, `{"samples":16}`+"\n")
	fetched := run(t, &fakeNode{}, "sample", "fetch", "--workload", "drafting", "--step", "4", "--cursor", "9")
	is.True(strings.Contains(fetched.out, "0-2@5,2-3@6"))
	is.True(strings.Contains(fetched.err, "next cursor 10"))
}

func TestRequestOutcomes(t *testing.T) {
	part := &v1.ExecuteResponse{Tokens: []uint32{7, 8}}
	end := func(outcome v1.Outcome, total int32) *v1.ExecuteResponse {
		return &v1.ExecuteResponse{Outcome: outcome, TotalTokens: total, Reason: "why"}
	}
	for _, test := range []struct {
		name    string
		answer  []*v1.ExecuteResponse
		failure error
		want    ExitCode
	}{
		{"completed", []*v1.ExecuteResponse{part, end(v1.Outcome_OUTCOME_COMPLETED, 2)}, nil, ExitDone},
		{"cut short", []*v1.ExecuteResponse{part, end(v1.Outcome_OUTCOME_COMPLETED, 3)}, nil, ExitUnknown},
		{"not run", []*v1.ExecuteResponse{end(v1.Outcome_OUTCOME_NOT_RUN, 0)}, nil, ExitNotRun},
		{"unknown", []*v1.ExecuteResponse{part, end(v1.Outcome_OUTCOME_UNKNOWN, 0)}, nil, ExitUnknown},
		{"cancelled", []*v1.ExecuteResponse{end(v1.Outcome_OUTCOME_CANCELLED, 0)}, nil, ExitCancelled},
		{"no outcome", []*v1.ExecuteResponse{part}, nil, ExitUnknown},
		{"refused", nil, connect.NewError(connect.CodeNotFound, errors.New("no such workload")), ExitFailed},
		{"lost", []*v1.ExecuteResponse{part}, connect.NewError(connect.CodeUnavailable, errors.New("gone")), ExitUnknown},
		{"another's answer", []*v1.ExecuteResponse{{RequestId: "other", Tokens: []uint32{9}}}, nil, ExitUnknown},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			node := &fakeNode{answer: test.answer, failure: test.failure}
			result := run(t, node, "request", "--workload", "desk", "--id", "r1", "--prompt", "1, 2", "--unsafe")
			is.Equal(result.code, test.want)
			is.Equal(node.executed.GetPrompt(), []uint32{1, 2})
			is.True(node.executed.GetUnsafeToRepeat())
			is.True(!strings.Contains(result.out, "9")) // the answer to another request is not printed
		})
	}
	is := is.New(t)
	is.Equal(run(t, nil, "request", "--workload", "desk", "--prompt", "1").code, ExitNotRun)
}
