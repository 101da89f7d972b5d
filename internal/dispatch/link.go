package dispatch

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/hillfork/hillfork/internal/peerapi"
)

// StepShardKey is the key of a shard of a workload's steps.
func StepShardKey(workload string, shard int) string {
	return fmt.Sprintf("steps/%s/%d", workload, shard)
}

// linkKey names a step shard.
type linkKey struct {
	workload string
	shard    int
}

// workLink is an engine's business with one step shard: it pulls samples, and reports on them until the last is settled.
type workLink struct {
	owner *engineOwner
	key   linkKey
	// urgent wakes the reporter for news that should not wait for the next report.
	urgent *notifier

	mutex   sync.Mutex
	stop    context.CancelFunc
	backlog int
	asked   time.Time
	// oldest is the first step of the backlog.
	oldest uint64
	// unsuited is set while samples wait of which none suits the engine, say for its version or the look-ahead.
	unsuited bool
	// pulling is set while an answer may bring attempts.
	pulling  bool
	attempts map[peerapi.AttemptRef]*attempt
}

func newWorkLink(owner *engineOwner, key linkKey) *workLink {
	return &workLink{owner: owner, key: key, urgent: newNotifier(), attempts: map[peerapi.AttemptRef]*attempt{}}
}

// quiet tells whether the step shard is owed nothing.
func (l *workLink) quiet() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return len(l.attempts) == 0 && !l.pulling
}

func (l *workLink) hasAttempts() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return len(l.attempts) > 0
}

func (l *workLink) setPulling(pulling bool) {
	l.mutex.Lock()
	l.pulling = pulling
	l.mutex.Unlock()
	if !pulling {
		l.urgent.notify()
		l.owner.settled.notify()
	}
}

func (l *workLink) startPull(ctx context.Context) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.stop != nil {
		return
	}
	pulling, stop := context.WithCancel(ctx)
	l.stop = stop
	l.owner.loops.Go(func() { l.pull(pulling) })
}

func (l *workLink) stopPull() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.stop != nil {
		l.stop()
		l.stop = nil
	}
}

// errWorkloadGone says that the bundle in force does not name the workload for this engine any more.
var errWorkloadGone = errors.New("workload is not in the bundle in force")

// callLedger calls the owner of the step shard.
func (l *workLink) callLedger(ctx context.Context, method string, request, response message, idempotent bool) error {
	key := StepShardKey(l.key.workload, l.key.shard)
	preference := l.owner.config.StepPreference(l.key.workload)
	return l.owner.config.Ledger.CallOwner(ctx, key, preference, method, request, response, idempotent)
}
