package fleet

import (
	"cmp"
	"slices"
	"strings"
)

const (
	// consideredMost is how many engines of a pool are considered for one piece of work, beside those that are kept up to date for its model.
	// To look at each of thousands takes longer than the work may wait, and a choice among some hundreds is hardly better than one among
	// these.
	consideredMost = 256
	// foreignMost is how many engines of other models are considered with them.
	foreignMost = 64
)

// enginePool holds the engines of one pool, ready to choose from. It is made anew when an engine comes or goes.
type enginePool struct {
	// order holds all in a random order of this process's own, which stays the same while others come and go: a process keeps to the same
	// engines, and so to its connections, and processes differ in theirs.
	order []*entry
	// own holds those that are kept up to date for each model, spare those for none, foreign those for any; nil while they have to be
	// sorted out.
	own     map[string][]*entry
	spare   []*entry
	foreign []*entry
	// sorted holds all in order of their ids, nil while it is not known; stale are the ids of those that have changed in it.
	sorted []Engine
	stale  map[string]bool
}

// poolOf returns the engines of a pool. The mutex must be held.
func (d *Directory) poolOf(name string) *enginePool {
	if found, ok := d.pools[name]; ok {
		return found
	}
	made := &enginePool{stale: make(map[string]bool)}
	for _, found := range d.engines {
		if found.engine.Pool == name {
			made.order = append(made.order, found)
		}
	}
	slices.SortFunc(made.order, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), strings.Compare(a.engine.ID, b.engine.ID))
	})
	d.pools[name] = made
	return made
}

// considered returns the engines of a pool that are considered for a piece of work, whether they fit or not. The mutex must be held.
func (d *Directory) considered(want Want) []*entry {
	p := d.poolOf(want.Pool)
	if len(p.order) <= consideredMost {
		return p.order
	}
	dealt := d.dealt[want.Pool]
	if want.Model == "" || len(dealt) == 0 {
		return first(p.order, consideredMost, want)
	}
	if p.own == nil {
		p.sortOut(dealt)
	}
	own := p.own[want.Model]
	return slices.Concat(own, first(p.spare, consideredMost-len(own), want), first(p.foreign, foreignMost, want))
}

// sortOut sorts the engines out by the models that they are kept up to date for.
func (p *enginePool) sortOut(dealt map[string]string) {
	p.own, p.spare, p.foreign = make(map[string][]*entry), nil, nil
	for _, found := range p.order {
		model := dealt[found.engine.ID]
		if model == "" {
			p.spare = append(p.spare, found)
			continue
		}
		p.own[model] = append(p.own[model], found)
		p.foreign = append(p.foreign, found)
	}
}

// first returns at most so many of some engines, of the regions that work is bound to.
func first(engines []*entry, most int, want Want) []*entry {
	if want.Regions == nil {
		return engines[:max(0, min(most, len(engines)))]
	}
	var allowed []*entry
	for _, found := range engines {
		if len(allowed) >= most {
			break
		}
		if want.allows(found.engine.Region) {
			allowed = append(allowed, found)
		}
	}
	return allowed
}

// sortedEngines returns the engines of a pool in order of their ids. The slice is not changed later. The mutex must be held.
func (d *Directory) sortedEngines(p *enginePool) []Engine {
	switch {
	case p.sorted == nil:
		p.sorted = make([]Engine, 0, len(p.order))
		for _, found := range p.order {
			p.sorted = append(p.sorted, d.standing(found))
		}
		slices.SortFunc(p.sorted, func(a, b Engine) int { return strings.Compare(a.ID, b.ID) })
	case len(p.stale) > 0:
		p.sorted = slices.Clone(p.sorted)
		for id := range p.stale {
			at, found := slices.BinarySearchFunc(p.sorted, id, func(engine Engine, id string) int { return strings.Compare(engine.ID, id) })
			if found {
				p.sorted[at] = d.standing(d.engines[id])
			}
		}
	}
	clear(p.stale)
	return p.sorted
}
