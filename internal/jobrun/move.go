package jobrun

import (
	"context"
	"math"
	"time"

	"github.com/hillfork/hillfork/internal/catalog"
	"github.com/hillfork/hillfork/internal/fleet"
)

// findsBetter tells whether there is a better place for the item, which is then in next.
func (e *execution) findsBetter(now time.Time) bool {
	if e.reserved != nil {
		if e.next = e.reserved.Take(); e.next != nil {
			return true
		}
	}
	if now.Sub(e.lookedAt) < moveLook {
		return false
	}
	e.lookedAt = now
	route, ok := e.route()
	if !ok {
		return false
	}
	want := e.want(route)
	rank := e.rankOf(want)
	queue := e.runner.config.Queue
	if e.next = queue.AcquireBetter(e.engine.ID, rank, want); e.next != nil {
		return true
	}
	if e.reserved == nil {
		e.reserve(rank, want)
	}
	return false
}

// reserve asks a run at a quicker engine to give its place up, if the item may hold its step and any such run can wait.
func (e *execution) reserve(rank Rank, want fleet.Want) {
	e.reserved = e.runner.config.Queue.Reserve(e.engine.ID, rank, want)
	if e.reserved != nil {
		e.runner.config.Logger.Info("item asks for a quicker place", "job", e.view.Spec.ID, "item", e.item.ID, "engine", e.engine.ID,
			"left", math.Round(want.Events), "critical", math.Round(e.critical.Value()), "slack", want.Slack.Round(time.Millisecond))
	}
}

// dropReserved gives back what was reserved for the run that ended.
func (e *execution) dropReserved() {
	if e.reserved != nil {
		e.reserved.Drop()
		e.reserved = nil
	}
}

// yielder returns what makes the item give its place up, nil if it can't go on wherever there is room: a text of one version may
// find no engine of it any more.
func (e *execution) yielder(route catalog.Route, cancel context.CancelFunc) func() {
	if route.SingleVersion {
		return nil
	}
	return func() {
		e.yielded.Add(1)
		cancel()
	}
}

// dropNext gives the place back that the item was to move to, if it does not.
func (e *execution) dropNext() {
	if next := e.takeNext(); next != nil {
		next.Release()
	}
}

// takeNext returns the place that the item moves to, nil if there is none.
func (e *execution) takeNext() *Place {
	next := e.next
	e.next = nil
	return next
}
