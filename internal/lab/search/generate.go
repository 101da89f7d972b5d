// Package search draws random traces from seeds, runs them in virtual time, and shrinks those that break a promise. A
// trace's faults are all healed before its settling time begins, so that liveness is judged as well: every trainer must
// finish its steps and every caller must be answered.
package search

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hillfork/hillfork/internal/lab/trace"
)

// generatorStream tells the generator's random numbers from others drawn from the same seed.
const generatorStream = 0x68696c6c

// settleTime is how long trainers may take to finish once every fault has been healed.
const settleTime = 4 * time.Minute

// generator draws one trace.
type generator struct {
	random *rand.Rand
	trace  *trace.Trace
	// zones, nodes and engines are all names of the topology; zoneOf and poolOf place them.
	zones   []string
	nodes   []string
	engines []string
	zoneOf  map[string]string
	poolOf  map[string]string
	pools   []string
	// busy holds until when a node or an engine is under a fault of its own.
	busy map[string]time.Duration
	// busyTrace says that the load is more than the engines can serve at times.
	busyTrace bool
	// left holds the engines that leave for good.
	left map[string]bool
}

// Generate draws the trace of a seed. The same seed gives the same trace.
func Generate(seed uint64) *trace.Trace {
	g := &generator{
		random: rand.New(rand.NewPCG(seed, generatorStream)),
		trace:  &trace.Trace{Name: fmt.Sprintf("seed-%d", seed), Bundles: make(map[string][]byte)},
		zoneOf: make(map[string]string),
		poolOf: make(map[string]string),
		busy:   make(map[string]time.Duration),
		left:   make(map[string]bool),
	}
	g.busyTrace = g.chance(0.3)
	g.drawTopology(seed)
	g.drawEngines()
	g.drawLoad()
	g.drawBundles()
	g.drawFaults()
	slices.SortStableFunc(g.trace.Events, func(a, b trace.Event) int { return int(a.At) - int(b.At) })
	return g.trace
}

// between draws a whole number from least to most.
func (g *generator) between(least, most int) int {
	return least + g.random.IntN(most-least+1)
}

// time draws a time from least to most, in whole milliseconds.
func (g *generator) time(least, most time.Duration) time.Duration {
	return time.Duration(g.between(int(least.Milliseconds()), int(most.Milliseconds()))) * time.Millisecond
}

// chance is true with a probability.
func (g *generator) chance(probability float64) bool {
	return g.random.Float64() < probability
}

// pick draws one of items.
func pick[T any](g *generator, items []T) T {
	return items[g.random.IntN(len(items))]
}

// subset draws count different items.
func subset[T any](g *generator, items []T, count int) []T {
	shuffled := slices.Clone(items)
	g.random.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
	return shuffled[:count]
}

var regionNames = []string{"east", "south", "north"}

const (
	mostRegions = 3
	mostZones   = 6
	leastNodes  = 3
	mostNodes   = 7
)

func (g *generator) drawTopology(seed uint64) {
	nodes := g.between(leastNodes, mostNodes)
	zones := g.between(2, min(mostZones, nodes))
	regions := g.between(1, min(mostRegions, zones))
	topology := &g.trace.Topology
	topology.Seed = seed
	topology.Duration = trace.Duration(g.time(25*time.Second, 50*time.Second))
	topology.Settle = trace.Duration(settleTime)
	topology.RegionDelay = trace.Duration(g.time(5*time.Millisecond, 40*time.Millisecond))
	topology.MachineListLag = trace.Duration(g.time(200*time.Millisecond, 5*time.Second))
	topology.Store = trace.Store{
		TransferTime: trace.Duration(g.time(100*time.Millisecond, time.Second)), MaxReaders: g.between(1, 4),
	}
	for number := range regions {
		topology.Regions = append(topology.Regions, trace.Region{
			Name:        regionNames[number],
			ZoneDelay:   trace.Duration(g.time(time.Millisecond, 3*time.Millisecond)),
			ClientDelay: trace.Duration(g.time(time.Millisecond, 5*time.Millisecond)),
		})
	}
	for number := range zones {
		region := &topology.Regions[number%regions]
		name := fmt.Sprintf("%s-%c", region.Name, 'a'+len(region.Zones))
		region.Zones = append(region.Zones, trace.Zone{Name: name, Nodes: 1})
		g.zones = append(g.zones, name)
	}
	for range nodes - zones {
		region := &topology.Regions[g.random.IntN(regions)]
		region.Zones[g.random.IntN(len(region.Zones))].Nodes++
	}
	topology.PlatformZone = pick(g, g.zones)
	for _, region := range topology.Regions {
		for _, zone := range region.Zones {
			for number := 1; number <= zone.Nodes; number++ {
				name := trace.NodeName(zone.Name, number)
				g.nodes = append(g.nodes, name)
				g.zoneOf[name] = zone.Name
			}
		}
	}
}

// Models that the training workloads train; both are served by every engine.
const (
	draftModel   = "customs"
	captionModel = "captions"
)

func (g *generator) drawEngines() {
	g.pools = []string{"drafter", "desk"}[:g.between(1, 2)]
	for _, pool := range g.pools {
		group := trace.EngineGroup{
			Pool:        pool,
			Count:       g.between(2, 4),
			Zones:       subset(g, g.zones, g.between(1, len(g.zones))),
			Slots:       g.slots(),
			TokenTime:   trace.Duration(g.time(5*time.Millisecond, 20*time.Millisecond)),
			StreamTime:  trace.Duration(200 * time.Microsecond),
			PrefillTime: trace.Duration(20 * time.Microsecond),
			CacheTokens: 1 << 16,
			StatusLag:   trace.Duration(g.time(100*time.Millisecond, time.Second)),
			Models:      map[string]uint64{draftModel: 1, captionModel: 1},
		}
		g.trace.Topology.Engines = append(g.trace.Topology.Engines, group)
		for number := 1; number <= group.Count; number++ {
			name := trace.EngineName(pool, number)
			g.engines = append(g.engines, name)
			g.zoneOf[name] = group.Zones[(number-1)%len(group.Zones)]
			g.poolOf[name] = pool
		}
	}
}

func (g *generator) slots() int {
	if g.busyTrace {
		return g.between(1, 3)
	}
	return g.between(2, 8)
}

// Workloads of every trace.
const (
	draftWorkload   = "drafting"
	captionWorkload = "captions"
	clerkWorkload   = "clerks"
	searchWorkload  = "search"
)

func (g *generator) drawLoad() {
	topology := &g.trace.Topology
	measures := make(map[string]trace.MeasureBounds)
	for _, workload := range []string{draftWorkload, captionWorkload} {
		trainer := g.drawTrainer(workload)
		topology.Trainers = append(topology.Trainers, trainer)
		measures[workload] = trace.MeasureBounds{MinSteps: trainer.Steps}
	}
	callers := []string{clerkWorkload, searchWorkload}[:g.between(1, 2)]
	for _, workload := range callers {
		topology.Callers = append(topology.Callers, g.drawCaller(workload))
		measures[workload] = trace.MeasureBounds{MinCompleted: 1, EveryAnswered: true}
	}
	g.trace.Outcomes.Measures = measures
}

func (g *generator) drawLengths() trace.Lengths {
	return trace.Lengths{Median: g.between(10, 60), PromptSigma: 0.4, SampleSigma: 0.4, Max: 300}
}

func (g *generator) drawTrainer(workload string) trace.Trainer {
	return trace.Trainer{
		Workload:         workload,
		Zone:             pick(g, g.zones),
		Prompts:          g.between(1, 4),
		SamplesPerPrompt: g.between(1, 4),
		PromptTokens:     g.between(8, 64),
		Lengths:          g.drawLengths(),
		TrainTime:        trace.Duration(g.time(200*time.Millisecond, 4*time.Second)),
		Steps:            g.between(2, 6),
		StepsAhead:       g.between(0, 2),
	}
}

func (g *generator) drawCaller(workload string) trace.Caller {
	rate, patience := g.between(1, 4), g.time(5*time.Second, 20*time.Second)
	if g.busyTrace {
		rate, patience = g.between(4, 15), g.time(time.Second, 8*time.Second)
	}
	return trace.Caller{
		Workload:     workload,
		Zone:         pick(g, g.zones),
		RatePerSec:   float64(rate),
		PromptTokens: 32,
		SharedPrefix: 16,
		Prefixes:     g.between(1, 3),
		Lengths:      trace.Lengths{Median: g.between(5, 40), PromptSigma: 0.2, SampleSigma: 0.3, Max: 150},
		UnsafeShare:  float64(g.between(0, 10)) / 10,
		Timeout:      trace.Duration(patience),
	}
}
