package policy

// LookAhead is how far ahead of its trainer a workload's samples are begun: all samples of the next Steps steps, and a
// fraction Part, from 0 to 1, of the samples of the step after them. Each step ahead reduces the trainer's idle time and
// makes the samples one version staler.
type LookAhead struct {
	Steps int
	Part  float64
}

// Bounds of the idle weight's share of both weights between which the look-ahead rises from 0 to the staleness bound.
const (
	noLookAheadBelow   = 0.2
	fullLookAheadAbove = 0.75
)

// LookAheadFor trades a trainer's idle time off against staleness. Without weights, only idle time counts.
func LookAheadFor(idleWeight, stalenessWeight float64, maxVersionsBehind uint64) LookAhead {
	idleShare := 1.0
	if total := idleWeight + stalenessWeight; total > 0 {
		idleShare = idleWeight / total
	}
	fraction := (idleShare - noLookAheadBelow) / (fullLookAheadAbove - noLookAheadBelow)
	return LookAheadOf(min(max(fraction, 0), 1) * float64(maxVersionsBehind))
}

// LookAheadOf splits a number of steps ahead, such as 1.25, into whole steps and a fraction.
func LookAheadOf(depth float64) LookAhead {
	steps := int(depth)
	return LookAhead{Steps: steps, Part: depth - float64(steps)}
}

// PrefersFresh reports whether samples should wait for an engine with the newest version rather than begin on an older
// one.
func PrefersFresh(idleWeight, stalenessWeight float64) bool { return stalenessWeight > idleWeight }
