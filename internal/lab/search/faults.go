package search

import (
	"time"

	"github.com/hillfork/hillfork/internal/lab/trace"
)

const (
	// firstFault is the earliest time of a fault; the first bundle is in force by then.
	firstFault = 2 * time.Second
	// healMargin is how long before the end of the load the last fault has been healed, so that callers must be served again.
	healMargin = 6 * time.Second
	// mostFaults bounds the faults of a trace.
	mostFaults = 12
	// shortestFault and longestFault bound the length of one fault.
	shortestFault = 200 * time.Millisecond
	longestFault  = 20 * time.Second
)

// healedBy is the time at which every fault has been healed.
func (g *generator) healedBy() time.Duration {
	return time.Duration(g.trace.Topology.Duration) - healMargin
}

// span is when a fault is in force.
type span struct {
	from, to time.Duration
}

func (s span) length() trace.Duration { return trace.Duration(s.to - s.from) }

// fault adds the events of one fault.
type fault func(g *generator, at span)

// faults lists all kinds of faults; each is as likely as the next.
var faults = []fault{
	crashNode, crashAtPoint, crashAtPoint, pauseNode, pauseNode, stopNode, stopZone, crashZone, crashAllNodes,
	crashEngine, crashEngine, crashEngineZone, hangEngine, slowEngine, leaveEngine, leaveZone, failLoad, failLoad, noiseOfEngine,
	loseCacheEvents,
	logDown, logSlow, loseLogAnswers, loseLogAnswers,
	storeDown, storeThrottle, scorerDown, machinesStale,
	partition, partition, networkLoss, networkDelay,
}

// drawFaults draws some faults at times of their own, some in pairs at once, and some twice.
func (g *generator) drawFaults() {
	count := g.between(1, mostFaults)
	for count > 0 {
		kind := pick(g, faults)
		at := g.drawSpan()
		kind(g, at)
		count--
		switch {
		case count > 0 && g.chance(0.3):
			pick(g, faults)(g, g.near(at))
			count--
		case count > 0 && g.chance(0.2):
			kind(g, g.near(at))
			count--
		}
	}
}

func (g *generator) drawSpan() span {
	from := g.time(firstFault, g.healedBy()-shortestFault)
	return span{from, g.endAfter(from)}
}

// near draws a span that begins during another one.
func (g *generator) near(other span) span {
	from := g.time(other.from, other.to)
	from = min(from, g.healedBy()-shortestFault)
	return span{from, g.endAfter(from)}
}

func (g *generator) endAfter(from time.Duration) time.Duration {
	return min(from+g.time(shortestFault, longestFault), g.healedBy())
}

func (g *generator) add(at time.Duration, event trace.Event) {
	event.At = trace.Duration(at)
	g.trace.Events = append(g.trace.Events, event)
}

// addPair adds what begins and what ends a fault.
func (g *generator) addPair(at span, begin, end trace.Event) {
	g.add(at.from, begin)
	g.add(at.to, end)
}

// claim takes a node or an engine for a fault of its own; false says that it is under another then.
func (g *generator) claim(name string, at span) bool {
	if g.left[name] || at.from < g.busy[name] {
		return false
	}
	g.busy[name] = at.to + time.Millisecond
	return true
}

func (g *generator) claimZone(names []string, zone string, at span) bool {
	for _, name := range names {
		if g.zoneOf[name] == zone && (g.left[name] || at.from < g.busy[name]) {
			return false
		}
	}
	for _, name := range names {
		if g.zoneOf[name] == zone {
			g.claim(name, at)
		}
	}
	return true
}

func (g *generator) nodePair(at span, begin, end trace.Action) {
	name := pick(g, g.nodes)
	if g.claim(name, at) {
		g.addPair(at, trace.Event{Do: begin, Node: name}, trace.Event{Do: end, Node: name})
	}
}

func (g *generator) nodeZonePair(at span, begin, end trace.Action) {
	zone := pick(g, g.zones)
	if g.claimZone(g.nodes, zone, at) {
		g.addPair(at, trace.Event{Do: begin, Zone: zone}, trace.Event{Do: end, Zone: zone})
	}
}

func (g *generator) enginePair(at span, begin, end trace.Event) {
	name := pick(g, g.engines)
	if !g.claim(name, at) {
		return
	}
	begin.Engine, end.Engine = name, name
	g.addPair(at, begin, end)
}

func crashNode(g *generator, at span) { g.nodePair(at, trace.NodeCrash, trace.NodeStart) }
func pauseNode(g *generator, at span) { g.nodePair(at, trace.NodePause, trace.NodeResume) }
func stopNode(g *generator, at span)  { g.nodePair(at, trace.NodeStop, trace.NodeStart) }
func stopZone(g *generator, at span)  { g.nodeZonePair(at, trace.NodeStop, trace.NodeStart) }
func crashZone(g *generator, at span) { g.nodeZonePair(at, trace.NodeCrash, trace.NodeStart) }

// failpoints are the moments between two steps of a ledger at which a node may crash.
var failpoints = []string{
	"submit.before_append", "submit.after_append", "complete.before_append", "complete.after_append",
	"score.before_append", "score.after_append", "publish.before_append", "publish.after_append",
	"fetch.before_append", "fetch.after_append", "fetch.before_handover",
	"before start", "after start", "after dispatch", "before finish", "after finish", "before cancel", "after cancel",
	"after not run", "before close ask",
}

// crashAtPoint lets a node crash between two steps, or a whole zone's nodes each at its own time.
func crashAtPoint(g *generator, at span) {
	crash := trace.Event{Do: trace.NodeCrash, Failpoint: pick(g, failpoints), MayMiss: true}
	start := trace.Event{Do: trace.NodeStart}
	if g.chance(0.3) {
		crash.Zone = pick(g, g.zones)
		start.Zone = crash.Zone
		if g.claimZone(g.nodes, crash.Zone, at) {
			g.addPair(at, crash, start)
		}
		return
	}
	crash.Node = pick(g, g.nodes)
	start.Node = crash.Node
	if g.claim(crash.Node, at) {
		g.addPair(at, crash, start)
	}
}

// crashAllNodes leaves nothing but what is in the log.
func crashAllNodes(g *generator, at span) {
	for _, zone := range g.zones {
		if g.claimZone(g.nodes, zone, at) {
			g.addPair(at, trace.Event{Do: trace.NodeCrash, Zone: zone}, trace.Event{Do: trace.NodeStart, Zone: zone})
		}
	}
}

func crashEngine(g *generator, at span) {
	g.enginePair(at, trace.Event{Do: trace.EngineCrash}, trace.Event{Do: trace.EngineStart})
}

func crashEngineZone(g *generator, at span) {
	zone := g.zoneOf[pick(g, g.engines)]
	if g.claimZone(g.engines, zone, at) {
		g.addPair(at, trace.Event{Do: trace.EngineCrash, Zone: zone}, trace.Event{Do: trace.EngineStart, Zone: zone})
	}
}

func hangEngine(g *generator, at span) {
	g.enginePair(at, trace.Event{Do: trace.EngineHang}, trace.Event{Do: trace.EngineResume})
}

func slowEngine(g *generator, at span) {
	factor := float64(g.between(2, 8))
	g.enginePair(at, trace.Event{Do: trace.EngineSlow, Factor: factor}, trace.Event{Do: trace.EngineSlow, Factor: 1})
}

func noiseOfEngine(g *generator, at span) {
	g.enginePair(at, trace.Event{Do: trace.EngineNoise, Probability: g.probability(5, 50)}, trace.Event{Do: trace.EngineNoise})
}

func loseCacheEvents(g *generator, at span) {
	g.enginePair(at, trace.Event{Do: trace.EngineCacheLoss, Probability: g.probability(10, 100)},
		trace.Event{Do: trace.EngineCacheLoss})
}

// leaveEngine makes an engine leave for good if its pool keeps another.
func leaveEngine(g *generator, at span) {
	leaving := pick(g, g.engines)
	if g.poolsKeepOneWithout(func(name string) bool { return name == leaving }) && g.claim(leaving, at) {
		g.left[leaving] = true
		g.add(at.from, trace.Event{Do: trace.EngineLeave, Engine: leaving})
	}
}

// leaveZone does the same to all engines of a zone.
func leaveZone(g *generator, at span) {
	zone := g.zoneOf[pick(g, g.engines)]
	inZone := func(name string) bool { return g.zoneOf[name] == zone }
	if !g.poolsKeepOneWithout(inZone) || !g.claimZone(g.engines, zone, at) {
		return
	}
	for _, name := range g.engines {
		if inZone(name) {
			g.left[name] = true
		}
	}
	g.add(at.from, trace.Event{Do: trace.EngineLeave, Zone: zone})
}

// poolsKeepOneWithout tells whether every pool keeps an engine when some leave.
func (g *generator) poolsKeepOneWithout(leaves func(name string) bool) bool {
	staying := make(map[string]bool)
	for _, name := range g.engines {
		if !leaves(name) && !g.left[name] {
			staying[g.poolOf[name]] = true
		}
	}
	return len(staying) == len(g.pools)
}

// unaskedVersions are the versions on which a load may end that nobody asked for.
var unaskedVersions = []uint64{1, 2, 3, 99}

func failLoad(g *generator, at span) {
	event := trace.Event{
		Do: trace.EngineLoadFault, Engine: pick(g, g.engines), Mode: pick(g, []string{"old", "unasked", "half"}),
	}
	if event.Mode == "unasked" {
		event.Version = pick(g, unaskedVersions)
	}
	g.add(at.from, event)
}

func logDown(g *generator, at span) { g.add(at.from, trace.Event{Do: trace.LogDown, For: at.length()}) }

func logSlow(g *generator, at span) {
	delay := trace.Duration(g.time(20*time.Millisecond, 2*time.Second))
	g.add(at.from, trace.Event{Do: trace.LogSlow, For: at.length(), Delay: delay})
}

func loseLogAnswers(g *generator, at span) {
	g.add(at.from, trace.Event{
		Do: trace.LogLoseAnswers, For: at.length(), Probability: g.probability(5, 80), Mode: pick(g, []string{"after", "before"}),
	})
}

func storeDown(g *generator, at span) {
	g.add(at.from, trace.Event{Do: trace.StoreDown, For: at.length()})
}

func storeThrottle(g *generator, at span) {
	g.add(at.from, trace.Event{Do: trace.StoreThrottle, For: at.length()})
}

func scorerDown(g *generator, at span) {
	g.add(at.from, trace.Event{Do: trace.ScorerDown, For: at.length()})
}

func machinesStale(g *generator, at span) {
	g.add(at.from, trace.Event{Do: trace.MachinesStale, For: at.length()})
}

// partition cuts some zones off from the others, in half of the cases one way only.
func partition(g *generator, at span) {
	shuffled := subset(g, g.zones, len(g.zones))
	cut := g.between(1, len(shuffled)-1)
	g.add(at.from, trace.Event{
		Do: trace.Partition, For: at.length(), A: shuffled[:cut], B: shuffled[cut:], OneWay: g.chance(0.5),
	})
}

func networkLoss(g *generator, at span) {
	g.add(at.from, trace.Event{Do: trace.NetworkLoss, For: at.length(), Probability: g.probability(5, 60)})
}

func networkDelay(g *generator, at span) {
	delay := trace.Duration(g.time(5*time.Millisecond, 400*time.Millisecond))
	g.add(at.from, trace.Event{Do: trace.NetworkDelay, For: at.length(), Delay: delay})
}

// probability draws one in hundredths.
func (g *generator) probability(least, most int) float64 {
	return float64(g.between(least, most)) / 100
}
