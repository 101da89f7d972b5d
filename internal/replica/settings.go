// Package replica puts together the process that runs on every machine of a platform that gives a store, engines that record
// themselves there, and callers who come over a front address. Every replica does the same: it follows the store, meets
// callers, and owns what the group deals it. It knows no protocol; an adapter fills the interfaces.
package replica

import "time"

// Settings is what a replica is told at its start.
type Settings struct {
	// Node names the machine.
	Node   string
	Zone   string
	Region string
	// Regions maps zones to regions.
	Regions map[string]string
	IP      string
	// RequestAddress is where callers come, ReadyAddress where the platform asks whether they may.
	RequestAddress string
	ReadyAddress   string
	// MemoryBytes is the most memory the process may use.
	MemoryBytes    int64
	MaxDescriptors int
	// ProcessorShare is what the process has of a processor, in cores; 0 if the settings don't state it.
	ProcessorShare float64
	// GracePeriod is the time between the order to stop and the kill.
	GracePeriod time.Duration
	// OrderLease is the least time between the orders of two holders to one engine.
	OrderLease time.Duration
	// Retention is how long results can be read after their job was submitted.
	Retention time.Duration
	// DrainLimit is how long after a back end is known to leave it may get work.
	DrainLimit time.Duration
	// MinMemberLifetime is the shortest lifetime that the store's groups take.
	MinMemberLifetime time.Duration
	// StoreReadsPerS is how many reads a second the store takes from all replicas together.
	StoreReadsPerS float64
	// KeyBound is how long a caller's key may work after it was taken away, 0 for as long as the store can't be reached.
	KeyBound time.Duration
	// UsageWindow is the length of a window of usage, UsageLate how long after its end it has to be reported.
	UsageWindow      time.Duration
	UsageReportLimit time.Duration
}
