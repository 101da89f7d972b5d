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

	"github.com/hillfork/hillfork/internal/errorlog"
	"github.com/hillfork/hillfork/internal/logging"
	"github.com/hillfork/hillfork/internal/settings"
	"github.com/hillfork/hillfork/platform"
	"github.com/peterbourgon/ff/v4"
	"github.com/peterbourgon/ff/v4/ffhelp"
)

// platformCommand is the first argument that runs a replica on the users' platform.
const platformCommand = "platform"

// runPlatform runs a replica on the users' platform until it is told to stop.
func runPlatform(args []string) int {
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
	loaded, err := platform.LoadSettings()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitBadSettings
	}
	output := logging.NewBoundedWriter(os.Stdout, logging.DefaultBudget)
	ctx, cancel := context.WithCancel(context.Background())
	written := make(chan struct{})
	go func() {
		defer close(written)
		output.Run(ctx)
	}()
	logger := logging.New(output, *level, *format)
	err = platform.Run(loaded, platform.Options{MetricsPort: *metricsPort, Logger: logger})
	if err != nil {
		errorlog.Error(logger, "replica ended", err)
	}
	cancel()
	<-written
	if err != nil {
		return exitFailed
	}
	return exitOK
}
