package shard

import (
	"context"
	"errors"
	"time"

	"github.com/hillfork/hillfork/internal/errorlog"
	"github.com/hillfork/hillfork/internal/peer"
)

// openRetryAfter is when to ask again for a shard that could not be opened.
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
		call.err = m.refuse(stream, err)
		return
	}
	call.owner = newOwner(stream, restored, &m.config, &m.counters, m.logger)
	m.owned[stream] = call.owner
	m.patience.forget(stream)
	m.tasks.Go(func() { m.forgetWhenDone(stream, call.owner) })
	m.counters.Opens.Add(1)
	m.counters.OpenMicros.Add(uint64(time.Since(began).Microseconds()))
	m.logger.Info("shard opened", "stream", stream, "epoch", call.owner.epoch, "took", time.Since(began))
}

// recoverAndClaim reads a stream and claims it, unless it is left to an owner that is alive.
func (m *Manager) recoverAndClaim(ctx context.Context, stream string) (*replica, error) {
	restored, err := m.recover(ctx, stream)
	if err != nil {
		return nil, err
	}
	if err := m.leaveToOwner(stream, restored); err != nil {
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

// recover reads a stream, on from where an earlier opening that was refused stopped, or from a snapshot.
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
	kept := m.patience.take(stream)
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

// leaveToOwner returns a refusal while the shard is left to a live owner in another process.
func (m *Manager) leaveToOwner(stream string, restored *replica) error {
	current, owned := restored.fold.Owner()
	if !owned || current == m.config.Identity || m.config.Alive == nil {
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.config.Alive(current.Node, current.Incarnation) {
		return nil
	}
	if m.patience.exhausted(stream, restored.fold.Epoch()) {
		m.logger.Warn("shard is taken from a live owner that does not release it", "stream", stream, "owner", current.Node)
		return nil
	}
	return m.patience.refuse(stream, current.PeerAddress, restored)
}

// refuse turns the error of an opening into a refusal for its callers. Whatever the claim did, no caller's work was
// written.
func (m *Manager) refuse(stream string, err error) error {
	var refusal *peer.Error
	if errors.As(err, &refusal) {
		return refusal
	}
	errorlog.Warn(m.logger, "shard cannot be opened", err, "stream", stream)
	return notReady("shard " + stream + " cannot be opened: " + err.Error())
}

// forgetWhenDone removes an owner that has ended.
func (m *Manager) forgetWhenDone(stream string, o *owner) {
	<-o.done
	o.tasks.Wait()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.owned[stream] == o {
		delete(m.owned, stream)
	}
}
