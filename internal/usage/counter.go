// Package usage reports how many requests of each tenant have run, per window of time. Every process counts the requests that it
// runs and soon publishes its counts to the store, so that little is lost if the process fails. The holder of a duty sums up the
// counts that all processes published for a window, stores the sum and sends it. A stored report is sent unchanged, also by later
// holders of the duty, so that no window is reported twice with different counts.
package usage

import (
	"sync"
	"time"

	"github.com/hillfork/hillfork/internal/broadcast"
)

// Windows are consecutive spans of time of the same length. Window k begins k lengths after the Unix epoch (the start of 1970).
type Windows struct {
	Length time.Duration
}

// Number returns the number of the window that contains a moment.
func (w Windows) Number(moment time.Time) int64 {
	return moment.UnixNano() / int64(w.Length)
}

// End returns when a window ends.
func (w Windows) End(window int64) time.Time {
	return time.Unix(0, (window+1)*int64(w.Length))
}

// Counter counts the requests that this process has run. It is safe for concurrent use.
type Counter struct {
	windows Windows
	clock   *Clock

	mutex       sync.Mutex
	counts      map[int64]map[string]int64
	unpublished map[int64]bool
	changed     broadcast.Signal
}

// NewCounter returns a counter that assigns requests to windows by a clock.
func NewCounter(windows Windows, clock *Clock) *Counter {
	return &Counter{
		windows: windows, clock: clock, counts: make(map[int64]map[string]int64), unpublished: make(map[int64]bool),
		changed: broadcast.New(),
	}
}

// Ran counts a request of a tenant that started at a moment of this machine's clock.
func (c *Counter) Ran(tenant string, at time.Time) {
	window := c.windows.Number(c.clock.At(at))
	c.mutex.Lock()
	defer c.mutex.Unlock()
	counts, ok := c.counts[window]
	if !ok {
		counts = make(map[string]int64)
		c.counts[window] = counts
	}
	counts[tenant]++
	c.unpublished[window] = true
	c.changed.Notify()
}

// next returns the counts to be published of each window that has changed, and a channel that is closed at the next change.
// Windows before final are marked as final; windows before forget whose counts have been published are deleted.
func (c *Counter) next(final, forget int64) (records map[int64]*windowCounts, changed <-chan struct{}) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	records = make(map[int64]*windowCounts, len(c.unpublished))
	for window := range c.unpublished {
		counts := make(map[string]int64, len(c.counts[window]))
		for tenant, count := range c.counts[window] {
			counts[tenant] = count
		}
		records[window] = &windowCounts{Counts: counts, Final: window < final}
	}
	clear(c.unpublished)
	for window := range c.counts {
		if _, now := records[window]; window < forget && !now {
			delete(c.counts, window)
		}
	}
	return records, c.changed.Changed()
}

// markUnpublished schedules a window to be published once more, even if nothing was counted in it.
func (c *Counter) markUnpublished(window int64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.unpublished[window] = true
}

// markAllUnpublished schedules windows to be published again after they could not be written.
func (c *Counter) markAllUnpublished(windows map[int64]*windowCounts) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for window := range windows {
		c.unpublished[window] = true
	}
}
