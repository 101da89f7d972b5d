package quarantine

import (
	"context"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/hillfork/hillfork/internal/engineapi"
	"github.com/hillfork/hillfork/internal/errorlog"
	"github.com/hillfork/hillfork/internal/keyedlog"
	"github.com/hillfork/hillfork/internal/policy"
)

// claimTimeout limits the duration of a claim to a trial; a caller waits for it.
const claimTimeout = 300 * time.Millisecond

// Standing is the state of a request with regard to the quarantine.
type Standing int

// Standings of a request.
const (
	// Clear means that no engine is known to have ended while it ran the request.
	Clear Standing = iota
	// Suspect means that an engine has ended, or may have ended, while it ran the request: the request must be sent to one
	// engine at a time.
	Suspect
	// Paused means that the request must not be sent before a short pause has passed.
	Paused
	// Withheld means that the request must not be sent.
	Withheld
)

var standingNames = [...]string{"clear", "suspect", "paused", "withheld"}

// String returns the name used in logs.
func (s Standing) String() string {
	return standingNames[s]
}

// Admission is the decision whether a call may be sent.
type Admission struct {
	Standing Standing
	// Wait is how long a call that is paused or withheld must wait.
	Wait time.Duration
	// Alone reports that the call should be sent to an engine that runs nothing else.
	Alone bool
}

// MaySend reports whether the call may be sent.
func (a Admission) MaySend() bool {
	return a.Standing < Paused
}

// Admit decides whether a call may be sent. A call that is admitted as a trial must be sent to one engine only.
func (q *Quarantine) Admit(ctx context.Context, call engineapi.Call, class policy.CrashClass) Admission {
	if q == nil || q.Contents() == 0 {
		return Admission{}
	}
	content := ContentOf(call)
	if class == policy.CrashItem {
		return q.startItem(content, call.RequestID)
	}
	crashes := q.crashes(content)
	access, wait := crashes.Access(class, time.Now())
	switch {
	case access == policy.AccessAllowed:
		return Admission{Standing: standingOf(crashes, class)}
	case q.takeTrial(content):
		return Admission{Standing: Suspect}
	case access == policy.AccessTrial && q.claim(ctx, content, crashes.Trials+1, call.RequestID):
		return Admission{Standing: Suspect}
	case access == policy.AccessTrial:
		// Another call makes the trial, or it can't be claimed while the store is unavailable.
		wait = policy.TrialDuration
	}
	return Admission{Standing: Withheld, Wait: wait}
}

// standings holds the standing of a request under which engines have ended, by what is allowed.
var standings = map[policy.Access]Standing{
	policy.AccessAllowed: Suspect, policy.AccessAlone: Suspect, policy.AccessPaused: Paused,
	// Only the machine whose claim is the first in the log makes a trial.
	policy.AccessTrial: Withheld, policy.AccessWithheld: Withheld,
}

func standingOf(crashes policy.Crashes, class policy.CrashClass) Standing {
	if crashes.Engines == 0 {
		return Clear
	}
	access, _ := crashes.Access(class, time.Now())
	return standings[access]
}

// claim claims a trial, and reports whether this claim is the first in the log. Only one call of a content claims a trial at
// a time. A claim whose append got no answer may still be the first; the next call then makes the trial.
func (q *Quarantine) claim(ctx context.Context, content Content, trial int, requestID string) bool {
	if !q.beginClaim(content) {
		return false
	}
	defer q.endClaim(content)
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	key := eventKey{content: content, trial: trial, claim: q.config.Machine + "#" + strconv.FormatUint(rand.Uint64(), 36)}
	q.addOwnClaim(key)
	appended, err := q.writer.producer.Append(ctx, keyedlog.Crashes, []keyedlog.Record{q.record(key)})
	if err == nil {
		err = q.follower.WaitUntil(ctx, appended.Offset+1)
	}
	won := err == nil && q.takeTrial(content)
	q.config.Logger.Info("trial of a withheld request", "request", requestID, "content", content, "trial", trial, "won", won)
	if err != nil {
		errorlog.Warn(q.config.Logger, "trial not claimed", err, "content", content)
	}
	return won
}

func (q *Quarantine) beginClaim(content Content) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if q.claims[content] {
		return false
	}
	q.claims[content] = true
	return true
}

func (q *Quarantine) endClaim(content Content) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	delete(q.claims, content)
}

// addOwnClaim records a claim as made by this process.
func (q *Quarantine) addOwnClaim(key eventKey) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if known, ok := q.histories[key.content]; ok {
		known.ownClaims[key.claim] = true
	}
}

// takeTrial reports whether the last trial of a content belongs to this process and has not been made yet, and marks it as
// made.
func (q *Quarantine) takeTrial(content Content) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	known, ok := q.histories[content]
	return ok && known.startTrial()
}

// ReportNotRun reports that an admitted call was not run by any engine: if the call was a trial, the trial has not been made.
func (q *Quarantine) ReportNotRun(call engineapi.Call) {
	if q == nil || q.Contents() == 0 {
		return
	}
	content := ContentOf(call)
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if known, ok := q.histories[content]; ok {
		known.returnTrial()
	}
}
