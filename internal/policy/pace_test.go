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
	is.Equal(pace.Value(), time.Duration(0))
	for range 100 {
		pace.Add(40 * time.Millisecond)
	}
	for range 12 {
		pace.Add(900 * time.Millisecond)
	}
	is.Equal(pace.Value(), 40*time.Millisecond)
	for range 20 {
		pace.Add(140 * time.Millisecond)
	}
	is.Equal(pace.Value(), 140*time.Millisecond)
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
		delay := policy.Delay(events, slow, quick)
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
			is.Equal(policy.WorthMoving(test.events, test.pace, test.other), test.worth)
		})
	}
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
