// Package usage reports which tenants' requests have run, by windows of true time. Every process counts what it has run and tells the store
// soon, so that little is lost with a process; the holder of a duty adds up what all have told of a window, writes the sum down and sends
// it. What was written down is sent as it stands, by whoever holds the duty, so that no window is reported twice with different counts.
package usage

import (
	"sync"
	"time"

	"github.com/hillfork/hillfork/internal/broadcast"
)

// Windows are spans of true time of one length. Window k begins k lengths after the start of 1970.
type Windows struct {
	Length time.Duration
}

// Number returns the window that a moment lies in.
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

	mutex   sync.Mutex
	counts  map[int64]map[string]int64
	untold  map[int64]bool
	changed broadcast.Signal
}

// NewCounter returns a counter of windows by a clock.
func NewCounter(windows Windows, clock *Clock) *Counter {
	return &Counter{
		windows: windows, clock: clock, counts: make(map[int64]map[string]int64), untold: make(map[int64]bool),
		changed: broadcast.New(),
	}
}

// Ran counts a request of a tenant that began to run at a moment of this machine's clock.
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
	c.untold[window] = true
	c.changed.Notify()
}

// next returns what is to be told of each window that has changed, and a channel that is closed at the next change. Windows before a
// number are final, those before another, whose counts have been told, are forgotten.
func (c *Counter) next(final, forget int64) (records map[int64]*told, changed <-chan struct{}) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	records = make(map[int64]*told, len(c.untold))
	for window := range c.untold {
		counts := make(map[string]int64, len(c.counts[window]))
		for tenant, count := range c.counts[window] {
			counts[tenant] = count
		}
		records[window] = &told{Counts: counts, Final: window < final}
	}
	clear(c.untold)
	for window := range c.counts {
		if _, now := records[window]; window < forget && !now {
			delete(c.counts, window)
		}
	}
	return records, c.changed.Changed()
}

// close has a window told once more, whether anything was counted in it or not.
func (c *Counter) close(window int64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.untold[window] = true
}

// again has a window told once more that could not be.
func (c *Counter) again(windows map[int64]*told) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for window := range windows {
		c.untold[window] = true
	}
}
