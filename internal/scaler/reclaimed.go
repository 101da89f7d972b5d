package scaler

import (
	"time"

	"github.com/hillfork/hillfork/internal/catalog"
	"github.com/hillfork/hillfork/internal/fleet"
	"github.com/hillfork/hillfork/internal/policy"
)

const (
	// reclaimBackoff is how long no engines are ordered in a zone whose engines the provider takes away. A provider that reclaims
	// engines needs their capacity itself, so it has no replacements for several times as long as an engine boots.
	reclaimBackoff = 12 * time.Second
	// rebalanceDelay is how long a zone keeps its engines after replacements were ordered in another zone, so that most of the
	// replacements have booted.
	rebalanceDelay = 7 * time.Second
)

// presence is the number of preemptible engines of a zone.
type presence struct {
	// serving is the number of engines that stay, leaving the number of those that have announced that they leave. maxServing is the
	// highest value of serving so far, at most the last accepted order.
	serving, leaving, maxServing int
	// evacuated is the number of engines of an evacuated zone that have not announced that they leave. They are not part of the
	// other numbers.
	evacuated int
}

// delayedReduction is a reduced order that is sent once it is due.
type delayedReduction struct {
	count int
	dueAt time.Time
}

// countPresent counts the preemptible engines of a pool in each zone.
func (t *term) countPresent(pool catalog.Pool, engines []fleet.Engine) {
	for zone := range pool.Scaling.ZonePrices {
		key := poolZone{pool.Name, zone}
		t.present[key] = presence{maxServing: t.present[key].maxServing}
	}
	for _, engine := range engines {
		key := poolZone{pool.Name, engine.Zone}
		zone, scaled := t.present[key]
		if !engine.Preemptible || !scaled {
			continue
		}
		switch {
		case t.config.Directory.Evacuated(engine.Zone):
			if len(t.config.Directory.Leaving([]string{engine.ID})) == 0 {
				zone.evacuated++
			}
		case engine.Draining:
			zone.leaving++
		default:
			zone.serving++
		}
		t.present[key] = zone
	}
}

// recordReclaimed records the zones of a pool whose engines the provider takes away, and those whose backoff has ended.
func (t *term) recordReclaimed(pool catalog.Pool, now time.Time) {
	for zone := range pool.Scaling.ZonePrices {
		key := poolZone{pool.Name, zone}
		current := t.present[key]
		lost := policy.Reclaimed(t.ordered[pool.Name][zone], current.maxServing, current.serving, current.leaving)
		if lost > 0 && !t.reclaimed[key] {
			t.reclaimed[key] = true
			t.refusedUntil[key] = now.Add(reclaimBackoff)
			t.config.Logger.Info("engines are reclaimed", "pool", pool.Name, "zone", zone, "ordered", t.ordered[pool.Name][zone], "lost", lost)
		}
		if t.reclaimed[key] && current.leaving == 0 && !now.Before(t.refusedUntil[key]) {
			// By now the provider replaces the engines that were not ordered elsewhere. The order is repeated in case it does not.
			delete(t.reclaimed, key)
			t.accepted[key] = false
		}
		current.maxServing = max(current.maxServing, current.serving)
		t.present[key] = current
	}
}

// keepUnplaced adds to the counts of zones with reclaimed engines what other zones cannot take, up to their last orders: the
// provider replaces these engines itself once it can.
func (t *term) keepUnplaced(pool string, zones []policy.ZoneEngines, counts []int, missing int) {
	for _, count := range counts {
		missing -= count
	}
	for i, zone := range zones {
		key := poolZone{pool, zone.Zone}
		if kept := min(missing, t.ordered[pool][zone.Zone]-counts[i]); t.reclaimed[key] && kept > 0 {
			counts[i] += kept
			missing -= kept
		}
	}
}

// servingOrder returns how many of the preemptible engines ordered in a zone serve or are expected to, and whether further ones
// may be ordered there. It returns 0 for an evacuated zone, whose order stays. Orders whose reduction is delayed count as reduced.
func (t *term) servingOrder(key poolZone) (count int, available bool) {
	ordered := t.ordered[key.pool][key.zone]
	if t.config.Directory.Evacuated(key.zone) {
		return 0, false
	}
	if t.reclaimed[key] {
		return min(ordered, t.present[key].serving), false
	}
	if reduction, found := t.delayed[key]; found {
		return min(ordered, reduction.count), true
	}
	return ordered, true
}

// delayReductions sets the counts of zones whose orders must not be reduced yet to their last orders. These are evacuated zones,
// zones of which some engines serve while others leave, and zones whose engines move to other zones. Orders of the latter are
// reduced at once if the pool has surplus engines.
func (t *term) delayReductions(pool string, zones []policy.ZoneEngines, counts []int) {
	now := time.Now()
	_, shrinks := t.surplusSince[pool]
	for i, zone := range zones {
		key := poolZone{pool, zone.Zone}
		ordered := t.ordered[pool][zone.Zone]
		reduction, found := t.delayed[key]
		switch {
		case counts[i] >= ordered:
			delete(t.delayed, key)
		case t.config.Directory.Evacuated(zone.Zone):
			counts[i] = ordered
		case t.reclaimed[key]:
			if present := t.present[key]; present.leaving > 0 && present.serving > 0 {
				counts[i] = ordered
			}
		case shrinks:
			delete(t.delayed, key)
		case !found:
			t.delayed[key] = delayedReduction{count: counts[i], dueAt: now.Add(rebalanceDelay)}
			counts[i] = ordered
		case now.Before(reduction.dueAt):
			counts[i] = ordered
		}
	}
}

// dropDelayed drops the reduced orders of a pool, because engines that were to replace the others were refused.
func (t *term) dropDelayed(pool string) {
	for key := range t.delayed {
		if key.pool == pool {
			delete(t.delayed, key)
		}
	}
}

// recordAccepted records that the provider has accepted the last order of a zone.
func (t *term) recordAccepted(key poolZone) {
	ordered := t.ordered[key.pool][key.zone]
	current := t.present[key]
	if t.reclaimed[key] && ordered <= current.serving {
		delete(t.reclaimed, key)
	}
	current.maxServing = min(current.maxServing, ordered)
	t.present[key] = current
	if reduction, found := t.delayed[key]; found && ordered <= reduction.count {
		delete(t.delayed, key)
	}
}

// orderedAfterRefusal returns the number of engines that count as ordered in a zone after it refused an order. If it refused a
// repetition of its last order, it has lost engines that it cannot replace. The engines of an evacuated zone that have not left
// count, since they serve again after the evacuation.
func (t *term) orderedAfterRefusal(order Order, previous int) int {
	if order.Count > previous {
		return previous
	}
	present := t.present[poolZone{order.Pool, order.Zone}]
	return min(previous, present.serving+present.evacuated)
}
