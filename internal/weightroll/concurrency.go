package weightroll

import "time"

const (
	// loadsAtFirst is how many engines of a small pool load together until it was measured that more are no slower: the weights
	// come from one store, whose link all loading engines share.
	loadsAtFirst = 2
	// firstShare is the divisor of a larger pool's engines that gives the same number there. Weights are to be on all engines
	// within some steps, which two at a time do not manage on a large pool. So small a part is rarely too much for the store,
	// and two trials from there come to a fifth of the pool.
	firstShare = 12
	// slowLoads is how many times the quickest load the loads at a first number may take on average. Beyond that engines only
	// keep one another waiting.
	slowLoads = 1.5
	// growth is the part by which the number is raised in a trial, by one at least.
	growth = 0.5
	// gainShare is the part of the ideal gain in loads a second that a trial must bring to stay.
	gainShare = 0.5
	// loadsPerTrial is how many loads are measured before a small number is judged, in multiples of the number; loadsPerTrialMost is
	// enough for any, and a larger number is judged by one load each: many loads tell in one round what few tell in two.
	loadsPerTrial     = 2
	loadsPerTrialMost = 8
	// trialPause is how long after a trial that brought nothing the next one is made.
	trialPause = 30 * time.Second
)

// concurrency learns how many engines of a pool may load together. While all share a store with room to spare, twice as many
// load twice as fast; beyond that each takes longer, and more of them away from their work gain nothing. It tries a larger
// number while engines wait for their turn, and keeps it if loads end that much faster. A first number at which loads take
// longer than they need is lowered. The zero value starts at loadsAtFirst. It reads no clock and is not safe for concurrent use.
type concurrency struct {
	current int
	// accepted is the largest number that brought a gain, with the loads a second measured then.
	accepted int
	rate     float64
	// total and count are of the loads measured at the current number.
	total time.Duration
	count int
	// begun says that a load was measured.
	begun bool
	// quickest is the shortest load at any number.
	quickest time.Duration
	// pausedUntil is when the next trial may begin.
	pausedUntil time.Time
}

// limit returns how many engines may load together now.
func (c *concurrency) limit() int {
	return max(loadsAtFirst, c.current)
}

// proven returns the number that a successor may begin with: one that is on trial is not.
func (c *concurrency) proven() int {
	if c.accepted > 0 {
		return c.accepted
	}
	return c.limit()
}

// startAt sets the number to start at, for a pool of so many engines of which known loaded together under an earlier order giver,
// 0 if that is not known. It does nothing once loads were measured.
func (c *concurrency) startAt(engines, known int) {
	if !c.begun {
		c.current = max(known, engines/firstShare)
	}
}

// loaded takes how long a load took that began with so many under way, itself included. waiting says that further engines
// wait for their turn.
func (c *concurrency) loaded(took time.Duration, together int, waiting bool, now time.Time) {
	if took <= 0 {
		return
	}
	c.begun = true
	if c.quickest == 0 || took < c.quickest {
		c.quickest = took
	}
	limit := c.limit()
	if together != limit {
		return
	}
	c.total += took
	c.count++
	if c.count < max(limit, min(loadsPerTrialMost, loadsPerTrial*limit)) {
		return
	}
	mean := c.total / time.Duration(c.count)
	rate := float64(limit) / mean.Seconds()
	c.total, c.count = 0, 0
	if c.accepted == 0 && limit > loadsAtFirst && float64(mean) > slowLoads*float64(c.quickest) {
		// So many share what fewer could use whole.
		c.current = max(loadsAtFirst, int(float64(limit)*float64(c.quickest)/float64(mean)))
		return
	}
	if c.accepted > 0 && limit > c.accepted && rate < c.wanted(limit) {
		c.current = c.accepted
		c.pausedUntil = now.Add(trialPause)
		return
	}
	c.accepted, c.rate = limit, rate
	if waiting && !now.Before(c.pausedUntil) {
		c.current = limit + max(1, int(growth*float64(limit)))
	}
}

// wanted returns the loads a second that a larger number must bring.
func (c *concurrency) wanted(limit int) float64 {
	ideal := float64(limit)/float64(c.accepted) - 1
	return c.rate * (1 + gainShare*ideal)
}
