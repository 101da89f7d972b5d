package jobrun

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/hillfork/hillfork/internal/job"
)

// takeOver makes progress the item's own. What follows is a line of its own: whoever made the progress may go on with its line.
func (e *execution) takeOver(progress *job.Progress) {
	e.events = slices.Clone(progress.Events)
	e.versions = slices.Clone(progress.Versions)
	e.failures = max(e.failures, progress.Failures)
	e.whole, e.score = progress.Whole, progress.Score
	e.kept = len(e.events)
	e.line = 0
}

// adopt takes progress of another owner over, if it is further than the item's own.
func (e *execution) adopt(progress *job.Progress) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.settled || e.whole || !fits(progress.Versions, e.view.Spec.MinVersion) {
		return
	}
	if !progress.Whole && len(progress.Events) <= len(e.events) {
		return
	}
	e.pending = progress
	if e.interrupt != nil {
		e.interrupt()
	}
}

// takePending takes over what was adopted, and tells whether the text is whole.
func (e *execution) takePending() bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.pending != nil {
		e.takeOver(e.pending)
		e.pending = nil
	}
	return e.whole
}

// interruptible returns a context that adopt can end.
func (e *execution) interruptible(ctx context.Context) (context.Context, context.CancelFunc) {
	runCtx, cancel := context.WithCancel(ctx)
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.interrupt = cancel
	if e.pending != nil {
		cancel()
	}
	return runCtx, cancel
}

func fits(versions []int64, least int64) bool {
	for _, version := range versions {
		if version < least {
			return false
		}
	}
	return true
}

func (e *execution) settle() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.settled = true
}

// progress returns the item's whole text as far as it has come, and whether the store has less of it.
func (e *execution) progress() (job.Progress, bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.since(0), len(e.events) > e.kept || e.whole
}

// checkpoint returns what the item has come further since the last checkpoint, which piece of its line that is, and whether it
// is worth keeping. An item that is about to be listed is not, nor one of few events.
func (e *execution) checkpoint() (job.Progress, int, bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.settled || e.whole || len(e.events) < checkpointEvents || len(e.events) < e.kept+pieceEvents {
		return job.Progress{}, 0, false
	}
	if e.line == 0 {
		e.line = 1 + rand.Uint64N(math.MaxUint64)
		e.kept, e.pieces = 0, 0
	}
	progress, piece := e.since(e.kept), e.pieces
	e.kept = len(e.events)
	e.pieces++
	return progress, piece, true
}

// since returns the item's progress without its first events.
func (e *execution) since(from int) job.Progress {
	return job.Progress{
		ItemID: e.item.ID, Events: slices.Clone(e.events[from:]), Versions: slices.Clone(e.versions), Failures: e.failures,
		Whole: e.whole, Score: e.score, Line: e.line, From: from,
	}
}

const (
	// checkpointEvents is how many events a first checkpoint holds at least: shorter items run again as quickly.
	checkpointEvents = 12
	// pieceEvents is how many events a later one holds at least, so that events outweigh what a record takes besides.
	pieceEvents = 4
)
