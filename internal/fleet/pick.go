package fleet

import (
	"hash/maphash"
	"slices"
	"time"

	"github.com/hillfork/hillfork/internal/policy"
)

// Candidate is the state of an engine at the time of a placement.
type Candidate struct {
	Engine Engine
	// AssignedModel is the model that the engine is assigned to, empty if it is not known.
	AssignedModel string
	InFlight      int
	// PeerHeld is the number of slots that other processes report to hold there.
	PeerHeld int
	// OtherRegion means that the engine is in another region than the preferred zone of the work.
	OtherRegion bool
	// Avoided means that the engine failed recently.
	Avoided bool
	// Ejected means that its circuit breaker is open, so that nothing is sent there; Trial means that the breaker lets
	// one piece of work through.
	Ejected bool
	Trial   bool
	// Loading means that it currently begins no request of the wanted model.
	Loading bool
	// ColdLimited means that it is cold and currently takes none of the work.
	ColdLimited bool
	// Cold means that the engine is cold and its pool limits the work of cold engines.
	Cold bool
	// IdleConnections is the number of idle connections that this process holds to the engine. It is a uint16 to keep Candidate
	// small, since a choice copies thousands of them.
	IdleConnections uint16
	// Forecast is its expected pace; Latency is the smoothed latency of complete responses.
	Forecast policy.Forecast
	Latency  time.Duration
}

// Want describes the requirements of a piece of work.
type Want struct {
	Pool string
	// Model and MinVersion restrict the weights; an empty model allows any engine.
	Model      string
	MinVersion int64
	// ExactVersion, if not 0, allows only this version.
	ExactVersion int64
	// Regions are the regions whose engines may run the work, nil for all. An engine of an unknown region runs no work
	// with allowed regions.
	Regions []string
	// Exclude holds the IDs of engines that were tried.
	Exclude []string
	// Zone is preferred among engines that are equally busy.
	Zone string
	// Affinity is a key whose work prefers the same engine, such as a shared prompt; empty for none.
	Affinity string
	// Share is the part of an engine's slots that this node may fill, 0 for no limit.
	Share float64
	// Events is the expected number of events of the work, 0 if not known. Since is when the work began to wait, zero if
	// it takes any engine at once.
	Events float64
	Since  time.Time
	// Slack is how long the work may take from now on without delaying the step that it belongs to, 0 if there is no
	// slack or it is not known.
	Slack time.Duration
	// OwnOnly excludes engines that are assigned to other models.
	OwnOnly bool
	// NoTrial means that the work should not be the trial of an ejected engine, such as work that can't be repeated.
	NoTrial bool
	// HealthyOnly excludes engines that failed recently, for work that already runs at another engine.
	HealthyOnly bool
	// Alone means that an engine that runs nothing else is preferred.
	Alone bool
	// probing means that the work ignores the slots that other processes report to hold.
	probing bool
}

// allows reports whether engines of a region may run the work.
func (w Want) allows(region string) bool {
	return w.Regions == nil || region != "" && slices.Contains(w.Regions, region)
}

// slowFactor is the multiple of the median pace from which an engine counts as slow for work without an expected number
// of events.
const slowFactor = 1.8

// Pick chooses an engine for a piece of work: of the engines that may run it and have a free slot, the one with the
// lowest cost. It returns false if there is none, or if the work should wait for a faster one.
func Pick(candidates []Candidate, want Want, now time.Time) (Candidate, bool) {
	index, _, ok := choose(candidates, newCandidateStats(candidates, want), want, now)
	if !ok {
		return Candidate{}, false
	}
	return candidates[index], true
}

// candidateStats summarizes the engines that may run a piece of work, full or not.
type candidateStats struct {
	// fastest and typical are usual paces, 0 if none is known.
	fastest time.Duration
	typical time.Duration
	// hasOwn means that one of them is assigned to the model of the work or to none.
	hasOwn bool
	// ignoreEjections means that so many of them are ejected that ejections only add to the cost.
	ignoreEjections bool
}

// newCandidateStats summarizes the engines that may run a piece of work. The paces of engines that failed recently don't
// count, and those of engines of other models only where there is no engine of its own model.
func newCandidateStats(candidates []Candidate, want Want) candidateStats {
	var stats candidateStats
	var ownPaces, otherPaces []time.Duration
	stats.ignoreEjections = ignoreEjections(candidates, want)
	for _, candidate := range candidates {
		if !mayRun(candidate, want) || blocked(candidate, stats) {
			continue
		}
		isForeign := foreign(candidate, want)
		stats.hasOwn = stats.hasOwn || !isForeign
		switch {
		case !candidate.Forecast.Known() || candidate.Avoided || candidate.Ejected:
		case isForeign:
			otherPaces = append(otherPaces, candidate.Forecast.Usual)
		default:
			ownPaces = append(ownPaces, candidate.Forecast.Usual)
		}
	}
	if !stats.hasOwn {
		ownPaces = otherPaces
	}
	if len(ownPaces) > 0 {
		slices.Sort(ownPaces)
		stats.fastest, stats.typical = ownPaces[0], ownPaces[(len(ownPaces)-1)/2]
	}
	return stats
}

// ignoreEjections reports whether so many of the engines fit for the work are ejected that it ignores ejections. Engines
// that load or that were tried count as fit: they take work again sooner than the ejected ones. While any engine works,
// full or not, the failures have no common cause: without this check, items that found the working engines full were
// sent to unreachable engines 1,600 times in 4 s of a test.
func ignoreEjections(candidates []Candidate, want Want) bool {
	ejected, fit := 0, 0
	working := false
	for _, candidate := range candidates {
		if !fits(candidate.Engine, want) {
			continue
		}
		fit++
		if candidate.Ejected {
			ejected++
		} else {
			working = working || !candidate.Trial && !candidate.Avoided && mayRun(candidate, want)
		}
	}
	return !working && policy.IgnoreEjections(ejected, fit)
}

// blocked reports whether an engine takes none of the work because it is ejected. It is not a last resort where all
// others are full: an unreachable engine always has free slots, and would fail the same work again and again.
func blocked(candidate Candidate, stats candidateStats) bool {
	return candidate.Ejected && !stats.ignoreEjections
}

// foreign reports whether an engine is assigned to another model than that of the work. Its slots are most likely held
// by work that this node does not know of.
func foreign(candidate Candidate, want Want) bool {
	return want.Model != "" && candidate.AssignedModel != "" && candidate.AssignedModel != want.Model
}

const (
	// foreignDelay is how long work waits for an engine of its own model before it takes one of another model. By then
	// the bursts of models whose steps were requested at the same time are over, or this model's burst is much the
	// longest.
	foreignDelay = time.Second
	// foreignShare is the part of such an engine's slots that this node fills.
	foreignShare = 0.34
)

// modelAllows reports whether an engine takes the work now, considering its assigned model only. Where no engine of its
// own model may run the work, any engine takes it.
func modelAllows(candidate Candidate, stats candidateStats, want Want, now time.Time) bool {
	if !foreign(candidate, want) {
		return true
	}
	if !foreignAllowed(stats, want, now) {
		return false
	}
	limit := max(1, foreignShare*float64(candidate.Engine.Slots))
	return !stats.hasOwn || float64(candidate.InFlight) < limit
}

// foreignAllowed reports whether any engine of another model takes the work now.
func foreignAllowed(stats candidateStats, want Want, now time.Time) bool {
	if want.OwnOnly {
		return false
	}
	return !stats.hasOwn || !want.Since.IsZero() && now.Sub(want.Since) >= foreignDelay
}

// choose returns the index of the best candidate and its cost, false if there is none. Where other processes hold the
// slots of a working engine, the work waits for it rather than go to one that failed recently, because a failing engine
// always has free slots. Without that wait, 627 requests in a second broke off at one engine.
func choose(candidates []Candidate, stats candidateStats, want Want, now time.Time) (best int, bestCost float64, ok bool) {
	best = -1
	heldByPeers := false
	for i, candidate := range candidates {
		if !withinShare(candidate.InFlight, candidate, want) || !mayRun(candidate, want) ||
			blocked(candidate, stats) || !modelAllows(candidate, stats, want, now) {
			continue
		}
		if !hasFreeSlot(candidate, want) {
			heldByPeers = heldByPeers || !candidate.Avoided
			continue
		}
		delay := policy.Delay(want.Events, candidate.Forecast, stats.fastest, want.Slack)
		if policy.KeepsWaiting(now.Sub(want.Since), delay) {
			continue
		}
		total := cost(candidate, want, stats.typical) + delay.Seconds()
		if best < 0 || isBetter(candidate, total, candidates[best], bestCost) {
			best, bestCost = i, total
		}
	}
	return best, bestCost, best >= 0 && !(heldByPeers && candidates[best].Avoided)
}

// isBetter reports whether a candidate with a cost is preferred to another; equal costs are ordered by ID.
func isBetter(candidate Candidate, cost float64, other Candidate, otherCost float64) bool {
	return cost < otherCost || cost == otherCost && candidate.Engine.ID < other.Engine.ID
}

func mayRun(candidate Candidate, want Want) bool {
	return !candidate.Loading && !candidate.ColdLimited && fits(candidate.Engine, want) && !slices.Contains(want.Exclude, candidate.Engine.ID) &&
		!(want.HealthyOnly && (candidate.Avoided || candidate.Trial))
}

// fits reports whether an engine's own record allows the work.
func fits(engine Engine, want Want) bool {
	if engine.Pool != want.Pool || engine.Draining || !want.allows(engine.Region) {
		return false
	}
	if want.Model == "" {
		return true
	}
	version := engine.ServedVersion(want.Model)
	if want.ExactVersion != 0 {
		return version == want.ExactVersion
	}
	return version >= want.MinVersion
}

// hasFreeSlot reports whether an engine has a slot for the work besides those held by this process and, unless the work
// probes, by others.
func hasFreeSlot(candidate Candidate, want Want) bool {
	busy := candidate.InFlight
	if !want.probing {
		busy += candidate.PeerHeld
	}
	return withinShare(busy, candidate, want)
}

// withinShare reports whether a further piece of work fits besides the busy slots.
func withinShare(busy int, candidate Candidate, want Want) bool {
	return want.Share <= 0 || float64(busy) < max(1, want.Share*float64(candidate.Engine.Slots))
}

// Weights of the cost, in units of a full engine, which equals one second: a delay of the work by one second costs as
// much. regionCost is used instead of zoneCost for engines of other regions: the transit time is 20 ms instead of 1.4 ms, and
// traffic between regions is expensive. It is less than the cost of two of eight slots, so that the load of the regions stays
// about even.
const (
	avoidedCost  = 100
	coldCost     = 50
	slowCost     = 10
	sharedCost   = 5
	zoneCost     = 0.05
	regionCost   = 0.15
	affinityCost = 0.2
	// spreadCost makes processes differ in their choice among equal engines. connectionCost is the cost of opening a connection.
	// It exceeds spreadCost. Their sum is less than zoneCost, and less than the cost of a slot of engines with up to 20 slots, so
	// that the load stays even.
	spreadCost     = 0.015
	connectionCost = 0.03
)

// cost returns the cost of an engine, lower for better ones: the used part of the slots, plus penalties.
func cost(candidate Candidate, want Want, typicalPace time.Duration) float64 {
	engine := candidate.Engine
	total := float64(candidate.InFlight+candidate.PeerHeld) / float64(max(1, engine.Slots))
	if candidate.Avoided || candidate.Ejected {
		total += avoidedCost
	}
	if want.Alone && candidate.InFlight+candidate.PeerHeld > 0 {
		total += sharedCost
	}
	if candidate.Cold && want.Model == "" {
		// Single requests use cold engines only where no other engine may serve them.
		total += coldCost
	}
	if want.Events == 0 && typicalPace > 0 && float64(candidate.Forecast.Current) > slowFactor*float64(typicalPace) {
		total += slowCost
	}
	switch {
	case candidate.OtherRegion:
		total += regionCost
	case engine.Zone != want.Zone:
		total += zoneCost
	}
	if candidate.IdleConnections == 0 {
		total += connectionCost
	}
	if want.Affinity != "" {
		total += affinityCost * unitHash(want.Affinity, engine.ID)
	} else {
		total += spreadCost * unitHash(want.Zone, engine.ID)
	}
	return total
}

var hashSeed = maphash.MakeSeed()

// unitHash maps a pair of strings to a number from 0 to 1 that is the same throughout the process.
func unitHash(key, id string) float64 {
	var hash maphash.Hash
	hash.SetSeed(hashSeed)
	_, _ = hash.WriteString(key)
	_ = hash.WriteByte(0)
	_, _ = hash.WriteString(id)
	return float64(hash.Sum64()>>11) / (1 << 53)
}
