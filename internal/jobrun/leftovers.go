package jobrun

import (
	"github.com/hillfork/hillfork/internal/job"
)

// carriedGroups returns the groups of which an item was already part of an earlier job. The trainer waits for these groups, no
// matter which others are complete.
func (r *runner) carriedGroups(spec *job.Spec) map[string]bool {
	carried := make(map[string]bool)
	for _, item := range spec.Items {
		if !carried[item.Group] && r.ledger.InOtherJob(spec.ID, item.ID) {
			carried[item.Group] = true
		}
	}
	return carried
}

// earlierProgress returns the item's text from an earlier job. It returns nil if there is none, if its weight versions are not
// allowed by the job, or if it has no more events than the item's own progress.
func (r *runner) earlierProgress(spec *job.Spec, open job.OpenItem) *job.Progress {
	earlier := r.ledger.OtherJobText(spec.ID, open.Item.ID)
	if earlier == nil {
		earlier = r.partialTexts[open.Item.ID]
	}
	if earlier == nil || !versionsAllowed(earlier.Versions, spec.MinVersion) {
		return nil
	}
	if open.Progress != nil && !earlier.FurtherThan(open.Progress) {
		return nil
	}
	return earlier
}

// maxPartialTexts bounds the number of kept texts: once it is exceeded, all are dropped before the texts of the next job are added.
const maxPartialTexts = 256

// savePartialTexts keeps the incomplete texts of an ended job's items, since their groups may be submitted again in a later
// job.
func (r *runner) savePartialTexts(running *runningJob) {
	if len(r.partialTexts) > maxPartialTexts {
		clear(r.partialTexts)
	}
	for id, execution := range running.items {
		progress, _ := execution.progress()
		if !progress.Whole && len(progress.Events) > 0 {
			// The score belongs to a call of the earlier job.
			progress.Score = ""
			r.partialTexts[id] = &progress
		}
	}
}
