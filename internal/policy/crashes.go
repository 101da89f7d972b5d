package policy

import "time"

// Crashes is what is known of requests of one content under which engines ended, since one of them was last answered.
type Crashes struct {
	// Engines counts the engines that ended.
	Engines int
	// Trials counts the trials that were given since.
	Trials int
	// Last is when the last engine ended or the last trial was given.
	Last time.Time
}

const (
	// RequestStrikes is how many engines may end under a request before it is withheld. One end alone is most likely a coincidence
	// and a repeat what callers are promised; a small pool of three keeps an engine through two.
	RequestStrikes = 2
	// ItemStrikes is the same for items of jobs and the calls that score them, which run beside as many others as an engine has places.
	// Whoever shares an engine with a request that crashes two has a chance of a half, in a pool of three, to be repeated beside it
	// and meet the second end too; with one more he is not taken for it, and a step does not wait for his trial.
	ItemStrikes = 3
	// CrashMemory is how long an end counts: a day after the last one, whatever crashed engines has most likely been mended.
	CrashMemory = 24 * time.Hour
)

// trialHolds is how long a withheld request waits for each of its trials. The first one clears a request that met its ends by chance, at
// the cost of one more engine if it was no chance: engines that crash are back after some 3 s, and what a step waits for has 7 s or so.
// After the last one it is withheld until the ends are forgotten. Callers' platforms allow three sends after the third end; two leave one
// for a send that crosses the news.
var trialHolds = []time.Duration{3 * time.Second, 10 * time.Minute}

// TrialLasts is how long a trial takes at most, as a rule: a whole answer takes a fraction of it. Whoever is refused meanwhile is told to come
// again after it.
const TrialLasts = 2 * time.Second

// Access says whether a request may be sent to an engine.
type Access int

// Answers to whether a request may be sent.
const (
	// AccessFree lets it be sent.
	AccessFree Access = iota
	// AccessTrial lets it be sent to one engine, by one sender of all.
	AccessTrial
	// AccessHeld withholds it.
	AccessHeld
)

// Access tells whether a request under which engines ended may be sent, and if it is withheld, for how long. Strikes is how many ends
// it takes.
func (c Crashes) Access(strikes int, now time.Time) (Access, time.Duration) {
	since := now.Sub(c.Last)
	switch {
	case c.Engines < strikes || since >= CrashMemory:
		return AccessFree, 0
	case c.Trials > 0 && since < TrialLasts:
		return AccessHeld, TrialLasts - since
	case c.Trials >= len(trialHolds):
		return AccessHeld, CrashMemory - since
	case since < trialHolds[c.Trials]:
		return AccessHeld, trialHolds[c.Trials] - since
	default:
		return AccessTrial, 0
	}
}
