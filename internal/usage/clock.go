package usage

import (
	"slices"
	"sync"
	"time"

	"github.com/hillfork/hillfork/internal/uptime"
)

// samplesMost is how many samples of the clock count, one a second at a process that counts and one a window at one that rests: a step that
// lasts less than half a minute changes nothing.
const samplesMost = 60

// suspended tells how long the machine has been suspended.
var suspended uptime.Meter = uptime.Suspended

// Clock tells the time of day by a steady clock that counts time in suspension, so that a machine whose time of day is stepped for some seconds counts on in the same
// windows. How far the two are apart is the median of what was seen lately. Its zero value is not usable; NewClock makes one. It is safe
// for concurrent use.
type Clock struct {
	// origin is the time of day at the beginning, began that moment by the steady clock.
	origin time.Time
	began  uptime.Mark

	mutex   sync.Mutex
	drifts  []time.Duration
	drift   time.Duration
	sampled int
}

// NewClock returns a clock that believes the time of day as it is now until it has seen more of it.
func NewClock() *Clock {
	now := time.Now()
	return &Clock{origin: now.Round(0), began: suspended.Mark().Moved(now)}
}

// At returns the time of day at a moment that was taken from the machine's clock.
func (c *Clock) At(moment time.Time) time.Time {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.origin.Add(c.since(moment) + c.drift)
}

// Sample compares the time of day with the steady clock. It is to be called once a second at the most.
func (c *Clock) Sample() {
	now := time.Now()
	c.take(now.Round(0).Sub(c.origin) - c.since(now))
}

// since is how long after the origin a moment is, which must not lie before a suspension.
func (c *Clock) since(moment time.Time) time.Duration {
	return moment.Sub(c.began.At())
}

// take takes by how much the time of day has gone ahead of the steady clock since the origin.
func (c *Clock) take(drift time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if len(c.drifts) < samplesMost {
		c.drifts = append(c.drifts, drift)
	} else {
		c.drifts[c.sampled%samplesMost] = drift
	}
	c.sampled++
	sorted := slices.Sorted(slices.Values(c.drifts))
	c.drift = sorted[len(sorted)/2]
}
