package cluster

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/hillfork/hillfork/internal/lab/check"
	"github.com/hillfork/hillfork/internal/lab/trace"
	"github.com/hillfork/hillfork/internal/standin/engine"
)

// runEvents carries out the trace's events at their times and returns the first that could not be carried out.
func (c *Cluster) runEvents(ctx context.Context) error {
	for i := range c.config.Trace.Events {
		event := &c.config.Trace.Events[i]
		if !sleepUntil(ctx, c.started.Add(time.Duration(event.At))) {
			return nil
		}
		if err := c.carryOut(ctx, event); err != nil {
			return fmt.Errorf("event %s at %v: %w", event.Do, time.Duration(event.At), err)
		}
	}
	return nil
}

func (c *Cluster) carryOut(ctx context.Context, event *trace.Event) error {
	if event.Failpoint != "" {
		return eachNode(c, event, func(process *nodeProcess) error { return process.arm(event.Failpoint, event.MayMiss) })
	}
	c.noteDisturbance(event)
	if event.Do == trace.RollBundle {
		c.running.Go(func() {
			state, err := c.RollBundle(ctx, event.File, event.SignAs)
			if c.config.Logger != nil {
				c.config.Logger.Info("bundle rolled", "file", event.File, "state", state, "error", err)
			}
		})
		return nil
	}
	if event.Do == trace.NodeStart {
		return eachNode(c, event, func(process *nodeProcess) error { return process.replace(ctx) })
	}
	if act, found := nodeActions[event.Do]; found {
		return eachNode(c, event, act)
	}
	if act, found := engineActions[event.Do]; found {
		return eachEngine(c, event, act)
	}
	return c.carryOutElsewhere(ctx, event)
}

var nodeActions = map[trace.Action]func(*nodeProcess) error{
	trace.NodeCrash:  (*nodeProcess).crash,
	trace.NodePause:  (*nodeProcess).pause,
	trace.NodeResume: (*nodeProcess).resume,
	trace.NodeStop: func(p *nodeProcess) error {
		p.stop()
		return nil
	},
}

func (p *nodeProcess) pause() error {
	p.unreachable(processPaused)
	return p.cluster.config.Fabric.Pause(p.host.IP)
}

func (p *nodeProcess) resume() error {
	defer p.reachable(processPaused)
	return p.cluster.config.Fabric.Resume(p.host.IP)
}

type engineAction func(*Cluster, *engineProcess, *trace.Event) error

var engineActions = map[trace.Action]engineAction{
	trace.EngineCrash: func(_ *Cluster, p *engineProcess, _ *trace.Event) error {
		p.crash()
		return nil
	},
	trace.EngineStart: func(c *Cluster, p *engineProcess, _ *trace.Event) error {
		c.platform.Machines.Set(c.machineOf(p))
		return p.restart()
	},
	trace.EngineHang: func(_ *Cluster, p *engineProcess, _ *trace.Event) error {
		p.engine.Hang()
		return nil
	},
	trace.EngineResume: func(_ *Cluster, p *engineProcess, _ *trace.Event) error {
		p.engine.Resume()
		return nil
	},
	trace.EngineSlow: func(_ *Cluster, p *engineProcess, event *trace.Event) error {
		p.engine.Slow(event.Factor)
		return nil
	},
	trace.EngineLeave: func(c *Cluster, p *engineProcess, _ *trace.Event) error {
		c.leave(p)
		return nil
	},
	trace.EngineLoadFault: func(_ *Cluster, p *engineProcess, event *trace.Event) error {
		p.engine.FailNextLoad(engine.LoadFailure{Mode: loadModes[event.Mode], Version: event.Version})
		return nil
	},
	trace.EngineNoise: func(_ *Cluster, p *engineProcess, event *trace.Event) error {
		p.engine.SetDisorder(engine.Disorder{
			Duplicate: event.Probability, Reorder: event.Probability, Stray: event.Probability,
		})
		return nil
	},
	trace.EngineCacheLoss: func(_ *Cluster, p *engineProcess, event *trace.Event) error {
		p.engine.SetEventLoss(event.Probability)
		return nil
	},
}

var loadModes = map[string]engine.LoadMode{
	"old":     engine.LoadKeepsOld,
	"unasked": engine.LoadUnasked,
	"half":    engine.LoadHalf,
}

// leave makes an engine leave as planned: the machine list and its own status say so.
func (c *Cluster) leave(p *engineProcess) {
	c.platform.Machines.MarkLeaving(p.name)
	p.engine.Leave()
	c.config.Recorder.Record(func(o *check.Observations) {
		o.Stops = append(o.Stops, check.Stop{Name: p.name, IsEngine: true, At: time.Now()})
	})
}

func eachNode(c *Cluster, event *trace.Event, act func(*nodeProcess) error) error {
	var failures []error
	for _, process := range c.nodes {
		if event.IsDoneTo(process.name, process.zone) {
			failures = append(failures, act(process))
		}
	}
	return errors.Join(failures...)
}

func eachEngine(c *Cluster, event *trace.Event, act engineAction) error {
	var failures []error
	for _, process := range c.engines {
		if event.IsDoneTo(process.name, process.zone) {
			failures = append(failures, act(c, process, event))
		}
	}
	return errors.Join(failures...)
}

// carryOutElsewhere brings about faults of the platform and of the network. Those that last end by themselves.
func (c *Cluster) carryOutElsewhere(ctx context.Context, event *trace.Event) error {
	duration := time.Duration(event.For)
	switch event.Do {
	case trace.LogDown:
		c.platform.Log.DownFor(duration)
	case trace.LogSlow:
		c.platform.Log.SetDelay(time.Duration(event.Delay))
		c.after(ctx, duration, func() { c.platform.Log.SetDelay(0) })
	case trace.LogLoseAnswers:
		lose := c.platform.Log.LoseAnswersAtRandom
		if event.Mode == "before" {
			lose = c.platform.Log.LoseRequestsAtRandom
		}
		lose(event.Probability)
		c.after(ctx, duration, func() { lose(0) })
	case trace.StoreDown:
		c.platform.Store.DownFor(duration)
	case trace.StoreThrottle:
		c.platform.Store.SetThrottled(true)
		c.after(ctx, duration, func() { c.platform.Store.SetThrottled(false) })
	case trace.ScorerDown:
		c.platform.Scorer.DownFor(duration)
	case trace.MachinesStale:
		c.platform.Machines.Freeze()
		c.after(ctx, duration, c.platform.Machines.Thaw)
	case trace.Partition:
		return c.partition(ctx, event)
	case trace.NetworkLoss:
		c.after(ctx, duration, func() { _ = c.config.Fabric.SetLoss(0) })
		return c.config.Fabric.SetLoss(event.Probability)
	case trace.NetworkDelay:
		c.after(ctx, duration, func() { _ = c.config.Fabric.SetExtraDelay(0) })
		return c.config.Fabric.SetExtraDelay(time.Duration(event.Delay))
	}
	return nil
}

// partition cuts the places of a from those of b. No node of either side is blamed for what it does not know meanwhile:
// which of them is cut off from the operators and the log depends on where those stand.
func (c *Cluster) partition(ctx context.Context, event *trace.Event) error {
	heal, err := c.config.Fabric.Partition(event.A, event.B, event.OneWay)
	if err != nil {
		return err
	}
	cut := c.cutOffFromLog(event)
	for _, process := range cut {
		process.unreachable(partitioned)
	}
	c.after(ctx, time.Duration(event.For), func() {
		heal()
		for _, process := range cut {
			process.reachable(partitioned)
		}
	})
	return nil
}

// cutOffFromLog lists the nodes that stand on another side of the cut than the log, and that no peer can help: peers on
// the log's side are cut off with it.
func (c *Cluster) cutOffFromLog(event *trace.Event) []*nodeProcess {
	logInA := c.standsIn(c.topology.PlatformZone, event.A)
	logInB := c.standsIn(c.topology.PlatformZone, event.B)
	var cut []*nodeProcess
	for _, process := range c.nodes {
		crossed := (logInA && c.standsIn(process.zone, event.B)) || (logInB && c.standsIn(process.zone, event.A))
		if crossed {
			cut = append(cut, process)
		}
	}
	if (logInA && c.cutsOffLogOnly(event.A, event.B)) || (logInB && c.cutsOffLogOnly(event.B, event.A)) {
		return nil
	}
	return cut
}

// cutsOffLogOnly tells whether no node stands on the log's side of a cut, and some on neither side. These reach both the
// log and the nodes on the far side, which are then due to have what is in the log.
func (c *Cluster) cutsOffLogOnly(logSide, farSide []string) bool {
	helpers := false
	for _, process := range c.nodes {
		if c.standsIn(process.zone, logSide) {
			return false
		}
		helpers = helpers || !c.standsIn(process.zone, farSide)
	}
	return helpers
}

func (c *Cluster) standsIn(zone string, places []string) bool {
	for _, place := range places {
		if place == zone || place == c.regions[zone] {
			return true
		}
	}
	return false
}

// after runs undo when duration has passed, also when the run ends before.
func (c *Cluster) after(ctx context.Context, duration time.Duration, undo func()) {
	c.running.Go(func() {
		sleepUntil(ctx, time.Now().Add(duration))
		undo()
	})
}
