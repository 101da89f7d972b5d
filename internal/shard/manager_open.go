package shard

import (
	"context"
	"errors"
	"time"

	"github.com/hillfork/hillfork/internal/errorlog"
	"github.com/hillfork/hillfork/internal/peer"
)

// openRetryAfter is the retry delay sent to callers of a shard that could not be opened.
const openRetryAfter = 500 * time.Millisecond

// open opens a stream for all callers that wait for it.
func (m *Manager) open(stream string, call *opening) {
	ctx, cancel := context.WithTimeout(m.ctx, m.config.Settings.OpenTimeout)
	defer cancel()
	began := time.Now()
	restored, err := m.recoverAndClaim(ctx, stream)
	m.mu.Lock()
	defer m.mu.Unlock()
	defer close(call.done)
	delete(m.opening, stream)
	if err == nil && m.stopped {
		err = notReady("node is stopping")
	}
	if err != nil {
		call.err = m.refusalFor(stream, err)
		return
	}
	call.owner = newOwner(stream, restored, &m.config, &m.counters, m.logger)
	m.owned[stream] = call.owner
	m.claimDeferral.remove(stream)
	m.tasks.Go(func() { m.removeWhenDone(stream, call.owner) })
	m.counters.Opens.Add(1)
	m.counters.OpenMicros.Add(uint64(time.Since(began).Microseconds()))
	m.logger.Info("shard opened", "stream", stream, "epoch", call.owner.epoch, "took", time.Since(began))
}

// recoverAndClaim reads a stream and claims it, unless the claim is deferred because its owner is alive.
func (m *Manager) recoverAndClaim(ctx context.Context, stream string) (*replica, error) {
	restored, err := m.recover(ctx, stream)
	if err != nil {
		return nil, err
	}
	if err := m.deferToOwner(stream, restored); err != nil {
		return nil, err
	}
	claiming := claimant{
		log:      m.config.Log,
		stream:   stream,
		identity: m.config.Identity,
		settings: m.config.Settings,
		counters: &m.counters,
		logger:   m.logger,
	}
	err = claiming.claim(ctx, restored)
	if errors.Is(err, errClaimLost) {
		m.counters.ClaimsLost.Add(1)
		winner, _ := restored.fold.Owner()
		return nil, notOwner(stream, winner.PeerAddress)
	}
	return restored, err
}

// recover reads a stream, starting from the replica of an earlier deferred opening, or else from a snapshot.
func (m *Manager) recover(ctx context.Context, stream string) (*replica, error) {
	reading := recovery{
		log:      m.config.Log,
		stream:   stream,
		newState: m.config.NewState,
		settings: m.config.Settings,
		counters: &m.counters,
		logger:   m.logger,
	}
	m.mu.Lock()
	kept := m.claimDeferral.takeReplica(stream)
	m.mu.Unlock()
	if kept != nil {
		return kept, reading.resume(ctx, kept)
	}
	recovered, err := reading.run(ctx)
	if recovered != nil {
		recovered.fold.mutations = m.config.Mutations
	}
	return recovered, err
}

// deferToOwner returns a refusal while the claim is deferred for a live owner in another process.
func (m *Manager) deferToOwner(stream string, restored *replica) error {
	current, owned := restored.fold.Owner()
	if !owned || current == m.config.Identity || m.config.Alive == nil {
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.config.Alive(current.Node, current.Incarnation) {
		return nil
	}
	if m.claimDeferral.waitExceeded(stream, restored.fold.Epoch()) {
		m.logger.Warn("shard is taken from a live owner that does not release it", "stream", stream, "owner", current.Node)
		return nil
	}
	return m.claimDeferral.refuse(stream, current.PeerAddress, restored)
}

// refusalFor converts the error of an opening into a refusal for its callers. No caller's records have been written at
// this point, whether or not the claim took effect.
func (m *Manager) refusalFor(stream string, err error) error {
	var refusal *peer.Error
	if errors.As(err, &refusal) {
		return refusal
	}
	errorlog.Warn(m.logger, "could not open the shard", err, "stream", stream)
	return notReady("shard " + stream + " cannot be opened: " + err.Error())
}

// removeWhenDone removes an owner from the Manager after it has ended.
func (m *Manager) removeWhenDone(stream string, o *owner) {
	<-o.done
	o.tasks.Wait()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.owned[stream] == o {
		delete(m.owned, stream)
	}
}
