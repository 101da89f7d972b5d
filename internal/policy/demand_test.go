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
