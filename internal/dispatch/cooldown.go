package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// cooldown keeps samples away from an engine that fails them at once, longer with each failure in a row.
type cooldown struct {
	mutex  sync.Mutex
	pauses *backoff.ExponentialBackOff
	until  time.Time
}

// note learns from the end of an attempt. Ends that the dispatcher brought about say nothing of the engine.
func (c *cooldown) note(err error, alive context.Context) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if err == nil {
		c.pauses.Reset()
		c.until = time.Time{}
		return
	}
	if alive.Err() == nil && !time.Now().Before(c.until) {
		c.until = time.Now().Add(c.pauses.NextBackOff())
	}
}

// remaining is how long the engine is to be left alone.
func (c *cooldown) remaining() time.Duration {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return max(0, time.Until(c.until))
}
