package stepledger

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"fmt"

	"github.com/tinylib/msgp/msgp"

	"github.com/hillfork/hillfork/internal/bundle"
	"github.com/hillfork/hillfork/internal/peer"
	"github.com/hillfork/hillfork/internal/peerapi"
	"github.com/hillfork/hillfork/internal/shard"
)

// maxOpenSteps bounds the steps of a shard that are not retired.
const maxOpenSteps = 256

// SubmitStep records a step; it is durable when the answer is sent. The same step again is the same answer, and with
// other content CodeConflict. What breaks the bundle's limits is CodeInvalid.
func (s *Service) SubmitStep(ctx context.Context, request *peerapi.SubmitStep) (*peerapi.SubmitStepResult, error) {
	workload, err := s.workload(request.Workload)
	if err != nil {
		return nil, err
	}
	count, err := checkStep(request, workload.Limits)
	if err != nil {
		return nil, err
	}
	current, err := s.open(ctx, request.Workload, ShardOf(request.Step))
	if err != nil {
		return nil, err
	}
	if err := current.admitStep(request.Step); err != nil {
		return nil, err
	}
	record := proposal(KindStepSubmitted, stepRecord(request))
	s.reach("submit.before_append")
	outcomes, err := current.append(ctx, record)
	if err != nil {
		return nil, err
	}
	s.reach("submit.after_append")
	switch outcomes[0] {
	case OutcomeRecorded, OutcomeDuplicate:
		current.work.raise()
		current.ready.raise()
		return &peerapi.SubmitStepResult{Samples: count}, nil
	case OutcomeConflict:
		return nil, refuse(peer.CodeConflict, fmt.Sprintf("step %d was submitted with other content, or is long finished", request.Step))
	default:
		return nil, refuse(peer.CodeInternal, "step record was not accepted")
	}
}

// admitStep refuses a new step when too many are open.
func (c *session) admitStep(number uint64) error {
	full := false
	c.view(func(state *State) {
		known, _ := state.knownDigest(number)
		full = !known && len(state.image.Steps) >= maxOpenSteps
	})
	if !full {
		return nil
	}
	refusal := refuse(peer.CodeOverloaded, "too many steps are open")
	refusal.RetryAfter = overloadRetryAfter
	return refusal
}

// checkStep checks a step against the limits and returns how many samples it has.
func checkStep(request *peerapi.SubmitStep, limits bundle.Limits) (int, error) {
	count, ok := sampleCount(len(request.Prompts), request.SamplesPerPrompt)
	if !ok {
		return 0, refuse(peer.CodeInvalid, fmt.Sprintf("step has no samples or more than %d", maxSamples))
	}
	if limits.MaxStepSamples > 0 && count > limits.MaxStepSamples {
		return 0, refuse(peer.CodeInvalid, fmt.Sprintf("step has %d samples, allowed are %d", count, limits.MaxStepSamples))
	}
	if request.MaxTokens <= 0 || request.MaxTokens > limits.MaxTokens {
		return 0, refuse(peer.CodeInvalid, fmt.Sprintf("max tokens is %d, allowed are 1 to %d", request.MaxTokens, limits.MaxTokens))
	}
	for i, prompt := range request.Prompts {
		if len(prompt) == 0 || len(prompt) > limits.MaxPromptTokens {
			return 0, refuse(peer.CodeInvalid,
				fmt.Sprintf("prompt %d has %d tokens, allowed are 1 to %d", i, len(prompt), limits.MaxPromptTokens))
		}
	}
	return count, nil
}

// stepRecord builds the record of a step.
func stepRecord(request *peerapi.SubmitStep) *StepSubmitted {
	record := &StepSubmitted{
		Step:             request.Step,
		SamplesPerPrompt: request.SamplesPerPrompt,
		MaxTokens:        request.MaxTokens,
	}
	for _, prompt := range request.Prompts {
		record.Prompts = append(record.Prompts, packTokens(prompt))
	}
	record.Digest = stepDigest(record)
	return record
}

// stepDigest is the SHA-256 of a step's content, each part preceded by its length.
func stepDigest(record *StepSubmitted) []byte {
	hash := sha256.New()
	var number [8]byte
	write := func(value int) {
		binary.BigEndian.PutUint64(number[:], uint64(value))
		hash.Write(number[:])
	}
	write(record.SamplesPerPrompt)
	write(record.MaxTokens)
	write(len(record.Prompts))
	for _, prompt := range record.Prompts {
		write(len(prompt))
		hash.Write(prompt)
	}
	return hash.Sum(nil)
}

// proposal encodes a record. Generated encoders of these records cannot fail.
func proposal(kind uint8, record msgp.Marshaler) shard.Proposal {
	body, err := record.MarshalMsg(nil)
	if err != nil {
		panic("step ledger record does not encode: " + err.Error())
	}
	return shard.Proposal{Kind: kind, Body: body}
}
