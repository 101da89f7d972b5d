package experiment

import (
	"strconv"
	"strings"
	"time"

	"github.com/hillfork/hillfork/internal/lab/check"
	"github.com/hillfork/hillfork/internal/lab/trace"
)

// span is a stretch of time.
type span struct {
	from, to time.Time
}

func (s span) holds(at time.Time) bool { return !at.Before(s.from) && at.Before(s.to) }

// sharesOf is each training workload's part of the tokens made while samples of all of them were waiting. It is empty
// where that was never so.
func sharesOf(recorded *trace.Trace, seen *check.Observations) map[string]float64 {
	if len(recorded.Topology.Trainers) < 2 {
		return nil
	}
	waiting := make(map[string][]span)
	for _, trainer := range recorded.Topology.Trainers {
		waiting[trainer.Workload] = waitingSpans(trainer, seen)
	}
	tokens := make(map[string]float64)
	total := 0.0
	for id, chunks := range seen.Chunks {
		workload, _, _ := strings.Cut(id, "/")
		if waiting[workload] == nil {
			continue
		}
		for _, chunk := range chunks {
			if allHold(waiting, chunk.At) {
				tokens[workload] += float64(chunk.Count)
				total += float64(chunk.Count)
			}
		}
	}
	for workload := range tokens {
		tokens[workload] /= total
	}
	return tokens
}

// waitingSpans lists, by step, the time from the first start of a sample, once the trainer wants the step, to the last one:
// between them some sample was waiting for a slot. Samples that are begun earlier are not, since others wait by choice.
func waitingSpans(trainer trace.Trainer, seen *check.Observations) []span {
	workload := trainer.Workload
	wanted := wantedAt(trainer, seen)
	steps := make(map[string]span)
	for id, starts := range seen.Starts {
		step, isSample := stepOf(workload, id)
		if !isSample || len(starts) == 0 {
			continue
		}
		if starts[0].At.Before(wanted[step]) {
			continue
		}
		known, found := steps[step]
		if !found || starts[0].At.Before(known.from) {
			known.from = starts[0].At
		}
		if starts[0].At.After(known.to) {
			known.to = starts[0].At
		}
		steps[step] = known
	}
	spans := make([]span, 0, len(steps))
	for _, known := range steps {
		spans = append(spans, known)
	}
	return spans
}

// wantedAt is when the trainer began to want each step but the first: when it had trained the one before.
func wantedAt(trainer trace.Trainer, seen *check.Observations) map[string]time.Time {
	wanted := make(map[string]time.Time)
	for _, delivery := range seen.Deliveries {
		if delivery.Workload == trainer.Workload && delivery.StepComplete {
			wanted[strconv.FormatUint(delivery.Step+1, 10)] = delivery.At.Add(time.Duration(trainer.TrainTime))
		}
	}
	return wanted
}

// stepOf reads the step from "<workload>/<step>/<index>".
func stepOf(workload, id string) (step string, ok bool) {
	rest, ok := strings.CutPrefix(id, workload+"/")
	if !ok {
		return "", false
	}
	step, _, ok = strings.Cut(rest, "/")
	return step, ok
}

func allHold(waiting map[string][]span, at time.Time) bool {
	for _, spans := range waiting {
		held := false
		for _, candidate := range spans {
			held = held || candidate.holds(at)
		}
		if !held {
			return false
		}
	}
	return true
}
