package dispatch

import (
	"math"
	"time"
)

// meanTimeConstant is the time constant of recentMean.
const meanTimeConstant = 10 * time.Second

// recentMean is the exponentially weighted mean of a count over time.
type recentMean struct {
	mean    float64
	updated time.Time
}

// add adds the interval since the last call, over which the count was held.
func (r *recentMean) add(now time.Time, held int) {
	if !r.updated.IsZero() {
		decay := math.Exp(-float64(now.Sub(r.updated)) / float64(meanTimeConstant))
		r.mean = decay*r.mean + (1-decay)*float64(held)
	}
	r.updated = now
}
