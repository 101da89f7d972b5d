package requestledger

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/hillfork/hillfork/internal/peerapi"
	"github.com/hillfork/hillfork/internal/shard"
)

// encodable is a record body.
type encodable interface{ MarshalMsg([]byte) ([]byte, error) }

func fold(state *State, epoch uint64, kind uint8, body encodable) Verdict {
	encoded, err := body.MarshalMsg(nil)
	if err != nil {
		panic(err)
	}
	return state.Apply(shard.Record{Epoch: epoch, Kind: kind, Body: encoded}).(Verdict)
}

func startOf(id string, ask uint64, at int64) *startRecord {
	return &startRecord{Workload: "filing", RequestID: id, Ask: ask, Digest: []byte("d"), AtUnixMillis: at}
}

func finishOf(id string, ask uint64, at int64, tokens ...uint32) *finishRecord {
	return &finishRecord{
		Workload: "filing", RequestID: id, Ask: ask, Outcome: peerapi.OutcomeCompleted, Tokens: tokens,
		Spans: []peerapi.Span{{To: len(tokens), Version: 1}}, AtUnixMillis: at,
	}
}

// TestRetention fills a shard: nothing is removed before its retention ends, new requests are refused while all entries
// are still kept, and answers are dropped before their requests are.
func TestRetention(t *testing.T) {
	is := is.New(t)
	state := NewState()
	id := func(i int) string { return fmt.Sprint("r", i) }
	for i := range MaxKeys {
		is.Equal(fold(state, 1, kindStart, startOf(id(i), 1, 0)), VerdictApplied)
		is.Equal(fold(state, 1, kindFinish, finishOf(id(i), 1, 0, make([]uint32, 64)...)), VerdictApplied)
	}
	is.True(state.tokens <= MaxAnswerTokens)
	is.Equal(state.lookup(key{"filing", id(0)}, 2, []byte("d"), 1).result.outcome, peerapi.OutcomeUnknown) // its answer was dropped first
	is.Equal(state.lookup(key{"filing", id(MaxKeys - 1)}, 2, []byte("d"), 1).result.outcome, peerapi.OutcomeCompleted)

	almost := Retention.Milliseconds() - 1
	is.Equal(fold(state, 1, kindStart, startOf("new", 1, almost)), VerdictFull)
	is.Equal(fold(state, 1, kindCancel, &cancelRecord{Workload: "filing", RequestID: "new", Ask: 1, AtUnixMillis: almost}), VerdictFull)
	is.Equal(fold(state, 1, kindStart, startOf(id(0), 2, almost)), VerdictExists)

	is.Equal(fold(state, 1, kindStart, startOf("new", 1, almost+1)), VerdictApplied)
	is.Equal(state.ended.Len(), MinEndedKeys) // the most recently ended are kept regardless of the clock
	is.Equal(fold(state, 1, kindStart, startOf(id(MaxKeys-1), 2, 1<<60)), VerdictExists)
	is.Equal(fold(state, 1, kindStart, startOf(id(0), 2, 0)), VerdictApplied)
	is.Equal(len(state.entries), state.running.Len()+state.ended.Len())
}

// TestNewEpochEndsRunning checks that requests left running by an earlier owner are ended and do not count as running
// forever.
func TestNewEpochEndsRunning(t *testing.T) {
	is := is.New(t)
	state := NewState()
	is.Equal(fold(state, 1, kindStart, startOf("a", 1, 0)), VerdictApplied)
	is.Equal(fold(state, 2, kindStart, startOf("b", 1, 0)), VerdictApplied)
	is.Equal(state.running.Len(), 1)
	is.Equal(state.ended.Len(), 1)
	is.Equal(fold(state, 2, kindFinish, finishOf("a", 1, 0, 1)), VerdictNotStarted)
	is.Equal(state.lookup(key{"filing", "a"}, 1, []byte("d"), 2).result.outcome, peerapi.OutcomeUnknown)

	// Only the answer of the same run may still be forwarded, and only once.
	forwarded := finishOf("a", 1, 0, 1)
	forwarded.StartEpoch = 2
	is.Equal(fold(state, 2, kindFinish, forwarded), VerdictNotStarted)
	forwarded.StartEpoch = 1
	forwarded.Ask = 2
	is.Equal(fold(state, 2, kindFinish, forwarded), VerdictNotStarted)
	forwarded.Ask = 1
	is.Equal(fold(state, 2, kindFinish, forwarded), VerdictApplied)
	is.Equal(fold(state, 2, kindFinish, forwarded), VerdictExists)
	is.Equal(state.lookup(key{"filing", "a"}, 1, []byte("d"), 2).result.outcome, peerapi.OutcomeCompleted)
	forwarded.RequestID = "b"
	forwarded.StartEpoch = 2
	is.Equal(fold(state, 2, kindFinish, forwarded), VerdictExists) // its owner was not lost
}

// TestClosedAsksAreBounded closes more asks of one request than MaxClosedAsks: no ask of the request may be started
// afterwards, because the asks beyond the limit are not remembered.
func TestClosedAsksAreBounded(t *testing.T) {
	is := is.New(t)
	state := NewState()
	for ask := range uint64(MaxClosedAsks + 3) {
		is.Equal(fold(state, 1, kindCancel, &cancelRecord{Workload: "filing", RequestID: "a", Ask: ask}), VerdictApplied)
	}
	// Beyond the limit no ask is remembered, and none can be started.
	for ask := range uint64(MaxClosedAsks + 9) {
		is.True(fold(state, 1, kindStart, startOf("a", ask, 0)) != VerdictApplied)
	}
}

// TestFoldProperties folds random records and restores a snapshot taken at a random point. No ask may start twice or
// after it was closed, and the restored state must fold the rest identically.
func TestFoldProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.NewRelaxed(t)
		whole, restored := NewState(), NewState()
		epoch := uint64(1)
		starts := map[string]int{}
		notRun := map[string]bool{}
		records := rapid.IntRange(1, 60).Draw(t, "records")
		snapshotAt := rapid.IntRange(0, records).Draw(t, "snapshot")
		for i := range records {
			if i == snapshotAt {
				body, err := whole.Snapshot()
				is.NoErr(err)
				is.NoErr(restored.Restore(body))
			}
			epoch += uint64(rapid.IntRange(0, 8).Draw(t, "epoch") / 8)
			record, id, ask := drawRecord(t, epoch)
			verdict := whole.Apply(record)
			name := fmt.Sprint(id, "/", ask)
			if record.Kind == kindStart && verdict == VerdictApplied {
				starts[name]++
				if notRun[name] {
					t.Fatal("an ask was started after it was closed")
				}
			}
			if record.Kind == kindCancel && verdict == VerdictApplied {
				notRun[name] = true
			}
			if starts[name] > 1 {
				t.Fatal("an ask was started twice")
			}
			if i >= snapshotAt && restored.Apply(record) != verdict {
				t.Fatal("the restored state returned a different verdict")
			}
		}
		if snapshotAt < records {
			one, err := whole.Snapshot()
			is.NoErr(err)
			other, err := restored.Snapshot()
			is.NoErr(err)
			is.Equal(one, other)
		}
	})
}

func drawRecord(t *rapid.T, epoch uint64) (record shard.Record, id string, ask uint64) {
	id = rapid.SampledFrom([]string{"a", "b"}).Draw(t, "id")
	ask = uint64(rapid.IntRange(1, 3).Draw(t, "ask"))
	at := int64(rapid.IntRange(0, 5_000_000).Draw(t, "at"))
	kind := rapid.SampledFrom([]uint8{kindStart, kindFinish, kindCancel, 9}).Draw(t, "kind")
	var body encodable = startOf(id, ask, at)
	switch kind {
	case kindFinish:
		finish := finishOf(id, ask, at, 1, 2)
		if rapid.Bool().Draw(t, "not run") {
			finish = &finishRecord{Workload: "filing", RequestID: id, Ask: ask, Outcome: peerapi.OutcomeNotRun, AtUnixMillis: at}
		}
		finish.StartEpoch = uint64(rapid.IntRange(0, 2).Draw(t, "start epoch"))
		body = finish
	case kindCancel:
		body = &cancelRecord{Workload: "filing", RequestID: id, Ask: ask, AtUnixMillis: at}
	}
	encoded, err := body.MarshalMsg(nil)
	if err != nil {
		t.Fatal(err)
	}
	if rapid.IntRange(0, 9).Draw(t, "garbage") == 0 {
		encoded = encoded[:len(encoded)/2]
	}
	return shard.Record{Epoch: epoch, Kind: kind, Body: encoded}, id, ask
}

// FuzzState restores and folds arbitrary bytes: nothing may panic, and the resulting state can be encoded and restored.
func FuzzState(f *testing.F) {
	for kind, body := range map[uint8]encodable{
		kindStart: startOf("a", 1, 5), kindFinish: finishOf("a", 1, 5, 1, 2), kindCancel: &cancelRecord{RequestID: "a"},
		9: &stateSnapshot{Entries: []entrySnapshot{{RequestID: "a", Tokens: []uint32{1}, Closed: []uint64{1}}}},
	} {
		encoded, err := body.MarshalMsg(nil)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(kind, encoded)
	}
	f.Fuzz(func(t *testing.T, kind uint8, body []byte) {
		is := is.New(t)
		state := NewState()
		_ = state.Restore(body)
		state.Apply(shard.Record{Epoch: 1, Kind: kindStart, Body: body})
		state.Apply(shard.Record{Epoch: 1, Kind: kind, Body: body})
		state.Apply(shard.Record{Epoch: 2, Kind: kind, Body: body})
		is.Equal(len(state.entries), state.running.Len()+state.ended.Len())
		snapshot, err := state.Snapshot()
		is.NoErr(err)
		is.NoErr(NewState().Restore(snapshot))
	})
}
