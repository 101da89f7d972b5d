package weightroll

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// storeLoad is how long a load takes while so many load together, of a store that serves knee of them at full speed.
func storeLoad(together, knee int) time.Duration {
	return time.Duration(float64(900*time.Millisecond) * max(1, float64(together)/float64(knee)))
}

// TestConcurrencyFindsTheStoresRoom checks, for stores that serve few engines and many, that loads come close to as fast as
// the store allows, and that not many more engines load than that takes.
func TestConcurrencyFindsTheStoresRoom(t *testing.T) {
	for _, knee := range []int{1, 2, 3, 5, 7, 20, 64} {
		t.Run(fmt.Sprint(knee), func(t *testing.T) {
			is := is.New(t)
			var c concurrency
			now := time.Unix(0, 0)
			for range 2000 {
				limit := c.limit()
				took := storeLoad(limit, knee)
				now = now.Add(took / time.Duration(limit))
				c.loaded(took, limit, true, now)
			}
			best := float64(knee) / 0.9
			is.True(c.rate >= 0.66*best)
			is.True(c.accepted <= max(loadsAtFirst, 2*knee))
		})
	}
}

// TestConcurrencyTriesNothingWithoutNeed checks that the number stays while no engine waits, and that loads which did not
// begin with all places taken say nothing.
func TestConcurrencyTriesNothingWithoutNeed(t *testing.T) {
	is := is.New(t)
	var c concurrency
	now := time.Unix(0, 0)
	for range 100 {
		now = now.Add(time.Second)
		c.loaded(time.Second, loadsAtFirst, false, now)
		c.loaded(time.Millisecond, loadsAtFirst-1, true, now)
	}
	is.Equal(c.limit(), loadsAtFirst)
}

// TestATrialThatBroughtNothingIsNotRepeatedAtOnce checks the pause between trials.
func TestATrialThatBroughtNothingIsNotRepeatedAtOnce(t *testing.T) {
	is := is.New(t)
	var c concurrency
	now := time.Unix(0, 0)
	trials := 0
	before := c.limit()
	for now.Before(time.Unix(0, 0).Add(2 * trialPause)) {
		limit := c.limit()
		if limit > before {
			trials++
		}
		before = limit
		took := storeLoad(limit, loadsAtFirst)
		now = now.Add(took / time.Duration(limit))
		c.loaded(took, limit, true, now)
	}
	is.Equal(trials, 2)
	is.True(c.limit() <= loadsAtFirst+1)
}

// TestALargePoolStartsWithMore is what held the steps of a pool of 77 engines: with two loads at first and trials of twice as
// many, the number came to what the store allows 27 seconds after the first load, and 60 engines waited all the while.
func TestALargePoolStartsWithMore(t *testing.T) {
	is := is.New(t)
	const engines, knee = 77, 15
	var c concurrency
	c.startAt(engines, 0)
	now, began := time.Unix(0, 0), time.Unix(0, 0)
	for c.limit() < knee*2/3 {
		limit := c.limit()
		for range limit {
			c.loaded(storeLoad(limit, knee), limit, true, now)
		}
		now = now.Add(storeLoad(limit, knee))
	}
	is.True(now.Sub(began) <= 3*time.Second)

	// A successor goes on from there, and one that knows more than the pool's size tells begins with that.
	var next concurrency
	next.startAt(engines, c.proven())
	is.Equal(next.limit(), c.proven())
	next.loaded(storeLoad(next.limit(), knee), next.limit(), true, now)
	next.startAt(engines, 1)
	is.Equal(next.limit(), c.proven())

	// A number that is on trial is nothing to begin with.
	is.True(c.limit() > c.accepted)
	is.Equal(c.proven(), c.accepted)
}

// TestAFirstNumberThatIsTooLargeIsLowered checks that a large pool whose store serves few engines at once comes down to about
// what that store allows, once loads by themselves have shown how quick they can be.
func TestAFirstNumberThatIsTooLargeIsLowered(t *testing.T) {
	is := is.New(t)
	const engines, knee = 600, 5
	var c concurrency
	c.startAt(engines, 0)
	is.True(c.limit() > 2*knee)
	now := time.Unix(0, 0)
	c.loaded(storeLoad(1, knee), 1, false, now)
	for range 20 * c.limit() {
		c.loaded(storeLoad(c.limit(), knee), c.limit(), false, now)
		// The planner says where to start as long as nothing was measured, and goes on saying it.
		c.startAt(engines, 0)
	}
	is.True(c.limit() <= knee)
	is.True(c.limit() >= knee/2)
}
