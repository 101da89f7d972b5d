package jobrun

import (
	"github.com/hillfork/hillfork/internal/job"
)

// carriedGroups returns the groups of which an item was in an earlier job: the trainer waits for these whatever others are
// whole.
func (r *runner) carriedGroups(spec *job.Spec) map[string]bool {
	carried := make(map[string]bool)
	for _, item := range spec.Items {
		if !carried[item.Group] && r.ledger.InOtherJob(spec.ID, item.ID) {
			carried[item.Group] = true
		}
	}
	return carried
}

// kept returns what is there of an item's text from an earlier job, nil if the job does not allow its versions or it is no further than
// the item's own progress.
func (r *runner) kept(spec *job.Spec, open job.OpenItem) *job.Progress {
	earlier := r.ledger.OtherJobText(spec.ID, open.Item.ID)
	if earlier == nil {
		earlier = r.leftovers[open.Item.ID]
	}
	if earlier == nil || !fits(earlier.Versions, spec.MinVersion) {
		return nil
	}
	if open.Progress != nil && !earlier.FurtherThan(open.Progress) {
		return nil
	}
	return earlier
}

// leftoversMost bounds the items of ended jobs whose text is kept.
const leftoversMost = 256

// keepLeftovers keeps the text of the items of a job that ended before they were listed: their groups may come again.
func (r *runner) keepLeftovers(running *runningJob) {
	if len(r.leftovers) > leftoversMost {
		clear(r.leftovers)
	}
	for id, execution := range running.items {
		progress, _ := execution.progress()
		if !progress.Whole && len(progress.Events) > 0 {
			// The scorer's word belongs to a call of the earlier job.
			progress.Score = ""
			r.leftovers[id] = &progress
		}
	}
}
