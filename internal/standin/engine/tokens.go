package engine

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// LengthMarker as the second token of a prompt says that the first token is the length of the answer.
const LengthMarker uint32 = 0x4c454e47

// LengthOf returns how many tokens the whole answer to prompt has. It is the first token of a prompt that carries
// LengthMarker, else derived from prompt and seed with a long tail; at least 1 and at most maxTokens.
func LengthOf(prompt []uint32, seed uint64, maxTokens int) int {
	length := derivedLength(promptHash(prompt, seed), maxTokens)
	if len(prompt) > 1 && prompt[1] == LengthMarker {
		length = int(prompt[0])
	}
	return min(max(length, 1), max(maxTokens, 1))
}

// derivedLength cubes a uniform number, so that few answers are far longer than the rest.
func derivedLength(hash uint64, maxTokens int) int {
	uniform := float64(hash>>11) / (1 << 53)
	return 1 + int(uniform*uniform*uniform*float64(maxTokens))
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
