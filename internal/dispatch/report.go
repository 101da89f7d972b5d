package dispatch

import (
	"context"
	"sort"
	"time"

	"github.com/hillfork/hillfork/internal/errorlog"
	"github.com/hillfork/hillfork/internal/peer"
	"github.com/hillfork/hillfork/internal/peerapi"
)

// message is a message of the peer protocol.
type message = peer.Message

// reportLoop reports all attempts to the step shard once per report interval, and failed ones at once. It ends with the
// context, or when the intake has ended and the link is drained.
func (l *stepShardLink) reportLoop(ctx context.Context) {
	for ctx.Err() == nil {
		reportNow := l.reportNow.changed()
		if !l.hasAttempts() {
			if l.owner.intake.Err() != nil && l.drained() {
				return
			}
			l.waitForAttempts(ctx, reportNow)
			continue
		}
		began := time.Now()
		l.reportOnce(ctx)
		l.waitForReport(ctx, began, reportNow)
	}
}

// waitForAttempts waits for an attempt to report on, or for the end of the intake.
func (l *stepShardLink) waitForAttempts(ctx context.Context, reportNow <-chan struct{}) {
	ending := l.owner.intake.Done()
	if l.owner.intake.Err() != nil {
		ending = nil
	}
	select {
	case <-ctx.Done():
	case <-reportNow:
	case <-ending:
	}
}

// waitForReport waits for the next report. A notification, for example of a failure, triggers it early, but not before
// a minimum interval, which prevents a tight loop.
func (l *stepShardLink) waitForReport(ctx context.Context, began time.Time, reportNow <-chan struct{}) {
	minInterval := l.owner.config.Timing.ReportInterval / 20
	waitFor(ctx, minInterval)
	rest := l.owner.config.Timing.ReportInterval - time.Since(began)
	if rest > 0 {
		waitFor(ctx, rest, reportNow)
	}
}

// reportOnce sends one report on all attempts at the step shard.
func (l *stepShardLink) reportOnce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, l.owner.config.Timing.CallTimeout)
	defer cancel()
	request := &peerapi.ReportWork{
		Workload: l.key.workload,
		Shard:    l.key.shard,
		Engine:   l.owner.machine.ID,
		Attempts: l.progress(),
	}
	if len(request.Attempts) == 0 {
		return
	}
	l.owner.dispatcher.counters.Reports.Add(1)
	response := &peerapi.ReportWorkResult{}
	if err := l.callLedger(ctx, peerapi.MethodReportWork, request, response, true); err != nil {
		errorlog.Debug(l.owner.logger, "step ledger did not accept the report", err, "workload", l.key.workload, "shard", l.key.shard)
		if l.permanentlyRefused(err) {
			l.abandonAttempts(request.Attempts)
		}
		return
	}
	l.removeReported(request.Attempts)
	l.applyResponse(response)
}

// abandonAttempts discards attempts whose reports the step shard permanently refuses.
func (l *stepShardLink) abandonAttempts(reported []peerapi.Progress) {
	l.removeReported(reported)
	for _, progress := range reported {
		l.discardAttempt(peerapi.AttemptRef{Step: progress.Step, Index: progress.Index, Attempt: progress.Attempt})
	}
}

// progress returns the state of all attempts, ordered by step and index.
func (l *stepShardLink) progress() []peerapi.Progress {
	l.mutex.Lock()
	attempts := make([]*attempt, 0, len(l.attempts))
	for _, running := range l.attempts {
		attempts = append(attempts, running)
	}
	l.mutex.Unlock()
	progress := make([]peerapi.Progress, 0, len(attempts))
	for _, running := range attempts {
		progress = append(progress, running.progress())
	}
	sort.Slice(progress, func(i, j int) bool {
		if progress[i].Step != progress[j].Step {
			return progress[i].Step < progress[j].Step
		}
		return progress[i].Index < progress[j].Index
	})
	return progress
}

// removeReported removes the failed attempts that a report has handed back.
func (l *stepShardLink) removeReported(reported []peerapi.Progress) {
	for _, progress := range reported {
		if progress.Failed {
			l.removeAttempt(peerapi.AttemptRef{Step: progress.Step, Index: progress.Index, Attempt: progress.Attempt})
		}
	}
}

// applyResponse records the latest version and discards the attempts that the step shard no longer needs.
func (l *stepShardLink) applyResponse(response *peerapi.ReportWorkResult) {
	if workload := l.owner.workload(l.key.workload); workload != nil {
		l.owner.dispatcher.versions.observe(workload.Model, response.Latest)
	}
	for _, reference := range response.Cancel {
		l.discardAttempt(reference)
	}
}

// discardAttempt cancels an attempt that is not needed.
func (l *stepShardLink) discardAttempt(reference peerapi.AttemptRef) {
	l.mutex.Lock()
	unneeded := l.attempts[reference]
	l.mutex.Unlock()
	if unneeded != nil {
		l.owner.dispatcher.counters.AttemptsUseless.Add(1)
		unneeded.discard()
	}
}

// removeAttempt removes an attempt that needs no more reports to the step shard.
func (l *stepShardLink) removeAttempt(reference peerapi.AttemptRef) {
	l.mutex.Lock()
	delete(l.attempts, reference)
	l.mutex.Unlock()
	l.owner.workEnded.notify()
}
