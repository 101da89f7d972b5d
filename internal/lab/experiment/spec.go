// Package experiment runs the same traces under several policies, seeds and loads in virtual time, and sums up what was
// measured beside a clairvoyant lower bound: as JSON, as a Markdown table and as plots.
package experiment

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"

	"github.com/hillfork/hillfork/internal/lab/trace"
	"github.com/hillfork/hillfork/internal/policy"
	"gopkg.in/yaml.v3"
)

// Spec is an experiment as its file describes it.
type Spec struct {
	Name string `yaml:"name"`
	// Traces names trace directories, relative to the file.
	Traces   []string `yaml:"traces"`
	Policies []Policy `yaml:"policies"`
	// FirstSeed and Seeds name the seeds that replace the traces' own: Seeds of them from FirstSeed.
	FirstSeed uint64 `yaml:"first_seed"`
	Seeds     int    `yaml:"seeds"`
	// Loads multiply the prompts of each step and the rates of callers; none is once, unchanged.
	Loads []float64 `yaml:"loads"`
	// Directory is where the file stands.
	Directory string `yaml:"-"`
}

// Policy is one way to run the traces.
type Policy struct {
	Name string `yaml:"name"`
	// Baseline takes the settings of policy.Baseline.
	Baseline bool            `yaml:"baseline"`
	Settings policy.Settings `yaml:"settings"`
	// WithoutTraining leaves the trainers out, to see what callers measure without them.
	WithoutTraining bool `yaml:"without_training"`
	// StepsAhead, if set, replaces how many steps the trainers submit ahead.
	StepsAhead *int `yaml:"steps_ahead"`
	// Flood multiplies the samples of one training workload, by name.
	Flood map[string]int `yaml:"flood"`
	// Steps replaces how many steps a trainer trains, by workload.
	Steps map[string]int `yaml:"steps"`
}

// settings are those to run nodes with.
func (p Policy) settings() policy.Settings {
	if p.Baseline {
		return policy.Baseline()
	}
	return p.Settings
}

// Load reads an experiment's file.
func Load(file string) (*Spec, error) {
	content, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	spec := &Spec{Directory: filepath.Dir(file), FirstSeed: 1, Seeds: 1, Loads: []float64{1}}
	decoder := yaml.NewDecoder(bytes.NewReader(content))
	decoder.KnownFields(true)
	if err := decoder.Decode(spec); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	if reason := spec.problem(); reason != "" {
		return nil, fmt.Errorf("%s: %s", file, reason)
	}
	return spec, nil
}

func (s *Spec) problem() string {
	switch {
	case s.Name == "":
		return "name is missing"
	case len(s.Traces) == 0 || len(s.Policies) == 0:
		return "an experiment needs traces and policies"
	case s.Seeds < 1:
		return "seeds must be positive"
	}
	seen := make(map[string]bool)
	for _, listed := range s.Policies {
		if listed.Name == "" || seen[listed.Name] {
			return fmt.Sprintf("policy name %q is missing or used twice", listed.Name)
		}
		seen[listed.Name] = true
	}
	for _, load := range s.Loads {
		if load <= 0 {
			return "loads must be positive"
		}
	}
	return ""
}

// Run is one run of an experiment.
type Run struct {
	Trace  string
	Policy Policy
	Seed   uint64
	Load   float64
	// Recorded is the trace to run, with seed, load and policy worked in.
	Recorded *trace.Trace
}

// Runs lists all runs of the experiment.
func (s *Spec) Runs() ([]Run, error) {
	var runs []Run
	for _, name := range s.Traces {
		directory := filepath.Join(s.Directory, name)
		recorded, err := trace.Load(os.DirFS(filepath.Dir(directory)), filepath.Base(directory))
		if err != nil {
			return nil, err
		}
		for i := range s.Seeds {
			for _, load := range s.Loads {
				for _, chosen := range s.Policies {
					seed := s.FirstSeed + uint64(i)
					run := Run{Trace: recorded.Name, Policy: chosen, Seed: seed, Load: load}
					run.Recorded = vary(recorded, run)
					runs = append(runs, run)
				}
			}
		}
	}
	return runs, nil
}

// vary returns a copy of a trace with the run's seed, load and policy worked in.
func vary(original *trace.Trace, run Run) *trace.Trace {
	varied := *original
	topology := &varied.Topology
	topology.Seed = run.Seed
	topology.Trainers = nil
	topology.Callers = nil
	for _, trainer := range original.Topology.Trainers {
		trainer.Prompts = max(1, int(float64(trainer.Prompts)*run.Load+0.5))
		if factor := run.Policy.Flood[trainer.Workload]; factor > 0 {
			trainer.Prompts *= factor
		}
		if steps := run.Policy.Steps[trainer.Workload]; steps > 0 {
			trainer.Steps = steps
		}
		if run.Policy.StepsAhead != nil {
			trainer.StepsAhead = *run.Policy.StepsAhead
		}
		if !run.Policy.WithoutTraining {
			topology.Trainers = append(topology.Trainers, trainer)
		}
	}
	for _, caller := range original.Topology.Callers {
		caller.RatePerSec *= run.Load
		topology.Callers = append(topology.Callers, caller)
	}
	return &varied
}
