package shard

import (
	"time"

	"github.com/hillfork/hillfork/internal/peer"
)

// episodeFactor times HandoverWait without a refusal ends an episode of patience.
const episodeFactor = 4

// patience decides how long a shard that is placed here is left to its live owner elsewhere. It keeps two nodes whose
// views of the members differ from taking a shard from each other in turn. It is not safe for concurrent use.
type patience struct {
	settings Settings
	episodes map[string]*episode
}

// episode is a time during which one epoch of a stream was left to its owner.
type episode struct {
	epoch       uint64
	began       time.Time
	lastRefused time.Time
	refusal     *peer.Error
	// replica is the stream as it was last read, so that the next opening reads on from there. An opening takes it out.
	replica *replica
}

func newPatience(settings Settings) patience {
	return patience{settings: settings, episodes: make(map[string]*episode)}
}

// refusal returns the last refusal while it is fresh, so that callers in quick succession cost one read of the stream.
func (p *patience) refusal(stream string) *peer.Error {
	current := p.episodes[stream]
	if current == nil || time.Since(current.lastRefused) >= p.settings.RefusalTTL {
		return nil
	}
	return current.refusal
}

// exhausted tells whether the owner of this epoch was given HandoverWait. It begins an episode where there is none.
func (p *patience) exhausted(stream string, epoch uint64) bool {
	now := time.Now()
	current := p.episodes[stream]
	if current == nil || current.epoch != epoch || p.expired(current, now) {
		p.episodes[stream] = &episode{epoch: epoch, began: now, lastRefused: now}
		return false
	}
	return now.Sub(current.began) >= p.settings.HandoverWait
}

// expired tells whether nobody has asked for the shard for so long that a new episode ought to begin.
func (p *patience) expired(current *episode, now time.Time) bool {
	return now.Sub(current.lastRefused) > episodeFactor*p.settings.HandoverWait
}

// refuse returns the refusal that names the owner, and keeps it and the replica.
func (p *patience) refuse(stream, ownerAddress string, restored *replica) *peer.Error {
	current := p.episodes[stream]
	current.lastRefused = time.Now()
	current.refusal = notOwner(stream, ownerAddress)
	current.replica = restored
	return current.refusal
}

// take hands out the replica kept for a stream, nil where there is none.
func (p *patience) take(stream string) *replica {
	current := p.episodes[stream]
	if current == nil {
		return nil
	}
	kept := current.replica
	current.replica = nil
	return kept
}

// prune forgets expired episodes.
func (p *patience) prune() {
	now := time.Now()
	for stream, current := range p.episodes {
		if p.expired(current, now) {
			delete(p.episodes, stream)
		}
	}
}

// forget ends the episode of a stream.
func (p *patience) forget(stream string) { delete(p.episodes, stream) }
