package shard

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/hillfork/hillfork/internal/errorlog"
)

// Run hands over owned shards that have been placed elsewhere for Settings.SettleTime, until ctx ends. Hand-overs that
// have already started are completed; Run neither releases nor closes other shards when it returns.
func (m *Manager) Run(ctx context.Context) error {
	var handovers sync.WaitGroup
	defer handovers.Wait()
	misplaced := make(map[string]time.Time)
	for {
		changed := m.config.Placer.Changed()
		due, wait := m.checkPlacement(misplaced, time.Now())
		for _, stream := range due {
			handovers.Go(func() { m.handOver(m.ctx, stream) })
		}
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// checkPlacement updates misplaced, which maps a stream to the time when it was first seen to be placed elsewhere. It
// returns the streams that are due to be handed over and the time until the next check.
func (m *Manager) checkPlacement(misplaced map[string]time.Time, now time.Time) (due []string, wait time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.claimDeferral.prune()
	settle := m.config.Settings.SettleTime
	wait = settle
	for stream := range misplaced {
		if m.owned[stream] == nil {
			delete(misplaced, stream)
		}
	}
	for stream := range m.owned {
		placed, ok := m.placed(stream)
		if !ok || placed.Node == m.config.Placer.Self().Node || m.draining[stream] {
			delete(misplaced, stream)
			continue
		}
		since, known := misplaced[stream]
		if !known {
			since = now
			misplaced[stream] = now
		}
		if remaining := settle - now.Sub(since); remaining > 0 {
			wait = min(wait, remaining)
			continue
		}
		delete(misplaced, stream)
		m.draining[stream] = true
		due = append(due, stream)
	}
	return due, wait
}

// handOver waits for the work of one shard to end, using the OnHandover hook, and releases the shard.
func (m *Manager) handOver(ctx context.Context, stream string) {
	defer m.endDrain(stream)
	m.logger.Info("shard is handed over", "stream", stream)
	if m.config.OnHandover != nil {
		drain, cancel := context.WithTimeout(ctx, m.config.Settings.DrainTimeout)
		m.config.OnHandover(drain, stream)
		cancel()
	}
	m.mu.Lock()
	o := m.owned[stream]
	m.mu.Unlock()
	if o == nil {
		return
	}
	release, cancel := context.WithTimeout(ctx, m.config.Settings.ReleaseTimeout)
	defer cancel()
	err := o.Release(release)
	if err != nil && !errors.Is(err, ErrNotOwner) {
		errorlog.Warn(m.logger, "shard was abandoned without a release", err, "stream", stream)
	}
}

func (m *Manager) endDrain(stream string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.draining, stream)
}

// ReleaseAll makes further opens fail and releases every shard, for a planned stop. It returns the errors of the shards
// that were abandoned without a release.
func (m *Manager) ReleaseAll(ctx context.Context) error {
	owners := m.stop()
	failures := make([]error, len(owners))
	var releases sync.WaitGroup
	for i, o := range owners {
		releases.Go(func() {
			err := o.Release(ctx)
			if !errors.Is(err, ErrNotOwner) {
				failures[i] = err
			}
		})
	}
	releases.Wait()
	return errors.Join(failures...)
}
