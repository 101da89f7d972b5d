package fleet

import (
	"time"

	"github.com/hillfork/hillfork/internal/policy"
)

// Ejection says that an engine takes no work for a while, or that it is taken back.
type Ejection struct {
	EngineID string
	// TakenBack says that the engine takes work again.
	TakenBack bool
	// Cause is what the last piece of work failed of; Lasts is for how long nothing is sent to the engine.
	Cause string
	Lasts time.Duration
	// Failures counts those since the engine's last whole answer.
	Failures int
}

// WatchEjections has ejections told from now on, without a lock held. It must be called before the directory is used.
func (d *Directory) WatchEjections(tell func(Ejection)) {
	d.tell = tell
}

// Ejected counts the engines that were ejected and have not been taken back.
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

// unlock releases the mutex and tells what came of ejections while it was held.
func (d *Directory) unlock() {
	untold := d.untold
	d.untold = nil
	d.mutex.Unlock()
	if d.tell == nil {
		return
	}
	for _, ejection := range untold {
		d.tell(ejection)
	}
}

// begin counts a piece of work at an engine, and returns whether it is a trial. The mutex must be held.
func (d *Directory) begin(engine Engine, want Want, now time.Time) bool {
	found := d.engines[engine.ID]
	if want.probing && !hasPlace(found.inFlight+d.peers.held[engine.ID], Candidate{Engine: engine}, want) {
		d.peers.probedAt = now
	}
	found.inFlight++
	return found.breaker.Begin(now)
}

// Failed records that an engine failed a piece of work, and of what. It is tried last for a while, or not at all if it was ejected for it.
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
	lasts := found.breaker.Fail(failure, now)
	if lasts == 0 {
		return
	}
	// The trial decides when the engine is asked again.
	found.avoidUntil = time.Time{}
	d.untold = append(d.untold, Ejection{EngineID: id, Cause: cause, Lasts: lasts, Failures: found.failures})
}

// Answered records that an engine began to answer work that was sent to it at a moment. It takes an ejected engine back if that was a trial.
func (d *Directory) Answered(id string, sentAt time.Time) {
	d.mutex.Lock()
	defer d.unlock()
	if found, ok := d.engines[id]; ok {
		d.takenBack(found, found.breaker.Answer(sentAt, time.Now()))
	}
}

// Succeeded records a whole answer and how long it took, 0 for a stream.
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

// TurnedAway records that an engine answered that it does not run a piece of work: it is there, and takes other work.
func (d *Directory) TurnedAway(id string) {
	d.Answered(id, time.Now())
}

// takenBack notes whether an engine takes work again. The mutex must be held.
func (d *Directory) takenBack(found *entry, back bool) {
	if !back {
		return
	}
	d.untold = append(d.untold, Ejection{EngineID: found.engine.ID, TakenBack: true, Failures: found.failures})
	d.changed.Notify()
}
