package jobs

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/hillfork/hillfork/internal/job"
)

const (
	// maxHold is how long a read is held while results arrive. A trainer starts a read at most every 0.5 s, so an answer after
	// 0.45 s plus the transit times does not delay its next read.
	maxHold = 450 * time.Millisecond
	// answerMargin is how long before the run deadline, or the end of the call, a held read is answered: the answer takes some
	// tens of milliseconds to a caller in another region, more if it is large.
	answerMargin = 100 * time.Millisecond
	// estimatedMargin is added to answerMargin if the time of acceptance was computed from the wall clock of another process.
	estimatedMargin = 4 * time.Second
)

// heldRead is the state of a read that may be held. All durations except wait and waited are counted from now on.
type heldRead struct {
	// trainer reports that the trainer of the job waits for complete groups.
	trainer bool
	// wait is the time for which the caller allows the read to wait, waited the time since the call began.
	wait, waited time.Duration
	// callEnds is the time until the call ends.
	callEnds time.Duration
	// deadlineKnown reports that the run deadline of the job's route is known; deadline is the time until then.
	deadlineKnown bool
	deadline      time.Duration
	// estimated reports that deadline depends on the wall clock of another process.
	estimated bool
	// actionable reports that the caller can act on an answer: the wanted groups are complete, the job has ended or has all its
	// results, or the answer is full.
	actionable bool
}

// holdTime returns how much longer a read is held for further results, 0 if it is answered now.
func holdTime(read heldRead) time.Duration {
	if !read.trainer || !read.deadlineKnown || read.actionable {
		return 0
	}
	margin := answerMargin
	if read.estimated {
		margin += estimatedMargin
	}
	left := min(maxHold, read.wait) - read.waited
	return max(0, min(left, read.callEnds-answerMargin, read.deadline-margin))
}

// HoldStats counts reads that were held while results arrived.
type HoldStats struct {
	held, stepComplete atomic.Int64
}

// Held returns the number of reads that were held.
func (s *HoldStats) Held() int64 { return s.held.Load() }

// StepComplete returns the number of held reads that were answered because the groups that the trainer waits for were complete.
func (s *HoldStats) StepComplete() int64 { return s.stepComplete.Load() }

// HoldStats returns the counts of held reads.
func (s *Service) HoldStats() *HoldStats { return &s.holds }

// hold holds a read while results arrive, for as long as holdTime returns a positive duration.
func (s *Service) hold(ctx context.Context, r *reader, call resultsCall) {
	held := false
	for {
		indexChanged := s.config.Index.Changed()
		readable, changed := r.ledger.Readable(r.entry.JobID, call.from, listingBytes)
		left := holdTime(s.heldRead(ctx, r, call, readable))
		if left <= 0 {
			if held && readable.StepComplete {
				s.holds.stepComplete.Add(1)
			}
			return
		}
		if !held {
			held = true
			s.holds.held.Add(1)
		}
		timer := time.NewTimer(left)
		select {
		case <-changed:
		case <-indexChanged:
		case <-r.complete:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// heldRead returns what is known of a read now.
func (s *Service) heldRead(ctx context.Context, r *reader, call resultsCall, readable job.Readable) heldRead {
	read := heldRead{
		trainer: r.entry.HasTrainer(), wait: call.wait, waited: time.Since(call.started), callEnds: maxHold + answerMargin,
	}
	if end, bounded := ctx.Deadline(); bounded {
		read.callEnds = time.Until(end)
	}
	if ctx.Err() != nil {
		read.callEnds = 0
	}
	status, known := s.config.Index.Job(r.entry.JobID)
	read.actionable = !known || status.Ended || readable.Full || readable.StepComplete || readable.Listed >= r.entry.Items
	select {
	case <-r.complete:
		read.actionable = true
	default:
	}
	if deadline, ok := s.runDeadline(r.entry); ok {
		read.deadlineKnown, read.estimated = true, status.Estimated
		read.deadline = time.Until(status.AcceptedAt.Add(deadline))
	}
	return read
}

// runDeadline returns the time after a job's acceptance by which its results are expected. It returns false if the
// configuration states none.
func (s *Service) runDeadline(entry job.Entry) (time.Duration, bool) {
	if s.config.Catalog == nil {
		return 0, false
	}
	current := s.config.Catalog.Current()
	if current == nil {
		return 0, false
	}
	route, found := current.Match(entry.Host, entry.Path)
	return route.RunDeadline, found && route.RunDeadline > 0
}
