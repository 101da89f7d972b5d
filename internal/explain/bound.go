package explain

import (
	"cmp"
	"slices"
	"time"
)

// lowerBound returns a lower bound on the time in which the groups that the trainer waits for could have been complete, given all
// lengths in advance, no waits, every event at the pace of the fastest engine, and this number of slots. It is the larger of the
// time of the longest required item and the required work divided by the slots. No schedule can be faster than either, since the
// groups that are left out are those with the longest items in the first, and those with the most work in the second. It is 0 if
// lines of items are missing.
func lowerBound(step *Step, pace time.Duration, slots int) time.Duration {
	if slots == 0 {
		return 0
	}
	groups := step.completeGroups()
	slices.SortStableFunc(groups, func(a, b *group) int { return cmp.Compare(a.maxEvents, b.maxEvents) })
	longest := 0
	for _, g := range requiredGroups(groups, step.Wanted) {
		longest = max(longest, g.maxEvents)
	}
	slices.SortStableFunc(groups, func(a, b *group) int { return cmp.Compare(a.totalEvents, b.totalEvents) })
	work := 0
	for _, g := range requiredGroups(groups, step.Wanted) {
		work += g.totalEvents
	}
	return max(time.Duration(longest)*pace, time.Duration(work)*pace/time.Duration(slots))
}

// maxConcurrentRuns returns the largest number of items that ran at the same time.
func maxConcurrentRuns(steps []*Step) int {
	type change struct {
		at    time.Time
		count int
	}
	var changes []change
	for _, step := range steps {
		for _, it := range step.items {
			for _, run := range it.runs {
				if !run.EndedAt.IsZero() {
					changes = append(changes, change{run.StartedAt, 1}, change{run.EndedAt, -1})
				}
			}
		}
	}
	slices.SortFunc(changes, func(a, b change) int { return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.count, b.count)) })
	running, peak := 0, 0
	for _, next := range changes {
		running += next.count
		peak = max(peak, running)
	}
	return peak
}
