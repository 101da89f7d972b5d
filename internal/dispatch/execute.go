package dispatch

import (
	"context"
	"errors"
	"time"

	"github.com/hillfork/hillfork/internal/bundle"
	"github.com/hillfork/hillfork/internal/peer"
	"github.com/hillfork/hillfork/internal/peerapi"
	"github.com/hillfork/hillfork/internal/platform"
)

// errDeadline ends a request whose deadline has passed.
var errDeadline = errors.New("deadline passed")

// requestKey identifies a request in flight at an engine.
type requestKey struct {
	workload  string
	requestID string
	attempt   uint32
}

// requestRun is one interactive request at an engine.
type requestRun struct {
	owner    *engineOwner
	request  *peerapi.Execute
	workload *bundle.Workload
	stream   peer.ServerStream
	// engineRequestID is unique among the requests of all workloads.
	engineRequestID string
	sent            int
}

// execute handles MethodExecute: it admits the request, forwards the engine's stream, and sends exactly one event with
// an outcome. Every error that it returns before the first event is a refusal, which proves that nothing ran.
func (d *Dispatcher) execute(ctx context.Context, decode peer.Decode, stream peer.ServerStream) error {
	request := &peerapi.Execute{}
	if err := decode(request); err != nil {
		return &peer.Error{Code: peer.CodeInvalid, Message: err.Error()}
	}
	owner := d.owner(request.Engine)
	if owner == nil {
		return d.notOwner(request.Engine)
	}
	run, err := owner.checkRequest(request, stream)
	if err != nil {
		d.counters.RequestsRefused.Add(1)
		return err
	}
	return run.run(ctx)
}

// checkRequest checks a request against the bundle in force and the state of the engine.
func (o *engineOwner) checkRequest(request *peerapi.Execute, stream peer.ServerStream) (*requestRun, error) {
	if o.config.Bundles.Current() == nil {
		return nil, notReady("no bundle is in force yet")
	}
	workload := o.workload(request.Workload)
	if workload == nil || workload.Kind != bundle.Interactive {
		return nil, invalid("workload " + request.Workload + " is not an interactive one of this engine's pool")
	}
	if len(request.Prompt) > workload.Limits.MaxPromptTokens {
		return nil, invalid("prompt is longer than the bundle's max_prompt_tokens")
	}
	if request.MaxTokens <= 0 || request.MaxTokens > workload.Limits.MaxTokens {
		return nil, invalid("max tokens must be positive and within the bundle's max_tokens")
	}
	if request.TimeoutMillis < 0 {
		return nil, invalid("deadline has passed")
	}
	if _, ok := o.acceptsWork(workload); !ok {
		return nil, notReady("engine takes no work of this workload now")
	}
	return &requestRun{
		owner:           o,
		request:         request,
		workload:        workload,
		stream:          stream,
		engineRequestID: request.Workload + "/" + request.RequestID,
		sent:            len(request.Resume),
	}, nil
}

func invalid(reason string) *peer.Error {
	return &peer.Error{Code: peer.CodeInvalid, Message: reason}
}

// run queues the request, runs it, and sends the outcome.
func (r *requestRun) run(ctx context.Context) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timeout := r.timeout()
	if timeout > 0 {
		timer := time.AfterFunc(timeout, func() { cancel(errDeadline) })
		defer timer.Stop()
	}
	if err := r.owner.registerRequest(r.key(), cancel); err != nil {
		return err
	}
	defer r.owner.unregisterRequest(r.key())
	if err := r.admit(ctx, timeout); err != nil {
		r.owner.dispatcher.counters.RequestsRefused.Add(1)
		return err
	}
	began := time.Now()
	defer func() { r.owner.slots.finishRequest(r.request.Workload, time.Since(began)) }()
	if _, ok := r.owner.acceptsWork(r.workload); !ok {
		r.owner.dispatcher.counters.RequestsRefused.Add(1)
		return notReady("engine stopped to take work of this workload")
	}
	r.owner.dispatcher.counters.RequestsAdmitted.Add(1)
	return r.generate(ctx)
}

func (r *requestRun) key() requestKey {
	return requestKey{workload: r.request.Workload, requestID: r.request.RequestID, attempt: r.request.Attempt}
}

// timeout returns the time limit of the request; 0 means no limit.
func (r *requestRun) timeout() time.Duration {
	timeout := time.Duration(r.request.TimeoutMillis) * time.Millisecond
	limit := time.Duration(r.workload.Limits.Timeout)
	if limit > 0 && (timeout <= 0 || limit < timeout) {
		return limit
	}
	return max(0, timeout)
}

// queueTimeout returns how long the request may wait for a slot; 0 means no limit.
func (r *requestRun) queueTimeout(remaining time.Duration) time.Duration {
	limit := time.Duration(r.request.QueueMillis) * time.Millisecond
	if limit > 0 && (remaining <= 0 || limit < remaining) {
		return limit
	}
	return remaining
}

// admit waits for a slot. An error proves that nothing ran.
func (r *requestRun) admit(ctx context.Context, remaining time.Duration) error {
	remaining = r.queueTimeout(remaining)
	var expired <-chan time.Time
	if remaining > 0 {
		expired = time.After(remaining)
	}
	waiting, err := r.owner.slots.enqueue(r.request.Workload, remaining)
	if err != nil {
		return err
	}
	select {
	case <-waiting.granted:
		return nil
	case <-waiting.refused:
		return notReady("engine takes no more work")
	case <-expired:
		r.owner.slots.abandon(waiting)
		return notReady("request ended in the queue: " + errDeadline.Error())
	case <-ctx.Done():
		r.owner.slots.abandon(waiting)
		return notReady("request ended in the queue: " + context.Cause(ctx).Error())
	}
}

// generate runs the request on its slot and sends its events.
func (r *requestRun) generate(ctx context.Context) error {
	stream, err := r.owner.engine.Generate(ctx, platform.GenerateRequest{
		RequestID: r.engineRequestID,
		Attempt:   r.request.Attempt,
		Model:     r.workload.Model,
		Prompt:    r.request.Prompt,
		Resume:    r.request.Resume,
		MaxTokens: r.request.MaxTokens,
		Seed:      r.request.Seed,
		Priority:  interactivePriority,
	})
	if err != nil {
		return r.sendFailure(ctx, err)
	}
	defer func() { _ = stream.Close() }()
	if err := r.stream.Send(&peerapi.ExecuteEvent{
		RequestID: r.request.RequestID,
		Attempt:   r.request.Attempt,
		Index:     r.sent,
		Accepted:  true,
		Load:      r.owner.slots.load(),
	}); err != nil {
		return r.sendFailure(ctx, err)
	}
	asm := newAssembler(r.engineRequestID, r.request.Attempt, len(r.request.Resume))
	err = asm.receive(stream, r.sendChunk)
	r.owner.dispatcher.counters.countDrops(asm)
	if err != nil {
		return r.sendFailure(ctx, err)
	}
	return r.sendOutcome(peerapi.OutcomeCompleted, "")
}

// sendChunk forwards a chunk to the caller, if its version is accepted.
func (r *requestRun) sendChunk(chunk platform.Chunk) error {
	if err := r.owner.checkVersion(r.request.Workload, r.workload.Model, chunk.Version); err != nil {
		return err
	}
	r.sent = chunk.Index + len(chunk.Tokens)
	return r.stream.Send(&peerapi.ExecuteEvent{
		RequestID: r.request.RequestID,
		Attempt:   r.request.Attempt,
		Index:     chunk.Index,
		Tokens:    chunk.Tokens,
		Version:   chunk.Version,
		Load:      r.owner.slots.load(),
	})
}

// sendFailure sends the outcome of a failed request and cancels the request at the engine if it may have run.
func (r *requestRun) sendFailure(ctx context.Context, err error) error {
	if provenNotRun(err) && r.sent == len(r.request.Resume) {
		return r.sendOutcome(peerapi.OutcomeNotRun, err.Error())
	}
	// The outcome is sent before the cancellation, because cancelling at an engine that is down takes until the
	// timeout.
	defer r.owner.cancelAtEngine(r.engineRequestID, r.request.Attempt)
	cause := context.Cause(ctx)
	if errors.Is(cause, errDeadline) {
		return r.sendOutcome(peerapi.OutcomeCancelled, errDeadline.Error())
	}
	if cause != nil && !errors.Is(cause, errEngineDown) {
		return r.sendOutcome(peerapi.OutcomeCancelled, cause.Error())
	}
	return r.sendOutcome(peerapi.OutcomeUnknown, err.Error())
}

func (r *requestRun) sendOutcome(outcome peerapi.Outcome, reason string) error {
	return r.stream.Send(&peerapi.ExecuteEvent{
		RequestID: r.request.RequestID,
		Attempt:   r.request.Attempt,
		Index:     r.sent,
		Outcome:   outcome,
		Reason:    reason,
		Load:      r.owner.slots.load(),
	})
}

// registerRequest records a request in flight. It returns an error if the same attempt is already running.
func (o *engineOwner) registerRequest(key requestKey, cancel context.CancelCauseFunc) error {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.requests[key] != nil {
		return &peer.Error{Code: peer.CodeConflict, Message: "this attempt of the request is running already"}
	}
	o.requests[key] = cancel
	return nil
}

func (o *engineOwner) unregisterRequest(key requestKey) {
	o.mutex.Lock()
	delete(o.requests, key)
	o.mutex.Unlock()
	o.workEnded.notify()
}

// cancelRequests cancels all requests in flight.
func (o *engineOwner) cancelRequests(cause error) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	for _, cancel := range o.requests {
		cancel(cause)
	}
}
