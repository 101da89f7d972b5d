package stepledger

import (
	"encoding/binary"
	"errors"
	"math"
)

// errTokens is returned for a malformed packed token sequence.
var errTokens = errors.New("packed tokens are malformed")

// packTokens encodes tokens as unsigned varints, which take up to 3 bytes per token for vocabularies of up to 2 million
// tokens.
func packTokens(tokens []uint32) []byte {
	packed := make([]byte, 0, 3*len(tokens))
	for _, token := range tokens {
		packed = binary.AppendUvarint(packed, uint64(token))
	}
	return packed
}

// unpackTokens decodes tokens encoded by packTokens.
func unpackTokens(packed []byte) ([]uint32, error) {
	tokens := make([]uint32, 0, countTokens(packed))
	for len(packed) > 0 {
		token, size := binary.Uvarint(packed)
		if size <= 0 || token > math.MaxUint32 {
			return nil, errTokens
		}
		tokens = append(tokens, uint32(token))
		packed = packed[size:]
	}
	return tokens, nil
}

// countTokens returns the number of tokens in a well-formed packed sequence.
func countTokens(packed []byte) int {
	count := 0
	for _, b := range packed {
		if b < 0x80 {
			count++
		}
	}
	return count
}

// validTokens reports whether packed can be decoded.
func validTokens(packed []byte) bool {
	for len(packed) > 0 {
		token, size := binary.Uvarint(packed)
		if size <= 0 || token > math.MaxUint32 {
			return false
		}
		packed = packed[size:]
	}
	return true
}
