package stepledger

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/hillfork/hillfork/internal/bundle"
	"github.com/hillfork/hillfork/internal/peer"
	"github.com/hillfork/hillfork/internal/peerapi"
	"github.com/hillfork/hillfork/internal/shard"
)

// handoverWindow is the longest time between the end of the proof of ownership and the answer that relies on it. A process
// that was paused in between starts over.
const handoverWindow = 2 * time.Second

// FetchSamples hands out samples from a cursor on, which says that the trainer holds every position below it. Positions
// are in the log before they are sent, and the same cursor gets the same samples at the same positions, unless one has
// passed the staleness bound: it never arrived, and a new answer of the same sample takes its position. The bundle stream
// is read to its tail and the ownership proven before anything is handed over.
func (s *Service) FetchSamples(ctx context.Context, request *peerapi.FetchSamples) (*peerapi.FetchSamplesResult, error) {
	if _, err := s.workload(request.Workload); err != nil {
		return nil, err
	}
	current, err := s.open(ctx, request.Workload, ShardOf(request.Step))
	if err != nil {
		return nil, err
	}
	current.noteFetch(request.Step, request.TrainerVersion)
	timer := time.NewTimer(waitTime(request.WaitMillis))
	defer timer.Stop()
	accepted := s.config.Bundles.Current()
	for {
		changed := current.ready.changed()
		bundleChanged := s.config.Bundles.Changed()
		round, err := current.fetchRound(ctx, request, accepted)
		if err != nil {
			return nil, err
		}
		accepted = round.accepted
		if round.again || time.Since(round.proven) > handoverWindow {
			continue
		}
		if round.result != nil {
			s.counters.HandedOver.Add(uint64(len(round.result.Samples)))
			return round.result, nil
		}
		again, err := current.wait(ctx, timer, changed, bundleChanged)
		if err != nil {
			return nil, err
		}
		if !again {
			return round.empty(request)
		}
	}
}

// noteFetch notes the step that the trainer wants, and its version.
func (c *session) noteFetch(step, trainerVersion uint64) {
	c.mutex.Lock()
	newer := step > c.fetching
	if newer {
		c.fetching, c.fetchVersion = step, trainerVersion
	}
	c.mutex.Unlock()
	if newer {
		c.work.raise()
	}
}

// fetchRound is what one pass of FetchSamples came to.
type fetchRound struct {
	// result is the answer; nil when there is nothing to hand over yet.
	result *peerapi.FetchSamplesResult
	// again says that the pass must be repeated at once.
	again bool
	// found says that the step is known.
	found bool
	// proven is when the ownership and the bundle were known to be in force.
	proven   time.Time
	accepted *bundle.Accepted
}

// empty is the answer when the wait is over with nothing to hand over.
func (r fetchRound) empty(request *peerapi.FetchSamples) (*peerapi.FetchSamplesResult, error) {
	if !r.found {
		return nil, refuse(peer.CodeNotFound, "step was never submitted")
	}
	return &peerapi.FetchSamplesResult{NextCursor: request.Cursor, BundleVersion: r.accepted.Bundle.Version}, nil
}

// fetchRound plans, and where there is nothing to do ends there, so that a waiting fetch costs the log nothing. Otherwise it
// writes the plan while the bundle is confirmed, and collects what may be handed over after that.
func (c *session) fetchRound(ctx context.Context, request *peerapi.FetchSamples, accepted *bundle.Accepted) (fetchRound, error) {
	workload, err := trainingWorkload(accepted, request.Workload)
	if err != nil {
		return fetchRound{}, err
	}
	var plan fetchPlan
	workload = c.service.handoverTerms(workload)
	c.view(func(state *State) { plan = planFetch(state, request, workload, time.Now()) })
	c.service.mutatePlan(&plan)
	if plan.idle {
		return fetchRound{accepted: accepted, found: true, proven: time.Now()}, nil
	}
	c.service.reach("fetch.before_append")
	conflict, confirmed, err := c.commitFetch(ctx, plan.proposals)
	if err != nil {
		return fetchRound{}, err
	}
	proven := time.Now()
	c.service.reach("fetch.after_append")
	if plan.version > 0 {
		c.versionChanged(plan.version)
	}
	if plan.replaced {
		c.work.raise()
	}
	round := fetchRound{accepted: confirmed, again: conflict, found: true, proven: proven}
	if conflict {
		return round, nil
	}
	workload, err = trainingWorkload(confirmed, request.Workload)
	if err != nil {
		return fetchRound{}, err
	}
	workload = c.service.handoverTerms(workload)
	var handover handover
	c.view(func(state *State) { handover = collect(state, request, workload, time.Now()) })
	c.service.reach("fetch.before_handover")
	if handover.refusal != nil {
		return fetchRound{}, handover.refusal
	}
	round.found = handover.found
	round.again = handover.overBound
	if handover.complete || len(handover.samples) > 0 {
		round.again = false
		round.result = handover.answer(request, confirmed)
	}
	return round, nil
}

// commitFetch writes the plan, or proves the ownership where there is nothing to write, and confirms the bundle at the same
// time. conflict says that another fetch came between plan and log.
func (c *session) commitFetch(ctx context.Context, proposals []shard.Proposal) (conflict bool, accepted *bundle.Accepted, err error) {
	group, groupCtx := errgroup.WithContext(ctx)
	group.Go(func() error {
		var err error
		accepted, err = c.service.config.Confirmer.Confirm(groupCtx)
		if err != nil {
			return refuse(peer.CodeNotReady, "bundle cannot be confirmed: "+err.Error())
		}
		if accepted == nil {
			return refuse(peer.CodeNotReady, "no bundle is in force")
		}
		return nil
	})
	group.Go(func() error {
		if len(proposals) == 0 {
			return c.confirm(groupCtx)
		}
		outcomes, err := c.append(groupCtx, proposals...)
		c.countReplaced(proposals, outcomes)
		for _, outcome := range outcomes {
			if outcome == OutcomeConflict || outcome == OutcomeUnknown {
				conflict = true
			}
		}
		return err
	})
	err = group.Wait()
	return conflict, accepted, err
}
