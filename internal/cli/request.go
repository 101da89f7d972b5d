package cli

import (
	"context"
	"crypto/rand"
	"fmt"
	"strconv"
	"strings"

	"connectrpc.com/connect"
	"github.com/peterbourgon/ff/v4"

	v1 "github.com/hillfork/hillfork/internal/gen/hillfork/v1"
)

// outcomeReserveDivisor divides --timeout to give the time that is reserved for the outcome of a timed-out request to
// arrive. The node gets the rest as the timeout of the request.
const outcomeReserveDivisor = 10

func (a *application) requestCommand(parent *ff.FlagSet) *ff.Command {
	flags := childFlags("request", parent)
	workload := flags.StringLong("workload", "", "interactive workload")
	id := flags.StringLong("id", "", "identity of the request; needed with --unsafe, else made up")
	prompt := flags.StringLong("prompt", "", "tokens of the prompt, such as 1,2,3")
	tokens := flags.IntLong("max-tokens", 64, "longest answer, in tokens")
	seed := flags.Uint64Long("seed", 0, "seed of the sampling")
	unsafe := flags.BoolLong("unsafe", "unsafe to repeat: runs at most once under its --id")
	run := func(ctx context.Context, _ []string) error {
		maxTokens, err := positiveInt32("max-tokens", *tokens)
		if err != nil {
			return err
		}
		return a.execute(ctx, *prompt, &v1.ExecuteRequest{
			Workload:       *workload,
			RequestId:      *id,
			MaxTokens:      maxTokens,
			Seed:           *seed,
			UnsafeToRepeat: *unsafe,
			TimeoutMillis:  (a.timeout - a.timeout/outcomeReserveDivisor).Milliseconds(),
		})
	}
	usage := "hillfork request --workload NAME --prompt 1,2,3 [--id ID] [--unsafe]"
	command := a.command(flags, usage, "run one interactive request and print the answer as it comes", nil, run)
	command.LongHelp = "Tokens go to the standard output, the outcome to the standard error; with --output json both go to the\n" +
		"standard output, a message a line. Repeating an unsafe request under the same --id returns its first answer."
	return command
}

func (a *application) execute(ctx context.Context, prompt string, request *v1.ExecuteRequest) error {
	tokens, err := parseTokens(prompt)
	if err != nil {
		return err
	}
	if request.GetWorkload() == "" {
		return usageError("--workload is needed")
	}
	if request.GetUnsafeToRepeat() && request.GetRequestId() == "" {
		return usageError("--unsafe needs an --id, under which the request can be asked for again")
	}
	if request.GetRequestId() == "" {
		request.RequestId = rand.Text()
	}
	request.Prompt = tokens
	stream, err := a.requests().Execute(ctx, connect.NewRequest(request))
	if err != nil {
		return changeError(err)
	}
	return a.printAnswer(request.GetRequestId(), stream)
}

// printAnswer prints the parts of an answer as they arrive. If the answer ends without an outcome, the request may have
// run.
func (a *application) printAnswer(id string, stream *connect.ServerStreamForClient[v1.ExecuteResponse]) error {
	defer func() { _ = stream.Close() }()
	received := 0
	for stream.Receive() {
		message := stream.Msg()
		if message.GetRequestId() != id {
			return &exitError{code: ExitUnknown, message: "the node sent an answer to another request: " + message.GetRequestId()}
		}
		if err := a.printPart(message); err != nil {
			return &exitError{code: ExitUnknown, message: err.Error()}
		}
		received += len(message.GetTokens())
		if message.GetOutcome() != v1.Outcome_OUTCOME_UNSPECIFIED {
			return a.reportOutcome(message, received)
		}
	}
	if err := stream.Err(); err != nil {
		return changeError(err)
	}
	return &exitError{code: ExitUnknown, message: "the answer ended without an outcome"}
}

func (a *application) printPart(message *v1.ExecuteResponse) error {
	if a.output == outputJSON {
		return a.printMessage(message)
	}
	for _, token := range message.GetTokens() {
		if _, err := fmt.Fprintln(a.streams.Out, token); err != nil {
			return err
		}
	}
	return nil
}

// reportOutcome prints the outcome of a completed request, and returns an error with an exit code for any other outcome.
func (a *application) reportOutcome(message *v1.ExecuteResponse, received int) error {
	switch message.GetOutcome() {
	case v1.Outcome_OUTCOME_COMPLETED:
		if received != int(message.GetTotalTokens()) {
			return &exitError{code: ExitUnknown, message: fmt.Sprintf("received %d of %d tokens", received, message.GetTotalTokens())}
		}
		fmt.Fprintf(a.streams.Err, "completed: %d tokens\n", received)
		return nil
	case v1.Outcome_OUTCOME_NOT_RUN:
		reason := fmt.Sprintf("not run: %s; retry after %d ms", message.GetReason(), message.GetRetryAfterMillis())
		return &exitError{code: ExitNotRun, message: reason}
	case v1.Outcome_OUTCOME_CANCELLED:
		return &exitError{code: ExitCancelled, message: "cancelled: " + message.GetReason()}
	default:
		return &exitError{code: ExitUnknown, message: "unknown outcome: " + message.GetReason()}
	}
}

func parseTokens(text string) ([]uint32, error) {
	var tokens []uint32
	for _, part := range strings.Split(text, ",") {
		token, err := strconv.ParseUint(strings.TrimSpace(part), 10, 32)
		if err != nil {
			return nil, usageError("--prompt must be tokens such as 1,2,3, not %q", text)
		}
		tokens = append(tokens, uint32(token))
	}
	return tokens, nil
}
