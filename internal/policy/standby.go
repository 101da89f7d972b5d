package policy

// GroupMember is a member of a group to which partitions are assigned, as other members see it.
type GroupMember struct {
	// Share is the CPU share of the member's machine, in cores; 0 if it is not known.
	Share float64
	// Partitions is the number of partitions that it holds. Members that hold none are visible only if they request
	// some.
	Partitions int
}

// Unowned returns how many of a group's partitions have no owner.
func Unowned(members []GroupMember, partitions int) int {
	for _, member := range members {
		partitions -= member.Partitions
	}
	return max(0, partitions)
}

// StandsBy reports whether a machine with a CPU share, in cores, leaves the partitions to others: all partitions have an
// owner, and the members with larger shares have at least as many cores per partition as the machine itself. The group
// assigns partitions evenly whatever the sizes, so that a partition on a small machine would get little CPU while larger
// machines hold none.
//
// Members of the machine's own size don't count: machines of one size all take part, and so does a machine of unknown
// size. Of two sizes the larger one always takes part, so that no two machines stand by for each other.
func StandsBy(members []GroupMember, partitions int, share float64) bool {
	if share <= 0 || partitions <= 0 || Unowned(members, partitions) > 0 {
		return false
	}
	larger := 0.0
	for _, member := range members {
		if member.Share > share {
			larger += member.Share
		}
	}
	return larger/float64(partitions) >= share
}

// RequestsPartitions reports whether a member that holds no partition requests some, since smaller members hold some.
// Members without partitions are not in the list of owners, so that the smaller ones would otherwise never leave.
func RequestsPartitions(members []GroupMember, share float64) bool {
	for _, member := range members {
		if member.Partitions > 0 && member.Share > 0 && member.Share < share {
			return true
		}
	}
	return false
}
