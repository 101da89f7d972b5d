package check

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Promise names one of the brief's promises.
type Promise string

// The promises, in the brief's order.
const (
	SampleVersions  Promise = "sample_versions"
	StalenessBound  Promise = "staleness_bound"
	ExactlyOnce     Promise = "exactly_once"
	OwnAnswer       Promise = "own_whole_answer"
	NotRunTruth     Promise = "not_run_is_true"
	UnsafeOnce      Promise = "unsafe_at_most_once"
	LeavingNoWork   Promise = "leaving_no_new_work"
	PlannedStopSafe Promise = "planned_stop_cuts_nothing"
	BundleInForce   Promise = "bundle_in_force"
)

// Promises lists all promises.
func Promises() []Promise {
	return []Promise{
		SampleVersions, StalenessBound, ExactlyOnce, OwnAnswer, NotRunTruth,
		UnsafeOnce, LeavingNoWork, PlannedStopSafe, BundleInForce,
	}
}

// Limits are the times that the promises leave open.
type Limits struct {
	// BundleWindow is how long after its acceptance a bundle may take to be in force everywhere.
	BundleWindow time.Duration
	// LeavingWindow is how long after it began to leave a back end may receive new work.
	LeavingWindow time.Duration
}

// DefaultLimits are 8 s (letter 1) and 3 s ("a few seconds").
func DefaultLimits() Limits {
	return Limits{BundleWindow: 8 * time.Second, LeavingWindow: 3 * time.Second}
}

// Verdict says how often a promise was examined and how often it was broken.
type Verdict struct {
	Checked    int    `json:"checked"`
	Violations int    `json:"violations"`
	First      string `json:"first_violation,omitempty"`
}

func (v *Verdict) expect(holds bool, format string, arguments ...any) {
	v.Checked++
	if holds {
		return
	}
	v.Violations++
	if v.First == "" {
		v.First = fmt.Sprintf(format, arguments...)
	}
}

type checker func(*Observations, Limits) Verdict

var checkers = map[Promise]checker{
	SampleVersions:  checkSampleVersions,
	StalenessBound:  checkStalenessBound,
	ExactlyOnce:     checkExactlyOnce,
	OwnAnswer:       checkOwnAnswer,
	NotRunTruth:     checkNotRunTruth,
	UnsafeOnce:      checkUnsafeOnce,
	LeavingNoWork:   checkLeavingNoWork,
	PlannedStopSafe: checkPlannedStop,
	BundleInForce:   checkBundleInForce,
}

// Judge runs every checker over what the recorder holds. The run must have ended.
func Judge(recorder *Recorder, limits Limits) map[Promise]Verdict {
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	verdicts := make(map[Promise]Verdict, len(checkers))
	for promise, run := range checkers {
		verdicts[promise] = run(&recorder.observations, limits)
	}
	return verdicts
}

// EngineSampleID is the request id under which engines run a sample.
func EngineSampleID(workload, sampleID string) string {
	return workload + "/" + sampleID
}

// checkSampleVersions: the spans of a sample cover it without gap, and every token was produced, by some engine under
// that sample's id, at the version the sample names for it.
func checkSampleVersions(o *Observations, _ Limits) Verdict {
	var verdict Verdict
	for _, delivery := range o.Deliveries {
		for _, sample := range delivery.Samples {
			chunks := o.Chunks[EngineSampleID(delivery.Workload, sample.ID)]
			reason := spansReason(sample, chunks)
			verdict.expect(reason == "", "%s sample %s: %s", delivery.Workload, sample.ID, reason)
		}
	}
	return verdict
}

func spansReason(sample Sample, chunks []Chunk) string {
	next := 0
	for _, span := range sample.Spans {
		if span.From != next || span.To <= span.From {
			return fmt.Sprintf("span %d-%d does not follow token %d", span.From, span.To, next)
		}
		next = span.To
		if missing, found := firstUnproduced(span, chunks); found {
			return fmt.Sprintf("token %d was never produced by version %d", missing, span.Version)
		}
	}
	if next != len(sample.Tokens) {
		return fmt.Sprintf("spans end at token %d of %d", next, len(sample.Tokens))
	}
	return ""
}

// firstUnproduced finds the first token of the span that no chunk of the span's version holds.
func firstUnproduced(span Span, chunks []Chunk) (int, bool) {
	position := span.From
	for position < span.To {
		reach := position
		for _, chunk := range chunks {
			if chunk.Version == span.Version && chunk.Index <= position {
				reach = max(reach, chunk.Index+chunk.Count)
			}
		}
		if reach == position {
			return position, true
		}
		position = reach
	}
	return 0, false
}

// checkStalenessBound: no sample is older, in versions or time, than the bound of a bundle that was in force at some
// moment between the bundle window before the trainer received it and then.
func checkStalenessBound(o *Observations, limits Limits) Verdict {
	var verdict Verdict
	for _, delivery := range o.Deliveries {
		bound, known := loosestBound(o.Bundles, delivery, limits.BundleWindow)
		for _, sample := range delivery.Samples {
			behind := versionsBehind(delivery.TrainerVersion, sample.Spans)
			verdict.expect(known && behind <= bound.MaxVersionsBehind && sample.Age <= bound.MaxAge,
				"%s sample %s: %d versions behind and %v old, bound %d and %v (known %t)", delivery.Workload, sample.ID,
				behind, sample.Age, bound.MaxVersionsBehind, bound.MaxAge, known)
		}
	}
	return verdict
}

func versionsBehind(trainerVersion uint64, spans []Span) uint64 {
	var behind uint64
	for _, span := range spans {
		if span.Version < trainerVersion {
			behind = max(behind, trainerVersion-span.Version)
		}
	}
	return behind
}

func loosestBound(bundles []BundleAccepted, delivery Delivery, window time.Duration) (Bound, bool) {
	var loosest Bound
	known := false
	for i, accepted := range bundles {
		bound, named := accepted.Bounds[delivery.Workload]
		superseded := i+1 < len(bundles) && bundles[i+1].At.Before(delivery.At.Add(-window))
		if !named || superseded || accepted.At.After(delivery.At) {
			continue
		}
		known = true
		loosest.MaxVersionsBehind = max(loosest.MaxVersionsBehind, bound.MaxVersionsBehind)
		loosest.MaxAge = max(loosest.MaxAge, bound.MaxAge)
	}
	return loosest, known
}

type stepKey struct {
	workload string
	step     uint64
}

// checkExactlyOnce: a trainer's deliveries of a step, in the order of its cursor, hold every position once and every
// sample once, each with its whole answer; and a step said to be complete has them all.
func checkExactlyOnce(o *Observations, _ Limits) Verdict {
	var verdict Verdict
	expected := make(map[stepKey]int, len(o.Submitted))
	for _, step := range o.Submitted {
		expected[stepKey{step.Workload, step.Step}] = step.Samples
	}
	next := make(map[stepKey]int)
	seen := make(map[string]bool)
	for _, delivery := range o.Deliveries {
		key := stepKey{delivery.Workload, delivery.Step}
		verdict.expect(delivery.Cursor == next[key], "%s step %d: delivery at cursor %d, trainer holds %d",
			delivery.Workload, delivery.Step, delivery.Cursor, next[key])
		for _, sample := range delivery.Samples {
			id := EngineSampleID(delivery.Workload, sample.ID)
			verdict.expect(sample.Position == next[key], "%s: position %d where %d was due", id, sample.Position, next[key])
			verdict.expect(!seen[id], "%s was delivered twice", id)
			verdict.expect(slices.Equal(sample.Tokens, sample.Expected), "%s is not its whole answer: %d tokens of %d", id,
				len(sample.Tokens), len(sample.Expected))
			seen[id] = true
			next[key]++
		}
		if delivery.StepComplete {
			verdict.expect(next[key] == expected[key], "%s step %d: complete with %d of %d samples", delivery.Workload,
				delivery.Step, next[key], expected[key])
		}
	}
	return verdict
}

// checkOwnAnswer: a completed request got exactly its own whole answer, under its own id; an answer cut short by
// another outcome is at least a beginning of it.
func checkOwnAnswer(o *Observations, _ Limits) Verdict {
	var verdict Verdict
	for _, request := range o.Requests {
		for _, id := range request.AnswerIDs {
			verdict.expect(id == request.ID, "request %s got an answer to %s", request.ID, id)
		}
		if request.Later == OutcomeCompleted {
			verdict.expect(slices.Equal(request.LaterTokens, request.Expected), "request %s: %d tokens later, not the whole answer of %d",
				request.ID, len(request.LaterTokens), len(request.Expected))
		}
		if request.Outcome == OutcomeCompleted {
			verdict.expect(slices.Equal(request.Tokens, request.Expected), "request %s: %d tokens, not the whole answer of %d",
				request.ID, len(request.Tokens), len(request.Expected))
			continue
		}
		isBeginning := len(request.Tokens) <= len(request.Expected) &&
			slices.Equal(request.Tokens, request.Expected[:len(request.Tokens)])
		verdict.expect(isBeginning, "request %s: what came before %q is no beginning of its answer", request.ID, request.Outcome)
	}
	return verdict
}

// checkNotRunTruth: no engine ever started a request whose caller was told that it was not run.
func checkNotRunTruth(o *Observations, _ Limits) Verdict {
	var verdict Verdict
	for _, request := range o.Requests {
		if request.Outcome != OutcomeNotRun {
			continue
		}
		starts := o.Runs[request.Content]
		verdict.expect(len(starts) == 0, "request %s was said not to be run and was started %d times", request.ID, len(starts))
	}
	return verdict
}

// checkUnsafeOnce: an unsafe request was started at most once over all engines; one that was completed exactly once, for
// otherwise the check looks in the wrong place.
func checkUnsafeOnce(o *Observations, _ Limits) Verdict {
	var verdict Verdict
	counted := make(map[uint64]bool)
	for _, request := range o.Requests {
		if !request.Unsafe || counted[request.Content] {
			continue
		}
		counted[request.Content] = true
		starts := o.Runs[request.Content]
		holds := len(starts) == 1 || (len(starts) == 0 && request.Outcome != OutcomeCompleted)
		verdict.expect(holds, "unsafe request %s was started %d times and ended %q", request.ID, len(starts), request.Outcome)
	}
	return verdict
}

// checkLeavingNoWork: nothing is given to an engine later than the leaving window after it began to leave, not even work
// that it refuses. What a cut network or a paused node held up meanwhile was given to it before.
func checkLeavingNoWork(o *Observations, limits Limits) Verdict {
	var verdict Verdict
	for _, stop := range o.Stops {
		if !stop.IsEngine {
			continue
		}
		late := ""
		for _, arrival := range o.Arrivals[stop.Name] {
			if arrival.At.After(stop.At.Add(limits.LeavingWindow)) && !o.heldUp(stop.At, arrival.At) {
				late = fmt.Sprintf("%s was given to %s %v after it began to leave", arrival.RequestID, stop.Name, arrival.At.Sub(stop.At))
			}
		}
		verdict.expect(late == "", "%s", late)
	}
	return verdict
}

// checkPlannedStop: a request that was in flight during the planned stop of any node or engine was neither cut off nor left
// unknown, unless an unplanned fault that may have done so was in force meanwhile. One that went through the node that
// stopped did not lose contact, unless such a fault came between it and that node.
func checkPlannedStop(o *Observations, limits Limits) Verdict {
	var verdict Verdict
	for _, stop := range o.Stops {
		for _, request := range o.Requests {
			if !inFlight(request, stop, limits) {
				continue
			}
			cut := request.isCut()
			if o.disturbed(request) {
				if !touches(o, request, stop) || o.lostContact(request) {
					continue
				}
				cut = request.Outcome == OutcomeBroken
			}
			verdict.expect(!cut, "request %s was in flight at the planned stop of %s and ended %q (%s)", request.ID, stop.Name,
				request.Outcome, request.Reason)
		}
	}
	return verdict
}

// isCut tells whether a request was cut off. An unsafe one that was left unknown and is known later was not: its caller
// only did not wait long enough. No caller of the lab cancels, so that only the deadline may.
func (r *Request) isCut() bool {
	switch r.Outcome {
	case OutcomeBroken:
		return true
	case OutcomeUnknown:
		return r.Later != OutcomeCompleted
	case OutcomeCancelled:
		return !strings.Contains(r.Reason, "deadline")
	}
	return false
}

// inFlight tells whether the request was under way at some moment of the stop. An engine may be given work until the end of
// the leaving window.
func inFlight(request Request, stop Stop, limits Limits) bool {
	until := stop.EndedAt
	if stop.IsEngine {
		until = stop.At.Add(limits.LeavingWindow)
	}
	return request.InFlight(stop.At, until)
}

// InFlight tells whether the request was under way at some moment from one time to another; a zero to is the end of the
// run.
func (r *Request) InFlight(from, to time.Time) bool {
	endsBefore := r.EndedAt.Before(from)
	beginsAfter := !to.IsZero() && r.SentAt.After(to)
	return !endsBefore && !beginsAfter
}

// touches tells whether the request went through the node that stopped, from before the stop, or was started before on
// the engine that left.
func touches(o *Observations, request Request, stop Stop) bool {
	if !stop.IsEngine {
		return request.Node == stop.Name && request.SentAt.Before(stop.At)
	}
	return slices.ContainsFunc(o.Runs[request.Content], func(start Start) bool {
		return start.Engine == stop.Name && start.At.Before(stop.At)
	})
}

// checkBundleInForce: what operators see on one process never falls, and is at least the version accepted a bundle
// window earlier wherever the node was reachable for that whole window; no delivery is under an older one either.
func checkBundleInForce(o *Observations, limits Limits) Verdict {
	var verdict Verdict
	newest := make(map[string]uint64)
	for _, seen := range o.Seen {
		process := fmt.Sprintf("%s#%d", seen.Node, seen.Incarnation)
		verdict.expect(seen.Version >= newest[process], "%s fell from bundle %d to %d", process, newest[process], seen.Version)
		newest[process] = max(newest[process], seen.Version)
		if o.cutOff(seen.Node, seen.At.Add(-limits.BundleWindow), seen.At) {
			continue
		}
		if o.forgotten(seen.At.Add(-limits.BundleWindow), seen.At) {
			continue
		}
		due := acceptedBy(o.Bundles, seen.At.Add(-limits.BundleWindow))
		verdict.expect(seen.Version >= due, "%s has bundle %d, %d was accepted %v before", process, seen.Version, due,
			limits.BundleWindow)
	}
	for _, delivery := range o.Deliveries {
		due := acceptedBy(o.Bundles, delivery.At.Add(-limits.BundleWindow))
		verdict.expect(delivery.BundleVersion >= due, "%s step %d: delivery under bundle %d, %d was accepted %v before",
			delivery.Workload, delivery.Step, delivery.BundleVersion, due, limits.BundleWindow)
	}
	return verdict
}

// forgotten tells whether, at some time, no node could know a bundle: all were new, and the log was down.
func (o *Observations) forgotten(from, to time.Time) bool {
	return slices.ContainsFunc(o.Forgotten, func(interval Interval) bool { return interval.overlaps(from, to) })
}

func acceptedBy(bundles []BundleAccepted, at time.Time) uint64 {
	var version uint64
	for _, accepted := range bundles {
		if !accepted.At.After(at) {
			version = max(version, accepted.Version)
		}
	}
	return version
}

func (o *Observations) cutOff(node string, from, to time.Time) bool {
	return slices.ContainsFunc(o.Unreachable[node], func(interval Interval) bool {
		ended := !interval.To.IsZero() && interval.To.Before(from)
		return !ended && interval.From.Before(to)
	})
}
