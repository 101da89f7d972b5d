package dispatch

import "time"

// peakWindow is how long a burst of requests is remembered, at least; twice as long at most.
const peakWindow = 5 * time.Second

// recentPeak remembers the highest value of the last seconds.
type recentPeak struct {
	since    time.Time
	current  int
	previous int
}

// observe takes a value in and returns the highest of late.
func (r *recentPeak) observe(now time.Time, value int) int {
	if elapsed := now.Sub(r.since); elapsed >= peakWindow {
		r.previous = r.current
		if elapsed >= 2*peakWindow {
			r.previous = 0
		}
		r.current = 0
		r.since = now
	}
	r.current = max(r.current, value)
	return max(r.current, r.previous)
}
