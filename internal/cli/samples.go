package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/peterbourgon/ff/v4"

	v1 "github.com/hillfork/hillfork/internal/gen/hillfork/v1"
)

func (a *application) sampleCommand(parent *ff.FlagSet) *ff.Command {
	flags := childFlags("sample", parent)
	return group(flags, "submit training steps and fetch their samples", a.submitCommand(flags), a.fetchCommand(flags))
}

func (a *application) submitCommand(parent *ff.FlagSet) *ff.Command {
	flags := childFlags("submit", parent)
	request := &v1.SubmitStepRequest{}
	workload := flags.StringLong("workload", "", "training workload")
	step := flags.Uint64Long("step", 0, "number of the step")
	prompts := flags.StringLong("prompts", standardInput, "file with a JSON list of prompts, each a list of tokens; - reads the standard input")
	samples := flags.IntLong("samples-per-prompt", 1, "samples for each prompt")
	tokens := flags.IntLong("max-tokens", 0, "longest answer, in tokens")
	submit := func(ctx context.Context, _ []string) error {
		perPrompt, samplesError := positiveInt32("samples-per-prompt", *samples)
		maxTokens, tokensError := positiveInt32("max-tokens", *tokens)
		if err := errors.Join(samplesError, tokensError); err != nil {
			return err
		}
		request.Workload, request.Step = *workload, *step
		request.SamplesPerPrompt, request.MaxTokens = perPrompt, maxTokens
		return a.submitStep(ctx, request, *prompts)
	}
	usage := "hillfork sample submit --workload NAME --step N --prompts FILE --samples-per-prompt N --max-tokens N"
	return a.command(flags, usage, "submit a step; the same step again is no second one", nil, submit)
}

func (a *application) submitStep(ctx context.Context, request *v1.SubmitStepRequest, path string) error {
	if request.GetWorkload() == "" {
		return usageError("--workload is needed")
	}
	content, err := a.readFile(path)
	if err != nil {
		return err
	}
	var prompts [][]uint32
	if err := json.Unmarshal(content, &prompts); err != nil {
		return &exitError{code: ExitFailed, message: fmt.Sprintf("%s: not a JSON list of lists of tokens: %v", path, err)}
	}
	for _, prompt := range prompts {
		request.Prompts = append(request.Prompts, &v1.Prompt{Tokens: prompt})
	}
	response, err := a.samples().SubmitStep(ctx, connect.NewRequest(request))
	if err != nil {
		return changeError(err)
	}
	shown := table{header: []string{"WORKLOAD", "STEP", "SAMPLES"}}
	shown.add(request.GetWorkload(), request.GetStep(), response.Msg.GetSamples())
	return a.print(response.Msg, shown)
}

func (a *application) fetchCommand(parent *ff.FlagSet) *ff.Command {
	flags := childFlags("fetch", parent)
	workload := flags.StringLong("workload", "", "training workload")
	step := flags.Uint64Long("step", 0, "number of the step")
	cursor := flags.IntLong("cursor", 0, "every position below it has arrived")
	version := flags.Uint64Long("trainer-version", 0, "newest version that the trainer has published")
	limit := flags.IntLong("max", 64, "most samples to fetch")
	wait := flags.DurationLong("wait", 5*time.Second, "how long to wait for the next sample")
	fetch := func(ctx context.Context, _ []string) error {
		maxSamples, err := positiveInt32("max", *limit)
		if err != nil {
			return err
		}
		if *cursor < 0 || *cursor > math.MaxInt32 {
			return usageError("--cursor must be from 0 to %d, not %d", math.MaxInt32, *cursor)
		}
		return a.fetchSamples(ctx, &v1.FetchSamplesRequest{
			Workload:       *workload,
			Step:           *step,
			Cursor:         int32(*cursor),
			TrainerVersion: *version,
			MaxSamples:     maxSamples,
			WaitMillis:     wait.Milliseconds(),
		})
	}
	usage := "hillfork sample fetch --workload NAME --step N [--cursor N] [--trainer-version N]"
	command := a.command(flags, usage, "fetch samples from a cursor on", nil, fetch)
	command.LongHelp = "Asking again at the same cursor says that nothing at or above it arrived."
	return command
}

func (a *application) fetchSamples(ctx context.Context, request *v1.FetchSamplesRequest) error {
	if request.GetWorkload() == "" {
		return usageError("--workload is needed")
	}
	response, err := a.samples().FetchSamples(ctx, connect.NewRequest(request))
	if err != nil {
		return changeError(err)
	}
	shown := table{header: []string{"POSITION", "SAMPLE", "PROMPT", "TOKENS", "VERSIONS", "REWARD", "AGE MS"}}
	for _, sample := range response.Msg.GetSamples() {
		shown.add(sample.GetPosition(), sample.GetId(), sample.GetPromptIndex(), len(sample.GetTokens()),
			spansText(sample.GetSpans()), rewardText(sample), sample.GetAgeMillis())
	}
	if a.output == outputTable {
		fmt.Fprintf(a.streams.Err, "next cursor %d, step complete %t, bundle version %d\n",
			response.Msg.GetNextCursor(), response.Msg.GetStepComplete(), response.Msg.GetBundleVersion())
	}
	return a.print(response.Msg, shown)
}

// spansText formats the spans of a sample as "FROM-TO@VERSION", such as "0-20@3,20-31@4".
func spansText(spans []*v1.VersionSpan) string {
	var parts []string
	for _, span := range spans {
		parts = append(parts, fmt.Sprintf("%d-%d@%d", span.GetFrom(), span.GetTo(), span.GetVersion()))
	}
	return strings.Join(parts, ",")
}

func rewardText(sample *v1.Sample) string {
	if !sample.GetScored() {
		return ""
	}
	return fmt.Sprintf("%.4g", sample.GetReward())
}

// positiveInt32 returns the value of a flag as an int32, the type of the protocol field, or a usage error if the value is
// not positive or doesn't fit.
func positiveInt32(flag string, value int) (int32, error) {
	if value <= 0 || value > math.MaxInt32 {
		return 0, usageError("--%s must be from 1 to %d, not %d", flag, math.MaxInt32, value)
	}
	return int32(value), nil
}
