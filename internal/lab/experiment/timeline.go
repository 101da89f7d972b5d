package experiment

import (
	"slices"
	"strconv"
	"time"

	"github.com/hillfork/hillfork/internal/lab/check"
	"github.com/hillfork/hillfork/internal/lab/trace"
)

// Interval is one sample's time on an engine, in seconds since the start of the run.
type Interval struct {
	Engine   string
	Workload string
	Step     int
	From, To float64
}

// Mark is the moment at which a trainer had all samples of a step.
type Mark struct {
	Workload string
	Step     int
	At       float64
}

// timelineOf lists what engines did for training, in order of engine and start, and when steps were whole.
func timelineOf(recorded *trace.Trace, seen *check.Observations) ([]Interval, []Mark) {
	began := startOf(seen)
	var intervals []Interval
	for _, trainer := range recorded.Topology.Trainers {
		for id, starts := range seen.Starts {
			text, isSample := stepOf(trainer.Workload, id)
			step, err := strconv.Atoi(text)
			if !isSample || err != nil {
				continue
			}
			for _, start := range starts {
				interval := Interval{
					Engine: start.Engine, Workload: trainer.Workload, Step: step, From: start.At.Sub(began).Seconds(),
				}
				interval.To = endOf(start, seen.Chunks[id]).Sub(began).Seconds()
				intervals = append(intervals, interval)
			}
		}
	}
	slices.SortFunc(intervals, func(a, b Interval) int {
		if a.Engine != b.Engine {
			return compareNames(a.Engine, b.Engine)
		}
		return int((a.From - b.From) * float64(time.Second))
	})
	var marks []Mark
	for _, delivery := range seen.Deliveries {
		if delivery.StepComplete {
			marks = append(marks, Mark{Workload: delivery.Workload, Step: int(delivery.Step), At: delivery.At.Sub(began).Seconds()})
		}
	}
	return intervals, marks
}

// startOf is the start of the run, as near as its first observation tells.
func startOf(seen *check.Observations) time.Time {
	began := seen.EndedAt
	for _, starts := range seen.Starts {
		for _, start := range starts {
			if start.At.Before(began) {
				began = start.At
			}
		}
	}
	for _, accepted := range seen.Bundles {
		if accepted.At.Before(began) {
			began = accepted.At
		}
	}
	return began
}

// endOf is when the last token of an attempt was made; its start where there was none.
func endOf(start check.Start, chunks []check.Chunk) time.Time {
	end := start.At
	for _, chunk := range chunks {
		if chunk.Attempt == start.Attempt && chunk.Engine == start.Engine && chunk.At.After(end) {
			end = chunk.At
		}
	}
	return end
}

// compareNames orders "drafter-2" before "drafter-10".
func compareNames(a, b string) int {
	if len(a) != len(b) {
		return len(a) - len(b)
	}
	if a < b {
		return -1
	}
	return 1
}
