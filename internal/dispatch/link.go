package dispatch

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/hillfork/hillfork/internal/peerapi"
)

// StepShardKey returns the key of a shard of a workload's steps.
func StepShardKey(workload string, shard int) string {
	return fmt.Sprintf("steps/%s/%d", workload, shard)
}

// linkKey identifies a step shard.
type linkKey struct {
	workload string
	shard    int
}

// stepShardLink is an engine's connection to one step shard: it pulls samples and reports on them until the last
// attempt has ended and been reported.
type stepShardLink struct {
	owner *engineOwner
	key   linkKey
	// reportNow triggers a report before the next report interval.
	reportNow *notifier

	mutex          sync.Mutex
	stopPulling    context.CancelFunc
	backlog        int
	backlogUpdated time.Time
	// oldestStep is the oldest step of the backlog.
	oldestStep uint64
	// unsuitable is set while samples are waiting but none suits the engine, for example because of its version or the
	// look-ahead.
	unsuitable bool
	// pulling is set while a call is in flight that may return assignments.
	pulling  bool
	attempts map[peerapi.AttemptRef]*attempt
}

func newStepShardLink(owner *engineOwner, key linkKey) *stepShardLink {
	return &stepShardLink{owner: owner, key: key, reportNow: newNotifier(), attempts: map[peerapi.AttemptRef]*attempt{}}
}

// drained reports whether no attempt is left to report and no pull is in flight.
func (l *stepShardLink) drained() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return len(l.attempts) == 0 && !l.pulling
}

func (l *stepShardLink) hasAttempts() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return len(l.attempts) > 0
}

func (l *stepShardLink) setPulling(pulling bool) {
	l.mutex.Lock()
	l.pulling = pulling
	l.mutex.Unlock()
	if !pulling {
		l.reportNow.notify()
		l.owner.workEnded.notify()
	}
}

func (l *stepShardLink) startPull(ctx context.Context) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.stopPulling != nil {
		return
	}
	pullCtx, stopPulling := context.WithCancel(ctx)
	l.stopPulling = stopPulling
	l.owner.loops.Go(func() { l.pullLoop(pullCtx) })
}

func (l *stepShardLink) stopPull() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.stopPulling != nil {
		l.stopPulling()
		l.stopPulling = nil
	}
}

// errWorkloadGone means that the bundle in force no longer assigns the workload to this engine's pool.
var errWorkloadGone = errors.New("workload is not in the bundle in force")

// callLedger calls the owner of the step shard.
func (l *stepShardLink) callLedger(ctx context.Context, method string, request, response message, idempotent bool) error {
	key := StepShardKey(l.key.workload, l.key.shard)
	preference := l.owner.config.StepPreference(l.key.workload)
	return l.owner.config.Ledger.CallOwner(ctx, key, preference, method, request, response, idempotent)
}
