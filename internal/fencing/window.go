package fencing

import (
	"context"
	"time"

	"github.com/hillfork/hillfork/internal/uptime"
)

// suspended returns how long the machine has been suspended. Tests replace it.
var suspended uptime.Meter = uptime.Suspended

// Window is the time within which an announced call may be sent. It starts before the announcement is written and lasts
// SendWindow. Time in which the machine was paused or suspended counts, because another owner may act by then.
type Window struct {
	start uptime.Mark
}

// BeginWindow returns a window that starts now.
func BeginWindow() Window {
	return Window{start: suspended.Mark()}
}

// From returns the window with its start moved to a later moment. A suspension since BeginWindow still counts.
func (w Window) From(start time.Time) Window {
	w.start = w.start.Moved(start)
	return w
}

// Age returns how long ago the window started, including time in suspension.
func (w Window) Age() time.Duration {
	return w.start.Age()
}

// End returns when the window ends by the monotonic clock, assuming no further suspension.
func (w Window) End() time.Time {
	return w.start.At().Add(SendWindow)
}

// Ended reports whether the window has ended, so that no call may be sent any more.
func (w Window) Ended() bool {
	return w.Age() >= SendWindow
}

// Context returns a context for the call. It ends with the window, or at once if the window is over.
func (w Window) Context(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithDeadline(ctx, w.End())
}
