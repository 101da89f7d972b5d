// Package replay runs a trace and judges its stated outcomes.
package replay

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/charmbracelet/log"
	"github.com/hillfork/hillfork/internal/lab/check"
	"github.com/hillfork/hillfork/internal/lab/cluster"
	"github.com/hillfork/hillfork/internal/lab/trace"
	"github.com/hillfork/hillfork/internal/mutation"
	"github.com/hillfork/hillfork/internal/policy"
)

// Report is what came of a run.
type Report struct {
	Trace    string                          `json:"trace"`
	Passed   bool                            `json:"passed"`
	Promises map[check.Promise]check.Verdict `json:"promises"`
	Measures map[string]Measures             `json:"measures"`
	// Stops are the planned stops, in the order in which they began.
	Stops []Stop `json:"stops,omitempty"`
	// Broken lists the stated outcomes that did not come true, each with its reason.
	Broken []string `json:"broken,omitempty"`
}

// Measures is what was measured of one workload. Times are in seconds.
type Measures struct {
	Steps              int       `json:"steps,omitempty"`
	Samples            int       `json:"samples,omitempty"`
	IdleSeconds        float64   `json:"idle_seconds,omitempty"`
	StepIdleSeconds    []float64 `json:"step_idle_seconds,omitempty"`
	MeanVersionsBehind float64   `json:"mean_versions_behind,omitempty"`
	// VersionsBehind counts samples by staleness at receipt.
	VersionsBehind map[uint64]int `json:"versions_behind,omitempty"`
	MeanAgeSeconds float64        `json:"mean_age_seconds,omitempty"`
	MaxAgeSeconds  float64        `json:"max_age_seconds,omitempty"`

	Requests int                   `json:"requests,omitempty"`
	Outcomes map[check.Outcome]int `json:"outcomes,omitempty"`
	// Unanswered counts the requests that ended without any outcome although nothing stood between them and their node.
	Unanswered int `json:"unanswered,omitempty"`
	// FirstUnanswered describes the first of them.
	FirstUnanswered string `json:"first_unanswered,omitempty"`
	// CompletedBySecond counts the requests completed in each second since the start.
	CompletedBySecond []int `json:"completed_by_second,omitempty"`

	LatencyP50 float64 `json:"latency_p50_seconds,omitempty"`
	LatencyP99 float64 `json:"latency_p99_seconds,omitempty"`
}

// Options says how a run is shown.
type Options struct {
	// Logger gets the nodes' logs; nil discards them.
	Logger *log.Logger
	// Policy chooses how the nodes hand work out.
	Policy policy.Settings
	// Mutations switches mechanisms of the nodes off; only tests set it.
	Mutations mutation.Set
	// Inspect, if set, is shown what was observed once the run is over.
	Inspect func(*check.Observations)
	// Watch, if set, runs beside the run until its context ends. It may ask for the progress at any time.
	Watch func(ctx context.Context, progress func() Progress)
}

// Progress is how far a run is.
type Progress struct {
	Elapsed       time.Duration
	Steps         int
	Samples       int
	Requests      int
	Completed     int
	BundleVersion uint64
}

// Run replays a trace over a fabric. An error says that the trace could not be run, and nothing of its outcomes.
func Run(ctx context.Context, recorded *trace.Trace, fabric cluster.Fabric, options Options) (*Report, error) {
	recorder := check.NewRecorder()
	stood, err := cluster.New(ctx, cluster.Config{
		Trace: recorded, Fabric: fabric, Recorder: recorder, Logger: options.Logger, Policy: options.Policy,
		Mutations: options.Mutations,
	})
	if err != nil {
		return nil, err
	}
	stopWatching := watch(ctx, options, stood, recorder)
	runError := stood.Run(ctx)
	stopWatching()
	measures := measure(stood.TrainerReports(), recorder)
	stood.Close()
	if runError != nil {
		return nil, runError
	}
	if options.Inspect != nil {
		recorder.Record(options.Inspect)
	}
	report := &Report{
		Trace: recorded.Name, Promises: check.Judge(recorder, check.DefaultLimits()), Measures: measures,
	}
	recorder.Record(func(o *check.Observations) { report.Stops = measureStops(o) })
	report.Broken = brokenOutcomes(&recorded.Outcomes, report)
	report.Passed = len(report.Broken) == 0
	return report, nil
}

// watch runs the watcher beside the run. The function returned ends it and waits for it.
func watch(ctx context.Context, options Options, stood *cluster.Cluster, recorder *check.Recorder) (stop func()) {
	if options.Watch == nil {
		return func() {}
	}
	ctx, cancel := context.WithCancel(ctx)
	ended := make(chan struct{})
	began := time.Now()
	go func() {
		defer close(ended)
		options.Watch(ctx, func() Progress { return progressOf(stood, recorder, time.Since(began)) })
	}()
	return func() {
		cancel()
		<-ended
	}
}

func progressOf(stood *cluster.Cluster, recorder *check.Recorder, elapsed time.Duration) Progress {
	progress := Progress{Elapsed: elapsed}
	for _, item := range stood.TrainerReports() {
		progress.Steps += item.Report.StepsFetched
		progress.Samples += item.Report.Samples
	}
	recorder.Record(func(o *check.Observations) {
		progress.Requests = len(o.Requests)
		for _, request := range o.Requests {
			if request.Outcome == check.OutcomeCompleted {
				progress.Completed++
			}
		}
		if last := len(o.Bundles) - 1; last >= 0 {
			progress.BundleVersion = o.Bundles[last].Version
		}
	})
	return progress
}

func measure(trainers []cluster.TrainerReport, recorder *check.Recorder) map[string]Measures {
	measures := make(map[string]Measures)
	for _, item := range trainers {
		report := item.Report
		measures[item.Workload] = Measures{
			Steps: report.StepsFetched, Samples: report.Samples, IdleSeconds: report.Idle.Seconds(),
			MeanVersionsBehind: report.MeanVersionsBehind(), MeanAgeSeconds: report.MeanAge().Seconds(),
			MaxAgeSeconds: report.MaxAge.Seconds(), StepIdleSeconds: secondsOf(report.StepIdle),
			VersionsBehind: report.VersionsBehind,
		}
	}
	recorder.Record(func(o *check.Observations) {
		measureRequests(o.Requests, measures)
		measureGoodput(o, measures)
		for _, request := range o.Unanswered() {
			m := measures[request.Workload]
			m.Unanswered++
			if m.FirstUnanswered == "" {
				m.FirstUnanswered = fmt.Sprintf("%s sent to %s at %v, after %v: %s", request.ID, request.Node,
					request.SentAt.Sub(o.BeganAt), request.EndedAt.Sub(request.SentAt), request.Reason)
			}
			measures[request.Workload] = m
		}
	})
	return measures
}

func secondsOf(durations []time.Duration) []float64 {
	seconds := make([]float64, len(durations))
	for i, duration := range durations {
		seconds[i] = duration.Seconds()
	}
	return seconds
}

// Bounds of the latency histogram, in microseconds, and its precision in decimal digits.
const (
	leastLatency     = 1
	mostLatency      = int64(time.Hour / time.Microsecond)
	latencyPrecision = 3
)

func measureRequests(requests []check.Request, measures map[string]Measures) {
	latencies := make(map[string]*hdrhistogram.Histogram)
	for _, request := range requests {
		m := measures[request.Workload]
		if m.Outcomes == nil {
			m.Outcomes = make(map[check.Outcome]int)
			latencies[request.Workload] = hdrhistogram.New(leastLatency, mostLatency, latencyPrecision)
		}
		m.Requests++
		m.Outcomes[request.Outcome]++
		if request.Outcome == check.OutcomeCompleted {
			latency := min(request.EndedAt.Sub(request.SentAt).Microseconds(), mostLatency)
			_ = latencies[request.Workload].RecordValue(max(latency, leastLatency))
		}
		measures[request.Workload] = m
	}
	for name, histogram := range latencies {
		m := measures[name]
		m.LatencyP50 = secondsAt(histogram, 50)
		m.LatencyP99 = secondsAt(histogram, 99)
		measures[name] = m
	}
}

func secondsAt(histogram *hdrhistogram.Histogram, percentile float64) float64 {
	microseconds := histogram.ValueAtPercentile(percentile)
	return (time.Duration(microseconds) * time.Microsecond).Seconds()
}

// brokenOutcomes compares what came of the run with what the trace states.
func brokenOutcomes(stated *trace.Outcomes, report *Report) []string {
	var broken []string
	for _, promise := range check.Promises() {
		verdict := report.Promises[promise]
		if verdict.Violations > 0 {
			broken = append(broken, fmt.Sprintf("%s: %d of %d broken, first: %s", promise, verdict.Violations, verdict.Checked, verdict.First))
		}
		least, named := stated.Promises[string(promise)]
		if named && verdict.Checked < max(least, 1) {
			broken = append(broken, fmt.Sprintf("%s: examined %d times, stated %d", promise, verdict.Checked, max(least, 1)))
		}
	}
	for name, bounds := range stated.Measures {
		for _, reason := range brokenMeasures(bounds, report.Measures[name]) {
			broken = append(broken, name+": "+reason)
		}
	}
	slices.Sort(broken)
	return broken
}

func brokenMeasures(bounds trace.MeasureBounds, m Measures) []string {
	var broken []string
	atLeast := func(what string, measured, bound float64) {
		if bound > 0 && measured < bound {
			broken = append(broken, fmt.Sprintf("%s is %g, stated at least %g", what, measured, bound))
		}
	}
	atMost := func(what string, measured, bound float64, examined int) {
		if bound > 0 && (measured > bound || examined == 0) {
			broken = append(broken, fmt.Sprintf("%s is %g over %d examined, stated at most %g", what, measured, examined, bound))
		}
	}
	completed := m.Outcomes[check.OutcomeCompleted]
	atLeast("steps", float64(m.Steps), float64(bounds.MinSteps))
	atLeast("samples", float64(m.Samples), float64(bounds.MinSamples))
	atLeast("completed requests", float64(completed), float64(bounds.MinCompleted))
	atMost("idle seconds", m.IdleSeconds, time.Duration(bounds.MaxIdle).Seconds(), m.Steps)
	atMost("mean versions behind", m.MeanVersionsBehind, bounds.MaxMeanBehind, m.Samples)
	atMost("latency p99 seconds", m.LatencyP99, time.Duration(bounds.MaxLatency99).Seconds(), completed)
	atMost("share not run", share(m, check.OutcomeNotRun), bounds.MaxNotRunShare, m.Requests)
	atMost("share unknown", share(m, check.OutcomeUnknown)+share(m, check.OutcomeBroken), bounds.MaxUnknownShare, m.Requests)
	if bounds.Goodput != nil {
		broken = append(broken, brokenGoodput(bounds.Goodput, m.CompletedBySecond)...)
	}
	if bounds.EveryAnswered && (m.Unanswered > 0 || m.Requests == 0) {
		broken = append(broken, fmt.Sprintf("%d of %d requests ended without an outcome, first: %s", m.Unanswered,
			m.Requests, m.FirstUnanswered))
	}
	return broken
}

func share(m Measures, outcome check.Outcome) float64 {
	if m.Requests == 0 {
		return 0
	}
	return float64(m.Outcomes[outcome]) / float64(m.Requests)
}
