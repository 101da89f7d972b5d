// Package assign decides which waiting samples an engine takes. It is pure: a snapshot goes in, decisions come out; it
// reads no clock and does no I/O.
package assign

import (
	"cmp"
	"slices"
)

// Candidate is one waiting sample.
type Candidate struct {
	Index int
	// Predicted is the expected length of the whole answer in tokens.
	Predicted int
}

// Step is the waiting samples of one step.
type Step struct {
	Number uint64
	// Ahead is how many steps the trainer is expected to finish before it takes this one. One version is expected to be
	// published per step.
	Ahead      int
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
	// MaxAhead bounds how many steps ahead of the trainer are worked on; it counts when AheadBounded.
	// PositionUnknown says that the trainer was not seen yet; it may be one step before the first.
	MaxAhead        int
	AheadBounded    bool
	PositionUnknown bool
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
	if room <= 0 || !snapshot.accepts() {
		return nil
	}
	steps := slices.SortedFunc(slices.Values(snapshot.Steps), func(a, b Step) int {
		return cmp.Compare(a.Number, b.Number)
	})
	var choices []Choice
	for _, step := range steps {
		if !snapshot.mayStart(step) {
			continue
		}
		for _, candidate := range snapshot.order(step.Candidates, room-len(choices)) {
			choices = append(choices, Choice{Step: step.Number, Index: candidate.Index})
		}
	}
	return choices
}

// mayStart reports whether a step may be worked on by the engine now.
func (s Snapshot) mayStart(step Step) bool {
	return !s.TooFarAhead(step) && s.inBoundWhenDelivered(step)
}

// TooFarAhead reports whether no engine may work on a step yet.
func (s Snapshot) TooFarAhead(step Step) bool {
	ahead := step.Ahead
	if s.PositionUnknown {
		ahead++
	}
	return s.AheadBounded && ahead > s.MaxAhead
}

// order returns the first count candidates to take.
func (s Snapshot) order(candidates []Candidate, count int) []Candidate {
	if s.ArrivalOrder {
		return candidates[:min(count, len(candidates))]
	}
	return longest(candidates, count)
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

// compare orders candidates by falling prediction, then by index.
func compare(a, b Candidate) int {
	if order := cmp.Compare(b.Predicted, a.Predicted); order != 0 {
		return order
	}
	return cmp.Compare(a.Index, b.Index)
}
