package stepledger

import (
	"slices"

	"github.com/hillfork/hillfork/internal/bundle"
	"github.com/hillfork/hillfork/internal/mutation"
	"github.com/hillfork/hillfork/internal/shard"
)

// handoverTerms is the workload as the hand-over judges answers by it: the workload itself, unless a test has switched the
// staleness check off.
func (s *Service) handoverTerms(workload *bundle.Workload) *bundle.Workload {
	if !s.config.Mutations.Has(mutation.NoStalenessAtHandover) {
		return workload
	}
	lax := *workload
	lax.Staleness = nil
	return &lax
}

// mutatePlan takes the replacement of answers out of a plan where a test has switched it off.
func (s *Service) mutatePlan(plan *fetchPlan) {
	if !s.config.Mutations.Has(mutation.NoReplacement) {
		return
	}
	plan.replaced = false
	plan.proposals = slices.DeleteFunc(plan.proposals, func(p shard.Proposal) bool { return p.Kind == KindSampleReplaced })
}
