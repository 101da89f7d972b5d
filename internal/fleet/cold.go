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

// Cold returns the number of engines that are cold or count as cold, in pools that limit their work.
func (d *Directory) Cold() int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := time.Now()
	count := 0
	for _, found := range d.engines {
		if d.isCold(found, now) {
			count++
		}
	}
	return count
}

// isCold reports whether an engine counts as cold in a pool that limits the work of cold engines. The mutex must be held.
func (d *Directory) isCold(found *entry, now time.Time) bool {
	limit, limited := d.coldLimits[found.engine.Pool]
	return limited && (now.Before(found.coldUntil()) || found.cold.isUnconfirmed(limit, now))
}

// coldState is what this process knows of the coldness of an engine besides the engine's record.
type coldState struct {
	// statedUntil is the time until which the engine is cold by its last health response. A record that was written
	// before the engine turned cold does not change it.
	statedUntil time.Time
	// suspectedAt is when the engine was last suspected to be cold, and suspectedUntil the time until which it counts as
	// cold if no health response clears it. checkDelay is how long after suspectedAt a process that is not the engine's
	// sender waits before it checks the engine.
	suspectedAt    time.Time
	suspectedUntil time.Time
	checkDelay     time.Duration
	// unconfirmedSince is when this process may have missed that the engine turned cold, zero if a later health response
	// states its coldness. confirmedAt is when the last check that got a response was sent.
	unconfirmedSince time.Time
	confirmedAt      time.Time
	// silentSince is when the first work after the engine's last response was started, zero if no response is outstanding.
	silentSince time.Time
	// reassignedAt is when the model that the engine is assigned to last changed, zero if it has not.
	reassignedAt time.Time
	// recentStarts are the times at which work was started at the engine within the last coldWindow.
	recentStarts []time.Time
}

// coldUntil returns the time until which an engine counts as cold.
func (e *entry) coldUntil() time.Time {
	return latest(e.statedColdUntil(), e.cold.suspectedUntil)
}

// statedColdUntil returns the time until which an engine is cold by its record and its last health response.
func (e *entry) statedColdUntil() time.Time {
	return latest(e.engine.ColdUntil, e.cold.statedUntil)
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// SenderTerm is a period in which this process is the only one that may send work to a cold engine.
type SenderTerm struct {
	// Since is when the term began. Until is when it ends unless it is confirmed before: another process may have the
	// next term from then on.
	Since, Until time.Time
}

// reassignDelay is how long no work is sent to a cold engine after its model has changed: the sender for the earlier
// model may read the change up to a second later, and work that it sent until then counts for a further window.
const reassignDelay = time.Second + coldWindow

// SetColdSenders sets the function that returns the term in which this process is the only sender of an engine, and false
// if it is not the sender. The model is the one that the engine is assigned to, empty if there is none. It is called with the directory's mutex held.
// Without such a function every process counts as the sender for the models whose work it has. It must be set before the
// first engine is added.
func (d *Directory) SetColdSenders(term func(engine Engine, model string) (SenderTerm, bool)) {
	d.senderTerm = term
}

// coldTolerance is how much longer than known an engine must be cold to count as changed: the end of the cold period is
// computed from each of its records, and varies by some tenths of a second.
const coldTolerance = 500 * time.Millisecond

// turnsCold reports whether a new record of an engine states that it is cold for longer than was known, in a pool that
// limits the work of cold engines. The mutex must be held.
func (d *Directory) turnsCold(found *entry, engine Engine) bool {
	_, limited := d.coldLimits[engine.Pool]
	return limited && engine.ColdUntil.After(found.coldUntil().Add(coldTolerance))
}

// coldLimited reports whether a cold engine takes no more work of this kind now, and requests a health check where the
// engine may be cold. Only the process in its SenderTerm sends work to a cold engine. It uses the whole rate of
// the engine, so that processes need not coordinate. The mutex must be held.
func (d *Directory) coldLimited(found *entry, want Want, now time.Time) bool {
	limit, limited := d.coldLimits[found.engine.Pool]
	if !limited {
		return false
	}
	if !d.isCold(found, now) {
		d.checkSilent(found, limit, now)
		return false
	}
	term, isSender := d.termOf(found, want)
	isSender = isSender && now.Before(term.Until)
	d.checkSuspected(found, limit, isSender, now)
	// For one window after the term began, starts of the previous sender may still count against the rate.
	return !isSender || now.Before(term.Since.Add(coldWindow)) || now.Before(found.cold.reassignedAt.Add(reassignDelay)) ||
		len(found.startsInWindow(now)) >= limit.startsPerWindow()
}

// termOf returns the term in which this process is the only sender of an engine, and false if it is not the sender or
// must not send it work of this kind: an engine with an assigned model takes other models' work only while it is warm.
// The mutex must be held.
func (d *Directory) termOf(found *entry, want Want) (SenderTerm, bool) {
	model := d.assigned[found.engine.Pool][found.engine.ID]
	if want.Model != "" && want.Model != model {
		return SenderTerm{}, false
	}
	if d.senderTerm == nil {
		return SenderTerm{Until: time.Now().Add(coldWindow)}, want.Model != ""
	}
	return d.senderTerm(found.engine, model)
}

// MayStart reports whether work of a model that was assigned to an engine may still be sent there. It must not if the
// engine is cold and the term of this process as its sender has ended, as after a pause of the process.
func (d *Directory) MayStart(id, model string) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := time.Now()
	found, ok := d.engines[id]
	if !ok {
		return true
	}
	if !d.isCold(found, now) {
		return true
	}
	term, isSender := d.termOf(found, Want{Model: model})
	return isSender && now.Before(term.Until)
}

// HandOver reports whether other work may take over a slot that this process holds at an engine, and if so, counts a start
// there: at a cold engine, starts in slots that are handed over count against the rate too.
func (d *Directory) HandOver(id string) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := time.Now()
	found, ok := d.engines[id]
	if !ok {
		return true
	}
	if d.coldLimited(found, Want{Model: d.assigned[found.engine.Pool][id]}, now) {
		return false
	}
	d.recordStart(found, now)
	return true
}

// AllCold reports whether all engines that may run a piece of work state that they are cold and their pool limits their
// work, and if so, how long until the first of them is warm.
func (d *Directory) AllCold(want Want) (wait time.Duration, allCold bool) {
	now := time.Now()
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if _, limited := d.coldLimits[want.Pool]; !limited {
		return 0, false
	}
	for _, found := range d.considered(want) {
		if !fits(d.effectiveEngine(found), want) {
			continue
		}
		left := found.statedColdUntil().Sub(now)
		if left <= 0 {
			return 0, false
		}
		if !allCold || left < wait {
			wait, allCold = left, true
		}
	}
	return wait, allCold
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
	return d.isCold(found, now)
}

// recordReassigned records which engines of a pool change their model. The mutex must be held.
func (d *Directory) recordReassigned(pool string, models map[string]string) {
	if _, limited := d.coldLimits[pool]; !limited {
		return
	}
	now := time.Now()
	for id, model := range d.assigned[pool] {
		if found, known := d.engines[id]; known && models[id] != model {
			found.cold.reassignedAt = now
		}
	}
}
