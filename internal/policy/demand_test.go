package policy_test

import (
	"testing"
	"time"

	"github.com/hillfork/hillfork/internal/policy"
	"github.com/matryer/is"
)

// steps returns steps of equal size and duration, one per interval.
func steps(count int, interval time.Duration, tokens float64, items, longest time.Duration) []policy.Step {
	start := time.Unix(0, 0)
	made := make([]policy.Step, count)
	for i := range made {
		made[i] = policy.Step{At: start.Add(time.Duration(i) * interval), Tokens: tokens, Items: items, Longest: longest, Open: true}
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
	ended := steps(4, interval, 100_000, 80*time.Second, 4*time.Second)
	for i := range ended {
		ended[i].Open = false
	}
	tests := []struct {
		name  string
		steps map[string][]policy.Step
		now   time.Time
		want  policy.StepLoad
	}{
		{
			"measured steps", map[string][]policy.Step{"m": measured}, now,
			policy.StepLoad{Work: 80 * time.Second, Longest: 4 * time.Second, Interval: interval},
		},
		{
			"only recent steps count", map[string][]policy.Step{"m": growing}, time.Unix(40, 0),
			policy.StepLoad{Work: 80 * time.Second, Longest: 4 * time.Second, Interval: interval},
		},
		{
			"time per token of other models before its own steps are measured", map[string][]policy.Step{"m": unknown, "o": measured}, now,
			policy.StepLoad{Work: 40 * time.Second, Longest: 4 * time.Second, Interval: interval},
		},
		{
			"load of other models without own steps", map[string][]policy.Step{"m": nil, "o": measured}, now,
			policy.StepLoad{Work: 80 * time.Second, Longest: 4 * time.Second, Interval: interval},
		},
		{
			"no lower load for lateness", map[string][]policy.Step{"m": late, "o": measured, "p": measured}, now,
			policy.StepLoad{Work: 80 * time.Second, Longest: 4 * time.Second, Interval: interval},
		},
		{"tokens only, without any measurement", map[string][]policy.Step{"m": unknown[:1]}, now, policy.StepLoad{Work: 50 * time.Second}},
		{"nothing known", map[string][]policy.Step{"m": nil}, now, policy.StepLoad{}},
		{"an idle trainer", map[string][]policy.Step{"m": ended, "o": measured}, time.Unix(40, 0), policy.StepLoad{}},
		{
			"a trainer that has paused briefly", map[string][]policy.Step{"m": ended}, time.Unix(30, 0),
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

// TestLateModelKeepsItsEngines guards against a feedback loop: a model that falls behind requests steps less often, and
// lost engines for that when loads were based on the request rate.
func TestLateModelKeepsItsEngines(t *testing.T) {
	is := is.New(t)
	recorded := map[string][]policy.Step{
		"a": steps(8, 4*time.Second, 100_000, 80*time.Second, 4*time.Second),
		"b": steps(8, 4*time.Second, 100_000, 80*time.Second, 4*time.Second),
		"c": steps(8, 4*time.Second, 100_000, 80*time.Second, 4*time.Second),
	}
	for interval := 4 * time.Second; interval < 20*time.Second; interval += time.Second {
		count := int(32 * time.Second / interval)
		recorded["c"] = steps(count, interval, 100_000, 80*time.Second, 4*time.Second)
		loads := policy.StepLoads(recorded, time.Unix(32, 0))
		assigned := policy.AssignEngines(30, 6, []policy.StepLoad{loads["a"], loads["b"], loads["c"]})
		is.Equal(assigned, []int{10, 10, 10})
	}
}

// TestDelayedSubmissionIsNotIdle guards against a fault during outages of the store: steps that were accepted late,
// close to the next ones, made the interval look short, and a model whose next step could not be submitted yet counted
// as idle. It lost six of seven engines just before its step arrived.
func TestDelayedSubmissionIsNotIdle(t *testing.T) {
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
	// The model is idle once it has requested nothing for long.
	is.Equal(policy.StepLoads(steps, time.Unix(40, 0))["m"], policy.StepLoad{})
}

// TestLatenessOfTrainers has a trainer request its steps later and later while another one keeps its schedule. The
// lateness of its last step counts, up to one interval, so that engines go to the trainer that waits. A trainer that was
// late once and has caught up has no lateness.
func TestLatenessOfTrainers(t *testing.T) {
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
