package usage

import (
	"slices"
	"sync"
	"time"

	"github.com/hillfork/hillfork/internal/uptime"
)

// maxSamples is the number of clock samples that are kept. An active process takes one per second, an idle one at least one per
// window. With 60 samples, a step of the time of day that lasts less than half a minute changes nothing.
const maxSamples = 60

// suspended returns how long the machine has been suspended; tests replace it.
var suspended uptime.Meter = uptime.Suspended

// Clock returns the time of day based on a monotonic clock that includes time in suspension, so that a machine whose time of day
// is stepped for some seconds continues to count in the same windows. The offset between the two clocks is the median of recent
// samples. The zero value is not usable; use NewClock. A Clock is safe for concurrent use.
type Clock struct {
	// origin is the time of day when the clock was created, start the same moment on the monotonic clock.
	origin time.Time
	start  uptime.Mark

	mutex   sync.Mutex
	drifts  []time.Duration
	drift   time.Duration
	sampled int
}

// NewClock returns a clock that uses the current time of day until it has taken samples.
func NewClock() *Clock {
	now := time.Now()
	return &Clock{origin: now.Round(0), start: suspended.Mark().Moved(now)}
}

// At returns the time of day at a moment that was read with time.Now on this machine.
func (c *Clock) At(moment time.Time) time.Time {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.origin.Add(c.since(moment) + c.drift)
}

// Sample compares the time of day with the monotonic clock. It must be called at most once per second.
func (c *Clock) Sample() {
	now := time.Now()
	c.addSample(now.Round(0).Sub(c.origin) - c.since(now))
}

// since returns the time from the origin to a moment, which must not lie before a suspension.
func (c *Clock) since(moment time.Time) time.Duration {
	return moment.Sub(c.start.At())
}

// addSample adds a sample: the time by which the time of day has advanced more than the monotonic clock since the origin.
func (c *Clock) addSample(drift time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if len(c.drifts) < maxSamples {
		c.drifts = append(c.drifts, drift)
	} else {
		c.drifts[c.sampled%maxSamples] = drift
	}
	c.sampled++
	sorted := slices.Sorted(slices.Values(c.drifts))
	c.drift = sorted[len(sorted)/2]
}
