package check

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

// goodRun is a small run in which every promise holds and is examined at least once.
func goodRun() *Recorder {
	recorder := NewRecorder()
	tokens := []uint32{1, 2, 3, 4}
	recorder.Started("e1", "w/1/0", 1, 10, at(1))
	recorder.Produced("e1", "w/1/0", 1, 0, 2, 5)
	recorder.Produced("e1", "w/1/0", 1, 2, 2, 6)
	recorder.Started("e1", "r/another-id", 1, 11, at(2))
	recorder.Record(func(o *Observations) {
		o.Submitted = []SubmittedStep{{Workload: "w", Step: 1, Samples: 1}}
		o.Bundles = []BundleAccepted{
			{Version: 1, At: at(0), Bounds: map[string]Bound{"w": {MaxVersionsBehind: 2, MaxAge: time.Minute}}},
		}
		o.Deliveries = []Delivery{{
			Workload: "w", Step: 1, At: at(10), NextCursor: 1, StepComplete: true, TrainerVersion: 7, BundleVersion: 1,
			Samples: []Sample{{
				ID: "1/0", Tokens: tokens, Expected: tokens, Age: time.Second,
				Spans: []Span{{From: 0, To: 2, Version: 5}, {From: 2, To: 4, Version: 6}},
			}},
		}}
		o.Requests = []Request{
			{ID: "unsafe", Content: 11, Unsafe: true, Node: "n1", SentAt: at(2), EndedAt: at(4),
				Outcome: OutcomeCompleted, Tokens: tokens, Expected: tokens, AnswerIDs: []string{"unsafe"}},
			{ID: "refused", Content: 12, Node: "n2", SentAt: at(2), EndedAt: at(3), Outcome: OutcomeNotRun},
		}
		o.Stops = []Stop{{Name: "n1", At: at(3)}, {Name: "e1", IsEngine: true, At: at(3)}}
		o.Seen = []BundleSeen{{Node: "n1", Version: 1, At: at(9)}}
		o.EndedAt = at(20)
	})
	return recorder
}

func TestEveryPromiseHoldsInAGoodRun(t *testing.T) {
	is := is.New(t)
	verdicts := Judge(goodRun(), DefaultLimits())
	is.Equal(len(verdicts), len(Promises()))
	for _, promise := range Promises() {
		is.True(verdicts[promise].Checked > 0)
		is.Equal(verdicts[promise].First, "")
	}
}

func TestAPlantedViolationTripsItsChecker(t *testing.T) {
	cases := []struct {
		name    string
		promise Promise
		plant   func(*Observations)
	}{
		{"version never produced", SampleVersions, func(o *Observations) { o.Deliveries[0].Samples[0].Spans[1].Version = 7 }},
		{"span boundary moved", SampleVersions, func(o *Observations) {
			o.Deliveries[0].Samples[0].Spans[0].To = 3
			o.Deliveries[0].Samples[0].Spans[1].From = 3
		}},
		{"gap between spans", SampleVersions, func(o *Observations) { o.Deliveries[0].Samples[0].Spans[1].From = 3 }},
		{"spans too short", SampleVersions, func(o *Observations) {
			sample := &o.Deliveries[0].Samples[0]
			sample.Spans = sample.Spans[:1]
		}},
		{"too many versions behind", StalenessBound, func(o *Observations) { o.Deliveries[0].TrainerVersion = 8 }},
		{"too old", StalenessBound, func(o *Observations) { o.Deliveries[0].Samples[0].Age = 2 * time.Minute }},
		{"bound tightened long before", StalenessBound, func(o *Observations) {
			tight := map[string]Bound{"w": {MaxVersionsBehind: 1, MaxAge: time.Minute}}
			o.Bundles = append(o.Bundles, BundleAccepted{Version: 2, At: at(1), Bounds: tight})
		}},
		{"sample twice", ExactlyOnce, func(o *Observations) {
			again := o.Deliveries[0]
			again.Cursor = 1
			o.Deliveries = append(o.Deliveries, again)
		}},
		{"position skipped", ExactlyOnce, func(o *Observations) { o.Deliveries[0].Samples[0].Position = 1 }},
		{"sample lost", ExactlyOnce, func(o *Observations) { o.Submitted[0].Samples = 2 }},
		{"sample of another", ExactlyOnce, func(o *Observations) { o.Deliveries[0].Samples[0].Expected = []uint32{9} }},
		{"answer cut short", OwnAnswer, func(o *Observations) { o.Requests[0].Tokens = o.Requests[0].Tokens[:3] }},
		{"answer of another", OwnAnswer, func(o *Observations) { o.Requests[0].AnswerIDs = []string{"refused"} }},
		{"beginning of another answer", OwnAnswer, func(o *Observations) { o.Requests[1].Tokens = []uint32{9} }},
		{"not run, but started", NotRunTruth, func(o *Observations) {
			o.Runs[12] = []Start{{Engine: "e1", At: at(2)}}
		}},
		{"unsafe twice", UnsafeOnce, func(o *Observations) {
			o.Runs[11] = append(o.Runs[11], Start{Engine: "e2", At: at(3)})
		}},
		{"unsafe completed by no engine", UnsafeOnce, func(o *Observations) { delete(o.Runs, 11) }},
		{"work for an engine that left", LeavingNoWork, func(o *Observations) {
			o.Arrivals["e1"] = append(o.Arrivals["e1"], Arrival{RequestID: "w/1/0", At: at(6.5)})
		}},
		{"cut off by a node's stop", PlannedStopSafe, func(o *Observations) { o.Requests[0].Outcome = OutcomeBroken }},
		{"cut off by a node's stop while another node is down", PlannedStopSafe, func(o *Observations) {
			o.Disturbances = []Disturbance{{MayCut: true, Target: "n9", During: Interval{From: at(0), To: at(9)}}}
			o.Requests[0].Outcome = OutcomeBroken
		}},
		{"cancelled by nobody during a stop", PlannedStopSafe, func(o *Observations) {
			o.Requests[0].Outcome = OutcomeCancelled
		}},
		{"later answer is another's", OwnAnswer, func(o *Observations) {
			o.Requests[0].Later, o.Requests[0].LaterTokens = OutcomeCompleted, []uint32{9}
		}},
		{"left unknown by an engine's stop", PlannedStopSafe, func(o *Observations) {
			o.Disturbances = []Disturbance{{MayCut: true, Target: "n9", During: Interval{From: at(20), To: at(30)}}}
			o.Requests[0].Node = "n3"
			o.Requests[0].Outcome = OutcomeUnknown
		}},
		{"left unknown by the stop of another node", PlannedStopSafe, func(o *Observations) {
			o.Stops = []Stop{{Name: "n9", At: at(3), EndedAt: at(3.5)}}
			o.Requests[0].Outcome = OutcomeUnknown
		}},
		{"bundle falls", BundleInForce, func(o *Observations) {
			o.Seen = append(o.Seen, BundleSeen{Node: "n1", Version: 0, At: at(9.5)})
		}},
		{"bundle late", BundleInForce, func(o *Observations) {
			o.Seen = []BundleSeen{{Node: "n1", Version: 0, At: at(9)}}
		}},
		{"delivery under an old bundle", BundleInForce, func(o *Observations) { o.Deliveries[0].BundleVersion = 0 }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			recorder := goodRun()
			recorder.Record(c.plant)
			is.True(Judge(recorder, DefaultLimits())[c.promise].Violations > 0)
		})
	}
}

func TestWorkHeldUpOnItsWayIsNotNew(t *testing.T) {
	is := is.New(t)
	recorder := goodRun()
	recorder.Record(func(o *Observations) {
		o.Arrivals["e1"] = append(o.Arrivals["e1"], Arrival{RequestID: "w/1/0", At: at(6.5)})
		o.Disturbances = []Disturbance{{CutsNetwork: true, HoldsUp: true, During: Interval{From: at(2), To: at(6.4)}}}
	})
	is.Equal(Judge(recorder, DefaultLimits())[LeavingNoWork].Violations, 0)
}

func TestAPlannedStopIsNotBlamedForAnImpatientCaller(t *testing.T) {
	is := is.New(t)
	recorder := goodRun()
	recorder.Record(func(o *Observations) {
		o.Requests[0].Outcome = OutcomeUnknown
		o.Requests[0].Later, o.Requests[0].LaterTokens = OutcomeCompleted, o.Requests[0].Expected
	})
	is.Equal(Judge(recorder, DefaultLimits())[PlannedStopSafe].Violations, 0)
}

func TestNodesThatCannotKnowABundleAreNotBlamed(t *testing.T) {
	is := is.New(t)
	recorder := goodRun()
	recorder.Record(func(o *Observations) {
		o.Seen = []BundleSeen{{Node: "n1", Version: 0, At: at(9)}}
		o.Forgotten = []Interval{{From: at(2), To: at(5)}}
	})
	is.Equal(Judge(recorder, DefaultLimits())[BundleInForce].Violations, 0)
	recorder.Record(func(o *Observations) {
		o.Seen[0].At = at(14)
	})
	is.True(Judge(recorder, DefaultLimits())[BundleInForce].Violations > 0) // a window after the log is back
}

func TestAPlannedStopIsNotBlamedForOtherFaults(t *testing.T) {
	is := is.New(t)
	recorder := goodRun()
	recorder.Record(func(o *Observations) {
		o.Requests[0].Outcome = OutcomeUnknown
		o.Disturbances = []Disturbance{{MayCut: true, CutsNetwork: true, During: Interval{From: at(0)}}}
	})
	is.Equal(Judge(recorder, DefaultLimits())[PlannedStopSafe].Violations, 0)
}

func TestANodeCutOffIsNotBlamedForAnOldBundle(t *testing.T) {
	is := is.New(t)
	recorder := goodRun()
	recorder.Record(func(o *Observations) {
		o.Seen = []BundleSeen{{Node: "n1", Version: 0, At: at(9)}}
		o.Unreachable["n1"] = []Interval{{From: at(2), To: at(5)}}
	})
	is.Equal(Judge(recorder, DefaultLimits())[BundleInForce].First, "")
}
