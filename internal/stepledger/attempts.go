package stepledger

import "time"

const (
	// attemptTimeout is the max time between two reports on an attempt. Dispatchers send a report about once a second.
	attemptTimeout = 5 * time.Second
	// adoptionGrace is the time after the shard was opened in which a new owner does not assign the incomplete samples that it
	// inherited. Engines may still be running them; their next reports name these attempts.
	adoptionGrace = 2 * time.Second
	// firstFailureDelay and maxFailureDelay bound the exponential delay before a sample is assigned again, which applies from
	// its second failed attempt on.
	firstFailureDelay = 50 * time.Millisecond
	maxFailureDelay   = 5 * time.Second
)

// attemptBits is the width of the counter within an attempt number.
const attemptBits = 12

// attemptNumber combines the low 20 bits of the owner's epoch and the low 12 bits of count, the number of the sample's
// attempts under that owner, from 1. The number of a sample's attempt repeats only after 4,096 attempts under one owner or
// 1,048,576 owners.
func attemptNumber(epoch uint64, count uint32) uint32 {
	return uint32(epoch)<<attemptBits | count&(1<<attemptBits-1)
}

// startAttempt registers a new attempt and returns its number. The caller holds the mutex.
func (c *session) startAttempt(key sampleKey, engine string, oldest uint64, now time.Time) uint32 {
	c.attemptCounts[key]++
	number := attemptNumber(c.owner.Epoch(), c.attemptCounts[key])
	c.running[key] = &attempt{number: number, engine: engine, reportedAt: now, oldest: oldest}
	return number
}

// dropAttempts removes the running attempt, partial answer and failures of a sample. The caller holds the mutex.
func (c *session) dropAttempts(key sampleKey) {
	delete(c.running, key)
	delete(c.partials, key)
	delete(c.failures, key)
}

// forgetSample removes the volatile state of a sample that is complete or no longer exists.
func (c *session) forgetSample(key sampleKey) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.dropAttempts(key)
	delete(c.attemptCounts, key)
	delete(c.voided, key)
}

// requeueSample ends an attempt without an answer if it is the running one. The sample is assigned again after a delay.
func (c *session) requeueSample(key sampleKey, number uint32) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	current := c.running[key]
	if current == nil || current.number != number {
		return
	}
	c.failAttempt(key, time.Now())
}

// failAttempt ends the running attempt of a sample and delays the next one. The caller holds the mutex.
func (c *session) failAttempt(key sampleKey, now time.Time) {
	delete(c.running, key)
	previous := c.failures[key]
	delay := failureDelay(previous.count)
	c.failures[key] = failure{count: previous.count + 1, notBefore: now.Add(delay)}
	time.AfterFunc(delay, c.work.notify)
}

// failureDelay returns the delay before the next attempt at a sample, given the number of failed attempts before the latest
// one. There is no delay after the first failure, since an engine that leaves or swaps weights also returns its attempts.
func failureDelay(previous int) time.Duration {
	if previous == 0 {
		return 0
	}
	return min(firstFailureDelay<<min(previous-1, 10), maxFailureDelay)
}

// assignable reports whether a waiting sample has no running attempt and no pending delay after a failure. The caller holds
// the mutex.
func (c *session) assignable(key sampleKey, now time.Time) bool {
	if c.running[key] != nil {
		return false
	}
	return len(c.failures) == 0 || !now.Before(c.failures[key].notBefore)
}

// keepPartial stores the partial answer of a failed attempt if it can be resumed and is longer than the stored one. The
// caller holds the mutex.
func (c *session) keepPartial(key sampleKey, answer partial, maxTokens int, limits bounds) {
	if len(answer.tokens) >= maxTokens || !spansCover(answer.spans, len(answer.tokens)) {
		return
	}
	if !limits.acceptsSpans(answer.spans) || len(answer.tokens) <= len(c.partials[key].tokens) {
		return
	}
	c.partials[key] = answer
}
