package policy_test

import (
	"math/rand"
	"testing"
	"time"

	"github.com/hillfork/hillfork/internal/policy"
	"github.com/matryer/is"
)

// TestPaceIgnoresPauseOfAllStreams checks that one pause of all streams of an engine does not change its pace, and that
// the pace follows an engine that has become slow within as many events.
func TestPaceIgnoresPauseOfAllStreams(t *testing.T) {
	is := is.New(t)
	var pace policy.Pace
	now := time.Unix(1000, 0)
	is.Equal(pace.Value(), time.Duration(0))
	for range 100 {
		pace.Add(40*time.Millisecond, now)
	}
	for range 12 {
		pace.Add(900*time.Millisecond, now)
	}
	is.Equal(pace.Value(), 40*time.Millisecond)
	for range 20 {
		pace.Add(140*time.Millisecond, now)
	}
	is.Equal(pace.Value(), 140*time.Millisecond)
}

// TestBufferedEventsDoNotLowerPace covers readers that are paused under load: the events that an engine sent meanwhile
// arrive at once, which made the engine look fast, so that it attracted all work. The test also checks that the usual
// pace reported by another process counts until there are measurements.
func TestBufferedEventsDoNotLowerPace(t *testing.T) {
	const slow, seeded = 60 * time.Millisecond, 27 * time.Millisecond
	is := is.New(t)
	var pace policy.Pace
	is.Equal(pace.Forecast(time.Unix(1000, 0)), policy.Forecast{})
	pace.Seed(seeded)
	is.Equal(pace.Forecast(time.Unix(1000, 0)), policy.ConstantPace(seeded))
	now := time.Unix(1000, 0)
	stream := func(count int) {
		for range count {
			now = now.Add(slow)
			pace.Add(slow, now)
		}
	}
	stream(200)
	is.Equal(pace.Usual(), slow)
	for range 5 {
		stream(40)
		now = now.Add(time.Second)
		for range 40 {
			pace.Add(time.Microsecond, now)
		}
		is.Equal(pace.Forecast(now), policy.ConstantPace(slow))
	}
	pace.Seed(seeded)
	is.Equal(pace.Usual(), slow)
}

// TestForecastTime checks that a slowdown is expected to last as long again, and never to cost more than a permanent
// one.
func TestForecastTime(t *testing.T) {
	is := is.New(t)
	slowed := policy.Forecast{Current: 60 * time.Millisecond, Usual: 30 * time.Millisecond, SlowedFor: 600 * time.Millisecond}
	is.Equal(slowed.Time(5), 300*time.Millisecond)
	is.Equal(slowed.Time(10), 600*time.Millisecond)
	is.Equal(slowed.Time(100), 3300*time.Millisecond)
	is.Equal(policy.ConstantPace(30*time.Millisecond).Time(100), 3*time.Second)
	is.Equal(policy.Forecast{}.Time(100), time.Duration(0))
}

// TestWaitingCostsTwiceTheOptimumAtMost starts work on a slow engine after it has waited as long as that engine delays
// it, and compares the total with the best choice under knowledge of when a fast engine becomes free.
func TestWaitingCostsTwiceTheOptimumAtMost(t *testing.T) {
	is := is.New(t)
	const fast, slow = 40 * time.Millisecond, 53 * time.Millisecond
	random := rand.New(rand.NewSource(1))
	for range 1000 {
		events := float64(1 + random.Intn(200))
		free := time.Duration(random.Intn(5000)) * time.Millisecond
		delay := policy.Delay(events, policy.ConstantPace(slow), fast, 0)
		work := time.Duration(events * float64(fast))
		optimal := work + min(free, delay)
		// The work keeps waiting until it has waited for the delay.
		waits := min(free, delay)
		for waited := time.Duration(0); waited < waits; waited += 10 * time.Millisecond {
			is.True(policy.KeepsWaiting(waited, delay))
		}
		is.True(!policy.KeepsWaiting(delay, delay))
		actual := work + waits
		if free > delay {
			actual += delay
		}
		is.True(actual-work <= 2*(optimal-work))
	}
}

// TestShortSlowdownDoesNotMoveWork covers engines that other load on their machine slows down 2.5 times for some tenths
// of a second: work that moves has its prompt prefilled again and finds the next engine slowed as well. Work of 4 s must
// stay at an engine that was slow for 0.6 s, and must leave one that is slow for 6 s within 2 s; callers allow a step a
// few seconds.
func TestShortSlowdownDoesNotMoveWork(t *testing.T) {
	const (
		usual, slowed = 27 * time.Millisecond, 67 * time.Millisecond
		streams       = 4
		short, long   = 600 * time.Millisecond, 6 * time.Second
		events        = 150
		maxMoveDelay  = 2 * time.Second
	)
	is := is.New(t)
	other := policy.ConstantPace(usual)
	var pace policy.Pace
	now := time.Unix(1000, 0)
	// stream returns when the work would have moved, negative if never. Each gap belongs to one stream, and the streams
	// of an engine produce events in turn.
	stream := func(gap, span time.Duration) (moved time.Duration) {
		moved = -1
		for passed := time.Duration(0); passed < span; passed += gap / streams {
			now = now.Add(gap / streams)
			pace.Add(gap, now)
			if moved < 0 && policy.WorthMoving(events, pace.Forecast(now), other, 0) {
				moved = passed
			}
		}
		return moved
	}
	is.Equal(stream(usual, 10*time.Second), time.Duration(-1))
	for range 5 {
		is.Equal(stream(slowed, short), time.Duration(-1))
		is.Equal(stream(usual, 2*time.Second), time.Duration(-1))
	}
	is.Equal(pace.Usual(), usual)
	moved := stream(slowed, long)
	is.True(moved >= 0 && moved <= maxMoveDelay)
	is.Equal(pace.Usual(), slowed)
	// Without further events the slowdown may be over by then, but it has become the usual pace.
	is.Equal(pace.Forecast(now.Add(long)), policy.ConstantPace(slowed))
}

func TestWorthMoving(t *testing.T) {
	tests := []struct {
		name        string
		events      float64
		pace, other time.Duration
		worth       bool
	}{
		{"many events left and the other engine is faster", 60, 53 * time.Millisecond, 40 * time.Millisecond, true},
		{"few events left", 10, 53 * time.Millisecond, 40 * time.Millisecond, false},
		{"few events left on a very slow engine", 5, 150 * time.Millisecond, 40 * time.Millisecond, true},
		{"difference within measurement noise", 1000, 44 * time.Millisecond, 40 * time.Millisecond, false},
		{"the other engine is slower", 1000, 40 * time.Millisecond, 53 * time.Millisecond, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(policy.WorthMoving(test.events, policy.ConstantPace(test.pace), policy.ConstantPace(test.other), 0), test.worth)
		})
	}
}

// TestWorkWithinSlackAcceptsSlowEngines covers steps in which a few items are much longer than the others. The short
// items took the slots of fast engines first, waited for them while slow engines were idle, and moved there, and none of
// that made their step end sooner.
func TestWorkWithinSlackAcceptsSlowEngines(t *testing.T) {
	const fast, slow = 27 * time.Millisecond, 60 * time.Millisecond
	is := is.New(t)
	slack := policy.Slack(140, fast)
	for _, events := range []float64{1, 20, 45} {
		is.Equal(policy.Delay(events, policy.ConstantPace(slow), fast, slack), time.Duration(0))
		is.True(!policy.WorthMoving(events, policy.ConstantPace(slow), policy.ConstantPace(fast), slack))
	}
	for _, events := range []float64{60, 100, 140} {
		is.True(policy.Delay(events, policy.ConstantPace(slow), fast, slack) > 0)
		is.True(policy.WorthMoving(events, policy.ConstantPace(slow), policy.ConstantPace(fast), slack))
	}
	// The longest item has no delay at the fastest engine.
	is.Equal(policy.Delay(140, policy.ConstantPace(fast), fast, slack), time.Duration(0))
	// Neither the length nor the pace is known.
	is.Equal(policy.Slack(0, fast), time.Duration(0))
	is.Equal(policy.Slack(140, 0), time.Duration(0))
}

func TestLatestStart(t *testing.T) {
	is := is.New(t)
	accepted := time.Unix(1000, 0)
	is.Equal(policy.LatestStart(accepted, 100, 40*time.Millisecond), accepted.Add(-4*time.Second))
	// Long work of a later job starts before short work of an earlier one.
	short := policy.LatestStart(accepted, 10, 40*time.Millisecond)
	is.True(policy.LatestStart(accepted.Add(2*time.Second), 100, 40*time.Millisecond).Before(short))
	is.Equal(policy.LatestStart(accepted, 0, 0), accepted)
}

// TestCriticalEvents checks which groups the trainer is expected to wait for.
func TestCriticalEvents(t *testing.T) {
	others := []policy.GroupLength{{Events: 10}, {Events: 165}, {Events: 40}, {Events: 20}}
	tests := []struct {
		name   string
		groups []policy.GroupLength
		wanted int
		events float64
	}{
		{"all", others, 4, 165},
		{"all but the longest", others, 3, 40},
		{"more than there are", others, 9, 165},
		{"a carried group of any length", append([]policy.GroupLength{{Events: 120, Carried: true}}, others...), 3, 120},
		{"no group wanted besides the carried one", append([]policy.GroupLength{{Events: 5, Carried: true}}, others...), 1, 5},
		{"none", nil, 3, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(policy.CriticalEvents(test.groups, test.wanted), test.events)
		})
	}
}
