package dispatch

import (
	"context"

	"github.com/hillfork/hillfork/internal/errorlog"
	"github.com/hillfork/hillfork/internal/mutation"
	"github.com/hillfork/hillfork/internal/platform"
)

// pollStatus reads the engine's status at intervals until the context ends.
func (o *engineOwner) pollStatus(ctx context.Context) {
	for ctx.Err() == nil {
		_, _ = o.readStatus(ctx)
		waitJittered(ctx, o.config.Timing.StatusInterval)
	}
}

// readStatus reads the status once and applies it.
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
			o.handleEngineDown(err)
		}
		return status, err
	}
	if o.config.Mutations.Has(mutation.IgnoreLeaving) {
		status.Leaving = false
	}
	if o.state.observeStatus(status) {
		o.handleEngineRestart(status)
	}
	if status.Leaving {
		o.config.Directory.MarkLeaving(o.machine.ID)
	}
	o.slots.setSlots(status.Slots)
	return status, nil
}

// handleEngineDown refuses waiting requests and cancels running work at an engine that no longer responds.
func (o *engineOwner) handleEngineDown(err error) {
	errorlog.Warn(o.logger, "engine does not answer", err)
	o.slots.refuseWaiting()
	o.cancelAttempts(errEngineDown)
	o.cancelRequests(errEngineDown)
}

// handleEngineRestart cancels the work that ran in the engine's previous process.
func (o *engineOwner) handleEngineRestart(status platform.EngineStatus) {
	o.logger.Warn("engine came back as a new process", "incarnation", status.Incarnation)
	o.dispatcher.counters.EngineRestarts.Add(1)
	o.cancelAttempts(errEngineDown)
	o.cancelRequests(errEngineDown)
	if !status.Leaving {
		o.config.Directory.MarkLive(o.machine.ID)
	}
}

// handleLeaving hands training work back once the engine has been leaving for the grace period.
func (o *engineOwner) handleLeaving(ctx context.Context) {
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
