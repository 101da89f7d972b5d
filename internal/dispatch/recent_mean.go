package dispatch

import (
	"math"
	"time"
)

// meanWindow is the time constant of recentMean.
const meanWindow = 10 * time.Second

// recentMean is the exponentially weighted mean of a count over time.
type recentMean struct {
	mean  float64
	until time.Time
}

// add says that the count has been held since the last call.
func (r *recentMean) add(now time.Time, held int) {
	if !r.until.IsZero() {
		kept := math.Exp(-float64(now.Sub(r.until)) / float64(meanWindow))
		r.mean = kept*r.mean + (1-kept)*float64(held)
	}
	r.until = now
}
