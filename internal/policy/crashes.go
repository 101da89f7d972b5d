package policy

import "time"

// Crashes summarizes the engines that terminated while running requests of one content, since such a request was last
// answered.
type Crashes struct {
	// Engines is the number of engines that terminated. An engine that started again and terminated again counts twice.
	Engines int
	// Trials is the number of trials granted since.
	Trials int
	// Last is when the last engine terminated or the last trial was granted.
	Last time.Time
}

const (
	// RequestCrashLimit is the number of engines that may terminate under a request before the request is withheld. A
	// single termination is most likely a coincidence, and callers are promised a retry; a pool of three keeps one
	// engine through two.
	RequestCrashLimit = 2
	// ItemCrashLimit is the same limit for items of jobs and the calls that score them, which run concurrently with as
	// many others as an engine has slots. In a pool of three, an item that shares an engine with a request that crashes
	// two engines has a probability of one half to be retried beside that request and to see the second crash too. With
	// a limit one higher it is not mistaken for the cause, and its step does not wait for its trial.
	ItemCrashLimit = 3
	// CrashMemory is the time for which crashes count after the last one. After a day the cause has most likely been
	// fixed.
	CrashMemory = 24 * time.Hour
)

// trialDelays holds the delay of a withheld request before each of its trials. The first trial clears a request that met
// its crashes by chance, at the cost of one more engine if it is the cause: crashed engines are back after about 3 s,
// and a step can wait about 7 s. After the last trial the request is withheld until the crashes expire. Callers'
// platforms allow three sends after the third crash; two trials leave one for a send that crosses the update.
var trialDelays = []time.Duration{3 * time.Second, 10 * time.Minute}

// TrialDuration is the usual upper bound for the duration of a trial; a complete response takes a fraction of it.
// Requests that are refused during a trial are told to retry after it.
const TrialDuration = 2 * time.Second

// Access is the decision whether a request may be sent to an engine.
type Access int

const (
	// AccessAllowed allows sending.
	AccessAllowed Access = iota
	// AccessTrial allows sending to one engine, by a single sender.
	AccessTrial
	// AccessWithheld withholds the request.
	AccessWithheld
)

// Access reports whether a request under which engines terminated may be sent, and if it is withheld, for how long. The
// argument strikes is the number of terminations from which requests are withheld.
func (c Crashes) Access(strikes int, now time.Time) (Access, time.Duration) {
	since := now.Sub(c.Last)
	switch {
	case c.Engines < strikes || since >= CrashMemory:
		return AccessAllowed, 0
	case c.Trials > 0 && since < TrialDuration:
		return AccessWithheld, TrialDuration - since
	case c.Trials >= len(trialDelays):
		return AccessWithheld, CrashMemory - since
	case since < trialDelays[c.Trials]:
		return AccessWithheld, trialDelays[c.Trials] - since
	default:
		return AccessTrial, 0
	}
}
