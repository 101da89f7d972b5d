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

// maxAssignments bounds the samples given in one answer.
const maxAssignments = 256

// PullWork gives samples to an engine. Without work for it, the answer is held until there is some, until a version newer
// than KnownLatest is published, or until WaitMillis are over. FreeSlots 0 waits in the same way and takes nothing.
func (s *Service) PullWork(ctx context.Context, request *peerapi.PullWork) (*peerapi.PullWorkResult, error) {
	if _, err := s.workload(request.Workload); err != nil {
		return nil, err
	}
	current, err := s.open(ctx, request.Workload, request.Shard)
	if err != nil {
		return nil, err
	}
	timer := time.NewTimer(waitTime(request.WaitMillis))
	defer timer.Stop()
	for {
		changed := current.work.changed()
		bundleChanged := s.config.Bundles.Changed()
		workload, err := s.workload(request.Workload)
		if err != nil {
			return nil, err
		}
		result := current.pull(request, workload, time.Now())
		if answersPull(request, result) {
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

// answersPull reports whether a result is worth answering before the wait is over.
func answersPull(request *peerapi.PullWork, result *peerapi.PullWorkResult) bool {
	if len(result.Assignments) > 0 || result.Latest > request.KnownLatest {
		return true
	}
	return request.FreeSlots <= 0 && result.Backlog > 0
}

// pull takes samples for an engine, if there are any for it now.
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
			assignment := c.give(state.step(choice.Step), choice.Index, request, workload, limits, now)
			result.Assignments = append(result.Assignments, assignment)
		}
		waiting, oldest := backlog(snapshot, len(result.Assignments))
		result.Backlog, result.Oldest = waiting, oldest
	})
	return result
}

// snapshot collects what the assignment decision depends on, the engine aside. The caller holds the mutex and the view.
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
	most := ShardsPerWorkload - 1
	if !known {
		most = 0
	}
	farthest := most
	for _, step := range state.image.Steps {
		if step.Completed < len(step.Samples) {
			snapshot.Steps = append(snapshot.Steps, assign.Step{
				Number: step.Step, Ahead: stepsAhead(step.Step, position, most), Distance: stepsAhead(step.Step, position, farthest),
				Samples: len(step.Samples), Candidates: c.candidates(step, now),
			})
		}
		if step.Step < position {
			continue
		}
		farthest += ShardsPerWorkload
		if !step.handedOver() {
			most += ShardsPerWorkload
		}
	}
	return snapshot
}

// longFactor is how many times the workload's mean length makes a sample a long one.
const longFactor = 1.5

// freshPatience is how long samples wait for engines to load a new version before they are begun on an older one.
const freshPatience = 30 * time.Second

// applyPolicy sets what the workload's objective and the process's settings ask for. The caller holds the mutex.
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
		waiting := now.Sub(c.publishedAt) < freshPatience
		snapshot.FreshOnly = waiting && policy.PrefersFresh(objective.IdleWeight, objective.StalenessWeight)
	}
}

// stepsAhead is how many steps the trainer is expected to take before a step, at most most: numbers may have gaps.
func stepsAhead(step, position uint64, most int) int {
	if step <= position {
		return 0
	}
	return int(min(step-position, uint64(most)))
}

// trainerPosition estimates the step that the trainer wants or trains on now. A shard sees every second step only; in
// between, each version published stands for a step. Where the shard has seen no fetch the oldest open step is taken, and
// known is false.
func (c *session) trainerPosition(state *State) (position uint64, known bool) {
	if c.fetching > 0 {
		position := c.fetching
		if latest := state.Latest(); latest > c.fetchVersion {
			position += latest - c.fetchVersion
		}
		return position, true
	}
	if given := trainerStep(state); given > 0 || len(state.image.Steps) == 0 {
		return given, given > 0
	}
	return state.image.Steps[0].Step, false
}

// shardInFlight is one shard's part of a workload's bound on samples running; 0 is no bound.
func shardInFlight(maxInFlight int) int {
	if maxInFlight <= 0 {
		return 0
	}
	return max(maxInFlight/ShardsPerWorkload, 1)
}

// trainerStep is the newest step that the trainer has been given samples of. Older steps do not hold it back, so that a step
// that the trainer skips does not stop those after it.
func trainerStep(state *State) uint64 {
	for i := len(state.image.Steps) - 1; i >= 0; i-- {
		if step := state.image.Steps[i]; len(step.Positions) > 0 {
			return step.Step
		}
	}
	return 0
}

// candidates lists the assignable samples of a step with their predicted lengths.
func (c *session) candidates(step *StepImage, now time.Time) []assign.Candidate {
	if c.inherited[step.Step] && now.Before(c.graceEnds) {
		return nil
	}
	candidates := make([]assign.Candidate, 0, len(step.Samples)-step.Completed)
	mean := c.history.Mean()
	for first := 0; first < len(step.Samples); first += step.SamplesPerPrompt {
		group := len(candidates)
		for index := first; index < first+step.SamplesPerPrompt; index++ {
			if step.waiting(index) && c.assignable(sampleKey{step: step.Step, index: index}, now) {
				candidates = append(candidates, assign.Candidate{Index: index, Sibling: index - first})
			}
		}
		if len(candidates) == group {
			continue
		}
		predicted := assign.Predict(c.siblings(step, first), mean, step.MaxTokens)
		for i := range candidates[group:] {
			candidates[group+i].Predicted = predicted
		}
	}
	return candidates
}

// siblings collects what is known of the samples of the prompt whose first sample is first.
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

// backlog counts the samples that wait, those too far ahead of the trainer aside, once the first given have been taken
// away. oldest is the first step that has any; 0 where none waits.
func backlog(snapshot assign.Snapshot, given int) (count int, oldest uint64) {
	for _, step := range snapshot.Steps {
		count += len(snapshot.Startable(step))
		if count > given && oldest == 0 {
			oldest = step.Number
		}
	}
	return count - given, oldest
}

// give starts an attempt for an engine. The caller holds the mutex and the view.
func (c *session) give(
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
	if rest := c.partials[key]; len(rest.tokens) > 0 && limits.acceptsSpans(rest.spans) {
		c.service.counters.Resumed.Add(1)
		assignment.Resume = rest.tokens
		assignment.ResumeSpans = messageSpans(rest.spans)
		oldest = min(oldest, oldestVersion(rest.spans))
	}
	c.service.counters.Assigned.Add(1)
	assignment.Attempt = c.start(key, request.Engine, oldest, now)
	return assignment
}

// sampleSeed is the seed of a sample, the same for each of its attempts.
func sampleSeed(workload string, key sampleKey) uint64 {
	hash := xxhash.New()
	var numbers [16]byte
	binary.BigEndian.PutUint64(numbers[:8], key.step)
	binary.BigEndian.PutUint64(numbers[8:], uint64(key.index))
	_, _ = hash.WriteString(workload)
	_, _ = hash.Write(numbers[:])
	return hash.Sum64()
}
