package experiment

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/hillfork/hillfork/internal/bundle"
	"github.com/hillfork/hillfork/internal/lab/bubble"
	"github.com/hillfork/hillfork/internal/lab/check"
	"github.com/hillfork/hillfork/internal/lab/cluster"
	"github.com/hillfork/hillfork/internal/lab/replay"
	"github.com/hillfork/hillfork/internal/lab/trace"
)

// Result is what came of one run. Times are in seconds.
type Result struct {
	Trace    string                     `json:"trace"`
	Policy   string                     `json:"policy"`
	Seed     uint64                     `json:"seed"`
	Load     float64                    `json:"load"`
	Measures map[string]replay.Measures `json:"measures"`
	// IdleBounds are the lower bounds of the trainers' idle time, by workload.
	IdleBounds map[string]float64 `json:"idle_bounds,omitempty"`
	// Shares are the parts of the tokens made for training, by workload, while all trainers wanted samples.
	Shares map[string]float64 `json:"shares,omitempty"`
	// Broken lists promises that were broken, and what else went wrong.
	Broken []string `json:"broken,omitempty"`

	latencies map[string][]float64
	timeline  []Interval
	deliver   []Mark
}

// Runner runs experiments. It must not be used within a test.
type Runner struct {
	// Jobs bounds the runs at once.
	Jobs int
	// Progress, if set, is called after each run, not concurrently.
	Progress func(done, all int, result Result)
}

// Run carries out all runs and returns their results in the order of Spec.Runs.
func (r *Runner) Run(spec *Spec) ([]Result, error) {
	runs, err := spec.Runs()
	if err != nil {
		return nil, err
	}
	results := make([]Result, len(runs))
	var mu sync.Mutex
	done := 0
	jobs := make([]func(), len(runs))
	for i, run := range runs {
		jobs[i] = func() {
			result := runOne(run)
			mu.Lock()
			defer mu.Unlock()
			results[i] = result
			done++
			if r.Progress != nil {
				r.Progress(done, len(runs), result)
			}
		}
	}
	err = bubble.RunAtMost(r.Jobs, jobs, func(job int, reason any) {
		mu.Lock()
		defer mu.Unlock()
		results[job].Broken = append(results[job].Broken, fmt.Sprintf("panic: %v", reason))
	})
	return results, err
}

// runOne runs a trace within a bubble.
func runOne(run Run) Result {
	result := Result{Trace: run.Trace, Policy: run.Policy.Name, Seed: run.Seed, Load: run.Load}
	options := replay.Options{
		Policy:  run.Policy.settings(),
		Inspect: func(seen *check.Observations) { inspect(&result, run.Recorded, seen) },
	}
	report, err := replay.RunSimulated(context.Background(), run.Recorded, options)
	if err != nil {
		result.Broken = []string{err.Error()}
		return result
	}
	result.Measures = report.Measures
	result.IdleBounds = idleBounds(run.Recorded)
	for _, promise := range check.Promises() {
		if verdict := report.Promises[promise]; verdict.Violations > 0 {
			result.Broken = append(result.Broken, fmt.Sprintf("%s: %s", promise, verdict.First))
		}
	}
	return result
}

// inspect takes over what the report does not hold.
func inspect(result *Result, recorded *trace.Trace, seen *check.Observations) {
	result.latencies = make(map[string][]float64)
	for _, request := range seen.Requests {
		if request.Outcome == check.OutcomeCompleted {
			latency := request.EndedAt.Sub(request.SentAt).Seconds()
			result.latencies[request.Workload] = append(result.latencies[request.Workload], latency)
		}
	}
	result.Shares = sharesOf(recorded, seen)
	result.timeline, result.deliver = timelineOf(recorded, seen)
}

// idleBounds works out the lower bound of each trainer with a set number of steps.
func idleBounds(recorded *trace.Trace) map[string]float64 {
	bounds := make(map[string]float64)
	for _, trainer := range recorded.Topology.Trainers {
		described := describedWorkload(recorded, trainer.Workload)
		if described == nil || described.Staleness == nil || trainer.Steps == 0 {
			continue
		}
		bound := IdleBound(BoundInput{
			Speed:             speedOf(&recorded.Topology, described.Pools),
			TrainTime:         time.Duration(trainer.TrainTime),
			StepsAhead:        trainer.StepsAhead,
			MaxVersionsBehind: int(described.Staleness.MaxVersionsBehind),
			Steps:             stepsOf(trainer, recorded.Topology.Seed),
		})
		bounds[trainer.Workload] = bound.Seconds()
	}
	return bounds
}

// describedWorkload finds a workload in the trace's bundles, the last by file name that has it.
func describedWorkload(recorded *trace.Trace, name string) *bundle.Workload {
	keys := cluster.NewKeys(recorded.Topology.Seed, recorded.Bundles)
	files := slices.Sorted(maps.Keys(recorded.Bundles))
	var found *bundle.Workload
	for _, file := range files {
		decoded, err := bundle.Decode(keys.Fill(recorded.Bundles[file]))
		if err != nil {
			continue
		}
		if described := decoded.Workload(name); described != nil {
			found = described
		}
	}
	return found
}
