package main

import (
	"context"
	"os/signal"
	"syscall"
)

// stopContext returns a context that ends with the first SIGTERM or SIGINT. The process catches both signals until it has
// exited: with their default action restored, a later one would end it by the signal, which a supervisor takes for a crash.
func stopContext() context.Context {
	ctx, _ := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	return ctx
}
