package fleet

import (
	"slices"
	"time"
)

// coldWindow is the window in which starts of work at a cold engine are counted: one second plus a tenth for request
// latency.
const coldWindow = 1100 * time.Millisecond

// SetColdRate sets how many requests per second an engine of a pool can start while it is cold, from all processes
// together; 0 means no limit.
func (d *Directory) SetColdRate(pool string, perS float64) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if perS > 0 {
		d.coldRates[pool] = perS
	} else {
		delete(d.coldRates, pool)
	}
}

// coldLimited reports whether a cold engine takes no more work of this kind now. Only one process may send it any: the
// one that runs the jobs of the model that the engine is assigned to. It uses the whole rate of the engine, so that
// processes need not coordinate. Single requests, which arrive at all processes, use warm engines. The mutex must be
// held.
func (d *Directory) coldLimited(found *entry, want Want, now time.Time) bool {
	rate := d.coldRates[found.engine.Pool]
	if rate == 0 || !now.Before(found.engine.ColdUntil) {
		return false
	}
	assigned := d.assigned[found.engine.Pool][found.engine.ID]
	return want.Model == "" || assigned != want.Model || len(found.startsInWindow(now)) >= max(1, int(rate))
}

// startsInWindow returns the times within the last coldWindow at which work started at an engine, and removes older
// ones.
func (e *entry) startsInWindow(now time.Time) []time.Time {
	e.recentStarts = slices.DeleteFunc(e.recentStarts, func(at time.Time) bool { return now.Sub(at) >= coldWindow })
	return e.recentStarts
}

// recordStart records that work starts at an engine, and reports whether the engine is cold. The mutex must be held.
func (d *Directory) recordStart(found *entry, now time.Time) bool {
	if d.coldRates[found.engine.Pool] == 0 || !now.Before(found.engine.ColdUntil) {
		return false
	}
	found.recentStarts = append(found.startsInWindow(now), now)
	return true
}
