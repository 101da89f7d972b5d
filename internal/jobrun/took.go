package jobrun

import (
	"time"

	"github.com/hillfork/hillfork/internal/job"
)

// takeTook returns what a job that is about to be settled took of engines, and forgets it.
func (r *runner) takeTook(id string) job.SlotTime {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if running, ok := r.jobs[id]; ok {
		return running.took(time.Now())
	}
	took := r.took[id]
	delete(r.took, id)
	return took
}

// took returns what the job has taken of engines up to a moment, the zero value if another owner has run a part of it.
func (j *runningJob) took(now time.Time) job.SlotTime {
	var took job.SlotTime
	if !j.whole {
		return took
	}
	longest := make(map[string]time.Duration)
	broken := make(map[string]bool)
	for _, execution := range j.items {
		held, settled := execution.heldFor(now)
		group := execution.item.Group
		took.Items += held
		longest[group] = max(longest[group], held)
		broken[group] = broken[group] || !settled
	}
	for group, held := range longest {
		if !broken[group] {
			took.Longest = max(took.Longest, held)
		}
	}
	return took
}

// hold notes that the item holds a place from now on, letGo that it does no more.
func (e *execution) hold() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.heldSince = time.Now()
}

func (e *execution) letGo() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.held += time.Since(e.heldSince)
	e.heldSince = time.Time{}
}

// heldFor returns how long the item has held places up to a moment, and whether its text is whole.
func (e *execution) heldFor(now time.Time) (time.Duration, bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	held := e.held
	if !e.heldSince.IsZero() {
		held += now.Sub(e.heldSince)
	}
	return held, e.settled
}
