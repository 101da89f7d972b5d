package policy_test

import (
	"math/rand"
	"testing"
	"time"

	"github.com/hillfork/hillfork/internal/policy"
	"github.com/matryer/is"
)

// TestAPauseOfAllStreamsIsNoSlowness checks that a pace outlasts one pause of all streams of an engine, and follows an engine
// that has turned slow within as many events.
func TestAPauseOfAllStreamsIsNoSlowness(t *testing.T) {
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

// TestBufferedEventsMakeNoEngineQuick answers readers that stand still under load: what an engine sent meanwhile comes at once, and such an
// engine drew all work. Also, the word of another process on the usual pace counts until there is something measured.
func TestBufferedEventsMakeNoEngineQuick(t *testing.T) {
	const slow, learnt = 60 * time.Millisecond, 27 * time.Millisecond
	is := is.New(t)
	var pace policy.Pace
	is.Equal(pace.Outlook(time.Unix(1000, 0)), policy.Outlook{})
	pace.Seed(learnt)
	is.Equal(pace.Outlook(time.Unix(1000, 0)), policy.Steady(learnt))
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
		is.Equal(pace.Outlook(now), policy.Steady(slow))
	}
	pace.Seed(learnt)
	is.Equal(pace.Usual(), slow)
}

// TestForecast checks that a slowdown is taken to last as long again, and never to cost more than if it stayed.
func TestForecast(t *testing.T) {
	is := is.New(t)
	slowed := policy.Outlook{Now: 60 * time.Millisecond, Usual: 30 * time.Millisecond, Slowed: 600 * time.Millisecond}
	is.Equal(slowed.Time(5), 300*time.Millisecond)
	is.Equal(slowed.Time(10), 600*time.Millisecond)
	is.Equal(slowed.Time(100), 3300*time.Millisecond)
	is.Equal(policy.Steady(30*time.Millisecond).Time(100), 3*time.Second)
	is.Equal(policy.Outlook{}.Time(100), time.Duration(0))
}

// TestWaitingForAQuickEngineCostsTwiceAtMost plays work that begins on a slow engine once it has waited as long as that delays
// it, against what it would have chosen had it known when a quick engine becomes free.
func TestWaitingForAQuickEngineCostsTwiceAtMost(t *testing.T) {
	is := is.New(t)
	const quick, slow = 40 * time.Millisecond, 53 * time.Millisecond
	random := rand.New(rand.NewSource(1))
	for range 1000 {
		events := float64(1 + random.Intn(200))
		free := time.Duration(random.Intn(5000)) * time.Millisecond
		delay := policy.Delay(events, policy.Steady(slow), quick, 0)
		work := time.Duration(events * float64(quick))
		known := work + min(free, delay)
		// Until it has waited for the delay it declines the slow engine.
		waits := min(free, delay)
		for waited := time.Duration(0); waited < waits; waited += 10 * time.Millisecond {
			is.True(policy.Declines(waited, delay))
		}
		is.True(!policy.Declines(delay, delay))
		took := work + waits
		if free > delay {
			took += delay
		}
		is.True(took-work <= 2*(known-work))
	}
}

// TestShortSlowdownMovesNothing answers engines that other work on their machine slows down 2.5 times for stretches of some tenths of
// a second: work that leaves them has its prompt read again and finds the next engine slowed as well. Work of 4 s stays at an
// engine that was slow for 0.6 s, and leaves one that is slow for 6 s within 2 s; callers allow a step a few seconds.
func TestShortSlowdownMovesNothing(t *testing.T) {
	const (
		usual, slowed = 27 * time.Millisecond, 67 * time.Millisecond
		streams       = 4
		short, long   = 600 * time.Millisecond, 6 * time.Second
		events        = 150
		leavesIn      = 2 * time.Second
	)
	is := is.New(t)
	other := policy.Steady(usual)
	var pace policy.Pace
	now := time.Unix(1000, 0)
	// stream returns when the work would have moved, negative if never. Gaps are those of one stream each, and the streams of an engine
	// come one after the other.
	stream := func(gap, span time.Duration) (moved time.Duration) {
		moved = -1
		for passed := time.Duration(0); passed < span; passed += gap / streams {
			now = now.Add(gap / streams)
			pace.Add(gap, now)
			if moved < 0 && policy.WorthMoving(events, pace.Outlook(now), other, 0) {
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
	is.True(moved >= 0 && moved <= leavesIn)
	is.Equal(pace.Usual(), slowed)
	// Nothing came of it since: by then the slowdown may be over, but it has become the usual pace.
	is.Equal(pace.Outlook(now.Add(long)), policy.Steady(slowed))
}

func TestWorthMoving(t *testing.T) {
	tests := []struct {
		name        string
		events      float64
		pace, other time.Duration
		worth       bool
	}{
		{"much is left and the other is quicker", 60, 53 * time.Millisecond, 40 * time.Millisecond, true},
		{"little is left", 10, 53 * time.Millisecond, 40 * time.Millisecond, false},
		{"little is left on an engine that crawls", 5, 150 * time.Millisecond, 40 * time.Millisecond, true},
		{"paces differ as measurements do", 1000, 44 * time.Millisecond, 40 * time.Millisecond, false},
		{"the other is slower", 1000, 40 * time.Millisecond, 53 * time.Millisecond, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(policy.WorthMoving(test.events, policy.Steady(test.pace), policy.Steady(test.other), 0), test.worth)
		})
	}
}

// TestOnlyWorkBeyondItsSlackInsists answers steps of which a few items are much the longest: the others took the quick engines' places
// first come, waited for them beside slow engines that stood idle, and moved there, and none of that made their step end sooner.
func TestOnlyWorkBeyondItsSlackInsists(t *testing.T) {
	const quick, slow = 27 * time.Millisecond, 60 * time.Millisecond
	is := is.New(t)
	slack := policy.Slack(140, quick)
	for _, events := range []float64{1, 20, 45} {
		is.Equal(policy.Delay(events, policy.Steady(slow), quick, slack), time.Duration(0))
		is.True(!policy.WorthMoving(events, policy.Steady(slow), policy.Steady(quick), slack))
	}
	for _, events := range []float64{60, 100, 140} {
		is.True(policy.Delay(events, policy.Steady(slow), quick, slack) > 0)
		is.True(policy.WorthMoving(events, policy.Steady(slow), policy.Steady(quick), slack))
	}
	// The longest has none to lose at the quickest engine.
	is.Equal(policy.Delay(140, policy.Steady(quick), quick, slack), time.Duration(0))
	// Nothing is known.
	is.Equal(policy.Slack(0, quick), time.Duration(0))
	is.Equal(policy.Slack(140, 0), time.Duration(0))
}

func TestLatestStart(t *testing.T) {
	is := is.New(t)
	accepted := time.Unix(1000, 0)
	is.Equal(policy.LatestStart(accepted, 100, 40*time.Millisecond), accepted.Add(-4*time.Second))
	// Of a later job, long work comes before short work of the one before it.
	short := policy.LatestStart(accepted, 10, 40*time.Millisecond)
	is.True(policy.LatestStart(accepted.Add(2*time.Second), 100, 40*time.Millisecond).Before(short))
	is.Equal(policy.LatestStart(accepted, 0, 0), accepted)
}

// TestCriticalEvents checks which groups a trainer is taken to wait for.
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
		{"one that came again, however long", append([]policy.GroupLength{{Events: 120, Carried: true}}, others...), 3, 120},
		{"none is wanted beside it", append([]policy.GroupLength{{Events: 5, Carried: true}}, others...), 1, 5},
		{"none", nil, 3, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(policy.CriticalEvents(test.groups, test.wanted), test.events)
		})
	}
}
