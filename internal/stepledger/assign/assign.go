// Package assign decides which waiting samples are assigned to an engine. Decisions depend on the given snapshot only; the
// package reads no clock and does no I/O.
package assign

import (
	"cmp"
	"slices"

	"github.com/hillfork/hillfork/internal/policy"
)

// Candidate is one waiting sample.
type Candidate struct {
	Index int
	// Predicted is the expected length of the whole answer in tokens.
	Predicted int
	// Sibling is the number of the sample within its prompt, from 0.
	Sibling int
}

// Step is the waiting samples of one step.
type Step struct {
	Number uint64
	// MinStepsAhead is the number of steps that the trainer is expected to finish before it starts this one, with steps that
	// were handed over whole counted as finished. The staleness check is based on it, since the trainer is expected to
	// publish one version per step.
	MinStepsAhead int
	// MaxStepsAhead is the same number with steps that were handed over counted as unfinished, since the trainer may still be
	// training on them. The look-ahead is based on it.
	MaxStepsAhead int
	// Samples counts all samples of the step, waiting or not.
	Samples    int
	Candidates []Candidate
}

// Snapshot is the input of a decision.
type Snapshot struct {
	// ServedVersion is the weight version with which the engine generates new tokens.
	ServedVersion uint64
	// Latest is the newest version published.
	Latest uint64
	// MinVersion and MaxVersion limit the versions that may be delivered now; MaxVersion 0 means no limit.
	MinVersion uint64
	MaxVersion uint64
	// MaxVersionsBehind limits the trainer's version minus the sample's version at delivery. It applies if Bounded is set.
	MaxVersionsBehind uint64
	Bounded           bool
	// FreeSlots is the number of samples that the engine can accept.
	FreeSlots int
	// LookAhead limits how far ahead of the trainer samples are started. It applies if AheadBounded is set.
	LookAhead    policy.LookAhead
	AheadBounded bool
	// PositionUnknown is set until the trainer's first fetch or the first assigned position. The trainer may then be one step
	// before the oldest open step.
	PositionUnknown bool
	// LongTokens is the min length, in tokens, of a long sample.
	LongTokens int
	// FreshOnly restricts assignment to engines that serve the newest version within the limits.
	FreshOnly bool
	// ArrivalOrder assigns the samples of a step by index and ignores their predicted lengths.
	ArrivalOrder bool
	// InFlight is the number of running samples and MaxInFlight its limit; 0 means no limit.
	InFlight    int
	MaxInFlight int
	Steps       []Step
}

// Choice is a sample chosen for the engine.
type Choice struct {
	Step  uint64
	Index int
}

// Decide chooses samples for the engine: those of older steps first, within a step those with the longest predicted answer
// (so that the last samples of the step are short), then by index. It returns none if the engine's version is out of
// bounds, and skips steps so far ahead that the engine's version is expected to be out of bounds at their delivery.
func Decide(snapshot Snapshot) []Choice {
	capacity := snapshot.capacity()
	if capacity <= 0 || !snapshot.acceptsVersion() || !snapshot.freshEnough() {
		return nil
	}
	steps := slices.SortedFunc(slices.Values(snapshot.Steps), func(a, b Step) int {
		return cmp.Compare(a.Number, b.Number)
	})
	var choices []Choice
	for _, step := range steps {
		if !snapshot.inBoundWhenDelivered(step) {
			continue
		}
		for _, candidate := range snapshot.selectCandidates(snapshot.Startable(step), capacity-len(choices)) {
			choices = append(choices, Choice{Step: step.Number, Index: candidate.Index})
		}
	}
	return choices
}

// Startable returns the samples of a step that may be started on any engine: all of a step within the look-ahead, a
// fraction of the step after it, and none of later steps. The fraction is limited to the first sample of each prompt, whose
// length predicts those of its siblings, and to samples predicted to be long, because the trainer would wait for these.
// The longest of them come first.
func (s Snapshot) Startable(step Step) []Candidate {
	ahead := step.MaxStepsAhead
	if s.PositionUnknown {
		ahead++
	}
	switch {
	case !s.AheadBounded || ahead <= s.LookAhead.Steps:
		return step.Candidates
	case ahead > s.LookAhead.Steps+1 || s.LookAhead.Part <= 0:
		return nil
	}
	started := step.Samples - len(step.Candidates)
	allowed := int(s.LookAhead.Part*float64(step.Samples)) - started
	var eligible []Candidate
	for _, candidate := range step.Candidates {
		if candidate.Sibling == 0 || candidate.Predicted >= s.LongTokens {
			eligible = append(eligible, candidate)
		}
	}
	return longest(eligible, max(allowed, 0))
}

// selectCandidates returns at most count candidates, in the order in which they are assigned.
func (s Snapshot) selectCandidates(candidates []Candidate, count int) []Candidate {
	if s.ArrivalOrder {
		return candidates[:min(count, len(candidates))]
	}
	return longest(candidates, count)
}

// freshEnough reports whether the engine's version is as new as the workload requires. Engines load no version above
// MaxVersion, so the newest version is capped by it.
func (s Snapshot) freshEnough() bool {
	newest := s.Latest
	if s.MaxVersion > 0 {
		newest = min(newest, s.MaxVersion)
	}
	return !s.FreshOnly || s.ServedVersion >= newest
}

// capacity returns the number of samples that may be assigned to the engine.
func (s Snapshot) capacity() int {
	if s.MaxInFlight <= 0 {
		return s.FreeSlots
	}
	return min(s.FreeSlots, s.MaxInFlight-s.InFlight)
}

// acceptsVersion reports whether tokens of the engine's version may be delivered now.
func (s Snapshot) acceptsVersion() bool {
	return s.ServedVersion >= s.MinVersion && (s.MaxVersion == 0 || s.ServedVersion <= s.MaxVersion)
}

// inBoundWhenDelivered reports whether the engine's version is expected to be within MaxVersionsBehind when the trainer
// starts the step.
func (s Snapshot) inBoundWhenDelivered(step Step) bool {
	if !s.Bounded || step.MinStepsAhead == 0 {
		return true
	}
	expected := s.Latest + uint64(step.MinStepsAhead)
	return expected <= s.ServedVersion+s.MaxVersionsBehind
}

// longest returns the first count candidates in the order of compare. It inserts them into a sorted slice of that size,
// since count is usually small compared with the number of candidates.
func longest(candidates []Candidate, count int) []Candidate {
	kept := make([]Candidate, 0, min(count, len(candidates))+1)
	for _, candidate := range candidates {
		if len(kept) == count && (count == 0 || compare(candidate, kept[count-1]) > 0) {
			continue
		}
		at, _ := slices.BinarySearchFunc(kept, candidate, compare)
		kept = slices.Insert(kept, at, candidate)
		kept = kept[:min(len(kept), count)]
	}
	return kept
}

// compare orders candidates by descending predicted length, then by number within the prompt, then by index. One sample of
// each prompt thus precedes the second sample of any prompt, because its length predicts those of its siblings.
func compare(a, b Candidate) int {
	if order := cmp.Compare(b.Predicted, a.Predicted); order != 0 {
		return order
	}
	if order := cmp.Compare(a.Sibling, b.Sibling); order != 0 {
		return order
	}
	return cmp.Compare(a.Index, b.Index)
}
