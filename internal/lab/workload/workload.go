// Package workload draws the work of a trace from its seed: prompts of training steps with long-tailed answer lengths
// that are correlated within a prompt, and interactive requests that arrive as a Poisson process. The same trace gives
// the same work whatever serves it.
package workload

import (
	"encoding/binary"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hillfork/hillfork/internal/lab/trace"
	"github.com/hillfork/hillfork/internal/standin/engine"
)

// headerTokens is how many tokens at the start of a prompt set the length of its answers, as the engine stand-in reads
// them: median, marker, spread in thousandths.
const headerTokens = 3

// spreadUnit is what the spread in a prompt's header is counted in.
const spreadUnit = 1000

// vocabulary bounds the random tokens of prompts.
const vocabulary = 1 << 15

// Steps makes the prompts of a trainer's steps.
type Steps struct {
	trainer trace.Trainer
	seed    uint64
}

// NewSteps returns the steps of a trainer under the trace's seed.
func NewSteps(trainer trace.Trainer, seed uint64) *Steps {
	return &Steps{trainer: trainer, seed: seed}
}

// Prompts returns the prompts of a step, the same at every call.
func (s *Steps) Prompts(step uint64) [][]uint32 {
	random := stream(s.seed, s.trainer.Workload, step)
	prompts := make([][]uint32, s.trainer.Prompts)
	for i := range prompts {
		prompts[i] = drawPrompt(random, s.trainer.Lengths, s.trainer.PromptTokens, nil)
	}
	return prompts
}

// Lengths returns the lengths of all answers of a step, in tokens, by sample.
func (s *Steps) Lengths(step uint64) []int {
	var lengths []int
	for prompt, tokens := range s.Prompts(step) {
		for sample := range s.trainer.SamplesPerPrompt {
			index := prompt*s.trainer.SamplesPerPrompt + sample
			seed := SampleSeed(s.trainer.Workload, step, index)
			lengths = append(lengths, engine.LengthOf(tokens, seed, s.trainer.Lengths.Max))
		}
	}
	return lengths
}

// Request is one interactive request.
type Request struct {
	// At is the time since the start of the trace.
	At     time.Duration
	Prompt []uint32
	Seed   uint64
	Unsafe bool
}

// Requests draws all requests of a caller within duration, in order of time.
func Requests(caller trace.Caller, number int, seed uint64, duration time.Duration) []Request {
	random := stream(seed, caller.Workload, uint64(number))
	prefixes := drawPrefixes(random, caller)
	var requests []Request
	at := time.Duration(0)
	busiest := 1.0
	if len(caller.RateProfile) > 0 {
		busiest = slices.Max(caller.RateProfile)
	}
	for {
		at += time.Duration(random.ExpFloat64() / (caller.RatePerSec * busiest) * float64(time.Second))
		if at >= duration {
			return requests
		}
		if thinned(random, caller.RateProfile, busiest, float64(at)/float64(duration)) {
			continue
		}
		requests = append(requests, Request{
			At:     at,
			Prompt: drawPrompt(random, caller.Lengths, caller.PromptTokens, prefixes),
			Seed:   random.Uint64(),
			Unsafe: random.Float64() < caller.UnsafeShare,
		})
	}
}

// thinned leaves arrivals of the busiest rate out, so that those left follow the profile. passed is the part of the trace's
// duration that has passed.
func thinned(random *rand.Rand, profile []float64, busiest, passed float64) bool {
	if len(profile) == 0 {
		return false
	}
	return random.Float64()*busiest >= profile[int(passed*float64(len(profile)))]
}

// drawPrefixes draws the beginnings that requests share, headers included.
func drawPrefixes(random *rand.Rand, caller trace.Caller) [][]uint32 {
	prefixes := make([][]uint32, caller.Prefixes)
	for i := range prefixes {
		header := drawHeader(random, caller.Lengths)
		prefixes[i] = appendRandom(random, header, max(caller.SharedPrefix, headerTokens))
	}
	return prefixes
}

// drawPrompt draws a prompt of size tokens, the header included, which begins with one of prefixes where there are any.
func drawPrompt(random *rand.Rand, lengths trace.Lengths, size int, prefixes [][]uint32) []uint32 {
	var beginning []uint32
	if len(prefixes) > 0 {
		beginning = prefixes[random.IntN(len(prefixes))]
	} else {
		beginning = drawHeader(random, lengths)
	}
	prompt := make([]uint32, len(beginning), max(size, len(beginning)+1))
	copy(prompt, beginning)
	return appendRandom(random, prompt, max(size, len(beginning)+1))
}

func drawHeader(random *rand.Rand, lengths trace.Lengths) []uint32 {
	median := float64(lengths.Median) * math.Exp(lengths.PromptSigma*random.NormFloat64())
	bounded := math.Min(math.Max(median, 1), float64(lengths.Max))
	spread := uint32(lengths.SampleSigma * spreadUnit)
	return []uint32{uint32(bounded), engine.SpreadMarker, spread}
}

func appendRandom(random *rand.Rand, tokens []uint32, size int) []uint32 {
	for len(tokens) < size {
		tokens = append(tokens, uint32(random.IntN(vocabulary)))
	}
	return tokens
}

// stream returns the random numbers of one part of a trace.
func stream(seed uint64, name string, number uint64) *rand.Rand {
	return rand.New(rand.NewPCG(seed^xxhash.Sum64String(name), number))
}

// SampleSeed is the seed under which a sample is to be generated, as docs/notes/0004-step-ledger.md lays it down: the
// xxhash of the workload's name, the step and the index, the numbers as big-endian 64-bit words. It stands here a second
// time so that a change in the ledger does not go unseen.
func SampleSeed(name string, step uint64, index int) uint64 {
	hash := xxhash.New()
	_, _ = hash.WriteString(name)
	numbers := binary.BigEndian.AppendUint64(nil, step)
	numbers = binary.BigEndian.AppendUint64(numbers, uint64(index))
	_, _ = hash.Write(numbers)
	return hash.Sum64()
}
