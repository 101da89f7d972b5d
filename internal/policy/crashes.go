package policy

import "time"

// Crashes summarizes the engines that terminated while running work of one content, since such work was last answered.
type Crashes struct {
	// Engines is the number of engines that terminated. An engine that started again and terminated again counts twice.
	Engines int
	// Trials is the number of trials granted since.
	Trials int
	// Last is when the last engine terminated or the last trial was granted. LastEnd is when the last engine terminated.
	Last    time.Time
	LastEnd time.Time
}

// CrashClass says how work is treated under which engines terminated.
type CrashClass int

// Classes of work.
const (
	// CrashRequest is a caller's request. It may crash each engine that begins to run it, and its caller may send it again
	// without end.
	CrashRequest CrashClass = iota
	// CrashScore is a call that scores the text of an item: a request like any other to its engine, so that its trials are
	// limited as well, but one that an item waits for.
	CrashScore
	// CrashItem is an item of a job. It is owed to its caller, whatever terminated under it, and never crashes engines by
	// itself.
	CrashItem
)

const (
	// RequestCrashLimit is the number of engines that may terminate under a request before the request is withheld. A
	// single termination is most likely a coincidence, and callers are promised a retry; a pool of three keeps one
	// engine through two.
	RequestCrashLimit = 2
	// ItemCrashLimit is the number of engines that may terminate under an item before it pauses, and under the call that
	// scores it before that is withheld. Both run concurrently with as many others as an engine has slots. In a pool of
	// three, an item that shares an engine with a request that crashes two engines has a probability of one half to be
	// retried beside that request and to see the second crash too. With a limit one higher it is not mistaken for the
	// cause, and its step does not wait for its trial.
	ItemCrashLimit = 3
	// CrashMemory is the time for which crashes count after the last one. After a day the cause has most likely been
	// fixed.
	CrashMemory = 24 * time.Hour
)

// requestTrialDelays and scoreTrialDelays hold the delay of withheld work before each of its trials. The first trial clears
// work that met its crashes by chance, at the cost of one more engine if it is the cause: crashed engines are back after
// about 3 s. After the last trial the work is withheld until the crashes expire. Callers' platforms allow three sends after
// the third crash; two trials leave one for a send that crosses the update. The step of an item can wait some seconds for
// its score, so that the second trial of a score comes soon; its delay differs from the first, since crashes that come again
// at regular times could meet both.
var (
	requestTrialDelays = []time.Duration{3 * time.Second, 10 * time.Minute}
	scoreTrialDelays   = []time.Duration{3 * time.Second, 4500 * time.Millisecond}
)

// itemPauses holds the pause of an item after ItemCrashLimit terminations and after each further one; the last holds for all
// that follow. The trainer's step waits for the item, and a platform expects each item at an engine within 5 s.
var itemPauses = []time.Duration{time.Second, 2 * time.Second, 3 * time.Second}

// TrialDuration is the usual upper bound for the duration of a trial; a complete response takes a fraction of it.
// Requests that are refused during a trial are told to retry after it.
const TrialDuration = 2 * time.Second

// Limit returns the number of engines that may terminate under work of the class before it is withheld or pauses.
func (c CrashClass) Limit() int {
	if c == CrashRequest {
		return RequestCrashLimit
	}
	return ItemCrashLimit
}

func (c CrashClass) trialDelays() []time.Duration {
	if c == CrashRequest {
		return requestTrialDelays
	}
	return scoreTrialDelays
}

// Access is the decision whether work may be sent to an engine.
type Access int

const (
	// AccessAllowed allows sending.
	AccessAllowed Access = iota
	// AccessAlone allows sending to one engine at a time, if possible to one that runs nothing else.
	AccessAlone
	// AccessTrial allows sending to one engine, by a single sender.
	AccessTrial
	// AccessPaused allows sending after a short pause.
	AccessPaused
	// AccessWithheld withholds the work.
	AccessWithheld
)

// Access reports whether work under which engines terminated may be sent, and if it pauses or is withheld, for how long.
func (c Crashes) Access(class CrashClass, now time.Time) (Access, time.Duration) {
	switch {
	case c.Engines < class.Limit() || now.Sub(c.Last) >= CrashMemory:
		return AccessAllowed, 0
	case class == CrashItem:
		return c.itemAccess(now)
	default:
		return c.trialAccess(class.trialDelays(), now)
	}
}

// itemAccess decides on an item that has reached its limit: it is sent again, however many engines terminated.
func (c Crashes) itemAccess(now time.Time) (Access, time.Duration) {
	pause := itemPauses[min(c.Engines-ItemCrashLimit, len(itemPauses)-1)]
	if since := now.Sub(c.LastEnd); since < pause {
		return AccessPaused, pause - since
	}
	return AccessAlone, 0
}

// trialAccess decides on work that has reached its limit and gets one trial after each of the delays.
func (c Crashes) trialAccess(delays []time.Duration, now time.Time) (Access, time.Duration) {
	since := now.Sub(c.Last)
	switch {
	case c.Trials > 0 && since < TrialDuration:
		return AccessWithheld, TrialDuration - since
	case c.Trials >= len(delays):
		return AccessWithheld, CrashMemory - since
	case since < delays[c.Trials]:
		return AccessWithheld, delays[c.Trials] - since
	default:
		return AccessTrial, 0
	}
}
