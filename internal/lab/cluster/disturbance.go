package cluster

import (
	"time"

	"github.com/hillfork/hillfork/internal/lab/check"
	"github.com/hillfork/hillfork/internal/lab/trace"
)

// noticeTime is how long after a crash others may still try to reach what is gone.
const noticeTime = 5 * time.Second

// resumes holds the actions that end a disturbance.
var resumes = map[trace.Action]bool{trace.NodeResume: true, trace.EngineResume: true}

// noteDisturbance records what an event does to work in flight, if it may cut any off.
func (c *Cluster) noteDisturbance(event *trace.Event) {
	if resumes[event.Do] {
		c.endDisturbances(event)
		return
	}
	now := time.Now()
	disturbance := check.Disturbance{MayCut: true, During: check.Interval{From: now}}
	switch event.Do {
	case trace.NodeCrash, trace.EngineCrash:
		disturbance.During.To = now.Add(noticeTime)
	case trace.NodePause, trace.EngineHang:
		disturbance.HoldsUp = true
	case trace.LogDown, trace.LogSlow, trace.LogLoseAnswers:
		disturbance.During.To = now.Add(time.Duration(event.For))
	case trace.Partition:
		disturbance.CutsNetwork, disturbance.HoldsUp = true, true
		disturbance.During.To = now.Add(time.Duration(event.For))
	case trace.NetworkDelay:
		disturbance.HoldsUp = true // and answers may come after their deadlines
		disturbance.During.To = now.Add(time.Duration(event.For))
	default:
		return
	}
	c.config.Recorder.Record(func(o *check.Observations) {
		if event.Do == trace.LogDown {
			c.logDownUntil = disturbance.During.To
			c.noteForgotten(o)
		}
		for _, target := range c.targetsOf(event) {
			disturbance.Target = target
			o.Disturbances = append(o.Disturbances, disturbance)
		}
	})
}

func (c *Cluster) endDisturbances(event *trace.Event) {
	c.config.Recorder.Record(func(o *check.Observations) {
		for _, target := range c.targetsOf(event) {
			for i := range o.Disturbances {
				if d := &o.Disturbances[i]; d.Target == target && d.During.To.IsZero() {
					d.During.To = time.Now()
				}
			}
		}
	})
}

// targetsOf lists the nodes or engines that an event is done to; one without a name stands for the network or the log.
func (c *Cluster) targetsOf(event *trace.Event) []string {
	var targets []string
	for _, process := range c.nodes {
		if _, isNodeAction := nodeActions[event.Do]; isNodeAction && event.IsDoneTo(process.name, process.zone) {
			targets = append(targets, process.name)
		}
	}
	for _, process := range c.engines {
		if _, isEngineAction := engineActions[event.Do]; isEngineAction && event.IsDoneTo(process.name, process.zone) {
			targets = append(targets, process.name)
		}
	}
	if event.Node == "" && event.Engine == "" && event.Zone == "" {
		targets = append(targets, "")
	}
	return targets
}

// noteForgotten records that no process is left, if so, while the log is down: the next ones cannot learn the bundle until
// it is back. It is called under the recorder's lock.
func (c *Cluster) noteForgotten(o *check.Observations) {
	now := time.Now()
	if !now.Before(c.logDownUntil) {
		return
	}
	for _, process := range c.nodes {
		if process.hindrances[processDown] == 0 {
			return
		}
	}
	o.Forgotten = append(o.Forgotten, check.Interval{From: now, To: c.logDownUntil})
}
