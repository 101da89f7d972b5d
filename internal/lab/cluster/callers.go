package cluster

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"connectrpc.com/connect"
	hillforkv1 "github.com/hillfork/hillfork/internal/gen/hillfork/v1"
	"github.com/hillfork/hillfork/internal/gen/hillfork/v1/hillforkv1connect"
	"github.com/hillfork/hillfork/internal/lab/check"
	"github.com/hillfork/hillfork/internal/lab/trace"
	"github.com/hillfork/hillfork/internal/lab/workload"
	"github.com/hillfork/hillfork/internal/pause"
	"github.com/hillfork/hillfork/internal/platform"
	"github.com/hillfork/hillfork/internal/platform/connectadapter"
	"github.com/hillfork/hillfork/internal/standin/engine"
)

// callerProcess is one source of interactive requests.
type callerProcess struct {
	cluster   *Cluster
	described trace.Caller
	number    int
	adapter   *connectadapter.Adapter
	gateways  []*nodeProcess
}

// startCallers sends the requests of every caller at their times. It returns at once; the channel is closed when every
// request has ended.
func (c *Cluster) startCallers(ctx context.Context) <-chan struct{} {
	var sending sync.WaitGroup
	done := make(chan struct{})
	for number, described := range c.topology.Callers {
		process := &callerProcess{
			cluster: c, described: described, number: number,
			adapter: c.adapterFrom(described.Zone), gateways: c.gatewaysNear(described.Zone),
		}
		sending.Go(func() { process.run(ctx) })
	}
	c.running.Go(func() {
		sending.Wait()
		close(done)
	})
	return done
}

// run sends the requests and returns when all of them have ended.
func (p *callerProcess) run(ctx context.Context) {
	var sending sync.WaitGroup
	defer sending.Wait()
	requests := workload.Requests(p.described, p.number, p.cluster.topology.Seed, time.Duration(p.cluster.topology.Duration))
	for i, request := range requests {
		if !sleepUntil(ctx, p.cluster.started.Add(request.At)) {
			return
		}
		id := fmt.Sprintf("caller-%d-%d", p.number, i)
		sending.Go(func() { p.send(ctx, id, i, request) })
	}
}

// send sends one request, to the next node where one provably did not get it, and records how it ended.
func (p *callerProcess) send(ctx context.Context, id string, turn int, request workload.Request) {
	runContext := ctx
	ctx, cancel := p.bounded(ctx)
	defer cancel()
	record := check.Request{
		Workload: p.described.Workload, ID: id, Content: engine.ContentOf(request.Prompt, request.Seed), Unsafe: request.Unsafe,
		SentAt: time.Now(), Expected: engine.ExpectedTokens(request.Prompt, request.Seed, p.described.Lengths.Max),
	}
	message := &hillforkv1.ExecuteRequest{
		Workload: p.described.Workload, RequestId: id, Prompt: request.Prompt, MaxTokens: int32(p.described.Lengths.Max),
		Seed: request.Seed, UnsafeToRepeat: request.Unsafe,
	}
	p.sendToAny(ctx, turn, message, &record)
	record.EndedAt = time.Now()
	if record.Unsafe && record.Outcome == check.OutcomeUnknown {
		p.askAgain(runContext, turn, message, &record)
	}
	p.cluster.config.Recorder.Record(func(o *check.Observations) { o.Requests = append(o.Requests, record) })
}

// sendToAny sends the request to one node after another until one may have got it.
func (p *callerProcess) sendToAny(ctx context.Context, turn int, message *hillforkv1.ExecuteRequest, record *check.Request) {
	near := p.nearGateways()
	for try := range p.gateways {
		gateway := p.gateways[try]
		if try < near {
			gateway = p.gateways[(turn+try)%near]
		}
		record.Node = gateway.name
		if !p.sendTo(ctx, gateway, message, record) {
			return
		}
	}
	record.Outcome = check.OutcomeUnsent
}

// bounded gives one ask its time.
func (p *callerProcess) bounded(ctx context.Context) (context.Context, context.CancelFunc) {
	if p.described.Timeout <= 0 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, time.Duration(p.described.Timeout)+callerPatience)
}

const (
	// laterAsks and laterPause say how often and how far apart a request that was left unknown is asked for again.
	laterAsks  = 10
	laterPause = 2 * time.Second
)

// askAgain asks what became of an unsafe request, under the same id, until it is known. What was left unknown only because
// its caller did not wait is known later; what was cut off stays unknown.
func (p *callerProcess) askAgain(ctx context.Context, turn int, message *hillforkv1.ExecuteRequest, record *check.Request) {
	for ask := range laterAsks {
		if !sleepUntil(ctx, time.Now().Add(laterPause)) {
			return
		}
		again := check.Request{}
		bounded, cancel := p.bounded(ctx)
		p.sendToAny(bounded, turn+ask, message, &again)
		cancel()
		record.AnswerIDs = append(record.AnswerIDs, again.AnswerIDs...)
		record.Later, record.LaterTokens = again.Outcome, again.Tokens
		if again.Outcome == check.OutcomeCompleted || again.Outcome == check.OutcomeCancelled {
			return
		}
	}
}

// callerPatience is how much longer than its timeout a caller waits for the outcome.
const callerPatience = 2 * time.Second

// nearGateways counts the gateways in the caller's own zone, among which it takes turns; all where there is none.
func (p *callerProcess) nearGateways() int {
	count := 0
	for _, gateway := range p.gateways {
		if gateway.zone == p.described.Zone {
			count++
		}
	}
	if count == 0 {
		return len(p.gateways)
	}
	return count
}

// sendTo sends the request to one node. True says that the node provably did not get it.
func (p *callerProcess) sendTo(ctx context.Context, gateway *nodeProcess, message *hillforkv1.ExecuteRequest, record *check.Request) bool {
	record.Outcome, record.Reason = "", ""
	if deadline, bounded := ctx.Deadline(); bounded && p.described.Timeout > 0 {
		message.TimeoutMillis = max(1, (time.Until(deadline) - callerPatience).Milliseconds())
	}
	client := hillforkv1connect.NewRequestServiceClient(p.adapter.HTTPClient(),
		connectadapter.BaseURL(gateway.address(apiPort)), p.adapter.ClientOptions()...)
	stream, err := client.Execute(ctx, connect.NewRequest(message))
	if err != nil {
		return broken(record, err)
	}
	defer stream.Close()
	for stream.Receive() {
		receive(record, stream.Msg())
	}
	if record.Outcome != "" {
		return false
	}
	return broken(record, stream.Err())
}

// broken records that contact was lost without an outcome. True says that the request was provably not sent.
func broken(record *check.Request, err error) bool {
	record.Outcome = check.OutcomeBroken
	if err != nil {
		record.Reason = err.Error()
	}
	return errors.Is(err, platform.ErrNotSent)
}

var outcomes = map[hillforkv1.Outcome]check.Outcome{
	hillforkv1.Outcome_OUTCOME_COMPLETED: check.OutcomeCompleted,
	hillforkv1.Outcome_OUTCOME_NOT_RUN:   check.OutcomeNotRun,
	hillforkv1.Outcome_OUTCOME_UNKNOWN:   check.OutcomeUnknown,
	hillforkv1.Outcome_OUTCOME_CANCELLED: check.OutcomeCancelled,
}

// receive records one message of an answer as it came.
func receive(record *check.Request, message *hillforkv1.ExecuteResponse) {
	record.Tokens = append(record.Tokens, message.Tokens...)
	record.AnswerIDs = append(record.AnswerIDs, message.RequestId)
	if outcome, ended := outcomes[message.Outcome]; ended {
		record.Outcome = outcome
		record.Reason = message.Reason
	}
}

// sleepUntil waits for a time; false says that ctx ended first.
func sleepUntil(ctx context.Context, at time.Time) bool {
	return pause.For(ctx, time.Until(at))
}
