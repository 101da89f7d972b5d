// Package replica assembles the process that runs on every machine of a platform with a store, engines that register
// themselves in it, and callers that connect through a front address. All replicas do the same: they follow the store,
// serve callers, and do the work of the partitions that the groups assign to them. The package contains no protocol; an
// adapter implements the interfaces.
package replica

import (
	"maps"
	"slices"
	"time"
)

// Settings holds the settings of a replica, which are fixed at its start.
type Settings struct {
	// Node is the name of the machine.
	Node   string
	Zone   string
	Region string
	// Regions maps zones to regions.
	Regions map[string]string
	IP      string
	// RequestAddress is the address for callers, ReadyAddress the one where the platform checks whether the replica is
	// ready.
	RequestAddress string
	ReadyAddress   string
	// MemoryBytes is the maximum memory that the process may use.
	MemoryBytes    int64
	MaxDescriptors int
	// ProcessorShare is the process's share of a processor, in cores; 0 if the settings don't state it.
	ProcessorShare float64
	// GracePeriod is the time between the request to stop and the kill.
	GracePeriod time.Duration
	// OrderLease is the minimum time between the orders of two holders to one engine.
	OrderLease time.Duration
	// Retention is how long results can be read after their job was submitted.
	Retention time.Duration
	// DrainLimit is how long a back end may still receive work after it is known to leave.
	DrainLimit time.Duration
	// EngineHeartbeat is how often engines write their records; 0 if the settings don't state it.
	EngineHeartbeat time.Duration
	// MinMemberLifetime is the minimum lifetime that the store's groups accept.
	MinMemberLifetime time.Duration
	// StoreReadsPerS is the number of reads per second that the store accepts from all replicas together.
	StoreReadsPerS float64
	// KeyBound is how long a caller's key may remain valid after its revocation, 0 for as long as the store can't be
	// reached.
	KeyBound time.Duration
	// UsageWindow is the length of a usage window, UsageReportLimit how long after its end it has to be reported.
	UsageWindow      time.Duration
	UsageReportLimit time.Duration
}

// defaultEngineHeartbeat is assumed where the settings don't state how often engines write their records.
const defaultEngineHeartbeat = time.Second

// engineHeartbeat returns how often engines write their records.
func (s Settings) engineHeartbeat() time.Duration {
	if s.EngineHeartbeat <= 0 {
		return defaultEngineHeartbeat
	}
	return s.EngineHeartbeat
}

// regions returns the regions of the fleet, sorted.
func (s Settings) regions() []string {
	regions := slices.Compact(slices.Sorted(maps.Values(s.Regions)))
	return slices.DeleteFunc(regions, func(region string) bool { return region == "" })
}

// ownRegion returns the region of the machine, empty if it is not known.
func (s Settings) ownRegion() string {
	if region := s.Regions[s.Zone]; region != "" {
		return region
	}
	return s.Region
}
