package engine

import (
	"encoding/binary"
	"math"

	"github.com/cespare/xxhash/v2"
)

// Markers, as the second token of a prompt, say that the prompt sets the length of its answers.
const (
	// LengthMarker says that the first token is the length of every answer.
	LengthMarker uint32 = 0x4c454e47
	// SpreadMarker says that lengths are log-normal over the seeds: the first token is the median, the third the standard
	// deviation of the natural logarithm in thousandths.
	SpreadMarker uint32 = 0x53505244
)

// LengthOf returns how many tokens the whole answer to prompt has. It is what the prompt's marker says, else derived
// from prompt and seed with a long tail; at least 1 and at most maxTokens.
func LengthOf(prompt []uint32, seed uint64, maxTokens int) int {
	length := wantedLength(prompt, promptHash(prompt, seed), maxTokens)
	return min(max(length, 1), max(maxTokens, 1))
}

func wantedLength(prompt []uint32, hash uint64, maxTokens int) int {
	switch {
	case len(prompt) > 1 && prompt[1] == LengthMarker:
		return int(prompt[0])
	case len(prompt) > 2 && prompt[1] == SpreadMarker:
		sigma := float64(prompt[2]) / 1000
		return int(min(float64(prompt[0])*math.Exp(sigma*normal(hash)), float64(maxTokens)))
	default:
		// Cubing a uniform number makes few answers far longer than the rest.
		return 1 + int(math.Pow(uniform(hash), 3)*float64(maxTokens))
	}
}

// uniform makes a number from 0 to 1 of a hash.
func uniform(hash uint64) float64 {
	return float64(hash>>11) / (1 << 53)
}

// normal makes a standard normal number of a hash, by Box and Muller.
func normal(hash uint64) float64 {
	radius := math.Sqrt(-2 * math.Log(1-uniform(hash)))
	return radius * math.Cos(2*math.Pi*uniform(hash*0x9e3779b97f4a7c15))
}

// TokenAt returns the token at index of the answer to prompt under seed, whichever engine or version produces it.
func TokenAt(prompt []uint32, seed uint64, index int) uint32 {
	return tokenAt(promptHash(prompt, seed), index)
}

// ExpectedTokens returns the whole answer to prompt.
func ExpectedTokens(prompt []uint32, seed uint64, maxTokens int) []uint32 {
	hash := promptHash(prompt, seed)
	return tokensBetween(hash, 0, LengthOf(prompt, seed, maxTokens))
}

// ContentOf identifies a request by what it asks for, whatever ids it goes by.
func ContentOf(prompt []uint32, seed uint64) uint64 { return promptHash(prompt, seed) }

func promptHash(prompt []uint32, seed uint64) uint64 {
	encoded := make([]byte, 0, 8+4*len(prompt))
	encoded = binary.LittleEndian.AppendUint64(encoded, seed)
	for _, token := range prompt {
		encoded = binary.LittleEndian.AppendUint32(encoded, token)
	}
	return xxhash.Sum64(encoded)
}

// tokenAt mixes by splitmix64.
func tokenAt(hash uint64, index int) uint32 {
	mixed := hash + uint64(index+1)*0x9e3779b97f4a7c15
	mixed = (mixed ^ mixed>>30) * 0xbf58476d1ce4e5b9
	mixed = (mixed ^ mixed>>27) * 0x94d049bb133111eb
	return uint32(mixed >> 32)
}

func tokensBetween(hash uint64, from, to int) []uint32 {
	tokens := make([]uint32, 0, max(to-from, 0))
	for index := from; index < to; index++ {
		tokens = append(tokens, tokenAt(hash, index))
	}
	return tokens
}
