package fleet

import (
	"time"

	"github.com/hillfork/hillfork/internal/policy"
)

// Ejection is a state change of an engine's circuit breaker: the engine was ejected or readmitted.
type Ejection struct {
	EngineID string
	// Readmitted means that the engine takes work again; otherwise it was ejected.
	Readmitted bool
	// Cause is the reason why the last piece of work failed; OpenFor is how long nothing is sent to the engine. Both are
	// empty for a readmission.
	Cause   string
	OpenFor time.Duration
	// Failures is the number of failures since the engine's last complete response.
	Failures int
}

// OnEjection sets the function to call after each ejection or readmission, without a lock held. It must be called before
// the directory is used.
func (d *Directory) OnEjection(call func(Ejection)) {
	d.onEjection = call
}

// Ejected returns the number of engines that were ejected and not readmitted yet.
func (d *Directory) Ejected() int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := time.Now()
	count := 0
	for _, found := range d.engines {
		if found.breaker.State(now) != policy.BreakerClosed {
			count++
		}
	}
	return count
}

// unlock releases the mutex and reports the ejections that were recorded while it was held.
func (d *Directory) unlock() {
	pending := d.pendingEjections
	d.pendingEjections = nil
	d.mutex.Unlock()
	if d.onEjection == nil {
		return
	}
	for _, ejection := range pending {
		d.onEjection(ejection)
	}
}

// begin counts a piece of work at an engine, and reports whether the engine may now take less than its free slots
// suggest: the work is a trial, or the engine is cold. The mutex must be held.
func (d *Directory) begin(engine Engine, want Want, now time.Time) bool {
	found := d.engines[engine.ID]
	if want.probing && !withinShare(found.inFlight+d.peers.held[engine.ID], Candidate{Engine: engine}, want) {
		d.peers.probedAt = now
	}
	found.inFlight++
	cold := d.recordStart(found, now)
	return found.breaker.Begin(now) || cold
}

// Failed records that an engine failed a piece of work, and why. The engine becomes the last choice for a while, or gets
// no work if the failure ejects it.
func (d *Directory) Failed(id string, failure policy.Failure, cause string) {
	now := time.Now()
	d.mutex.Lock()
	defer d.unlock()
	found, ok := d.engines[id]
	if !ok {
		return
	}
	found.avoidUntil = now.Add(min(avoidMax, avoidBase<<min(found.failures, 3)))
	found.failures++
	found.cold.silentSince = time.Time{}
	lasts := found.breaker.Fail(failure, now)
	if lasts == 0 {
		return
	}
	d.suspectEjected(found, now)
	// The trial decides when the engine gets work again.
	found.avoidUntil = time.Time{}
	d.pendingEjections = append(d.pendingEjections, Ejection{EngineID: id, Cause: cause, OpenFor: lasts, Failures: found.failures})
}

// Answered records that an engine began to respond to work that was sent at sentAt. An ejected engine is readmitted if
// that was its trial.
func (d *Directory) Answered(id string, sentAt time.Time) {
	d.mutex.Lock()
	defer d.unlock()
	if found, ok := d.engines[id]; ok {
		now := time.Now()
		if found.breaker.Answer(sentAt, now) {
			d.readmit(found)
			d.recordReachable(found, now)
		}
		d.recordResponse(found, now.Sub(sentAt), now)
	}
}

// Succeeded records a complete response and its latency, 0 for a stream.
func (d *Directory) Succeeded(id string, latency time.Duration) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	found, ok := d.engines[id]
	if !ok {
		return
	}
	found.breaker.Succeed()
	found.failures = 0
	found.avoidUntil = time.Time{}
	found.latency = smooth(found.latency, latency)
}

// Rejected records that an engine rejected a piece of work. It may accept other work.
func (d *Directory) Rejected(id string) {
	d.Answered(id, time.Now())
}

// readmit records that an engine takes work again. The mutex must be held.
func (d *Directory) readmit(found *entry) {
	d.pendingEjections = append(d.pendingEjections, Ejection{EngineID: found.engine.ID, Readmitted: true, Failures: found.failures})
	d.changed.Notify()
}
