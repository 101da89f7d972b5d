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

// handoverWindow is the max time between the end of the ownership proof and the response based on it. FetchSamples
// starts over after a longer time, for example after the process was paused in between.
const handoverWindow = 2 * time.Second

// FetchSamples returns the samples from a cursor on. The cursor acknowledges every position below it. Positions are in the
// log before they are sent, and the same cursor returns the same samples at the same positions. Only an unacknowledged
// answer that has exceeded the staleness bound is replaced, at the same position, by a new answer to the same sample. The
// bundle stream is read to its tail and the ownership of the shard is proven before samples are handed over.
func (s *Service) FetchSamples(ctx context.Context, request *peerapi.FetchSamples) (*peerapi.FetchSamplesResult, error) {
	if _, err := s.workload(request.Workload); err != nil {
		return nil, err
	}
	current, err := s.openSession(ctx, request.Workload, ShardOf(request.Step))
	if err != nil {
		return nil, err
	}
	current.recordFetch(request.Step, request.TrainerVersion)
	timer := time.NewTimer(boundedWait(request.WaitMillis))
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
		if round.retry || time.Since(round.provenAt) > handoverWindow {
			continue
		}
		if round.result != nil {
			s.counters.HandedOver.Add(uint64(len(round.result.Samples)))
			return round.result, nil
		}
		retry, err := current.wait(ctx, timer, changed, bundleChanged)
		if err != nil {
			return nil, err
		}
		if !retry {
			return round.empty(request)
		}
	}
}

// recordFetch stores the step and the version of the trainer if the step is newer than that of all fetches before.
func (c *session) recordFetch(step, trainerVersion uint64) {
	c.mutex.Lock()
	newer := step > c.fetchedStep
	if newer {
		c.fetchedStep, c.fetchedVersion = step, trainerVersion
	}
	c.mutex.Unlock()
	if newer {
		c.work.notify()
	}
}

// fetchRound is the result of one pass of FetchSamples.
type fetchRound struct {
	// result is the response; nil if there is nothing to hand over yet.
	result *peerapi.FetchSamplesResult
	// retry is set if the pass must be repeated at once.
	retry bool
	// found is set if the step is known.
	found bool
	// provenAt is the time at which the proof of ownership and the confirmation of the bundle were complete.
	provenAt time.Time
	accepted *bundle.Accepted
}

// empty returns the response to a fetch that ends without samples, or CodeNotFound for an unknown step.
func (r fetchRound) empty(request *peerapi.FetchSamples) (*peerapi.FetchSamplesResult, error) {
	if !r.found {
		return nil, refuse(peer.CodeNotFound, "step was never submitted")
	}
	return &peerapi.FetchSamplesResult{NextCursor: request.Cursor, BundleVersion: r.accepted.Bundle.Version}, nil
}

// fetchRound makes one pass of FetchSamples: it plans the records, writes them while the bundle is confirmed, and then
// collects the samples that may be handed over. An idle plan ends the pass at once, so that a waiting fetch causes no calls
// to the log.
func (c *session) fetchRound(ctx context.Context, request *peerapi.FetchSamples, accepted *bundle.Accepted) (fetchRound, error) {
	workload, err := trainingWorkload(accepted, request.Workload)
	if err != nil {
		return fetchRound{}, err
	}
	var plan fetchPlan
	workload = c.service.handoverWorkload(workload)
	c.view(func(state *State) { plan = planFetch(state, request, workload, time.Now()) })
	c.service.mutatePlan(&plan)
	if plan.idle {
		return fetchRound{accepted: accepted, found: true, provenAt: time.Now()}, nil
	}
	c.service.runFailpoint("fetch.before_append")
	conflict, confirmed, err := c.commitFetch(ctx, plan.proposals)
	if err != nil {
		return fetchRound{}, err
	}
	provenAt := time.Now()
	c.service.runFailpoint("fetch.after_append")
	if plan.version > 0 {
		c.versionChanged(plan.version)
	}
	if plan.replaced {
		c.work.notify()
	}
	round := fetchRound{accepted: confirmed, retry: conflict, found: true, provenAt: provenAt}
	if conflict {
		return round, nil
	}
	workload, err = trainingWorkload(confirmed, request.Workload)
	if err != nil {
		return fetchRound{}, err
	}
	workload = c.service.handoverWorkload(workload)
	var handover handover
	c.view(func(state *State) { handover = collect(state, request, workload, time.Now()) })
	c.service.runFailpoint("fetch.before_handover")
	if handover.refusal != nil {
		return fetchRound{}, handover.refusal
	}
	round.found = handover.found
	round.retry = handover.overBound
	if handover.complete || len(handover.samples) > 0 {
		round.retry = false
		round.result = handover.response(request, confirmed)
	}
	return round, nil
}

// commitFetch writes the planned records, or proves the ownership of the shard if there are none, and concurrently confirms
// the bundle. conflict is set if another fetch changed the state between the planning and the write.
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
