// Package assign decides which waiting samples an engine takes. It is pure: a snapshot goes in, decisions come out; it
// reads no clock and does no I/O.
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
	// Sibling counts the samples of the same prompt that come before this one.
	Sibling int
}

// Step is the waiting samples of one step.
type Step struct {
	Number uint64
	// Ahead is how many steps the trainer is expected to finish before it takes this one. One version is expected to be
	// published per step.
	Ahead int
	// Distance is the same, but takes a step that was handed over as not finished, since the trainer may train on it still.
	// Ahead decides what may turn out of bound, Distance what is begun by choice.
	Distance int
	// Samples counts all samples of the step, waiting or not.
	Samples    int
	Candidates []Candidate
}

// Snapshot is all that a decision depends on.
type Snapshot struct {
	// ServedVersion is the version that the engine's new tokens come from.
	ServedVersion uint64
	// Latest is the newest version published.
	Latest uint64
	// MinVersion and MaxVersion bound the versions that could be delivered now; MaxVersion 0 is no bound.
	MinVersion uint64
	MaxVersion uint64
	// MaxVersionsBehind bounds the trainer's version minus the sample's at delivery; it counts when Bounded.
	MaxVersionsBehind uint64
	Bounded           bool
	// FreeSlots is how many samples the engine can take.
	FreeSlots int
	// LookAhead bounds how far ahead of the trainer samples are begun; it counts when AheadBounded.
	LookAhead    policy.LookAhead
	AheadBounded bool
	// PositionUnknown says that the trainer was not seen yet; it may be one step before the first.
	PositionUnknown bool
	// LongTokens is the length from which on a sample counts as long.
	LongTokens int
	// FreshOnly gives samples to engines with the newest version within the bounds only.
	FreshOnly bool
	// ArrivalOrder takes samples by index, whatever their predicted length.
	ArrivalOrder bool
	// InFlight is how many samples run now, and MaxInFlight bounds them; 0 is no bound.
	InFlight    int
	MaxInFlight int
	Steps       []Step
}

// Choice is one sample for the engine.
type Choice struct {
	Step  uint64
	Index int
}

// Decide chooses samples for the engine: older steps first, within a step the longest predicted first (so that the step's
// last samples are short ones), then the lowest index. An engine whose version is out of bound gets none, and a step so
// far ahead that the engine's version would be out of bound when it is delivered gives none.
func Decide(snapshot Snapshot) []Choice {
	room := snapshot.room()
	if room <= 0 || !snapshot.accepts() || !snapshot.fresh() {
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
		for _, candidate := range snapshot.order(snapshot.Startable(step), room-len(choices)) {
			choices = append(choices, Choice{Step: step.Number, Index: candidate.Index})
		}
	}
	return choices
}

// Startable lists the samples of a step that may be begun, whatever the engine: all within the look-ahead, a part of those
// of the step after it. That part begins with one sample of each prompt, which shows how long its siblings will be, and
// goes on with those predicted long, because these are what the trainer would wait for.
func (s Snapshot) Startable(step Step) []Candidate {
	ahead := step.Distance
	if s.PositionUnknown {
		ahead++
	}
	switch {
	case !s.AheadBounded || ahead <= s.LookAhead.Steps:
		return step.Candidates
	case ahead > s.LookAhead.Steps+1 || s.LookAhead.Part <= 0:
		return nil
	}
	begun := step.Samples - len(step.Candidates)
	allowed := int(s.LookAhead.Part*float64(step.Samples)) - begun
	var telling []Candidate
	for _, candidate := range step.Candidates {
		if candidate.Sibling == 0 || candidate.Predicted >= s.LongTokens {
			telling = append(telling, candidate)
		}
	}
	return longest(telling, max(allowed, 0))
}

// order returns the first count candidates to take.
func (s Snapshot) order(candidates []Candidate, count int) []Candidate {
	if s.ArrivalOrder {
		return candidates[:min(count, len(candidates))]
	}
	return longest(candidates, count)
}

// fresh reports whether the engine's version is as new as the workload wants it. Nothing newer than MaxVersion is loaded.
func (s Snapshot) fresh() bool {
	newest := s.Latest
	if s.MaxVersion > 0 {
		newest = min(newest, s.MaxVersion)
	}
	return !s.FreshOnly || s.ServedVersion >= newest
}

// room is how many samples the engine may take.
func (s Snapshot) room() int {
	if s.MaxInFlight <= 0 {
		return s.FreeSlots
	}
	return min(s.FreeSlots, s.MaxInFlight-s.InFlight)
}

// accepts reports whether the engine's tokens could be delivered now.
func (s Snapshot) accepts() bool {
	return s.ServedVersion >= s.MinVersion && (s.MaxVersion == 0 || s.ServedVersion <= s.MaxVersion)
}

// inBoundWhenDelivered reports whether the engine's tokens are expected to be in bound when the trainer takes the step.
func (s Snapshot) inBoundWhenDelivered(step Step) bool {
	if !s.Bounded || step.Ahead == 0 {
		return true
	}
	expected := s.Latest + uint64(step.Ahead)
	return expected <= s.ServedVersion+s.MaxVersionsBehind
}

// longest returns the first count candidates by falling prediction, then by index. It keeps them ordered in one pass, since
// few of many are wanted.
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

// compare orders candidates by falling prediction. Among equals one sample of each prompt goes before the second of any,
// because its length tells about those of its siblings; then the index decides.
func compare(a, b Candidate) int {
	if order := cmp.Compare(b.Predicted, a.Predicted); order != 0 {
		return order
	}
	if order := cmp.Compare(a.Sibling, b.Sibling); order != 0 {
		return order
	}
	return cmp.Compare(a.Index, b.Index)
}
