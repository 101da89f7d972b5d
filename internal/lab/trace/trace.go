// Package trace reads a recorded trace: a directory with a topology, bundles, timed events and stated outcomes. The
// format is described in docs/TRACES.md.
package trace

import (
	"fmt"
	"time"

	"gopkg.in/yaml.v3"
)

// Files of a trace directory.
const (
	TopologyFile = "topology.yaml"
	EventsFile   = "events.yaml"
	OutcomesFile = "outcomes.yaml"
	BundlesDir   = "bundles"
)

// Trace is a whole trace.
type Trace struct {
	Name     string
	Topology Topology
	Events   []Event
	Outcomes Outcomes
	// Bundles holds the documents of the bundles directory by file name.
	Bundles map[string][]byte
}

// Duration is a time.Duration written as "90s".
type Duration time.Duration

// UnmarshalYAML reads "90s".
func (d *Duration) UnmarshalYAML(node *yaml.Node) error {
	value, err := time.ParseDuration(node.Value)
	if err != nil || value < 0 {
		return fmt.Errorf("line %d: %q is no duration such as 90s", node.Line, node.Value)
	}
	*d = Duration(value)
	return nil
}

// MarshalYAML writes "1m30s".
func (d Duration) MarshalYAML() (any, error) { return time.Duration(d).String(), nil }

// Topology is what stands at the start of a run.
type Topology struct {
	Seed     uint64   `yaml:"seed"`
	Duration Duration `yaml:"duration"`
	// Settle is the time after Duration in which no new requests are sent and trainers finish.
	Settle Duration `yaml:"settle"`
	// RegionDelay is the one-way delay between regions.
	RegionDelay Duration `yaml:"region_delay"`
	Regions     []Region `yaml:"regions"`
	// PlatformZone is where the platform's services stand.
	PlatformZone string        `yaml:"platform_zone"`
	Engines      []EngineGroup `yaml:"engines"`
	Trainers     []Trainer     `yaml:"trainers"`
	Callers      []Caller      `yaml:"callers"`
	Store        Store         `yaml:"weight_store"`
	// MachineListLag is how late the machine list is.
	MachineListLag Duration `yaml:"machine_list_lag"`
}

// Region is a set of near zones.
type Region struct {
	Name string `yaml:"name"`
	// ZoneDelay is the one-way delay between its zones, ClientDelay that to its clients.
	ZoneDelay   Duration `yaml:"zone_delay"`
	ClientDelay Duration `yaml:"client_delay"`
	Zones       []Zone   `yaml:"zones"`
}

// Zone is a set of machines that fail together.
type Zone struct {
	Name string `yaml:"name"`
	// Nodes is how many nodes stand in the zone; they are named "<zone>-1" and so on.
	Nodes int `yaml:"nodes"`
}

// EngineGroup is a set of like engines, spread over zones in turn; they are named "<pool>-1" and so on.
type EngineGroup struct {
	Pool  string   `yaml:"pool"`
	Count int      `yaml:"count"`
	Zones []string `yaml:"zones"`
	Slots int      `yaml:"slots"`
	// TokenTime is the time of one decoding step with one stream; StreamTime is added for each further stream.
	TokenTime  Duration `yaml:"token_time"`
	StreamTime Duration `yaml:"stream_time"`
	// PrefillTime is the time to read one uncached prompt token.
	PrefillTime Duration `yaml:"prefill_time"`
	CacheTokens int      `yaml:"cache_tokens"`
	StatusLag   Duration `yaml:"status_lag"`
	// ChunkInterval is how often an engine sends tokens, SwapPause how long it stands still for new weights; 0 takes the
	// stand-in's defaults.
	ChunkInterval Duration `yaml:"chunk_interval,omitempty"`
	SwapPause     Duration `yaml:"swap_pause,omitempty"`
	// Models maps each model that the engines start with to its version.
	Models map[string]uint64 `yaml:"models"`
}

// Store is the weight store.
type Store struct {
	// TransferTime is how long one engine takes to read one version.
	TransferTime Duration `yaml:"transfer_time"`
	// MaxReaders is how many read at once; more are throttled.
	MaxReaders int `yaml:"max_readers"`
}

// Lengths is a log-normal distribution of answer lengths in tokens, correlated within a prompt.
type Lengths struct {
	Median int `yaml:"median"`
	// PromptSigma spreads the prompts' own medians, SampleSigma the samples of one prompt; natural logarithm units.
	PromptSigma float64 `yaml:"prompt_sigma"`
	SampleSigma float64 `yaml:"sample_sigma"`
	Max         int     `yaml:"max"`
}

// Trainer is one training workload's trainer.
type Trainer struct {
	Workload         string   `yaml:"workload"`
	Zone             string   `yaml:"zone"`
	Prompts          int      `yaml:"prompts"`
	SamplesPerPrompt int      `yaml:"samples_per_prompt"`
	PromptTokens     int      `yaml:"prompt_tokens"`
	Lengths          Lengths  `yaml:"lengths"`
	TrainTime        Duration `yaml:"train_time"`
	// Steps is how many steps are trained; 0 goes on until the end.
	Steps int `yaml:"steps"`
	// StepsAhead is how many steps are submitted before the one that is fetched has been trained.
	StepsAhead int `yaml:"steps_ahead"`
}

// Caller is a source of interactive requests, arriving as a Poisson process.
type Caller struct {
	Workload   string  `yaml:"workload"`
	Zone       string  `yaml:"zone"`
	RatePerSec float64 `yaml:"rate_per_second"`
	// RateProfile multiplies the rate over the trace's duration, which it divides into even parts, such as the hours of a
	// day; empty leaves the rate as it is.
	RateProfile  []float64 `yaml:"rate_profile,omitempty"`
	PromptTokens int       `yaml:"prompt_tokens"`
	// SharedPrefix is how many prompt tokens all requests of one of Prefixes groups have in common.
	SharedPrefix int     `yaml:"shared_prefix"`
	Prefixes     int     `yaml:"prefixes"`
	Lengths      Lengths `yaml:"lengths"`
	// UnsafeShare is the part of the requests that is unsafe to repeat.
	UnsafeShare float64  `yaml:"unsafe_share"`
	Timeout     Duration `yaml:"timeout"`
}

// Outcomes is what the trace states about its run.
type Outcomes struct {
	// Promises maps a promise to the least number of times it must have been examined; all must hold. Promises not named
	// must hold as well, but need not have been examined.
	Promises map[string]int `yaml:"promises"`
	// Measures bounds the measures of workloads.
	Measures map[string]MeasureBounds `yaml:"measures"`
}

// MeasureBounds bounds what was measured of one workload; zero values bound nothing.
type MeasureBounds struct {
	MinSamples      int      `yaml:"min_samples"`
	MinSteps        int      `yaml:"min_steps"`
	MaxIdle         Duration `yaml:"max_idle"`
	MaxMeanBehind   float64  `yaml:"max_mean_versions_behind"`
	MinCompleted    int      `yaml:"min_completed"`
	MaxNotRunShare  float64  `yaml:"max_not_run_share"`
	MaxUnknownShare float64  `yaml:"max_unknown_share"`
	MaxLatency99    Duration `yaml:"max_latency_p99"`
	// Goodput compares the requests completed in two spans of time; nil bounds nothing.
	Goodput *GoodputBound `yaml:"goodput,omitempty"`
	// EveryAnswered wants an outcome for each request whose node could be reached throughout.
	EveryAnswered bool `yaml:"every_answered"`
}

// GoodputBound wants at least MinRatio times as many requests completed a second under load as in the base time. Each span is
// two whole seconds since the start, the second exclusive.
type GoodputBound struct {
	Base     [2]int  `yaml:"base,flow"`
	Load     [2]int  `yaml:"load,flow"`
	MinRatio float64 `yaml:"min_ratio"`
}

// Problem is one fault of a trace.
type Problem struct {
	File   string
	Line   int
	Reason string
}

// Error tells file, line and reason.
func (p *Problem) Error() string {
	if p.Line == 0 {
		return fmt.Sprintf("%s: %s", p.File, p.Reason)
	}
	return fmt.Sprintf("%s:%d: %s", p.File, p.Line, p.Reason)
}
