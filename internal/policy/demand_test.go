package policy_test

import (
	"testing"
	"time"

	"github.com/hillfork/hillfork/internal/policy"
	"github.com/matryer/is"
)

// steps returns steps of equal size, one each interval, that took so long.
func steps(count int, interval time.Duration, tokens float64, items, longest time.Duration) []policy.Step {
	began := time.Unix(0, 0)
	made := make([]policy.Step, count)
	for i := range made {
		made[i] = policy.Step{At: began.Add(time.Duration(i) * interval), Tokens: tokens, Items: items, Longest: longest, Open: true}
	}
	return made
}

func TestStepLoads(t *testing.T) {
	const interval = 4 * time.Second
	now := time.Unix(20, 0)
	measured := steps(4, interval, 100_000, 80*time.Second, 4*time.Second)
	unknown := steps(4, interval, 50_000, 0, 0)
	growing := steps(8, interval, 100_000, 80*time.Second, 4*time.Second)
	for i := range growing {
		if i < 4 {
			growing[i].Tokens, growing[i].Items = 10_000, 8*time.Second
		}
	}
	late := steps(4, 6*time.Second, 100_000, 80*time.Second, 4*time.Second)
	over := steps(4, interval, 100_000, 80*time.Second, 4*time.Second)
	for i := range over {
		over[i].Open = false
	}
	tests := []struct {
		name  string
		steps map[string][]policy.Step
		now   time.Time
		want  policy.StepLoad
	}{
		{
			"what its steps took", map[string][]policy.Step{"m": measured}, now,
			policy.StepLoad{Work: 80 * time.Second, Longest: 4 * time.Second, Interval: interval},
		},
		{
			"the last steps alone", map[string][]policy.Step{"m": growing}, time.Unix(40, 0),
			policy.StepLoad{Work: 80 * time.Second, Longest: 4 * time.Second, Interval: interval},
		},
		{
			"what others took a token, before its own steps have told", map[string][]policy.Step{"m": unknown, "o": measured}, now,
			policy.StepLoad{Work: 40 * time.Second, Longest: 4 * time.Second, Interval: interval},
		},
		{
			"as much as the others, if nothing was asked", map[string][]policy.Step{"m": nil, "o": measured}, now,
			policy.StepLoad{Work: 80 * time.Second, Longest: 4 * time.Second, Interval: interval},
		},
		{
			"no less for being late", map[string][]policy.Step{"m": late, "o": measured, "p": measured}, now,
			policy.StepLoad{Work: 80 * time.Second, Longest: 4 * time.Second, Interval: interval},
		},
		{"tokens, where nobody knows more", map[string][]policy.Step{"m": unknown[:1]}, now, policy.StepLoad{Work: 50 * time.Second}},
		{"nothing known", map[string][]policy.Step{"m": nil}, now, policy.StepLoad{}},
		{"a trainer that rests", map[string][]policy.Step{"m": over, "o": measured}, time.Unix(40, 0), policy.StepLoad{}},
		{
			"a trainer that rests for a moment", map[string][]policy.Step{"m": over}, time.Unix(30, 0),
			policy.StepLoad{Work: 80 * time.Second, Longest: 4 * time.Second, Interval: interval},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(policy.StepLoads(test.steps, test.now)["m"], test.want)
		})
	}
}

// TestAModelThatFallsBehindKeepsItsEngines plays the spiral of a trial: the model that is behind asks more seldom with every round.
func TestAModelThatFallsBehindKeepsItsEngines(t *testing.T) {
	is := is.New(t)
	asked := map[string][]policy.Step{
		"a": steps(8, 4*time.Second, 100_000, 80*time.Second, 4*time.Second),
		"b": steps(8, 4*time.Second, 100_000, 80*time.Second, 4*time.Second),
		"c": steps(8, 4*time.Second, 100_000, 80*time.Second, 4*time.Second),
	}
	for interval := 4 * time.Second; interval < 20*time.Second; interval += time.Second {
		count := int(32 * time.Second / interval)
		asked["c"] = steps(count, interval, 100_000, 80*time.Second, 4*time.Second)
		loads := policy.StepLoads(asked, time.Unix(32, 0))
		dealt := policy.Deal(30, 6, []policy.StepLoad{loads["a"], loads["b"], loads["c"]})
		is.Equal(dealt, []int{10, 10, 10})
	}
}

// TestATrainerThatCannotHandInDoesNotRest is the fault found on days on which the store is away: steps that were accepted late, close to
// the next ones, made the interval look short, and a model whose next step could not be handed in yet was taken to rest. It lost six of
// seven engines a moment before its step came.
func TestATrainerThatCannotHandInDoesNotRest(t *testing.T) {
	is := is.New(t)
	at := func(seconds ...float64) []policy.Step {
		var steps []policy.Step
		for _, second := range seconds {
			steps = append(steps, policy.Step{
				At: time.Unix(0, 0).Add(time.Duration(second * float64(time.Second))), Tokens: 1000, Items: 50 * time.Second, Longest: 4 * time.Second,
			})
		}
		return steps
	}
	steps := map[string][]policy.Step{"m": at(0, 6.4, 8), "n": at(0, 6.4, 8), "o": at(0, 6.4, 8, 17.2, 17.3)}
	loads := policy.StepLoads(steps, time.Unix(18, 0))
	is.True(loads["m"].Work > 0)
	is.Equal(loads["m"].Interval, 4*time.Second)
	// It does rest when it has asked for nothing for long.
	is.Equal(policy.StepLoads(steps, time.Unix(40, 0))["m"], policy.StepLoad{})
}

// TestATrainerThatIsBehind answers a trainer whose steps come later and later while another keeps its schedule: the lateness of its last
// step counts, up to one interval, so that engines go where somebody waits. One that was late once and has caught up counts as before.
func TestATrainerThatIsBehind(t *testing.T) {
	is := is.New(t)
	const interval = 4 * time.Second
	now := time.Unix(30, 0)
	at := func(seconds ...int) []policy.Step {
		made := steps(len(seconds), interval, 100_000, 80*time.Second, 4*time.Second)
		for i, second := range seconds {
			made[i].At = time.Unix(int64(second), 0)
		}
		return made
	}
	loads := policy.StepLoads(map[string][]policy.Step{
		"in time": at(0, 4, 8, 12, 16, 20, 24), "behind": at(0, 4, 8, 13, 18, 23), "far behind": at(0, 4, 11, 20, 29), "caught up": at(0, 4, 11, 15, 17, 20, 24),
	}, now)
	is.Equal(loads["in time"].Behind, time.Duration(0))
	is.Equal(loads["behind"].Behind, 3*time.Second)
	is.Equal(loads["far behind"].Behind, interval)
	is.Equal(loads["caught up"].Behind, time.Duration(0))
}
