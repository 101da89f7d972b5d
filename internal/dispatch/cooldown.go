package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// cooldown suspends pulls for an engine that fails samples, longer with each consecutive failure.
type cooldown struct {
	mutex   sync.Mutex
	backoff *backoff.ExponentialBackOff
	until   time.Time
}

// observeEnd updates the cooldown from the end of an attempt. A failure after the stream was cancelled is ignored,
// because the dispatcher caused it.
func (c *cooldown) observeEnd(err error, streamCtx context.Context) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if err == nil {
		c.backoff.Reset()
		c.until = time.Time{}
		return
	}
	if streamCtx.Err() == nil && !time.Now().Before(c.until) {
		c.until = time.Now().Add(c.backoff.NextBackOff())
	}
}

// remaining returns how long no samples may be pulled for the engine.
func (c *cooldown) remaining() time.Duration {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return max(0, time.Until(c.until))
}
