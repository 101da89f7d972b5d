// Package cli implements the command line for operators and callers. It translates commands into calls to a node's
// services, and their outcomes into text or JSON and an exit code.
package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/peterbourgon/ff/v4"
	"github.com/peterbourgon/ff/v4/ffhelp"
)

// environmentPrefix is the prefix of the environment variables that set flags: HILLFORK_SERVER sets --server.
const environmentPrefix = "HILLFORK"

// Streams are the standard streams of the command.
type Streams struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
}

// application holds the streams and global flags of one invocation of the command line.
type application struct {
	streams Streams
	server  string
	output  string
	timeout time.Duration
}

const rootHelp = `Flags come before arguments. Each can also be set by the environment:
HILLFORK_SERVER sets --server.

EXIT CODES
  0  done; a request was completed
  1  refused or failed, and nothing was changed
  2  wrong usage
  3  not run: the node was not reached or had no room, and nothing was changed
  4  unknown: it may have been done; ask for the status, or repeat the command,
     which is safe for everything but a request without --unsafe
  5  cancelled

EXAMPLES
  hillfork keys new --out zollwerk.key
  hillfork bundle check bundle.yaml
  hillfork bundle propose bundle.yaml
  hillfork bundle sign --file bundle.yaml --partner zollwerk --key zollwerk.key
  hillfork bundle status DIGEST
  hillfork --output json engines
  hillfork request --workload desk --prompt 1,2,3 --max-tokens 64`

// Run executes one command and returns its exit code. Flags can also be set by environment variables; HILLFORK_SERVER sets
// --server.
func Run(ctx context.Context, arguments []string, streams Streams) ExitCode {
	app := &application{streams: streams}
	root := app.rootCommand()
	err := root.Parse(arguments, ff.WithEnvVarPrefix(environmentPrefix))
	if errors.Is(err, ff.ErrHelp) {
		fmt.Fprintln(streams.Out, ffhelp.Command(root))
		return ExitDone
	}
	if err != nil {
		return app.reportError(usageError("%v; see --help", err))
	}
	err = root.Run(ctx)
	if errors.Is(err, ff.ErrNoExec) {
		fmt.Fprintln(streams.Err, ffhelp.Command(root))
		return ExitUsage
	}
	return app.reportError(err)
}

// reportError prints a non-nil error and returns its exit code: ExitDone for nil, and ExitFailed for an error without a code.
func (a *application) reportError(err error) ExitCode {
	if err == nil {
		return ExitDone
	}
	var exit *exitError
	if !errors.As(err, &exit) {
		exit = &exitError{code: ExitFailed, message: err.Error()}
	}
	if exit.message != "" {
		fmt.Fprintln(a.streams.Err, "hillfork: "+exit.message)
	}
	return exit.code
}

func (a *application) rootCommand() *ff.Command {
	flags := ff.NewFlagSet("hillfork")
	flags.StringVar(&a.server, 's', "server", "127.0.0.1:7400", "IP address and port of a node")
	flags.StringEnumVar(&a.output, 'o', "output", "how to print: table or json", outputTable, outputJSON)
	flags.DurationVar(&a.timeout, 0, "timeout", 30*time.Second, "longest time that a call may take")
	return &ff.Command{
		Name:      "hillfork",
		Usage:     "hillfork [FLAGS] COMMAND ...",
		ShortHelp: "operate hillfork and call its services",
		LongHelp:  rootHelp,
		Flags:     flags,
		Subcommands: []*ff.Command{
			a.bundleCommand(flags),
			a.keysCommand(flags),
			a.nodesCommand(flags),
			a.enginesCommand(flags),
			a.shardsCommand(flags),
			a.drainCommand(flags),
			a.stepsCommand(flags),
			a.sampleCommand(flags),
			a.requestCommand(flags),
			a.explainCommand(flags),
		},
	}
}

// action executes a command with its arguments. ctx expires after --timeout.
type action func(ctx context.Context, arguments []string) error

// command returns a command that requires exactly one value for each name in names.
func (a *application) command(flags *ff.FlagSet, usage, help string, names []string, run action) *ff.Command {
	return &ff.Command{
		Name:      flags.GetName(),
		Usage:     usage,
		ShortHelp: help,
		Flags:     flags,
		Exec: func(ctx context.Context, arguments []string) error {
			if len(arguments) != len(names) {
				return usageError("%s takes %d arguments, not %d; usage: %s", flags.GetName(), len(names), len(arguments), usage)
			}
			ctx, cancel := context.WithTimeout(ctx, a.timeout)
			defer cancel()
			return run(ctx, arguments)
		},
	}
}

// group returns a command that has only subcommands and does nothing itself.
func group(flags *ff.FlagSet, help string, commands ...*ff.Command) *ff.Command {
	name := flags.GetName()
	return &ff.Command{Name: name, Usage: "hillfork " + name + " COMMAND ...", ShortHelp: help, Flags: flags, Subcommands: commands}
}

// childFlags returns the flag set of a subcommand, which also accepts the flags of its parent.
func childFlags(name string, parent *ff.FlagSet) *ff.FlagSet {
	return ff.NewFlagSet(name).SetParent(parent)
}
