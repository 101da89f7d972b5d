package dispatch

import (
	"context"

	"github.com/hillfork/hillfork/internal/errorlog"
	"github.com/hillfork/hillfork/internal/mutation"
	"github.com/hillfork/hillfork/internal/platform"
)

// followStatus reads the engine's status until the context ends.
func (o *engineOwner) followStatus(ctx context.Context) {
	for ctx.Err() == nil {
		_, _ = o.readStatus(ctx)
		pause(ctx, o.config.Timing.Status)
	}
}

// readStatus reads the status once and acts on what it says.
func (o *engineOwner) readStatus(ctx context.Context) (platform.EngineStatus, error) {
	call, cancel := context.WithTimeout(ctx, o.config.Timing.StatusTimeout)
	defer cancel()
	o.dispatcher.counters.StatusReads.Add(1)
	status, err := o.engine.Status(call)
	if ctx.Err() != nil {
		return status, ctx.Err()
	}
	if err != nil {
		if o.state.observeFailure() {
			o.engineDown(err)
		}
		return status, err
	}
	if o.config.Mutations.Has(mutation.IgnoreLeaving) {
		status.Leaving = false
	}
	if o.state.observeStatus(status) {
		o.engineRestarted(status)
	}
	if status.Leaving {
		o.config.Directory.MarkLeaving(o.machine.ID)
	}
	o.slots.setSlots(status.Slots)
	return status, nil
}

// engineDown cuts what runs at an engine that answers no more.
func (o *engineOwner) engineDown(err error) {
	errorlog.Warn(o.logger, "engine does not answer", err)
	o.slots.refuseWaiting()
	o.cancelAttempts(errEngineDown)
	o.cancelRequests(errEngineDown)
}

// engineRestarted cuts what ran at the engine's former process.
func (o *engineOwner) engineRestarted(status platform.EngineStatus) {
	o.logger.Warn("engine came back as a new process", "incarnation", status.Incarnation)
	o.dispatcher.counters.EngineRestarts.Add(1)
	o.cancelAttempts(errEngineDown)
	o.cancelRequests(errEngineDown)
	if !status.Leaving {
		o.config.Directory.MarkLive(o.machine.ID)
	}
}

// followLeaving hands training work back once the engine has been leaving for the grace time.
func (o *engineOwner) followLeaving(ctx context.Context) {
	for ctx.Err() == nil {
		directory, state := o.config.Directory.Changed(), o.state.notify.changed()
		if !o.config.Directory.Leaving(o.machine.ID) {
			select {
			case <-ctx.Done():
			case <-directory:
			case <-state:
			}
			continue
		}
		o.state.notify.notify()
		o.slots.refuseWaiting()
		waitFor(ctx, o.config.Timing.LeaveGrace)
		if ctx.Err() == nil && o.config.Directory.Leaving(o.machine.ID) {
			o.cancelAttempts(errHandBack)
		}
	}
}
