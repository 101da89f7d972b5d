package policy

import (
	"cmp"
	"slices"
)

// GroupLength is a group of a step as it is expected to be.
type GroupLength struct {
	// Events is how many are left of its longest item.
	Events float64
	// Carried says that the trainer waits for it whatever other groups are whole.
	Carried bool
}

// CriticalEvents returns how many events a step is expected to last if all its items began at once: those of the longest group
// among the ones that the trainer waits for, which are the carried ones and of the others the shortest, as many as it wants.
func CriticalEvents(groups []GroupLength, wanted int) float64 {
	longest := 0.0
	var others []float64
	for _, group := range groups {
		if group.Carried {
			longest = max(longest, group.Events)
			wanted--
		} else {
			others = append(others, group.Events)
		}
	}
	slices.SortFunc(others, cmp.Compare)
	if count := min(len(others), wanted); count > 0 {
		longest = max(longest, others[count-1])
	}
	return longest
}
