package explain

import (
	"cmp"
	"slices"
	"time"
)

// bound returns the least time in which the groups that the trainer waits for could have been whole, with all lengths known, no
// waits, every event at the pace of the quickest engine, and so many places: the longer of the longest item that is needed and
// the needed work over the places. Neither can be beaten, since the groups that are left out of each are those of the longest
// items, and of the most work. It is 0 if lines of items are missing.
func bound(step *Step, pace time.Duration, places int) time.Duration {
	if places == 0 {
		return 0
	}
	groups := step.groups()
	slices.SortStableFunc(groups, func(a, b *group) int { return cmp.Compare(a.longest, b.longest) })
	longest := 0
	for _, known := range needed(groups, step.Wanted) {
		longest = max(longest, known.longest)
	}
	slices.SortStableFunc(groups, func(a, b *group) int { return cmp.Compare(a.work, b.work) })
	work := 0
	for _, known := range needed(groups, step.Wanted) {
		work += known.work
	}
	return max(time.Duration(longest)*pace, time.Duration(work)*pace/time.Duration(places))
}

// placesSeen returns the most items that ran at once.
func placesSeen(steps []*Step) int {
	type change struct {
		at    time.Time
		count int
	}
	var changes []change
	for _, step := range steps {
		for _, found := range step.items {
			for _, run := range found.runs {
				if !run.Until.IsZero() {
					changes = append(changes, change{run.Began, 1}, change{run.Until, -1})
				}
			}
		}
	}
	slices.SortFunc(changes, func(a, b change) int { return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.count, b.count)) })
	running, most := 0, 0
	for _, next := range changes {
		running += next.count
		most = max(most, running)
	}
	return most
}
