package weightroll

import "time"

const (
	// initialLoads is how many engines of a small pool load concurrently until more were measured to be no slower: the
	// weights come from one store, whose link all loading engines share.
	initialLoads = 2
	// initialDivisor divides the engine count of a larger pool to get its initial number of concurrent loads. Weights
	// have to reach all engines within some steps, which two loads at a time do not achieve on a large pool. So small a
	// part rarely overloads the store, and two trials from there reach a fifth of the pool.
	initialDivisor = 12
	// maxInitialSlowdown is the maximum ratio of the mean load time at the initial number to the shortest load time.
	// Above it, engines only wait for each other.
	maxInitialSlowdown = 1.5
	// trialGrowth is the fraction by which a trial raises the number, by at least one.
	trialGrowth = 0.5
	// minGainFraction is the minimum fraction of the ideal gain in loads per second for which a trial's number is kept.
	minGainFraction = 0.5
	// trialRounds is how many loads are measured before a small number is evaluated, as a multiple of the number.
	// sufficientSamples is enough for any number: a larger number is evaluated after one load for each of its slots,
	// since one round of many loads shows as much as two rounds of few.
	trialRounds       = 2
	sufficientSamples = 8
	// trialBackoff is the delay after a trial without gain until the next one.
	trialBackoff = 30 * time.Second
)

// concurrency determines how many engines of a pool may load concurrently. While the store they share has spare
// capacity, twice as many load twice as fast. Beyond that each load takes longer, and taking more engines out of
// service gains nothing. It tries a larger number while engines are waiting to load, and keeps that number if the rate
// of loads rises enough. An initial number at which loads take too long is lowered. The zero value starts at
// initialLoads. It reads no clock and is not safe for concurrent use.
type concurrency struct {
	current int
	// accepted is the largest number that brought a gain, rate the loads per second measured with it.
	accepted int
	rate     float64
	// sampleTotal and sampleCount are the sum and the number of the load times measured at the current number.
	sampleTotal time.Duration
	sampleCount int
	// measured is set once a load was measured.
	measured bool
	// fastest is the shortest load time at any number.
	fastest time.Duration
	// nextTrial is the earliest start of the next trial.
	nextTrial time.Time
}

// limit returns how many engines may load concurrently now.
func (c *concurrency) limit() int {
	return max(initialLoads, c.current)
}

// proven returns the number that a successor may start with, which excludes a number on trial.
func (c *concurrency) proven() int {
	if c.accepted > 0 {
		return c.accepted
	}
	return c.limit()
}

// setInitial sets the initial number for a pool of the given engine count. proven is the number of loads that ran
// concurrently under an earlier owner, 0 if unknown. It does nothing once a load was measured.
func (c *concurrency) setInitial(engines, proven int) {
	if !c.measured {
		c.current = max(proven, engines/initialDivisor)
	}
}

// observe records the duration of a load that started with the given number of loads in progress, itself included.
// waiting is set if further engines are waiting to load.
func (c *concurrency) observe(elapsed time.Duration, concurrent int, waiting bool, now time.Time) {
	if elapsed <= 0 {
		return
	}
	c.measured = true
	if c.fastest == 0 || elapsed < c.fastest {
		c.fastest = elapsed
	}
	limit := c.limit()
	if concurrent != limit {
		return
	}
	c.sampleTotal += elapsed
	c.sampleCount++
	if c.sampleCount < max(limit, min(sufficientSamples, trialRounds*limit)) {
		return
	}
	mean := c.sampleTotal / time.Duration(c.sampleCount)
	rate := float64(limit) / mean.Seconds()
	c.sampleTotal, c.sampleCount = 0, 0
	if c.accepted == 0 && limit > initialLoads && float64(mean) > maxInitialSlowdown*float64(c.fastest) {
		// The store is saturated: fewer concurrent loads can use its whole capacity.
		c.current = max(initialLoads, int(float64(limit)*float64(c.fastest)/float64(mean)))
		return
	}
	if c.accepted > 0 && limit > c.accepted && rate < c.minRate(limit) {
		c.current = c.accepted
		c.nextTrial = now.Add(trialBackoff)
		return
	}
	c.accepted, c.rate = limit, rate
	if waiting && !now.Before(c.nextTrial) {
		c.current = limit + max(1, int(trialGrowth*float64(limit)))
	}
}

// minRate returns the loads per second that a larger number must reach.
func (c *concurrency) minRate(limit int) float64 {
	ideal := float64(limit)/float64(c.accepted) - 1
	return c.rate * (1 + minGainFraction*ideal)
}
