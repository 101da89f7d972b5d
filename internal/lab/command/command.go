// Package command is the command line of hillfork-lab.
package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os/signal"
	"syscall"

	"github.com/hillfork/hillfork/internal/lab/trace"
	"github.com/peterbourgon/ff/v4"
	"github.com/peterbourgon/ff/v4/ffhelp"
)

// Exit codes.
const (
	exitOK       = 0
	exitBroken   = 1
	exitBadInput = 2
)

// errBroken says that some stated outcome or promise was broken; it has been printed.
var errBroken = errors.New("some outcome is broken")

// output is where a command writes.
type output struct {
	out, errors io.Writer
}

// Run carries out a command line without the program's name and returns the exit code.
func Run(args []string, out, errorOutput io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	to := output{out: out, errors: errorOutput}
	root := &ff.Command{
		Name:      "hillfork-lab",
		Usage:     "hillfork-lab SUBCOMMAND ...",
		ShortHelp: "stand-ins, trace replay and experiments",
		Subcommands: []*ff.Command{
			demoCommand(to), replayCommand(to), searchCommand(to), experimentCommand(to),
			platformCommand(to), enginesCommand(to), trainerCommand(to),
		},
	}
	err := root.Parse(args)
	if errors.Is(err, ff.ErrHelp) {
		fmt.Fprintln(out, ffhelp.Command(root))
		return exitOK
	}
	if err == nil {
		err = root.Run(ctx)
	}
	var problem *trace.Problem
	switch {
	case err == nil:
		return exitOK
	case errors.Is(err, ff.ErrHelp), errors.Is(err, ff.ErrNoExec):
		fmt.Fprintln(errorOutput, ffhelp.Command(root))
		return exitBadInput
	case errors.Is(err, errBroken):
		return exitBroken
	case errors.As(err, &problem):
		fmt.Fprintln(errorOutput, problem)
		return exitBadInput
	default:
		fmt.Fprintln(errorOutput, err)
		return exitBadInput
	}
}
