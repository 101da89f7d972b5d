package byhand

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/hillfork/hillfork/internal/lab/trace"
	"github.com/hillfork/hillfork/internal/lab/workload"
	"github.com/hillfork/hillfork/internal/network"
	"github.com/hillfork/hillfork/internal/platform/connectadapter"
	"github.com/hillfork/hillfork/internal/standin/trainer"
)

// TrainerConfig describes the trainer of one workload.
type TrainerConfig struct {
	Workload string
	Model    string
	// Gateways are the API addresses of nodes, called in turn when calls fail.
	Gateways []string
	// Platform is the address of the platform's services.
	Platform string
	// Prompts is how many prompts a step has, SamplesPerPrompt how many samples each of them.
	Prompts          int
	SamplesPerPrompt int
	// Length is the median length of an answer in tokens; MaxTokens bounds it.
	Length    int
	MaxTokens int
	TrainTime time.Duration
	// FirstStep is the number of the first step, from 1 on.
	FirstStep uint64
	// Steps is how many steps are trained; 0 goes on until the context ends.
	Steps int
	// Seed sets the prompts; the same seed gives the same steps.
	Seed uint64
}

// Spread of the lengths of answers, in natural logarithm units.
const (
	promptSigma = 0.4
	sampleSigma = 0.3
)

// promptTokens is the length of a prompt.
const promptTokens = 64

// RunTrainer trains until all steps are done, which is nil, or ctx ends. It prints a line for each step received.
func RunTrainer(ctx context.Context, config TrainerConfig, out io.Writer) error {
	adapter := connectadapter.New(network.System{}, connectadapter.Options{})
	defer adapter.Close()
	store := adapter.WeightStore(config.Platform)
	newest, err := store.Latest(ctx, config.Model)
	if err != nil {
		return fmt.Errorf("weight store: %w", err)
	}
	progress := &stepPrinter{out: out}
	training := trainer.New(adapter.HTTPClient(), trainer.Config{
		Workload:         config.Workload,
		Model:            config.Model,
		Gateways:         config.Gateways,
		Prompts:          stepsOf(config),
		SamplesPerPrompt: config.SamplesPerPrompt,
		MaxTokens:        config.MaxTokens,
		TrainTime:        config.TrainTime,
		FirstStep:        config.FirstStep,
		Steps:            uint64(config.Steps),
		StartVersion:     newest,
		Weights:          store,
		Observer:         progress,
	}, adapter.ClientOptions()...)
	err = training.Run(ctx)
	report := training.Report()
	failed := report.SubmitErrors + report.FetchErrors + report.PublishErrors
	fmt.Fprintf(out, "steps %d  samples %d  idle %.1fs  versions behind %.2f  newest version %d  failed calls %d\n",
		report.StepsFetched, report.Samples, report.Idle.Seconds(), report.MeanVersionsBehind(), max(newest, report.Version), failed)
	return err
}

func stepsOf(config TrainerConfig) *workload.Steps {
	described := trace.Trainer{
		Workload: config.Workload, Prompts: config.Prompts, SamplesPerPrompt: config.SamplesPerPrompt,
		PromptTokens: promptTokens,
		Lengths: trace.Lengths{
			Median: config.Length, PromptSigma: promptSigma, SampleSigma: sampleSigma, Max: config.MaxTokens,
		},
	}
	return workload.NewSteps(described, config.Seed)
}

// stepPrinter prints a line for each step that arrived whole. The trainer calls it from one goroutine.
type stepPrinter struct {
	out     io.Writer
	samples int
}

// Submitted fills trainer.Observer.
func (p *stepPrinter) Submitted(name string, step uint64, samples int) {
	fmt.Fprintf(p.out, "%s step %d: submitted, %d samples\n", name, step, samples)
}

// Delivered fills trainer.Observer.
func (p *stepPrinter) Delivered(delivery trainer.Delivery) {
	p.samples += len(delivery.Answer.GetSamples())
	if !delivery.Answer.GetStepComplete() {
		return
	}
	fmt.Fprintf(p.out, "%s step %d: received, %d samples, under bundle %d\n", delivery.Request.GetWorkload(),
		delivery.Request.GetStep(), p.samples, delivery.Answer.GetBundleVersion())
	p.samples = 0
}
