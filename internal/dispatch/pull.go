package dispatch

import (
	"context"
	"time"

	"github.com/hillfork/hillfork/internal/peerapi"
)

// pullLoop pulls work while the engine has slots for it, until the context ends. While no work is waiting, or none that
// suits the engine, it only keeps a long poll open at the step shard.
func (l *stepShardLink) pullLoop(ctx context.Context) {
	retryBackoff := l.owner.config.Timing.newBackoff()
	for ctx.Err() == nil {
		state, directory := l.owner.state.notify.changed(), l.owner.config.Directory.Changed()
		version, ready := l.ready()
		if !ready {
			waitFor(ctx, l.owner.config.Timing.LongPoll, state, directory)
			continue
		}
		if delay := l.pullDelay(); delay > 0 {
			waitFor(ctx, delay)
			continue
		}
		if err := l.pullOnce(ctx, version); err != nil {
			waitFor(ctx, retryBackoff.NextBackOff(), state)
			continue
		}
		retryBackoff.Reset()
	}
}

// pullOnce makes one call, chosen by the known backlog.
func (l *stepShardLink) pullOnce(ctx context.Context, version uint64) error {
	slots := l.owner.slots.notify.changed()
	backlog, unsuitable := l.knownBacklog()
	switch {
	case backlog == 0:
		return l.pollBacklog(ctx, version, l.owner.config.Timing.LongPoll)
	case unsuitable:
		return l.awaitSuitableSample(ctx, version)
	}
	if l.otherShardHasOlderStep() {
		return l.waitForSlots(ctx, version, slots)
	}
	reserved := l.owner.slots.reserve(l.key.workload, l.pullLimit(backlog))
	if reserved == 0 {
		return l.waitForSlots(ctx, version, slots)
	}
	return l.pullSamples(ctx, version, reserved)
}

// ready reports whether the engine may be assigned samples of the workload, and returns the version that it serves.
func (l *stepShardLink) ready() (version uint64, ok bool) {
	workload := l.owner.workload(l.key.workload)
	if workload == nil {
		return 0, false
	}
	return l.owner.acceptsWork(workload)
}

// pullDelay returns how long to pull no samples: while the engine keeps failing them, or while too many ended attempts
// have not been reported to the step shard.
func (l *stepShardLink) pullDelay() time.Duration {
	const maxUnreportedPerSlot = 4
	_, slots := l.owner.slots.counts()
	if l.unreportedCount() > maxUnreportedPerSlot*slots {
		return l.owner.config.Timing.ReportInterval
	}
	return l.owner.cooldown.remaining()
}

// unreportedCount returns how many attempts have ended without the step shard having acknowledged the end.
func (l *stepShardLink) unreportedCount() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	unreported := 0
	for _, candidate := range l.attempts {
		if !candidate.running() {
			unreported++
		}
	}
	return unreported
}

func (l *stepShardLink) knownBacklog() (backlog int, unsuitable bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.backlog, l.unsuitable
}

// pullLimit returns how many samples to request: this engine's part of the backlog. Without the limit, the first engine
// to pull would take samples that complete sooner when they are spread over the pool.
func (l *stepShardLink) pullLimit(backlog int) int {
	engines := max(1, len(l.owner.config.Directory.Engines(l.owner.machine.Pool)))
	return (backlog + engines - 1) / engines
}

// maxBacklogAge is how long a known backlog counts as fresh.
const maxBacklogAge = 5 * time.Second

// otherShardHasOlderStep reports whether another shard of the workload has samples for the engine of an older step,
// which the trainer needs first. A backlog that has not been updated recently is ignored, so that a shard without an
// owner does not block the others.
func (l *stepShardLink) otherShardHasOlderStep() bool {
	own, _ := l.oldestSuitableStep()
	for _, other := range l.owner.linksOf(l.key.workload) {
		oldest, updated := other.oldestSuitableStep()
		if other != l && oldest > 0 && oldest < own && time.Since(updated) < 2*maxBacklogAge {
			return true
		}
	}
	return false
}

// oldestSuitableStep returns the oldest step with samples that suit the engine, or 0 if none is known, and the time of
// the last backlog update.
func (l *stepShardLink) oldestSuitableStep() (step uint64, updated time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.backlog == 0 || l.unsuitable {
		return 0, l.backlogUpdated
	}
	return l.oldestStep, l.backlogUpdated
}

// linksOf returns the links to a workload's shards.
func (o *engineOwner) linksOf(workload string) []*stepShardLink {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	var found []*stepShardLink
	for key, link := range o.links {
		if key.workload == workload {
			found = append(found, link)
		}
	}
	return found
}

// waitForSlots waits for a slot to become free, and refreshes an old backlog. The backlog counts as demand in the slot
// allocation, so it must not become stale.
func (l *stepShardLink) waitForSlots(ctx context.Context, version uint64, slots <-chan struct{}) error {
	l.mutex.Lock()
	age := time.Since(l.backlogUpdated)
	l.mutex.Unlock()
	if age < maxBacklogAge {
		waitFor(ctx, maxBacklogAge-age, slots, l.owner.state.notify.changed())
		return nil
	}
	return l.pollBacklog(ctx, version, 0)
}

// pollBacklog requests the size of the backlog; the step shard holds the call open for up to wait while it is empty.
func (l *stepShardLink) pollBacklog(ctx context.Context, version uint64, wait time.Duration) error {
	l.owner.dispatcher.counters.HintPolls.Add(1)
	result, err := l.sendPull(ctx, version, 0, wait)
	if err != nil {
		return err
	}
	l.recordBacklog(result, false)
	return nil
}

// pullSamples pulls samples for reserved slots and starts them. It releases the slots that got no sample.
func (l *stepShardLink) pullSamples(ctx context.Context, version uint64, reserved int) error {
	l.owner.dispatcher.counters.Pulls.Add(1)
	l.setPulling(true)
	defer l.setPulling(false)
	if ctx.Err() != nil {
		l.owner.slots.release(l.key.workload, reserved, false)
		return ctx.Err()
	}
	// The call is not cancelled when the intake ends in the meantime, so that the samples in its response are handed
	// back at once.
	result, err := l.sendPull(l.owner.work, version, reserved, 0)
	if err != nil {
		l.owner.slots.release(l.key.workload, reserved, false)
		return err
	}
	assignments := result.Assignments
	started := 0
	for _, assignment := range assignments {
		if l.startAttempt(assignment, started < reserved) {
			started++
		}
	}
	l.recordBacklog(result, len(assignments) == 0)
	l.owner.slots.release(l.key.workload, max(0, reserved-started), false)
	return nil
}

// awaitSuitableSample waits at the step shard for a sample that suits the engine, without a reserved slot. The call
// ends early when the engine's served version changes, because a different sample may then suit it.
func (l *stepShardLink) awaitSuitableSample(ctx context.Context, version uint64) error {
	l.owner.dispatcher.counters.Pulls.Add(1)
	l.setPulling(true)
	defer l.setPulling(false)
	pollCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	l.owner.loops.Go(func() {
		l.awaitVersionChange(pollCtx, version)
		cancel()
	})
	result, err := l.sendPull(pollCtx, version, 1, l.owner.config.Timing.LongPoll)
	if err != nil {
		if pollCtx.Err() != nil && ctx.Err() == nil {
			l.recordBacklog(&peerapi.PullWorkResult{Backlog: 1}, false)
			return nil
		}
		return err
	}
	for _, assignment := range result.Assignments {
		l.startAttempt(assignment, false)
	}
	l.recordBacklog(result, len(result.Assignments) == 0)
	return nil
}

// awaitVersionChange returns when the engine may no longer be assigned samples at this version, or when the context
// ends.
func (l *stepShardLink) awaitVersionChange(ctx context.Context, version uint64) {
	for ctx.Err() == nil {
		state := l.owner.state.notify.changed()
		if now, ready := l.ready(); !ready || now != version {
			return
		}
		select {
		case <-ctx.Done():
		case <-state:
		}
	}
}

// sendPull sends one PullWork and records the model version in the response.
func (l *stepShardLink) sendPull(ctx context.Context, version uint64, slots int, wait time.Duration) (*peerapi.PullWorkResult, error) {
	config := l.owner.config
	workload := l.owner.workload(l.key.workload)
	if workload == nil {
		return nil, errWorkloadGone
	}
	ctx, cancel := context.WithTimeout(ctx, wait+config.Timing.CallTimeout)
	defer cancel()
	request := &peerapi.PullWork{
		Workload:      l.key.workload,
		Shard:         l.key.shard,
		Engine:        l.owner.machine.ID,
		Node:          config.Placer.Self().PeerAddress,
		ServedVersion: version,
		FreeSlots:     slots,
		WaitMillis:    wait.Milliseconds(),
		KnownLatest:   l.owner.dispatcher.versions.latest(workload.Model).version,
	}
	response := &peerapi.PullWorkResult{}
	// A pull that takes samples is not marked idempotent, so it is not retried: a second one in flight would return
	// more samples than there are slots. A lost response delays its samples until the step shard misses the reports on
	// their attempts.
	idempotent := slots == 0
	if err := l.callLedger(ctx, peerapi.MethodPullWork, request, response, idempotent); err != nil {
		return nil, err
	}
	l.owner.dispatcher.versions.observe(workload.Model, response.Latest)
	return response, nil
}

// recordBacklog stores the number of waiting samples. Samples that do not suit the engine do not count as demand for
// its slots.
func (l *stepShardLink) recordBacklog(result *peerapi.PullWorkResult, unsuitable bool) {
	l.mutex.Lock()
	l.backlog = result.Backlog
	l.oldestStep = result.Oldest
	l.unsuitable = unsuitable
	l.backlogUpdated = time.Now()
	l.mutex.Unlock()
	demand := result.Backlog
	if unsuitable {
		demand = 0
	}
	l.owner.slots.setBacklog(l.key.workload, l.key.shard, l.owner.config.StepShards, demand)
}
