package stepledger

import (
	"context"
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hillfork/hillfork/internal/bundle"
	"github.com/hillfork/hillfork/internal/peerapi"
	"github.com/hillfork/hillfork/internal/policy"
	"github.com/hillfork/hillfork/internal/stepledger/assign"
)

// maxAssignments limits the samples assigned in one response.
const maxAssignments = 256

// PullWork assigns samples to an engine. If there are none for it, the call waits until there are some, a version newer than
// KnownLatest is published, or WaitMillis have passed. With FreeSlots 0 it waits for a backlog instead and assigns nothing.
func (s *Service) PullWork(ctx context.Context, request *peerapi.PullWork) (*peerapi.PullWorkResult, error) {
	if _, err := s.workload(request.Workload); err != nil {
		return nil, err
	}
	current, err := s.openSession(ctx, request.Workload, request.Shard)
	if err != nil {
		return nil, err
	}
	timer := time.NewTimer(boundedWait(request.WaitMillis))
	defer timer.Stop()
	for {
		changed := current.work.changed()
		bundleChanged := s.config.Bundles.Changed()
		workload, err := s.workload(request.Workload)
		if err != nil {
			return nil, err
		}
		result := current.pull(request, workload, time.Now())
		if respondsAtOnce(request, result) {
			return result, nil
		}
		again, err := current.wait(ctx, timer, changed, bundleChanged)
		if err != nil {
			return nil, err
		}
		if !again {
			return result, nil
		}
	}
}

// respondsAtOnce reports whether a result is returned before the wait is over.
func respondsAtOnce(request *peerapi.PullWork, result *peerapi.PullWorkResult) bool {
	if len(result.Assignments) > 0 || result.Latest > request.KnownLatest {
		return true
	}
	return request.FreeSlots <= 0 && result.Backlog > 0
}

// pull assigns the samples that an engine can start now, if any.
func (c *session) pull(request *peerapi.PullWork, workload *bundle.Workload, now time.Time) *peerapi.PullWorkResult {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	result := &peerapi.PullWorkResult{}
	c.view(func(state *State) {
		result.Latest = state.Latest()
		if c.draining {
			return
		}
		limits := boundsOf(workload, state.Latest())
		snapshot := c.snapshot(state, workload, limits, now)
		snapshot.ServedVersion = request.ServedVersion
		snapshot.FreeSlots = min(request.FreeSlots, maxAssignments)
		for _, choice := range assign.Decide(snapshot) {
			assignment := c.assignSample(state.step(choice.Step), choice.Index, request, workload, limits, now)
			result.Assignments = append(result.Assignments, assignment)
		}
		waiting, oldest := backlog(snapshot, len(result.Assignments))
		result.Backlog, result.Oldest = waiting, oldest
	})
	return result
}

// snapshot returns the input of the assignment decision without the engine's fields. The caller holds the mutex and the view.
func (c *session) snapshot(state *State, workload *bundle.Workload, limits bounds, now time.Time) assign.Snapshot {
	snapshot := assign.Snapshot{
		Latest:      state.Latest(),
		MinVersion:  limits.minVersion,
		MaxVersion:  limits.maxVersion,
		InFlight:    len(c.running),
		MaxInFlight: shardInFlight(workload.Limits.MaxInFlight),
	}
	if workload.Staleness != nil {
		snapshot.Bounded = true
		snapshot.MaxVersionsBehind = workload.Staleness.MaxVersionsBehind
	}
	c.applyPolicy(&snapshot, workload, now)
	position, known := c.trainerPosition(state)
	snapshot.PositionUnknown = !known
	minLimit := ShardsPerWorkload - 1
	if !known {
		minLimit = 0
	}
	maxLimit := minLimit
	for _, step := range state.image.Steps {
		if step.Completed < len(step.Samples) {
			snapshot.Steps = append(snapshot.Steps, assign.Step{
				Number: step.Step, MinStepsAhead: stepsAhead(step.Step, position, minLimit), MaxStepsAhead: stepsAhead(step.Step, position, maxLimit),
				Samples: len(step.Samples), Candidates: c.candidates(step, now),
			})
		}
		if step.Step < position {
			continue
		}
		maxLimit += ShardsPerWorkload
		if !step.handedOver() {
			minLimit += ShardsPerWorkload
		}
	}
	return snapshot
}

// longFactor times the workload's mean answer length is the min predicted length of a long sample.
const longFactor = 1.5

// freshVersionTimeout is the max time for which samples wait for an engine with a new version before they are started on an
// older one.
const freshVersionTimeout = 30 * time.Second

// applyPolicy sets the fields that depend on the workload's objective and the policy settings. The caller holds the mutex.
func (c *session) applyPolicy(snapshot *assign.Snapshot, workload *bundle.Workload, now time.Time) {
	settings := c.service.config.Policy
	snapshot.ArrivalOrder = settings.ArrivalOrder
	snapshot.LongTokens = int(longFactor * float64(c.history.Mean()))
	objective := workload.Objective
	switch {
	case settings.LookAhead != nil:
		snapshot.AheadBounded = true
		snapshot.LookAhead = policy.LookAheadOf(*settings.LookAhead)
	case objective != nil && workload.Staleness != nil:
		behind := workload.Staleness.MaxVersionsBehind
		snapshot.AheadBounded = true
		snapshot.LookAhead = policy.LookAheadFor(objective.IdleWeight, objective.StalenessWeight, behind)
	}
	if objective != nil && !settings.AnyVersion {
		waiting := now.Sub(c.publishedAt) < freshVersionTimeout
		snapshot.FreshOnly = waiting && policy.PrefersFresh(objective.IdleWeight, objective.StalenessWeight)
	}
}

// stepsAhead returns the number of steps that the trainer is expected to finish before a step. It is capped at limit, since
// step numbers may have gaps.
func stepsAhead(step, position uint64, limit int) int {
	if step <= position {
		return 0
	}
	return int(min(step-position, uint64(limit)))
}

// trainerPosition estimates the step that the trainer fetches or trains on now. A shard receives the fetches of every
// second step only, so each version published since the last fetch counts as one step. Before the first fetch it is the
// newest step with positions. If there is none either, it is the oldest open step, and known is false.
func (c *session) trainerPosition(state *State) (position uint64, known bool) {
	if c.fetchedStep > 0 {
		position := c.fetchedStep
		if latest := state.Latest(); latest > c.fetchedVersion {
			position += latest - c.fetchedVersion
		}
		return position, true
	}
	if newest := newestStepWithPositions(state); newest > 0 || len(state.image.Steps) == 0 {
		return newest, newest > 0
	}
	return state.image.Steps[0].Step, false
}

// shardInFlight returns one shard's share of a workload's limit on running samples; 0 means no limit.
func shardInFlight(maxInFlight int) int {
	if maxInFlight <= 0 {
		return 0
	}
	return max(maxInFlight/ShardsPerWorkload, 1)
}

// newestStepWithPositions returns the newest open step of which samples have positions; 0 if there is none. Older steps need
// not have any, so that a step that the trainer skips does not block later ones.
func newestStepWithPositions(state *State) uint64 {
	for i := len(state.image.Steps) - 1; i >= 0; i-- {
		if step := state.image.Steps[i]; len(step.Positions) > 0 {
			return step.Step
		}
	}
	return 0
}

// candidates returns the assignable samples of a step with their predicted lengths. The caller holds the mutex and the view.
func (c *session) candidates(step *StepImage, now time.Time) []assign.Candidate {
	if c.inherited[step.Step] && now.Before(c.graceEnds) {
		return nil
	}
	candidates := make([]assign.Candidate, 0, len(step.Samples)-step.Completed)
	mean := c.history.Mean()
	for first := 0; first < len(step.Samples); first += step.SamplesPerPrompt {
		start := len(candidates)
		for index := first; index < first+step.SamplesPerPrompt; index++ {
			if step.waiting(index) && c.assignable(sampleKey{step: step.Step, index: index}, now) {
				candidates = append(candidates, assign.Candidate{Index: index, Sibling: index - first})
			}
		}
		if len(candidates) == start {
			continue
		}
		predicted := assign.Predict(c.siblings(step, first), mean, step.MaxTokens)
		for i := range candidates[start:] {
			candidates[start+i].Predicted = predicted
		}
	}
	return candidates
}

// siblings summarizes the samples of the prompt whose first sample has the given index. The caller holds the mutex and the
// view.
func (c *session) siblings(step *StepImage, first int) assign.Siblings {
	var known assign.Siblings
	for index := first; index < first+step.SamplesPerPrompt; index++ {
		if sample := &step.Samples[index]; sample.Tokens > 0 {
			known.Finished++
			known.Tokens += sample.Tokens
			continue
		}
		if current := c.running[sampleKey{step: step.Step, index: index}]; current != nil {
			known.LongestRunning = max(known.LongestRunning, current.tokens)
		}
	}
	return known
}

// backlog returns the number of startable samples that remain after the first assigned ones, and the oldest step that has
// any of them; 0 if there is none.
func backlog(snapshot assign.Snapshot, assigned int) (count int, oldest uint64) {
	for _, step := range snapshot.Steps {
		count += len(snapshot.Startable(step))
		if count > assigned && oldest == 0 {
			oldest = step.Number
		}
	}
	return count - assigned, oldest
}

// assignSample starts an attempt at a sample on an engine. The caller holds the mutex and the view.
func (c *session) assignSample(
	step *StepImage,
	index int,
	request *peerapi.PullWork,
	workload *bundle.Workload,
	limits bounds,
	now time.Time,
) peerapi.Assignment {
	key := sampleKey{step: step.Step, index: index}
	first := step.promptOf(index) * step.SamplesPerPrompt
	prompt, err := unpackTokens(step.Prompts[step.promptOf(index)])
	if err != nil {
		panic("step ledger prompt does not decode: " + err.Error())
	}
	assignment := peerapi.Assignment{
		Workload:        request.Workload,
		Step:            step.Step,
		Index:           index,
		Model:           workload.Model,
		Prompt:          prompt,
		MaxTokens:       step.MaxTokens,
		Seed:            sampleSeed(request.Workload, key),
		PredictedTokens: assign.Predict(c.siblings(step, first), c.history.Mean(), step.MaxTokens),
		MinVersion:      limits.minVersion,
	}
	oldest := request.ServedVersion
	if earlier := c.partials[key]; len(earlier.tokens) > 0 && limits.acceptsSpans(earlier.spans) {
		c.service.counters.Resumed.Add(1)
		assignment.Resume = earlier.tokens
		assignment.ResumeSpans = messageSpans(earlier.spans)
		oldest = min(oldest, oldestVersion(earlier.spans))
	}
	c.service.counters.Assigned.Add(1)
	assignment.Attempt = c.startAttempt(key, request.Engine, oldest, now)
	return assignment
}

// sampleSeed returns the seed of a sample, which is the same for all its attempts.
func sampleSeed(workload string, key sampleKey) uint64 {
	hash := xxhash.New()
	var numbers [16]byte
	binary.BigEndian.PutUint64(numbers[:8], key.step)
	binary.BigEndian.PutUint64(numbers[8:], uint64(key.index))
	_, _ = hash.WriteString(workload)
	_, _ = hash.Write(numbers[:])
	return hash.Sum64()
}
