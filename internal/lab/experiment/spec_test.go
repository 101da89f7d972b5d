package experiment

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestLoadRefuses(t *testing.T) {
	tests := []struct{ name, content, reason string }{
		{"unknown key", "name: x\nsede: 3\n", "sede"},
		{"no name", "traces: [a]\npolicies: [{name: p}]\n", "name is missing"},
		{"no policy", "name: x\ntraces: [a]\n", "needs traces and policies"},
		{"policy twice", "name: x\ntraces: [a]\npolicies: [{name: p}, {name: p}]\n", "used twice"},
		{"no load", "name: x\ntraces: [a]\npolicies: [{name: p}]\nloads: [0]\n", "loads must be positive"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			file := filepath.Join(t.TempDir(), "experiment.yaml")
			is.NoErr(os.WriteFile(file, []byte(test.content), 0o600))
			_, err := Load(file)
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), test.reason))
		})
	}
}

// TestRunsVaryTheTrace reads the repository's own experiment, so that it stays valid.
func TestRunsVaryTheTrace(t *testing.T) {
	is := is.New(t)
	spec, err := Load("../../../experiments/museums.yaml")
	is.NoErr(err)
	spec.Seeds, spec.Loads = 2, []float64{1, 0.5}
	spec.Policies = []Policy{{Name: "plain"}, {Name: "flood", Flood: map[string]int{"fes-captions": 10}}, {Name: "quiet", WithoutTraining: true}}
	runs, err := spec.Runs()
	is.NoErr(err)
	is.Equal(len(runs), 2*2*3)
	plain, flood, quiet := runs[0].Recorded.Topology, runs[1].Recorded.Topology, runs[2].Recorded.Topology
	is.Equal(plain.Seed, spec.FirstSeed)
	is.Equal(flood.Trainers[0].Prompts, plain.Trainers[0].Prompts)
	is.Equal(flood.Trainers[1].Prompts, 10*plain.Trainers[1].Prompts)
	is.Equal(len(quiet.Trainers), 0)
	is.Equal(runs[3].Recorded.Topology.Trainers[0].Prompts*2, plain.Trainers[0].Prompts)
	is.Equal(runs[6].Seed, spec.FirstSeed+1)
}

func TestSpreadOf(t *testing.T) {
	is := is.New(t)
	is.Equal(SpreadOf([]float64{3, 1, 2}), Spread{Median: 2, Least: 1, Most: 3, Count: 3})
	is.Equal(SpreadOf([]float64{4, 1, 2, 3}).Median, 2.5)
	is.Equal(SpreadOf(nil).String(), "–")
}
