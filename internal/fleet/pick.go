package fleet

import (
	"hash/maphash"
	"slices"
	"time"

	"github.com/hillfork/hillfork/internal/policy"
)

// Candidate is an engine as it stands when work is to be placed.
type Candidate struct {
	Engine Engine
	// Dealt is the model that the engine is kept up to date for, empty if that is not known.
	Dealt    string
	InFlight int
	// Elsewhere is how many places other processes report to hold there.
	Elsewhere int
	// Avoided says that the engine failed lately.
	Avoided bool
	// Ejected says that its circuit breaker is open, so that nothing is sent there; Trial that the breaker lets one piece of work through.
	Ejected bool
	Trial   bool
	// Loading says that it begins no request of the wanted model now.
	Loading bool
	// Spared says that it is cold and takes none of the work now.
	Spared bool
	// Outlook is what is to be expected of its pace; Latency the smoothed time of whole answers.
	Outlook policy.Outlook
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
	// Regions are those whose engines may run the work, nil for all. An engine of an unknown region runs none that is bound to some.
	Regions []string
	// Exclude holds ids of engines that were tried.
	Exclude []string
	// Zone is preferred among engines that are equally busy.
	Zone string
	// Affinity is a key whose work prefers the same engine, such as a shared prompt; empty for none.
	Affinity string
	// Share is the part of an engine's slots that this node fills, 0 for no bound.
	Share float64
	// Events is how many events are expected of the work, 0 if that is not known; Since is when it began to wait, zero if it
	// takes any engine at once.
	Events float64
	Since  time.Time
	// Slack is how long the work may take from now on without holding what it is a part of, 0 if it has none or that is not known.
	Slack time.Duration
	// OwnOnly leaves out engines that are kept up to date for other models.
	OwnOnly bool
	// NoTrial says that the work should not be the trial of an ejected engine, such as work that can't be repeated.
	NoTrial bool
	// probing says that the work ignores the places that other processes report to hold.
	probing bool
}

// allows tells whether engines of a region may run the work.
func (w Want) allows(region string) bool {
	return w.Regions == nil || region != "" && slices.Contains(w.Regions, region)
}

// slowFactor is how many times the median pace makes an engine slow for work of which no number of events is expected.
const slowFactor = 1.8

// Pick chooses an engine for a piece of work: those that may run it, of these the ones with room, of these the best score.
// It returns false if none has room, or if the work had better wait for a quicker one.
func Pick(candidates []Candidate, want Want, now time.Time) (Candidate, bool) {
	place, _, ok := choose(candidates, newSurvey(candidates, want), want, now)
	if !ok {
		return Candidate{}, false
	}
	return candidates[place], true
}

// survey is what the engines that may run a piece of work have in common, full or not.
type survey struct {
	// quickest and typical are usual paces, 0 if none is known.
	quickest time.Duration
	typical  time.Duration
	// own says that one of them is kept up to date for the model of the work.
	own bool
	// panicking says that so many of them are ejected that ejections only add to the cost.
	panicking bool
}

// newSurvey looks at the engines that may run a piece of work. The paces of those that failed lately count for nobody,
// those of engines of other models only where there is none of its own.
func newSurvey(candidates []Candidate, want Want) survey {
	var found survey
	var known, others []time.Duration
	found.panicking = panicking(candidates, want)
	for _, candidate := range candidates {
		if !mayRun(candidate, want) || barred(candidate, found) {
			continue
		}
		isForeign := foreign(candidate, want)
		found.own = found.own || !isForeign
		switch {
		case !candidate.Outlook.Known() || candidate.Avoided || candidate.Ejected:
		case isForeign:
			others = append(others, candidate.Outlook.Usual)
		default:
			known = append(known, candidate.Outlook.Usual)
		}
	}
	if !found.own {
		known = others
	}
	if len(known) > 0 {
		slices.Sort(known)
		found.quickest, found.typical = known[0], known[(len(known)-1)/2]
	}
	return found
}

// panicking tells whether so many of the engines fit for the work are ejected that it ignores ejections. Engines that load or that were
// tried count as fit: they take work again sooner than the ejected ones. While any engine does the work, full or not, what fails is not what
// all have in common: without that, items that found it full were sent to gone engines 1,600 times in 4 s of a test.
func panicking(candidates []Candidate, want Want) bool {
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

// barred tells whether an engine takes none of the work since it is ejected. It is not a last resort where all others are full: an engine
// that is gone always has room, and would fail the same work again and again.
func barred(candidate Candidate, known survey) bool {
	return candidate.Ejected && !known.panicking
}

// foreign tells whether an engine is kept up to date for another model than that of the work. Its places are most likely taken by
// work of which this node knows nothing.
func foreign(candidate Candidate, want Want) bool {
	return want.Model != "" && candidate.Dealt != "" && candidate.Dealt != want.Model
}

const (
	// foreignAfter is how long work waits for an engine of its own model before it takes one of another model: the bursts of
	// models that were asked together are over by then, or this one's is much the longer.
	foreignAfter = time.Second
	// foreignShare is the part of such an engine's places that this node fills.
	foreignShare = 0.34
)

// open tells whether an engine takes the work now as far as its model goes. Where no engine of its own model may run the work, it
// goes to any.
func open(candidate Candidate, known survey, want Want, now time.Time) bool {
	if !foreign(candidate, want) {
		return true
	}
	if !foreignOpen(known, want, now) {
		return false
	}
	places := max(1, foreignShare*float64(candidate.Engine.Slots))
	return !known.own || float64(candidate.InFlight) < places
}

// foreignOpen tells whether any engine of another model takes the work now.
func foreignOpen(known survey, want Want, now time.Time) bool {
	if want.OwnOnly {
		return false
	}
	return !known.own || !want.Since.IsZero() && now.Sub(want.Since) >= foreignAfter
}

// choose returns the index of the best candidate and its cost, false if there is none. Where other processes hold the places of an engine
// that works, the work waits for it rather than go to one that failed lately: a failing engine has room all the time. Without that wait,
// 627 requests in a second break off at one engine.
func choose(candidates []Candidate, known survey, want Want, now time.Time) (best int, bestCost float64, ok bool) {
	best = -1
	held := false
	for i, candidate := range candidates {
		if !hasPlace(candidate.InFlight, candidate, want) || !mayRun(candidate, want) ||
			barred(candidate, known) || !open(candidate, known, want, now) {
			continue
		}
		if !hasRoom(candidate, want) {
			held = held || !candidate.Avoided
			continue
		}
		delay := policy.Delay(want.Events, candidate.Outlook, known.quickest, want.Slack)
		if policy.Declines(now.Sub(want.Since), delay) {
			continue
		}
		total := cost(candidate, want, known.typical) + delay.Seconds()
		if best < 0 || better(candidate, total, candidates[best], bestCost) {
			best, bestCost = i, total
		}
	}
	return best, bestCost, best >= 0 && !(held && candidates[best].Avoided)
}

// better tells whether a candidate of a cost goes before another; equals go by their ids.
func better(candidate Candidate, cost float64, other Candidate, otherCost float64) bool {
	return cost < otherCost || cost == otherCost && candidate.Engine.ID < other.Engine.ID
}

func mayRun(candidate Candidate, want Want) bool {
	return !candidate.Loading && !candidate.Spared && fits(candidate.Engine, want) && !slices.Contains(want.Exclude, candidate.Engine.ID)
}

// fits tells whether an engine's own record allows the work.
func fits(engine Engine, want Want) bool {
	if engine.Pool != want.Pool || engine.Draining || !want.allows(engine.Region) {
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

// hasRoom tells whether an engine has a place for the work beside that of this process and, unless the work probes, of others.
func hasRoom(candidate Candidate, want Want) bool {
	busy := candidate.InFlight
	if !want.probing {
		busy += candidate.Elsewhere
	}
	return hasPlace(busy, candidate, want)
}

// hasPlace tells whether a further piece of work fits beside busy others.
func hasPlace(busy int, candidate Candidate, want Want) bool {
	return want.Share <= 0 || float64(busy) < max(1, want.Share*float64(candidate.Engine.Slots))
}

// Parts of the cost, in units of a full engine. That is a second: a second's delay of the work weighs as much.
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
	total := float64(candidate.InFlight+candidate.Elsewhere) / float64(max(1, engine.Slots))
	if candidate.Avoided || candidate.Ejected {
		total += avoidedCost
	}
	if want.Events == 0 && typicalPace > 0 && float64(candidate.Outlook.Now) > slowFactor*float64(typicalPace) {
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
