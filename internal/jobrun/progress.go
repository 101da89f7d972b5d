package jobrun

import (
	"context"
	"slices"

	"github.com/hillfork/hillfork/internal/job"
)

// takeOver makes progress the item's own.
func (e *execution) takeOver(progress *job.Progress) {
	e.events = slices.Clone(progress.Events)
	e.versions = slices.Clone(progress.Versions)
	e.failures = max(e.failures, progress.Failures)
	e.whole, e.score = progress.Whole, progress.Score
	e.kept = len(e.events)
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

// checkpoint returns how far the item has come, and whether that is worth keeping. Unless all is set, an item that is about to
// be listed is not, nor one of few events.
func (e *execution) checkpoint(all bool) (job.Progress, bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	progress := job.Progress{
		ItemID: e.item.ID, Events: slices.Clone(e.events), Versions: slices.Clone(e.versions), Failures: e.failures,
		Whole: e.whole, Score: e.score,
	}
	if all {
		return progress, len(e.events) > e.kept || e.whole
	}
	if e.settled || e.whole || len(e.events) < max(checkpointEvents, checkpointGrowth*e.kept) {
		return job.Progress{}, false
	}
	e.kept = len(e.events)
	return progress, true
}

const (
	// checkpointEvents is how many events a first checkpoint holds at least: shorter items run again as quickly.
	checkpointEvents = 12
	// checkpointGrowth is how many times the events of the last one the next holds at least, so that all checkpoints of an item
	// together are no more than twice its text; an owner's death costs half of an item at most.
	checkpointGrowth = 2
)
