package policy_test

import (
	"math"
	"math/rand"
	"testing"

	"github.com/hillfork/hillfork/internal/policy"
	"github.com/matryer/is"
)

// TestLeft adds items whose estimates are off by a random factor. The predicted remainder must be right on average, must
// shrink more slowly than events arrive, and must never reach 0.
func TestLeft(t *testing.T) {
	is := is.New(t)
	var lengths policy.Lengths
	is.True(!lengths.Known())
	is.Equal(lengths.Remaining(1000, 0), 0.0)
	random := rand.New(rand.NewSource(1))
	const tokensPerEvent = 50
	var ratios []float64
	for range 256 {
		ratio := math.Exp(0.5 * random.NormFloat64())
		ratios = append(ratios, ratio)
		lengths.Observe(100*tokensPerEvent, int(100*ratio))
	}
	is.True(lengths.Known())
	mean := 0.0
	for _, ratio := range ratios {
		mean += 100 * ratio / float64(len(ratios))
	}
	is.True(math.Abs(lengths.Remaining(100*tokensPerEvent, 0)-mean) < 2)
	is.True(math.Abs(lengths.Remaining(10*tokensPerEvent, 0)-mean/10) < 1)
	// An item that has reached its estimate is in the longer half and has more left than its estimate says.
	is.True(lengths.Remaining(100*tokensPerEvent, 100) > 20)
	for made := range 2000 {
		is.True(lengths.Remaining(100*tokensPerEvent, made) >= 1)
	}
	is.Equal(lengths.Remaining(0, 10), 0.0)
}

// TestLengthsForgetOldItems checks that old items no longer count, so that expected lengths follow the model.
func TestLengthsForgetOldItems(t *testing.T) {
	is := is.New(t)
	var lengths policy.Lengths
	for range 300 {
		lengths.Observe(100, 10)
	}
	for range 256 {
		lengths.Observe(100, 30)
	}
	is.True(math.Abs(lengths.Remaining(100, 0)-30) < 1e-9)
}

// TestExpectedLengthIsCapped covers engines that end responses at some number of tokens. The ratios of short items made
// steps seem twice as long as any item can be, so that the items on their critical path seemed to have time.
func TestExpectedLengthIsCapped(t *testing.T) {
	const maxEvents = 145
	is := is.New(t)
	var lengths policy.Lengths
	random := rand.New(rand.NewSource(1))
	for range 256 {
		estimate := 10 + random.Intn(100)
		lengths.Observe(estimate, min(maxEvents, max(1, int(float64(estimate)*math.Exp(0.8*random.NormFloat64())))))
	}
	is.True(lengths.Remaining(20, 0) < 60)
	is.Equal(lengths.Remaining(1000, 0), float64(maxEvents))
	is.Equal(lengths.Remaining(1000, 100), float64(maxEvents-100))
	// An item beyond the cap still has something left.
	is.True(lengths.Remaining(1000, 2*maxEvents) >= 1)
}
