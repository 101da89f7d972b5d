package requestledger

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"github.com/hillfork/hillfork/internal/bundle"
	"github.com/hillfork/hillfork/internal/peer"
	"github.com/hillfork/hillfork/internal/peerapi"
	"github.com/hillfork/hillfork/internal/placement"
	"github.com/hillfork/hillfork/internal/shard"
)

// logFault is the fault of one append.
type logFault uint8

const (
	logOK logFault = iota
	// logLostResponse appends the record but returns shard.ErrUncertain.
	logLostResponse
	// logLostRequest returns shard.ErrUncertain without appending the record.
	logLostRequest
	// logDelayed returns shard.ErrUncertain and appends the record when deliverDelayed is called.
	logDelayed
)

// fakeLog is the stream of one shard: its records in order, and the epoch that may write.
type fakeLog struct {
	mu      sync.Mutex
	epoch   uint64
	records []shard.Record
	delayed []shard.Record
	// fault returns the fault of each append; nil means none.
	fault func(kind uint8) logFault
}

func (l *fakeLog) claim() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.epoch++
	return l.epoch
}

// write appends a record. The caller must hold mu.
func (l *fakeLog) write(record shard.Record) {
	record.Offset = int64(len(l.records))
	record.Sequence = uint64(len(l.records) + 1)
	l.records = append(l.records, record)
}

// deliverDelayed appends the delayed records whose epoch is still current.
func (l *fakeLog) deliverDelayed() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, record := range l.delayed {
		if record.Epoch == l.epoch {
			l.write(record)
		}
	}
	l.delayed = nil
}

// fakeNode is a process that opens every shard over the same log.
type fakeNode struct {
	log   *fakeLog
	mu    sync.Mutex
	owner *fakeOwner
}

func (n *fakeNode) Open(context.Context, string) (shard.Owner, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.owner == nil || n.owner.isSuperseded() {
		n.owner = &fakeOwner{log: n.log, epoch: n.log.claim(), state: NewState()}
		n.owner.fold()
	}
	return n.owner, nil
}

type fakeOwner struct {
	log   *fakeLog
	epoch uint64

	mu     sync.Mutex
	state  *State
	folded int
	// superseded is set once the log has shown that another process owns the shard.
	superseded bool
}

func (o *fakeOwner) isSuperseded() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.superseded
}

func (o *fakeOwner) fold() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.log.mu.Lock()
	defer o.log.mu.Unlock()
	for ; o.folded < len(o.log.records); o.folded++ {
		o.state.Apply(o.log.records[o.folded])
	}
}

func (o *fakeOwner) Append(_ context.Context, proposals ...shard.Proposal) ([]any, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.log.mu.Lock()
	defer o.log.mu.Unlock()
	if o.epoch != o.log.epoch {
		o.superseded = true
		return nil, shard.ErrNotOwner
	}
	var outcomes []any
	for _, proposal := range proposals {
		record := shard.Record{Epoch: o.epoch, Kind: proposal.Kind, Body: proposal.Body}
		fault := logOK
		if o.log.fault != nil {
			fault = o.log.fault(proposal.Kind)
		}
		if fault == logDelayed {
			o.log.delayed = append(o.log.delayed, record)
		}
		if fault == logLostRequest || fault == logDelayed {
			return nil, shard.ErrUncertain
		}
		o.log.write(record)
		if fault == logLostResponse {
			return nil, shard.ErrUncertain
		}
		for ; o.folded < len(o.log.records); o.folded++ {
			outcome := o.state.Apply(o.log.records[o.folded])
			if o.folded == len(o.log.records)-1 {
				outcomes = append(outcomes, outcome)
			}
		}
	}
	return outcomes, nil
}

func (o *fakeOwner) View(read func(shard.State)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	read(o.state)
}

func (o *fakeOwner) Confirm(context.Context) error { return nil }
func (o *fakeOwner) Epoch() uint64                 { return o.epoch }
func (o *fakeOwner) Done() <-chan struct{}         { return nil }
func (o *fakeOwner) Release(context.Context) error { return nil }

// dispatchFault is the fault of one dispatch.
type dispatchFault uint8

const (
	dispatchOK dispatchFault = iota
	// dispatchRefused is rejected by the engine: proven not to have run.
	dispatchRefused
	// dispatchNotSent never reaches the engine: proven not to have run.
	dispatchNotSent
	// dispatchLost runs, but the connection is lost before the first token.
	dispatchLost
	// dispatchBroken runs, but the connection is lost after the first tokens.
	dispatchBroken
	// dispatchQueued stays in the engine's queue until the queue timeout of the request: proven not to have run.
	dispatchQueued
)

// engineAnswer is the answer of every engine.
var engineAnswer = []uint32{7, 8, 9, 10}

// fakeEngines is a Dispatcher that counts how often each run was sent to an engine.
type fakeEngines struct {
	mu     sync.Mutex
	starts map[string]int
	fault  func() dispatchFault
	// gate, if set, blocks an answer before its last tokens until a value is received or the channel is closed.
	gate chan struct{}
}

func (e *fakeEngines) total() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	total := 0
	for _, count := range e.starts {
		total += count
	}
	return total
}

func (e *fakeEngines) Dispatch(
	ctx context.Context, request peerapi.Execute, excluded []string,
) (string, peer.ClientStream, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	fault := dispatchOK
	if e.fault != nil {
		fault = e.fault()
	}
	engine := string(rune('a' + len(excluded)))
	switch fault {
	case dispatchRefused:
		return engine, nil, &peer.Error{Code: peer.CodeOverloaded, Message: "full"}
	case dispatchNotSent:
		return engine, nil, peer.ErrNotSent
	case dispatchQueued:
		return engine, &fakeQueue{ctx: ctx, timeout: time.Duration(request.QueueMillis) * time.Millisecond}, nil
	}
	if e.starts == nil {
		e.starts = make(map[string]int)
	}
	e.starts[request.RequestID]++
	if fault == dispatchLost {
		return engine, nil, peer.ErrLost
	}
	return engine, &fakeAnswer{ctx: ctx, request: request, gate: e.gate, broken: fault == dispatchBroken}, nil
}

// fakeQueue is the stream of a queued request: it rejects the request 50 ms after the queue timeout has passed.
type fakeQueue struct {
	ctx     context.Context
	timeout time.Duration
}

func (q *fakeQueue) Receive(peer.Message) error {
	select {
	case <-time.After(q.timeout + 50*time.Millisecond):
		return &peer.Error{Code: peer.CodeNotReady, Message: "the deadline passed in the queue"}
	case <-q.ctx.Done():
		return q.ctx.Err()
	}
}

func (q *fakeQueue) Close() error { return nil }

// fakeAnswer is the stream of an answer: two chunks of tokens, then the outcome.
type fakeAnswer struct {
	ctx     context.Context
	request peerapi.Execute
	gate    chan struct{}
	broken  bool
	sent    int
}

func (a *fakeAnswer) Receive(into peer.Message) error {
	event := peerapi.ExecuteEvent{RequestID: a.request.RequestID, Attempt: a.request.Attempt, Version: 3}
	a.sent++
	switch a.sent {
	case 1:
		event.Accepted = true
		event.Tokens = engineAnswer[:2]
	case 2:
		if a.broken {
			return peer.ErrLost
		}
		if a.gate != nil {
			select {
			case <-a.gate:
			case <-a.ctx.Done():
				return a.ctx.Err()
			}
		}
		event.Index = 2
		event.Tokens = engineAnswer[2:]
		event.Version = 4
	case 3:
		event.Index = 4
		event.Outcome = peerapi.OutcomeCompleted
	default:
		return io.EOF
	}
	*into.(*peerapi.ExecuteEvent) = event
	return nil
}

func (a *fakeAnswer) Close() error { return nil }

// fakeOwners passes each FinishRequest to the service that choose returns.
type fakeOwners struct{ choose func() *Service }

func (o fakeOwners) CallOwner(
	ctx context.Context, _ string, _ placement.Preference, _ string, request, response peer.Message, _ bool,
) error {
	decode := func(into peer.Message) error {
		*into.(*peerapi.FinishRequest) = *request.(*peerapi.FinishRequest)
		return nil
	}
	message, err := o.choose().handleFinishRequest(ctx, decode)
	if err == nil {
		*response.(*peerapi.FinishRequestResult) = *message.(*peerapi.FinishRequestResult)
	}
	return err
}

// fakeBundles holds one interactive workload.
type fakeBundles struct{}

func (fakeBundles) Current() *bundle.Accepted {
	return &bundle.Accepted{Bundle: bundle.Bundle{
		Version:   1,
		Workloads: []bundle.Workload{{Name: "filing", Kind: bundle.Interactive}},
	}}
}

func (fakeBundles) Changed() <-chan struct{} { return nil }

// askResult is the result of an ask as its caller sees it.
type askResult struct {
	outcome peerapi.Outcome
	tokens  []uint32
	// refused reports that the ask failed with an error, whose code is code.
	refused bool
	code    peer.Code
}

func request(id string, ask uint64) peerapi.Execute {
	return peerapi.Execute{
		Workload: "filing", RequestID: id, Attempt: 1, Prompt: []uint32{1, 2}, MaxTokens: 8, Ask: ask, TimeoutMillis: 20_000,
	}
}

// collector is the caller's side of a stream.
type collector struct{ events []peerapi.ExecuteEvent }

func (c *collector) Send(message peer.Message) error {
	c.events = append(c.events, *message.(*peerapi.ExecuteEvent))
	return nil
}

func refusalOf(err error) askResult {
	var refused *peer.Error
	if errors.As(err, &refused) {
		return askResult{refused: true, code: refused.Code}
	}
	return askResult{refused: true, code: peer.CodeInternal}
}

// execute calls a service's Execute handler as the peer server would.
func execute(ctx context.Context, service *Service, request peerapi.Execute) askResult {
	var caller collector
	decode := func(into peer.Message) error {
		*into.(*peerapi.Execute) = request
		return nil
	}
	if err := service.handleExecuteOnce(ctx, decode, &caller); err != nil {
		return refusalOf(err)
	}
	var end askResult
	for _, event := range caller.events {
		end.tokens = append(end.tokens, event.Tokens...)
		end.outcome = event.Outcome
	}
	return end
}

// resolve calls a service's Resolve handler as the peer server would.
func resolve(ctx context.Context, service *Service, of peerapi.Execute) askResult {
	question := peerapi.Resolve{
		Workload:   of.Workload,
		RequestID:  of.RequestID,
		Ask:        of.Ask,
		Digest:     Digest(of.Prompt, of.MaxTokens, of.Seed),
		WaitMillis: 5_000,
	}
	decode := func(into peer.Message) error {
		*into.(*peerapi.Resolve) = question
		return nil
	}
	message, err := service.handleResolve(ctx, decode)
	if err != nil {
		return refusalOf(err)
	}
	settled := message.(*peerapi.ResolveResult)
	return askResult{outcome: settled.Outcome, tokens: settled.Tokens}
}
