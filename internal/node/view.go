package node

import (
	"github.com/hillfork/hillfork/internal/dispatch"
	"github.com/hillfork/hillfork/internal/membership"
)

// View is what a node holds to be so, for measurements of how news spreads.
type View struct {
	AliveMembers  int
	DeadMembers   int
	BundleVersion uint64
	// OwnedEngines are the engines that this node dispatches for, with the epoch of each.
	OwnedEngines map[string]uint64
}

// View returns what the node holds now.
func (n *Node) View() View {
	view := View{OwnedEngines: make(map[string]uint64)}
	for _, member := range n.membership.Members() {
		switch member.State {
		case membership.StateAlive:
			view.AliveMembers++
		case membership.StateDead:
			view.DeadMembers++
		}
	}
	if current := n.follower.Current(); current != nil {
		view.BundleVersion = current.Bundle.Version
	}
	for _, engine := range n.dispatcher.Engines() {
		if engine.Epoch > 0 {
			view.OwnedEngines[engine.ID] = engine.Epoch
		}
	}
	return view
}

// KnowsLeaving tells whether the node gives an engine no new work because it leaves.
func (n *Node) KnowsLeaving(engine string) bool { return n.directory.Leaving(engine) }

// KnownWeightVersion is the newest version of a workload's weights that gossip has brought; 0 for none.
func (n *Node) KnownWeightVersion(workload string) uint64 {
	fact, _ := n.membership.Fact(dispatch.WeightFactKey(workload))
	return fact.Version
}
