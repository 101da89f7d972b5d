package ownership

import (
	"context"

	"github.com/hillfork/hillfork/internal/policy"
)

// groupState is the state of the group at one moment, as one machine evaluates it.
type groupState struct {
	members []policy.GroupMember
	// unowned is the number of partitions without an owner; allUnowned is set if no partition has one.
	unowned    int
	allUnowned bool
	// isOwner is set if the machine itself owns a partition.
	isOwner bool
	// largerShares is the sum of the shares of larger members, in cores.
	largerShares float64
	// dispensable is set if larger members have capacity for all partitions, so that the machine may stand by.
	dispensable bool
}

// readGroup reads the owners. If they alone don't decide whether the machine has to be a member, it also reads the
// members that request partitions.
func (m *Manager) readGroup(ctx context.Context) (groupState, error) {
	owners, err := m.config.Log.Owners(ctx, m.config.Group)
	if err != nil {
		return groupState{}, err
	}
	held := make(map[string]int)
	for _, owner := range owners {
		held[owner.Member]++
	}
	group := m.assess(held)
	if group.unowned > 0 || group.dispensable {
		return group, nil
	}
	requesting, err := m.config.Log.Owners(ctx, m.config.Group+requestingSuffix)
	if err != nil {
		return groupState{}, err
	}
	for _, owner := range requesting {
		if _, holds := held[owner.Member]; !holds {
			held[owner.Member] = 0
		}
	}
	return m.assess(held), nil
}

// assess returns the state of a group, given the number of partitions that each member holds.
func (m *Manager) assess(held map[string]int) groupState {
	partitions := 0
	for _, topic := range m.config.Topics {
		partitions += m.config.Log.Partitions(topic)
	}
	var group groupState
	for name, count := range held {
		member := policy.GroupMember{Share: shareOf(name), Partitions: count}
		group.members = append(group.members, member)
		if member.Share > m.config.Share {
			group.largerShares += member.Share
		}
		group.isOwner = group.isOwner || name == m.member && count > 0
	}
	group.unowned = policy.Unowned(group.members, partitions)
	group.allUnowned = group.unowned == partitions
	group.dispensable = policy.StandsBy(group.members, partitions, m.config.Share)
	return group
}
