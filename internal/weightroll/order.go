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

// errNotTaken says that an engine did not take an order.
var errNotTaken = errors.New("order was not taken")

// order announces and sends an order and waits until the engine serves the version, and returns how long the engine took to
// load: 0 if it served the version already or is not known to have begun when the order was sent.
func (r *roller) order(ctx context.Context, pool string, step Step, mode engineapi.LoadMode) (time.Duration, error) {
	sequence, known := r.sequenceOf(step.Engine)
	if !known {
		report, err := r.report(ctx, step.Engine)
		if err != nil {
			return 0, err
		}
		if report.Versions[step.Model] >= step.Version {
			r.serving(ctx, pool, step)
			return 0, nil
		}
		sequence = report.Sequence
		r.setSequence(step.Engine, sequence)
	}
	window, err := r.announce(ctx, pool, step, false)
	if err != nil {
		return 0, err
	}
	sent := time.Now()
	outcome, err := r.send(ctx, step, mode, sequence, window)
	switch outcome {
	case engineapi.OrderAccepted:
		r.setSequence(step.Engine, sequence+1)
	case engineapi.OrderAlreadyServed:
		r.serving(ctx, pool, step)
		return 0, nil
	case engineapi.OrderUnknown:
		r.forgetSequence(step.Engine.ID)
	default:
		r.forgetSequence(step.Engine.ID)
		return 0, errors.Join(errNotTaken, err)
	}
	if !r.awaitLoad(ctx, step, outcome == engineapi.OrderAccepted) {
		r.forgetSequence(step.Engine.ID)
		return 0, errNotTaken
	}
	r.serving(ctx, pool, step)
	if outcome != engineapi.OrderAccepted {
		return 0, nil
	}
	return time.Since(sent), nil
}

// announce writes that an order is about to be sent, and returns in which window it may be. The window is counted from before the
// write, so that a successor, which sees the record later, counts a longer one.
func (r *roller) announce(ctx context.Context, pool string, step Step, serving bool) (fencing.Window, error) {
	record := Announcement{
		EngineID: step.Engine.ID, Pool: pool, Model: step.Model, Version: step.Version, Epoch: r.writer.Epoch(),
		Holder: r.config.Node, Serving: serving, Together: r.togetherOf(pool),
	}
	for {
		window := fencing.BeginWindow()
		began, took, err := r.announcer.announce(ctx, record)
		if err != nil {
			return fencing.Window{}, err
		}
		if serving || took < fencing.SendWindow/2 {
			return window.From(began), nil
		}
	}
}

// send sends an order, unless the window of its announcement is over: a process that was paused or suspended sends nothing.
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

// awaitLoad asks the engine until it serves the version. An order that drew no answer and shows no sign is given up early.
func (r *roller) awaitLoad(ctx context.Context, step Step, taken bool) bool {
	r.mutex.Lock()
	usual, quickest := r.usual, r.quickest
	r.mutex.Unlock()
	started := time.Now()
	wait := time.Duration(reportFrom * float64(quickest))
	if !taken {
		wait = reportEvery
	}
	for polls := 0; pause.For(ctx, wait); polls++ {
		wait = reportEvery
		if current, ok := r.config.Directory.Engine(step.Engine.ID); !ok || current.Draining || current.Restarted(step.Engine) {
			return false
		} else if current.Serves(step.Model) >= step.Version {
			return true
		}
		report, err := r.report(ctx, step.Engine)
		if err == nil && report.Versions[step.Model] >= step.Version {
			if taken {
				r.mutex.Lock()
				r.learnLoad(time.Since(started), polls)
				r.mutex.Unlock()
			}
			return true
		}
		if err == nil && !report.Busy && !taken {
			return false
		}
		taken = taken || (err == nil && report.Busy)
		if time.Since(started) > overdueLoads*usual {
			return false
		}
	}
	return false
}

// learnLoad takes how long a load took. One that was done when the engine was first asked may have been shorter than that, so
// the engine is asked earlier next time. Slow loads don't put off the first question: all loads would seem as slow from then on. The
// mutex must be held.
func (r *roller) learnLoad(took time.Duration, polls int) {
	r.quickest = min(r.quickest, took)
	if polls == 0 {
		r.quickest = max(reportEvery, time.Duration(loadShortening*float64(r.quickest)))
	}
	r.usual = smoothed(r.usual, took)
}

// smoothed returns the usual time of a load after one more load.
func smoothed(usual, took time.Duration) time.Duration {
	return usual + time.Duration(loadSmoothing*float64(took-usual))
}

// serving tells all nodes that the engine serves the version. The next order need not wait for that.
func (r *roller) serving(ctx context.Context, pool string, step Step) {
	r.config.Directory.SetServes(step.Engine.ID, step.Model, step.Version)
	r.active.Go(func() {
		if _, err := r.announce(ctx, pool, step, true); err != nil && ctx.Err() == nil {
			errorlog.Warn(r.config.Logger, "served version is not announced", err, "engine", step.Engine.ID)
		}
	})
}

func (r *roller) report(ctx context.Context, engine fleet.Engine) (engineapi.Report, error) {
	callCtx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	return r.config.Client.Report(callCtx, engine)
}

// togetherOf returns how many engines of a pool may load at once, as far as that is proven.
func (r *roller) togetherOf(pool string) int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.together[pool].proven()
}

// sequenceOf returns how many orders an engine has taken, false if that is not known of this incarnation.
func (r *roller) sequenceOf(engine fleet.Engine) (int64, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	taken, known := r.sequences[engine.ID]
	if !known || engine.Restarted(taken.engine) {
		return 0, false
	}
	return taken.orders, true
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
