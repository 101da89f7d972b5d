package fleet

import (
	"time"

	"github.com/hillfork/hillfork/internal/policy"
)

// CheckCause is the reason why an engine's health should be checked.
type CheckCause int

// Causes of health checks.
const (
	// CheckReturned means that the engine returned with its zone, or is to be tried again after failures.
	CheckReturned CheckCause = iota
	// CheckUnconfirmed means that the process may have missed that the engine turned cold.
	CheckUnconfirmed
	// CheckLate means that the engine responds much later than usual.
	CheckLate
)

var checkCauseNames = [...]string{"returned", "unconfirmed", "late"}

// String returns the name used in logs.
func (c CheckCause) String() string {
	return checkCauseNames[c]
}

// HealthCheck is the request to check the health of an engine.
type HealthCheck struct {
	Engine Engine
	Cause  CheckCause
}

const (
	// maxSuspicion is how long an engine that was ejected counts as cold without a health response. It exceeds the usual
	// outage of a zone, since the return of an unreachable engine can't be observed. It is limited for engines that never
	// respond to health checks.
	maxSuspicion = 30 * time.Second
	// checkSpread is the time over which processes that are not the sender of an engine spread their first checks where
	// all may have the same reason for one. The platform allows 1.5 times the cold rate plus 5 requests a second; with 70
	// processes, checks and work at the cold rate together stay within that.
	checkSpread = 8 * time.Second
	// latePaceFactor is the multiple of an engine's usual pace from which its response counts as late; lateLatencyFactor is
	// the multiple of the latency of its complete responses, used if the pace is not known. A response counts as late after
	// minLate at the earliest: a long prompt delays the first event by some tenths of a second at most.
	latePaceFactor    = 8
	lateLatencyFactor = 4
	minLate           = 200 * time.Millisecond
	// maxFirstChecks is the number of suspected engines that a process checks without delay where no engine takes its work.
	// It bounds the checks in case all processes lose all engines at the same time.
	maxFirstChecks = 3
)

// HealthChecks returns a channel that receives a value when health checks are requested.
func (d *Directory) HealthChecks() <-chan struct{} {
	return d.checksWanted
}

// TakeHealthChecks returns the health checks that were requested since the last call. A check that is not made is
// requested again as long as work needs it.
func (d *Directory) TakeHealthChecks() []HealthCheck {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	checks := make([]HealthCheck, 0, len(d.pendingChecks))
	for id, cause := range d.pendingChecks {
		if found, ok := d.engines[id]; ok {
			checks = append(checks, HealthCheck{Engine: d.effectiveEngine(found), Cause: cause})
		}
	}
	clear(d.pendingChecks)
	return checks
}

// requestCheck requests a health check of an engine. The mutex must be held.
func (d *Directory) requestCheck(found *entry, cause CheckCause) {
	if earlier, pending := d.pendingChecks[found.engine.ID]; pending && earlier <= cause {
		return
	}
	d.pendingChecks[found.engine.ID] = cause
	select {
	case d.checksWanted <- struct{}{}:
	default:
	}
}

// RecordHealth records the response of an engine to a health check that was sent at sentAt: the engine stays cold for
// coldFor from now on. The response ends a suspicion that is older than the check. A response of another incarnation of
// the engine is ignored.
func (d *Directory) RecordHealth(engine Engine, sentAt time.Time, coldFor time.Duration) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	found, ok := d.engines[engine.ID]
	if !ok || found.engine.Address != engine.Address || found.engine.Restarted(engine) {
		return
	}
	now := time.Now()
	found.cold.statedUntil = time.Time{}
	if coldFor > 0 {
		found.cold.statedUntil = now.Add(coldFor)
	}
	found.cold.confirmedAt = sentAt
	if !found.cold.suspectedAt.After(sentAt) {
		found.cold.suspectedUntil = time.Time{}
	}
	if !found.cold.unconfirmedSince.After(sentAt) {
		found.cold.unconfirmedSince = time.Time{}
	}
	d.engineChanged(found)
}

// suspicion is the reason why an engine that does not state that it is cold counts as cold.
type suspicion struct {
	cause CheckCause
	// since is when it began, and delay how long after that a process that is not the engine's sender checks the engine.
	since time.Time
	delay time.Duration
}

// suspicion returns why the engine counts as cold, and false if a health check would not change that.
func (e *entry) suspicion(limit ColdLimit, now time.Time) (suspicion, bool) {
	switch {
	case !limit.Checked:
		return suspicion{}, false
	case now.Before(e.cold.suspectedUntil):
		return suspicion{CheckReturned, e.cold.suspectedAt, e.cold.checkDelay}, true
	case e.needsConfirmation(limit, now):
		return suspicion{CheckUnconfirmed, e.cold.unconfirmedSince, e.spreadDelay()}, true
	default:
		return suspicion{}, false
	}
}

// checkSuspected requests a health check of an engine that counts as cold because of a suspicion. isSender means that this
// process may send the engine work while it is cold. The mutex must be held.
func (d *Directory) checkSuspected(found *entry, limit ColdLimit, isSender bool, now time.Time) {
	reason, suspected := found.suspicion(limit, now)
	if !suspected || found.breaker.State(now) == policy.BreakerOpen {
		return
	}
	if isSender || now.Sub(reason.since) >= reason.delay {
		d.requestCheck(found, reason.cause)
	}
}

// checkSilent requests a health check of an engine that has responded to nothing for much longer than usual. The mutex
// must be held.
func (d *Directory) checkSilent(found *entry, limit ColdLimit, now time.Time) {
	since := found.cold.silentSince
	if limit.Checked && !since.IsZero() && d.isLate(found, now.Sub(since), now) {
		d.requestCheck(found, CheckLate)
	}
}

// checkFirstSuspected requests health checks of the first engines that may run work for which no engine was found, and
// count as cold because of a suspicion. It does not wait for the delay of their checks. The mutex must be held.
func (d *Directory) checkFirstSuspected(want Want, now time.Time) {
	limit := d.coldLimits[want.Pool]
	if !limit.Checked {
		return
	}
	checks := 0
	for _, found := range d.considered(want) {
		reason, suspected := found.suspicion(limit, now)
		if !suspected || !fits(d.effectiveEngine(found), want) {
			continue
		}
		d.requestCheck(found, reason.cause)
		if checks++; checks == maxFirstChecks {
			return
		}
	}
}

// suspectReturned makes an engine count as cold until a health response clears it, at most for the time for which
// engines of its pool are cold, because it returned together with its zone. All processes see the return of the zone at the
// same time, so only the engine's sender and processes without another engine check it. The mutex must be held.
func (d *Directory) suspectReturned(found *entry, now time.Time) {
	if limit, limited := d.coldLimits[found.engine.Pool]; limited {
		found.cold.suspect(now, limit.Duration, limit.Duration)
		d.engineChanged(found)
	}
}

// suspectZone calls suspectReturned for all engines of a zone whose evacuation has ended, and has it called for those
// that this process gets to know later. The mutex must be held.
func (d *Directory) suspectZone(zone string) {
	now := time.Now()
	d.zones.returnedAt[zone] = now
	for _, found := range d.engines {
		if found.engine.Zone == zone {
			d.suspectReturned(found, now)
		}
	}
}

// suspectEjected makes an ejected engine count as cold until a health response clears it, at most for maxSuspicion. It may
// have been unreachable and return cold, and without the suspicion every process would send it a trial. The mutex must be held.
func (d *Directory) suspectEjected(found *entry, now time.Time) {
	if d.coldLimits[found.engine.Pool].Checked {
		found.cold.suspect(now, maxSuspicion, found.spreadDelay())
		d.engineChanged(found)
	}
}

// suspect begins a suspicion that lasts for period. It does not end an earlier one that lasts longer, whose checkDelay then
// applies: an ejected engine may still be unreachable when the evacuation of its zone ends.
func (c *coldState) suspect(now time.Time, period, checkDelay time.Duration) {
	c.suspectedAt = now
	if until := now.Add(period); until.After(c.suspectedUntil) {
		c.suspectedUntil, c.checkDelay = until, checkDelay
	}
}

// recordReachable records that an engine that was suspected after its ejection has responded to work: it is cold no longer than
// engines of its pool are after their start. The mutex must be held.
func (d *Directory) recordReachable(found *entry, now time.Time) {
	until := now.Add(d.coldLimits[found.engine.Pool].Duration)
	if found.cold.suspectedUntil.After(until) {
		found.cold.suspectedUntil = until
	}
}

// recordResponse records that an engine responded to work that was sent elapsed ago, 0 if that is not known, and requests a
// health check if that is much longer than usual. The mutex must be held.
func (d *Directory) recordResponse(found *entry, elapsed time.Duration, now time.Time) {
	found.cold.silentSince = time.Time{}
	limit := d.coldLimits[found.engine.Pool]
	if limit.Checked && !now.Before(found.coldUntil()) && d.isLate(found, elapsed, now) {
		d.requestCheck(found, CheckLate)
	}
}

// isLate reports whether an engine that has not responded for elapsed is much later than its pace suggests, and loads no
// weights. The mutex must be held.
func (d *Directory) isLate(found *entry, elapsed time.Duration, now time.Time) bool {
	if elapsed < minLate {
		return false
	}
	for _, until := range found.loadingUntil {
		if now.Before(until) {
			return false
		}
	}
	if pace := d.usualPace(found, now); pace > 0 {
		return elapsed >= latePaceFactor*pace
	}
	return found.latency > 0 && elapsed >= lateLatencyFactor*found.latency
}

// zones counts the known engines of each zone. A zone that has lost its last engine is absent until it has one again.
type zones struct {
	engines    map[string]int
	absent     map[string]bool
	returnedAt map[string]time.Time
}

func newZones() zones {
	return zones{engines: make(map[string]int), absent: make(map[string]bool), returnedAt: make(map[string]time.Time)}
}

func (z *zones) add(zone string, now time.Time) {
	z.engines[zone]++
	if z.absent[zone] {
		delete(z.absent, zone)
		z.returnedAt[zone] = now
	}
}

func (z *zones) remove(zone string) {
	z.engines[zone]--
	if z.engines[zone] == 0 {
		delete(z.engines, zone)
		z.absent[zone] = true
	}
}

// returnedWithin reports whether a zone has returned within a period.
func (z *zones) returnedWithin(zone string, period time.Duration, now time.Time) bool {
	at, returned := z.returnedAt[zone]
	return returned && now.Sub(at) < period
}
