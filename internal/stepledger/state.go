package stepledger

import (
	"cmp"
	"errors"
	"slices"

	"github.com/hillfork/hillfork/internal/shard"
)

// maxRetired limits the retired steps whose digests a shard keeps.
const maxRetired = 256

// maxSamples limits the samples of a step independently of the bundle, so that no record can allocate unbounded memory.
const maxSamples = 65536

// Outcome is the result of applying a record to the state.
type Outcome uint8

// Outcomes of a record. All but OutcomeRecorded leave the state unchanged.
const (
	OutcomeRecorded Outcome = iota + 1
	// OutcomeDuplicate means that the state already includes the effect of the record.
	OutcomeDuplicate
	// OutcomeConflict means that the record contradicts the state.
	OutcomeConflict
	// OutcomeUnknown means that there is no such step or sample.
	OutcomeUnknown
	// OutcomeMalformed means that the kind is unknown or the body is not valid for it.
	OutcomeMalformed
)

// errSnapshot is returned for a snapshot that violates an invariant of the state.
var errSnapshot = errors.New("step ledger snapshot is inconsistent")

// State is the durable state of a shard: a deterministic fold over its records. It implements shard.State.
type State struct {
	image Image
}

var _ shard.State = (*State)(nil)

// NewState returns the state of an empty stream.
func NewState() shard.State {
	return &State{}
}

// Snapshot returns the encoded state, including the payloads that are not acknowledged.
func (s *State) Snapshot() ([]byte, error) {
	return s.image.MarshalMsg(nil)
}

// Restore replaces the state by an encoded one. If it returns an error, the state is unchanged.
func (s *State) Restore(snapshot []byte) error {
	var image Image
	rest, err := image.UnmarshalMsg(snapshot)
	if err != nil {
		return err
	}
	if len(rest) > 0 || !image.consistent() {
		return errSnapshot
	}
	s.image = image
	return nil
}

// Latest returns the newest published version; 0 if there is none.
func (s *State) Latest() uint64 {
	return s.image.Latest
}

// step returns an open step, or nil if there is no such step.
func (s *State) step(number uint64) *StepImage {
	at, found := s.search(number)
	if !found {
		return nil
	}
	return s.image.Steps[at]
}

// search returns the index of a step in the ordered list, or the index to insert it at, and whether it is there.
func (s *State) search(number uint64) (int, bool) {
	return slices.BinarySearchFunc(s.image.Steps, number, func(step *StepImage, number uint64) int {
		return cmp.Compare(step.Step, number)
	})
}

// retired returns a retired step whose digest is kept, or nil if there is no such step.
func (s *State) retired(number uint64) *RetiredStep {
	for i := range s.image.Retired {
		if s.image.Retired[i].Step == number {
			return &s.image.Retired[i]
		}
	}
	return nil
}

// consistent reports whether the image satisfies the invariants on which the fold relies.
func (m *Image) consistent() bool {
	for i, step := range m.Steps {
		if step == nil || !step.consistent() {
			return false
		}
		if i > 0 && m.Steps[i-1].Step >= step.Step {
			return false
		}
	}
	return len(m.Retired) <= maxRetired
}

// consistent reports whether the step satisfies its invariants: its numbers are in range, its positions and ready list refer
// to each sample at most once, and its samples are consistent.
func (t *StepImage) consistent() bool {
	count, ok := sampleCount(t.PromptCount, t.SamplesPerPrompt)
	if !ok || len(t.Prompts) > t.PromptCount || count != len(t.Samples) || t.Cursor < 0 || t.Cursor > len(t.Positions) {
		return false
	}
	seen := make([]bool, count)
	for _, index := range slices.Concat(t.Positions, t.Ready) {
		if index < 0 || index >= count || seen[index] {
			return false
		}
		seen[index] = true
	}
	return t.samplesConsistent()
}

// samplesConsistent reports whether the samples agree with the positions, the ready list and the count of completed samples,
// and whether all prompts and all payloads of undelivered answers are valid.
func (t *StepImage) samplesConsistent() bool {
	for position, index := range t.Positions {
		if sample := &t.Samples[index]; !sample.Assigned || sample.Position != position {
			return false
		}
	}
	assigned, ready, completed := 0, 0, 0
	for index := range t.Samples {
		sample := &t.Samples[index]
		if sample.Assigned {
			assigned++
		}
		if !sample.Complete {
			continue
		}
		completed++
		if !sample.Assigned {
			ready++
		}
		readable := validTokens(sample.Payload) && spansCover(sample.Spans, countTokens(sample.Payload))
		if !readable && !t.delivered(index) {
			return false
		}
	}
	for _, index := range t.Ready {
		if sample := &t.Samples[index]; !sample.Complete || sample.Assigned {
			return false
		}
	}
	counted := assigned == len(t.Positions) && ready == len(t.Ready) && completed == t.Completed
	return counted && validPrompts(t.Prompts)
}

// sampleCount returns the number of samples of a step; false if there are none or more than maxSamples.
func sampleCount(prompts, perPrompt int) (int, bool) {
	if prompts <= 0 || perPrompt <= 0 || prompts > maxSamples || perPrompt > maxSamples {
		return 0, false
	}
	count := prompts * perPrompt
	return count, count <= maxSamples
}

// delivered reports whether the trainer has acknowledged the sample.
func (t *StepImage) delivered(index int) bool {
	sample := &t.Samples[index]
	return sample.Assigned && sample.Position < t.Cursor
}

// waiting reports whether the sample needs an answer. It returns false while prompts of the step are missing.
func (t *StepImage) waiting(index int) bool {
	return len(t.Prompts) == t.PromptCount && !t.Samples[index].Complete && !t.delivered(index)
}

// handedOver reports whether every sample has a position and an answer.
func (t *StepImage) handedOver() bool {
	return len(t.Positions) == len(t.Samples) && t.Completed == len(t.Samples)
}

// promptOf returns the index of a sample's prompt.
func (t *StepImage) promptOf(index int) int {
	return index / t.SamplesPerPrompt
}
