package fleet

import (
	"hash/maphash"
	"slices"
	"time"
)

// Candidate is an engine as it stands when work is to be placed.
type Candidate struct {
	Engine   Engine
	InFlight int
	// Avoided says that the engine failed lately.
	Avoided bool
	// Loading says that it begins no request of the wanted model now.
	Loading bool
	// Pace is the smoothed time between its events, 0 if unknown; Latency that of whole answers.
	Pace    time.Duration
	Latency time.Duration
}

// Want describes the engine that a piece of work needs.
type Want struct {
	Pool string
	// Model and MinVersion bound the weights; an empty model takes any engine.
	Model      string
	MinVersion int64
	// ExactVersion, if not 0, allows this version alone.
	ExactVersion int64
	// Exclude holds ids of engines that were tried.
	Exclude []string
	// Zone is preferred among engines that are equally busy.
	Zone string
	// Affinity is a key whose work prefers the same engine, such as a shared prompt; empty for none.
	Affinity string
	// Share is the part of an engine's slots that this node fills, 0 for no bound.
	Share float64
}

// slowFactor is how many times the median pace makes an engine slow.
const slowFactor = 1.8

// Pick chooses an engine for a piece of work: those that may run it, of these the ones with room, of these the best score.
// It returns false if none has room.
func Pick(candidates []Candidate, want Want) (Candidate, bool) {
	usable := slices.DeleteFunc(slices.Clone(candidates), func(c Candidate) bool { return !mayRun(c, want) })
	typical := medianPace(usable)
	usable = slices.DeleteFunc(usable, func(c Candidate) bool { return !hasRoom(c, want) })
	if len(usable) == 0 {
		return Candidate{}, false
	}
	best := slices.MinFunc(usable, func(a, b Candidate) int {
		switch first, second := cost(a, want, typical), cost(b, want, typical); {
		case first < second:
			return -1
		case first > second:
			return 1
		default:
			return compareText(a.Engine.ID, b.Engine.ID)
		}
	})
	return best, true
}

func mayRun(candidate Candidate, want Want) bool {
	engine := candidate.Engine
	if engine.Pool != want.Pool || engine.Draining || candidate.Loading || slices.Contains(want.Exclude, engine.ID) {
		return false
	}
	if want.Model == "" {
		return true
	}
	version := engine.Serves(want.Model)
	if want.ExactVersion != 0 {
		return version == want.ExactVersion
	}
	return version >= want.MinVersion
}

func hasRoom(candidate Candidate, want Want) bool {
	if want.Share <= 0 {
		return true
	}
	return float64(candidate.InFlight) < max(1, want.Share*float64(candidate.Engine.Slots))
}

// Parts of the cost, in units of a full engine.
const (
	avoidedCost  = 100
	slowCost     = 10
	zoneCost     = 0.05
	affinityCost = 0.2
	spreadCost   = 0.04
)

// cost is lower for better engines: the filled part of the slots, plus what speaks against the engine.
func cost(candidate Candidate, want Want, typicalPace time.Duration) float64 {
	engine := candidate.Engine
	total := float64(candidate.InFlight) / float64(max(1, engine.Slots))
	if candidate.Avoided {
		total += avoidedCost
	}
	if typicalPace > 0 && float64(candidate.Pace) > slowFactor*float64(typicalPace) {
		total += slowCost
	}
	if engine.Zone != want.Zone {
		total += zoneCost
	}
	if want.Affinity != "" {
		total += affinityCost * unitHash(want.Affinity, engine.ID)
	} else {
		total += spreadCost * unitHash(want.Zone, engine.ID)
	}
	return total
}

func medianPace(candidates []Candidate) time.Duration {
	var paces []time.Duration
	for _, candidate := range candidates {
		if candidate.Pace > 0 {
			paces = append(paces, candidate.Pace)
		}
	}
	if len(paces) == 0 {
		return 0
	}
	slices.Sort(paces)
	return paces[(len(paces)-1)/2]
}

var hashSeed = maphash.MakeSeed()

// unitHash maps a pair of texts to a number from 0 to 1 that is the same throughout the process.
func unitHash(key, id string) float64 {
	var hash maphash.Hash
	hash.SetSeed(hashSeed)
	_, _ = hash.WriteString(key)
	_ = hash.WriteByte(0)
	_, _ = hash.WriteString(id)
	return float64(hash.Sum64()>>11) / (1 << 53)
}
