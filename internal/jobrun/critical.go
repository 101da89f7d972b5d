package jobrun

import (
	"math"
	"sync/atomic"

	"github.com/hillfork/hillfork/internal/policy"
)

// criticalEvents is how many events are expected to be left of the items that a job waits for. The zero value stands for not known. It is
// safe for concurrent use.
type criticalEvents struct {
	bits atomic.Uint64
}

// Value returns the events, 0 if nothing is known of the job's items.
func (c *criticalEvents) Value() float64 {
	return math.Float64frombits(c.bits.Load())
}

// update sets the events by what is left of the job's items. Items without an execution are listed, and have none left.
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
