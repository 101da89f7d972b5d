package stepledger

import (
	"cmp"
	"errors"
	"slices"

	"github.com/hillfork/hillfork/internal/shard"
)

// maxRetired bounds the finished steps that a shard remembers.
const maxRetired = 256

// maxSamples bounds the samples of a step whatever the bundle says, so that no record can claim unbounded memory.
const maxSamples = 65536

// Outcome is what folding one record did.
type Outcome uint8

// Outcomes of a record. All but OutcomeRecorded left the state as it was.
const (
	OutcomeRecorded Outcome = iota + 1
	// OutcomeDuplicate says that the record's effect was there already.
	OutcomeDuplicate
	// OutcomeConflict says that the record contradicts the state.
	OutcomeConflict
	// OutcomeUnknown says that there is no such step or sample.
	OutcomeUnknown
	// OutcomeMalformed says that the body breaks the form of its kind.
	OutcomeMalformed
)

// errSnapshot says that a snapshot breaks an invariant of the state.
var errSnapshot = errors.New("step ledger snapshot is inconsistent")

// State is the durable state of one shard: a deterministic fold of its records. It implements shard.State.
type State struct {
	image Image
}

var _ shard.State = (*State)(nil)

// NewState returns the state of an empty stream.
func NewState() shard.State {
	return &State{}
}

// Snapshot encodes the state, payloads that are not acknowledged yet included.
func (s *State) Snapshot() ([]byte, error) {
	return s.image.MarshalMsg(nil)
}

// Restore replaces the state by an encoded one; on an error the state is unchanged.
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

// Latest is the newest published version; 0 before the first.
func (s *State) Latest() uint64 {
	return s.image.Latest
}

// step finds a step that is not retired; nil where there is none.
func (s *State) step(number uint64) *StepImage {
	at, found := s.search(number)
	if !found {
		return nil
	}
	return s.image.Steps[at]
}

// search finds the place of a step number in the ordered list.
func (s *State) search(number uint64) (int, bool) {
	return slices.BinarySearchFunc(s.image.Steps, number, func(step *StepImage, number uint64) int {
		return cmp.Compare(step.Step, number)
	})
}

// retired finds a finished step that is still remembered; nil where there is none.
func (s *State) retired(number uint64) *RetiredStep {
	for i := range s.image.Retired {
		if s.image.Retired[i].Step == number {
			return &s.image.Retired[i]
		}
	}
	return nil
}

// consistent reports whether the image keeps the invariants that the fold relies on.
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

// consistent reports whether positions and ready list refer to samples, each at most once.
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

// samplesConsistent reports whether samples, positions, ready list and count agree and every payload can be read.
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

// sampleCount multiplies within maxSamples; false when there are none or too many.
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

// waiting reports whether the sample needs an attempt. The samples of a step that is not whole do not.
func (t *StepImage) waiting(index int) bool {
	return len(t.Prompts) == t.PromptCount && !t.Samples[index].Complete && !t.delivered(index)
}

// handedOver reports whether every sample has a position and an answer.
func (t *StepImage) handedOver() bool {
	return len(t.Positions) == len(t.Samples) && t.Completed == len(t.Samples)
}

// promptOf is the prompt of a sample.
func (t *StepImage) promptOf(index int) int {
	return index / t.SamplesPerPrompt
}
