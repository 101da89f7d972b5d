// Package scale measures what the control work of a cluster costs at a size: hollow nodes and hollow engines, many to a
// process, beside real processes, and how fast news reaches all of them.
package scale

import (
	"fmt"
	"time"

	"github.com/hillfork/hillfork/internal/lab/trace"
)

// Shape of the deployment that the letter of intent names: 410 nodes before 900 samplers in 3 regions of 3 zones.
const (
	TargetNodes    = 410
	TargetEngines  = 900
	regions        = 3
	zonesPerRegion = 3
	trainerCount   = 8
)

// poolsPerRegion is how many pools the engines of a region are divided into.
const poolsPerRegion = 3

// EnginesFor returns how many engines stand behind a number of nodes, in the target's proportion.
func EnginesFor(nodes int) int {
	return max(nodes*TargetEngines/TargetNodes, regions*poolsPerRegion)
}

// Topology returns the deployment of a size: nodes and engines spread evenly over regions and zones.
func Topology(nodes int, duration time.Duration) trace.Topology {
	topology := trace.Topology{
		Seed: 1, Duration: trace.Duration(duration), RegionDelay: trace.Duration(30 * time.Millisecond),
		PlatformZone: zoneName(0, 0), MachineListLag: trace.Duration(2 * time.Second),
		Store: trace.Store{TransferTime: trace.Duration(2 * time.Second), MaxReaders: TargetEngines},
	}
	for region := range regions {
		described := trace.Region{
			Name: regionName(region), ZoneDelay: trace.Duration(time.Millisecond), ClientDelay: trace.Duration(2 * time.Millisecond),
		}
		for zone := range zonesPerRegion {
			described.Zones = append(described.Zones, trace.Zone{
				Name: zoneName(region, zone), Nodes: share(nodes, regions*zonesPerRegion, region*zonesPerRegion+zone),
			})
		}
		topology.Regions = append(topology.Regions, described)
	}
	engines := EnginesFor(nodes)
	for pool := range regions * poolsPerRegion {
		topology.Engines = append(topology.Engines, engineGroup(pool, share(engines, regions*poolsPerRegion, pool)))
	}
	return topology
}

// share is the part of a whole that the part of a number gets when it is divided as evenly as can be.
func share(whole, parts, number int) int {
	return whole/parts + min(1, max(0, whole%parts-number))
}

func engineGroup(pool, count int) trace.EngineGroup {
	region := pool / poolsPerRegion
	group := trace.EngineGroup{
		Pool: poolName(pool), Count: count, Slots: 64,
		TokenTime: trace.Duration(20 * time.Millisecond), StreamTime: trace.Duration(100 * time.Microsecond),
		StatusLag: trace.Duration(500 * time.Millisecond),
		Models:    map[string]uint64{modelName(pool % trainerCount): 1},
	}
	for zone := range zonesPerRegion {
		group.Zones = append(group.Zones, zoneName(region, zone))
	}
	return group
}

func regionName(region int) string     { return fmt.Sprintf("region-%d", region) }
func zoneName(region, zone int) string { return fmt.Sprintf("zone-%d%c", region, 'a'+zone) }
func poolName(pool int) string         { return fmt.Sprintf("pool-%d", pool) }
func modelName(number int) string      { return fmt.Sprintf("model-%d", number) }
func workloadName(number int) string   { return fmt.Sprintf("training-%d", number) }
