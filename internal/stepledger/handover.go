package stepledger

import (
	"time"

	"github.com/hillfork/hillfork/internal/bundle"
	"github.com/hillfork/hillfork/internal/peer"
	"github.com/hillfork/hillfork/internal/peerapi"
	"github.com/hillfork/hillfork/internal/shard"
)

const (
	// defaultFetch is the number of samples in a response if the trainer requests none, and maxFetch the max number.
	defaultFetch = 64
	maxFetch     = 512
	// maxFetchTokens limits the tokens of one response. A single longer sample is still returned.
	maxFetchTokens = 1 << 18
	// maxFetchRecords limits the answers replaced in one pass of a fetch; further passes replace the rest.
	maxFetchRecords = 256
)

// fetchLimit returns the max number of samples in the response to a fetch.
func fetchLimit(maxSamples int) int {
	if maxSamples <= 0 {
		return defaultFetch
	}
	return min(maxSamples, maxFetch)
}

// fetchPlan holds the records that a fetch writes to the log before samples are handed over.
type fetchPlan struct {
	proposals []shard.Proposal
	// version is the trainer's version if it is new to the shard, otherwise 0.
	version uint64
	// replaced is set if answers are dropped, so that their samples need new attempts.
	replaced bool
	// idle is set if there is nothing to write, hand over or refuse, so that no proof of ownership is needed.
	idle bool
}

// planFetch returns the records that a fetch writes. It only reads the state. The plan of a request that will be refused is
// empty.
func planFetch(state *State, request *peerapi.FetchSamples, workload *bundle.Workload, now time.Time) fetchPlan {
	var plan fetchPlan
	step := state.step(request.Step)
	if step == nil || cursorRefusal(step, request.Cursor) != nil {
		return plan
	}
	if request.TrainerVersion > state.Latest() {
		plan.version = request.TrainerVersion
		plan.add(KindVersionPublished, &VersionPublished{Version: request.TrainerVersion})
	}
	if request.Cursor > step.Cursor {
		plan.add(KindCursorAdvanced, &CursorAdvanced{Step: step.Step, Cursor: request.Cursor})
	}
	if request.Cursor == len(step.Samples) {
		plan.add(KindStepRetired, &StepRetired{Step: step.Step})
		return plan
	}
	limits := boundsOf(workload, max(state.Latest(), request.TrainerVersion))
	plan.replaceOverBound(step, step.Positions[request.Cursor:], limits, now)
	plan.replaceOverBound(step, step.Ready, limits, now)
	plan.assignReady(step, request, workload, limits, now)
	plan.idle = len(plan.proposals) == 0 && !nextDeliverable(step, request.Cursor, workload, limits, now)
	return plan
}

// nextDeliverable reports whether the answer at the cursor may be handed over.
func nextDeliverable(step *StepImage, cursor int, workload *bundle.Workload, limits bounds, now time.Time) bool {
	if cursor >= len(step.Positions) {
		return false
	}
	return deliverable(&step.Samples[step.Positions[cursor]], workload, limits, now)
}

// add encodes a record and appends it to the plan.
func (p *fetchPlan) add(kind uint8, record interface {
	MarshalMsg([]byte) ([]byte, error)
}) {
	p.proposals = append(p.proposals, proposal(kind, record))
}

// replaceOverBound adds records that drop the answers of the given samples that are over the staleness bound.
func (p *fetchPlan) replaceOverBound(step *StepImage, samples []int, limits bounds, now time.Time) {
	for _, index := range samples {
		sample := &step.Samples[index]
		if !sample.Complete || limits.accepts(sample, now) {
			continue
		}
		if len(p.proposals) >= maxFetchRecords {
			return
		}
		p.replaced = true
		p.add(KindSampleReplaced, &SampleReplaced{Step: step.Step, Index: index, Attempt: sample.Attempt})
	}
}

// assignReady assigns the next positions to answers in order of completion, up to the limit of the fetch. It assigns none
// while an earlier position from the cursor on has no deliverable answer.
func (p *fetchPlan) assignReady(
	step *StepImage,
	request *peerapi.FetchSamples,
	workload *bundle.Workload,
	limits bounds,
	now time.Time,
) {
	for _, index := range step.Positions[request.Cursor:] {
		if !deliverable(&step.Samples[index], workload, limits, now) {
			return
		}
	}
	free := fetchLimit(request.MaxSamples) - (len(step.Positions) - request.Cursor)
	record := &PositionsAssigned{Step: step.Step, First: len(step.Positions)}
	for _, index := range step.Ready {
		if len(record.Samples) >= free {
			break
		}
		sample := &step.Samples[index]
		if deliverable(sample, workload, limits, now) {
			record.Samples = append(record.Samples, AttemptAt{Index: index, Attempt: sample.Attempt})
		}
	}
	if len(record.Samples) > 0 {
		p.add(KindPositionsAssigned, record)
	}
}

// deliverable reports whether a sample has an answer within the staleness bound, and a reward if the workload names a scorer.
func deliverable(sample *SampleImage, workload *bundle.Workload, limits bounds, now time.Time) bool {
	if !sample.Complete || (workload.Scorer != "" && !sample.Scored) {
		return false
	}
	return limits.accepts(sample, now)
}

// cursorRefusal returns the refusal of a cursor below the acknowledged positions or above the assigned ones, otherwise nil.
func cursorRefusal(step *StepImage, cursor int) error {
	if cursor < step.Cursor {
		return refuse(peer.CodeInvalid, "cursor is below one acknowledged earlier")
	}
	if cursor > len(step.Positions) {
		return refuse(peer.CodeInvalid, "cursor is above what was handed out")
	}
	return nil
}

// retiredRefusal returns the refusal of a cursor into a retired step; nil if the cursor is at the end of the step.
func retiredRefusal(step *RetiredStep, cursor int) error {
	switch {
	case cursor == step.Samples:
		return nil
	case cursor >= step.Acknowledged && cursor < step.Samples:
		return refuse(peer.CodeConflict, "step was dropped with its last samples unacknowledged, long after they were handed over")
	default:
		return refuse(peer.CodeInvalid, "cursor is not the end of a finished step")
	}
}

// handover holds the samples that may be handed over now.
type handover struct {
	refusal error
	found   bool
	samples []peerapi.DeliveredSample
	// complete is set if the step ends with these samples.
	complete bool
	// overBound is set if the answer at a position is over the staleness bound and must be replaced.
	overBound bool
}

// collect returns the samples from the cursor on that may be handed over now. It only reads the state.
func collect(state *State, request *peerapi.FetchSamples, workload *bundle.Workload, now time.Time) handover {
	step := state.step(request.Step)
	if step == nil {
		finished := state.retired(request.Step)
		if finished == nil {
			return handover{}
		}
		refusal := retiredRefusal(finished, request.Cursor)
		return handover{refusal: refusal, found: true, complete: refusal == nil}
	}
	if refusal := cursorRefusal(step, request.Cursor); refusal != nil {
		return handover{refusal: refusal}
	}
	result := handover{found: true}
	limits := boundsOf(workload, max(state.Latest(), request.TrainerVersion))
	tokens := 0
	for position := request.Cursor; position < len(step.Positions); position++ {
		sample := &step.Samples[step.Positions[position]]
		if !deliverable(sample, workload, limits, now) {
			result.overBound = sample.Complete && !limits.accepts(sample, now)
			break
		}
		full := len(result.samples) == fetchLimit(request.MaxSamples) || tokens+sample.Tokens > maxFetchTokens
		if full && len(result.samples) > 0 {
			break
		}
		tokens += sample.Tokens
		result.samples = append(result.samples, delivery(step, position, sample))
	}
	result.complete = request.Cursor+len(result.samples) == len(step.Samples)
	return result
}

// delivery returns the message for one sample.
func delivery(step *StepImage, position int, sample *SampleImage) peerapi.DeliveredSample {
	tokens, err := unpackTokens(sample.Payload)
	if err != nil {
		panic("step ledger payload does not decode: " + err.Error())
	}
	index := step.Positions[position]
	return peerapi.DeliveredSample{
		Index:               index,
		Position:            position,
		PromptIndex:         step.promptOf(index),
		Attempt:             sample.Attempt,
		Tokens:              tokens,
		Spans:               messageSpans(sample.Spans),
		Reward:              sample.Reward,
		Scored:              sample.Scored,
		CompletedUnixMillis: sample.CompletedUnixMillis,
	}
}

// response returns the response to the fetch.
func (h handover) response(request *peerapi.FetchSamples, accepted *bundle.Accepted) *peerapi.FetchSamplesResult {
	return &peerapi.FetchSamplesResult{
		Samples:       h.samples,
		NextCursor:    request.Cursor + len(h.samples),
		StepComplete:  h.complete,
		BundleVersion: accepted.Bundle.Version,
	}
}
