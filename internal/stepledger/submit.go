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

// maxPromptTokens and maxAnswerTokens bound a prompt and an answer whatever the bundle says, so that each fits one record
// of the log at up to 5 bytes a token.
const (
	maxPromptTokens = 200_000
	maxAnswerTokens = 200_000
)

// maxOpenSteps bounds the steps of a shard that are not retired.
const maxOpenSteps = 256

// maxPromptBytes bounds the packed prompts of one record, and promptOverhead is what a prompt takes besides.
const (
	maxPromptBytes = 512 << 10
	promptOverhead = 5
)

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
	for _, record := range stepRecords(request) {
		s.reach("submit.before_append")
		outcomes, err := current.append(ctx, record)
		if err != nil {
			return nil, err
		}
		s.reach("submit.after_append")
		if err := submitRefusal(outcomes[0], request.Step); err != nil {
			return nil, err
		}
	}
	s.counters.Steps.Add(1)
	current.work.raise()
	current.ready.raise()
	return &peerapi.SubmitStepResult{Samples: count}, nil
}

// submitRefusal is the refusal that an outcome stands for; nil when the record took effect, now or earlier.
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

// stepRecords builds the records of a step: usually one, more where the prompts are too large for it.
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

// promptsThatFit counts the leading prompts that go into one record, at least one.
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
