package workload

import (
	"testing"
	"time"

	"github.com/hillfork/hillfork/internal/lab/trace"
	"github.com/matryer/is"
)

func TestRequestsFollowTheRateProfile(t *testing.T) {
	is := is.New(t)
	caller := trace.Caller{
		RatePerSec: 10, RateProfile: []float64{0, 1, 0.25, 2}, Lengths: trace.Lengths{Median: 10, Max: 20},
	}
	requests := Requests(caller, 0, 1, 400*time.Second)
	var counts [4]int
	for _, request := range requests {
		counts[request.At/(100*time.Second)]++
	}
	is.Equal(counts[0], 0)
	for i, expected := range []int{0, 1000, 250, 2000} {
		is.True(counts[i] > expected*8/10-1 && counts[i] < expected*12/10+1) // the seed is fixed
	}
}

func TestLengthsAreCorrelatedWithinAPrompt(t *testing.T) {
	is := is.New(t)
	trainer := trace.Trainer{
		Workload: "w", Prompts: 200, SamplesPerPrompt: 8, PromptTokens: 8,
		Lengths: trace.Lengths{Median: 500, PromptSigma: 0.8, SampleSigma: 0.2, Max: 1 << 20},
	}
	lengths := NewSteps(trainer, 1).Lengths(1)
	is.Equal(len(lengths), 1600)
	within, across := 0.0, 0.0
	for i := 0; i+8 < len(lengths); i += 8 {
		within += ratio(lengths[i], lengths[i+1])
		across += ratio(lengths[i], lengths[i+8])
	}
	is.True(across > 2*within)
}

// ratio is how many times the greater length is longer, less one.
func ratio(a, b int) float64 { return float64(max(a, b))/float64(max(min(a, b), 1)) - 1 }
