package node

import (
	"sync"

	"github.com/hillfork/hillfork/internal/bundle"
	"github.com/hillfork/hillfork/internal/placement"
	"github.com/hillfork/hillfork/internal/platform"
)

// engineDirectory lists the engines of pools; *machines.Directory fills it.
type engineDirectory interface {
	Engines(pool string) []platform.Machine
	Changed() <-chan struct{}
}

// workloadHomes tells the region in which most engines of a workload's preferred pool stand. Its step and request shards
// are placed there, so that neither engines nor callers nearby cross regions for them. Nodes may disagree for a while, as
// about any placement.
type workloadHomes struct {
	bundles bundle.Source
	engines engineDirectory

	mu sync.Mutex
	// byWorkload holds until one of the channels closes.
	byWorkload     map[string]placement.Preference
	bundleChanged  <-chan struct{}
	enginesChanged <-chan struct{}
}

func newWorkloadHomes(bundles bundle.Source, engines engineDirectory) *workloadHomes {
	return &workloadHomes{bundles: bundles, engines: engines}
}

// of returns where the shards of a workload had best be; no preference for an unknown workload.
func (h *workloadHomes) of(workload string) placement.Preference {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.byWorkload == nil || closed(h.bundleChanged) || closed(h.enginesChanged) {
		h.refresh()
	}
	return h.byWorkload[workload]
}

// refresh takes the channels before what they guard, so that no change is missed.
func (h *workloadHomes) refresh() {
	h.bundleChanged, h.enginesChanged = h.bundles.Changed(), h.engines.Changed()
	h.byWorkload = make(map[string]placement.Preference)
	accepted := h.bundles.Current()
	if accepted == nil {
		return
	}
	for _, workload := range accepted.Bundle.Workloads {
		if len(workload.Pools) > 0 {
			h.byWorkload[workload.Name] = placement.Preference{Region: commonRegion(h.engines.Engines(workload.Pools[0]))}
		}
	}
}

// commonRegion returns the region of most machines, the first by name of several; empty for no machines.
func commonRegion(machines []platform.Machine) string {
	counts := make(map[string]int)
	common := ""
	for _, machine := range machines {
		counts[machine.Region]++
	}
	for region, count := range counts {
		if count > counts[common] || (count == counts[common] && region < common) {
			common = region
		}
	}
	return common
}

func closed(changed <-chan struct{}) bool {
	select {
	case <-changed:
		return true
	default:
		return false
	}
}
