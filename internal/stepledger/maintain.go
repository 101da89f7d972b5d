package stepledger

import (
	"context"
	"time"

	"github.com/hillfork/hillfork/internal/bundle"
	"github.com/hillfork/hillfork/internal/errorlog"
	"github.com/hillfork/hillfork/internal/shard"
)

const (
	// maintainInterval is the interval at which a session checks for expired attempts, answers over the staleness bound and
	// steps that may be dropped.
	maintainInterval = 500 * time.Millisecond
	// keepHandedOver is the max number of steps of a shard, below the newest step with positions, that are kept although all
	// their samples were handed over. The trainer has not acknowledged the last answers of these steps.
	keepHandedOver = 8
	// maxMaintainRecords limits the records of one pass.
	maxMaintainRecords = 256
)

// maintain runs maintenance passes until the owner is done or the context ends.
func (c *session) maintain(ctx context.Context) {
	ticker := time.NewTicker(maintainInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-c.owner.Done():
			return
		case <-ctx.Done():
			return
		}
		workload, err := c.service.workload(c.workload)
		if err != nil {
			continue
		}
		c.maintainOnce(ctx, workload, time.Now())
	}
}

// maintainOnce makes one maintenance pass.
func (c *session) maintainOnce(ctx context.Context, workload *bundle.Workload, now time.Time) {
	freed := c.expireAttempts(workload, now)
	var records []shard.Proposal
	c.view(func(state *State) { records = maintenanceRecords(state, workload) })
	if len(records) > 0 {
		outcomes, err := c.append(ctx, records...)
		if err != nil && ctx.Err() == nil {
			errorlog.Warn(c.service.logger, "maintenance records are not written", err, "workload", c.workload)
		}
		c.countReplaced(records, outcomes)
	}
	if c.becameStartable(workload, now) || freed || len(records) > 0 {
		c.work.notify()
	}
	// An answer whose append failed with an unknown outcome may have been folded since.
	c.wakeScoring()
}

// becameStartable reports whether deferred samples may be started now that could not be started at the previous check. The
// cause may be a change in their predicted lengths or the end of freshVersionTimeout.
func (c *session) becameStartable(workload *bundle.Workload, now time.Time) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	before := c.hadStartable
	c.view(func(state *State) {
		snapshot := c.snapshot(state, workload, boundsOf(workload, state.Latest()), now)
		count, _ := backlog(snapshot, 0)
		c.hadStartable = count > 0 && !snapshot.FreshOnly
	})
	return c.hadStartable && !before
}

// countReplaced counts the answers that were dropped by the records.
func (c *session) countReplaced(records []shard.Proposal, outcomes []Outcome) {
	for i, outcome := range outcomes {
		if records[i].Kind == KindSampleReplaced && outcome == OutcomeRecorded {
			c.service.counters.Replaced.Add(1)
		}
	}
}

// expireAttempts drops attempts that timed out without a report, whose sample is complete or gone, or whose tokens are over
// the staleness bound. It also drops the state of samples whose step is gone, and inherited steps after the grace period. It
// reports whether samples may have become assignable.
func (c *session) expireAttempts(workload *bundle.Workload, now time.Time) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	freed := false
	c.view(func(state *State) {
		limits := boundsOf(workload, state.Latest())
		for key, current := range c.running {
			step, sample := state.sample(key.step, key.index)
			switch {
			case sample == nil || !step.waiting(key.index):
				c.dropAttempts(key)
			case !limits.acceptsVersion(current.oldest):
				c.voided[key] = current.number
				delete(c.running, key)
				freed = true
			case now.Sub(current.reportedAt) > attemptTimeout:
				c.service.counters.Silent.Add(1)
				delete(c.running, key)
				freed = true
			}
		}
		for key := range c.attemptCounts {
			if state.step(key.step) == nil {
				c.dropAttempts(key)
				delete(c.attemptCounts, key)
				delete(c.voided, key)
			}
		}
		for number := range c.inherited {
			if !now.Before(c.graceEnds) || state.step(number) == nil {
				delete(c.inherited, number)
				freed = true
			}
		}
	})
	return freed
}

// maintenanceRecords returns the records of a maintenance pass. Answers without a position whose versions are out of bounds
// are replaced at once, so that the trainer's fetch does not wait for new ones. Answers over the max age are replaced by a
// fetch only, since samples would otherwise be generated again and again while no trainer fetches. Handed-over steps beyond
// keepHandedOver are dropped.
func maintenanceRecords(state *State, workload *bundle.Workload) []shard.Proposal {
	limits := boundsOf(workload, state.Latest())
	newest := newestStepWithPositions(state)
	var records []shard.Proposal
	var handedOver []uint64
	for _, step := range state.image.Steps {
		if step.Step < newest && step.handedOver() {
			handedOver = append(handedOver, step.Step)
		}
		for _, index := range step.Ready {
			sample := &step.Samples[index]
			if limits.acceptsSpans(sample.Spans) {
				continue
			}
			record := &SampleReplaced{Step: step.Step, Index: index, Attempt: sample.Attempt}
			records = append(records, proposal(KindSampleReplaced, record))
		}
	}
	for len(handedOver) > keepHandedOver {
		records = append(records, proposal(KindStepRetired, &StepRetired{Step: handedOver[0]}))
		handedOver = handedOver[1:]
	}
	return records[:min(len(records), maxMaintainRecords)]
}

// OnHandover prepares a shard for its planned release: no more samples of it are assigned. Calls in flight continue until
// the release. It has the signature of shard.Config.OnHandover and never blocks.
func (s *Service) OnHandover(_ context.Context, stream string) {
	s.mutex.Lock()
	current := s.sessions[stream]
	s.mutex.Unlock()
	if current == nil {
		return
	}
	current.mutex.Lock()
	current.draining = true
	current.mutex.Unlock()
	current.work.notify()
}
