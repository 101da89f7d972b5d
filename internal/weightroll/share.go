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

// publishEvery is the least time between two records of a pool's assignment: engines come one by one at a start, and each
// record holds all of them.
const publishEvery = 200 * time.Millisecond

// shareEvery is how often it is worked out what steps need while no engines or models come or go: often beside the seconds between two
// steps, and a part of the plans.
const shareEvery = 300 * time.Millisecond

// shareLook is when it was last worked out how many engines each model is to have, and of what.
type shareLook struct {
	engines int
	models  int
	at      time.Time
}

// assign brings the engines that each model has towards its share. An engine that loads, or that is up to date with a version
// that a trainer has named, stays until a newer one is: to move it then costs no load more.
func (r *roller) assign(ctx context.Context, pool string, engines []fleet.Engine, targets map[string]int64) Assignment {
	previous, known := r.assignments[pool]
	if !known {
		// A successor goes on from what its predecessor dealt.
		previous = r.config.Directory.AssignedModels(pool)
	}
	if r.config.Directory.Partial() || r.config.JobsKnown != nil && !r.config.JobsKnown() {
		// Dealt engines that are not known yet would be replaced, each at the cost of a load; the ones that are known need not wait for them. So
		// would all engines be dealt, and loaded, of models whose steps are not known yet.
		return previous
	}
	shares := r.share(pool, engines, targets)
	engines = relevant(engines, previous, shares)
	assignment := Assign(engines, targets, previous, shares, func(engine fleet.Engine, model string) bool {
		if _, loading := r.loading[pool][engine.ID]; loading {
			return true
		}
		return targets[model] > 0 && engine.ServedVersion(model) >= targets[model]
	})
	assignment, swapped := r.balance(pool, assignment, engines, shares)
	if !maps.Equal(assignment, previous) {
		r.assignments[pool] = assignment
		r.publish(ctx, pool)
		r.config.Logger.Info("engines dealt to models", "pool", pool, "engines", len(engines), "counts", assignment.counts(),
			"shares", shares, "moved", moved(previous, assignment), "swapped_for_pace", swapped)
	}
	return assignment
}

// balanceEvery is how often engines are compared by pace: a plan is made ten times a second and more, usual paces change over seconds, and
// a pool may have thousands of engines.
const balanceEvery = time.Second

// balance swaps engines between models by their paces, unless that was done just now.
func (r *roller) balance(
	pool string, assignment Assignment, engines []fleet.Engine, shares map[string]int,
) (balanced Assignment, swapped int) {
	now := time.Now()
	if now.Sub(r.balancedAt[pool]) < balanceEvery {
		return assignment, 0
	}
	r.balancedAt[pool] = now
	return Balance(assignment, engines, shares, r.paces(pool), func(id string) bool {
		_, loading := r.loading[pool][id]
		return !loading
	})
}

// paces returns the usual paces of a pool's engines by id, nil if none is known.
func (r *roller) paces(pool string) map[string]time.Duration {
	if r.config.Paces == nil {
		return nil
	}
	return r.config.Paces(pool)
}

// share returns how many engines each model is to have, all together no more than steps need. It changes when engines or models come or
// go, and when steps ask enough else for the change to pay.
func (r *roller) share(pool string, engines []fleet.Engine, targets map[string]int64) map[string]int {
	models := trainedModels(targets)
	if len(models) == 0 {
		return nil
	}
	look := shareLook{engines: len(engines), models: len(models), at: time.Now()}
	if last := r.looked[pool]; last.engines == look.engines && last.models == look.models && look.at.Sub(last.at) < shareEvery {
		return r.shares[pool]
	}
	r.looked[pool] = look
	var known map[string]policy.StepLoad
	if r.config.Loads != nil {
		known = r.config.Loads()
	}
	loads := make([]policy.StepLoad, len(models))
	dealt := make([]int, len(models))
	total := 0
	for i, model := range models {
		loads[i] = known[model]
		dealt[i] = r.shares[pool][model]
		total += dealt[i]
	}
	slots := 0
	for _, engine := range engines {
		slots += engine.Slots
	}
	perEngine := float64(slots) / float64(max(1, len(engines)))
	kept := policy.EnginesKept(perEngine, loads, len(engines), total)
	better := policy.AssignEngines(kept, perEngine, loads)
	same := len(r.shares[pool]) == len(models) && total == kept
	if same && !policy.WorthReassigning(dealt, better, perEngine, loads, r.usual) {
		return r.shares[pool]
	}
	shares := make(map[string]int, len(models))
	for i, model := range models {
		shares[model] = better[i]
	}
	r.shares[pool] = shares
	r.config.Logger.Info("engines shared among models", "pool", pool, "engines", len(engines), "kept", kept, "shares", shares, "loads", known,
		"typical_step", policy.TypicalStep(better, perEngine, loads).Round(time.Millisecond))
	return shares
}

// publish tells all processes the newest assignment of a pool, so that those which run its jobs keep to their model's engines.
// What changes while a record is on its way is told by the next one. The mutex must be held.
func (r *roller) publish(ctx context.Context, pool string) {
	if r.publishing[pool] {
		return
	}
	r.publishing[pool] = true
	r.active.Go(func() {
		var told Assignment
		for {
			assignment, news := r.untold(pool, told)
			if !news {
				return
			}
			if err := r.tell(ctx, pool, assignment); err != nil {
				if ctx.Err() == nil {
					errorlog.Warn(r.config.Logger, "dealing of engines not told", err, "pool", pool)
				}
				return
			}
			told = assignment
			if !pause.For(ctx, publishEvery) {
				return
			}
		}
	})
}

// untold returns the assignment of a pool, and whether it is another than the one told last. If it is not, nothing is being told
// any more.
func (r *roller) untold(pool string, told Assignment) (Assignment, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	assignment := r.assignments[pool]
	news := !maps.Equal(told, assignment)
	r.publishing[pool] = news
	return assignment, news
}

// tell writes the record of an assignment. The writer repeats what fails; an error is the end of its work.
func (r *roller) tell(ctx context.Context, pool string, assignment Assignment) error {
	dealing := newDealing(pool, assignment)
	value, err := dealing.MarshalMsg(nil)
	if err != nil {
		return err
	}
	_, err = r.writer.Append(ctx, []keyedlog.Record{{Key: dealingKey + pool, Value: value}})
	return err
}

// moved counts the engines that have another model than before.
func moved(before, after Assignment) int {
	count := 0
	for id, model := range after {
		if earlier, known := before[id]; known && earlier != model {
			count++
		}
	}
	return count
}
