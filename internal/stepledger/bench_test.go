package stepledger

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hillfork/hillfork/internal/peerapi"
	"github.com/hillfork/hillfork/internal/standin/logservice"
)

const (
	benchTokens     = 500
	benchVocabulary = 128_000
	benchSamples    = 2048
)

// benchService returns a service over the real shard manager and an in-memory log, with the given number of steps of 2,048
// samples.
func benchService(b *testing.B, steps int) (*Service, *logservice.Service) {
	workload := testWorkload()
	workload.Limits.MaxTokens = benchTokens
	workload.Limits.MaxPromptTokens = 200
	workload.Limits.MaxStepSamples = benchSamples
	workload.Staleness.MaxAge = 0
	log := logservice.New(logservice.Config{})
	service, manager := newManagedService("a", log, newBundles(workload), 0)
	b.Cleanup(func() {
		service.Close()
		manager.Close()
	})
	for step := range steps {
		request := &peerapi.SubmitStep{Workload: testWorkloadName, Step: uint64(2 * step), SamplesPerPrompt: 8, MaxTokens: benchTokens}
		for range benchSamples / 8 {
			request.Prompts = append(request.Prompts, randomTokens(200))
		}
		if _, err := service.SubmitStep(context.Background(), request); err != nil {
			b.Fatal(err)
		}
	}
	return service, log
}

func randomTokens(count int) []uint32 {
	tokens := make([]uint32, count)
	for i := range tokens {
		tokens[i] = rand.Uint32N(benchVocabulary)
	}
	return tokens
}

// BenchmarkCompleteSample records answers of 500 tokens from many concurrent dispatchers.
func BenchmarkCompleteSample(b *testing.B) {
	service, log := benchService(b, b.N/benchSamples+1)
	stream := StreamName(testWorkloadName, 0)
	before := log.Usage()[stream].Bytes
	tokens := randomTokens(benchTokens)
	var next atomic.Int64
	b.SetParallelism(32)
	b.ResetTimer()
	b.RunParallel(func(worker *testing.PB) {
		for worker.Next() {
			number := int(next.Add(1) - 1)
			result, err := service.CompleteSample(context.Background(), &peerapi.CompleteSample{
				Workload: testWorkloadName, Step: uint64(number / benchSamples * 2), Index: number % benchSamples, Attempt: 1, Tokens: tokens,
				Spans: []peerapi.Span{{To: benchTokens, Version: 1}}, CompletedUnixMillis: time.Now().UnixMilli(),
			})
			if err != nil || result.Outcome != peerapi.CompleteRecorded {
				b.Errorf("sample %d: %v %v", number, result, err)
				return
			}
		}
	})
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "samples/s")
	b.ReportMetric(float64(log.Usage()[stream].Bytes-before)/float64(b.N), "record-B/sample")
	b.ReportMetric(float64(log.Usage()[stream+".snapshots"].Bytes)/float64(b.N), "snapshot-B/sample")
}

// BenchmarkPullWork assigns 8 of 2,048 waiting samples to an engine and removes their attempts again.
func BenchmarkPullWork(b *testing.B) {
	service, _ := benchService(b, 1)
	for b.Loop() {
		result, err := service.PullWork(context.Background(), &peerapi.PullWork{
			Workload: testWorkloadName, Engine: "e1", ServedVersion: 1, FreeSlots: 8,
		})
		if err != nil || len(result.Assignments) != 8 {
			b.Fatalf("%v %v", result, err)
		}
		current := service.sessions[StreamName(testWorkloadName, 0)]
		for _, assignment := range result.Assignments {
			current.forgetSample(sampleKey{step: 0, index: assignment.Index})
		}
	}
}
