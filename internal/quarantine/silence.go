package quarantine

import (
	"context"
	"time"

	"github.com/hillfork/hillfork/internal/engineapi"
	"github.com/hillfork/hillfork/internal/fleet"
)

const (
	// silenceFor is how long after a call was given up its engine may turn out to have ended: its machine stops it and starts another in
	// its place within some seconds.
	silenceFor = 10 * time.Second
	// silenceLeast is how long an engine must have said nothing to a call. Calls are given up sooner for reasons of the caller's.
	silenceLeast = 300 * time.Millisecond
	// silenceLook is how often it is looked whether engines of calls that were given up have ended.
	silenceLook = 500 * time.Millisecond
	// silencesMost bounds the calls that are watched so, some 200 bytes each: an engine that falls silent leaves as many as it has
	// places.
	silencesMost = 1024
)

// silence is a call that was given up since its engine said nothing.
type silence struct {
	content Content
	engine  fleet.Engine
	since   time.Time
	// others are the engines that were known at the address by then: records of earlier ones that have not lapsed yet.
	others map[string]bool
}

// ReportSilent takes that a call was given up while the engine it was sent to had said nothing for a time. Whether the engine has ended shows
// when another one takes its place.
func (q *Quarantine) ReportSilent(call engineapi.Call, engine fleet.Engine, lasted time.Duration) {
	if q == nil || lasted < silenceLeast {
		return
	}
	known, listed := q.config.Directory.Engine(engine.ID)
	if !listed || known.Draining {
		return
	}
	next := silence{content: ContentOf(call), engine: engine, since: time.Now(), others: make(map[string]bool)}
	for _, other := range q.config.Directory.Pool(engine.Pool) {
		if other.Address == engine.Address {
			next.others[other.ID] = true
		}
	}
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if len(q.silences) >= silencesMost {
		q.silences = q.silences[1:]
	}
	q.silences = append(q.silences, next)
}

// watchSilences finds out which silent engines have ended, until the context ends.
func (q *Quarantine) watchSilences(ctx context.Context) {
	look := time.NewTicker(silenceLook)
	defer look.Stop()
	for {
		select {
		case <-look.C:
		case <-ctx.Done():
			return
		}
		for _, ended := range q.settleSilences() {
			q.ended(eventKey{content: ended.content, engine: ended.engine.ID})
			q.config.Logger.Info("silent engine has ended", "content", ended.content, "engine", ended.engine.ID, "pool", ended.engine.Pool,
				"address", ended.engine.Address, "given_up_ago", time.Since(ended.since).Round(time.Millisecond))
		}
	}
}

// settleSilences returns the silences whose engines have ended, and goes on with those of which nothing is known yet.
func (q *Quarantine) settleSilences() (ended []silence) {
	q.mutex.Lock()
	waiting := q.silences
	q.silences = nil
	q.mutex.Unlock()
	var open []silence
	for _, next := range waiting {
		known, listed := q.config.Directory.Engine(next.engine.ID)
		switch {
		case listed && known.Draining, time.Since(next.since) > silenceFor:
		case q.replaced(next):
			ended = append(ended, next)
		default:
			open = append(open, next)
		}
	}
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.silences = append(open, q.silences...)
	return ended
}

// replaced tells whether a new engine of the pool has the address of a silent one, or the silent one has started again.
func (q *Quarantine) replaced(silent silence) bool {
	if known, listed := q.config.Directory.Engine(silent.engine.ID); listed && known.Restarted(silent.engine) {
		return true
	}
	for _, other := range q.config.Directory.Pool(silent.engine.Pool) {
		if other.Address == silent.engine.Address && !silent.others[other.ID] {
			return true
		}
	}
	return false
}
