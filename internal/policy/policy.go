// Package policy holds the decisions on whose work runs where: shares of slots, waves of weight loads, the choice of an
// engine for an interactive request, admission. Everything is a pure function of its arguments: no I/O, no clock, no
// randomness. The same code decides in a node, in virtual time and in a scale run.
package policy

import "github.com/cespare/xxhash/v2"

// hashOf mixes strings into 64 even bits. The separator keeps ("ab","c") apart from ("a","bc").
func hashOf(parts ...string) uint64 {
	digest := xxhash.New()
	for _, part := range parts {
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	return digest.Sum64()
}

// unitFraction maps a hash to [0, 1).
func unitFraction(hash uint64) float64 {
	const mantissaBits = 53
	return float64(hash>>(64-mantissaBits)) / (1 << mantissaBits)
}
