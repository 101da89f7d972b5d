package trace

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"path"
	"regexp"
	"slices"
	"strconv"

	"github.com/hillfork/hillfork/internal/lab/check"
	"gopkg.in/yaml.v3"
)

// Load reads and checks the trace in directory of files. Errors are *Problem.
func Load(files fs.FS, directory string) (*Trace, error) {
	result := &Trace{Name: path.Base(directory), Bundles: make(map[string][]byte)}
	if err := decodeFile(files, path.Join(directory, TopologyFile), &result.Topology); err != nil {
		return nil, err
	}
	if err := decodeFile(files, path.Join(directory, EventsFile), &result.Events); err != nil {
		return nil, err
	}
	if err := decodeFile(files, path.Join(directory, OutcomesFile), &result.Outcomes); err != nil {
		return nil, err
	}
	if err := loadBundles(files, path.Join(directory, BundlesDir), result.Bundles); err != nil {
		return nil, err
	}
	return result, result.check(directory)
}

func loadBundles(files fs.FS, directory string, into map[string][]byte) error {
	entries, err := fs.ReadDir(files, directory)
	if err != nil {
		return &Problem{File: directory, Reason: err.Error()}
	}
	for _, entry := range entries {
		file := path.Join(directory, entry.Name())
		content, err := fs.ReadFile(files, file)
		if err != nil {
			return &Problem{File: file, Reason: err.Error()}
		}
		into[entry.Name()] = content
	}
	return nil
}

func decodeFile(files fs.FS, file string, into any) error {
	content, err := fs.ReadFile(files, file)
	if err != nil {
		return &Problem{File: file, Reason: err.Error()}
	}
	decoder := yaml.NewDecoder(bytes.NewReader(content))
	decoder.KnownFields(true)
	err = decoder.Decode(into)
	if err == nil || errors.Is(err, io.EOF) {
		return nil
	}
	return &Problem{File: file, Line: lineOf(err), Reason: err.Error()}
}

var linePattern = regexp.MustCompile(`line (\d+)`)

func lineOf(err error) int {
	match := linePattern.FindStringSubmatch(err.Error())
	if match == nil {
		return 0
	}
	line, _ := strconv.Atoi(match[1])
	return line
}

func (t *Trace) check(directory string) error {
	names := newNames(&t.Topology)
	if reason := t.Topology.problem(names); reason != "" {
		return &Problem{File: path.Join(directory, TopologyFile), Reason: reason}
	}
	for i := range t.Events {
		event := &t.Events[i]
		if reason := event.problem(names, t.Bundles); reason != "" {
			return &Problem{File: path.Join(directory, EventsFile), Line: event.line, Reason: reason}
		}
	}
	for promise := range t.Outcomes.Promises {
		if !slices.Contains(check.Promises(), check.Promise(promise)) {
			return &Problem{File: path.Join(directory, OutcomesFile), Reason: fmt.Sprintf("unknown promise %q", promise)}
		}
	}
	slices.SortStableFunc(t.Events, func(a, b Event) int { return int(a.At) - int(b.At) })
	return nil
}

func (t *Topology) problem(names *names) string {
	switch {
	case t.Duration == 0:
		return "duration is missing"
	case len(names.nodes) == 0:
		return "there is no node"
	case !names.zones[t.PlatformZone]:
		return fmt.Sprintf("platform_zone %q is no zone", t.PlatformZone)
	}
	for _, group := range t.Engines {
		if reason := group.problem(names); reason != "" {
			return reason
		}
	}
	for _, trainer := range t.Trainers {
		if !names.zones[trainer.Zone] || trainer.Prompts < 1 || trainer.SamplesPerPrompt < 1 || trainer.Lengths.Median < 1 {
			return fmt.Sprintf("trainer of %q needs a zone of the topology, prompts, samples_per_prompt and lengths", trainer.Workload)
		}
	}
	for _, caller := range t.Callers {
		if !names.zones[caller.Zone] || caller.RatePerSec <= 0 || caller.Lengths.Median < 1 {
			return fmt.Sprintf("caller of %q needs a zone of the topology, a rate and lengths", caller.Workload)
		}
		if len(caller.RateProfile) > 0 && (slices.Min(caller.RateProfile) < 0 || slices.Max(caller.RateProfile) <= 0) {
			return fmt.Sprintf("caller of %q needs a rate_profile without negative parts and with a positive one", caller.Workload)
		}
	}
	return ""
}

func (g *EngineGroup) problem(names *names) string {
	if g.Pool == "" || g.Count < 1 || g.Slots < 1 || g.TokenTime == 0 {
		return fmt.Sprintf("engines of pool %q need a pool, a count, slots and a token_time", g.Pool)
	}
	if len(g.Zones) == 0 || !names.hasPlaces(g.Zones) {
		return fmt.Sprintf("engines of pool %q need zones of the topology", g.Pool)
	}
	return ""
}

// NodeName is the name of a zone's node, counted from 1.
func NodeName(zone string, number int) string { return fmt.Sprintf("%s-%d", zone, number) }

// EngineName is the name of a pool's engine, counted from 1.
func EngineName(pool string, number int) string { return fmt.Sprintf("%s-%d", pool, number) }

// names is the set of names that a topology defines.
type names struct {
	nodes, engines, zones, regions map[string]bool
}

func newNames(t *Topology) *names {
	result := &names{
		nodes: make(map[string]bool), engines: make(map[string]bool),
		zones: make(map[string]bool), regions: make(map[string]bool),
	}
	for _, region := range t.Regions {
		result.regions[region.Name] = true
		for _, zone := range region.Zones {
			result.zones[zone.Name] = true
			for number := 1; number <= zone.Nodes; number++ {
				result.nodes[NodeName(zone.Name, number)] = true
			}
		}
	}
	for _, group := range t.Engines {
		for number := 1; number <= group.Count; number++ {
			result.engines[EngineName(group.Pool, number)] = true
		}
	}
	return result
}

func (n *names) hasNodeOrZone(node, zone string) bool     { return n.nodes[node] || n.zones[zone] }
func (n *names) hasEngineOrZone(engine, zone string) bool { return n.engines[engine] || n.zones[zone] }

func (n *names) hasPlaces(places []string) bool {
	unknown := func(place string) bool { return !n.zones[place] && !n.regions[place] }
	return len(places) > 0 && !slices.ContainsFunc(places, unknown)
}
