package fleet

import (
	"slices"
	"time"
)

// coldWindow is the span in which the work that begins at a cold engine is counted: a second, and a tenth for the ways of its requests.
const coldWindow = 1100 * time.Millisecond

// SetColdRate says how many requests a second an engine of a pool bears while it is cold, from all processes together; 0 for no bound.
func (d *Directory) SetColdRate(pool string, perS float64) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if perS > 0 {
		d.coldRates[pool] = perS
	} else {
		delete(d.coldRates, pool)
	}
}

// spared tells whether a cold engine takes none of a piece of work. One process alone may give it any: the one that runs the jobs of the
// model that the engine is kept up to date for, at the rate that the engine bears, so that processes need not agree. For single requests,
// which come to all processes, there are warm engines. The mutex must be held.
func (d *Directory) spared(found *entry, want Want, now time.Time) bool {
	rate := d.coldRates[found.engine.Pool]
	if rate == 0 || !now.Before(found.engine.ColdUntil) {
		return false
	}
	dealt := d.dealt[found.engine.Pool][found.engine.ID]
	return want.Model == "" || dealt != want.Model || len(found.recent(now)) >= max(1, int(rate))
}

// recent returns when work began at an engine within the last coldWindow, and forgets what began before.
func (e *entry) recent(now time.Time) []time.Time {
	e.began = slices.DeleteFunc(e.began, func(at time.Time) bool { return now.Sub(at) >= coldWindow })
	return e.began
}

// noteBegin notes that work begins at an engine, and tells whether that is cold. The mutex must be held.
func (d *Directory) noteBegin(found *entry, now time.Time) bool {
	if d.coldRates[found.engine.Pool] == 0 || !now.Before(found.engine.ColdUntil) {
		return false
	}
	found.began = append(found.recent(now), now)
	return true
}
