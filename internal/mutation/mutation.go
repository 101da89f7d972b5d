// Package mutation disables safety mechanisms of a node one by one, so that a test can show that checking a trace detects
// the missing mechanism. A Set is only set in code, through node.Config, never by a setting, flag or message. In production
// the Set is empty, and a check of it costs one bit comparison.
package mutation

// Set is a set of disabled mechanisms. The zero value disables none.
type Set uint32

// Mechanisms that can be disabled.
const (
	// NoEpochCheck applies claims and records of any epoch as if they belonged to the current one.
	NoEpochCheck Set = 1 << iota
	// NoSequenceCheck applies repeated records again.
	NoSequenceCheck
	// NoStalenessAtHandover hands samples over regardless of their staleness.
	NoStalenessAtHandover
	// NoStalenessAtCommit records answers regardless of their staleness.
	NoStalenessAtCommit
	// NoReplacement keeps answers that are over the staleness bound.
	NoReplacement
	// NoStartRecord dispatches unsafe requests without writing a Start record to the log.
	NoStartRecord
	// RetryUnsafe sends an unsafe request to another engine after contact with the first was lost.
	RetryUnsafe
	// NotRunWithoutProof reports a request as not run after contact with its engine was lost.
	NotRunWithoutProof
	// NoBundleConfirmation hands samples over without first reading the bundle stream to its tail.
	NoBundleConfirmation
	// VersionsFromOrders records the version that the engine was ordered to load instead of the one stated with its tokens.
	VersionsFromOrders
	// KeepForeignChunks accepts chunks of other answers and attempts.
	KeepForeignChunks
	// KeepRepeatedChunks accepts chunks in the order of arrival, including repeated ones.
	KeepRepeatedChunks
	// IgnoreLeaving assigns work to engines after they announced that they are leaving.
	IgnoreLeaving
	// SkipDrain makes a planned stop end the node without finishing the work in flight.
	SkipDrain
	// IgnoreLearned accepts no bundles from peers.
	IgnoreLearned
	// BundleReverts puts the bundle of the log in force although a newer one was learned from a peer.
	BundleReverts
)

// Has reports whether all mechanisms of other are disabled.
func (s Set) Has(other Set) bool { return s&other == other }
