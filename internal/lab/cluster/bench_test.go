package cluster

import (
	"context"
	"fmt"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/HdrHistogram/hdrhistogram-go"
	hillforkv1 "github.com/hillfork/hillfork/internal/gen/hillfork/v1"
	"github.com/hillfork/hillfork/internal/gen/hillfork/v1/hillforkv1connect"
	"github.com/hillfork/hillfork/internal/lab/check"
	"github.com/hillfork/hillfork/internal/lab/trace"
	"github.com/hillfork/hillfork/internal/platform"
	"github.com/hillfork/hillfork/internal/platform/connectadapter"
	"github.com/hillfork/hillfork/internal/standin/engine"
)

const benchBundle = `version: 1
base: 0
partners:
  - {name: first, keys: ["${KEY:first}"]}
pools:
  - {name: pool, serving_floor: 0.5}
workloads:
  - name: training
    partner: first
    kind: training
    pools: [pool]
    share: 0.5
    model: model
    min_version: 1
    staleness: {max_versions_behind: 100, max_age: 1h}
    objective: {idle_weight: 1, staleness_weight: 1}
    swap: continue
    limits: {max_prompt_tokens: 4096, max_tokens: 4096, max_step_samples: 4096}
  - name: search
    partner: first
    kind: interactive
    pools: [pool]
    share: 0.5
    model: model
    min_version: 1
    limits: {max_prompt_tokens: 4096, max_tokens: 4096, max_in_flight: 4096, max_queue: 4096, timeout: 60s, retry_ratio: 0.2}
`

// benchCluster stands up one node and one fast engine on real sockets, with the bundle in force.
func benchCluster(b *testing.B) *Cluster {
	b.Helper()
	recorded := &trace.Trace{
		Name: "bench",
		Topology: trace.Topology{
			Seed: 1, PlatformZone: "z", Regions: []trace.Region{{Name: "r", Zones: []trace.Zone{{Name: "z", Nodes: 1}}}},
			Engines: []trace.EngineGroup{{
				Pool: "pool", Count: 1, Zones: []string{"z"}, Slots: 4096, TokenTime: trace.Duration(10 * time.Microsecond),
				StreamTime: 1, PrefillTime: 1, Models: map[string]uint64{"model": 1},
			}},
		},
		Bundles: map[string][]byte{"1.yaml": []byte(benchBundle)},
	}
	stood, err := New(b.Context(), Config{Trace: recorded, Fabric: NewLoopback(), Recorder: check.NewRecorder()})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(stood.Close)
	if _, err := stood.RollBundle(b.Context(), "1.yaml", nil); err != nil {
		b.Fatal(err)
	}
	for executeThroughNode(b.Context(), stood, "warm-up") != nil {
		if b.Context().Err() != nil {
			b.Fatal("the node takes no work")
		}
	}
	return stood
}

// benchPrompt asks for an answer of 20 tokens.
var benchPrompt = []uint32{20, engine.LengthMarker, 1, 2, 3, 4, 5, 6}

const benchTokens = 100

func executeThroughNode(ctx context.Context, c *Cluster, id string) error {
	adapter := c.adapterFrom("z")
	client := hillforkv1connect.NewRequestServiceClient(adapter.HTTPClient(),
		connectadapter.BaseURL(c.nodes[0].address(apiPort)), adapter.ClientOptions()...)
	stream, err := client.Execute(ctx, connect.NewRequest(&hillforkv1.ExecuteRequest{
		Workload: "search", RequestId: id, Prompt: benchPrompt, MaxTokens: benchTokens,
	}))
	if err != nil {
		return err
	}
	defer stream.Close()
	outcome := hillforkv1.Outcome_OUTCOME_UNSPECIFIED
	for stream.Receive() {
		outcome = stream.Msg().Outcome
	}
	if outcome != hillforkv1.Outcome_OUTCOME_COMPLETED {
		return fmt.Errorf("outcome %v: %w", outcome, stream.Err())
	}
	return nil
}

func executeDirectly(ctx context.Context, c *Cluster, id string) error {
	stream, err := c.adapterFrom("z").Engine(c.engines[0].address).Generate(ctx, platform.GenerateRequest{
		RequestID: id, Attempt: 1, Model: "model", Prompt: benchPrompt, MaxTokens: benchTokens,
	})
	if err != nil {
		return err
	}
	defer stream.Close()
	for {
		chunk, err := stream.Receive()
		if err != nil || chunk.Finished {
			return err
		}
	}
}

// BenchmarkRequest compares an interactive request through a node with one straight to the engine, one at a time and
// many at once, over loopback sockets in one run.
func BenchmarkRequest(b *testing.B) {
	stood := benchCluster(b)
	paths := []struct {
		name    string
		execute func(context.Context, *Cluster, string) error
	}{{"direct", executeDirectly}, {"node", executeThroughNode}}
	for _, path := range paths {
		for _, parallel := range []int{1, 16} {
			b.Run(fmt.Sprintf("%s/parallel=%d", path.name, parallel), func(b *testing.B) {
				measureRequests(b, parallel, func(ctx context.Context, id string) error { return path.execute(ctx, stood, id) })
			})
		}
	}
}

var benchNumber atomic.Int64

// measureRequests reports median and 99th percentile of the latency, and requests a second.
func measureRequests(b *testing.B, parallel int, execute func(context.Context, string) error) {
	latencies := hdrhistogram.New(1, time.Minute.Microseconds(), 3)
	results := make(chan int64, b.N)
	work := make(chan struct{}, b.N)
	for range b.N {
		work <- struct{}{}
	}
	close(work)
	b.ResetTimer()
	used := processorTime(b)
	for range parallel {
		go func() {
			for range work {
				began := time.Now()
				if err := execute(b.Context(), fmt.Sprintf("bench-%d", benchNumber.Add(1))); err != nil {
					b.Error(err)
				}
				results <- time.Since(began).Microseconds()
			}
		}()
	}
	for range b.N {
		_ = latencies.RecordValue(max(1, <-results))
	}
	b.StopTimer()
	b.ReportMetric(float64((processorTime(b)-used).Microseconds())/float64(b.N), "cpu-µs/request")
	b.ReportMetric(float64(latencies.ValueAtPercentile(50)), "p50-µs")
	b.ReportMetric(float64(latencies.ValueAtPercentile(99)), "p99-µs")
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "requests/s")
}

// processorTime is what this process has used so far: client, node, engine and platform together.
func processorTime(b *testing.B) time.Duration {
	b.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// Size of a training step of the benchmark, and how many are run.
const (
	benchPrompts          = 64
	benchSamplesPerPrompt = 8
	benchLength           = 500
	benchSteps            = 4
)

// BenchmarkTraining runs training steps through one node and one engine over loopback sockets, and reports samples a
// second, processor time a sample and the bytes that a sample leaves in the log.
func BenchmarkTraining(b *testing.B) {
	for b.Loop() {
		stood := benchCluster(b)
		described := trace.Trainer{
			Workload: "training", Zone: "z", Prompts: benchPrompts, SamplesPerPrompt: benchSamplesPerPrompt, PromptTokens: 64,
			Lengths: trace.Lengths{Median: benchLength, Max: benchLength}, Steps: benchSteps, StepsAhead: 1,
		}
		stood.makeTrainer(described, "model")
		began, used := time.Now(), processorTime(b)
		stood.startTrainers(b.Context())
		<-stood.client.trainers["training"].done
		samples := float64(stood.TrainerReports()[0].Report.Samples)
		if samples != benchPrompts*benchSamplesPerPrompt*benchSteps {
			b.Fatalf("%v samples arrived", samples)
		}
		logBytes := int64(0)
		for _, usage := range stood.platform.Log.Usage() {
			logBytes += usage.Bytes
		}
		b.ReportMetric(samples/time.Since(began).Seconds(), "samples/s")
		b.ReportMetric(float64((processorTime(b)-used).Microseconds())/samples, "cpu-µs/sample")
		b.ReportMetric(float64(logBytes)/samples, "log-bytes/sample")
		stood.Close()
	}
}
