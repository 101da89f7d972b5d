package fencing

import (
	"context"
	"time"

	"github.com/hillfork/hillfork/internal/uptime"
)

// suspended tells how long the machine has been suspended.
var suspended uptime.Meter = uptime.Suspended

// Window is the time within which a call may be sent that was announced. It lasts SendWindow from its beginning, before the announcement
// is written, and ends for a machine that was paused or suspended meanwhile: another owner may act by then.
type Window struct {
	began uptime.Mark
}

// BeginWindow begins a window.
func BeginWindow() Window {
	return Window{began: suspended.Mark()}
}

// From returns the window as it is where it began at a later moment. A suspension since BeginWindow still ends it.
func (w Window) From(began time.Time) Window {
	w.began = w.began.Moved(began)
	return w
}

// Age is how long ago the window began, time in suspension included.
func (w Window) Age() time.Duration {
	return w.began.Age()
}

// Until is when the window ends, by the steady clock as it runs now.
func (w Window) Until() time.Time {
	return w.began.At().Add(SendWindow)
}

// Over tells whether nothing may be sent any more.
func (w Window) Over() bool {
	return w.Age() >= SendWindow
}

// Context returns a context for the call. It ends with the window, or at once if that is over.
func (w Window) Context(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithDeadline(ctx, w.Until())
}
