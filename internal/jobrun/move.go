package jobrun

import (
	"context"
	"math"
	"slices"
	"time"

	"github.com/hillfork/hillfork/internal/catalog"
	"github.com/hillfork/hillfork/internal/fleet"
)

// findBetterSlot reports whether a slot at a better engine was acquired for the item; it is then in nextSlot.
func (e *execution) findBetterSlot(now time.Time) bool {
	if e.reservation != nil {
		if e.nextSlot = e.reservation.Take(); e.nextSlot != nil {
			return true
		}
	}
	if now.Sub(e.moveCheckedAt) < moveCheckInterval {
		return false
	}
	e.moveCheckedAt = now
	route, ok := e.route()
	if !ok {
		return false
	}
	want := e.want(route)
	rank := e.rankOf(want)
	queue := e.runner.config.Queue
	if e.nextSlot = queue.AcquireBetter(e.engine.ID, rank, want); e.nextSlot != nil {
		return true
	}
	if e.reservation == nil {
		e.reserve(rank, want)
	}
	return false
}

// reserve requests the slot of a run at a faster engine, if the item may be the last of its step and one of the runs there can
// wait.
func (e *execution) reserve(rank Rank, want fleet.Want) {
	e.reservation = e.runner.config.Queue.Reserve(e.engine.ID, rank, want)
	if e.reservation != nil {
		e.runner.config.Logger.Info("item requests a slot at a faster engine", "job", e.view.Spec.ID, "item", e.item.ID, "engine", e.engine.ID,
			"left", math.Round(want.Events), "critical", math.Round(e.critical.Value()), "slack", want.Slack.Round(time.Millisecond))
	}
}

// dropReservation drops the reservation of the run that ended.
func (e *execution) dropReservation() {
	if e.reservation != nil {
		e.reservation.Drop()
		e.reservation = nil
	}
}

// yieldFunc returns the function that makes the item give its slot up. It returns nil for texts of one version, which can't
// continue on any free engine: there may be no engine left that serves their version.
func (e *execution) yieldFunc(route catalog.Route, cancel context.CancelFunc) func() {
	if route.SingleVersion {
		return nil
	}
	return func() {
		e.yields.Add(1)
		cancel()
	}
}

// leavingWant returns the requirements of the run if it moves off an engine that leaves. It returns false if the item no longer
// needs an engine or has no route. It is safe to call from any goroutine.
func (e *execution) leavingWant(pool string) (fleet.Want, bool) {
	route, ok := e.route()
	if !ok {
		return fleet.Want{}, false
	}
	e.mutex.Lock()
	made, versions, done := len(e.events), slices.Clone(e.versions), e.complete || e.finished
	e.mutex.Unlock()
	want := e.wantInPool(route, pool, e.runner.expectedEvents(e.item.LengthHint, made), versions)
	want.NoTrial, want.HealthyOnly = true, true
	return want, !done
}

// moveTo makes the current run end and the item continue in a slot. It returns false if the item does not run or already moves, or
// if its text must not mix versions and has begun with a version that the slot's engine does not serve. It must be called only while
// the Mover has the run.
func (e *execution) moveTo(slot *Slot) bool {
	route, ok := e.itemRoute()
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if !ok || e.interrupt == nil || e.departureSlot != nil {
		return false
	}
	if route.SingleVersion && len(e.versions) > 0 && e.versions[0] != slot.Engine.ServedVersion(e.view.Spec.Model) {
		return false
	}
	e.departureSlot = slot
	e.interrupt()
	return true
}

// takeDepartureSlot returns the slot that moveTo was called with and clears it; it returns nil if there is none.
func (e *execution) takeDepartureSlot() *Slot {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	slot := e.departureSlot
	e.departureSlot = nil
	return slot
}

// releaseNextSlot releases the slot that the item was to move to, if it does not move.
func (e *execution) releaseNextSlot() {
	if next := e.takeNextSlot(); next != nil {
		next.Release()
	}
}

// takeNextSlot returns the slot that the item moves to and clears it; it returns nil if there is none. If the item has
// both a slot at a better engine and one for its departure, the latter is released.
func (e *execution) takeNextSlot() *Slot {
	next, departure := e.nextSlot, e.takeDepartureSlot()
	e.nextSlot = nil
	if next == nil {
		return departure
	}
	if departure != nil {
		departure.Release()
	}
	return next
}
