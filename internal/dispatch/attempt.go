package dispatch

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/hillfork/hillfork/internal/bundle"
	"github.com/hillfork/hillfork/internal/errorlog"
	"github.com/hillfork/hillfork/internal/mutation"
	"github.com/hillfork/hillfork/internal/peerapi"
	"github.com/hillfork/hillfork/internal/platform"
)

// Priorities by which engines batch work.
const (
	trainingPriority    = 0
	interactivePriority = 10
)

// Errors that end an attempt because of the weight version of its next tokens.
var (
	errWrongVersion = errors.New("tokens came from a version that is not accepted")
	// errSwapMove hands the tokens generated so far back, so that another engine can continue the sample.
	errSwapMove = errors.New("weights were swapped; the sample moves to another engine")
	// errSwapRestart hands no tokens back: the sample restarts.
	errSwapRestart = errors.New("weights were swapped; the sample restarts")
)

// attempt is one attempt to generate a sample, from its assignment until the step ledger has acknowledged its end.
type attempt struct {
	link       *stepShardLink
	assignment peerapi.Assignment
	requestID  string
	// neededCtx ends with the process, or when the step ledger no longer needs the attempt.
	neededCtx    context.Context
	cancelNeeded context.CancelFunc
	// streamCtx ends when the stream is cancelled, with the cause.
	streamCtx    context.Context
	cancelStream context.CancelCauseFunc

	mutex  sync.Mutex
	tokens []uint32
	spans  []peerapi.Span
	// ended is set when the stream has ended, and failed when it ended without a complete answer.
	ended  bool
	failed bool
	// hasSlot is set once the attempt has a slot.
	hasSlot bool
	// preempted is set when the slot was reclaimed before the stream ended.
	preempted bool
}

func (a *attempt) reference() peerapi.AttemptRef {
	return peerapi.AttemptRef{Step: a.assignment.Step, Index: a.assignment.Index, Attempt: a.assignment.Attempt}
}

// startAttempt runs an assignment, on a reserved slot or on the next one that the workload gets. It returns false for
// an assignment that is already running or that belongs to another workload.
func (l *stepShardLink) startAttempt(assignment peerapi.Assignment, reserved bool) bool {
	if assignment.Workload != l.key.workload {
		l.owner.logger.Error("step shard gave a sample of another workload", "workload", assignment.Workload, "shard", l.key)
		return false
	}
	neededCtx, cancelNeeded := context.WithCancel(l.owner.work)
	streamCtx, cancelStream := context.WithCancelCause(neededCtx)
	started := &attempt{
		link:         l,
		assignment:   assignment,
		requestID:    fmt.Sprintf("%s/%d/%d", assignment.Workload, assignment.Step, assignment.Index),
		neededCtx:    neededCtx,
		cancelNeeded: cancelNeeded,
		streamCtx:    streamCtx,
		cancelStream: cancelStream,
		tokens:       append([]uint32(nil), assignment.Resume...),
		spans:        append([]peerapi.Span(nil), assignment.ResumeSpans...),
	}
	if !l.registerAttempt(started) {
		started.discard()
		return false
	}
	l.owner.dispatcher.counters.AttemptsStarted.Add(1)
	l.owner.dispatcher.tasks.Go(func() { started.run(reserved) })
	l.reportNow.notify()
	if l.owner.intake.Err() != nil {
		cancelStream(errHandBack)
	}
	return true
}

func (l *stepShardLink) registerAttempt(started *attempt) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.attempts[started.reference()] != nil {
		return false
	}
	l.attempts[started.reference()] = started
	return true
}

// discard ends an attempt that the step ledger no longer needs.
func (a *attempt) discard() {
	a.cancelStream(errNotNeeded)
	a.cancelNeeded()
}

// preempt cancels the stream to free its slot. It returns false if the stream has no slot, has ended or is already
// preempted.
func (a *attempt) preempt() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if !a.hasSlot || a.ended || a.preempted {
		return false
	}
	a.preempted = true
	a.cancelStream(errPreempted)
	return true
}

// run generates the sample, releases the slot, and reports the end to the step ledger.
func (a *attempt) run(reserved bool) {
	owner := a.link.owner
	defer a.discard()
	if !reserved && !owner.slots.awaitSlot(a.streamCtx, a.assignment.Workload) {
		cause := context.Cause(a.streamCtx)
		a.recordEnd(cause)
		a.reportEnd(cause, 0)
		return
	}
	a.setHasSlot()
	a.discardForeignResume()
	incarnation := owner.state.view().incarnation
	err := a.checkStartable()
	if err == nil {
		err = a.generate()
	}
	preempted := a.recordEnd(err)
	owner.cooldown.observeEnd(err, a.streamCtx)
	owner.slots.release(a.assignment.Workload, 1, preempted)
	a.reportEnd(err, incarnation)
}

// discardForeignResume discards the tokens to resume if they came from other weights than the engine serves and the
// workload's bundle requires each sample to be generated under one version. The sample then starts from the beginning.
// The check is needed on every attempt, because the step ledger keeps the longest partial answer that it has received
// and offers it again each time.
func (a *attempt) discardForeignResume() {
	owner := a.link.owner
	workload := owner.workload(a.assignment.Workload)
	if workload == nil || workload.Swap != bundle.SwapRestart {
		return
	}
	foreign := func(span peerapi.Span) bool { return owner.state.differsFromServed(a.assignment.Model, span.Version) }
	if slices.ContainsFunc(a.assignment.ResumeSpans, foreign) {
		a.assignment.Resume, a.assignment.ResumeSpans = nil, nil
		a.mutex.Lock()
		a.tokens, a.spans = nil, nil
		a.mutex.Unlock()
	}
}

// checkStartable returns errHandBack if the engine stopped accepting work after the sample was pulled.
func (a *attempt) checkStartable() error {
	if _, ok := a.link.ready(); !ok || a.link.owner.intake.Err() != nil {
		a.cancelStream(errHandBack)
		return errHandBack
	}
	return nil
}

func (a *attempt) setHasSlot() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.hasSlot = true
}

// reportEnd submits the completed sample, or has the failure reported to the step ledger.
func (a *attempt) reportEnd(err error, incarnation uint64) {
	owner := a.link.owner
	switch {
	case err == nil:
		a.submitCompletion(incarnation, time.Now())
		a.link.removeAttempt(a.reference())
	case errors.Is(context.Cause(a.streamCtx), errNotNeeded):
		a.link.removeAttempt(a.reference())
	default:
		owner.dispatcher.counters.AttemptsFailed.Add(1)
		errorlog.Debug(owner.logger, "attempt ended early", err, "request", a.requestID, "attempt", a.assignment.Attempt)
		a.link.reportNow.notify()
	}
}

// recordEnd records the end of the stream and reports whether its slot had been reclaimed before.
func (a *attempt) recordEnd(err error) (preempted bool) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.ended = true
	a.failed = err != nil
	if errors.Is(err, errSwapRestart) {
		a.tokens, a.spans = nil, nil
	}
	return a.preempted
}

// running reports whether the stream has not ended yet.
func (a *attempt) running() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return !a.ended
}

// length returns the number of tokens in the answer so far.
func (a *attempt) length() int {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return len(a.tokens)
}

// progress returns the attempt's state for a report to the step ledger.
func (a *attempt) progress() peerapi.Progress {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	progress := peerapi.Progress{
		Step:    a.assignment.Step,
		Index:   a.assignment.Index,
		Attempt: a.assignment.Attempt,
		Tokens:  len(a.tokens),
		Failed:  a.failed,
		Spans:   slices.Clone(a.spans),
	}
	if a.failed {
		progress.Partial = a.tokens
	}
	return progress
}

// generate runs the stream to its end. It returns nil if the answer is complete.
func (a *attempt) generate() error {
	owner := a.link.owner
	stream, err := owner.engine.Generate(a.streamCtx, platform.GenerateRequest{
		RequestID: a.requestID,
		Attempt:   a.assignment.Attempt,
		Model:     a.assignment.Model,
		Prompt:    a.assignment.Prompt,
		Resume:    a.assignment.Resume,
		MaxTokens: a.assignment.MaxTokens,
		Seed:      a.assignment.Seed,
		Priority:  trainingPriority,
	})
	if err != nil {
		owner.cancelUnlessProvenNotRun(err, a.requestID, a.assignment.Attempt)
		return err
	}
	defer func() { _ = stream.Close() }()
	asm := newAssembler(a.requestID, a.assignment.Attempt, len(a.assignment.Resume))
	asm.mutations = owner.config.Mutations
	err = asm.receive(stream, a.appendChunk)
	owner.dispatcher.counters.countDrops(asm)
	if err != nil {
		owner.cancelAtEngine(a.requestID, a.assignment.Attempt)
	}
	return err
}

// appendChunk appends the tokens of a chunk to the answer, if their version is accepted.
func (a *attempt) appendChunk(chunk platform.Chunk) error {
	owner := a.link.owner
	if owner.config.Mutations.Has(mutation.VersionsFromOrders) {
		chunk.Version = owner.state.view().served[a.assignment.Model]
	}
	if err := owner.checkVersion(a.assignment.Workload, a.assignment.Model, chunk.Version); err != nil {
		return err
	}
	if chunk.Version < a.assignment.MinVersion {
		owner.quarantineIfContradicted(a.assignment.Model, chunk.Version)
		return errWrongVersion
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if err := a.checkSwap(chunk.Version); err != nil {
		return err
	}
	a.tokens = append(a.tokens, chunk.Tokens...)
	a.spans = appendSpan(a.spans, chunk)
	return nil
}

// checkSwap returns an error if the engine swapped weights during the attempt and the workload's bundle does not let
// samples continue under the new ones. The caller holds the lock.
func (a *attempt) checkSwap(version uint64) error {
	workload := a.link.owner.workload(a.assignment.Workload)
	if workload == nil || len(a.spans) == 0 || a.spans[len(a.spans)-1].Version == version {
		return nil
	}
	switch workload.Swap {
	case bundle.SwapRestart:
		return errSwapRestart
	case bundle.SwapMove:
		if len(a.tokens) > len(a.assignment.Resume) {
			return errSwapMove
		}
	}
	return nil
}

// checkVersion checks the version of tokens against the bundle in force. If the workload does not accept it, the engine
// is quarantined for the model.
func (o *engineOwner) checkVersion(workloadName, model string, version uint64) error {
	workload := o.workload(workloadName)
	if workload != nil && !versionBounds(*workload).Accept(version) {
		o.dispatcher.counters.ChunksWrongVersion.Add(1)
		o.quarantine(model, version)
		return errWrongVersion
	}
	return nil
}

// quarantineIfContradicted quarantines the engine if its tokens came from another version than the one in its status.
// Otherwise, it would be assigned samples that need the reported version again and again.
func (o *engineOwner) quarantineIfContradicted(model string, version uint64) {
	if o.state.differsFromServed(model, version) {
		o.quarantine(model, version)
	}
}

// quarantine assigns the engine no new work of a model until a load order has been sent and its success verified.
func (o *engineOwner) quarantine(model string, version uint64) {
	if o.state.quarantine(model) {
		o.dispatcher.counters.Quarantines.Add(1)
		o.logger.Warn("engine is quarantined for the version of its tokens", "model", model, "version", version)
	}
}

// cancelUnlessProvenNotRun cancels work that the engine may be running although the call failed.
func (o *engineOwner) cancelUnlessProvenNotRun(err error, requestID string, attempt uint32) {
	if !provenNotRun(err) {
		o.cancelAtEngine(requestID, attempt)
	}
}

// provenNotRun reports whether an error proves that the engine ran nothing.
func provenNotRun(err error) bool {
	return errors.Is(err, platform.ErrRejected) || errors.Is(err, platform.ErrNotSent)
}

// cancelAtEngine cancels a stream at the engine; failures are only logged.
func (o *engineOwner) cancelAtEngine(requestID string, attempt uint32) {
	ctx, cancel := context.WithTimeout(o.work, o.config.Timing.StatusTimeout)
	defer cancel()
	if err := o.engine.Cancel(ctx, requestID, attempt); err != nil {
		errorlog.Debug(o.logger, "stream could not be cancelled", err, "request", requestID)
	}
}

// runningAttempts returns the matching attempts that have not ended or been cancelled.
func (o *engineOwner) runningAttempts(wanted func(*attempt) bool) []*attempt {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	var found []*attempt
	for _, link := range o.links {
		found = append(found, link.runningAttempts(wanted)...)
	}
	return found
}

func (l *stepShardLink) runningAttempts(wanted func(*attempt) bool) []*attempt {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var found []*attempt
	for _, candidate := range l.attempts {
		if candidate.running() && candidate.streamCtx.Err() == nil && wanted(candidate) {
			found = append(found, candidate)
		}
	}
	return found
}

// cancelAttempts cancels all running attempts.
func (o *engineOwner) cancelAttempts(cause error) {
	for _, running := range o.runningAttempts(func(*attempt) bool { return true }) {
		running.cancelStream(cause)
	}
}
