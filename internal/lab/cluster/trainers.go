package cluster

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/hillfork/hillfork/internal/bundle"
	hillforkv1 "github.com/hillfork/hillfork/internal/gen/hillfork/v1"
	"github.com/hillfork/hillfork/internal/lab/check"
	"github.com/hillfork/hillfork/internal/lab/trace"
	"github.com/hillfork/hillfork/internal/lab/workload"
	"github.com/hillfork/hillfork/internal/standin/engine"
	"github.com/hillfork/hillfork/internal/standin/trainer"
)

// trainerProcess is one trainer on its host.
type trainerProcess struct {
	trainer *trainer.Trainer
	done    chan struct{}
	// bounded says that the trainer ends after its steps.
	bounded bool
}

// makeTrainers makes a trainer for each of the topology; startTrainers sets them going.
func (c *Cluster) makeTrainers(context.Context) error {
	for _, described := range c.topology.Trainers {
		model, err := c.modelOf(described.Workload)
		if err != nil {
			return err
		}
		c.makeTrainer(described, model)
	}
	return nil
}

// startTrainers lets the trainers run until ctx ends.
func (c *Cluster) startTrainers(ctx context.Context) {
	for _, process := range c.client.trainers {
		c.running.Go(func() {
			defer close(process.done)
			_ = process.trainer.Run(ctx)
		})
	}
}

func (c *Cluster) makeTrainer(described trace.Trainer, model string) {
	adapter := c.adapterFrom(described.Zone)
	steps := workload.NewSteps(described, c.topology.Seed)
	var gateways []string
	for _, process := range c.gatewaysNear(described.Zone) {
		gateways = append(gateways, process.address(apiPort))
	}
	process := &trainerProcess{done: make(chan struct{}), bounded: described.Steps > 0}
	process.trainer = trainer.New(adapter.HTTPClient(), trainer.Config{
		Workload:         described.Workload,
		Model:            model,
		Gateways:         gateways,
		Prompts:          steps,
		SamplesPerPrompt: described.SamplesPerPrompt,
		MaxTokens:        described.Lengths.Max,
		TrainTime:        time.Duration(described.TrainTime),
		Steps:            uint64(described.Steps),
		StepsAhead:       uint64(described.StepsAhead),
		StartVersion:     c.startVersion(model),
		Weights:          adapter.WeightStore(c.platform.Address),
		Observer:         &trainerObserver{recorder: c.config.Recorder, described: described, steps: steps},
	}, adapter.ClientOptions()...)
	c.client.trainers[described.Workload] = process
}

// modelOf finds a workload's model in the bundles of the trace, the first by name that has the workload.
func (c *Cluster) modelOf(name string) (string, error) {
	for _, file := range sortedKeys(c.config.Trace.Bundles) {
		decoded, err := bundle.Decode(c.keys.Fill(c.config.Trace.Bundles[file]))
		if err != nil {
			continue
		}
		if found := decoded.Workload(name); found != nil {
			return found.Model, nil
		}
	}
	return "", fmt.Errorf("no valid bundle of the trace has the workload %q", name)
}

func (c *Cluster) startVersion(model string) uint64 {
	var newest uint64
	for _, group := range c.topology.Engines {
		newest = max(newest, group.Models[model])
	}
	return newest
}

// trainerObserver records what a trainer receives.
type trainerObserver struct {
	recorder  *check.Recorder
	described trace.Trainer
	steps     *workload.Steps
}

func (o *trainerObserver) Submitted(name string, step uint64, samples int) {
	o.recorder.Record(func(seen *check.Observations) {
		seen.Submitted = append(seen.Submitted, check.SubmittedStep{Workload: name, Step: step, Samples: samples})
	})
}

func (o *trainerObserver) Delivered(delivery trainer.Delivery) {
	request, answer := delivery.Request, delivery.Answer
	prompts := o.steps.Prompts(request.Step)
	recorded := check.Delivery{
		Workload: request.Workload, Step: request.Step, At: delivery.At, Cursor: int(request.Cursor),
		NextCursor: int(answer.NextCursor), StepComplete: answer.StepComplete, TrainerVersion: request.TrainerVersion,
		BundleVersion: answer.BundleVersion,
	}
	for _, sample := range answer.Samples {
		recorded.Samples = append(recorded.Samples, o.sample(request, sample, prompts))
	}
	o.recorder.Record(func(seen *check.Observations) { seen.Deliveries = append(seen.Deliveries, recorded) })
}

func (o *trainerObserver) sample(request *hillforkv1.FetchSamplesRequest, sample *hillforkv1.Sample, prompts [][]uint32) check.Sample {
	recorded := check.Sample{
		ID: sample.Id, Position: int(sample.Position), Tokens: sample.Tokens,
		Age: time.Duration(sample.AgeMillis) * time.Millisecond,
	}
	for _, span := range sample.Spans {
		recorded.Spans = append(recorded.Spans, check.Span{From: int(span.From), To: int(span.To), Version: span.Version})
	}
	index, err := sampleIndex(sample.Id, request.Step)
	prompt := index / o.described.SamplesPerPrompt
	if err != nil || prompt >= len(prompts) || prompt != int(sample.PromptIndex) {
		return recorded
	}
	seed := workload.SampleSeed(request.Workload, request.Step, index)
	recorded.Expected = engine.ExpectedTokens(prompts[prompt], seed, o.described.Lengths.Max)
	return recorded
}

// sampleIndex reads "<step>/<index>".
func sampleIndex(id string, step uint64) (int, error) {
	prefix, number, _ := strings.Cut(id, "/")
	if prefix != strconv.FormatUint(step, 10) {
		return 0, fmt.Errorf("sample %q is not of step %d", id, step)
	}
	return strconv.Atoi(number)
}
