package ingress

import (
	"context"
	"time"

	"github.com/hillfork/hillfork/internal/catalog"
)

// lateRequestDelay is how long after the order to stop requests are accepted whatever their timeout. The platform routes callers to this
// process for two to three more seconds, since it checks readiness once a second and needs two failed checks. Most requests end long before
// their timeout. Later requests come on connections opened before, and their callers can reach another process at once.
const lateRequestDelay = 2500 * time.Millisecond

// plannedStop is a planned stop in progress.
type plannedStop struct {
	requestedAt time.Time
	cutOffAt    time.Time
}

// Stop records that the process was ordered to stop now and that requests still in progress at cutOffAt will be cut off.
func (i *Ingress) Stop(cutOffAt time.Time) {
	i.stop.Store(&plannedStop{requestedAt: time.Now(), cutOffAt: cutOffAt})
}

// Stopping reports whether the process was ordered to stop.
func (i *Ingress) Stopping() bool {
	return i.stop.Load() != nil
}

// CutOff ends all requests in progress, each with the outcome known so far, and refuses later requests.
func (i *Ingress) CutOff() {
	i.config.Forwarder.CutOff()
}

// MayOutlastStop reports whether a request received at the given time may run past the cut-off of a planned stop. Such a request is to be
// refused at once: it has not run, and other processes have the time to run it.
func (i *Ingress) MayOutlastStop(requestID string, route catalog.Route, received time.Time, budget time.Duration) bool {
	stopping := i.stop.Load()
	if stopping == nil || received.Before(stopping.requestedAt.Add(lateRequestDelay)) {
		return false
	}
	timeout := requestTimeout(route, budget)
	if !received.Add(timeout).After(stopping.cutOffAt) {
		return false
	}
	i.config.Logger.Info("request refused, the process is stopping", "request", requestID, "route", route.Name, "may_take", timeout,
		"left", time.Until(stopping.cutOffAt).Round(time.Millisecond))
	return true
}

// LimitContext returns a context with a deadline for a call that is not forwarded to an engine. The deadline is the earliest of: the time for which
// the caller waits (budget, 0 if unknown), limit, and the cut-off of a planned stop.
func (i *Ingress) LimitContext(ctx context.Context, budget, limit time.Duration) (context.Context, context.CancelFunc) {
	if budget > 0 {
		limit = min(limit, budget)
	}
	end := time.Now().Add(limit)
	if stopping := i.stop.Load(); stopping != nil && stopping.cutOffAt.Before(end) {
		end = stopping.cutOffAt
	}
	return context.WithDeadline(ctx, end)
}
