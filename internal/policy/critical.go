package policy

import (
	"cmp"
	"slices"
)

// GroupLength is the expected length of a group of a step.
type GroupLength struct {
	// Events is the number of events left of the group's longest item.
	Events float64
	// Carried means that the trainer waits for the group no matter which other groups are complete.
	Carried bool
}

// CriticalEvents returns the expected length of a step, in events, if all its items began at once: that of the longest
// group that the trainer waits for. The trainer waits for the carried groups and for the shortest of the others, wanted
// groups in all.
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
