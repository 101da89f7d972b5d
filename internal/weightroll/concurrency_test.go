package weightroll

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// storeLoadTime returns how long a load takes with the given number of concurrent loads, from a store that serves
// capacity loads at full speed.
func storeLoadTime(concurrent, capacity int) time.Duration {
	return time.Duration(float64(900*time.Millisecond) * max(1, float64(concurrent)/float64(capacity)))
}

// TestConcurrencyConvergesToStoreCapacity checks, for stores of small and large capacity, that the rate of loads comes
// close to what the store allows, and that not many more engines load than that needs.
func TestConcurrencyConvergesToStoreCapacity(t *testing.T) {
	for _, capacity := range []int{1, 2, 3, 5, 7, 20, 64} {
		t.Run(fmt.Sprint(capacity), func(t *testing.T) {
			is := is.New(t)
			var c concurrency
			now := time.Unix(0, 0)
			for range 2000 {
				limit := c.limit()
				elapsed := storeLoadTime(limit, capacity)
				now = now.Add(elapsed / time.Duration(limit))
				c.observe(elapsed, limit, true, now)
			}
			best := float64(capacity) / 0.9
			is.True(c.rate >= 0.66*best)
			is.True(c.accepted <= max(initialLoads, 2*capacity))
		})
	}
}

// TestConcurrencyIsNotRaisedWithoutWaitingEngines checks that the number does not change while no engine is waiting,
// and that loads that started below the limit are not counted.
func TestConcurrencyIsNotRaisedWithoutWaitingEngines(t *testing.T) {
	is := is.New(t)
	var c concurrency
	now := time.Unix(0, 0)
	for range 100 {
		now = now.Add(time.Second)
		c.observe(time.Second, initialLoads, false, now)
		c.observe(time.Millisecond, initialLoads-1, true, now)
	}
	is.Equal(c.limit(), initialLoads)
}

// TestFailedTrialIsRepeatedAfterBackoff checks the delay between trials without gain.
func TestFailedTrialIsRepeatedAfterBackoff(t *testing.T) {
	is := is.New(t)
	var c concurrency
	now := time.Unix(0, 0)
	trials := 0
	before := c.limit()
	for now.Before(time.Unix(0, 0).Add(2 * trialBackoff)) {
		limit := c.limit()
		if limit > before {
			trials++
		}
		before = limit
		elapsed := storeLoadTime(limit, initialLoads)
		now = now.Add(elapsed / time.Duration(limit))
		c.observe(elapsed, limit, true, now)
	}
	is.Equal(trials, 2)
	is.True(c.limit() <= initialLoads+1)
}

// TestLargePoolStartsWithHigherConcurrency guards against slow rollouts on a pool of 77 engines. With two initial loads
// and trials of twice as many, the number reached the capacity of the store 27 seconds after the first load, and 60
// engines waited until then.
func TestLargePoolStartsWithHigherConcurrency(t *testing.T) {
	is := is.New(t)
	const engines, capacity = 77, 15
	var c concurrency
	c.setInitial(engines, 0)
	now, began := time.Unix(0, 0), time.Unix(0, 0)
	for c.limit() < capacity*2/3 {
		limit := c.limit()
		for range limit {
			c.observe(storeLoadTime(limit, capacity), limit, true, now)
		}
		now = now.Add(storeLoadTime(limit, capacity))
	}
	is.True(now.Sub(began) <= 3*time.Second)

	// A successor continues with the proven number, and uses it in place of the smaller number that follows from the
	// size of the pool.
	var next concurrency
	next.setInitial(engines, c.proven())
	is.Equal(next.limit(), c.proven())
	next.observe(storeLoadTime(next.limit(), capacity), next.limit(), true, now)
	next.setInitial(engines, 1)
	is.Equal(next.limit(), c.proven())

	// A number on trial is not used as an initial number.
	is.True(c.limit() > c.accepted)
	is.Equal(c.proven(), c.accepted)
}

// TestExcessiveInitialConcurrencyIsLowered checks that a large pool with a store of small capacity comes down to about
// that capacity, once a single load has shown the shortest load time.
func TestExcessiveInitialConcurrencyIsLowered(t *testing.T) {
	is := is.New(t)
	const engines, capacity = 600, 5
	var c concurrency
	c.setInitial(engines, 0)
	is.True(c.limit() > 2*capacity)
	now := time.Unix(0, 0)
	c.observe(storeLoadTime(1, capacity), 1, false, now)
	for range 20 * c.limit() {
		c.observe(storeLoadTime(c.limit(), capacity), c.limit(), false, now)
		// The planner sets the initial number with each plan, also after loads were measured.
		c.setInitial(engines, 0)
	}
	is.True(c.limit() <= capacity)
	is.True(c.limit() >= capacity/2)
}
