package membership

import "slices"

// peers lists the members except this node and the dead ones, split into those in this node's zone and all others.
type peers struct {
	local  []string
	remote []string
}

// count returns the number of peers.
func (p *peers) count() int { return len(p.local) + len(p.remote) }

// currentPeers returns the peers. The list is rebuilt only after a change of the members.
func (p *protocol) currentPeers() *peers {
	if p.peersValid {
		return &p.peers
	}
	p.peers.local = p.peers.local[:0]
	p.peers.remote = p.peers.remote[:0]
	self := p.selfEntry().record
	for _, key := range p.keys.between(memberKeyPrefix, "") {
		node := key[len(memberKeyPrefix):]
		record := &p.members[node].record
		if node == self.Node || record.Condition == conditionDead {
			continue
		}
		if record.Zone == self.Zone && record.Region == self.Region {
			p.peers.local = append(p.peers.local, node)
		} else {
			p.peers.remote = append(p.peers.remote, node)
		}
	}
	p.peersValid = true
	return &p.peers
}

// pickPeers returns up to count different peers: one from any zone and the others from this node's zone as far as it
// has enough. Nodes in exclude are not picked.
func (p *protocol) pickPeers(count int, exclude ...string) []string {
	var picked []string
	if node, found := p.pickAnyZone(exclude); found {
		picked = append(picked, node)
	}
	for len(picked) < count {
		excluded := slices.Concat(exclude, picked)
		node, found := p.pickFrom(p.currentPeers().local, excluded)
		if !found {
			node, found = p.pickFrom(p.currentPeers().remote, excluded)
		}
		if !found {
			break
		}
		picked = append(picked, node)
	}
	return picked
}

// pickUrgentPeers returns the peers that urgent updates are sent to: some at random, then this node's neighbours in the
// order of names. Random choices alone occasionally leave out a node, however few nodes there are; a node's neighbours
// always send it the update once they have it.
func (p *protocol) pickUrgentPeers() []string {
	neighbours := p.neighbours()
	picked := p.pickPeers(max(1, p.config.Timing.FanOut-len(neighbours)), neighbours...)
	return append(picked, neighbours...)
}

// neighbours returns the peers next to this node in the ring of names: two, or one if there is no other.
func (p *protocol) neighbours() []string {
	current := p.currentPeers()
	nodes := slices.Concat(current.local, current.remote)
	if len(nodes) == 0 {
		return nil
	}
	slices.Sort(nodes)
	above, _ := slices.BinarySearch(nodes, p.config.Self.Node)
	below := above + len(nodes) - 1
	return slices.Compact([]string{nodes[above%len(nodes)], nodes[below%len(nodes)]})
}

// pickAnyZone returns a random peer of any zone.
func (p *protocol) pickAnyZone(exclude []string) (string, bool) {
	current := p.currentPeers()
	if current.count() == 0 {
		return "", false
	}
	first, second := current.local, current.remote
	if p.random.IntN(current.count()) >= len(current.local) {
		first, second = second, first
	}
	if node, found := p.pickFrom(first, exclude); found {
		return node, true
	}
	return p.pickFrom(second, exclude)
}

// pickFrom returns a random node of list that is not in exclude. It scans the list from a random index, so it skips
// at most as many nodes as are excluded.
func (p *protocol) pickFrom(list []string, exclude []string) (string, bool) {
	if len(list) == 0 {
		return "", false
	}
	start := p.random.IntN(len(list))
	for step := range list {
		node := list[(start+step)%len(list)]
		if !slices.Contains(exclude, node) {
			return node, true
		}
	}
	return "", false
}

// probeOrder visits a list of nodes in random order, each once per round.
type probeOrder struct {
	remaining []string
}

// next returns the next node for which valid returns true; source lists the nodes of a new round.
func (o *probeOrder) next(source []string, shuffle func([]string), valid func(string) bool) (string, bool) {
	for round := 0; round < 2; round++ {
		for len(o.remaining) > 0 {
			node := o.remaining[len(o.remaining)-1]
			o.remaining = o.remaining[:len(o.remaining)-1]
			if valid(node) {
				return node, true
			}
		}
		o.remaining = append(o.remaining, source...)
		shuffle(o.remaining)
	}
	return "", false
}
