package weightroll

import (
	"maps"
	"slices"
	"strings"

	"github.com/hillfork/hillfork/internal/fleet"
)

// recordDepartures records the models of assigned engines that are no longer among the engines of the pool, and returns the number
// of these engines. It deletes the records of engines that the directory no longer knows.
func (r *roller) recordDepartures(pool string, engines []fleet.Engine, previous Assignment) int {
	left := 0
	for id, model := range previous {
		if contains(engines, id) {
			continue
		}
		left++
		if r.departed[pool] == nil {
			r.departed[pool] = make(Assignment)
		}
		r.departed[pool][id] = model
	}
	for id := range r.departed[pool] {
		if _, known := r.config.Directory.Engine(id); !known {
			delete(r.departed[pool], id)
		}
	}
	return left
}

// withReturned returns the previous assignment extended by the earlier models of engines that have returned, and the IDs of these
// engines. It deletes the records of returned engines.
func (r *roller) withReturned(pool string, engines []fleet.Engine, previous Assignment) (restored Assignment, returned map[string]bool) {
	departed := r.departed[pool]
	if len(departed) == 0 {
		return previous, nil
	}
	restored, returned = make(Assignment, len(previous)), make(map[string]bool)
	maps.Copy(restored, previous)
	for id, model := range departed {
		if !contains(engines, id) {
			continue
		}
		delete(departed, id)
		if _, assigned := restored[id]; !assigned {
			restored[id] = model
			returned[id] = true
		}
	}
	return restored, returned
}

// contains reports whether an engine is among those of a pool, which are in the order of their IDs.
func contains(engines []fleet.Engine, id string) bool {
	_, found := slices.BinarySearchFunc(engines, id, func(engine fleet.Engine, id string) int { return strings.Compare(engine.ID, id) })
	return found
}

// anyBelowHalfShare reports whether a model has less than half of its share of the engines.
func anyBelowHalfShare(engines []fleet.Engine, previous Assignment, shares map[string]int) bool {
	counts := make(map[string]int)
	for _, engine := range engines {
		if model, assigned := previous[engine.ID]; assigned {
			counts[model]++
		}
	}
	for model, share := range shares {
		if 2*counts[model] < share {
			return true
		}
	}
	return false
}
