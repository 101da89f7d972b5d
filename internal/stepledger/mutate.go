package stepledger

import (
	"slices"

	"github.com/hillfork/hillfork/internal/bundle"
	"github.com/hillfork/hillfork/internal/mutation"
	"github.com/hillfork/hillfork/internal/shard"
)

// handoverWorkload returns the workload whose limits apply at hand-over: the given one, or a copy without a staleness bound
// if a test has disabled the staleness check.
func (s *Service) handoverWorkload(workload *bundle.Workload) *bundle.Workload {
	if !s.config.Mutations.Has(mutation.NoStalenessAtHandover) {
		return workload
	}
	relaxed := *workload
	relaxed.Staleness = nil
	return &relaxed
}

// mutatePlan removes the replacement of answers from a plan if a test has disabled it.
func (s *Service) mutatePlan(plan *fetchPlan) {
	if !s.config.Mutations.Has(mutation.NoReplacement) {
		return
	}
	plan.replaced = false
	plan.proposals = slices.DeleteFunc(plan.proposals, func(p shard.Proposal) bool { return p.Kind == KindSampleReplaced })
}
