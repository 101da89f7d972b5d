package engine

import (
	"context"
	"errors"
	"io"
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/hillfork/hillfork/internal/platform"
	"github.com/hillfork/hillfork/internal/standin/weightstore"
)

const model = "m"

// journal records what an engine tells its observer.
type journal struct {
	received []string
	started  []string
	produced map[string]int
}

func (j *journal) Received(_, requestID string, _ uint32, _ time.Time) {
	j.received = append(j.received, requestID)
}

func (j *journal) Started(_, requestID string, _ uint32, _ uint64, _ time.Time) {
	j.started = append(j.started, requestID)
}

func (j *journal) Produced(_, requestID string, _ uint32, _, count int, _ uint64) {
	j.produced[requestID] += count
}

// run calls test in a bubble with an engine that decodes one token in 20 ms, 50 in a second, whatever the batch.
func run(t *testing.T, change func(*Config), test func(t *testing.T, is *is.I, e *Engine, seen *journal)) {
	synctest.Test(t, func(t *testing.T) {
		seen := &journal{produced: make(map[string]int)}
		config := Config{
			ID:              "e1",
			Slots:           2,
			Served:          map[string]uint64{model: 1},
			BaseStep:        20 * time.Millisecond,
			PerStreamStep:   time.Nanosecond,
			PrefillPerToken: time.Nanosecond,
			Observer:        seen,
		}
		if change != nil {
			change(&config)
		}
		e := New(config)
		defer e.Close()
		test(t, is.New(t), e, seen)
	})
}

func request(id string, length uint32, priority int) platform.GenerateRequest {
	return platform.GenerateRequest{
		RequestID: id, Attempt: 1, Model: model, Prompt: []uint32{length, LengthMarker}, MaxTokens: 1000, Priority: priority,
	}
}

// answer is what a receiver made of a stream.
type answer struct {
	tokens   []uint32
	versions []uint64
	// counts are the tokens by version.
	counts map[uint64]int
	err    error
	at     time.Time
}

// receive assembles an answer by index until the stream ends.
func receive(stream platform.ChunkStream, id string) answer {
	got := answer{counts: make(map[uint64]int)}
	placed := make(map[int]uint32)
	for {
		chunk, err := stream.Receive()
		if err != nil {
			got.err, got.at = err, time.Now()
			break
		}
		if chunk.RequestID != id {
			continue
		}
		for i, token := range chunk.Tokens {
			placed[chunk.Index+i] = token
		}
		got.versions = append(got.versions, chunk.Version)
		got.counts[chunk.Version] += len(chunk.Tokens)
	}
	for _, index := range slices.Sorted(maps.Keys(placed)) {
		got.tokens = append(got.tokens, placed[index])
	}
	got.versions = slices.Compact(got.versions)
	return got
}

// generate starts a stream and hands its answer to the returned channel.
func generate(is *is.I, e *Engine, request platform.GenerateRequest) <-chan answer {
	stream, err := e.Generate(context.Background(), request)
	is.NoErr(err)
	done := make(chan answer, 1)
	go func() { done <- receive(stream, request.RequestID) }()
	return done
}

func order(sequence, version uint64) platform.LoadOrder {
	return platform.LoadOrder{Fence: platform.Fence{Epoch: 1, Sequence: sequence}, Model: model, Version: version}
}

func TestThroughputFollowsTheBatch(t *testing.T) {
	run(t, func(c *Config) { c.PerStreamStep = 20 * time.Millisecond }, func(t *testing.T, is *is.I, e *Engine, seen *journal) {
		began := time.Now()
		short := generate(is, e, request("short", 10, 0))
		long := generate(is, e, request("long", 20, 0))
		waits := generate(is, e, request("waits", 5, 0))
		got := <-short
		is.Equal(got.err, io.EOF)
		is.Equal(got.tokens, ExpectedTokens([]uint32{10, LengthMarker}, 0, 1000))
		is.Equal(got.at.Sub(began).Round(time.Millisecond), 600*time.Millisecond)             // 10 steps of 60 ms
		is.Equal((<-waits).at.Sub(began).Round(time.Millisecond), 900*time.Millisecond)       // 5 more
		is.Equal((<-long).at.Sub(began).Round(time.Millisecond), (900+5*40)*time.Millisecond) // the rest alone
		is.Equal(seen.produced, map[string]int{"short": 10, "long": 20, "waits": 5})
	})
}

func TestPriorityPreemptsAndKeepsTokens(t *testing.T) {
	run(t, func(c *Config) { c.Slots = 1; c.MaxWaiting = 1 }, func(t *testing.T, is *is.I, e *Engine, seen *journal) {
		low := generate(is, e, request("low", 100, 0))
		time.Sleep(time.Second)
		high := generate(is, e, request("high", 50, 5))
		_, err := e.Generate(t.Context(), request("refused", 5, 0))
		is.True(errors.Is(err, platform.ErrRejected)) // the queue holds low
		first, second := <-high, <-low
		is.True(first.at.Before(second.at))
		is.Equal(len(second.tokens), 100)
		is.Equal(seen.produced["low"], 100) // nothing produced twice
		is.Equal(seen.started, []string{"low", "high"})
	})
}

func TestResumeAndMove(t *testing.T) {
	run(t, func(c *Config) { c.PrefillPerToken = time.Millisecond }, func(t *testing.T, is *is.I, e *Engine, _ *journal) {
		ctx := t.Context()
		moving := request("r", 100, 0)
		cut := generate(is, e, moving)
		time.Sleep(time.Second)
		export, err := e.ExportCache(ctx, "r", 1)
		is.NoErr(err)
		is.True(errors.Is((<-cut).err, ErrExported))
		is.Equal(export.Spans, []platform.VersionSpan{{From: 0, To: len(export.Tokens), Version: 1}})

		moving.Attempt, moving.Resume = 2, export.Tokens
		is.NoErr(e.ImportCache(ctx, export))
		began := time.Now()
		got := <-generate(is, e, moving)
		whole := ExpectedTokens(moving.Prompt, 0, 1000)
		is.Equal(got.tokens, whole[len(export.Tokens):]) // what was resumed is not sent again
		is.Equal(got.err, io.EOF)
		decoding := time.Duration(len(whole)-len(export.Tokens)) * 20 * time.Millisecond
		is.Equal(got.at.Sub(began).Round(time.Millisecond), decoding) // no prefill
		began = time.Now()
		moving.Attempt = 3
		slower := <-generate(is, e, moving)
		is.True(slower.at.Sub(began) > decoding) // the import served once
	})
}

func TestSwapMarksTokensWithTheirVersion(t *testing.T) {
	run(t, nil, func(t *testing.T, is *is.I, e *Engine, _ *journal) {
		running := generate(is, e, request("r", 100, 0))
		time.Sleep(1100 * time.Millisecond) // between two chunks
		began := time.Now()
		is.NoErr(e.Load(t.Context(), order(1, 2)))
		is.Equal(time.Since(began), DefaultSwapPause)
		got := <-running
		is.Equal(got.versions, []uint64{1, 2})
		is.Equal(got.counts, map[uint64]int{1: 55, 2: 45})
		is.Equal(got.at.Sub(began).Round(time.Millisecond), 1900*time.Millisecond) // the pause, then 45 tokens
		is.True(errors.Is(e.Load(t.Context(), order(1, 3)), platform.ErrStaleOrder))
	})
}

func TestLoadsFail(t *testing.T) {
	tests := []struct {
		name    string
		failure LoadFailure
		fails   bool
		serves  uint64
	}{
		{"succeeds", LoadFailure{}, false, 7},
		{"keeps old", LoadFailure{Mode: LoadKeepsOld}, true, 1},
		{"unasked", LoadFailure{Mode: LoadUnasked, Version: 3}, false, 3},
		{"half", LoadFailure{Mode: LoadHalf}, true, 7},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			run(t, nil, func(t *testing.T, is *is.I, e *Engine, _ *journal) {
				e.FailNextLoad(test.failure)
				err := e.Load(t.Context(), order(1, 7))
				is.Equal(err != nil, test.fails)
				got := <-generate(is, e, request("r", 5, 0))
				is.Equal(got.versions, []uint64{test.serves})
			})
		})
	}
}

func TestLoadReadsTheStore(t *testing.T) {
	store := weightstore.New(weightstore.Config{MaxReaders: 1, VersionBytes: 10, ReaderBytesPerSecond: 1})
	store.Add(model, 2)
	store.Add(model, 3)
	run(t, func(c *Config) { c.Weights = store }, func(t *testing.T, is *is.I, e *Engine, _ *journal) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		is.True(errors.Is(e.Load(ctx, order(1, 2)), context.DeadlineExceeded))
		is.True(errors.Is(e.Load(t.Context(), order(2, 3)), platform.ErrThrottled)) // the first goes on
		time.Sleep(10*time.Second + DefaultStatusLag)
		status, err := e.Status(t.Context())
		is.NoErr(err)
		is.Equal(status.Served[model], uint64(1)) // superseded by the order that was throttled
		is.True(errors.Is(e.Load(t.Context(), order(3, 9)), weightstore.ErrNoSuchVersion))
		is.NoErr(e.Load(t.Context(), order(4, 3)))
	})
}

func TestCrashHangAndSlow(t *testing.T) {
	run(t, nil, func(t *testing.T, is *is.I, e *Engine, _ *journal) {
		began := time.Now()
		stream := generate(is, e, request("r", 100, 0))
		time.Sleep(time.Second)
		e.Slow(2)
		time.Sleep(time.Second)
		e.Hang()
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		_, err := e.Status(ctx)
		is.True(errors.Is(err, context.DeadlineExceeded))
		e.Resume()
		is.Equal((<-stream).at.Sub(began).Round(time.Millisecond), 63*time.Second) // 50 tokens, 25, hung, 25
		stream = generate(is, e, request("r", 100, 0))
		is.NoErr(e.Load(t.Context(), order(1, 2)))
		e.Crash()
		is.True(errors.Is((<-stream).err, ErrCrashed))
		_, err = e.Generate(t.Context(), request("r", 1, 0))
		is.True(errors.Is(err, ErrCrashed))
		e.Restart()
		status, err := e.Status(t.Context())
		is.NoErr(err)
		is.Equal(status.Incarnation, uint64(2))
		is.Equal(status.Served[model], uint64(1)) // forgot the load
	})
}

func TestLeavingRefusesAfterGrace(t *testing.T) {
	run(t, nil, func(t *testing.T, is *is.I, e *Engine, _ *journal) {
		running := generate(is, e, request("r", 300, 0))
		e.Leave()
		status, _ := e.Status(t.Context())
		is.True(!status.Leaving) // lags
		time.Sleep(DefaultLeavingGrace)
		status, _ = e.Status(t.Context())
		is.True(status.Leaving)
		_, err := e.Generate(t.Context(), request("late", 1, 0))
		is.True(errors.Is(err, platform.ErrRejected))
		is.Equal(len((<-running).tokens), 300)
	})
}

func TestDisorderLosesNothing(t *testing.T) {
	run(t, func(c *Config) { c.Seed = 3 }, func(t *testing.T, is *is.I, e *Engine, _ *journal) {
		e.SetDisorder(Disorder{Duplicate: 0.5, Reorder: 0.5, Stray: 0.5})
		other := generate(is, e, request("other", 400, 0))
		stream, err := e.Generate(t.Context(), request("r", 300, 0))
		is.NoErr(err)
		var indexes []int
		strays := 0
		placed := make(map[int]uint32)
		for {
			chunk, err := stream.Receive()
			if err != nil {
				is.Equal(err, io.EOF)
				break
			}
			if chunk.RequestID != "r" {
				strays++
				continue
			}
			indexes = append(indexes, chunk.Index)
			for i, token := range chunk.Tokens {
				placed[chunk.Index+i] = token
			}
		}
		is.True(!slices.IsSorted(indexes))
		is.True(len(slices.Compact(slices.Sorted(slices.Values(indexes)))) < len(indexes))
		is.True(strays > 0)
		for index, token := range ExpectedTokens([]uint32{300, LengthMarker}, 0, 1000) {
			is.Equal(placed[index], token)
		}
		is.Equal((<-other).tokens, ExpectedTokens([]uint32{400, LengthMarker}, 0, 1000))
	})
}

func TestPrefixCacheShortensPrefillAndTellsLate(t *testing.T) {
	change := func(c *Config) {
		c.PrefillPerToken = time.Millisecond
		c.MemoryTokens = 4 * platform.PrefixBlockTokens
	}
	run(t, change, func(t *testing.T, is *is.I, e *Engine, _ *journal) {
		prompt := make([]uint32, 4*platform.PrefixBlockTokens)
		prompt[0], prompt[1] = 1, LengthMarker
		timeOf := func(id string, prompt []uint32) time.Duration {
			began := time.Now()
			ask := request(id, 1, 0)
			ask.Prompt = prompt
			return (<-generate(is, e, ask)).at.Sub(began).Round(time.Millisecond)
		}
		is.Equal(timeOf("cold", prompt), 84*time.Millisecond)
		events, err := e.CacheEvents(t.Context(), 0, 0)
		is.NoErr(err)
		is.Equal(len(events), 0) // late
		is.Equal(timeOf("warm", prompt), 20*time.Millisecond)
		events, err = e.CacheEvents(t.Context(), 0, time.Minute)
		is.NoErr(err)
		hashes := platform.PrefixHashes(prompt)
		is.Equal(events[0], platform.CacheEvent{Sequence: 1, Prefix: hashes[0]})
		is.Equal(len(events), len(hashes))

		other := slices.Clone(prompt)
		other[2] = 9
		is.Equal(timeOf("other", other), 84*time.Millisecond)
		is.Equal(timeOf("evicted", prompt), 84*time.Millisecond)
		time.Sleep(DefaultEventLag)
		events, _ = e.CacheEvents(t.Context(), 4, 0)
		is.Equal(events[1], platform.CacheEvent{Sequence: 6, Prefix: hashes[0], Evicted: true})
	})
}

func TestLostCacheEventsLeaveGaps(t *testing.T) {
	run(t, nil, func(t *testing.T, is *is.I, e *Engine, _ *journal) {
		ask := request("r", 1, 0)
		ask.Prompt = append(ask.Prompt, make([]uint32, 100*platform.PrefixBlockTokens)...)
		e.SetEventLoss(0.5)
		<-generate(is, e, ask)
		time.Sleep(DefaultEventLag)
		events, err := e.CacheEvents(t.Context(), 0, 0)
		is.NoErr(err)
		is.True(len(events) > 20 && len(events) < 80)
		last := events[len(events)-1].Sequence
		is.True(last > uint64(len(events))) // the sequence jumps where events are lost
		e.SetEventLoss(0)
		e.Restart()
		<-generate(is, e, ask)
		events, err = e.CacheEvents(t.Context(), last, time.Minute)
		is.NoErr(err)
		is.True(events[0].Sequence > last+100) // the loss of the whole cache is a gap
	})
}

func TestSpreadLengthsHaveTheirMedian(t *testing.T) {
	is := is.New(t)
	below := 0
	const draws = 2000
	for seed := range uint64(draws) {
		if LengthOf([]uint32{100, SpreadMarker, 500}, seed, 100000) < 100 {
			below++
		}
	}
	is.True(below > draws*45/100 && below < draws*55/100)
}
