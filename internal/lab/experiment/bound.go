package experiment

import (
	"time"

	"github.com/hillfork/hillfork/internal/lab/trace"
	"github.com/hillfork/hillfork/internal/lab/workload"
)

// StepWork is what one step asks of a pool.
type StepWork struct {
	// Tokens is the sum of the lengths of all answers, Longest the greatest of them.
	Tokens  int
	Longest int
}

// PoolSpeed is how fast a pool can write at best.
type PoolSpeed struct {
	// TokensPerSecond is the rate of all engines with all slots in use.
	TokensPerSecond float64
	// StreamToken is the time of one token of a stream that runs alone on its engine.
	StreamToken time.Duration
}

// BoundInput is all that the lower bound depends on.
type BoundInput struct {
	Speed     PoolSpeed
	TrainTime time.Duration
	// StepsAhead is how many steps beyond the one wanted have been submitted.
	StepsAhead int
	// MaxVersionsBehind is the staleness bound.
	MaxVersionsBehind int
	Steps             []StepWork
}

// IdleBound is a lower bound of the trainer's idle time over all steps that no schedule can beat, even one that knows all
// lengths. docs/notes/0008-bound.md derives it.
func IdleBound(input BoundInput) time.Duration {
	count := len(input.Steps)
	wanted := make([]time.Duration, count+1)
	started := make([]time.Duration, count)
	idle := time.Duration(0)
	for step := range count {
		submitted := wanted[max(0, step-input.StepsAhead)]
		fresh := wanted[max(0, step-input.MaxVersionsBehind)]
		started[step] = max(submitted, fresh)
		ready := max(wanted[step], earliestReady(input, started, step))
		idle += ready - wanted[step]
		wanted[step+1] = ready + input.TrainTime
	}
	return idle
}

// earliestReady is the earliest time at which all samples of a step can be whole.
func earliestReady(input BoundInput, started []time.Duration, step int) time.Duration {
	ready := started[step] + time.Duration(input.Steps[step].Longest)*input.Speed.StreamToken
	tokens := 0
	for first := step; first >= 0; first-- {
		tokens += input.Steps[first].Tokens
		work := time.Duration(float64(tokens) / input.Speed.TokensPerSecond * float64(time.Second))
		ready = max(ready, started[first]+work)
	}
	return ready
}

// speedOf is the speed of the pools of a topology.
func speedOf(topology *trace.Topology, pools []string) PoolSpeed {
	var speed PoolSpeed
	for _, group := range topology.Engines {
		for _, pool := range pools {
			if group.Pool != pool {
				continue
			}
			full := time.Duration(group.TokenTime) + time.Duration(group.Slots)*time.Duration(group.StreamTime)
			speed.TokensPerSecond += float64(group.Count*group.Slots) / full.Seconds()
			alone := time.Duration(group.TokenTime) + time.Duration(group.StreamTime)
			if speed.StreamToken == 0 || alone < speed.StreamToken {
				speed.StreamToken = alone
			}
		}
	}
	return speed
}

// stepsOf draws the work of a trainer's steps.
func stepsOf(trainer trace.Trainer, seed uint64) []StepWork {
	drawn := workload.NewSteps(trainer, seed)
	steps := make([]StepWork, trainer.Steps)
	for i := range steps {
		for _, length := range drawn.Lengths(uint64(i + 1)) {
			steps[i].Tokens += length
			steps[i].Longest = max(steps[i].Longest, length)
		}
	}
	return steps
}
