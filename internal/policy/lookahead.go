package policy

// LookAhead is how far ahead of its trainer a workload's samples are begun: all samples of the next Steps steps, and Part,
// 0 to 1, of the samples of the step after them. Each step ahead takes idle time from the trainer, and makes the samples
// one version staler.
type LookAhead struct {
	Steps int
	Part  float64
}

// Between these parts of the idle weight in both weights the look-ahead rises from nothing to the staleness bound.
const (
	noLookAheadBelow   = 0.2
	fullLookAheadAbove = 0.75
)

// LookAheadFor weighs a trainer's idle time against staleness. Without weights, idle time counts alone.
func LookAheadFor(idleWeight, stalenessWeight float64, maxVersionsBehind uint64) LookAhead {
	part := 1.0
	if total := idleWeight + stalenessWeight; total > 0 {
		part = idleWeight / total
	}
	reach := (part - noLookAheadBelow) / (fullLookAheadAbove - noLookAheadBelow)
	return LookAheadOf(min(max(reach, 0), 1) * float64(maxVersionsBehind))
}

// LookAheadOf splits a number of steps ahead, such as 1.25.
func LookAheadOf(depth float64) LookAhead {
	steps := int(depth)
	return LookAhead{Steps: steps, Part: depth - float64(steps)}
}

// PrefersFresh tells whether samples had better wait for an engine with the newest version than be begun on an older one.
func PrefersFresh(idleWeight, stalenessWeight float64) bool { return stalenessWeight > idleWeight }
