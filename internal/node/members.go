package node

import (
	"github.com/hillfork/hillfork/internal/gateway"
	"github.com/hillfork/hillfork/internal/membership"
	"github.com/hillfork/hillfork/internal/placement"
	"github.com/hillfork/hillfork/internal/platform"
)

// memberDirectory lists the members for the administration API.
type memberDirectory struct {
	membership *membership.Membership
}

func (d memberDirectory) Members() []gateway.Member {
	members := d.membership.Members()
	result := make([]gateway.Member, 0, len(members))
	for _, member := range members {
		result = append(result, gateway.Member{
			Member: placement.Member{
				Node: member.Node, PeerAddress: member.PeerAddress, Zone: member.Zone, Region: member.Region,
			},
			State:       member.State.String(),
			Incarnation: member.Incarnation,
		})
	}
	return result
}

// factSource implements machines.FactSource with the facts of the membership.
type factSource struct {
	membership *membership.Membership
}

func (s factSource) SetFact(key string, version uint64, value []byte) {
	s.membership.SetFact(key, version, value)
}

func (s factSource) Fact(key string) (uint64, []byte, bool) {
	fact, known := s.membership.Fact(key)
	return fact.Version, fact.Value, known
}

func (s factSource) FactsChanged() <-chan struct{} { return s.membership.FactsChanged() }

// aliveIn returns a function that reports whether a process is known to be alive. A leaving process counts as alive, since
// it still hands over its shards itself.
func aliveIn(m *membership.Membership) func(node string, incarnation uint64) bool {
	return func(node string, incarnation uint64) bool {
		for _, member := range m.Members() {
			if member.Node == node && member.Incarnation == incarnation {
				return member.State == membership.StateAlive || member.State == membership.StateLeaving
			}
		}
		return false
	}
}

// hasJoined reports whether this node knows at least half of the nodes that are live on the machine list.
func (n *Node) hasJoined() bool {
	known, listed := n.knownAndListed()
	return 2*known >= listed
}

// knowsAllListed reports whether the machine list was read and this node knows at least as many nodes as are live on it.
func (n *Node) knowsAllListed() bool {
	known, listed := n.knownAndListed()
	return n.directory.Loaded() && known >= listed
}

// knownAndListed returns the number of members that are not dead, and the number of nodes that are live on the machine list.
// The latter is 0 if the list was not read yet.
func (n *Node) knownAndListed() (known, listed int) {
	for _, machine := range n.directory.Machines() {
		if machine.Kind == platform.MachineNode && machine.State == platform.MachineLive {
			listed++
		}
	}
	for _, member := range n.membership.Members() {
		if member.State != membership.StateDead {
			known++
		}
	}
	return known, listed
}
