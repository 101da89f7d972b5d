package ownership

import (
	"context"

	"github.com/hillfork/hillfork/internal/policy"
)

// groupState is the group at one moment, as one machine judges it.
type groupState struct {
	members []policy.GroupMember
	// unowned counts the partitions without an owner; allUnowned says that these are all.
	unowned    int
	allUnowned bool
	// listed says that the machine itself is among the owners.
	listed bool
	// larger is the sum of the shares of larger members, in cores.
	larger float64
	// dispensable says that larger members have room for all partitions, so that the machine may stand by.
	dispensable bool
}

// readGroup lists the owners. Where they don't decide yet whether the machine takes part, it lists the members that ask for partitions too.
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
	asking, err := m.config.Log.Owners(ctx, m.config.Group+askingSuffix)
	if err != nil {
		return groupState{}, err
	}
	for _, owner := range asking {
		if _, holds := held[owner.Member]; !holds {
			held[owner.Member] = 0
		}
	}
	return m.assess(held), nil
}

// assess returns the state of a group whose members hold so many partitions each.
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
			group.larger += member.Share
		}
		group.listed = group.listed || name == m.member && count > 0
	}
	group.unowned = policy.Unowned(group.members, partitions)
	group.allUnowned = group.unowned == partitions
	group.dispensable = policy.StandsBy(group.members, partitions, m.config.Share)
	return group
}
