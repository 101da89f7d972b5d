package fleet

import (
	"cmp"
	"slices"
	"strings"
)

const (
	// maxConsidered is the number of engines of a pool that are considered for one piece of work, besides those assigned
	// to its model. Checking thousands of engines takes longer than the work may wait, and a choice among some hundreds
	// is hardly better than one among these.
	maxConsidered = 256
	// maxForeign is the number of engines of other models that are considered besides them.
	maxForeign = 64
)

// enginePool caches the engines of one pool for choices. It is rebuilt when an engine comes or goes.
type enginePool struct {
	// order holds all engines in a random order of this process, which does not change while others come and go: a
	// process keeps using the same engines, and so its connections, and processes differ in theirs.
	order []*entry
	// own holds the engines assigned to each model, unassigned those assigned to none, foreign those assigned to any
	// model; own is nil while the engines have to be grouped.
	own        map[string][]*entry
	unassigned []*entry
	foreign    []*entry
	// sorted holds all engines in order of their IDs, nil while it is not built; stale holds the IDs of those that have
	// changed since.
	sorted []Engine
	stale  map[string]bool
}

// poolOf returns the engines of a pool. The mutex must be held.
func (d *Directory) poolOf(name string) *enginePool {
	if found, ok := d.pools[name]; ok {
		return found
	}
	built := &enginePool{stale: make(map[string]bool)}
	for _, found := range d.engines {
		if found.engine.Pool == name {
			built.order = append(built.order, found)
		}
	}
	slices.SortFunc(built.order, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), strings.Compare(a.engine.ID, b.engine.ID))
	})
	d.pools[name] = built
	return built
}

// considered returns the engines of a pool that are considered for a piece of work, whether they fit or not. The mutex
// must be held.
func (d *Directory) considered(want Want) []*entry {
	p := d.poolOf(want.Pool)
	if len(p.order) <= maxConsidered {
		return p.order
	}
	assigned := d.assigned[want.Pool]
	if want.Model == "" || len(assigned) == 0 {
		return firstAllowed(p.order, maxConsidered, want)
	}
	if p.own == nil {
		p.groupByModel(assigned)
	}
	own := p.own[want.Model]
	return slices.Concat(own, firstAllowed(p.unassigned, maxConsidered-len(own), want), firstAllowed(p.foreign, maxForeign, want))
}

// groupByModel groups the engines by the models that they are assigned to.
func (p *enginePool) groupByModel(assigned map[string]string) {
	p.own, p.unassigned, p.foreign = make(map[string][]*entry), nil, nil
	for _, found := range p.order {
		model := assigned[found.engine.ID]
		if model == "" {
			p.unassigned = append(p.unassigned, found)
			continue
		}
		p.own[model] = append(p.own[model], found)
		p.foreign = append(p.foreign, found)
	}
}

// firstAllowed returns the first engines in the regions that the work is bound to, at most limit.
func firstAllowed(engines []*entry, limit int, want Want) []*entry {
	if want.Regions == nil {
		return engines[:max(0, min(limit, len(engines)))]
	}
	var allowed []*entry
	for _, found := range engines {
		if len(allowed) >= limit {
			break
		}
		if want.allows(found.engine.Region) {
			allowed = append(allowed, found)
		}
	}
	return allowed
}

// sortedEngines returns the engines of a pool in order of their IDs. The slice is not changed later. The mutex must be
// held.
func (d *Directory) sortedEngines(p *enginePool) []Engine {
	switch {
	case p.sorted == nil:
		p.sorted = make([]Engine, 0, len(p.order))
		for _, found := range p.order {
			p.sorted = append(p.sorted, d.effectiveEngine(found))
		}
		slices.SortFunc(p.sorted, func(a, b Engine) int { return strings.Compare(a.ID, b.ID) })
	case len(p.stale) > 0:
		p.sorted = slices.Clone(p.sorted)
		for id := range p.stale {
			index, found := slices.BinarySearchFunc(p.sorted, id, func(engine Engine, id string) int { return strings.Compare(engine.ID, id) })
			if found {
				p.sorted[index] = d.effectiveEngine(d.engines[id])
			}
		}
	}
	clear(p.stale)
	return p.sorted
}
