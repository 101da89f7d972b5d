package trace

import (
	"errors"
	"strings"
	"testing"
	"testing/fstest"

	"github.com/matryer/is"
)

const goodTopology = `seed: 1
duration: 10s
platform_zone: z1
regions:
  - name: r1
    zones: [{name: z1, nodes: 2}]
engines:
  - {pool: p, count: 1, zones: [z1], slots: 4, token_time: 10ms}
`

func files(topology, events, outcomes string) fstest.MapFS {
	return fstest.MapFS{
		"t/topology.yaml":  {Data: []byte(topology)},
		"t/events.yaml":    {Data: []byte(events)},
		"t/outcomes.yaml":  {Data: []byte(outcomes)},
		"t/bundles/1.yaml": {Data: []byte("version: 1\n")},
	}
}

func TestLoadSortsEvents(t *testing.T) {
	is := is.New(t)
	events := "- {at: 5s, do: node_crash, node: z1-2}\n- {at: 1s, do: roll_bundle, file: 1.yaml}\n"
	loaded, err := Load(files(goodTopology, events, "promises: {exactly_once: 1}\n"), "t")
	is.NoErr(err)
	is.Equal(loaded.Name, "t")
	is.Equal(loaded.Events[0].Do, RollBundle)
}

func TestBadTraceTellsFileLineAndReason(t *testing.T) {
	cases := []struct {
		name, topology, events, outcomes string
		file                             string
		line                             int
		reason                           string
	}{
		{"unknown key", goodTopology + "colour: red\n", "", "", TopologyFile, 9, "colour"},
		{"bad duration", strings.Replace(goodTopology, "10s", "ten", 1), "", "", TopologyFile, 2, "duration"},
		{"unknown zone", strings.Replace(goodTopology, "[z1]", "[z9]", 1), "", "", TopologyFile, 0, "zones"},
		{"unknown action", goodTopology, "- {at: 1s, do: dance}\n", "", EventsFile, 1, "unknown action"},
		{"unknown event key", goodTopology, "- {at: 1s, do: node_crash, node: z1-1, why: no}\n", "", EventsFile, 1, "why"},
		{"unknown node", goodTopology, "- {at: 1s, do: node_crash, node: z1-3}\n", "", EventsFile, 1, "node"},
		{"unknown engine", goodTopology, "\n- {at: 1s, do: engine_hang, engine: p-2}\n", "", EventsFile, 2, "engine"},
		{"missing bundle", goodTopology, "- {at: 1s, do: roll_bundle, file: 2.yaml}\n", "", EventsFile, 1, "2.yaml"},
		{"missing for", goodTopology, "- {at: 1s, do: log_down}\n", "", EventsFile, 1, "for"},
		{"bad mode", goodTopology, "- {at: 1s, do: engine_load_fault, engine: p-1, mode: odd}\n", "", EventsFile, 1, "mode"},
		{"sides", goodTopology, "- {at: 1s, do: partition, for: 1s, a: [z1], b: [z7]}\n", "", EventsFile, 1, "a and b"},
		{"unknown promise", goodTopology, "", "promises: {luck: 1}\n", OutcomesFile, 0, "luck"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			_, err := Load(files(c.topology, c.events, c.outcomes), "t")
			var problem *Problem
			is.True(errors.As(err, &problem))
			is.Equal(problem.File, "t/"+c.file)
			is.Equal(problem.Line, c.line)
			is.True(strings.Contains(problem.Reason, c.reason))
		})
	}
}

func FuzzLoad(f *testing.F) {
	f.Add(goodTopology, "- {at: 1s, do: node_crash, node: z1-1}\n", "promises: {exactly_once: 1}\n")
	f.Fuzz(func(t *testing.T, topology, events, outcomes string) {
		loaded, err := Load(files(topology, events, outcomes), "t")
		var problem *Problem
		if err != nil && !errors.As(err, &problem) {
			t.Fatalf("error of another type: %v", err)
		}
		if err == nil && loaded.Topology.Duration == 0 {
			t.Fatal("a trace without duration was taken")
		}
	})
}
