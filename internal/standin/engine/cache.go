package engine

import (
	"container/list"
	"context"
	"math/rand/v2"
	"time"

	"github.com/hillfork/hillfork/internal/platform"
)

const (
	// maxEvents bounds the cache events kept; older ones are lost, which is one more gap.
	maxEvents = 4096
	// restartGap is how far the sequence of events jumps when an engine loses its cache.
	restartGap = 1 << 20
)

// prefixCache holds blocks of prompts, least recently used first out. It is under the engine's lock.
type prefixCache struct {
	capacity int
	lag      time.Duration
	loss     float64
	random   *rand.Rand
	recent   *list.List // of uint64 hashes, most recent in front
	blocks   map[uint64]*list.Element
	sequence uint64
	events   []timedEvent
	// added is closed and replaced with each event.
	added chan struct{}
}

type timedEvent struct {
	event     platform.CacheEvent
	visibleAt time.Time
}

func newPrefixCache(config Config, random *rand.Rand) *prefixCache {
	return &prefixCache{
		capacity: max(config.MemoryTokens/platform.PrefixBlockTokens, 1),
		lag:      config.EventLag,
		loss:     config.EventLoss,
		random:   random,
		added:    make(chan struct{}),
	}
}

// clear forgets everything, and lets a gap in the events tell so.
func (c *prefixCache) clear() {
	c.recent = list.New()
	c.blocks = make(map[uint64]*list.Element)
	c.events = nil
	if c.sequence > 0 {
		c.sequence += restartGap
	}
}

// admit brings a prompt into the cache and returns how many of its tokens were not there.
func (c *prefixCache) admit(prompt []uint32) int {
	cached := 0
	hit := true
	for _, hash := range platform.PrefixHashes(prompt) {
		element, found := c.blocks[hash]
		hit = hit && found
		if hit {
			cached += platform.PrefixBlockTokens
		}
		if found {
			c.recent.MoveToFront(element)
			continue
		}
		c.insert(hash)
	}
	return len(prompt) - cached
}

func (c *prefixCache) insert(hash uint64) {
	c.blocks[hash] = c.recent.PushFront(hash)
	c.publish(hash, false)
	if c.recent.Len() <= c.capacity {
		return
	}
	oldest := c.recent.Remove(c.recent.Back()).(uint64)
	delete(c.blocks, oldest)
	c.publish(oldest, true)
}

func (c *prefixCache) publish(hash uint64, evicted bool) {
	c.sequence++
	if c.random.Float64() < c.loss {
		return
	}
	c.events = append(c.events, timedEvent{
		event:     platform.CacheEvent{Sequence: c.sequence, Prefix: hash, Evicted: evicted},
		visibleAt: time.Now().Add(c.lag),
	})
	if len(c.events) > maxEvents {
		c.events = c.events[len(c.events)-maxEvents:]
	}
	close(c.added)
	c.added = make(chan struct{})
}

// after returns the visible events beyond sequence, and when the next one becomes visible; zero when there is none.
func (c *prefixCache) after(sequence uint64) (visible []platform.CacheEvent, next time.Time) {
	now := time.Now()
	for _, timed := range c.events {
		if timed.event.Sequence <= sequence {
			continue
		}
		if timed.visibleAt.After(now) {
			return visible, timed.visibleAt
		}
		visible = append(visible, timed.event)
	}
	return visible, time.Time{}
}

// CacheEvents returns the events beyond after, and waits for the first one at most wait.
func (e *Engine) CacheEvents(ctx context.Context, after uint64, wait time.Duration) ([]platform.CacheEvent, error) {
	deadline := time.Now().Add(wait)
	for {
		if err := e.enter(ctx); err != nil {
			return nil, err
		}
		e.mutex.Lock()
		events, next := e.cache.after(after)
		added, life := e.cache.added, e.life
		e.mutex.Unlock()
		now := time.Now()
		if len(events) > 0 || !now.Before(deadline) {
			return events, nil
		}
		if next.IsZero() || next.After(deadline) {
			next = deadline
		}
		if err := waitUntil(ctx, life, added, next); err != nil {
			return nil, err
		}
	}
}

func waitUntil(ctx, life context.Context, changed <-chan struct{}, until time.Time) error {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-changed:
		return nil
	case <-life.Done():
		return ErrCrashed
	case <-ctx.Done():
		return ctx.Err()
	}
}
