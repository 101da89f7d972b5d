package stepledger

import (
	"bytes"
	"slices"

	"github.com/tinylib/msgp/msgp"

	"github.com/hillfork/hillfork/internal/shard"
)

// Apply applies a record to the state and returns an Outcome.
func (s *State) Apply(record shard.Record) any {
	switch record.Kind {
	case KindStepSubmitted:
		return fold(record.Body, s.submit)
	case KindPromptsAdded:
		return fold(record.Body, s.addPrompts)
	case KindVersionPublished:
		return fold(record.Body, s.publish)
	case KindSampleCompleted:
		return fold(record.Body, s.complete)
	case KindSampleScored:
		return fold(record.Body, s.score)
	case KindPositionsAssigned:
		return fold(record.Body, s.assign)
	case KindSampleReplaced:
		return fold(record.Body, s.replace)
	case KindCursorAdvanced:
		return fold(record.Body, s.advance)
	case KindStepRetired:
		return fold(record.Body, s.retire)
	default:
		return OutcomeMalformed
	}
}

// fold decodes a body and applies it. A body that does not decode completely is malformed and changes nothing.
func fold[B any, P interface {
	*B
	msgp.Unmarshaler
}](body []byte, apply func(P) Outcome) Outcome {
	decoded := P(new(B))
	rest, err := decoded.UnmarshalMsg(body)
	if err != nil || len(rest) > 0 {
		return OutcomeMalformed
	}
	return apply(decoded)
}

// submit adds a step. A known step is a duplicate if its content is the same and a conflict otherwise, as is a step below the
// floor.
func (s *State) submit(body *StepSubmitted) Outcome {
	count, ok := sampleCount(body.PromptCount, body.SamplesPerPrompt)
	if !ok || body.MaxTokens <= 0 || len(body.Prompts) > body.PromptCount || !validPrompts(body.Prompts) {
		return OutcomeMalformed
	}
	if known, digest := s.knownDigest(body.Step); known {
		if bytes.Equal(digest, body.Digest) {
			return OutcomeDuplicate
		}
		return OutcomeConflict
	}
	if body.Step < s.image.Floor {
		return OutcomeConflict
	}
	step := &StepImage{
		Step:             body.Step,
		Digest:           body.Digest,
		Prompts:          body.Prompts,
		PromptCount:      body.PromptCount,
		SamplesPerPrompt: body.SamplesPerPrompt,
		MaxTokens:        body.MaxTokens,
		Samples:          make([]SampleImage, count),
	}
	at, _ := s.search(body.Step)
	s.image.Steps = slices.Insert(s.image.Steps, at, step)
	return OutcomeRecorded
}

// addPrompts appends prompts to a step that does not have all of them yet.
func (s *State) addPrompts(body *PromptsAdded) Outcome {
	if !validPrompts(body.Prompts) {
		return OutcomeMalformed
	}
	known, digest := s.knownDigest(body.Step)
	if !known {
		return OutcomeUnknown
	}
	if !bytes.Equal(digest, body.Digest) {
		return OutcomeConflict
	}
	step := s.step(body.Step)
	if step == nil || body.First < len(step.Prompts) {
		return OutcomeDuplicate
	}
	if body.First > len(step.Prompts) || len(body.Prompts) > step.PromptCount-body.First || len(body.Prompts) == 0 {
		return OutcomeConflict
	}
	step.Prompts = append(step.Prompts, body.Prompts...)
	return OutcomeRecorded
}

// validPrompts reports whether every prompt decodes.
func validPrompts(prompts [][]byte) bool {
	for _, prompt := range prompts {
		if !validTokens(prompt) {
			return false
		}
	}
	return true
}

// knownDigest returns the digest of an open or retired step and whether the step is known.
func (s *State) knownDigest(number uint64) (bool, []byte) {
	if step := s.step(number); step != nil {
		return true, step.Digest
	}
	if old := s.retired(number); old != nil {
		return true, old.Digest
	}
	return false, nil
}

// publish raises the newest published version.
func (s *State) publish(body *VersionPublished) Outcome {
	if body.Version <= s.image.Latest {
		return OutcomeDuplicate
	}
	s.image.Latest = body.Version
	return OutcomeRecorded
}

// complete stores the answer to a waiting sample.
func (s *State) complete(body *SampleCompleted) Outcome {
	step, sample := s.sample(body.Step, body.Index)
	if sample == nil {
		return OutcomeUnknown
	}
	if !step.waiting(body.Index) {
		return OutcomeDuplicate
	}
	if !validTokens(body.Payload) {
		return OutcomeMalformed
	}
	tokens := countTokens(body.Payload)
	if !spansCover(body.Spans, tokens) {
		return OutcomeMalformed
	}
	sample.Complete = true
	sample.Attempt = body.Attempt
	sample.Tokens = tokens
	sample.Payload = body.Payload
	sample.Spans = body.Spans
	sample.CompletedUnixMillis = body.CompletedUnixMillis
	step.Completed++
	if !sample.Assigned {
		step.Ready = append(step.Ready, body.Index)
	}
	return OutcomeRecorded
}

// score stores the reward of an answer that has none.
func (s *State) score(body *SampleScored) Outcome {
	_, sample := s.sample(body.Step, body.Index)
	if sample == nil {
		return OutcomeUnknown
	}
	if !sample.Complete || sample.Attempt != body.Attempt {
		return OutcomeConflict
	}
	if sample.Scored {
		return OutcomeDuplicate
	}
	sample.Scored = true
	sample.Reward = body.Reward
	return OutcomeRecorded
}

// assign assigns the next positions to samples that are ready: to all of them or to none.
func (s *State) assign(body *PositionsAssigned) Outcome {
	step := s.step(body.Step)
	if step == nil {
		return OutcomeUnknown
	}
	if body.First != len(step.Positions) || !step.assignable(body.Samples) {
		return OutcomeConflict
	}
	for _, answer := range body.Samples {
		sample := &step.Samples[answer.Index]
		sample.Assigned = true
		sample.Position = len(step.Positions)
		step.Positions = append(step.Positions, answer.Index)
	}
	step.Ready = slices.DeleteFunc(step.Ready, func(index int) bool {
		return step.Samples[index].Assigned
	})
	return OutcomeRecorded
}

// assignable reports whether the list is not empty and every answer in it exists, has no position and is listed once.
func (t *StepImage) assignable(answers []AttemptAt) bool {
	seen := make(map[int]bool, len(answers))
	for _, answer := range answers {
		if answer.Index < 0 || answer.Index >= len(t.Samples) || seen[answer.Index] {
			return false
		}
		seen[answer.Index] = true
		sample := &t.Samples[answer.Index]
		if !sample.Complete || sample.Assigned || sample.Attempt != answer.Attempt {
			return false
		}
	}
	return len(answers) > 0
}

// replace drops an answer that the trainer has not acknowledged. The sample keeps its position if it has one.
func (s *State) replace(body *SampleReplaced) Outcome {
	step, sample := s.sample(body.Step, body.Index)
	if sample == nil {
		return OutcomeUnknown
	}
	if !sample.Complete || sample.Attempt != body.Attempt || step.delivered(body.Index) {
		return OutcomeConflict
	}
	*sample = SampleImage{Assigned: sample.Assigned, Position: sample.Position}
	step.Completed--
	step.Ready = slices.DeleteFunc(step.Ready, func(index int) bool { return index == body.Index })
	return OutcomeRecorded
}

// advance raises the cursor and drops the payloads below it. A position below it whose answer was being replaced counts as
// delivered, since the trainer has acknowledged the earlier answer.
func (s *State) advance(body *CursorAdvanced) Outcome {
	step := s.step(body.Step)
	if step == nil {
		return OutcomeUnknown
	}
	if body.Cursor > len(step.Positions) {
		return OutcomeConflict
	}
	if body.Cursor <= step.Cursor {
		return OutcomeDuplicate
	}
	for _, index := range step.Positions[step.Cursor:body.Cursor] {
		sample := &step.Samples[index]
		if !sample.Complete {
			sample.Complete = true
			step.Completed++
		}
		sample.Payload = nil
		sample.Spans = nil
	}
	step.Cursor = body.Cursor
	return OutcomeRecorded
}

// retire drops a step whose samples all have positions and keeps its digest.
func (s *State) retire(body *StepRetired) Outcome {
	at, found := s.search(body.Step)
	if !found {
		if s.retired(body.Step) != nil {
			return OutcomeDuplicate
		}
		return OutcomeUnknown
	}
	step := s.image.Steps[at]
	if len(step.Positions) != len(step.Samples) {
		return OutcomeConflict
	}
	s.image.Steps = slices.Delete(s.image.Steps, at, at+1)
	s.image.Retired = append(s.image.Retired, RetiredStep{
		Step:         step.Step,
		Digest:       step.Digest,
		Samples:      len(step.Samples),
		Acknowledged: step.Cursor,
	})
	if len(s.image.Retired) > maxRetired {
		s.image.Floor = max(s.image.Floor, s.image.Retired[0].Step+1)
		s.image.Retired = slices.Delete(s.image.Retired, 0, 1)
	}
	return OutcomeRecorded
}

// sample returns a sample and its step, or nil if there is no such sample.
func (s *State) sample(number uint64, index int) (*StepImage, *SampleImage) {
	step := s.step(number)
	if step == nil || index < 0 || index >= len(step.Samples) {
		return nil, nil
	}
	return step, &step.Samples[index]
}
