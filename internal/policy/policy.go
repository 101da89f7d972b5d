// Package policy makes the scheduling decisions: shares of slots, waves of weight loads, the choice of an engine for an
// interactive request, and admission. Everything is a pure function of its arguments: no I/O, no clock, no randomness.
// The same code runs in a node, in virtual time and in scale tests.
package policy

import "github.com/cespare/xxhash/v2"

// hashOf hashes strings to 64 uniformly distributed bits. The separator distinguishes ("ab","c") from ("a","bc").
func hashOf(parts ...string) uint64 {
	digest := xxhash.New()
	for _, part := range parts {
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	return digest.Sum64()
}
