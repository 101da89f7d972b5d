package quarantine

import (
	"context"
	"time"

	"github.com/hillfork/hillfork/internal/engineapi"
	"github.com/hillfork/hillfork/internal/fleet"
)

const (
	// silenceWindow is how long after a call was abandoned the end of its engine is attributed to the call: its machine
	// stops the engine and starts a replacement within several seconds.
	silenceWindow = 10 * time.Second
	// minSilence is the minimum time for which an engine must not have responded to a call. Calls are abandoned earlier for
	// reasons on the caller's side.
	minSilence = 300 * time.Millisecond
	// silenceCheckInterval is the interval between checks whether the engines of abandoned calls have ended.
	silenceCheckInterval = 500 * time.Millisecond
	// maxSilentCalls limits the number of calls that are watched, some 200 bytes each. An engine that stops responding
	// leaves as many as it has slots.
	maxSilentCalls = 1024
)

// silentCall is a call that was abandoned because its engine did not respond.
type silentCall struct {
	content Content
	engine  fleet.Engine
	since   time.Time
	// knownIDs are the ids of the engines listed at the address at that time, which include earlier engines whose records
	// have not expired yet.
	knownIDs map[string]bool
}

// ReportSilent reports that a call was abandoned after the engine it was sent to had not responded for the duration lasted. The
// engine has ended if another one appears at its address.
func (q *Quarantine) ReportSilent(call engineapi.Call, engine fleet.Engine, lasted time.Duration) {
	if q == nil || lasted < minSilence {
		return
	}
	known, listed := q.config.Directory.Engine(engine.ID)
	if !listed || known.Draining {
		return
	}
	next := silentCall{content: ContentOf(call), engine: engine, since: time.Now(), knownIDs: make(map[string]bool)}
	for _, other := range q.config.Directory.Pool(engine.Pool) {
		if other.Address == engine.Address {
			next.knownIDs[other.ID] = true
		}
	}
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if len(q.silentCalls) >= maxSilentCalls {
		q.silentCalls = q.silentCalls[1:]
	}
	q.silentCalls = append(q.silentCalls, next)
}

// watchSilentCalls determines which silent engines have ended, until the context ends.
func (q *Quarantine) watchSilentCalls(ctx context.Context) {
	ticker := time.NewTicker(silenceCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		for _, ended := range q.resolveSilentCalls() {
			q.ended(endOf(ended.content, ended.engine))
			q.config.Logger.Info("silent engine has ended", "content", ended.content, "engine", ended.engine.ID, "pool", ended.engine.Pool,
				"address", ended.engine.Address, "given_up_ago", time.Since(ended.since).Round(time.Millisecond))
		}
	}
}

// resolveSilentCalls returns the calls whose engines have ended, and keeps those whose engines may still turn out to have
// ended.
func (q *Quarantine) resolveSilentCalls() (ended []silentCall) {
	q.mutex.Lock()
	calls := q.silentCalls
	q.silentCalls = nil
	q.mutex.Unlock()
	var remaining []silentCall
	for _, next := range calls {
		known, listed := q.config.Directory.Engine(next.engine.ID)
		switch {
		case listed && known.Draining, time.Since(next.since) > silenceWindow:
		case q.replaced(next):
			ended = append(ended, next)
		default:
			remaining = append(remaining, next)
		}
	}
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.silentCalls = append(remaining, q.silentCalls...)
	return ended
}

// replaced reports whether a new engine of the pool has the address of a silent one, or the silent engine has restarted.
func (q *Quarantine) replaced(silent silentCall) bool {
	if known, listed := q.config.Directory.Engine(silent.engine.ID); listed && known.Restarted(silent.engine) {
		return true
	}
	for _, other := range q.config.Directory.Pool(silent.engine.Pool) {
		if other.Address == silent.engine.Address && !silent.knownIDs[other.ID] {
			return true
		}
	}
	return false
}
