package shard

import (
	"time"

	"github.com/hillfork/hillfork/internal/peer"
)

// An episode ends after episodeFactor times HandoverWait without a refusal.
const episodeFactor = 4

// claimDeferral limits how long the claim of a shard that is placed here is deferred for its live owner elsewhere. It
// prevents two nodes with different views of the members from claiming a shard from each other in turn. It is not safe
// for concurrent use.
type claimDeferral struct {
	settings Settings
	episodes map[string]*episode
}

// episode is a period during which the claim of a stream was deferred for the owner of one epoch.
type episode struct {
	epoch       uint64
	start       time.Time
	lastRefused time.Time
	refusal     *peer.Error
	// replica is the fold of the stream as last read, so that the next opening continues from there. An opening removes
	// it.
	replica *replica
}

func newClaimDeferral(settings Settings) claimDeferral {
	return claimDeferral{settings: settings, episodes: make(map[string]*episode)}
}

// refusal returns the last refusal while it is younger than RefusalTTL, so that calls in quick succession cost one read
// of the stream.
func (d *claimDeferral) refusal(stream string) *peer.Error {
	current := d.episodes[stream]
	if current == nil || time.Since(current.lastRefused) >= d.settings.RefusalTTL {
		return nil
	}
	return current.refusal
}

// waitExceeded reports whether the owner of this epoch has had HandoverWait to release the shard. It starts an episode
// if there is none.
func (d *claimDeferral) waitExceeded(stream string, epoch uint64) bool {
	now := time.Now()
	current := d.episodes[stream]
	if current == nil || current.epoch != epoch || d.expired(current, now) {
		d.episodes[stream] = &episode{epoch: epoch, start: now, lastRefused: now}
		return false
	}
	return now.Sub(current.start) >= d.settings.HandoverWait
}

// expired reports whether the last refusal is so long ago that a new episode should start.
func (d *claimDeferral) expired(current *episode, now time.Time) bool {
	return now.Sub(current.lastRefused) > episodeFactor*d.settings.HandoverWait
}

// refuse returns a refusal that names the owner, and stores the refusal and the replica in the episode.
func (d *claimDeferral) refuse(stream, ownerAddress string, restored *replica) *peer.Error {
	current := d.episodes[stream]
	current.lastRefused = time.Now()
	current.refusal = notOwner(stream, ownerAddress)
	current.replica = restored
	return current.refusal
}

// takeReplica removes and returns the replica stored for a stream; nil if there is none.
func (d *claimDeferral) takeReplica(stream string) *replica {
	current := d.episodes[stream]
	if current == nil {
		return nil
	}
	kept := current.replica
	current.replica = nil
	return kept
}

// prune removes expired episodes.
func (d *claimDeferral) prune() {
	now := time.Now()
	for stream, current := range d.episodes {
		if d.expired(current, now) {
			delete(d.episodes, stream)
		}
	}
}

// remove ends the episode of a stream.
func (d *claimDeferral) remove(stream string) { delete(d.episodes, stream) }
