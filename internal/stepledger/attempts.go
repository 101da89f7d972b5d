package stepledger

import "time"

const (
	// attemptTimeout is how long an attempt may go without a report, which dispatchers send about once a second.
	attemptTimeout = 5 * time.Second
	// adoptionGrace is how long a new owner leaves the incomplete samples it inherited to the engines that may be running
	// them, whose next reports say so.
	adoptionGrace = 2 * time.Second
	// firstFailureDelay and maxFailureDelay bound the doubling delay before a sample runs again, from its second failed attempt on.
	firstFailureDelay = 50 * time.Millisecond
	maxFailureDelay   = 5 * time.Second
)

// attemptBits is the width of the counter within an attempt number.
const attemptBits = 12

// attemptNumber makes the number of an attempt from the owner's epoch (low 20 bits) and a count of the sample's attempts
// under that owner (low 12 bits, from 1). Two attempts at a sample have the same number only across 4,096 attempts under
// one owner or 1,048,576 owners.
func attemptNumber(epoch uint64, count uint32) uint32 {
	return uint32(epoch)<<attemptBits | count&(1<<attemptBits-1)
}

// start notes a new attempt and returns its number. The caller holds the mutex.
func (c *session) start(key sampleKey, engine string, oldest uint64, now time.Time) uint32 {
	c.numbers[key]++
	number := attemptNumber(c.owner.Epoch(), c.numbers[key])
	c.running[key] = &attempt{number: number, engine: engine, heard: now, oldest: oldest}
	return number
}

// drop forgets all that is volatile of a sample. The caller holds the mutex.
func (c *session) drop(key sampleKey) {
	delete(c.running, key)
	delete(c.partials, key)
	delete(c.failures, key)
}

// forget drops a sample that is complete or gone.
func (c *session) forget(key sampleKey) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.drop(key)
	delete(c.numbers, key)
	delete(c.voided, key)
}

// requeue ends an attempt without an answer, so that the sample runs again after a delay.
func (c *session) requeue(key sampleKey, number uint32) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	current := c.running[key]
	if current == nil || current.number != number {
		return
	}
	c.fail(key, time.Now())
}

// fail ends the running attempt of a sample and delays the next. The caller holds the mutex.
func (c *session) fail(key sampleKey, now time.Time) {
	delete(c.running, key)
	past := c.failures[key]
	delay := failureDelay(past.count)
	c.failures[key] = failure{count: past.count + 1, notBefore: now.Add(delay)}
	time.AfterFunc(delay, c.work.raise)
}

// failureDelay is how long a sample waits after an attempt failed that had past failed ones before it: not at all after the
// first, which may only have been handed back by an engine that leaves or swaps weights.
func failureDelay(past int) time.Duration {
	if past == 0 {
		return 0
	}
	return min(firstFailureDelay<<min(past-1, 10), maxFailureDelay)
}

// assignable reports whether a waiting sample neither runs nor waits after a failure. The caller holds the mutex.
func (c *session) assignable(key sampleKey, now time.Time) bool {
	if c.running[key] != nil {
		return false
	}
	return len(c.failures) == 0 || !now.Before(c.failures[key].notBefore)
}

// keepPartial keeps the longest usable rest of a failed attempt. The caller holds the mutex.
func (c *session) keepPartial(key sampleKey, rest partial, maxTokens int, limits bounds) {
	if len(rest.tokens) >= maxTokens || !spansCover(rest.spans, len(rest.tokens)) {
		return
	}
	if !limits.acceptsSpans(rest.spans) || len(rest.tokens) <= len(c.partials[key].tokens) {
		return
	}
	c.partials[key] = rest
}
