package weightroll

import (
	"context"
	"errors"
	"time"

	"github.com/hillfork/hillfork/internal/engineapi"
	"github.com/hillfork/hillfork/internal/errorlog"
	"github.com/hillfork/hillfork/internal/fencing"
	"github.com/hillfork/hillfork/internal/fleet"
	"github.com/hillfork/hillfork/internal/pause"
)

// errOrderFailed means that an engine did not accept an order, or did not load the version.
var errOrderFailed = errors.New("engine did not carry out the order")

// errEngineLeaves means that an order was not sent because the engine leaves.
var errEngineLeaves = errors.New("engine leaves")

// order announces and sends an order and waits until the engine serves the version. It returns how long the engine took
// to load, 0 if it already served the version or is not known to have begun when the order was sent.
func (r *roller) order(ctx context.Context, pool string, step Step, mode engineapi.LoadMode) (time.Duration, error) {
	sequence, known := r.sequenceOf(step.Engine)
	if !known {
		report, err := r.report(ctx, step.Engine)
		if err != nil {
			return 0, err
		}
		if report.Versions[step.Model] >= step.Version {
			r.announceServing(ctx, pool, step)
			return 0, nil
		}
		sequence = report.Sequence
		r.setSequence(step.Engine, sequence)
	}
	window, err := r.announce(ctx, pool, step, false)
	if err != nil {
		return 0, err
	}
	if current, ok := r.config.Directory.Engine(step.Engine.ID); !ok || current.Draining {
		// The engine announced that it leaves, or its record was dropped, during the calls above.
		return 0, errEngineLeaves
	}
	sent := time.Now()
	outcome, err := r.send(ctx, step, mode, sequence, window)
	switch outcome {
	case engineapi.OrderAccepted:
		r.setSequence(step.Engine, sequence+1)
	case engineapi.OrderAlreadyServed:
		r.announceServing(ctx, pool, step)
		return 0, nil
	case engineapi.OrderUnknown:
		r.forgetSequence(step.Engine.ID)
	default:
		r.forgetSequence(step.Engine.ID)
		return 0, errors.Join(errOrderFailed, err)
	}
	if !r.awaitLoad(ctx, step, outcome == engineapi.OrderAccepted) {
		r.forgetSequence(step.Engine.ID)
		return 0, errOrderFailed
	}
	r.announceServing(ctx, pool, step)
	if outcome != engineapi.OrderAccepted {
		return 0, nil
	}
	return time.Since(sent), nil
}

// announce writes that an order is about to be sent and returns the window in which it may be sent. The window starts
// before the write. A successor, which sees the record later, therefore counts a window that ends later.
func (r *roller) announce(ctx context.Context, pool string, step Step, serving bool) (fencing.Window, error) {
	record := Announcement{
		EngineID: step.Engine.ID, Pool: pool, Model: step.Model, Version: step.Version, Epoch: r.writer.Epoch(),
		Holder: r.config.Node, Serving: serving, Together: r.provenLoads(pool),
	}
	for {
		window := fencing.BeginWindow()
		startedAt, elapsed, err := r.announcer.announce(ctx, record)
		if err != nil {
			return fencing.Window{}, err
		}
		if serving || elapsed < fencing.SendWindow/2 {
			return window.From(startedAt), nil
		}
	}
}

// send sends an order unless the window of its announcement is over: a process that was paused or suspended must not
// send it.
func (r *roller) send(
	ctx context.Context, step Step, mode engineapi.LoadMode, sequence int64, window fencing.Window,
) (engineapi.OrderOutcome, error) {
	windowCtx, cancelWindow := window.Context(ctx)
	defer cancelWindow()
	callCtx, cancel := context.WithTimeout(windowCtx, orderTimeout)
	defer cancel()
	if callCtx.Err() != nil {
		return engineapi.OrderRefused, callCtx.Err()
	}
	outcome, err := r.config.Client.Order(callCtx, step.Engine, engineapi.LoadOrder{
		Model: step.Model, Version: step.Version, Mode: mode, Holder: r.config.Node, Fence: r.writer.Epoch(),
		ExpectedSequence: sequence,
	})
	r.config.Logger.Info("order sent", "engine", step.Engine.ID, "model", step.Model, "version", step.Version,
		"epoch", r.writer.Epoch(), "sequence", sequence, "outcome", outcome, "error", err)
	return outcome, err
}

// awaitLoad polls the engine until it serves the version, and reports whether it does. It stops waiting early for an
// order that got no response if the engine shows no sign of loading.
func (r *roller) awaitLoad(ctx context.Context, step Step, accepted bool) bool {
	r.mutex.Lock()
	typicalLoad, shortestLoad := r.typicalLoad, r.shortestLoad
	r.mutex.Unlock()
	started := time.Now()
	wait := time.Duration(firstPollFraction * float64(shortestLoad))
	if !accepted {
		wait = pollInterval
	}
	for polls := 0; pause.For(ctx, wait); polls++ {
		wait = pollInterval
		if current, ok := r.config.Directory.Engine(step.Engine.ID); !ok || current.Draining || current.Restarted(step.Engine) {
			return false
		} else if current.ServedVersion(step.Model) >= step.Version {
			return true
		}
		report, err := r.report(ctx, step.Engine)
		if err == nil && report.Versions[step.Model] >= step.Version {
			if accepted {
				r.mutex.Lock()
				r.recordLoadTime(time.Since(started), polls)
				r.mutex.Unlock()
			}
			return true
		}
		if err == nil && !report.Busy && !accepted {
			return false
		}
		accepted = accepted || (err == nil && report.Busy)
		if time.Since(started) > overdueFactor*typicalLoad {
			return false
		}
	}
	return false
}

// recordLoadTime records the duration of a load; polls is the number of polls that found it in progress. A load that was
// complete at the first poll may have been shorter than measured, so the first poll of the next load is earlier. Slow
// loads do not delay the first poll: all later loads would then be measured as equally slow. The caller must hold the
// mutex.
func (r *roller) recordLoadTime(elapsed time.Duration, polls int) {
	r.shortestLoad = min(r.shortestLoad, elapsed)
	if polls == 0 {
		r.shortestLoad = max(pollInterval, time.Duration(shortestLoadFactor*float64(r.shortestLoad)))
	}
	r.typicalLoad = smoothed(r.typicalLoad, elapsed)
}

// smoothed returns the moving average of load times after one more sample.
func smoothed(average, sample time.Duration) time.Duration {
	return average + time.Duration(loadTimeSmoothing*float64(sample-average))
}

// announceServing announces to all nodes that the engine serves the version. It does not block: the next order need not
// wait for the announcement.
func (r *roller) announceServing(ctx context.Context, pool string, step Step) {
	r.config.Directory.SetServedVersion(step.Engine.ID, step.Model, step.Version)
	r.active.Go(func() {
		if _, err := r.announce(ctx, pool, step, true); err != nil && ctx.Err() == nil {
			errorlog.Warn(r.config.Logger, "failed to announce the served version", err, "engine", step.Engine.ID)
		}
	})
}

func (r *roller) report(ctx context.Context, engine fleet.Engine) (engineapi.Report, error) {
	callCtx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	return r.config.Client.Report(callCtx, engine)
}

// provenLoads returns the proven number of concurrent loads of a pool.
func (r *roller) provenLoads(pool string) int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.loadLimit[pool].proven()
}

// sequenceOf returns how many orders an engine has accepted, false if that is not known for its current incarnation.
func (r *roller) sequenceOf(engine fleet.Engine) (int64, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	entry, known := r.sequences[engine.ID]
	if !known || engine.Restarted(entry.engine) {
		return 0, false
	}
	return entry.orders, true
}

func (r *roller) setSequence(engine fleet.Engine, orders int64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.sequences[engine.ID] = sequence{engine: engine, orders: orders}
}

func (r *roller) forgetSequence(id string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	delete(r.sequences, id)
}
