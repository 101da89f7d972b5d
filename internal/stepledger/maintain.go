package stepledger

import (
	"context"
	"time"

	"github.com/hillfork/hillfork/internal/bundle"
	"github.com/hillfork/hillfork/internal/errorlog"
	"github.com/hillfork/hillfork/internal/shard"
)

const (
	// maintainInterval is how often a session looks for attempts that are lost, answers that are over the bound and steps
	// that may be dropped.
	maintainInterval = 500 * time.Millisecond
	// keepHandedOver is how many steps of a shard that were handed over whole, but whose last answer the trainer has not
	// acknowledged, are kept below the step that it fetches now.
	keepHandedOver = 8
	// maxMaintainRecords bounds the records of one pass.
	maxMaintainRecords = 256
)

// maintain works until the owner is done or the context ends.
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

// maintainOnce makes one pass.
func (c *session) maintainOnce(ctx context.Context, workload *bundle.Workload, now time.Time) {
	freed := c.expire(workload, now)
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
		c.work.raise()
	}
	// An answer whose append was given up may have been folded since.
	c.lookForUnscored()
}

// becameStartable tells whether samples that were held back may be begun now, because of what was learned of their
// siblings or because the wait for fresh weights is over.
func (c *session) becameStartable(workload *bundle.Workload, now time.Time) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	before := c.startable
	c.view(func(state *State) {
		snapshot := c.snapshot(state, workload, boundsOf(workload, state.Latest()), now)
		count, _ := backlog(snapshot, 0)
		c.startable = count > 0 && !snapshot.FreshOnly
	})
	return c.startable && !before
}

// countReplaced counts the answers that records have dropped.
func (c *session) countReplaced(records []shard.Proposal, outcomes []Outcome) {
	for i, outcome := range outcomes {
		if records[i].Kind == KindSampleReplaced && outcome == OutcomeRecorded {
			c.service.counters.Replaced.Add(1)
		}
	}
}

// expire drops attempts that were not renewed in time, are of no more use, or can no longer be in bound. It tells whether
// samples have become assignable.
func (c *session) expire(workload *bundle.Workload, now time.Time) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	freed := false
	c.view(func(state *State) {
		limits := boundsOf(workload, state.Latest())
		for key, current := range c.running {
			step, sample := state.sample(key.step, key.index)
			switch {
			case sample == nil || !step.waiting(key.index):
				c.drop(key)
			case !limits.acceptsVersion(current.oldest):
				c.voided[key] = current.number
				delete(c.running, key)
				freed = true
			case now.Sub(current.heard) > attemptTimeout:
				c.service.counters.Silent.Add(1)
				delete(c.running, key)
				freed = true
			}
		}
		for key := range c.numbers {
			if state.step(key.step) == nil {
				c.drop(key)
				delete(c.numbers, key)
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

// maintenanceRecords decides what a pass writes. Answers without a position that new versions have put out of bound are
// replaced at once, so that the trainer's fetch need not wait for it; those that only grew old wait for a fetch, since
// nobody may be fetching. Handed-over steps beyond keepHandedOver are dropped.
func maintenanceRecords(state *State, workload *bundle.Workload) []shard.Proposal {
	limits := boundsOf(workload, state.Latest())
	trainerAt := trainerStep(state)
	var records []shard.Proposal
	var handedOver []uint64
	for _, step := range state.image.Steps {
		if step.Step < trainerAt && step.handedOver() {
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

// OnHandover readies a shard for its planned release: it gives out no more work. Calls in flight go on until the release.
// It has the form of shard.Config.OnHandover and never blocks.
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
	current.work.raise()
}
