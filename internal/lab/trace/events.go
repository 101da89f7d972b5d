package trace

import (
	"fmt"
	"maps"
	"slices"

	"gopkg.in/yaml.v3"
)

// Action is what an event does.
type Action string

// Actions of events.
const (
	// RollBundle proposes the bundle File and signs it as the partners of SignAs.
	RollBundle Action = "roll_bundle"

	NodeCrash  Action = "node_crash"
	NodeStart  Action = "node_start"
	NodePause  Action = "node_pause"
	NodeResume Action = "node_resume"
	// NodeStop is a planned stop.
	NodeStop Action = "node_stop"

	EngineCrash  Action = "engine_crash"
	EngineStart  Action = "engine_start"
	EngineHang   Action = "engine_hang"
	EngineResume Action = "engine_resume"
	// EngineSlow makes an engine Factor times slower; 1 ends it.
	EngineSlow Action = "engine_slow"
	// EngineLeave makes an engine leave as planned.
	EngineLeave Action = "engine_leave"
	// EngineLoadFault makes the engine's next load fail in Mode: old, unasked or half.
	EngineLoadFault Action = "engine_load_fault"
	// EngineNoise makes the engine delay, double or reorder chunks with Probability; 0 ends it.
	EngineNoise Action = "engine_noise"
	// EngineCacheLoss drops cache events with Probability.
	EngineCacheLoss Action = "engine_cache_loss"

	// LogDown makes the log unreachable For a time; LogSlow delays its answers by Delay For a time.
	LogDown Action = "log_down"
	LogSlow Action = "log_slow"
	// LogLoseAnswers loses answers to appends with Probability after they took effect, or before with Mode before, For a
	// time.
	LogLoseAnswers Action = "log_lose_answers"

	StoreDown     Action = "store_down"
	StoreThrottle Action = "store_throttle"
	ScorerDown    Action = "scorer_down"
	// MachinesStale freezes the machine list For a time.
	MachinesStale Action = "machines_stale"

	// Partition cuts the zones or regions of A from those of B For a time; OneWay cuts only from A to B.
	Partition Action = "partition"
	// NetworkLoss loses datagrams with Probability For a time; NetworkDelay adds Delay everywhere.
	NetworkLoss  Action = "network_loss"
	NetworkDelay Action = "network_delay"
)

// Event is one timed event.
type Event struct {
	At     Duration `yaml:"at"`
	Do     Action   `yaml:"do"`
	Node   string   `yaml:"node,omitempty"`
	Engine string   `yaml:"engine,omitempty"`
	// Zone applies the action to every node (node actions) or engine (engine actions) of the zone.
	Zone   string   `yaml:"zone,omitempty"`
	File   string   `yaml:"file,omitempty"`
	SignAs []string `yaml:"sign_as,omitempty"`
	Mode   string   `yaml:"mode,omitempty"`
	// Version is the version that a load with mode unasked ends on.
	Version     uint64   `yaml:"version,omitempty"`
	Factor      float64  `yaml:"factor,omitempty"`
	Probability float64  `yaml:"probability,omitempty"`
	Delay       Duration `yaml:"delay,omitempty"`
	For         Duration `yaml:"for,omitempty"`
	A           []string `yaml:"a,omitempty"`
	B           []string `yaml:"b,omitempty"`
	OneWay      bool     `yaml:"one_way,omitempty"`
	// Failpoint names a point in the node's code at which it crashes next.
	Failpoint string `yaml:"failpoint,omitempty"`
	// MayMiss says that the node need not reach its failpoint; its next node_start then changes nothing.
	MayMiss bool `yaml:"may_miss,omitempty"`

	line int
}

// UnmarshalYAML keeps the line for messages. Unknown keys are refused.
func (e *Event) UnmarshalYAML(node *yaml.Node) error {
	type plain Event
	for i := 0; i+1 < len(node.Content); i += 2 {
		if key := node.Content[i]; !slices.Contains(eventKeys, key.Value) {
			return fmt.Errorf("line %d: field %s not found in event", key.Line, key.Value)
		}
	}
	if err := node.Decode((*plain)(e)); err != nil {
		return err
	}
	e.line = node.Line
	return nil
}

var eventKeys = []string{
	"at", "do", "node", "engine", "zone", "file", "sign_as", "mode", "version", "factor", "probability", "delay", "for", "a", "b",
	"one_way", "failpoint", "may_miss",
}

// rule says what an action needs.
type rule struct {
	needsNode, needsEngine, needsFile, needsFor, needsFactor, needsDelay, needsSides, needsProbability bool
	modes                                                                                              []string
}

var rules = map[Action]rule{
	RollBundle:      {needsFile: true},
	NodeCrash:       {needsNode: true},
	NodeStart:       {needsNode: true},
	NodePause:       {needsNode: true},
	NodeResume:      {needsNode: true},
	NodeStop:        {needsNode: true},
	EngineCrash:     {needsEngine: true},
	EngineStart:     {needsEngine: true},
	EngineHang:      {needsEngine: true},
	EngineResume:    {needsEngine: true},
	EngineSlow:      {needsEngine: true, needsFactor: true},
	EngineLeave:     {needsEngine: true},
	EngineLoadFault: {needsEngine: true, modes: []string{"old", "unasked", "half"}},
	EngineNoise:     {needsEngine: true, needsProbability: true},
	EngineCacheLoss: {needsEngine: true, needsProbability: true},
	LogDown:         {needsFor: true},
	LogSlow:         {needsFor: true, needsDelay: true},
	LogLoseAnswers:  {needsFor: true, needsProbability: true, modes: []string{"after", "before"}},
	StoreDown:       {needsFor: true},
	StoreThrottle:   {needsFor: true},
	ScorerDown:      {needsFor: true},
	MachinesStale:   {needsFor: true},
	Partition:       {needsFor: true, needsSides: true},
	NetworkLoss:     {needsFor: true, needsProbability: true},
	NetworkDelay:    {needsFor: true, needsDelay: true},
}

// problem returns why the event cannot be carried out in the topology; empty if it can.
func (e *Event) problem(names *names, bundles map[string][]byte) string {
	rule, known := rules[e.Do]
	switch {
	case !known:
		return fmt.Sprintf("unknown action %q", e.Do)
	case rule.needsNode && !names.hasNodeOrZone(e.Node, e.Zone):
		return fmt.Sprintf("%s needs a node or a zone of the topology, not %q%q", e.Do, e.Node, e.Zone)
	case rule.needsEngine && !names.hasEngineOrZone(e.Engine, e.Zone):
		return fmt.Sprintf("%s needs an engine or a zone of the topology, not %q%q", e.Do, e.Engine, e.Zone)
	case rule.needsFile && bundles[e.File] == nil:
		return fmt.Sprintf("there is no bundle file %q", e.File)
	case rule.needsFor && e.For == 0:
		return fmt.Sprintf("%s needs 'for'", e.Do)
	case rule.needsFactor && e.Factor < 1:
		return fmt.Sprintf("%s needs a factor of 1 or more", e.Do)
	case rule.needsDelay && e.Delay == 0:
		return fmt.Sprintf("%s needs a delay", e.Do)
	case rule.needsProbability && (e.Probability < 0 || e.Probability > 1):
		return fmt.Sprintf("%s needs a probability from 0 to 1", e.Do)
	case rule.needsSides && !(names.hasPlaces(e.A) && names.hasPlaces(e.B)):
		return fmt.Sprintf("%s needs zones or regions in a and b", e.Do)
	case e.MayMiss && e.Failpoint == "":
		return "may_miss needs a failpoint"
	case e.Failpoint != "" && e.Do != NodeCrash:
		return fmt.Sprintf("%s takes no failpoint", e.Do)
	case rule.modes != nil && !slices.Contains(rule.modes, e.Mode):
		return fmt.Sprintf("%s needs a mode of %v", e.Do, rule.modes)
	}
	return ""
}

// Actions lists all actions, in order of name.
func Actions() []Action { return slices.Sorted(maps.Keys(rules)) }

// IsDoneTo tells whether the event names a node or an engine, or the zone that it stands in.
func (e *Event) IsDoneTo(name, zone string) bool {
	return e.Node == name || e.Engine == name || e.Zone == zone
}
