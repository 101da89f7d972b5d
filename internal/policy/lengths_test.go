package policy_test

import (
	"math"
	"math/rand"
	"testing"

	"github.com/hillfork/hillfork/internal/policy"
	"github.com/matryer/is"
)

// TestLeft learns from items whose estimates are off by a factor drawn at random, and checks what is told of one that runs: it
// is right on average, grows less than what has come, and never falls to nothing.
func TestLeft(t *testing.T) {
	is := is.New(t)
	var lengths policy.Lengths
	is.True(!lengths.Known())
	is.Equal(lengths.Left(1000, 0), 0.0)
	random := rand.New(rand.NewSource(1))
	const tokensPerEvent = 50
	var ratios []float64
	for range 256 {
		ratio := math.Exp(0.5 * random.NormFloat64())
		ratios = append(ratios, ratio)
		lengths.Learn(100*tokensPerEvent, int(100*ratio))
	}
	is.True(lengths.Known())
	mean := 0.0
	for _, ratio := range ratios {
		mean += 100 * ratio / float64(len(ratios))
	}
	is.True(math.Abs(lengths.Left(100*tokensPerEvent, 0)-mean) < 2)
	is.True(math.Abs(lengths.Left(10*tokensPerEvent, 0)-mean/10) < 1)
	// An item that has come to its estimate is one of the longer half, and has more left than its estimate tells.
	is.True(lengths.Left(100*tokensPerEvent, 100) > 20)
	for made := range 2000 {
		is.True(lengths.Left(100*tokensPerEvent, made) >= 1)
	}
	is.Equal(lengths.Left(0, 10), 0.0)
}

// TestLengthsFollowTheModel checks that what was learnt long ago counts no more.
func TestLengthsFollowTheModel(t *testing.T) {
	is := is.New(t)
	var lengths policy.Lengths
	for range 300 {
		lengths.Learn(100, 10)
	}
	for range 256 {
		lengths.Learn(100, 30)
	}
	is.True(math.Abs(lengths.Left(100, 0)-30) < 1e-9)
}

// TestNoItemIsExpectedToBeLongerThanAny answers engines that end answers at some number of tokens: ratios that short items came to made
// steps out to last twice as long as any item does, so that items which held them seemed to have time.
func TestNoItemIsExpectedToBeLongerThanAny(t *testing.T) {
	const most = 145
	is := is.New(t)
	var lengths policy.Lengths
	random := rand.New(rand.NewSource(1))
	for range 256 {
		estimate := 10 + random.Intn(100)
		lengths.Learn(estimate, min(most, max(1, int(float64(estimate)*math.Exp(0.8*random.NormFloat64())))))
	}
	is.True(lengths.Left(20, 0) < 60)
	is.Equal(lengths.Left(1000, 0), float64(most))
	is.Equal(lengths.Left(1000, 100), float64(most-100))
	// What goes beyond it all the same has something left.
	is.True(lengths.Left(1000, 2*most) >= 1)
}
