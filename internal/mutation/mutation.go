// Package mutation switches protective mechanisms of a node off, one by one, so that a test can show that a trace notices.
// Only code sets a Set, through node.Config: no setting, flag or message does. In production the Set is empty, and asking
// it costs one comparison of bits.
package mutation

// Set is a set of mechanisms that are switched off. The zero value switches off none.
type Set uint32

// Mechanisms that can be switched off.
const (
	// NoEpochCheck folds claims and records of any epoch as if they were of the current one.
	NoEpochCheck Set = 1 << iota
	// NoSequenceCheck folds repeated records again.
	NoSequenceCheck
	// NoStalenessAtHandover hands samples over whatever their age.
	NoStalenessAtHandover
	// NoStalenessAtCommit records answers whatever their age.
	NoStalenessAtCommit
	// NoReplacement keeps answers that have passed the staleness bound.
	NoReplacement
	// NoStartRecord dispatches unsafe requests without a Start in the log.
	NoStartRecord
	// RetryUnsafe sends an unsafe request to another engine when contact with the first was lost.
	RetryUnsafe
	// NotRunWithoutProof tells that a request was not run when contact with its engine was lost.
	NotRunWithoutProof
	// NoBundleConfirmation hands samples over without reading the bundle stream to its tail.
	NoBundleConfirmation
	// VersionsFromOrders names the version that the engine was ordered to load, in place of the one its tokens name.
	VersionsFromOrders
	// KeepForeignChunks takes chunks of other answers and attempts.
	KeepForeignChunks
	// KeepRepeatedChunks takes chunks in the order in which they come, repeats included.
	KeepRepeatedChunks
	// IgnoreLeaving gives engines work after they said that they leave.
	IgnoreLeaving
	// SkipDrain ends a node on a planned stop without finishing what is in flight.
	SkipDrain
	// IgnoreLearned takes no bundle from peers.
	IgnoreLearned
	// BundleReverts puts the bundle that the log tells in force although a newer one was learned.
	BundleReverts
)

// Has tells whether all mechanisms of other are switched off.
func (s Set) Has(other Set) bool { return s&other == other }
