// Package bundle implements the versioned configuration that operators sign off: its schema, strict decoding, canonical
// form and digest, signatures, and the fold of the bundle stream that determines which version is in force.
package bundle

import (
	"context"
	"time"
)

// Bundle is one version of the configuration.
type Bundle struct {
	// Version is Base + 1.
	Version uint64 `yaml:"version" json:"version"`
	// Base is the version that this one replaces; it must be in force.
	Base      uint64     `yaml:"base" json:"base"`
	Partners  []Partner  `yaml:"partners" json:"partners"`
	Pools     []Pool     `yaml:"pools" json:"pools"`
	Workloads []Workload `yaml:"workloads" json:"workloads"`
}

// Partner is an organisation that must sign off bundles.
type Partner struct {
	Name string `yaml:"name" json:"name"`
	// Keys lists the partner's ed25519 public keys in base64; a signature with any of them is valid.
	Keys []string `yaml:"keys" json:"keys"`
}

// Pool is a set of model engines that serve the same workloads.
type Pool struct {
	Name string `yaml:"name" json:"name"`
	// ServingFloor is the fraction of the pool's engines, 0 to 1, that keeps serving while others load weights.
	ServingFloor float64 `yaml:"serving_floor" json:"serving_floor"`
	// LendTo lists the pools that may use idle engines of this pool.
	LendTo []string `yaml:"lend_to,omitempty" json:"lend_to,omitempty"`
}

// Kind is the kind of a workload.
type Kind string

// Kinds of workloads.
const (
	Training    Kind = "training"
	Interactive Kind = "interactive"
)

// SwapMode determines what happens to a running sample when its engine loads new weights.
type SwapMode string

// Swap modes.
const (
	// SwapContinue continues the sample with the new weights; its spans record both versions.
	SwapContinue SwapMode = "continue"
	// SwapMove moves the sample to an engine that still has the old weights.
	SwapMove SwapMode = "move"
	// SwapRestart cuts off the sample and starts it again.
	SwapRestart SwapMode = "restart"
)

// Workload is a category of requests or samples of one partner.
type Workload struct {
	Name    string `yaml:"name" json:"name"`
	Partner string `yaml:"partner" json:"partner"`
	Kind    Kind   `yaml:"kind" json:"kind"`
	// Pools lists the pools that may run the workload, preferred first.
	Pools []string `yaml:"pools" json:"pools"`
	// Share is the guaranteed fraction, 0 to 1, of each of its pools.
	Share float64 `yaml:"share" json:"share"`
	// Model is the model that the workload requires.
	Model string `yaml:"model" json:"model"`
	// MinVersion and MaxVersion limit the accepted weight versions; MaxVersion 0 means no limit.
	MinVersion uint64 `yaml:"min_version" json:"min_version"`
	MaxVersion uint64 `yaml:"max_version,omitempty" json:"max_version,omitempty"`
	// Staleness limits the staleness of delivered samples; training only.
	Staleness *Staleness `yaml:"staleness,omitempty" json:"staleness,omitempty"`
	// Objective weights trainer idle time against staleness; training only.
	Objective *Objective `yaml:"objective,omitempty" json:"objective,omitempty"`
	Swap      SwapMode   `yaml:"swap,omitempty" json:"swap,omitempty"`
	// Scorer is the name of the scorer that rates samples before delivery; empty for none.
	Scorer string `yaml:"scorer,omitempty" json:"scorer,omitempty"`
	Limits Limits `yaml:"limits" json:"limits"`
}

// Staleness limits the age of delivered samples.
type Staleness struct {
	// MaxVersionsBehind limits the trainer's version minus the oldest version in the sample.
	MaxVersionsBehind uint64 `yaml:"max_versions_behind" json:"max_versions_behind"`
	// MaxAge limits the time since the last token of a sample.
	MaxAge Duration `yaml:"max_age" json:"max_age"`
}

// Objective weights trainer idle time against staleness. The weights need not add up to 1.
type Objective struct {
	IdleWeight      float64 `yaml:"idle_weight" json:"idle_weight"`
	StalenessWeight float64 `yaml:"staleness_weight" json:"staleness_weight"`
}

// Limits contains the limits of a workload's requests and samples.
type Limits struct {
	// MaxInFlight limits the requests (interactive) or samples (training) that run concurrently; 0 means that only the
	// pool limits them.
	MaxInFlight int `yaml:"max_in_flight,omitempty" json:"max_in_flight,omitempty"`
	// MaxQueue limits the requests that wait on one node.
	MaxQueue        int `yaml:"max_queue,omitempty" json:"max_queue,omitempty"`
	MaxPromptTokens int `yaml:"max_prompt_tokens" json:"max_prompt_tokens"`
	MaxTokens       int `yaml:"max_tokens" json:"max_tokens"`
	// MaxStepSamples limits the samples of one step; training only.
	MaxStepSamples int `yaml:"max_step_samples,omitempty" json:"max_step_samples,omitempty"`
	// Timeout limits the duration of a request; interactive only.
	Timeout Duration `yaml:"timeout,omitempty" json:"timeout,omitempty"`
	// RetryRatio limits retries to this fraction of the requests, 0 to 1; interactive only.
	RetryRatio float64 `yaml:"retry_ratio,omitempty" json:"retry_ratio,omitempty"`
}

// Duration is a time.Duration with the text form "90s" or "5m".
type Duration time.Duration

// Source provides the bundle in force.
type Source interface {
	// Current returns the bundle in force and its digest; nil before the first.
	Current() *Accepted
	// Changed returns a channel that is closed when the bundle in force changes.
	Changed() <-chan struct{}
}

// Confirmer checks with the log that no newer bundle is in force.
type Confirmer interface {
	// Confirm reads and folds the bundle stream up to a tail that is no older than the call, and returns the bundle
	// that is then in force.
	Confirm(ctx context.Context) (*Accepted, error)
}

// Accepted is a bundle in force with the proof that every partner signed it.
type Accepted struct {
	Bundle Bundle
	// Digest is the hex SHA-256 of the canonical form.
	Digest     string
	Canonical  []byte
	Signatures []Signature
}

// Signature is one partner's sign-off of (digest, version, base).
type Signature struct {
	Partner   string
	Signature []byte
}

// Workload returns the workload with the given name, nil if there is none.
func (b *Bundle) Workload(name string) *Workload {
	for i := range b.Workloads {
		if b.Workloads[i].Name == name {
			return &b.Workloads[i]
		}
	}
	return nil
}

// Pool returns the pool with the given name, nil if there is none.
func (b *Bundle) Pool(name string) *Pool {
	for i := range b.Pools {
		if b.Pools[i].Name == name {
			return &b.Pools[i]
		}
	}
	return nil
}
