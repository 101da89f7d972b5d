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

// Priorities that engines batch by.
const (
	trainingPriority    = 0
	interactivePriority = 10
)

// Ends of an attempt that the version of its next tokens brings about.
var (
	errWrongVersion = errors.New("tokens came from a version that is not accepted")
	// errSwapMove hands the tokens so far back, so that the sample can go on at another engine.
	errSwapMove = errors.New("weights were swapped, the sample moves")
	// errSwapRestart hands nothing back: the sample starts again.
	errSwapRestart = errors.New("weights were swapped, the sample starts again")
)

// attempt is one try at one sample, from its assignment until the step ledger has its end.
type attempt struct {
	link       *workLink
	assignment peerapi.Assignment
	requestID  string
	// useful ends with the process, or when the step ledger has no more use for the attempt.
	useful context.Context
	forgo  context.CancelFunc
	// alive ends when the stream is cancelled, with the cause.
	alive  context.Context
	cancel context.CancelCauseFunc

	mutex  sync.Mutex
	tokens []uint32
	spans  []peerapi.Span
	// ended is set with the end of the stream; failed, where no whole answer came of it.
	ended  bool
	failed bool
	// onSlot is set once the attempt has a slot.
	onSlot bool
	// preempted is set when the slot was reclaimed while the stream still held it.
	preempted bool
}

func (a *attempt) reference() peerapi.AttemptRef {
	return peerapi.AttemptRef{Step: a.assignment.Step, Index: a.assignment.Index, Attempt: a.assignment.Attempt}
}

// startAttempt runs an assignment, on a reserved slot or on the next one that the workload gets. It is false for one that
// is running already, or that belongs to another workload.
func (l *workLink) startAttempt(assignment peerapi.Assignment, reserved bool) bool {
	if assignment.Workload != l.key.workload {
		l.owner.logger.Error("step shard gave a sample of another workload", "workload", assignment.Workload, "shard", l.key)
		return false
	}
	useful, forgo := context.WithCancel(l.owner.work)
	alive, cancel := context.WithCancelCause(useful)
	started := &attempt{
		link:       l,
		assignment: assignment,
		requestID:  fmt.Sprintf("%s/%d/%d", assignment.Workload, assignment.Step, assignment.Index),
		useful:     useful,
		forgo:      forgo,
		alive:      alive,
		cancel:     cancel,
		tokens:     append([]uint32(nil), assignment.Resume...),
		spans:      append([]peerapi.Span(nil), assignment.ResumeSpans...),
	}
	if !l.register(started) {
		started.drop()
		return false
	}
	l.owner.dispatcher.counters.AttemptsStarted.Add(1)
	l.owner.dispatcher.tasks.Go(func() { started.run(reserved) })
	l.urgent.notify()
	if l.owner.intake.Err() != nil {
		cancel(errHandBack)
	}
	return true
}

func (l *workLink) register(started *attempt) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.attempts[started.reference()] != nil {
		return false
	}
	l.attempts[started.reference()] = started
	return true
}

// drop ends an attempt that the step ledger has no use for.
func (a *attempt) drop() {
	a.cancel(errUseless)
	a.forgo()
}

// preempt cancels the stream for its slot; false when it has just ended by itself.
func (a *attempt) preempt() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if !a.onSlot || a.ended || a.preempted {
		return false
	}
	a.preempted = true
	a.cancel(errPreempted)
	return true
}

// run generates the sample, gives the slot back, and sees that the step ledger learns of the end.
func (a *attempt) run(reserved bool) {
	owner := a.link.owner
	defer a.drop()
	if !reserved && !owner.slots.await(a.alive, a.assignment.Workload) {
		cause := context.Cause(a.alive)
		a.end(cause)
		a.settle(cause, 0)
		return
	}
	a.takeSlot()
	a.dropForeignResume()
	incarnation := owner.state.view().incarnation
	err := a.startable()
	if err == nil {
		err = a.generate()
	}
	preempted := a.end(err)
	owner.cooling.note(err, a.alive)
	owner.slots.release(a.assignment.Workload, 1, preempted)
	a.settle(err, incarnation)
}

// dropForeignResume starts from the beginning where the workload's bundle lets no sample go on under other weights than
// it began with, and the tokens to resume came from other weights than the engine serves. The step ledger keeps the
// longest part that it was ever handed, so it offers that part again and again.
func (a *attempt) dropForeignResume() {
	owner := a.link.owner
	workload := owner.workload(a.assignment.Workload)
	if workload == nil || workload.Swap != bundle.SwapRestart {
		return
	}
	foreign := func(span peerapi.Span) bool { return owner.state.contradicts(a.assignment.Model, span.Version) }
	if slices.ContainsFunc(a.assignment.ResumeSpans, foreign) {
		a.assignment.Resume, a.assignment.ResumeSpans = nil, nil
		a.mutex.Lock()
		a.tokens, a.spans = nil, nil
		a.mutex.Unlock()
	}
}

// startable refuses to start work at an engine that stopped to take it after the sample was pulled.
func (a *attempt) startable() error {
	if _, ok := a.link.ready(); !ok || a.link.owner.intake.Err() != nil {
		a.cancel(errHandBack)
		return errHandBack
	}
	return nil
}

func (a *attempt) takeSlot() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.onSlot = true
}

// settle sees that the step ledger learns of the end.
func (a *attempt) settle(err error, incarnation uint64) {
	owner := a.link.owner
	switch {
	case err == nil:
		a.complete(incarnation, time.Now())
		a.link.forget(a.reference())
	case errors.Is(context.Cause(a.alive), errUseless):
		a.link.forget(a.reference())
	default:
		owner.dispatcher.counters.AttemptsFailed.Add(1)
		errorlog.Debug(owner.logger, "attempt ended early", err, "request", a.requestID, "attempt", a.assignment.Attempt)
		a.link.urgent.notify()
	}
}

// end notes how the stream ended, and tells whether its slot was reclaimed before.
func (a *attempt) end(err error) (preempted bool) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.ended = true
	a.failed = err != nil
	if errors.Is(err, errSwapRestart) {
		a.tokens, a.spans = nil, nil
	}
	return a.preempted
}

// running tells whether the stream has not ended yet.
func (a *attempt) running() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return !a.ended
}

// length is how many tokens the answer has so far.
func (a *attempt) length() int {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return len(a.tokens)
}

// progress describes the attempt to its step ledger.
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

// generate runs the stream to its end. Nil says that the answer is whole.
func (a *attempt) generate() error {
	owner := a.link.owner
	stream, err := owner.engine.Generate(a.alive, platform.GenerateRequest{
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
		owner.cancelUnlessProvenUnsent(err, a.requestID, a.assignment.Attempt)
		return err
	}
	defer func() { _ = stream.Close() }()
	order := newAssembler(a.requestID, a.assignment.Attempt, len(a.assignment.Resume))
	order.mutations = owner.config.Mutations
	err = order.receive(stream, a.keep)
	owner.dispatcher.counters.countDrops(order)
	if err != nil {
		owner.cancelAtEngine(a.requestID, a.assignment.Attempt)
	}
	return err
}

// keep adds the tokens of a chunk to the answer, if their version may be delivered.
func (a *attempt) keep(chunk platform.Chunk) error {
	owner := a.link.owner
	if owner.config.Mutations.Has(mutation.VersionsFromOrders) {
		chunk.Version = owner.state.view().served[a.assignment.Model]
	}
	if err := owner.checkVersion(a.assignment.Workload, a.assignment.Model, chunk.Version); err != nil {
		return err
	}
	if chunk.Version < a.assignment.MinVersion {
		owner.doubtStatus(a.assignment.Model, chunk.Version)
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

// checkSwap ends the attempt when the engine took new weights under it and the workload's bundle does not let samples go
// on under them. The caller holds the lock.
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

// checkVersion compares the version of tokens with the bundle in force. A version that the workload does not accept
// quarantines the engine for the model.
func (o *engineOwner) checkVersion(workloadName, model string, version uint64) error {
	workload := o.workload(workloadName)
	if workload != nil && !versionBounds(*workload).Accept(version) {
		o.dispatcher.counters.ChunksWrongVersion.Add(1)
		o.quarantine(model, version)
		return errWrongVersion
	}
	return nil
}

// doubtStatus quarantines the engine when its tokens are too old for a sample that suits the version it claims to serve:
// it would be given such samples for ever.
func (o *engineOwner) doubtStatus(model string, version uint64) {
	if o.state.contradicts(model, version) {
		o.quarantine(model, version)
	}
}

// quarantine keeps new work of a model away until the engine was ordered to load, and was seen to have done so.
func (o *engineOwner) quarantine(model string, version uint64) {
	if o.state.quarantine(model) {
		o.dispatcher.counters.Quarantines.Add(1)
		o.logger.Warn("engine is quarantined for the version of its tokens", "model", model, "version", version)
	}
}

// cancelUnlessProvenUnsent cancels work that the engine may have although the call failed.
func (o *engineOwner) cancelUnlessProvenUnsent(err error, requestID string, attempt uint32) {
	if !provenNotRun(err) {
		o.cancelAtEngine(requestID, attempt)
	}
}

// provenNotRun tells whether an error proves that the engine ran nothing.
func provenNotRun(err error) bool {
	return errors.Is(err, platform.ErrRejected) || errors.Is(err, platform.ErrNotSent)
}

// cancelAtEngine stops a stream at the engine, as far as the engine can be reached.
func (o *engineOwner) cancelAtEngine(requestID string, attempt uint32) {
	ctx, cancel := context.WithTimeout(o.work, o.config.Timing.StatusTimeout)
	defer cancel()
	if err := o.engine.Cancel(ctx, requestID, attempt); err != nil {
		errorlog.Debug(o.logger, "stream could not be cancelled", err, "request", requestID)
	}
}

// runningAttempts returns the attempts that have not ended and are wanted.
func (o *engineOwner) runningAttempts(wanted func(*attempt) bool) []*attempt {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	var found []*attempt
	for _, link := range o.links {
		found = append(found, link.runningAttempts(wanted)...)
	}
	return found
}

func (l *workLink) runningAttempts(wanted func(*attempt) bool) []*attempt {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var found []*attempt
	for _, candidate := range l.attempts {
		if candidate.running() && candidate.alive.Err() == nil && wanted(candidate) {
			found = append(found, candidate)
		}
	}
	return found
}

// cancelAttempts cuts all attempts that have not ended.
func (o *engineOwner) cancelAttempts(cause error) {
	for _, running := range o.runningAttempts(func(*attempt) bool { return true }) {
		running.cancel(cause)
	}
}
