package dispatch

import (
	"context"
	"time"

	"github.com/hillfork/hillfork/internal/peerapi"
)

// pull takes work whenever the engine has slots for it, until the context ends. While there is no work, or none that
// suits the engine, it only holds a question open at the step shard.
func (l *workLink) pull(ctx context.Context) {
	pauses := l.owner.config.Timing.newBackoff()
	for ctx.Err() == nil {
		state, directory := l.owner.state.notify.changed(), l.owner.config.Directory.Changed()
		version, ready := l.ready()
		if !ready {
			waitFor(ctx, l.owner.config.Timing.LongPoll, state, directory)
			continue
		}
		if delay := l.holdBack(); delay > 0 {
			waitFor(ctx, delay)
			continue
		}
		if err := l.pullOnce(ctx, version); err != nil {
			waitFor(ctx, pauses.NextBackOff(), state)
			continue
		}
		pauses.Reset()
	}
}

// pullOnce makes the call that the known backlog calls for.
func (l *workLink) pullOnce(ctx context.Context, version uint64) error {
	slots := l.owner.slots.notify.changed()
	backlog, unsuited := l.knownBacklog()
	switch {
	case backlog == 0:
		return l.ask(ctx, version, l.owner.config.Timing.LongPoll)
	case unsuited:
		return l.hold(ctx, version)
	}
	if l.olderElsewhere() {
		return l.waitForSlots(ctx, version, slots)
	}
	reserved := l.owner.slots.reserve(l.key.workload, l.wanted(backlog))
	if reserved == 0 {
		return l.waitForSlots(ctx, version, slots)
	}
	return l.take(ctx, version, reserved)
}

// ready tells whether the engine may be given samples of the workload, and the version that it serves.
func (l *workLink) ready() (version uint64, ok bool) {
	workload := l.owner.workload(l.key.workload)
	if workload == nil {
		return 0, false
	}
	return l.owner.takesWork(workload)
}

// holdBack is how long to take no samples: while the engine fails them, or too many finished ones are not handed in.
func (l *workLink) holdBack() time.Duration {
	const owedPerSlot = 4
	_, slots := l.owner.slots.counts()
	if l.owedCount() > owedPerSlot*slots {
		return l.owner.config.Timing.Report
	}
	return l.owner.cooling.remaining()
}

// owedCount is how many attempts have ended of which the step shard does not know yet.
func (l *workLink) owedCount() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	owed := 0
	for _, candidate := range l.attempts {
		if !candidate.running() {
			owed++
		}
	}
	return owed
}

func (l *workLink) knownBacklog() (backlog int, unsuited bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.backlog, l.unsuited
}

// wanted is how many samples to ask for: this engine's part of the backlog, so that the first engine to ask does not
// take what would run faster spread over the pool.
func (l *workLink) wanted(backlog int) int {
	engines := max(1, len(l.owner.config.Directory.Engines(l.owner.machine.Pool)))
	return (backlog + engines - 1) / engines
}

// backlogLife is how long a backlog counts as fresh.
const backlogLife = 5 * time.Second

// olderElsewhere tells whether another shard of the workload has samples of an older step for the engine, which the
// trainer wants first. What has not been heard lately does not count, so that a shard without an owner holds up none.
func (l *workLink) olderElsewhere() bool {
	own, _ := l.firstWaiting()
	for _, other := range l.owner.linksOf(l.key.workload) {
		oldest, heard := other.firstWaiting()
		if other != l && oldest > 0 && oldest < own && time.Since(heard) < 2*backlogLife {
			return true
		}
	}
	return false
}

// firstWaiting is the first step with samples that suit the engine, 0 where none is known, and when that was heard.
func (l *workLink) firstWaiting() (step uint64, heard time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.backlog == 0 || l.unsuited {
		return 0, l.asked
	}
	return l.oldest, l.asked
}

// linksOf returns the links to a workload's shards.
func (o *engineOwner) linksOf(workload string) []*workLink {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	var found []*workLink
	for key, link := range o.links {
		if key.workload == workload {
			found = append(found, link)
		}
	}
	return found
}

// waitForSlots waits for a slot to become free, and refreshes an old backlog: it counts as demand when shares are
// reckoned, so it must not be long out of date.
func (l *workLink) waitForSlots(ctx context.Context, version uint64, slots <-chan struct{}) error {
	l.mutex.Lock()
	age := time.Since(l.asked)
	l.mutex.Unlock()
	if age < backlogLife {
		waitFor(ctx, backlogLife-age, slots, l.owner.state.notify.changed())
		return nil
	}
	return l.ask(ctx, version, 0)
}

// ask asks how much work waits, and holds the question open so long while there is none.
func (l *workLink) ask(ctx context.Context, version uint64, wait time.Duration) error {
	l.owner.dispatcher.counters.HintPolls.Add(1)
	result, err := l.call(ctx, version, 0, wait)
	if err != nil {
		return err
	}
	l.noteBacklog(result, false)
	return nil
}

// take pulls samples for reserved slots and starts them. Slots that got none are given back.
func (l *workLink) take(ctx context.Context, version uint64, reserved int) error {
	l.owner.dispatcher.counters.Pulls.Add(1)
	l.setPulling(true)
	defer l.setPulling(false)
	if ctx.Err() != nil {
		l.owner.slots.release(l.key.workload, reserved, false)
		return ctx.Err()
	}
	// The answer is waited for even when the intake ends meanwhile, so that what it brings is handed back at once.
	result, err := l.call(l.owner.work, version, reserved, 0)
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
	l.noteBacklog(result, len(assignments) == 0)
	l.owner.slots.release(l.key.workload, max(0, reserved-started), false)
	return nil
}

// hold waits at the step shard for a sample that suits the engine, without any slot reserved for it. The question ends
// early when the engine takes another version, because another one then suits it.
func (l *workLink) hold(ctx context.Context, version uint64) error {
	l.owner.dispatcher.counters.Pulls.Add(1)
	l.setPulling(true)
	defer l.setPulling(false)
	holding, cancel := context.WithCancel(ctx)
	defer cancel()
	l.owner.loops.Go(func() {
		l.awaitOtherVersion(holding, version)
		cancel()
	})
	result, err := l.call(holding, version, 1, l.owner.config.Timing.LongPoll)
	if err != nil {
		if holding.Err() != nil && ctx.Err() == nil {
			l.noteBacklog(&peerapi.PullWorkResult{Backlog: 1}, false)
			return nil
		}
		return err
	}
	for _, assignment := range result.Assignments {
		l.startAttempt(assignment, false)
	}
	l.noteBacklog(result, len(result.Assignments) == 0)
	return nil
}

// awaitOtherVersion returns when the engine may not be given samples at this version any more, or the context ends.
func (l *workLink) awaitOtherVersion(ctx context.Context, version uint64) {
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

// call sends one PullWork and learns of versions from the answer.
func (l *workLink) call(ctx context.Context, version uint64, slots int, wait time.Duration) (*peerapi.PullWorkResult, error) {
	config := l.owner.config
	workload := l.owner.workload(l.key.workload)
	if workload == nil {
		return nil, errWorkloadGone
	}
	ctx, cancel := context.WithTimeout(ctx, wait+config.Timing.Call)
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
	// A pull that takes samples is not repeated blindly: a second one under way would bring more than there are slots
	// for. An answer that is lost costs the time until the step shard misses the reports on its attempts.
	idempotent := slots == 0
	if err := l.callLedger(ctx, peerapi.MethodPullWork, request, response, idempotent); err != nil {
		return nil, err
	}
	l.owner.dispatcher.versions.learn(workload.Model, response.Latest)
	return response, nil
}

// noteBacklog takes over how many samples wait. Those that do not suit the engine are no demand for its slots.
func (l *workLink) noteBacklog(result *peerapi.PullWorkResult, unsuited bool) {
	l.mutex.Lock()
	l.backlog = result.Backlog
	l.oldest = result.Oldest
	l.unsuited = unsuited
	l.asked = time.Now()
	l.mutex.Unlock()
	demand := result.Backlog
	if unsuited {
		demand = 0
	}
	l.owner.slots.setBacklog(l.key.workload, l.key.shard, l.owner.config.StepShards, demand)
}
