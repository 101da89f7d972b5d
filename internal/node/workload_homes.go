package node

import (
	"sync"

	"github.com/hillfork/hillfork/internal/bundle"
	"github.com/hillfork/hillfork/internal/placement"
	"github.com/hillfork/hillfork/internal/platform"
)

// engineDirectory lists the engines of pools; *machines.Directory implements it.
type engineDirectory interface {
	Engines(pool string) []platform.Machine
	Changed() <-chan struct{}
}

// workloadHomes caches, for each workload, the region of most engines in its preferred pool. The step and request shards of
// the workload are placed there, so that its engines and the callers near them reach the shards without crossing regions.
// Nodes may temporarily disagree on this region, as on any placement.
type workloadHomes struct {
	bundles bundle.Source
	engines engineDirectory

	mu sync.Mutex
	// byWorkload is valid until one of the channels is closed.
	byWorkload     map[string]placement.Preference
	bundleChanged  <-chan struct{}
	enginesChanged <-chan struct{}
}

func newWorkloadHomes(bundles bundle.Source, engines engineDirectory) *workloadHomes {
	return &workloadHomes{bundles: bundles, engines: engines}
}

// of returns the preferred placement of the shards of a workload; no preference for an unknown workload.
func (h *workloadHomes) of(workload string) placement.Preference {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.byWorkload == nil || closed(h.bundleChanged) || closed(h.enginesChanged) {
		h.refresh()
	}
	return h.byWorkload[workload]
}

// refresh rebuilds byWorkload. It gets the channels before it reads the data whose changes they signal, so that no change
// is missed. The caller holds mu.
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

// commonRegion returns the region of most machines, the first by name if several tie; empty for no machines.
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

// closed reports whether the channel is closed, without blocking.
func closed(changed <-chan struct{}) bool {
	select {
	case <-changed:
		return true
	default:
		return false
	}
}
