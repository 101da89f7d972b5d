package dispatch

import "time"

// peakWindow is the minimum time for which a peak is kept; the maximum is twice as long.
const peakWindow = 5 * time.Second

// recentPeak tracks the maximum of a value over the last one to two windows.
type recentPeak struct {
	windowStart time.Time
	current     int
	previous    int
}

// observe records a value and returns the recent maximum.
func (r *recentPeak) observe(now time.Time, value int) int {
	if elapsed := now.Sub(r.windowStart); elapsed >= peakWindow {
		r.previous = r.current
		if elapsed >= 2*peakWindow {
			r.previous = 0
		}
		r.current = 0
		r.windowStart = now
	}
	r.current = max(r.current, value)
	return max(r.current, r.previous)
}
