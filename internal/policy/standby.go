package policy

// GroupMember is a member of a group to which partitions are dealt, as others see it.
type GroupMember struct {
	// Share is what the member's machine has of a processor, in cores; 0 if it is not known.
	Share float64
	// Partitions is how many partitions it holds. Members that hold none are seen only if they ask for some.
	Partitions int
}

// Unowned returns how many of a group's partitions nobody holds.
func Unowned(members []GroupMember, partitions int) int {
	for _, member := range members {
		partitions -= member.Partitions
	}
	return max(0, partitions)
}

// StandsBy tells whether a machine with a share, in cores, leaves the partitions to others: all partitions have an owner, and the members
// with larger shares have at least as many cores for each partition as the machine would give one. The group deals partitions evenly
// whatever the sizes, so that one that is dealt to a small machine has little of a processor while larger machines hold none.
//
// Members of the machine's own size don't count: machines of one size all take part, and so does a machine of unknown size. Of two
// sizes the larger one always takes part, so that no two machines stand by for each other.
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

// AsksFor tells whether a member that holds no partition asks for some, since smaller members hold some. Members without partitions are not
// in the list of owners, so that the smaller ones would never leave otherwise.
func AsksFor(members []GroupMember, share float64) bool {
	for _, member := range members {
		if member.Partitions > 0 && member.Share > 0 && member.Share < share {
			return true
		}
	}
	return false
}
