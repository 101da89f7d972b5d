// Package bundle holds the versioned configuration that operators sign off: its schema, its strict decoding, its
// canonical form and digest, signatures, and the fold of the bundle stream that decides which version is in force.
package bundle

import (
	"context"
	"time"
)

// Bundle is one version of the configuration.
type Bundle struct {
	// Version is Base + 1.
	Version uint64 `yaml:"version" json:"version"`
	// Base is the version in force that this one replaces.
	Base      uint64     `yaml:"base" json:"base"`
	Partners  []Partner  `yaml:"partners" json:"partners"`
	Pools     []Pool     `yaml:"pools" json:"pools"`
	Workloads []Workload `yaml:"workloads" json:"workloads"`
}

// Partner is an organisation that signs bundles off.
type Partner struct {
	Name string `yaml:"name" json:"name"`
	// Keys are the ed25519 public keys, base64, any of which signs for the partner.
	Keys []string `yaml:"keys" json:"keys"`
}

// Pool is a set of model engines that serve the same workloads.
type Pool struct {
	Name string `yaml:"name" json:"name"`
	// ServingFloor is the part of the pool's engines, 0 to 1, that keeps serving while others load weights.
	ServingFloor float64 `yaml:"serving_floor" json:"serving_floor"`
	// LendTo names pools that may take over this pool's idle engines.
	LendTo []string `yaml:"lend_to,omitempty" json:"lend_to,omitempty"`
}

// Kind is the kind of work of a workload.
type Kind string

// Kinds of work.
const (
	Training    Kind = "training"
	Interactive Kind = "interactive"
)

// SwapMode says what becomes of a running sample when its engine takes new weights.
type SwapMode string

// Ways to swap under a running sample.
const (
	// SwapContinue lets the sample go on under the new weights; its spans record both versions.
	SwapContinue SwapMode = "continue"
	// SwapMove moves the sample to an engine that keeps the old weights a while.
	SwapMove SwapMode = "move"
	// SwapRestart cuts the sample off and starts it again.
	SwapRestart SwapMode = "restart"
)

// Workload is one partner's stream of work.
type Workload struct {
	Name    string `yaml:"name" json:"name"`
	Partner string `yaml:"partner" json:"partner"`
	Kind    Kind   `yaml:"kind" json:"kind"`
	// Pools names the pools that may run the work, preferred first.
	Pools []string `yaml:"pools" json:"pools"`
	// Share is the guaranteed part, 0 to 1, of each of its pools.
	Share float64 `yaml:"share" json:"share"`
	// Model is the model whose weights the work needs.
	Model string `yaml:"model" json:"model"`
	// MinVersion and MaxVersion bound the weight versions accepted; MaxVersion 0 is no bound.
	MinVersion uint64 `yaml:"min_version" json:"min_version"`
	MaxVersion uint64 `yaml:"max_version,omitempty" json:"max_version,omitempty"`
	// Staleness bounds what may be delivered; training only.
	Staleness *Staleness `yaml:"staleness,omitempty" json:"staleness,omitempty"`
	// Objective weighs the two measures; training only.
	Objective *Objective `yaml:"objective,omitempty" json:"objective,omitempty"`
	Swap      SwapMode   `yaml:"swap,omitempty" json:"swap,omitempty"`
	// Scorer names the scorer that judges samples before delivery; empty for none.
	Scorer string `yaml:"scorer,omitempty" json:"scorer,omitempty"`
	Limits Limits `yaml:"limits" json:"limits"`
}

// Staleness bounds the age of delivered samples.
type Staleness struct {
	// MaxVersionsBehind bounds trainer version minus oldest version in the sample.
	MaxVersionsBehind uint64 `yaml:"max_versions_behind" json:"max_versions_behind"`
	// MaxAge bounds the time since a sample's last token.
	MaxAge Duration `yaml:"max_age" json:"max_age"`
}

// Objective weighs trainer idle time against staleness; the weights need not add up to 1.
type Objective struct {
	IdleWeight      float64 `yaml:"idle_weight" json:"idle_weight"`
	StalenessWeight float64 `yaml:"staleness_weight" json:"staleness_weight"`
}

// Limits bounds what a workload may ask for.
type Limits struct {
	// MaxInFlight bounds requests (interactive) or samples (training) running at once; 0 is no bound but the pool's.
	MaxInFlight int `yaml:"max_in_flight,omitempty" json:"max_in_flight,omitempty"`
	// MaxQueue bounds requests waiting on one node.
	MaxQueue        int `yaml:"max_queue,omitempty" json:"max_queue,omitempty"`
	MaxPromptTokens int `yaml:"max_prompt_tokens" json:"max_prompt_tokens"`
	MaxTokens       int `yaml:"max_tokens" json:"max_tokens"`
	// MaxStepSamples bounds the samples of one step; training only.
	MaxStepSamples int `yaml:"max_step_samples,omitempty" json:"max_step_samples,omitempty"`
	// Timeout is the longest a request may take; interactive only.
	Timeout Duration `yaml:"timeout,omitempty" json:"timeout,omitempty"`
	// RetryRatio bounds retries to this part of the requests, 0 to 1; interactive only.
	RetryRatio float64 `yaml:"retry_ratio,omitempty" json:"retry_ratio,omitempty"`
}

// Duration is a time.Duration written as "90s" or "5m".
type Duration time.Duration

// Source hands out the bundle in force.
type Source interface {
	// Current returns the bundle in force and its digest; nil before the first.
	Current() *Accepted
	// Changed returns a channel that is closed when the bundle in force changes.
	Changed() <-chan struct{}
}

// Confirmer checks with the log that no newer bundle is in force.
type Confirmer interface {
	// Confirm reads the bundle stream to its tail as of a moment after the call began, folds it, and returns the bundle
	// in force then.
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

// Workload finds a workload by name; nil where there is none.
func (b *Bundle) Workload(name string) *Workload {
	for i := range b.Workloads {
		if b.Workloads[i].Name == name {
			return &b.Workloads[i]
		}
	}
	return nil
}

// Pool finds a pool by name; nil where there is none.
func (b *Bundle) Pool(name string) *Pool {
	for i := range b.Pools {
		if b.Pools[i].Name == name {
			return &b.Pools[i]
		}
	}
	return nil
}
