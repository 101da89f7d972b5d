// Package trainer is a stand-in for a training job: it submits steps, fetches their samples by cursor, trains for a set
// time, puts the new weights into the weight store and publishes their version. It measures what training jobs care
// about: idle time and staleness. See docs/STANDINS.md.
package trainer

import (
	"context"
	"errors"
	"sync"
	"time"

	"connectrpc.com/connect"

	hillforkv1 "github.com/hillfork/hillfork/internal/gen/hillfork/v1"
	"github.com/hillfork/hillfork/internal/gen/hillfork/v1/hillforkv1connect"
	"github.com/hillfork/hillfork/internal/standin/fault"
)

// ErrStepConflict says that the service holds other content under a step that the trainer submitted.
var ErrStepConflict = errors.New("step was submitted before with other content")

// Defaults of Config.
const (
	DefaultFetchSize   = 64
	DefaultFetchWait   = 10 * time.Second
	DefaultCallTimeout = 5 * time.Second
	DefaultRetryPause  = 500 * time.Millisecond
)

// PromptSource makes the prompts of each step. It returns the same for the same step.
type PromptSource interface {
	Prompts(step uint64) [][]uint32
}

// WeightWriter puts new versions into the weight store. connectadapter.WeightStore fills it.
type WeightWriter interface {
	PutVersion(ctx context.Context, model string, version uint64) error
}

// Observer sees what the trainer sees, in order. It is called without locks, from Run's goroutine.
type Observer interface {
	// Submitted is called when a step's submission has been acknowledged.
	Submitted(workload string, step uint64, samples int)
	// Delivered is called for each answer to a fetch that moves the cursor or completes the step.
	Delivered(delivery Delivery)
}

// Delivery is one answer to a fetch.
type Delivery struct {
	Request *hillforkv1.FetchSamplesRequest
	Answer  *hillforkv1.FetchSamplesResponse
	At      time.Time
}

// Config describes a trainer. Zero fields of the last group take the defaults above.
type Config struct {
	Workload string
	Model    string
	// Gateways are the addresses that the trainer calls, one after another when calls fail.
	Gateways         []string
	Prompts          PromptSource
	SamplesPerPrompt int
	MaxTokens        int
	TrainTime        time.Duration
	// FirstStep is the number of the first step; 0 is 1. A trainer that starts anew goes on after the steps of the last one,
	// whose samples were delivered and are not delivered again.
	FirstStep uint64
	// Steps is how many steps are trained; 0 goes on until the context ends.
	Steps uint64
	// StepsAhead is how many steps are submitted beyond the one that is fetched.
	StepsAhead uint64
	// StartVersion is the version that the store holds at the start; the first step makes StartVersion + 1.
	StartVersion uint64
	Weights      WeightWriter
	// Observer may be nil.
	Observer Observer

	FetchSize   int
	FetchWait   time.Duration
	CallTimeout time.Duration
	RetryPause  time.Duration
}

func (c Config) withDefaults() Config {
	if c.FirstStep == 0 {
		c.FirstStep = 1
	}
	if c.FetchSize == 0 {
		c.FetchSize = DefaultFetchSize
	}
	if c.FetchWait == 0 {
		c.FetchWait = DefaultFetchWait
	}
	if c.CallTimeout == 0 {
		c.CallTimeout = DefaultCallTimeout
	}
	if c.RetryPause == 0 {
		c.RetryPause = DefaultRetryPause
	}
	return c
}

// Trainer is one training job. Run it once; Report may be called at any time.
type Trainer struct {
	config  Config
	clients []hillforkv1connect.SampleServiceClient
	// gateway counts the changes of gateway; submitted is the newest step acknowledged. Both belong to Run's goroutine.
	gateway   int
	submitted uint64
	version   uint64

	mutex  sync.Mutex
	report Report
	// wantedAt is when the step that is being fetched was first wanted; zero when none is.
	wantedAt time.Time
}

// New returns a trainer that calls its gateways through client.
func New(client connect.HTTPClient, config Config, options ...connect.ClientOption) *Trainer {
	t := &Trainer{config: config.withDefaults(), version: config.StartVersion}
	t.submitted = t.config.FirstStep - 1
	for _, address := range config.Gateways {
		t.clients = append(t.clients, hillforkv1connect.NewSampleServiceClient(client, "http://"+address, options...))
	}
	t.report.VersionsBehind = make(map[uint64]int)
	return t
}

// Run trains until all steps are done, which is nil, or the context ends. Steps count from FirstStep.
func (t *Trainer) Run(ctx context.Context) error {
	for step := t.config.FirstStep; t.config.Steps == 0 || step <= t.lastStep(); step++ {
		if err := t.runStep(ctx, step); err != nil {
			return err
		}
	}
	return nil
}

func (t *Trainer) runStep(ctx context.Context, step uint64) error {
	t.want()
	if err := t.submitThrough(ctx, step); err != nil {
		return err
	}
	if err := t.fetchStep(ctx, step); err != nil {
		return err
	}
	t.satisfied()
	if err := fault.Sleep(ctx, t.config.TrainTime); err != nil {
		return err
	}
	return t.publish(ctx)
}

// submitThrough submits step, for as long as it takes, and tries the steps ahead once.
func (t *Trainer) submitThrough(ctx context.Context, step uint64) error {
	for t.submitted < step {
		err := t.submit(ctx, t.submitted+1)
		if err := t.pauseAfter(ctx, err); err != nil {
			return err
		}
	}
	for t.submitted < t.lastAhead(step) {
		if t.submit(ctx, t.submitted+1) != nil {
			t.nextGateway()
			return ctx.Err()
		}
	}
	return nil
}

func (t *Trainer) lastAhead(step uint64) uint64 {
	last := step + t.config.StepsAhead
	if t.config.Steps > 0 {
		last = min(last, t.lastStep())
	}
	return last
}

// lastStep is the number of the last step, where there is one.
func (t *Trainer) lastStep() uint64 {
	return t.config.FirstStep + t.config.Steps - 1
}

func (t *Trainer) submit(ctx context.Context, step uint64) error {
	request := &hillforkv1.SubmitStepRequest{
		Workload:         t.config.Workload,
		Step:             step,
		SamplesPerPrompt: int32(t.config.SamplesPerPrompt),
		MaxTokens:        int32(t.config.MaxTokens),
	}
	for _, tokens := range t.config.Prompts.Prompts(step) {
		request.Prompts = append(request.Prompts, &hillforkv1.Prompt{Tokens: tokens})
	}
	ctx, cancel := context.WithTimeout(ctx, t.config.CallTimeout)
	defer cancel()
	response, err := t.client().SubmitStep(ctx, connect.NewRequest(request))
	if connect.CodeOf(err) == connect.CodeAlreadyExists {
		return errors.Join(ErrStepConflict, err)
	}
	if err != nil {
		t.record(func(report *Report) { report.SubmitErrors++ })
		return err
	}
	t.submitted = step
	if t.config.Observer != nil {
		t.config.Observer.Submitted(t.config.Workload, step, int(response.Msg.Samples))
	}
	return nil
}

// pauseAfter returns the errors that end the trainer. After others it pauses and turns to the next gateway.
func (t *Trainer) pauseAfter(ctx context.Context, err error) error {
	if err == nil || errors.Is(err, ErrStepConflict) {
		return err
	}
	t.nextGateway()
	return fault.Sleep(ctx, t.config.RetryPause)
}

func (t *Trainer) client() hillforkv1connect.SampleServiceClient {
	return t.clients[t.gateway%len(t.clients)]
}

func (t *Trainer) nextGateway() {
	t.gateway++
}

// publish makes the next version: first in the weight store, then known to the service.
func (t *Trainer) publish(ctx context.Context) error {
	began := time.Now()
	next := t.version + 1
	if err := t.untilDone(ctx, func(ctx context.Context) error {
		return t.config.Weights.PutVersion(ctx, t.config.Model, next)
	}); err != nil {
		return err
	}
	if err := t.untilDone(ctx, func(ctx context.Context) error {
		request := &hillforkv1.PublishVersionRequest{Workload: t.config.Workload, Version: next}
		_, err := t.client().PublishVersion(ctx, connect.NewRequest(request))
		return err
	}); err != nil {
		return err
	}
	t.version = next
	t.record(func(report *Report) {
		report.Version = next
		report.Publishing += time.Since(began)
	})
	return nil
}

// untilDone repeats an idempotent call until it succeeds.
func (t *Trainer) untilDone(ctx context.Context, call func(context.Context) error) error {
	for {
		callContext, cancel := context.WithTimeout(ctx, t.config.CallTimeout)
		err := call(callContext)
		cancel()
		if err == nil {
			return nil
		}
		t.record(func(report *Report) { report.PublishErrors++ })
		if err := t.pauseAfter(ctx, err); err != nil {
			return err
		}
	}
}
