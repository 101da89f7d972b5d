package gateway

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"time"

	"github.com/hillfork/hillfork/internal/bundle"
	v1 "github.com/hillfork/hillfork/internal/gen/hillfork/v1"
	"github.com/hillfork/hillfork/internal/peer"
	"github.com/hillfork/hillfork/internal/peerapi"
	"github.com/hillfork/hillfork/internal/placement"
	"github.com/hillfork/hillfork/internal/platform"
)

// script is the response to one attempt: events, then err, or io.EOF if err is nil.
type script struct {
	// openErr is returned when the stream is opened.
	openErr error
	events  []peerapi.ExecuteEvent
	err     error
	// hang keeps the stream open after the events until its context ends.
	hang bool
	// queued refuses the attempt once the request's timeout has passed in the queue, plus networkDelay.
	queued bool
}

// networkDelay is the transit time of a refusal from the queue.
const networkDelay = 50 * time.Millisecond

func (s *scriptStream) waitInQueue() error {
	select {
	case <-time.After(time.Duration(s.request.TimeoutMillis)*time.Millisecond + networkDelay):
		return &peer.Error{Code: peer.CodeNotReady, Message: "the deadline passed in the queue"}
	case <-s.ctx.Done():
		return s.ctx.Err()
	}
}

// fakeOwners answers attempts with its scripts in order and records the requests. Empty identifiers in the events of a
// script are filled in from the request.
type fakeOwners struct {
	mu       sync.Mutex
	scripts  []script
	requests []peerapi.Execute
	// resolve answers MethodResolve and all other unary calls.
	resolve func(ctx context.Context, request, response peer.Message) error
	calls   []string
}

func (o *fakeOwners) StreamOwner(
	ctx context.Context, _ string, _ placement.Preference, _ string, request peer.Message, _ bool,
) (peer.ClientStream, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	received := *request.(*peerapi.Execute)
	received.Resume = append([]uint32(nil), received.Resume...)
	o.requests = append(o.requests, received)
	if len(o.scripts) == 0 {
		return nil, &peer.Error{Code: peer.CodeOverloaded, Message: "nothing left in the script", RetryAfter: time.Minute}
	}
	next := o.scripts[0]
	o.scripts = o.scripts[1:]
	if next.openErr != nil {
		return nil, next.openErr
	}
	return &scriptStream{ctx: ctx, request: received, script: next}, nil
}

func (o *fakeOwners) CallOwner(
	ctx context.Context, key string, _ placement.Preference, method string, request, response peer.Message, _ bool,
) error {
	o.mu.Lock()
	o.calls = append(o.calls, method+" "+key)
	o.mu.Unlock()
	return o.resolve(ctx, request, response)
}

type scriptStream struct {
	ctx     context.Context
	request peerapi.Execute
	script  script
}

func (s *scriptStream) Receive(into peer.Message) error {
	if s.script.queued {
		return s.waitInQueue()
	}
	if len(s.script.events) == 0 {
		if s.script.hang {
			<-s.ctx.Done()
			return s.ctx.Err()
		}
		if s.script.err != nil {
			return s.script.err
		}
		return io.EOF
	}
	event := s.script.events[0]
	s.script.events = s.script.events[1:]
	if event.RequestID == "" {
		event.RequestID = s.request.RequestID
	}
	if event.Attempt == 0 {
		event.Attempt = s.request.Attempt
	}
	*into.(*peerapi.ExecuteEvent) = event
	return nil
}

func (s *scriptStream) Close() error { return nil }

func tokens(index int, tokens ...uint32) peerapi.ExecuteEvent {
	return peerapi.ExecuteEvent{Index: index, Tokens: tokens, Version: 5}
}

func completedEnd(index int) peerapi.ExecuteEvent {
	return peerapi.ExecuteEvent{Index: index, Outcome: peerapi.OutcomeCompleted}
}

var accepted = peerapi.ExecuteEvent{Accepted: true}

// fakeEngines is a directory of engines "e0", "e1", … of one pool.
type fakeEngines int

func (n fakeEngines) Engines(pool string) []platform.Machine {
	machines := make([]platform.Machine, n)
	for i := range machines {
		machines[i] = platform.Machine{ID: engineNames[i], Pool: pool, State: platform.MachineLive}
	}
	return machines
}

var engineNames = func() (names [300]string) {
	for i := range names {
		names[i] = fmt.Sprintf("e%d", i)
	}
	return names
}()

// fakeBundles returns a fixed bundle in force.
type fakeBundles struct{ bundle *bundle.Bundle }

func (b fakeBundles) Current() *bundle.Accepted {
	if b.bundle == nil {
		return nil
	}
	return &bundle.Accepted{Bundle: *b.bundle, Digest: "digest"}
}

func (b fakeBundles) Changed() <-chan struct{} { return nil }

func testBundle() *bundle.Bundle {
	return &bundle.Bundle{Version: 7, Workloads: []bundle.Workload{
		{
			Name: "search", Kind: bundle.Interactive, Pools: []string{"app"}, Model: "m", MinVersion: 3,
			Limits: bundle.Limits{
				MaxPromptTokens: 8, MaxTokens: 64, Timeout: bundle.Duration(20 * time.Second), RetryRatio: 0.5,
				MaxInFlight: 2, MaxQueue: 1,
			},
		},
		{
			Name: "training", Kind: bundle.Training, Model: "m",
			Staleness: &bundle.Staleness{MaxVersionsBehind: 2, MaxAge: bundle.Duration(time.Minute)},
			Limits:    bundle.Limits{MaxPromptTokens: 8, MaxTokens: 64, MaxStepSamples: 8},
		},
	}}
}

// fakeNodes is a directory of n members that respond to the list methods. Nodes whose address ends in "3" fail every
// call.
type fakeNodes int

func (n fakeNodes) Members() []Member {
	var members []Member
	for i := range int(n) {
		name := fmt.Sprintf("n%02d", i)
		members = append(members, Member{Member: placement.Member{Node: name, PeerAddress: name}, State: "alive"})
	}
	return members
}

func (n fakeNodes) Call(_ context.Context, address, method string, _, response peer.Message) error {
	if strings.HasSuffix(address, "3") {
		return peer.ErrLost
	}
	switch method {
	case peerapi.MethodListEngines:
		response.(*peerapi.ListEnginesResult).Engines = []peerapi.EngineInfo{{ID: address + "/a"}, {ID: address + "/b"}}
	case peerapi.MethodNodeStatus:
		response.(*peerapi.NodeStatusResult).BundleVersion = 7
	case peerapi.MethodListShards:
		response.(*peerapi.ListShardsResult).Shards = []peerapi.ShardInfo{{Name: address + "/s"}}
	}
	return nil
}

func newTestGateway(owners *fakeOwners, engines int) *Gateway {
	return New(Config{
		Owners: owners, Engines: fakeEngines(engines), Bundles: fakeBundles{testBundle()}, Members: fakeNodes(40), Nodes: fakeNodes(40),
	})
}

func searchRequest() *v1.ExecuteRequest {
	return &v1.ExecuteRequest{Workload: "search", RequestId: "r", Prompt: []uint32{1}, MaxTokens: 16}
}

// run executes a request and returns its result and the tokens that its caller received, in order.
func run(ctx context.Context, gateway *Gateway, request *v1.ExecuteRequest) (end requestResult, got []uint32, err error) {
	service := &requestService{gateway: gateway}
	end, err = service.execute(ctx, request, func(part *v1.ExecuteResponse) error {
		if int(part.GetIndex()) != len(got) {
			return fmt.Errorf("part at %d after %d tokens", part.GetIndex(), len(got))
		}
		got = append(got, part.GetTokens()...)
		return nil
	})
	return end, got, err
}
