package dispatch

import (
	"context"
	"sort"
	"time"

	"github.com/hillfork/hillfork/internal/errorlog"
	"github.com/hillfork/hillfork/internal/peer"
	"github.com/hillfork/hillfork/internal/peerapi"
)

// message is a body of the peer protocol.
type message = peer.Message

// report renews the attempts at the step shard once per report time, and hands failed ones back at once, until the
// context ends or the shard is owed nothing any more by an engine that was given up.
func (l *workLink) report(ctx context.Context) {
	for ctx.Err() == nil {
		urgent := l.urgent.changed()
		if !l.hasAttempts() {
			if l.owner.intake.Err() != nil && l.quiet() {
				return
			}
			l.waitForAttempts(ctx, urgent)
			continue
		}
		began := time.Now()
		l.reportOnce(ctx)
		l.waitForReport(ctx, began, urgent)
	}
}

// waitForAttempts waits for an attempt to report on, or for the end of the intake.
func (l *workLink) waitForAttempts(ctx context.Context, urgent <-chan struct{}) {
	ending := l.owner.intake.Done()
	if l.owner.intake.Err() != nil {
		ending = nil
	}
	select {
	case <-ctx.Done():
	case <-urgent:
	case <-ending:
	}
}

// waitForReport waits for the next report: at once for a failure that is news, but never in a tight loop.
func (l *workLink) waitForReport(ctx context.Context, began time.Time, urgent <-chan struct{}) {
	shortest := l.owner.config.Timing.Report / 20
	waitFor(ctx, shortest)
	rest := l.owner.config.Timing.Report - time.Since(began)
	if rest > 0 {
		waitFor(ctx, rest, urgent)
	}
}

// reportOnce sends one report on all attempts at the step shard.
func (l *workLink) reportOnce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, l.owner.config.Timing.Call)
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
		errorlog.Debug(l.owner.logger, "report was not taken", err, "workload", l.key.workload, "shard", l.key.shard)
		if l.refusedForGood(err) {
			l.abandon(request.Attempts)
		}
		return
	}
	l.acknowledge(request.Attempts)
	l.obey(response)
}

// abandon drops attempts that no step shard will take back, as their workload is gone.
func (l *workLink) abandon(reported []peerapi.Progress) {
	l.acknowledge(reported)
	for _, progress := range reported {
		l.drop(peerapi.AttemptRef{Step: progress.Step, Index: progress.Index, Attempt: progress.Attempt})
	}
}

// progress describes all attempts, in order.
func (l *workLink) progress() []peerapi.Progress {
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

// acknowledge forgets the failures that a report has handed in.
func (l *workLink) acknowledge(reported []peerapi.Progress) {
	for _, progress := range reported {
		if progress.Failed {
			l.forget(peerapi.AttemptRef{Step: progress.Step, Index: progress.Index, Attempt: progress.Attempt})
		}
	}
}

// obey takes over what the step shard answered: attempts that are of no use are cut off.
func (l *workLink) obey(response *peerapi.ReportWorkResult) {
	if workload := l.owner.workload(l.key.workload); workload != nil {
		l.owner.dispatcher.versions.learn(workload.Model, response.Latest)
	}
	for _, reference := range response.Cancel {
		l.drop(reference)
	}
}

// drop cuts an attempt off that is of no use.
func (l *workLink) drop(reference peerapi.AttemptRef) {
	l.mutex.Lock()
	useless := l.attempts[reference]
	l.mutex.Unlock()
	if useless != nil {
		l.owner.dispatcher.counters.AttemptsUseless.Add(1)
		useless.drop()
	}
}

// forget drops an attempt that the step shard is owed nothing for any more.
func (l *workLink) forget(reference peerapi.AttemptRef) {
	l.mutex.Lock()
	delete(l.attempts, reference)
	l.mutex.Unlock()
	l.owner.settled.notify()
}
