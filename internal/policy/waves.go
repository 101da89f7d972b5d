package policy

import (
	"math"
	"strconv"
	"time"
)

// WaveSize returns how many of a pool's engines may load weights at once: those above the serving floor, at least one.
func WaveSize(engines int, servingFloor float64) int {
	const tolerance = 1e-9 // 10 × (1 − 0.9) is one engine, not none
	size := int(math.Floor(float64(engines)*(1-servingFloor) + tolerance))
	return max(1, size)
}

// WaveCount returns the number of waves until all engines of a pool have loaded.
func WaveCount(engines int, servingFloor float64) int {
	size := WaveSize(engines, servingFloor)
	return max(1, (engines+size-1)/size)
}

// WaveOf returns the wave, from 0, in which an engine loads a version. Engines are ranked by a hash of engine and
// version, so that every node computes the same waves from the same list without a coordinator, and no engine is always
// last.
func WaveOf(engines []string, engine, model string, version uint64, servingFloor float64) int {
	own := waveHash(engine, model, version)
	rank := 0
	for _, other := range engines {
		hash := waveHash(other, model, version)
		if hash < own || hash == own && other < engine {
			rank++
		}
	}
	return rank / WaveSize(len(engines), servingFloor)
}

func waveHash(engine, model string, version uint64) uint64 {
	return hashOf("wave", engine, model, strconv.FormatUint(version, 10))
}

// WaveDelay returns how long after a version became known a wave starts. All waves start within the roll time, and each
// starts no later than one load time after the one before.
func WaveDelay(wave, waves int, rollTime, loadTime time.Duration) time.Duration {
	if waves <= 1 {
		return 0
	}
	interval := min(rollTime/time.Duration(waves), loadTime)
	return interval * time.Duration(wave)
}

// VersionBounds is a range of weight versions; a Max of 0 means no upper bound.
type VersionBounds struct {
	Min uint64
	Max uint64
}

// Accept reports whether the version lies within the bounds.
func (b VersionBounds) Accept(version uint64) bool {
	return version >= b.Min && (b.Max == 0 || version <= b.Max)
}

// DesiredVersion returns the version that an engine should serve of a model: the newest within the bounds of the
// workloads that use it, 0 where there is none. Where bounds exclude each other, those of earlier workloads apply.
func DesiredVersion(newest uint64, bounds []VersionBounds) uint64 {
	common := VersionBounds{}
	for _, bound := range bounds {
		narrowed := VersionBounds{Min: max(common.Min, bound.Min), Max: tighterMax(common.Max, bound.Max)}
		if narrowed.Max != 0 && narrowed.Min > narrowed.Max {
			continue
		}
		common = narrowed
	}
	desired := newest
	if common.Max != 0 {
		desired = min(desired, common.Max)
	}
	if desired < common.Min {
		return 0
	}
	return desired
}

func tighterMax(a, b uint64) uint64 {
	if a == 0 || b == 0 {
		return max(a, b)
	}
	return min(a, b)
}
