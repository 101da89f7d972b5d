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
