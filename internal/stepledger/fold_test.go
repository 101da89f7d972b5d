package stepledger

import (
	"bytes"
	"testing"

	"github.com/matryer/is"
	"github.com/tinylib/msgp/msgp"
	"pgregory.net/rapid"

	"github.com/hillfork/hillfork/internal/shard"
)

// recordKinds lists the kinds to draw from. Kinds listed more than once are drawn more often.
var recordKinds = []uint8{
	KindSampleCompleted, KindSampleCompleted, KindSampleCompleted, KindPositionsAssigned, KindPositionsAssigned,
	KindCursorAdvanced, KindCursorAdvanced, KindSampleReplaced, KindSampleScored, KindVersionPublished,
	KindStepRetired, KindStepSubmitted, KindPromptsAdded,
}

// drawBody draws a record of one of two steps. It often contradicts the state.
func drawBody(t *rapid.T, state *State) (uint8, msgp.Marshaler) {
	step := rapid.SampledFrom([]uint64{1, 1, 1, 2}).Draw(t, "step")
	index := rapid.SampledFrom([]int{0, 0, 1, 1, 2, 3, 4, -1}).Draw(t, "index")
	next := 0
	if known := state.step(step); known != nil {
		next = len(known.Positions)
	}
	attempt := rapid.SampledFrom([]uint32{1, 1, 1, 2}).Draw(t, "attempt")
	switch kind := rapid.SampledFrom(recordKinds).Draw(t, "kind"); kind {
	case KindStepSubmitted:
		prompts := [][]byte{packTokens([]uint32{1}), packTokens([]uint32{2})}
		return kind, &StepSubmitted{Step: step, Digest: []byte{byte(attempt)}, Prompts: prompts[:index&1+1], PromptCount: 2, SamplesPerPrompt: 2, MaxTokens: 9}
	case KindPromptsAdded:
		return kind, &PromptsAdded{Step: step, Digest: []byte{byte(attempt)}, First: index, Prompts: [][]byte{{7}}}
	case KindVersionPublished:
		return kind, &VersionPublished{Version: step}
	case KindSampleCompleted:
		payload := packTokens([]uint32{attempt, 1 << 20})
		spans := []VersionSpan{{From: 0, To: rapid.SampledFrom([]int{1, 2, 2, 2}).Draw(t, "to"), Version: 1}}
		return kind, &SampleCompleted{Step: step, Index: index, Attempt: attempt, Payload: payload, Spans: spans}
	case KindSampleScored:
		return kind, &SampleScored{Step: step, Index: index, Attempt: attempt, Reward: 1}
	case KindPositionsAssigned:
		samples := []AttemptAt{{Index: index, Attempt: attempt}}
		return kind, &PositionsAssigned{Step: step, First: next - rapid.SampledFrom([]int{0, 0, 0, 1}).Draw(t, "first"), Samples: samples}
	case KindSampleReplaced:
		return kind, &SampleReplaced{Step: step, Index: index, Attempt: attempt}
	case KindCursorAdvanced:
		return kind, &CursorAdvanced{Step: step, Cursor: next - rapid.SampledFrom([]int{0, 0, 1, -1}).Draw(t, "cursor")}
	default:
		return kind, &StepRetired{Step: step}
	}
}

// drawRecord draws a record, occasionally with a damaged body.
func drawRecord(t *rapid.T, state *State) shard.Record {
	kind, marshaler := drawBody(t, state)
	body, err := marshaler.MarshalMsg(nil)
	if err != nil {
		t.Fatal(err)
	}
	switch rapid.SampledFrom([]int{0, 0, 0, 0, 0, 0, 0, 0, 0, 1, 2, 3}).Draw(t, "damage") {
	case 3:
		body = body[:rapid.IntRange(0, len(body)).Draw(t, "cut")]
	case 1:
		body[rapid.IntRange(0, len(body)-1).Draw(t, "at")] ^= byte(rapid.IntRange(1, 255).Draw(t, "flip"))
	case 2:
		body = rapid.SliceOf(rapid.Byte()).Draw(t, "garbage")
	}
	return shard.Record{Kind: kind, Body: body}
}

// TestFoldKeepsInvariants folds arbitrary records. The state must stay consistent, positions keep their samples, cursors and
// the version never decrease, only recorded records change the state, a repeated record is not recorded again, and folding
// continues from a restored snapshot to the same state.
func TestFoldKeepsInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state, restored := &State{}, &State{}
		for range rapid.SampledFrom([]int{10, 100, 200}).Draw(t, "records") {
			record := drawRecord(t, state)
			before := encode(t, state)
			old := decode(t, before)
			outcome := state.Apply(record).(Outcome)
			if again := restored.Apply(record).(Outcome); again != outcome {
				t.Fatalf("outcome %d, after a restore %d", outcome, again)
			}
			after := encode(t, state)
			if outcome != OutcomeRecorded && !bytes.Equal(before, after) {
				t.Fatalf("outcome %d changed the state", outcome)
			}
			if !bytes.Equal(after, encode(t, restored)) {
				t.Fatal("the restored state differs")
			}
			checkGrowth(t, old, state)
			restored = decode(t, after)
			if state.Apply(record).(Outcome) == OutcomeRecorded {
				t.Fatal("a repeat was recorded")
			}
		}
	})
}

// checkGrowth fails if a state and its successor after one more record violate an invariant.
func checkGrowth(t *rapid.T, before, after *State) {
	if after.Latest() < before.Latest() {
		t.Fatal("the version fell")
	}
	for _, old := range before.image.Steps {
		step := after.step(old.Step)
		if step == nil {
			if after.retired(old.Step) == nil {
				t.Fatal("a step is forgotten")
			}
			continue
		}
		if step.Cursor < old.Cursor {
			t.Fatal("a cursor fell")
		}
		for position, index := range old.Positions {
			if step.Positions[position] != index {
				t.Fatal("a position changed its sample")
			}
		}
		for _, index := range old.Positions[:old.Cursor] {
			if step.waiting(index) || step.Samples[index].Payload != nil {
				t.Fatal("an acknowledged sample is not dropped")
			}
		}
	}
}

func encode(t *rapid.T, state *State) []byte {
	snapshot, err := state.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	return snapshot
}

// decode restores a state from a snapshot and fails the test if the snapshot is inconsistent.
func decode(t *rapid.T, snapshot []byte) *State {
	state := &State{}
	if err := state.Restore(snapshot); err != nil {
		t.Fatal(err)
	}
	return state
}

// TestForgottenStepsAreRefused guards against running a retired step again after its digest was dropped.
func TestForgottenStepsAreRefused(t *testing.T) {
	is := is.New(t)
	state := &State{}
	submit := func(number uint64) Outcome {
		return state.submit(&StepSubmitted{Step: number, PromptCount: 1, Prompts: [][]byte{{1}}, SamplesPerPrompt: 1, MaxTokens: 1})
	}
	for number := uint64(1); number <= maxRetired+1; number++ {
		is.Equal(submit(number), OutcomeRecorded)
		is.Equal(state.complete(&SampleCompleted{Step: number, Payload: []byte{1}, Spans: []VersionSpan{{To: 1}}}), OutcomeRecorded)
		is.Equal(state.assign(&PositionsAssigned{Step: number, Samples: []AttemptAt{{}}}), OutcomeRecorded)
		is.Equal(state.retire(&StepRetired{Step: number}), OutcomeRecorded)
	}
	is.Equal(submit(1), OutcomeConflict)  // its digest is no longer kept, and it must not run twice
	is.Equal(submit(2), OutcomeDuplicate) // its digest is still kept
}

func TestStreamNames(t *testing.T) {
	is := is.New(t)
	workload, number, ok := ParseStream(StreamName("a/b", 1))
	is.True(ok)
	is.Equal(workload, "a/b")
	is.Equal(number, 1)
	for _, name := range []string{"steps/x", "steps//0", "steps/x/2", "steps/x/-1", "steps/x/00", "steps/x/+1", "other/x/0"} {
		_, _, ok := ParseStream(name)
		is.True(!ok)
	}
}

func FuzzRestore(f *testing.F) {
	state := &State{}
	state.submit(&StepSubmitted{Step: 1, PromptCount: 1, Prompts: [][]byte{{1}}, SamplesPerPrompt: 2, MaxTokens: 1})
	snapshot, _ := state.Snapshot()
	f.Add(snapshot, uint8(KindSampleCompleted))
	f.Fuzz(func(t *testing.T, body []byte, kind uint8) {
		state := &State{}
		_ = state.Restore(body)
		state.Apply(shard.Record{Kind: kind, Body: body})
		if !state.image.consistent() {
			t.Fatal("the state is inconsistent")
		}
	})
}
