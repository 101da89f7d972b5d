package jobrun

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/hillfork/hillfork/internal/job"
)

// setProgress replaces the item's events by progress of another run. Its checkpoints start a new line, since the run that
// produced the progress may still append to the old one.
func (e *execution) setProgress(progress *job.Progress) {
	e.events = slices.Clone(progress.Events)
	e.textBytes = 0
	for _, event := range e.events {
		e.textBytes += len(event) + 1
	}
	e.versions = slices.Clone(progress.Versions)
	e.failures = max(e.failures, progress.Failures)
	e.complete, e.score = progress.Whole, progress.Score
	e.checkpointed = len(e.events)
	e.line = 0
}

// offerProgress hands the item progress of another owner, and interrupts the current run if the item uses it. Progress is
// ignored if the item is complete or finished, if the progress is neither complete nor longer than the item's own, or if the
// job does not allow its versions.
func (e *execution) offerProgress(progress *job.Progress) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.finished || e.complete || !versionsAllowed(progress.Versions, e.view.Spec.MinVersion) {
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

// applyPending applies the progress that offerProgress left, and reports whether the text is complete.
func (e *execution) applyPending() bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.pending != nil {
		e.setProgress(e.pending)
		e.pending = nil
	}
	return e.complete
}

// interruptible returns a context that offerProgress can cancel.
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

func versionsAllowed(versions []int64, minVersion int64) bool {
	for _, version := range versions {
		if version < minVersion {
			return false
		}
	}
	return true
}

func (e *execution) markFinished() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.finished = true
}

// progress returns the item's text so far, and reports whether the store lacks a part of it.
func (e *execution) progress() (job.Progress, bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.progressFrom(0), len(e.events) > e.checkpointed || e.complete
}

// checkpoint returns the events since the last checkpoint, the index of this piece in its line, and whether the piece should be
// stored. It should not if the item is about to be listed or has produced few events.
func (e *execution) checkpoint() (job.Progress, int, bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.finished || e.complete || len(e.events) < minCheckpointEvents || len(e.events) < e.checkpointed+minPieceEvents {
		return job.Progress{}, 0, false
	}
	if e.line == 0 {
		e.line = 1 + rand.Uint64N(math.MaxUint64)
		e.checkpointed, e.pieces = 0, 0
	}
	progress, piece := e.progressFrom(e.checkpointed), e.pieces
	e.checkpointed = len(e.events)
	e.pieces++
	return progress, piece, true
}

// progressFrom returns the item's progress without its first events.
func (e *execution) progressFrom(from int) job.Progress {
	return job.Progress{
		ItemID: e.item.ID, Events: slices.Clone(e.events[from:]), Versions: slices.Clone(e.versions), Failures: e.failures,
		Whole: e.complete, Score: e.score, Line: e.line, From: from,
	}
}

const (
	// minCheckpointEvents is the minimum number of events in the first checkpoint: running a shorter item again is as fast as
	// restoring it.
	minCheckpointEvents = 12
	// minPieceEvents is the minimum number of events in later checkpoints, so that events outweigh the overhead of a record.
	minPieceEvents = 4
)
