package jobrun

import (
	"context"
	"math"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hillfork/hillfork/internal/catalog"
	"github.com/hillfork/hillfork/internal/engineapi"
	"github.com/hillfork/hillfork/internal/eventrun"
	"github.com/hillfork/hillfork/internal/fleet"
	"github.com/hillfork/hillfork/internal/job"
	"github.com/hillfork/hillfork/internal/pause"
	"github.com/hillfork/hillfork/internal/policy"
)

const (
	// firstEventTimeout bounds the wait for the first event: engines answer within milliseconds unless they queue requests.
	firstEventTimeout = 1200 * time.Millisecond
	// The timeout between two events is eventGapFactor times the engine's usual pace (time per event), but at least minEventGap.
	minEventGap    = 400 * time.Millisecond
	eventGapFactor = 8
	// maxEventGap is the upper bound of that timeout, and its value while the engine's pace is not known.
	maxEventGap = 1500 * time.Millisecond
	// moveCheckInterval is how often an item that runs on a slow engine checks for a slot at a better one.
	moveCheckInterval = 250 * time.Millisecond
	// maxExactVersionWait is how long a text that must have one weight version waits for an engine that serves it. Callers accept
	// that an item waits up to 5 s while engines are free, of which the assignment takes some tenths of a second.
	maxExactVersionWait = 3 * time.Second
	// acquireTimeout is how long an item waits for a slot before its requirements are computed anew.
	acquireTimeout = 300 * time.Millisecond
	// minRetryBackoff and maxRetryBackoff bound the exponential backoff after runs that produced no event.
	minRetryBackoff = 10 * time.Millisecond
	maxRetryBackoff = 300 * time.Millisecond
	// loadingBackoff is how long an engine that rejected an item because it loads weights gets no further items.
	loadingBackoff = 150 * time.Millisecond
	// scoreTimeout bounds one call to a scorer, retries included.
	scoreTimeout       = 6 * time.Second
	scoreRetryInterval = 50 * time.Millisecond
	// emptyPoolWait bounds the wait for a slot in a pool of scorers without engines, after which the scorer's route is looked up again.
	emptyPoolWait = 300 * time.Millisecond
	// withheldPollInterval is how often the quarantine is queried again for an item that pauses, or for the scorer call of an item
	// that is withheld, because engines ended while they ran it.
	withheldPollInterval = 250 * time.Millisecond
	// estimateSlack is added to deadlines that are computed from the wall clock of another process.
	estimateSlack = 4 * time.Second
	// deadlineSlack is added to the time after which an item may be abandoned.
	deadlineSlack = 50 * time.Millisecond
)

// execution runs one item of a job until it has a result.
type execution struct {
	runner *runner
	view   job.View
	item   job.Item
	// ordinal is the item's position in the submission.
	ordinal  int
	rank     Rank
	critical *criticalEvents
	// queued must be called once the item waits for a slot, or once it is known that it will not wait for one soon (see Batch).
	queued func()

	mutex sync.Mutex
	// events holds the data of the item's events so far; versions holds the weight versions that produced them.
	events   []string
	versions []int64
	// textBytes is the size of the text of the events.
	textBytes int
	failures  int
	// checkpointed is the number of events that the store has, and pieces the number of records of the line that hold them. A line
	// of 0 has not been started.
	checkpointed int
	line         uint64
	pieces       int
	// complete is set when all events have been received; score is the scorer's answer to them.
	complete bool
	score    string
	finished bool
	// held is how long the item has held slots of engines so far, without the current one; heldSince is when the current slot was
	// acquired, zero if there is none.
	held      time.Duration
	heldSince time.Time
	// pending is progress of another owner that replaces the item's own before the next run; interrupt cancels the current run.
	pending   *job.Progress
	interrupt context.CancelFunc
	// departureSlot is the slot that the current run moves to because its engine leaves, nil if there is none.
	departureSlot *Slot

	// The fields below are accessed by the goroutine of run only, except yields.
	engine         fleet.Engine
	currentVersion int64
	sentAt         time.Time
	lastEventAt    time.Time
	// heardSince is when the last run that ended in silence was sent, or its last event arrived. Connections over which nothing has
	// arrived since may be silent too.
	heardSince    time.Time
	moveCheckedAt time.Time
	runEndedAt    time.Time
	// waitingSince is when the item began to wait for an engine, zero while it does not wait.
	waitingSince time.Time
	emptyRuns    int
	// nextSlot is the slot that the item moves to, nil if none was acquired.
	nextSlot *Slot
	// reservation is the claim to a slot that another run gives up for this one, nil if there is none.
	reservation *Reservation
	// yields counts how often the item was requested to give its slot up.
	yields atomic.Int32
	// alone reports that the next run should use an engine that runs nothing else.
	alone bool
	// exclude holds the engine that the next run must not use; rejected reports that this engine rejected the item.
	exclude  []string
	rejected bool
}

func newExecution(r *runner, view job.View, open job.OpenItem, carried bool) *execution {
	e := &execution{
		runner: r, view: view, item: open.Item, ordinal: open.Index,
		rank: Rank{Carried: carried, Length: open.Item.LengthHint},
	}
	if open.Progress != nil && versionsAllowed(open.Progress.Versions, view.Spec.MinVersion) {
		e.setProgress(open.Progress)
	}
	return e
}

// run executes the item and lists its result, unless the context ends first.
func (e *execution) run(ctx context.Context) {
	defer e.queued()
	e.awaitRoute(ctx)
	runCtx, cancel := e.withDeadline(ctx)
	defer cancel()
	result := e.produce(runCtx)
	if ctx.Err() != nil {
		return
	}
	finished := time.Now()
	e.markFinished()
	e.runner.writer.list(e.view.Spec.ID, result, func() {
		e.runner.config.Metrics.listed(time.Since(finished))
		e.runner.config.Logger.Info("item listed", "job", e.view.Spec.ID, "item", e.item.ID, "dead", result.Dead,
			"group", e.item.Group, "versions", result.Versions, "events", len(e.events), "engine", e.engine.ID,
			"after_last_event", e.sinceLastEvent().Round(time.Millisecond),
			"age", time.Since(e.view.AcceptedAt).Round(time.Millisecond))
	})
}

// sinceLastEvent returns the time since this process received the item's last event, or 0 if it has received none.
func (e *execution) sinceLastEvent() time.Duration {
	if e.lastEventAt.IsZero() {
		return 0
	}
	return time.Since(e.lastEventAt)
}

// lastSign returns when the current run was sent, or when its last event arrived.
func (e *execution) lastSign() time.Time {
	if e.lastEventAt.IsZero() {
		return e.sentAt
	}
	return e.lastEventAt
}

// withDeadline returns a context that ends when the item may be abandoned.
func (e *execution) withDeadline(ctx context.Context) (context.Context, context.CancelFunc) {
	route, known := e.itemRoute()
	if !known || route.MaxWait <= 0 {
		return context.WithCancel(ctx)
	}
	deadline := e.view.AcceptedAt.Add(route.MaxWait + deadlineSlack)
	if e.view.Estimated {
		deadline = deadline.Add(estimateSlack)
	}
	return context.WithDeadline(ctx, deadline)
}

// produce runs the item until its text is complete and scored. The result is marked dead if the item is abandoned.
func (e *execution) produce(ctx context.Context) *job.Result {
	dead := &job.Result{ItemID: e.item.ID, Dead: true}
	if !e.generate(ctx) {
		return dead
	}
	e.queued()
	e.mutex.Lock()
	e.complete = true
	score := e.score
	e.mutex.Unlock()
	if score == "" {
		received, ok := e.requestScore(ctx)
		if !ok {
			return dead
		}
		e.mutex.Lock()
		e.score = received
		e.mutex.Unlock()
		score = received
	}
	return &job.Result{
		ItemID: e.item.ID, Text: strings.Join(e.events, "\n"), Versions: slices.Clone(e.versions), Score: score,
	}
}

// generate runs the item on engines until its text is complete. It returns false if the item is abandoned.
func (e *execution) generate(ctx context.Context) bool {
	defer e.releaseNextSlot()
	for ctx.Err() == nil {
		if e.applyPending() {
			return true
		}
		route, ok := e.route()
		if !ok {
			e.queued()
			if e.ownRouteRemoved(ctx) {
				e.runner.config.Logger.Info("item given up, its route is gone", "item", e.item.ID, "job", e.view.Spec.ID)
				return false
			}
			continue
		}
		if e.pauses(ctx) {
			continue
		}
		if e.waitingSince.IsZero() {
			e.waitingSince = time.Now()
		}
		runCtx, cancel := e.interruptible(ctx)
		slot := e.takeNextSlot()
		if slot == nil {
			slot, _ = e.acquire(runCtx, e.wantForNextRun(route), e.yieldFunc(route, cancel))
		}
		if slot == nil {
			cancel()
			e.includeRejected()
			continue
		}
		if runCtx.Err() != nil || !slot.MaySend() || !e.runner.config.Directory.MayStart(slot.Engine.ID, e.view.Spec.Model) || !e.admitted(runCtx) {
			cancel()
			slot.Release()
			continue
		}
		before := len(e.events)
		result := e.runInSlot(runCtx, cancel, slot, route)
		if done, complete := e.handleEnding(ctx, route, result); done {
			return complete
		}
		e.backOff(ctx, len(e.events) > before)
	}
	return false
}

// runInSlot runs the item in a slot, and then cancels the run's context and releases the slot.
func (e *execution) runInSlot(ctx context.Context, cancel context.CancelFunc, slot *Slot, route catalog.Route) eventrun.Result {
	engine := slot.Engine
	e.runner.config.Logger.Info("item placed", "job", e.view.Spec.ID, "item", e.item.ID, "group", e.item.Group, "engine", engine.ID,
		"version", engine.ServedVersion(e.view.Spec.Model), "min_version", e.view.Spec.MinVersion, "resume_after", len(e.events),
		"epoch", e.runner.writer.Epoch(), "waited", time.Since(e.waitingSince).Round(time.Millisecond),
		"left", math.Round(e.expectedEvents()), "critical", math.Round(e.critical.Value()))
	waitingSince := e.waitingSince
	e.waitingSince = time.Time{}
	e.markSlotHeld()
	e.runner.config.Mover.begin(e, slot)
	result := e.runOnEngine(ctx, engine, route)
	e.runner.config.Mover.end(e)
	e.dropReservation()
	cancel()
	slot.Release()
	e.markSlotReleased()
	if result.Ending == eventrun.EndedNotRun {
		// No engine ran the item, so its waiting time continues.
		e.waitingSince = waitingSince
	}
	return result
}

// pauses waits for some time if engines ended while they ran the item and its next run must wait, and reports whether it did. The
// pause ends early once an item of equal content is complete. An item that has the slot for its next run does not wait here.
func (e *execution) pauses(ctx context.Context) bool {
	if e.nextSlot != nil {
		return false
	}
	admission := e.runner.config.Quarantine.ItemPause(e.call())
	e.alone = admission.Alone
	if admission.MaySend() {
		return false
	}
	e.queued()
	pause.For(ctx, min(admission.Wait, withheldPollInterval))
	return true
}

// admitted reports whether the quarantine lets the item start now. It is called once the item has a slot.
func (e *execution) admitted(ctx context.Context) bool {
	return e.runner.config.Quarantine.Admit(ctx, e.call(), policy.CrashItem).MaySend()
}

func (e *execution) runOnEngine(ctx context.Context, engine fleet.Engine, route catalog.Route) eventrun.Result {
	e.engine = engine
	e.currentVersion = 0
	e.lastEventAt = time.Time{}
	e.moveCheckedAt = time.Now()
	e.sentAt = e.moveCheckedAt
	call := e.call()
	call.ResumeAfter = int64(len(e.events))
	call.HeardSince = e.heardSince
	call.Priority = min(9, e.runner.config.Catalog.Priority(route, e.view.Spec.Tenant))
	if deadline, bounded := ctx.Deadline(); bounded {
		call.Remaining = time.Until(deadline)
	}
	return eventrun.Run(ctx, e.runner.config.Client, engine, call, e.silenceLimits(engine, route), e)
}

// call returns the request, which is the same for every run of the item except for the fields set by runOnEngine.
func (e *execution) call() engineapi.Call {
	return engineapi.Call{
		Kind: engineapi.CallItem, Method: http.MethodPost, Target: e.item.Path, Host: e.view.Spec.Host,
		Header: header(e.item.Header), Body: e.item.Body, RequestID: e.item.ID, Tenant: e.view.Spec.Tenant,
	}
}

// silenceLimits returns the timeouts for the engine's first event and between events.
func (e *execution) silenceLimits(engine fleet.Engine, route catalog.Route) eventrun.Limits {
	gap := maxEventGap
	if pace := e.runner.config.Directory.Pace(engine.ID); pace > 0 {
		gap = min(maxEventGap, max(minEventGap, eventGapFactor*pace))
	}
	first := firstEventTimeout
	if route.SingleVersion {
		// A run that must not mix versions waits for the engine to load weights instead of starting over elsewhere.
		first = 4 * firstEventTimeout
	}
	return eventrun.Limits{First: first, Gap: gap}
}
