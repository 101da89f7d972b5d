package weightroll

import "time"

const (
	// loadsAtFirst is how many engines of a pool load together until it was measured that more are no slower: the weights come
	// from one store, whose link all loading engines share.
	loadsAtFirst = 2
	// growth is the part by which the number is raised in a trial, by one at least.
	growth = 0.5
	// gainShare is the part of the ideal gain in loads a second that a trial must bring to stay.
	gainShare = 0.5
	// loadsPerTrial is how many loads are measured before a number is judged, in multiples of the number.
	loadsPerTrial = 2
	// trialPause is how long after a trial that brought nothing the next one is made.
	trialPause = 30 * time.Second
)

// concurrency learns how many engines of a pool may load together. While all share a store with room to spare, twice as many
// load twice as fast; beyond that each takes longer, and more of them away from their work gain nothing. It tries a larger
// number while engines wait for their turn, and keeps it if loads end that much faster. The zero value starts at loadsAtFirst.
// It reads no clock and is not safe for concurrent use.
type concurrency struct {
	current int
	// accepted is the largest number that brought a gain, with the loads a second measured then.
	accepted int
	rate     float64
	// total and count are of the loads measured at the current number.
	total time.Duration
	count int
	// pausedUntil is when the next trial may begin.
	pausedUntil time.Time
}

// limit returns how many engines may load together now.
func (c *concurrency) limit() int {
	return max(loadsAtFirst, c.current)
}

// loaded takes how long a load took that began with so many under way, itself included. waiting says that further engines
// wait for their turn.
func (c *concurrency) loaded(took time.Duration, together int, waiting bool, now time.Time) {
	limit := c.limit()
	if together != limit || took <= 0 {
		return
	}
	c.total += took
	c.count++
	if c.count < loadsPerTrial*limit {
		return
	}
	rate := float64(limit) * float64(c.count) / c.total.Seconds()
	c.total, c.count = 0, 0
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
