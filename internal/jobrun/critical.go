package jobrun

import (
	"math"
	"sync/atomic"

	"github.com/hillfork/hillfork/internal/policy"
)

// criticalEvents is the expected number of events until the job is complete, as estimated by policy.CriticalEvents. The zero
// value means that it is not known. It is safe for concurrent use.
type criticalEvents struct {
	bits atomic.Uint64
}

// Value returns the number of events, or 0 if nothing is known about the job's items.
func (c *criticalEvents) Value() float64 {
	return math.Float64frombits(c.bits.Load())
}

// update recomputes the number from the expected remaining events of the job's items. Items without an execution are already
// listed and count as 0.
func (c *criticalEvents) update(running *runningJob) {
	longest := make(map[string]float64)
	for _, item := range running.spec.Items {
		events := 0.0
		if execution, ok := running.items[item.ID]; ok {
			events = execution.remaining()
		}
		longest[item.Group] = max(longest[item.Group], events)
	}
	groups := make([]policy.GroupLength, 0, len(longest))
	for name, events := range longest {
		groups = append(groups, policy.GroupLength{Events: events, Carried: running.carried[name]})
	}
	c.bits.Store(math.Float64bits(policy.CriticalEvents(groups, running.spec.Desired)))
}
