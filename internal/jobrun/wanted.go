package jobrun

import "github.com/hillfork/hillfork/internal/job"

// wantedGroups tracks whether the groups of a job that its trainer waits for are complete: all carried groups, and as many groups
// in total as the job desires. A group is complete once all its items are listed. A nil value belongs to a job whose trainer
// waits for no groups; its groups count as complete.
type wantedGroups struct {
	// groups holds the group of each item that is not listed.
	groups map[string]string
	// open is the number of items of each group that are not listed; carriedOpen is the number of carried groups among them.
	open        map[string]int
	carried     map[string]bool
	carriedOpen int
	// missing is the number of groups that have to be completed; it is negative once more groups than desired are complete.
	missing int
}

// newWantedGroups returns the groups that the trainer of a job waits for, with the results that are listed already. It returns
// nil if the trainer waits for none.
func newWantedGroups(spec *job.Spec, carried map[string]bool, listed []*job.Result) *wantedGroups {
	if spec.Desired <= 0 {
		return nil
	}
	g := &wantedGroups{groups: make(map[string]string), open: make(map[string]int), carried: carried, missing: spec.Desired}
	for _, item := range spec.Items {
		if g.open[item.Group] == 0 && carried[item.Group] {
			g.carriedOpen++
		}
		g.groups[item.ID] = item.Group
		g.open[item.Group]++
	}
	for _, result := range listed {
		g.list(result.ItemID)
	}
	return g
}

// complete reports whether the wanted groups are complete.
func (g *wantedGroups) complete() bool {
	return g == nil || g.missing <= 0 && g.carriedOpen == 0
}

// completedBy reports whether listing an item completes the wanted groups. It returns false if they are complete already.
func (g *wantedGroups) completedBy(itemID string) bool {
	if g.complete() {
		return false
	}
	group, open := g.groups[itemID]
	if !open || g.open[group] > 1 {
		return false
	}
	carriedOpen := g.carriedOpen
	if g.carried[group] {
		carriedOpen--
	}
	return g.missing <= 1 && carriedOpen == 0
}

// list counts an item as listed. An item that is listed already, or that is not part of the job, has no effect.
func (g *wantedGroups) list(itemID string) {
	if g == nil {
		return
	}
	group, open := g.groups[itemID]
	if !open {
		return
	}
	delete(g.groups, itemID)
	if g.open[group]--; g.open[group] > 0 {
		return
	}
	g.missing--
	if g.carried[group] {
		g.carriedOpen--
	}
}
