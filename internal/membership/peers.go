package membership

import "slices"

// peers lists the members, this node and the dead aside, by whether they are in this node's zone.
type peers struct {
	local  []string
	remote []string
}

// all is how many peers there are.
func (p *peers) count() int { return len(p.local) + len(p.remote) }

// currentPeers returns the peers, listed anew only after members came or went.
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

// pickPeers returns up to count different peers, one of them from anywhere and the others from this node's zone as far
// as it has them. Nodes in exclude are not picked.
func (p *protocol) pickPeers(count int, exclude ...string) []string {
	var picked []string
	if node, found := p.pickAnywhere(exclude); found {
		picked = append(picked, node)
	}
	for len(picked) < count {
		taken := slices.Concat(exclude, picked)
		node, found := p.pickFrom(p.currentPeers().local, taken)
		if !found {
			node, found = p.pickFrom(p.currentPeers().remote, taken)
		}
		if !found {
			break
		}
		picked = append(picked, node)
	}
	return picked
}

// pickUrgentPeers returns the peers that urgent news goes to: some at random, then this node's neighbours in the order of names. Random
// choices alone leave out some node now and then, however few they are; a neighbour that has the news does not.
func (p *protocol) pickUrgentPeers() []string {
	neighbours := p.neighbours()
	picked := p.pickPeers(max(1, p.config.Timing.FanOut-len(neighbours)), neighbours...)
	return append(picked, neighbours...)
}

// neighbours returns the peers next to this node in the order of names, whose ends are joined: two, or one where there is no other.
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

// pickAnywhere returns a random peer of any zone.
func (p *protocol) pickAnywhere(exclude []string) (string, bool) {
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

// pickFrom returns a random node of list that is not excluded. It starts at a random place and goes on from there, which
// costs no more than the excluded nodes are many.
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

// probeOrder visits a list of nodes in random order, each once before any is visited again.
type probeOrder struct {
	remaining []string
}

// next returns the next node that valid accepts; source lists the nodes of a new round.
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
