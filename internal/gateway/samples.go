package gateway

import (
	"context"
	"fmt"
	"time"

	"connectrpc.com/connect"

	"github.com/hillfork/hillfork/internal/bundle"
	v1 "github.com/hillfork/hillfork/internal/gen/hillfork/v1"
	"github.com/hillfork/hillfork/internal/peer"
	"github.com/hillfork/hillfork/internal/peerapi"
	"github.com/hillfork/hillfork/internal/stepledger"
)

const (
	// maxFetchWait limits how long a fetch may wait for samples.
	maxFetchWait = 30 * time.Second
	// sampleCallTimeout limits a trainer's call, in addition to the wait time of a fetch.
	sampleCallTimeout = 30 * time.Second
	// withheldRetryAfter is the retry delay sent when samples exceeded a staleness bound before they could be
	// delivered.
	withheldRetryAfter = 50 * time.Millisecond
)

// sampleService forwards the calls of trainers to the owners of their steps.
type sampleService struct {
	gateway *Gateway
}

// stepShard returns the key of the shard that owns a step.
func stepShard(workload string, step uint64) string {
	return stepledger.StreamName(workload, stepledger.ShardOf(step))
}

// SubmitStep records a step with its owner.
func (s *sampleService) SubmitStep(
	ctx context.Context, request *connect.Request[v1.SubmitStepRequest],
) (*connect.Response[v1.SubmitStepResponse], error) {
	message := request.Msg
	workload, leave, err := s.enter(message.GetWorkload())
	if err != nil {
		return nil, err
	}
	defer leave()
	step := submitMessage(message)
	if err := checkStep(workload.Limits, &step); err != nil {
		return nil, err
	}
	var result peerapi.SubmitStepResult
	if err := s.call(ctx, step.Workload, step.Step, peerapi.MethodSubmitStep, &step, &result, 0); err != nil {
		return nil, err
	}
	return connect.NewResponse(&v1.SubmitStepResponse{Samples: int32(result.Samples)}), nil
}

func submitMessage(message *v1.SubmitStepRequest) peerapi.SubmitStep {
	step := peerapi.SubmitStep{
		Workload:         message.GetWorkload(),
		Step:             message.GetStep(),
		SamplesPerPrompt: int(message.GetSamplesPerPrompt()),
		MaxTokens:        int(message.GetMaxTokens()),
	}
	for _, prompt := range message.GetPrompts() {
		step.Prompts = append(step.Prompts, prompt.GetTokens())
	}
	return step
}

func checkStep(limits bundle.Limits, step *peerapi.SubmitStep) error {
	if step.SamplesPerPrompt < 1 {
		return invalidArgument("samples_per_prompt must be at least 1")
	}
	if len(step.Prompts) == 0 {
		return invalidArgument("a step needs prompts")
	}
	samples := len(step.Prompts) * step.SamplesPerPrompt
	if limits.MaxStepSamples > 0 && samples > limits.MaxStepSamples {
		return invalidArgument(fmt.Sprintf("the step has %d samples; the bundle allows %d", samples, limits.MaxStepSamples))
	}
	for _, prompt := range step.Prompts {
		if err := checkPrompt(limits, prompt); err != nil {
			return err
		}
	}
	return checkMaxTokens(limits, step.MaxTokens)
}

// FetchSamples returns samples, unless they exceeded a bound of the bundle in force since the owner sent them.
func (s *sampleService) FetchSamples(
	ctx context.Context, request *connect.Request[v1.FetchSamplesRequest],
) (*connect.Response[v1.FetchSamplesResponse], error) {
	message := request.Msg
	workload, leave, err := s.enter(message.GetWorkload())
	if err != nil {
		return nil, err
	}
	defer leave()
	if message.GetCursor() < 0 || message.GetMaxSamples() < 0 || message.GetWaitMillis() < 0 {
		return nil, invalidArgument("cursor, max_samples and wait_millis must not be negative")
	}
	wait := min(time.Duration(message.GetWaitMillis())*time.Millisecond, maxFetchWait)
	fetch := peerapi.FetchSamples{
		Workload:       workload.Name,
		Step:           message.GetStep(),
		Cursor:         int(message.GetCursor()),
		TrainerVersion: message.GetTrainerVersion(),
		MaxSamples:     int(message.GetMaxSamples()),
		WaitMillis:     wait.Milliseconds(),
	}
	var result peerapi.FetchSamplesResult
	if err := s.call(ctx, fetch.Workload, fetch.Step, peerapi.MethodFetchSamples, &fetch, &result, wait); err != nil {
		return nil, err
	}
	now := time.Now()
	if reason := boundViolation(s.gateway.config.Bundles.Current(), &fetch, &result, now); reason != "" {
		s.gateway.metrics.withheld.WithLabelValues(workload.Name).Inc()
		return nil, unavailable(reason+"; fetch again at the same cursor", withheldRetryAfter)
	}
	return connect.NewResponse(fetchResponse(&fetch, &result, now)), nil
}

// boundViolation returns the reason why samples must not be delivered under this node's current bundle, or "" if they
// may. The owner has checked them before sending, but under its own bundle, and they may have become too old in
// transit.
func boundViolation(
	accepted *bundle.Accepted, fetch *peerapi.FetchSamples, result *peerapi.FetchSamplesResult, now time.Time,
) string {
	if len(result.Samples) == 0 {
		return ""
	}
	if accepted == nil {
		return "the node has no bundle"
	}
	if result.BundleVersion < accepted.Bundle.Version {
		return "a newer bundle came into force"
	}
	workload := accepted.Bundle.Workload(fetch.Workload)
	if workload == nil {
		return "the workload is not in the bundle in force"
	}
	if result.BundleVersion > accepted.Bundle.Version {
		return "the node is behind the bundle in force"
	}
	if workload.Staleness == nil {
		return ""
	}
	for i := range result.Samples {
		if reason := sampleBoundViolation(workload.Staleness, fetch.TrainerVersion, &result.Samples[i], now); reason != "" {
			return reason
		}
	}
	return ""
}

func sampleBoundViolation(
	bound *bundle.Staleness, trainerVersion uint64, sample *peerapi.DeliveredSample, now time.Time,
) string {
	age := now.Sub(time.UnixMilli(sample.CompletedUnixMillis))
	if age > time.Duration(bound.MaxAge) {
		return "a sample passed the age bound"
	}
	for _, span := range sample.Spans {
		if span.Version < trainerVersion && trainerVersion-span.Version > bound.MaxVersionsBehind {
			return "a sample passed the version bound"
		}
	}
	return ""
}

func fetchResponse(
	fetch *peerapi.FetchSamples, result *peerapi.FetchSamplesResult, now time.Time,
) *v1.FetchSamplesResponse {
	response := &v1.FetchSamplesResponse{
		NextCursor:    int32(result.NextCursor),
		StepComplete:  result.StepComplete,
		BundleVersion: result.BundleVersion,
	}
	for i := range result.Samples {
		response.Samples = append(response.Samples, sampleResponse(fetch.Step, &result.Samples[i], now))
	}
	return response
}

func sampleResponse(step uint64, sample *peerapi.DeliveredSample, now time.Time) *v1.Sample {
	response := &v1.Sample{
		Id:          fmt.Sprintf("%d/%d", step, sample.Index),
		Position:    int32(sample.Position),
		PromptIndex: int32(sample.PromptIndex),
		Tokens:      sample.Tokens,
		Reward:      sample.Reward,
		Scored:      sample.Scored,
		AgeMillis:   max(0, now.UnixMilli()-sample.CompletedUnixMillis),
	}
	for _, span := range sample.Spans {
		response.Spans = append(response.Spans, &v1.VersionSpan{
			From: int32(span.From), To: int32(span.To), Version: span.Version,
		})
	}
	return response
}

// PublishVersion announces a new weight version to all shards of the workload.
func (s *sampleService) PublishVersion(
	ctx context.Context, request *connect.Request[v1.PublishVersionRequest],
) (*connect.Response[v1.PublishVersionResponse], error) {
	message := request.Msg
	_, leave, err := s.enter(message.GetWorkload())
	if err != nil {
		return nil, err
	}
	defer leave()
	if message.GetVersion() == 0 {
		return nil, invalidArgument("version must be at least 1")
	}
	publish := peerapi.PublishVersion{Workload: message.GetWorkload(), Version: message.GetVersion()}
	for shard := range stepledger.ShardsPerWorkload {
		var result peerapi.PublishVersionResult
		if err := s.call(ctx, publish.Workload, uint64(shard), peerapi.MethodPublishVersion, &publish, &result, 0); err != nil {
			return nil, err
		}
	}
	return connect.NewResponse(&v1.PublishVersionResponse{}), nil
}

// trainingWorkload returns a training workload of the bundle in force.
func (g *Gateway) trainingWorkload(name string) (*bundle.Workload, error) {
	accepted := g.config.Bundles.Current()
	if accepted == nil {
		return nil, unavailable("the node has no bundle yet", notReadyRetryAfter)
	}
	workload := accepted.Bundle.Workload(name)
	if workload == nil {
		return nil, notFound(fmt.Sprintf("workload %q is not in the bundle in force", name))
	}
	if workload.Kind != bundle.Training {
		return nil, invalidArgument(fmt.Sprintf("workload %q takes requests, not steps", name))
	}
	return workload, nil
}

// enter admits a trainer's call. The caller must call the returned function when the call ends.
func (s *sampleService) enter(name string) (*bundle.Workload, func(), error) {
	workload, err := s.gateway.trainingWorkload(name)
	if err != nil {
		return nil, nil, err
	}
	leave, refused := s.gateway.admission.enter(name, s.gateway.config.Limits.MaxInFlight)
	if refused != nil {
		return nil, nil, unavailable(refused.reason, refused.retryAfter)
	}
	return workload, leave, nil
}

// call calls the owner of a step. All calls of trainers are idempotent, so they may be repeated.
func (s *sampleService) call(
	ctx context.Context, workload string, step uint64, method string, request, response peer.Message, wait time.Duration,
) error {
	ctx, cancel := context.WithTimeout(ctx, wait+sampleCallTimeout)
	defer cancel()
	err := s.gateway.config.Owners.CallOwner(
		ctx, stepShard(workload, step), s.gateway.preference(), method, request, response, true)
	if err != nil {
		return connectError(err)
	}
	return nil
}
