package jobrun

import (
	"context"
	"net/http"
	"time"

	"github.com/hillfork/hillfork/internal/catalog"
	"github.com/hillfork/hillfork/internal/errorlog"
	"github.com/hillfork/hillfork/internal/fleet"
	"github.com/hillfork/hillfork/internal/follow"
	"github.com/hillfork/hillfork/internal/keyedlog"
	"github.com/hillfork/hillfork/internal/pause"
	"github.com/hillfork/hillfork/internal/policy"
)

// catalogTimeout bounds one check that the catalog is up to date: reading a page from the store, and a read that the store
// holds open.
const catalogTimeout = 2 * time.Second

// route returns the item's route, and false if the catalog has no route for it with a target.
func (e *execution) route() (catalog.Route, bool) {
	route, ok := e.itemRoute()
	return route, ok && len(route.Targets) > 0
}

// itemRoute returns the item's route, even if it has no targets.
func (e *execution) itemRoute() (catalog.Route, bool) {
	return e.match(e.view.Spec.Host, e.item.Path)
}

// awaitRoute waits until the item's route is known or known to be removed, because the route defines when the item may be
// abandoned.
func (e *execution) awaitRoute(ctx context.Context) {
	for ctx.Err() == nil {
		if _, found := e.itemRoute(); found {
			return
		}
		e.queued()
		if e.ownRouteRemoved(ctx) {
			return
		}
	}
}

// scorerRoute returns the route of the item's scorer, and false if the catalog has no route for it with a target.
func (e *execution) scorerRoute() (catalog.Route, bool) {
	route, ok := e.match(e.item.Scorer.Host, e.item.Scorer.Path)
	return route, ok && len(route.Targets) > 0
}

func (e *execution) match(host, path string) (catalog.Route, bool) {
	current := e.runner.config.Catalog.Current()
	if current == nil {
		return catalog.Route{}, false
	}
	return current.Match(host, path)
}

// regions returns the regions whose engines may run the item or its scorer on a route, nil for all. If the job's tenant was removed, the
// job stays in the regions of its partition.
func (e *execution) regions(route catalog.Route) []string {
	homes, _ := keyedlog.HomeSetOf(e.runner.partition.Topic)
	return e.runner.config.Catalog.AdmittedRegions(route, e.view.Spec.Tenant, homes.Regions())
}

// ownRouteRemoved reports whether the newest catalog lacks the item's route, even one without targets. This process may not have
// read the catalog under which the job was accepted, so it first confirms with the store that its catalog is up to date. It returns
// false after a short delay if the route is there, or if the store does not confirm that it is not.
func (e *execution) ownRouteRemoved(ctx context.Context) bool {
	if _, found := e.itemRoute(); found {
		pause.For(ctx, maxRetryBackoff)
		return false
	}
	confirmCtx, cancel := context.WithTimeout(ctx, catalogTimeout)
	defer cancel()
	operator := keyedlog.Partition{Topic: keyedlog.TopicOperator}
	err := follow.WaitUntilCurrent(confirmCtx, e.runner.config.Log, operator, e.runner.config.CatalogFollower)
	if err != nil {
		errorlog.Debug(e.runner.config.Logger, "cannot confirm the catalog, retrying", err, "job", e.view.Spec.ID, "item", e.item.ID)
		pause.For(ctx, maxRetryBackoff)
		return false
	}
	if _, found := e.itemRoute(); found {
		return false
	}
	if e.runner.config.Catalog.Current() == nil {
		pause.For(ctx, maxRetryBackoff)
		return false
	}
	return true
}

func (e *execution) want(route catalog.Route) fleet.Want {
	want := e.wantInPool(route, e.runner.config.Splitter.Pick(route), e.expectedEvents(), e.versions)
	want.Exclude, want.Since, want.Alone = e.exclude, e.waitingSince, e.alone
	return want
}

// wantInPool returns the requirements of an item with a number of further events, whose text has the given versions so far. It
// is safe to call from any goroutine.
func (e *execution) wantInPool(route catalog.Route, pool string, events float64, versions []int64) fleet.Want {
	want := fleet.Want{
		Pool: pool, Regions: e.regions(route), Model: e.view.Spec.Model, MinVersion: e.view.Spec.MinVersion,
		Zone: e.runner.config.Zone, Affinity: e.item.Group, Share: 1, Events: events,
	}
	want.Slack = policy.Slack(e.critical.Value(), e.runner.config.Directory.FastestPace(want.Pool, want.Model))
	if route.SingleVersion && len(versions) > 0 {
		want.ExactVersion = versions[0]
	}
	return want
}

// wantForNextRun returns the requirements of the next run. It must be called between runs only, since it may discard the item's
// text: if no engine serves the version of a text that must not mix versions, or if the item has waited for maxExactVersionWait
// and engines of other versions are free.
func (e *execution) wantForNextRun(route catalog.Route) fleet.Want {
	want := e.want(route)
	if want.ExactVersion != 0 && (!e.versionServed(want) || e.waitedTooLong(want)) {
		e.restart("no engine of its version takes it")
		want = e.want(route)
	}
	if !e.runner.config.Directory.Exists(want) {
		want.Exclude = nil
	}
	return want
}

// acquire waits for a slot, at most for acquireTimeout, since the item's requirements change with the versions of engines and
// with routes.
func (e *execution) acquire(ctx context.Context, want fleet.Want, yield func()) (*Slot, error) {
	ctx, cancel := context.WithTimeout(ctx, acquireTimeout)
	defer cancel()
	queue := e.runner.config.Queue
	next := queue.enqueue(e.rankOf(want), want, yield)
	e.queued()
	return queue.wait(ctx, next)
}

// rankOf returns the item's current rank.
func (e *execution) rankOf(want fleet.Want) Rank {
	rank := e.rank
	rank.MayBeCritical = policy.MayBeCritical(want.Events, e.critical.Value())
	rank.Yields = int(e.yields.Load())
	rank.LatestStart = policy.LatestStart(e.view.AcceptedAt, want.Events, e.runner.config.Directory.TypicalPace(want.Pool))
	return rank
}

// expectedEvents returns the expected number of further events of the item, or 0 if nothing is known about such items.
func (e *execution) expectedEvents() float64 {
	return e.runner.expectedEvents(e.item.LengthHint, len(e.events))
}

// remaining returns the expected number of further events of the item, and 0 once its text is complete or it is abandoned. It
// is safe to call from any goroutine.
func (e *execution) remaining() float64 {
	e.mutex.Lock()
	made, done := len(e.events), e.complete || e.finished
	e.mutex.Unlock()
	if done {
		return 0
	}
	return e.runner.expectedEvents(e.item.LengthHint, made)
}

// waitedTooLong reports whether an item that requires one version has waited for maxExactVersionWait while an engine of another
// version has free capacity.
func (e *execution) waitedTooLong(want fleet.Want) bool {
	if time.Since(e.waitingSince) < maxExactVersionWait {
		return false
	}
	directory := e.runner.config.Directory
	others := want
	// Nothing is sent here, so this must not count as the trial of an ejected engine.
	others.ExactVersion, others.Exclude, others.NoTrial = 0, nil, true
	for _, engine := range directory.Pool(want.Pool) {
		if engine.ServedVersion(want.Model) == want.ExactVersion {
			others.Exclude = append(others.Exclude, engine.ID)
		}
	}
	return directory.HasFreeSlot(others)
}

// versionServed reports whether an engine serves the required version, even if it is excluded or loading.
func (e *execution) versionServed(want fleet.Want) bool {
	for _, engine := range e.runner.config.Directory.Pool(want.Pool) {
		if !engine.Draining && engine.ServedVersion(want.Model) == want.ExactVersion {
			return true
		}
	}
	return false
}

// restart discards the item's events. It must not be called during a run.
func (e *execution) restart(cause string) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.runner.config.Logger.Info("item starts anew", "job", e.view.Spec.ID, "item", e.item.ID, "cause", cause, "events", len(e.events),
		"versions", e.versions)
	e.events, e.versions, e.textBytes, e.checkpointed, e.line = nil, nil, 0, 0, 0
}

func header(fields map[string]string) http.Header {
	header := make(http.Header, len(fields))
	for name, value := range fields {
		header.Set(name, value)
	}
	return header
}
