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

// claimTimeout bounds a claim to a trial; a caller waits for it.
const claimTimeout = 300 * time.Millisecond

// Standing says how a request stands.
type Standing int

// Standings of a request.
const (
	// Clear says that nothing speaks against it.
	Clear Standing = iota
	// Suspect says that an engine has ended under it, or may have: it is to be sent to one engine at a time.
	Suspect
	// Withheld says that it is not to be sent.
	Withheld
)

var standingNames = [...]string{"clear", "suspect", "withheld"}

// String returns the name used in logs.
func (s Standing) String() string {
	return standingNames[s]
}

// Admit tells whether a call may be sent, and for how long it is withheld if not. Strikes is how many ends it takes. A call that is
// admitted for a trial is sent to one engine.
func (q *Quarantine) Admit(ctx context.Context, call engineapi.Call, strikes int) (Standing, time.Duration) {
	if q == nil || q.Contents() == 0 {
		return Clear, 0
	}
	content := ContentOf(call)
	crashes := q.crashes(content)
	access, wait := crashes.Access(strikes, time.Now())
	switch {
	case access == policy.AccessAllowed && crashes.Engines == 0:
		return Clear, 0
	case access == policy.AccessAllowed:
		return Suspect, 0
	case q.takeTrial(content):
		return Suspect, 0
	case access == policy.AccessTrial && q.claim(ctx, content, crashes.Trials+1, call.RequestID):
		return Suspect, 0
	case access == policy.AccessTrial:
		// Another one makes it, or nobody can ask for it while the store is away.
		wait = policy.TrialDuration
	}
	return Withheld, wait
}

func standingOf(crashes policy.Crashes, strikes int) Standing {
	access, _ := crashes.Access(strikes, time.Now())
	switch {
	case crashes.Engines == 0:
		return Clear
	case access == policy.AccessAllowed:
		return Suspect
	default:
		return Withheld
	}
}

// claim asks for a trial. It returns whether this claim is the first in the log. Of the calls of one content that come meanwhile none asks
// too. A claim of whose fate nothing was learned may be the first all the same; then the trial is for the next call.
func (q *Quarantine) claim(ctx context.Context, content Content, trial int, requestID string) bool {
	if !q.beginClaim(content) {
		return false
	}
	defer q.endClaim(content)
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	key := eventKey{content: content, trial: trial, claim: q.config.Machine + "#" + strconv.FormatUint(rand.Uint64(), 36)}
	q.note(key)
	appended, err := q.config.Log.Append(ctx, keyedlog.Crashes, []keyedlog.Record{q.record(key)}, nil)
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

// note remembers a claim as this process's own.
func (q *Quarantine) note(key eventKey) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if known, ok := q.histories[key.content]; ok {
		known.own[key.claim] = true
	}
}

// takeTrial tells whether the last trial of a content is this process's and was not made yet, and takes it.
func (q *Quarantine) takeTrial(content Content) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	known, ok := q.histories[content]
	return ok && known.take()
}

// NotRun takes that a call that was admitted has reached no engine that ran it: if it was a trial, that was not made.
func (q *Quarantine) NotRun(call engineapi.Call) {
	if q == nil || q.Contents() == 0 {
		return
	}
	content := ContentOf(call)
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if known, ok := q.histories[content]; ok {
		known.giveBack()
	}
}
