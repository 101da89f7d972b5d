package ingress

import (
	"context"
	"time"

	"github.com/hillfork/hillfork/internal/catalog"
)

// lateRequestDelay is how long after the order to stop requests are taken whatever time they may need. Callers are still sent here for two to
// three seconds, since the platform asks once a second whether a process is ready and needs two misses; most requests are done long before
// the time they may take. Who comes later holds a connection from before, and finds another process at once.
const lateRequestDelay = 2500 * time.Millisecond

// plannedStop is a planned plannedStop under way.
type plannedStop struct {
	requestedAt time.Time
	cutOffAt    time.Time
}

// Stop says that the process was ordered to stop now, and that what is under way at a moment is cut off then.
func (i *Ingress) Stop(cut time.Time) {
	i.stop.Store(&plannedStop{requestedAt: time.Now(), cutOffAt: cut})
}

// Stopping tells whether the process was ordered to stop.
func (i *Ingress) Stopping() bool {
	return i.stop.Load() != nil
}

// CutOff ends the requests under way, each with an answer that says what is known of it, and refuses those that come later.
func (i *Ingress) CutOff() {
	i.config.Forwarder.CutOff()
}

// Outlasts tells whether a request that was received at a moment may need more time than the process has left. It is to be refused at once:
// it has not run, and other processes have that time.
func (i *Ingress) Outlasts(requestID string, route catalog.Route, received time.Time, budget time.Duration) bool {
	stopping := i.stop.Load()
	if stopping == nil || received.Before(stopping.requestedAt.Add(lateRequestDelay)) {
		return false
	}
	bound := requestTimeout(route, budget)
	if !received.Add(bound).After(stopping.cutOffAt) {
		return false
	}
	i.config.Logger.Info("request refused, the process stops", "request", requestID, "route", route.Name, "may_take", bound,
		"left", time.Until(stopping.cutOffAt).Round(time.Millisecond))
	return true
}

// Bound bounds a call that is not carried to an engine: by the time that its caller waits, a bound of its own, and the end of the process.
func (i *Ingress) Bound(ctx context.Context, budget, most time.Duration) (context.Context, context.CancelFunc) {
	if budget > 0 {
		most = min(most, budget)
	}
	end := time.Now().Add(most)
	if stopping := i.stop.Load(); stopping != nil && stopping.cutOffAt.Before(end) {
		end = stopping.cutOffAt
	}
	return context.WithDeadline(ctx, end)
}
