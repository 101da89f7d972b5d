package jobrun

import (
	"context"
	"errors"
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
	"github.com/hillfork/hillfork/internal/quarantine"
)

const (
	// firstSilence bounds the wait for the first event: engines answer within milliseconds unless they queue.
	firstSilence = 1200 * time.Millisecond
	// gapLeast and gapPaces bound the silence between events: so many times the engine's usual pace.
	gapLeast = 400 * time.Millisecond
	gapPaces = 8
	// gapMost bounds it where the pace is not known yet.
	gapMost = 1500 * time.Millisecond
	// moveLook is how often an item on a slow engine looks for a better one.
	moveLook = 250 * time.Millisecond
	// exactMost is how long a text of one version waits for an engine of its version. Callers allow an item 5 s at no engine beside free
	// ones, of which placing takes some tenths.
	exactMost = 3 * time.Second
	// placeAgain is how long an item waits for an engine before it looks again at what it needs.
	placeAgain = 300 * time.Millisecond
	// retryLeast and retryMost bound the pause after a run that brought nothing.
	retryLeast = 10 * time.Millisecond
	retryMost  = 300 * time.Millisecond
	// loadingPause is how long an engine that turned an item away for its weights is left alone.
	loadingPause = 150 * time.Millisecond
	// scoreTimeout bounds one call to a scorer with its attempts.
	scoreTimeout = 6 * time.Second
	scorePause   = 50 * time.Millisecond
	// withheldLook is how often an item that is withheld for engines that ended under it, or the call that scores it, looks whether
	// it still is.
	withheldLook = 250 * time.Millisecond
	// estimateSlack is added to ages that rest on the time of day of another process.
	estimateSlack = 4 * time.Second
	// giveUpSlack is added to the time at which an item may be given up.
	giveUpSlack = 50 * time.Millisecond
)

// errMove says that an item leaves its engine for a better one; errVersion that the engine's weights don't fit the job.
var (
	errMove    = errors.New("a better engine has room")
	errVersion = errors.New("weights are of another version than allowed")
)

// execution runs one item.
type execution struct {
	runner *runner
	view   job.View
	item   job.Item
	// ordinal is the item's place in the submission.
	ordinal  int
	rank     Rank
	critical *criticalEvents

	mutex sync.Mutex
	// events are the data of the item's events so far; versions those that produced them.
	events   []string
	versions []int64
	failures int
	// kept counts the events that the store has of the item, pieces the records that hold them of the line; a line of 0 has not
	// begun.
	kept   int
	line   uint64
	pieces int
	// whole says that the events are all there are, score is the scorer's word on them.
	whole   bool
	score   string
	settled bool
	// held is how long the item has held places of engines, heldSince since when it holds one, zero while it does not.
	held      time.Duration
	heldSince time.Time
	// pending is progress of another owner that is to be taken over; interrupt ends the run under way.
	pending   *job.Progress
	interrupt context.CancelFunc

	// Only the goroutine of run touches these.
	engine    fleet.Engine
	current   int64
	sentAt    time.Time
	lastEvent time.Time
	lookedAt  time.Time
	brokenAt  time.Time
	// waitingSince is when the item began to wait for an engine, zero while it does not.
	waitingSince time.Time
	fruitless    int
	// next is the place that the item moves to, nil if none was acquired.
	next *Place
	// reserved is the place that another run gives up for this one, nil if none.
	reserved *Reservation
	// yielded is how often the item was asked to give its place up.
	yielded atomic.Int32
	// exclude holds the engine that is not to be asked next; refused says that it turned the item away.
	exclude []string
	refused bool
}

func newExecution(r *runner, view job.View, open job.OpenItem, carried bool) *execution {
	e := &execution{
		runner: r, view: view, item: open.Item, ordinal: open.Place,
		rank: Rank{Carried: carried, Length: open.Item.LengthHint},
	}
	if open.Progress != nil && fits(open.Progress.Versions, view.Spec.MinVersion) {
		e.takeOver(open.Progress)
	}
	return e
}

// run brings the item to a result and lists it, unless the context ends before.
func (e *execution) run(ctx context.Context) {
	e.awaitRoute(ctx)
	runCtx, cancel := e.untilGivenUp(ctx)
	defer cancel()
	result := e.produce(runCtx)
	if ctx.Err() != nil {
		return
	}
	finished := time.Now()
	e.settle()
	e.runner.writer.list(e.view.Spec.ID, result, func() {
		e.runner.config.Measures.listed(time.Since(finished))
		e.runner.config.Logger.Info("item listed", "job", e.view.Spec.ID, "item", e.item.ID, "dead", result.Dead,
			"group", e.item.Group, "versions", result.Versions, "events", len(e.events), "engine", e.engine.ID,
			"after_last_event", e.sinceLastEvent().Round(time.Millisecond),
			"age", time.Since(e.view.AcceptedAt).Round(time.Millisecond))
	})
}

// sinceLastEvent is how long ago the item's last event came to this process, 0 if none has.
func (e *execution) sinceLastEvent() time.Duration {
	if e.lastEvent.IsZero() {
		return 0
	}
	return time.Since(e.lastEvent)
}

// untilGivenUp bounds the run by the time at which the item may be given up.
func (e *execution) untilGivenUp(ctx context.Context) (context.Context, context.CancelFunc) {
	route, known := e.itemRoute()
	if !known || route.MaxWait <= 0 {
		return context.WithCancel(ctx)
	}
	deadline := e.view.AcceptedAt.Add(route.MaxWait + giveUpSlack)
	if e.view.Estimated {
		deadline = deadline.Add(estimateSlack)
	}
	return context.WithDeadline(ctx, deadline)
}

// produce runs the item until its text is whole and scored, or it is given up.
func (e *execution) produce(ctx context.Context) *job.Result {
	dead := &job.Result{ItemID: e.item.ID, Dead: true}
	if !e.generate(ctx) {
		return dead
	}
	e.mutex.Lock()
	e.whole = true
	score := e.score
	e.mutex.Unlock()
	if score == "" {
		asked, ok := e.askScorer(ctx)
		if !ok {
			return dead
		}
		e.mutex.Lock()
		e.score = asked
		e.mutex.Unlock()
		score = asked
	}
	return &job.Result{
		ItemID: e.item.ID, Text: strings.Join(e.events, "\n"), Versions: slices.Clone(e.versions), Score: score,
	}
}

// generate runs the item on engines until its text is whole. It returns false if the item is given up.
func (e *execution) generate(ctx context.Context) bool {
	defer e.dropNext()
	for ctx.Err() == nil {
		if e.takePending() {
			return true
		}
		route, ok := e.route()
		if !ok {
			if e.ended(ctx, e.route) {
				e.runner.config.Logger.Info("item given up, its route is gone", "item", e.item.ID, "job", e.view.Spec.ID)
				return false
			}
			continue
		}
		if e.waitingSince.IsZero() {
			e.waitingSince = time.Now()
		}
		runCtx, cancel := e.interruptible(ctx)
		place := e.takeNext()
		if place == nil {
			place, _ = e.acquire(runCtx, e.place(route), e.yielder(route, cancel))
		}
		if place == nil {
			cancel()
			e.asksAgain()
			continue
		}
		if e.withheld(runCtx) {
			cancel()
			place.Release()
			pause.For(ctx, withheldLook)
			continue
		}
		if runCtx.Err() != nil {
			e.runner.config.Quarantine.NotRun(e.call())
			cancel()
			place.Release()
			continue
		}
		before := len(e.events)
		result := e.runAt(runCtx, cancel, place, route)
		if done, whole := e.judge(ctx, route, result); done {
			return whole
		}
		e.backOff(ctx, len(e.events) > before)
	}
	return false
}

// runAt runs the item at a place, and then ends the run's context and releases the place.
func (e *execution) runAt(ctx context.Context, cancel context.CancelFunc, place *Place, route catalog.Route) eventrun.Result {
	engine := place.Engine
	e.runner.config.Logger.Info("item placed", "job", e.view.Spec.ID, "item", e.item.ID, "group", e.item.Group, "engine", engine.ID,
		"version", engine.ServedVersion(e.view.Spec.Model), "min_version", e.view.Spec.MinVersion, "resume_after", len(e.events),
		"epoch", e.runner.writer.Epoch(), "waited", time.Since(e.waitingSince).Round(time.Millisecond),
		"left", math.Round(e.left()), "critical", math.Round(e.critical.Value()))
	waitingSince := e.waitingSince
	e.waitingSince = time.Time{}
	e.hold()
	result := e.runOn(ctx, engine, route)
	e.dropReserved()
	cancel()
	place.Release()
	e.letGo()
	if result.Ending == eventrun.EndedNotRun {
		// The item waits on: it has been at no engine.
		e.waitingSince = waitingSince
	}
	return result
}

// withheld tells whether the item is to go to no engine now, since engines have ended under it. It is asked once a place is there, so
// that a trial that is given is made.
func (e *execution) withheld(ctx context.Context) bool {
	standing, _ := e.runner.config.Quarantine.Admit(ctx, e.call(), policy.ItemCrashLimit)
	return standing == quarantine.Withheld
}

func (e *execution) runOn(ctx context.Context, engine fleet.Engine, route catalog.Route) eventrun.Result {
	e.engine = engine
	e.current = 0
	e.lastEvent = time.Time{}
	e.lookedAt = time.Now()
	e.sentAt = e.lookedAt
	call := e.call()
	call.ResumeAfter = int64(len(e.events))
	call.Priority = min(9, e.runner.config.Catalog.Priority(route, e.view.Spec.Tenant))
	if deadline, bounded := ctx.Deadline(); bounded {
		call.Remaining = time.Until(deadline)
	}
	return eventrun.Run(ctx, e.runner.config.Client, engine, call, e.silence(engine, route), e)
}

// call returns what every run of the item sends.
func (e *execution) call() engineapi.Call {
	return engineapi.Call{
		Method: http.MethodPost, Target: e.item.Path, Host: e.view.Spec.Host, Header: header(e.item.Header),
		Body: e.item.Body, RequestID: e.item.ID, Tenant: e.view.Spec.Tenant,
	}
}

// silence bounds how long the engine may say nothing.
func (e *execution) silence(engine fleet.Engine, route catalog.Route) eventrun.Limits {
	gap := gapMost
	if pace := e.runner.config.Directory.Pace(engine.ID); pace > 0 {
		gap = min(gapMost, max(gapLeast, gapPaces*pace))
	}
	first := firstSilence
	if route.SingleVersion {
		// Runs that may not mix versions wait behind a load rather than start anew.
		first = 4 * firstSilence
	}
	return eventrun.Limits{First: first, Gap: gap}
}

// Head takes the head of an engine's answer. Weights that don't fit end the run before its first event.
func (e *execution) Head(reply *engineapi.Reply) error {
	if reply.Version != 0 && e.view.Spec.Model != "" {
		e.runner.config.Directory.Correct(e.engine.ID, e.view.Spec.Model, reply.Version)
	}
	return e.serves(reply.Version)
}

// serves notes the version that the engine runs the item under.
func (e *execution) serves(version int64) error {
	if version == 0 {
		return nil
	}
	e.current = version
	model := e.view.Spec.Model
	if model != "" {
		e.runner.config.Directory.SetServedVersion(e.engine.ID, model, version)
	}
	if version < e.view.Spec.MinVersion {
		return errVersion
	}
	if route, ok := e.itemRoute(); ok && route.SingleVersion && len(e.versions) > 0 && e.versions[0] != version {
		return errVersion
	}
	return nil
}

// Event takes the next event.
func (e *execution) Event(event engineapi.Event) error {
	if err := e.serves(event.Version); err != nil {
		return err
	}
	now := time.Now()
	e.measure(now)
	e.mutex.Lock()
	e.events = append(e.events, event.Data)
	if e.current != 0 && !slices.Contains(e.versions, e.current) {
		e.versions = append(e.versions, e.current)
	}
	e.mutex.Unlock()
	if e.findsBetter(now) {
		return errMove
	}
	return nil
}

func (e *execution) measure(now time.Time) {
	measures := e.runner.config.Measures
	if len(e.events) == 0 {
		measures.firstEvent(now.Sub(e.view.AcceptedAt))
	}
	if !e.brokenAt.IsZero() {
		measures.resumed(now.Sub(e.brokenAt))
		e.brokenAt = time.Time{}
	}
	if e.lastEvent.IsZero() {
		e.runner.config.Directory.Answered(e.engine.ID, e.sentAt)
	} else {
		e.runner.config.Directory.RecordGap(e.engine.ID, now.Sub(e.lastEvent))
	}
	e.lastEvent = now
}
