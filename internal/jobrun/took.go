package jobrun

import (
	"time"

	"github.com/hillfork/hillfork/internal/job"
)

// takeUsage returns the engine time of a job that is about to be settled, and forgets it.
func (r *runner) takeUsage(id string) job.SlotTime {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if running, ok := r.jobs[id]; ok {
		return running.usage(time.Now())
	}
	usage := r.engineUsage[id]
	delete(r.engineUsage, id)
	return usage
}

// usage returns the engine time that the job has used until now, or the zero value if another owner has run a part of it.
func (j *runningJob) usage(now time.Time) job.SlotTime {
	var total job.SlotTime
	if !j.ranFromStart {
		return total
	}
	longest := make(map[string]time.Duration)
	unfinished := make(map[string]bool)
	for _, execution := range j.items {
		held, finished := execution.heldTime(now)
		group := execution.item.Group
		total.Items += held
		longest[group] = max(longest[group], held)
		unfinished[group] = unfinished[group] || !finished
	}
	for group, held := range longest {
		if !unfinished[group] {
			total.Longest = max(total.Longest, held)
		}
	}
	return total
}

// markSlotHeld records that the item holds a slot from now on; markSlotReleased records that it no longer does.
func (e *execution) markSlotHeld() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.heldSince = time.Now()
}

func (e *execution) markSlotReleased() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.held += time.Since(e.heldSince)
	e.heldSince = time.Time{}
}

// heldTime returns how long the item has held slots until now, and reports whether the item is finished.
func (e *execution) heldTime(now time.Time) (time.Duration, bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	held := e.held
	if !e.heldSince.IsZero() {
		held += now.Sub(e.heldSince)
	}
	return held, e.finished
}
