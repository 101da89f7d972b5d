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

// catalogTimeout bounds one look whether the catalog is the newest: a page of the store, and a read that it holds open.
const catalogTimeout = 2 * time.Second

// route returns the item's route, false if the catalog has none that leads anywhere.
func (e *execution) route() (catalog.Route, bool) {
	route, ok := e.itemRoute()
	return route, ok && len(route.Targets) > 0
}

// itemRoute returns the item's route, also one that leads nowhere.
func (e *execution) itemRoute() (catalog.Route, bool) {
	return e.match(e.view.Spec.Host, e.item.Path)
}

// awaitRoute waits until the item's route is known, or that it has ended: it says when the item may be given up.
func (e *execution) awaitRoute(ctx context.Context) {
	for ctx.Err() == nil {
		if _, found := e.itemRoute(); found || e.ended(ctx, e.itemRoute) {
			return
		}
	}
}

// scorerRoute returns the route of the item's scorer.
func (e *execution) scorerRoute() (catalog.Route, bool) {
	return e.match(e.item.Scorer.Host, e.item.Scorer.Path)
}

func (e *execution) match(host, path string) (catalog.Route, bool) {
	current := e.runner.config.Catalog.Current()
	if current == nil {
		return catalog.Route{}, false
	}
	return current.Match(host, path)
}

// ended tells whether the newest catalog has no route of a kind. A process may not have read yet what the job was accepted under, so
// that it asks the store first; it waits a little where the store does not tell.
func (e *execution) ended(ctx context.Context, route func() (catalog.Route, bool)) bool {
	confirmCtx, cancel := context.WithTimeout(ctx, catalogTimeout)
	defer cancel()
	operator := keyedlog.Partition{Topic: keyedlog.TopicOperator}
	err := follow.WaitUntilCurrent(confirmCtx, e.runner.config.Log, operator, e.runner.config.CatalogFollower)
	if err != nil {
		errorlog.Debug(e.runner.config.Logger, "catalog not confirmed", err, "job", e.view.Spec.ID, "item", e.item.ID)
		pause.For(ctx, retryMost)
		return false
	}
	if _, found := route(); found {
		return false
	}
	if e.runner.config.Catalog.Current() == nil {
		pause.For(ctx, retryMost)
		return false
	}
	return true
}

func (e *execution) want(route catalog.Route) fleet.Want {
	want := fleet.Want{
		Pool: e.runner.config.Splitter.Pick(route), Regions: e.runner.config.Catalog.Regions(route, e.view.Spec.Tenant), Model: e.view.Spec.Model, MinVersion: e.view.Spec.MinVersion,
		Zone: e.runner.config.Zone, Affinity: e.item.Group, Share: 1, Exclude: e.exclude, Events: e.left(), Since: e.waitingSince,
	}
	want.Slack = policy.Slack(e.critical.Value(), e.runner.config.Directory.QuickestPace(want.Pool, want.Model))
	if route.SingleVersion && len(e.versions) > 0 {
		want.ExactVersion = e.versions[0]
	}
	return want
}

// place returns what the next run needs. Between runs only, a text that no engine can go on with starts anew, and one that has waited
// for long where engines of other versions may run the item.
func (e *execution) place(route catalog.Route) fleet.Want {
	want := e.want(route)
	if want.ExactVersion != 0 && (!e.servedAnywhere(want) || e.waitsInVain(want)) {
		e.restart()
		want = e.want(route)
	}
	if !e.runner.config.Directory.Exists(want) {
		want.Exclude = nil
	}
	return want
}

// acquire waits for an engine, and no longer than what the item wants holds: engines take other versions and routes change.
func (e *execution) acquire(ctx context.Context, want fleet.Want, yield func()) (*Place, error) {
	ctx, cancel := context.WithTimeout(ctx, placeAgain)
	defer cancel()
	return e.runner.config.Queue.Acquire(ctx, e.rankOf(want), want, yield)
}

// rankOf returns the item's rank as of now.
func (e *execution) rankOf(want fleet.Want) Rank {
	rank := e.rank
	rank.MayHold = policy.MayHold(want.Events, e.critical.Value())
	rank.Yielded = int(e.yielded.Load())
	rank.LatestStart = policy.LatestStart(e.view.AcceptedAt, want.Events, e.runner.config.Directory.TypicalPace(want.Pool))
	return rank
}

// left is how many events are expected to come of the item, 0 if nothing is known of such items.
func (e *execution) left() float64 {
	return e.runner.left(e.item.LengthHint, len(e.events))
}

// remaining returns how many events are expected to come of the item, 0 once its text is whole or it is given up. Any goroutine may call
// it.
func (e *execution) remaining() float64 {
	e.mutex.Lock()
	made, over := len(e.events), e.whole || e.settled
	e.mutex.Unlock()
	if over {
		return 0
	}
	return e.runner.left(e.item.LengthHint, made)
}

// waitsInVain tells whether an item that wants one version has waited for long, and an engine of another version has room for it.
func (e *execution) waitsInVain(want fleet.Want) bool {
	if time.Since(e.waitingSince) < exactMost {
		return false
	}
	directory := e.runner.config.Directory
	others := want
	// Nothing is sent by this, so that it is no trial.
	others.ExactVersion, others.Exclude, others.NoTrial = 0, nil, true
	for _, engine := range directory.Pool(want.Pool) {
		if engine.Serves(want.Model) == want.ExactVersion {
			others.Exclude = append(others.Exclude, engine.ID)
		}
	}
	return directory.HasRoom(others)
}

// servedAnywhere tells whether an engine serves the wanted version, tried or not, loading or not.
func (e *execution) servedAnywhere(want fleet.Want) bool {
	for _, engine := range e.runner.config.Directory.Pool(want.Pool) {
		if !engine.Draining && engine.Serves(want.Model) == want.ExactVersion {
			return true
		}
	}
	return false
}

// restart forgets the item's events. It must not be called while a run is under way.
func (e *execution) restart() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.runner.config.Logger.Info("item starts anew, no engine of its version takes it", "job", e.view.Spec.ID, "item", e.item.ID,
		"events", len(e.events), "versions", e.versions)
	e.events, e.versions, e.kept, e.line = nil, nil, 0, 0
}

func header(fields map[string]string) http.Header {
	header := make(http.Header, len(fields))
	for name, value := range fields {
		header.Set(name, value)
	}
	return header
}
