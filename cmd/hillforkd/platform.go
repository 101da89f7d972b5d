package main

// The users' platform asks that programs be linked against the C library.

// #include <stdlib.h>
import "C"

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/charmbracelet/log"
	"github.com/hillfork/hillfork/internal/errorlog"
	"github.com/hillfork/hillfork/internal/logging"
	"github.com/hillfork/hillfork/internal/settings"
	"github.com/hillfork/hillfork/platform"
	"github.com/peterbourgon/ff/v4"
	"github.com/peterbourgon/ff/v4/ffhelp"
)

// platformCommand is the first argument that runs a replica on the users' platform.
const platformCommand = "platform"

// runPlatform runs a replica on the users' platform until the context ends, and returns the exit code.
func runPlatform(ctx context.Context, args []string) int {
	// Until the replica takes it, the signal would kill the process.
	signal.Ignore(syscall.SIGHUP)
	flags := ff.NewFlagSet("hillforkd " + platformCommand)
	metricsPort := flags.IntLong("metrics-port", 0, "port on the machine's address that serves metrics; 0 serves none")
	level := flags.StringLong("log-level", "info", "least level of log lines: debug, info, warn, error")
	format := flags.StringEnumLong("log-format", "form of log lines", settings.FormatText, settings.FormatJSON)
	if err := ff.Parse(flags, args); err != nil {
		if errors.Is(err, ff.ErrHelp) {
			fmt.Println(ffhelp.Flags(flags))
			return exitOK
		}
		fmt.Fprintln(os.Stderr, err)
		return exitBadSettings
	}
	logger, closeLog := openLog(*level, *format)
	defer closeLog()
	// From here on an operator or supervisor knows that the process can be stopped as planned.
	logger.Info("starting", "pid", os.Getpid())
	loaded, err := platform.LoadSettings()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitBadSettings
	}
	if err := platform.Run(ctx, loaded, platform.Options{MetricsPort: *metricsPort, Logger: logger}); err != nil {
		errorlog.Error(logger, "replica ended", err)
		return exitFailed
	}
	return exitOK
}

// openLog returns a logger to standard output that never blocks, and a function that writes the queued lines and ends it.
func openLog(level, format string) (logger *log.Logger, closeLog func()) {
	output := logging.NewBoundedWriter(os.Stdout, logging.DefaultBudget)
	ctx, cancel := context.WithCancel(context.Background())
	written := make(chan struct{})
	go func() {
		defer close(written)
		output.Run(ctx)
	}()
	return logging.New(output, level, format), func() {
		cancel()
		<-written
	}
}
