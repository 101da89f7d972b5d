package node

import (
	"github.com/hillfork/hillfork/internal/dispatch"
	"github.com/hillfork/hillfork/internal/membership"
)

// View is the state of the cluster as known to one node. It is used to measure how fast updates propagate.
type View struct {
	AliveMembers  int
	DeadMembers   int
	BundleVersion uint64
	// OwnedEngines maps the engines that this node dispatches for to their epochs.
	OwnedEngines map[string]uint64
}

// View returns the current state of the cluster as known to the node.
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

// KnowsLeaving reports whether the node assigns no new work to an engine because the engine is leaving.
func (n *Node) KnowsLeaving(engine string) bool { return n.directory.Leaving(engine) }

// KnownWeightVersion returns the newest version of a workload's weights received by gossip; 0 for none.
func (n *Node) KnownWeightVersion(workload string) uint64 {
	fact, _ := n.membership.Fact(dispatch.WeightFactKey(workload))
	return fact.Version
}
