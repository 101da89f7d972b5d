package fleet

import (
	"slices"
	"time"
)

// coldWindow is the window in which starts of work at a cold engine are counted: one second plus a tenth for request
// latency.
const coldWindow = 1100 * time.Millisecond

// ColdLimit limits the work of a pool's engines while they are cold.
type ColdLimit struct {
	// Rate is the number of requests per second that a cold engine can start, from all processes together; 0 means no
	// limit.
	Rate float64
	// Duration is how long an engine is cold after its start.
	Duration time.Duration
	// Checked means that the engines' health responses state for how long they stay cold.
	Checked bool
}

// SetColdLimit sets the limit of a pool.
func (d *Directory) SetColdLimit(pool string, limit ColdLimit) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if limit.Rate > 0 {
		d.coldLimits[pool] = limit
	} else {
		delete(d.coldLimits, pool)
	}
}

// LimitsCold reports whether a pool limits the work of cold engines.
func (d *Directory) LimitsCold(pool string) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	_, limited := d.coldLimits[pool]
	return limited
}

// Cold returns the number of engines that are cold, or suspected to be, in pools that limit their work.
func (d *Directory) Cold() int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := time.Now()
	count := 0
	for _, found := range d.engines {
		if _, limited := d.coldLimits[found.engine.Pool]; limited && now.Before(found.coldUntil()) {
			count++
		}
	}
	return count
}

// coldState is what this process knows of the coldness of an engine besides the engine's record.
type coldState struct {
	// statedUntil is the time until which the engine is cold by its last health response. A record that was written
	// before the engine turned cold does not change it.
	statedUntil time.Time
	// suspectedAt is when the engine began to be suspected of being cold, and suspectedUntil the time until which it
	// counts as cold if no health response clears it. checkDelay is how long processes that send it no work of its model
	// wait before they check it.
	suspectedAt    time.Time
	suspectedUntil time.Time
	checkDelay     time.Duration
	// silentSince is when work was started since which the engine has responded to nothing, zero if there is none.
	silentSince time.Time
	// recentStarts are the times at which work started there within coldWindow.
	recentStarts []time.Time
}

// coldUntil returns the time until which an engine counts as cold.
func (e *entry) coldUntil() time.Time {
	until := e.engine.ColdUntil
	for _, other := range []time.Time{e.cold.statedUntil, e.cold.suspectedUntil} {
		if other.After(until) {
			until = other
		}
	}
	return until
}

// coldLimited reports whether a cold engine takes no more work of this kind now, and requests a health check where the
// engine may be cold. Only one process may send a cold engine any work: the one that runs the jobs of the model that the
// engine is assigned to. It uses the whole rate of the engine, so that processes need not coordinate. Single requests,
// which arrive at all processes, use warm engines. The mutex must be held.
func (d *Directory) coldLimited(found *entry, want Want, now time.Time) bool {
	limit, limited := d.coldLimits[found.engine.Pool]
	if !limited {
		return false
	}
	isSender := want.Model != "" && d.assigned[found.engine.Pool][found.engine.ID] == want.Model
	d.checkCold(found, limit, isSender, now)
	if !now.Before(found.coldUntil()) {
		return false
	}
	return !isSender || len(found.startsInWindow(now)) >= limit.startsPerWindow()
}

// startsPerWindow returns how many requests a cold engine may start within coldWindow.
func (l ColdLimit) startsPerWindow() int {
	return max(1, int(l.Rate))
}

// startsInWindow returns the times within the last coldWindow at which work started at an engine, and removes older
// ones.
func (e *entry) startsInWindow(now time.Time) []time.Time {
	e.cold.recentStarts = slices.DeleteFunc(e.cold.recentStarts, func(at time.Time) bool { return now.Sub(at) >= coldWindow })
	return e.cold.recentStarts
}

// recordStart records that work starts at an engine, and reports whether the engine is cold. Starts at a warm engine
// count too: it may turn cold within the window. The mutex must be held.
func (d *Directory) recordStart(found *entry, now time.Time) bool {
	if _, limited := d.coldLimits[found.engine.Pool]; !limited {
		return false
	}
	if found.cold.silentSince.IsZero() {
		found.cold.silentSince = now
	}
	found.cold.recentStarts = append(found.startsInWindow(now), now)
	return now.Before(found.coldUntil())
}
