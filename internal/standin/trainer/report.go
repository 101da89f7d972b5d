package trainer

import (
	"maps"
	"math"
	"slices"
	"time"

	hillforkv1 "github.com/hillfork/hillfork/internal/gen/hillfork/v1"
)

// Report is what a trainer has measured.
type Report struct {
	// Version is the newest version published by the trainer; 0 before the first.
	Version uint64
	// StepsFetched counts whole steps; StepIdle has the idle time before each.
	StepsFetched int
	StepIdle     []time.Duration
	// Idle is all the time between wanting the samples of a step and having them, the step under way included.
	Idle time.Duration
	// Publishing is the time between the end of training and the acknowledged publication.
	Publishing time.Duration
	// Samples counts samples received; VersionsBehind counts them by staleness at receipt: the trainer's version less the
	// oldest version in the sample.
	Samples        int
	VersionsBehind map[uint64]int
	// TotalAge and MaxAge are of the time from a sample's last token to its hand-over.
	TotalAge      time.Duration
	MaxAge        time.Duration
	SubmitErrors  int
	FetchErrors   int
	PublishErrors int
}

// Report returns what has been measured so far.
func (t *Trainer) Report() Report {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	report := t.report
	report.StepIdle = slices.Clone(t.report.StepIdle)
	report.VersionsBehind = maps.Clone(t.report.VersionsBehind)
	if !t.wantedAt.IsZero() {
		report.Idle += time.Since(t.wantedAt)
	}
	return report
}

// MeanVersionsBehind is the mean staleness at receipt; 0 without samples.
func (r *Report) MeanVersionsBehind() float64 {
	if r.Samples == 0 {
		return 0
	}
	total := 0.0
	for behind, count := range r.VersionsBehind {
		total += float64(behind) * float64(count)
	}
	return total / float64(r.Samples)
}

// MeanAge is the mean age at hand-over; 0 without samples.
func (r *Report) MeanAge() time.Duration {
	if r.Samples == 0 {
		return 0
	}
	return r.TotalAge / time.Duration(r.Samples)
}

func (r *Report) addSample(sample *hillforkv1.Sample, trainerVersion uint64) {
	r.Samples++
	r.VersionsBehind[versionsBehind(sample, trainerVersion)]++
	age := time.Duration(sample.AgeMillis) * time.Millisecond
	r.TotalAge += age
	r.MaxAge = max(r.MaxAge, age)
}

// versionsBehind counts from the oldest version in the sample; a sample newer than the trainer is 0 behind.
func versionsBehind(sample *hillforkv1.Sample, trainerVersion uint64) uint64 {
	oldest := uint64(math.MaxUint64)
	for _, span := range sample.Spans {
		oldest = min(oldest, span.Version)
	}
	if oldest >= trainerVersion {
		return 0
	}
	return trainerVersion - oldest
}

func (t *Trainer) record(change func(*Report)) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	change(&t.report)
}

// want begins the idle time of a step.
func (t *Trainer) want() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.wantedAt = time.Now()
}

// satisfied ends the idle time of a step.
func (t *Trainer) satisfied() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	idle := time.Since(t.wantedAt)
	t.wantedAt = time.Time{}
	t.report.StepsFetched++
	t.report.StepIdle = append(t.report.StepIdle, idle)
	t.report.Idle += idle
}
