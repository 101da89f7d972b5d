package weightroll

import (
	"context"
	"maps"
	"time"

	"github.com/hillfork/hillfork/internal/errorlog"
	"github.com/hillfork/hillfork/internal/fleet"
	"github.com/hillfork/hillfork/internal/keyedlog"
	"github.com/hillfork/hillfork/internal/pause"
	"github.com/hillfork/hillfork/internal/policy"
)

// minPublishInterval is the minimum time between two records of a pool's assignment: at startup engines are added one
// by one, and each record contains all of them.
const minPublishInterval = 200 * time.Millisecond

// shareInterval is how often shares are recomputed while no engines or models are added or removed: often compared with
// the seconds between two steps, and less often than plans are made.
const shareInterval = 300 * time.Millisecond

// shareCheck is the time and the input of a computation of shares.
type shareCheck struct {
	engines int
	models  int
	at      time.Time
}

// assign moves the number of engines of each model towards its share. An engine that is loading, or that serves the
// newest version a trainer has published, keeps its model until a newer version is published: moving it then costs no
// additional load. If engines have left and a model has less than half of its share, only loading engines keep their
// models: the steps of that model would otherwise wait until the trainers of the other models publish newer versions. An engine that returns, such as one of an
// evacuated zone, gets its earlier model if that lacks engines.
func (r *roller) assign(ctx context.Context, pool string, engines []fleet.Engine, targets map[string]int64) Assignment {
	previous, known := r.assignments[pool]
	if !known {
		// A successor continues with the assignment of its predecessor.
		previous = r.config.Directory.AssignedModels(pool)
	}
	if r.config.Directory.Partial() || r.config.JobsKnown != nil && !r.config.JobsKnown() {
		// Assigned engines that are not known yet would be replaced, each at the cost of a load, while the known ones
		// can be ordered without them. Likewise all engines would be assigned and loaded for models whose steps are not
		// known yet.
		return previous
	}
	shares := r.updateShares(pool, engines, targets)
	left := r.recordDepartures(pool, engines, previous)
	restored, returned := r.withReturned(pool, engines, previous)
	belowHalfShare := left > 0 && anyBelowHalfShare(engines, previous, shares)
	engines = candidateEngines(engines, restored, shares)
	assignment := Assign(engines, targets, restored, shares, func(engine fleet.Engine, model string) bool {
		if _, loading := r.loading[pool][engine.ID]; loading {
			return true
		}
		return !belowHalfShare && !returned[engine.ID] && targets[model] > 0 && engine.ServedVersion(model) >= targets[model]
	})
	assignment, swapped := r.balance(pool, assignment, engines, shares)
	if !maps.Equal(assignment, previous) {
		r.assignments[pool] = assignment
		r.publish(ctx, pool)
		r.config.Logger.Info("engines dealt to models", "pool", pool, "engines", len(engines), "counts", assignment.counts(),
			"shares", shares, "moved", countMoved(previous, assignment), "swapped_for_pace", swapped, "left", left)
	}
	return assignment
}

// balanceInterval is how often engines are compared by pace. A plan is made ten or more times a second, typical paces
// change over seconds, and a pool may have thousands of engines.
const balanceInterval = time.Second

// balance swaps engines between models by pace, at most once per balanceInterval.
func (r *roller) balance(
	pool string, assignment Assignment, engines []fleet.Engine, shares map[string]int,
) (balanced Assignment, swapped int) {
	now := time.Now()
	if now.Sub(r.balancedAt[pool]) < balanceInterval {
		return assignment, 0
	}
	r.balancedAt[pool] = now
	return Balance(assignment, engines, shares, r.paces(pool), func(id string) bool {
		_, loading := r.loading[pool][id]
		return !loading
	})
}

// paces returns the typical paces of a pool's engines by id, nil if none is known.
func (r *roller) paces(pool string) map[string]time.Duration {
	if r.config.Paces == nil {
		return nil
	}
	return r.config.Paces(pool)
}

// updateShares returns how many engines each model is to have, in total no more than steps need. The result changes
// when engines or models are added or removed, and when the needs of steps have changed enough for a new assignment to
// pay off.
func (r *roller) updateShares(pool string, engines []fleet.Engine, targets map[string]int64) map[string]int {
	models := trainedModels(targets)
	if len(models) == 0 {
		return nil
	}
	check := shareCheck{engines: len(engines), models: len(models), at: time.Now()}
	if last := r.shareChecks[pool]; last.engines == check.engines && last.models == check.models && check.at.Sub(last.at) < shareInterval {
		return r.shares[pool]
	}
	r.shareChecks[pool] = check
	var known map[string]policy.StepLoad
	if r.config.Loads != nil {
		known = r.config.Loads()
	}
	loads := make([]policy.StepLoad, len(models))
	current := make([]int, len(models))
	total := 0
	for i, model := range models {
		loads[i] = known[model]
		current[i] = r.shares[pool][model]
		total += current[i]
	}
	perEngine := r.slots(pool, engines, policy.MeanItem(loads)) / float64(max(1, len(engines)))
	kept := policy.EnginesKept(perEngine, loads, len(engines), total)
	proposed := policy.AssignEngines(kept, perEngine, loads)
	unchanged := len(r.shares[pool]) == len(models) && total == kept
	if unchanged && !policy.WorthReassigning(current, proposed, perEngine, loads, r.typicalLoad) {
		return r.shares[pool]
	}
	shares := make(map[string]int, len(models))
	for i, model := range models {
		shares[model] = proposed[i]
	}
	r.shares[pool] = shares
	r.config.Logger.Info("engines shared among models", "pool", pool, "engines", len(engines), "kept", kept, "shares", shares, "loads", known,
		"typical_step", policy.TypicalStep(proposed, perEngine, loads).Round(time.Millisecond))
	return shares
}

// shareHorizon is the time over which the slots of cold engines are averaged: the assignment has to suit the next step.
const shareHorizon = 8 * time.Second

// slots returns the number of slots of some engines of a pool, given the mean time for which an item holds one. For cold
// engines it counts the slots that their rate can keep busy.
func (r *roller) slots(pool string, engines []fleet.Engine, item time.Duration) float64 {
	coldRate := 0.0
	if current := r.config.Catalog.Current(); current != nil {
		coldRate = current.Pools[pool].ColdRate
	}
	slots := 0.0
	for _, engine := range engines {
		slots += policy.ColdSlots(engine.Slots, coldRate, item, time.Until(engine.ColdUntil), shareHorizon)
	}
	return slots
}

// publish writes the newest assignment of a pool for all processes, so that those that run its jobs use their model's
// engines. A change during a write is written by the next record. The caller must hold the mutex.
func (r *roller) publish(ctx context.Context, pool string) {
	if r.publishing[pool] {
		return
	}
	r.publishing[pool] = true
	r.active.Go(func() {
		var published Assignment
		for {
			assignment, changed := r.unpublished(pool, published)
			if !changed {
				return
			}
			if err := r.writeAssignment(ctx, pool, assignment); err != nil {
				if ctx.Err() == nil {
					errorlog.Warn(r.config.Logger, "dealing of engines not told", err, "pool", pool)
				}
				return
			}
			published = assignment
			if !pause.For(ctx, minPublishInterval) {
				return
			}
		}
	})
}

// unpublished returns the assignment of a pool, and whether it differs from the last published one. If it does not, it
// also marks the pool as no longer being published.
func (r *roller) unpublished(pool string, published Assignment) (Assignment, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	assignment := r.assignments[pool]
	changed := !maps.Equal(published, assignment)
	r.publishing[pool] = changed
	return assignment, changed
}

// writeAssignment writes the record of an assignment. The writer retries failed writes; after an error it cannot write
// any more.
func (r *roller) writeAssignment(ctx context.Context, pool string, assignment Assignment) error {
	record := newAssignmentRecord(pool, assignment)
	value, err := record.MarshalMsg(nil)
	if err != nil {
		return err
	}
	_, err = r.writer.Append(ctx, []keyedlog.Record{{Key: assignmentKeyPrefix + pool, Value: value}})
	return err
}

// countMoved counts the engines whose model has changed.
func countMoved(before, after Assignment) int {
	count := 0
	for id, model := range after {
		if earlier, known := before[id]; known && earlier != model {
			count++
		}
	}
	return count
}
