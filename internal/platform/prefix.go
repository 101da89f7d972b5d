package platform

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// PrefixBlockTokens is how many tokens of a prompt an engine caches as one block.
const PrefixBlockTokens = 16

// PrefixHashes returns the hash of each whole block of a prompt; each hash covers all tokens up to the end of its
// block. These are the values of CacheEvent.Prefix.
func PrefixHashes(prompt []uint32) []uint64 {
	digest := xxhash.New()
	hashes := make([]uint64, 0, len(prompt)/PrefixBlockTokens)
	var encoded [4]byte
	for i, token := range prompt {
		binary.LittleEndian.PutUint32(encoded[:], token)
		_, _ = digest.Write(encoded[:])
		if (i+1)%PrefixBlockTokens == 0 {
			hashes = append(hashes, digest.Sum64())
		}
	}
	return hashes
}
