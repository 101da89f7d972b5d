package experiment

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestIdleBound(t *testing.T) {
	speed := PoolSpeed{TokensPerSecond: 100, StreamToken: 100 * time.Millisecond}
	even := []StepWork{{Tokens: 1000, Longest: 10}, {Tokens: 1000, Longest: 10}, {Tokens: 1000, Longest: 10}}
	tests := []struct {
		name  string
		input BoundInput
		idle  time.Duration
	}{
		{"no steps", BoundInput{Speed: speed}, 0},
		{"each step waits for its work", BoundInput{Steps: even}, 30 * time.Second},
		{"look-ahead hides work behind training",
			BoundInput{Steps: even, StepsAhead: 1, MaxVersionsBehind: 1, TrainTime: 4 * time.Second}, 22 * time.Second},
		{"a staleness bound of zero undoes look-ahead",
			BoundInput{Steps: even, StepsAhead: 1, TrainTime: 4 * time.Second}, 30 * time.Second},
		{"the longest sample", BoundInput{Steps: []StepWork{{Tokens: 1000, Longest: 200}}}, 20 * time.Second},
		{"a long sample of a later step is hidden as well", BoundInput{
			Steps:      []StepWork{{Tokens: 1000, Longest: 10}, {Tokens: 200, Longest: 150}},
			StepsAhead: 1, MaxVersionsBehind: 1, TrainTime: 4 * time.Second,
		}, 11 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			test.input.Speed = speed
			is.Equal(IdleBound(test.input), test.idle)
		})
	}
}
