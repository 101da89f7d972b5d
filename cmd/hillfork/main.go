// Command hillfork is the command line of operators and callers. See "hillfork --help".
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/hillfork/hillfork/internal/cli"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := cli.Run(ctx, os.Args[1:], cli.Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr})
	stop()
	os.Exit(int(code))
}
