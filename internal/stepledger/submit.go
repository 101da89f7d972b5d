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

// maxPromptTokens and maxAnswerTokens limit a prompt and an answer independently of the bundle, so that each fits in one
// record of the log at up to 5 bytes per token.
const (
	maxPromptTokens = 200_000
	maxAnswerTokens = 200_000
)

// maxOpenSteps limits the steps of a shard that are not retired.
const maxOpenSteps = 256

// maxPromptBytes limits the size of the packed prompts of one record. promptOverhead is the additional encoded size of each
// prompt, in bytes.
const (
	maxPromptBytes = 512 << 10
	promptOverhead = 5
)

// SubmitStep records a step, which is durable when the call returns. Submitting the same step again returns the same
// response; other content for a known step is refused with CodeConflict, and a step over the bundle's limits with
// CodeInvalid.
func (s *Service) SubmitStep(ctx context.Context, request *peerapi.SubmitStep) (*peerapi.SubmitStepResult, error) {
	workload, err := s.workload(request.Workload)
	if err != nil {
		return nil, err
	}
	count, err := checkStep(request, workload.Limits)
	if err != nil {
		return nil, err
	}
	current, err := s.openSession(ctx, request.Workload, ShardOf(request.Step))
	if err != nil {
		return nil, err
	}
	if err := current.admitStep(request.Step); err != nil {
		return nil, err
	}
	for _, record := range stepRecords(request) {
		s.runFailpoint("submit.before_append")
		outcomes, err := current.append(ctx, record)
		if err != nil {
			return nil, err
		}
		s.runFailpoint("submit.after_append")
		if err := submitRefusal(outcomes[0], request.Step); err != nil {
			return nil, err
		}
	}
	s.counters.Steps.Add(1)
	current.work.notify()
	current.ready.notify()
	return &peerapi.SubmitStepResult{Samples: count}, nil
}

// submitRefusal converts an outcome to a refusal; nil if this record or an earlier one took effect.
func submitRefusal(outcome Outcome, step uint64) error {
	switch outcome {
	case OutcomeRecorded, OutcomeDuplicate:
		return nil
	case OutcomeConflict:
		return refuse(peer.CodeConflict, fmt.Sprintf("step %d was submitted with other content, or is long finished", step))
	default:
		return refuse(peer.CodeInternal, "step record was not accepted")
	}
}

// admitStep returns a refusal for a new step if maxOpenSteps are open.
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

// checkStep validates a step against the limits and returns the number of its samples.
func checkStep(request *peerapi.SubmitStep, limits bundle.Limits) (int, error) {
	count, ok := sampleCount(len(request.Prompts), request.SamplesPerPrompt)
	if !ok {
		return 0, refuse(peer.CodeInvalid, fmt.Sprintf("step has no samples or more than %d", maxSamples))
	}
	if limits.MaxStepSamples > 0 && count > limits.MaxStepSamples {
		return 0, refuse(peer.CodeInvalid, fmt.Sprintf("step has %d samples, allowed are %d", count, limits.MaxStepSamples))
	}
	allowed := min(limits.MaxTokens, maxAnswerTokens)
	if request.MaxTokens <= 0 || request.MaxTokens > allowed {
		return 0, refuse(peer.CodeInvalid, fmt.Sprintf("max tokens is %d, allowed are 1 to %d", request.MaxTokens, allowed))
	}
	for i, prompt := range request.Prompts {
		if len(prompt) == 0 || len(prompt) > min(limits.MaxPromptTokens, maxPromptTokens) {
			return 0, refuse(peer.CodeInvalid,
				fmt.Sprintf("prompt %d has %d tokens, allowed are 1 to %d", i, len(prompt), min(limits.MaxPromptTokens, maxPromptTokens)))
		}
	}
	return count, nil
}

// stepRecords returns the records of a step: one, or more if the prompts exceed maxPromptBytes.
func stepRecords(request *peerapi.SubmitStep) []shard.Proposal {
	record := &StepSubmitted{
		Step:             request.Step,
		PromptCount:      len(request.Prompts),
		SamplesPerPrompt: request.SamplesPerPrompt,
		MaxTokens:        request.MaxTokens,
	}
	for _, prompt := range request.Prompts {
		record.Prompts = append(record.Prompts, packTokens(prompt))
	}
	record.Digest = stepDigest(record)
	all := record.Prompts
	first := promptsThatFit(all)
	record.Prompts = all[:first]
	proposals := []shard.Proposal{proposal(KindStepSubmitted, record)}
	for first < len(all) {
		count := promptsThatFit(all[first:])
		part := &PromptsAdded{Step: record.Step, Digest: record.Digest, First: first, Prompts: all[first : first+count]}
		proposals = append(proposals, proposal(KindPromptsAdded, part))
		first += count
	}
	return proposals
}

// promptsThatFit returns the number of leading prompts that fit in one record, at least one.
func promptsThatFit(prompts [][]byte) int {
	size := 0
	for i, prompt := range prompts {
		size += len(prompt) + promptOverhead
		if size > maxPromptBytes && i > 0 {
			return i
		}
	}
	return len(prompts)
}

// stepDigest returns the SHA-256 of a step's content, with each prompt preceded by its length.
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
