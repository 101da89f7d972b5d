package fleet

import "time"

// Leaving returns those of the given engines that have announced that they leave. Engines of an evacuated zone are not among
// them unless they announce it themselves: they complete what they run.
func (d *Directory) Leaving(ids []string) []Engine {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	var leaving []Engine
	for _, id := range ids {
		if found, ok := d.engines[id]; ok && found.engine.Draining {
			leaving = append(leaving, found.engine)
		}
	}
	return leaving
}

// FreeSlots returns the number of free slots at engines that take the work now, given the slots known to be held by other
// processes. Slots of engines that are assigned to other models count only if the model of the work has no engine of its own.
func (d *Directory) FreeSlots(want Want) int {
	now := time.Now()
	d.mutex.Lock()
	defer d.mutex.Unlock()
	candidates := d.candidates(want, now)
	stats := newCandidateStats(candidates, want)
	free := 0
	for _, candidate := range candidates {
		if mayRun(candidate, want) && !blocked(candidate, stats) && modelAllows(candidate, stats, want, now) {
			free += max(0, candidate.Engine.Slots-candidate.InFlight-candidate.PeerHeld)
		}
	}
	return free
}

// InFlightInZone returns how much work of this process is in flight at the engines of a zone.
func (d *Directory) InFlightInZone(zone string) int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	inFlight := 0
	for _, found := range d.engines {
		if found.engine.Zone == zone {
			inFlight += found.inFlight
		}
	}
	return inFlight
}

// AllLeave reports whether engines of a pool in the given regions are known, and all of them leave or are in evacuated zones.
// Nil regions stand for all.
func (d *Directory) AllLeave(pool string, regions []string) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	known, stays := d.anyStays(pool, regions)
	return known && !stays
}

// MayServe reports whether a pool has an engine in some regions, nil for all, that does not leave. It also returns true while
// the engines of the pool are not known.
func (d *Directory) MayServe(pool string, regions []string) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	_, stays := d.anyStays(pool, regions)
	return stays || len(d.poolOf(pool).order) == 0 && (d.partial || !d.synced)
}

// anyStays reports whether engines of a pool in the given regions, nil for all, are known, and whether any of them neither leaves
// nor is in an evacuated zone. The mutex must be held.
func (d *Directory) anyStays(pool string, regions []string) (known, stays bool) {
	want := Want{Regions: regions}
	for _, found := range d.poolOf(pool).order {
		if !want.allows(found.engine.Region) {
			continue
		}
		if !found.engine.Draining && !d.evacuated[found.engine.Zone] {
			return true, true
		}
		known = true
	}
	return known, false
}

// Evacuated reports whether a zone is evacuated.
func (d *Directory) Evacuated(zone string) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.evacuated[zone]
}
