package fleet

import "time"

// An engine may turn cold at any time, and its record may have been written before that. A process learns of it from the
// end of an evacuation, from health responses and from failures, and this knowledge ends with the process. So a process may
// lack what another one knew: when it gets to know an engine, after it has skipped records of the operator, and when it
// becomes the only sender of an engine. The coldness of the engine is then unconfirmed, and the engine counts as cold until
// a health response states its coldness, at most for the time for which engines of its pool are cold after their start.
// Engines whose health is not checked are exempt, since nothing could confirm their coldness.

// confirmationAge is the maximum age of a health check whose response still confirms the coldness of an engine when its
// sender changes. A checker sends no second check to an engine within this time.
const confirmationAge = time.Second

// UnconfirmCold marks the coldness of all engines as unconfirmed, because records were skipped.
func (d *Directory) UnconfirmCold() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := time.Now()
	for _, found := range d.engines {
		found.cold.unconfirmedSince = now
	}
}

// SenderChanged marks the coldness of the engines that this process has become the only sender of as unconfirmed, unless
// a health check has just confirmed it. sends reports whether an engine, with the model that it is assigned to, is one of
// them; it is called with the directory's mutex held.
func (d *Directory) SenderChanged(sends func(engine Engine, model string) bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := time.Now()
	for id, found := range d.engines {
		pool := found.engine.Pool
		if !d.coldLimits[pool].Checked || now.Sub(found.cold.confirmedAt) < confirmationAge {
			continue
		}
		if sends(found.engine, d.assigned[pool][id]) {
			found.cold.unconfirmedSince = now
		}
	}
}

// isUnconfirmed reports whether the engine may have turned cold without this process knowing.
func (c *coldState) isUnconfirmed(limit ColdLimit, now time.Time) bool {
	return limit.Checked && !c.unconfirmedSince.IsZero() && now.Sub(c.unconfirmedSince) < limit.Duration
}

// needsConfirmation reports whether a health response is needed to know if an engine is cold: its coldness is
// unconfirmed, and neither its record nor an earlier response states that it is cold.
func (e *entry) needsConfirmation(limit ColdLimit, now time.Time) bool {
	return e.cold.isUnconfirmed(limit, now) && !now.Before(e.statedColdUntil())
}

// spreadDelay returns how long this process delays its check of an engine that it is not the sender of, where all
// processes may have the same reason for one.
func (e *entry) spreadDelay() time.Duration {
	return time.Duration(e.rank * float64(checkSpread))
}
