package search

import (
	"slices"

	"github.com/hillfork/hillfork/internal/lab/trace"
)

// Shrinker makes a failing trace smaller for as long as it still fails.
type Shrinker struct {
	Runner *Runner
	// Tries is how often each smaller trace is run: the order in which goroutines run is not fixed, so that a trace may
	// fail in some runs only.
	Tries int
}

// Shrink returns the smallest failing trace that it finds by leaving single parts out, and why it fails. A trace that
// does not fail again comes back as it is, without reasons.
func (s *Shrinker) Shrink(failing *trace.Trace) (*trace.Trace, []string, error) {
	again, reasons, err := s.firstFailing([]*trace.Trace{failing})
	if err != nil || again == nil {
		return failing, nil, err
	}
	smallest := again
	for {
		smaller, why, err := s.firstFailing(smallerTraces(smallest))
		if err != nil || smaller == nil {
			return smallest, reasons, err
		}
		smallest, reasons = smaller, why
	}
}

// firstFailing runs candidates, as many at once as the runner allows, and returns the first that fails, nil if none does.
func (s *Shrinker) firstFailing(candidates []*trace.Trace) (*trace.Trace, []string, error) {
	for batch := range slices.Chunk(candidates, max(s.Runner.Jobs/s.Tries, 1)) {
		var runs []*trace.Trace
		for _, candidate := range batch {
			for range s.Tries {
				runs = append(runs, copyOf(candidate))
			}
		}
		var failed *Result
		err := s.Runner.Run(runs, func(result Result) {
			if len(result.Broken) > 0 && failed == nil {
				failed = &result
			}
		})
		if err != nil {
			return nil, nil, err
		}
		if failed != nil {
			return failed.Trace, failed.Broken, nil
		}
	}
	return nil, nil, nil
}

// copyOf copies a trace so far that leaving parts out of the copy does not touch the original.
func copyOf(original *trace.Trace) *trace.Trace {
	result := *original
	result.Events = slices.Clone(original.Events)
	result.Topology.Callers = slices.Clone(original.Topology.Callers)
	result.Topology.Trainers = slices.Clone(original.Topology.Trainers)
	result.Topology.Engines = slices.Clone(original.Topology.Engines)
	return &result
}

// smallerTraces lists the traces that lack one part, or hold less of it: half of the events, an event with what ends it,
// a caller, a trainer, an engine, a training step.
func smallerTraces(from *trace.Trace) []*trace.Trace {
	var smaller []*trace.Trace
	add := func(change func(*trace.Trace)) {
		candidate := copyOf(from)
		change(candidate)
		if candidate.Check() == nil {
			smaller = append(smaller, candidate)
		}
	}
	faults := faultsOf(from.Events)
	if half := len(faults) / 2; half > 1 {
		add(func(t *trace.Trace) { t.Events = withoutFaults(t.Events, faults[:half]) })
		add(func(t *trace.Trace) { t.Events = withoutFaults(t.Events, faults[half:]) })
	}
	for i := range faults {
		add(func(t *trace.Trace) { t.Events = withoutFaults(t.Events, faults[i:i+1]) })
	}
	for i := range from.Topology.Callers {
		add(func(t *trace.Trace) { t.Topology.Callers = slices.Delete(t.Topology.Callers, i, i+1) })
	}
	for i, trainer := range from.Topology.Trainers {
		add(func(t *trace.Trace) { t.Topology.Trainers = slices.Delete(t.Topology.Trainers, i, i+1) })
		if trainer.Steps > 1 {
			add(func(t *trace.Trace) { t.Topology.Trainers[i].Steps-- })
		}
	}
	for i, group := range from.Topology.Engines {
		if group.Count > 1 {
			add(func(t *trace.Trace) { t.Topology.Engines[i].Count-- })
		}
	}
	for _, candidate := range smaller {
		boundWhatIsLeft(candidate)
	}
	return smaller
}

// boundWhatIsLeft drops the bounds on workloads that have no source any more, and lowers those on steps.
func boundWhatIsLeft(t *trace.Trace) {
	bounds := make(map[string]trace.MeasureBounds)
	for _, trainer := range t.Topology.Trainers {
		bound := t.Outcomes.Measures[trainer.Workload]
		bound.MinSteps = trainer.Steps
		bounds[trainer.Workload] = bound
	}
	for _, caller := range t.Topology.Callers {
		bounds[caller.Workload] = t.Outcomes.Measures[caller.Workload]
	}
	t.Outcomes.Measures = bounds
}

// eventFault is the indexes of the events that make one fault: its beginning and, where it has one, its end.
type eventFault []int

// endings maps what begins a fault to what ends it. Slow, noise and cache loss end by the same action.
var endings = map[trace.Action]trace.Action{
	trace.NodeCrash: trace.NodeStart, trace.NodeStop: trace.NodeStart, trace.NodePause: trace.NodeResume,
	trace.EngineCrash: trace.EngineStart, trace.EngineHang: trace.EngineResume,
	trace.EngineSlow: trace.EngineSlow, trace.EngineNoise: trace.EngineNoise, trace.EngineCacheLoss: trace.EngineCacheLoss,
}

// faultsOf groups events, which are in order of time, into faults. The first bundle is no fault: nothing runs without it.
func faultsOf(events []trace.Event) []eventFault {
	var found []eventFault
	grouped := make(map[int]bool)
	for i, event := range events {
		if grouped[i] || event.File == firstBundle {
			continue
		}
		group := eventFault{i}
		if end := endOf(events, i, grouped); end > i {
			group = append(group, end)
			grouped[end] = true
		}
		found = append(found, group)
	}
	return found
}

func endOf(events []trace.Event, begin int, grouped map[int]bool) int {
	ending, paired := endings[events[begin].Do]
	if !paired {
		return -1
	}
	for i := begin + 1; i < len(events); i++ {
		candidate := events[i]
		sameTarget := candidate.Node == events[begin].Node && candidate.Engine == events[begin].Engine &&
			candidate.Zone == events[begin].Zone
		if candidate.Do == ending && sameTarget && !grouped[i] {
			return i
		}
	}
	return -1
}

func withoutFaults(events []trace.Event, left []eventFault) []trace.Event {
	var kept []trace.Event
	for i, event := range events {
		isLeft := slices.ContainsFunc(left, func(group eventFault) bool { return slices.Contains(group, i) })
		if !isLeft {
			kept = append(kept, event)
		}
	}
	return kept
}
