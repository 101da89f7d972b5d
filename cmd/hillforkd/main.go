// Command hillforkd is a node of hillfork. See docs/operators for its settings.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/hillfork/hillfork/internal/errorlog"
	"github.com/hillfork/hillfork/internal/logging"
	"github.com/hillfork/hillfork/internal/network"
	"github.com/hillfork/hillfork/internal/node"
	"github.com/hillfork/hillfork/internal/settings"
)

// Exit codes.
const (
	exitOK          = 0
	exitFailed      = 1
	exitBadSettings = 2
)

func main() {
	// Before the signals are caught, each of them ends the process at once.
	os.Exit(run(stopContext(), os.Args[1:]))
}

// run runs the process until the context ends, and returns its exit code.
func run(ctx context.Context, args []string) int {
	if len(args) > 0 && args[0] == platformCommand {
		return runPlatform(ctx, args[1:])
	}
	parsed, err := settings.Parse("hillforkd", args, os.Stdout)
	if errors.Is(err, settings.ErrHelp) {
		return exitOK
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitBadSettings
	}
	logger := logging.New(os.Stderr, parsed.LogLevel, parsed.LogFormat)
	process, err := node.New(node.Config{
		Settings: parsed, Network: network.System{}, Incarnation: uint64(time.Now().UnixNano()), Logger: logger,
	})
	if err != nil {
		errorlog.Error(logger, "node did not start", err)
		return exitFailed
	}
	if err := process.Run(ctx); err != nil {
		errorlog.Error(logger, "node ended", err)
		return exitFailed
	}
	return exitOK
}
