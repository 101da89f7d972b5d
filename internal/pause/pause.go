// Package pause waits for a duration or until a context ends.
package pause

import (
	"context"
	"time"
)

// For waits for a duration. It returns false if the context ended first.
func For(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
