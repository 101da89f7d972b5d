package quarantine

import (
	"context"
	"time"

	"github.com/hillfork/hillfork/internal/engineapi"
	"github.com/hillfork/hillfork/internal/fleet"
	"github.com/hillfork/hillfork/internal/policy"
)

const (
	// probeTimeout limits the check whether an engine has ended. A closed port of a running machine refuses connections
	// within one round trip, a few milliseconds; if the machine does not respond, the state of its engine stays unknown.
	probeTimeout = 150 * time.Millisecond
	// publishTimeout is how long a caller's answer waits until the store has the record that withholds its request: the
	// caller may retry at once, at another machine. An append takes a few milliseconds, and several times as long on a busy
	// store.
	publishTimeout = 100 * time.Millisecond
)

// Prober checks an engine from outside its process.
type Prober interface {
	// Ended reports whether the engine's address refuses connections, so that no process listens there any more.
	Ended(ctx context.Context, engine fleet.Engine) bool
}

// ReportBroken reports that a call was sent to an engine and that the engine's answer broke off or never arrived, with the given
// cause. It checks whether the engine has ended, and returns the standing of the call for that class of work. For the
// first broken answer of a content, the check runs in the background while the call continues: if the engine's machine is
// unreachable, the check takes 150 ms, as long as callers wait for a whole answer.
func (q *Quarantine) ReportBroken(ctx context.Context, call engineapi.Call, engine fleet.Engine, cause error, class policy.CrashClass) Standing {
	if q == nil {
		return Clear
	}
	found := brokenAnswer{call: call, content: ContentOf(call), engine: engine, cause: cause, class: class}
	if q.beginProbe(found.content) {
		go func() {
			defer q.endProbe(found.content)
			q.probe(context.WithoutCancel(ctx), found)
		}()
		return Suspect
	}
	defer q.endProbe(found.content)
	standing, published := q.probe(ctx, found)
	if standing == Withheld && published != nil {
		waitPublished(ctx, published)
	}
	return standing
}

// brokenAnswer is an answer that broke off.
type brokenAnswer struct {
	call    engineapi.Call
	content Content
	engine  fleet.Engine
	cause   error
	class   policy.CrashClass
}

// beginProbe registers the check of an engine. It reports whether the content has no history and no other check in progress.
func (q *Quarantine) beginProbe(content Content) (first bool) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	_, known := q.histories[content]
	first = !known && q.probes[content] == 0
	q.probes[content]++
	return first
}

func (q *Quarantine) endProbe(content Content) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.probes[content]--
	if q.probes[content] == 0 {
		delete(q.probes, content)
	}
}

// probe determines whether an engine has ended while it ran a call, and records it. It returns the standing of the call, and
// a channel that is closed once the store has the record, nil if there is none. The end of an engine that was draining or is
// no longer listed is not a crash.
func (q *Quarantine) probe(ctx context.Context, found brokenAnswer) (standing Standing, published <-chan struct{}) {
	probeCtx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	ended := q.config.Prober.Ended(probeCtx, found.engine)
	known, listed := q.config.Directory.Engine(found.engine.ID)
	leaving := !listed || known.Draining
	if ended && !leaving {
		published = q.ended(endOf(found.content, found.engine))
	}
	crashes := q.crashes(found.content)
	standing = standingOf(crashes, found.class)
	q.config.Logger.Info("answer broke off", "request", found.call.RequestID, "content", found.content, "engine", found.engine.ID,
		"pool", found.engine.Pool, "ended", ended, "leaving", leaving, "engines_ended", crashes.Engines, "standing", standing,
		"cause", found.cause)
	return standing, published
}

// ended records that an engine ended, and returns a channel that is closed once the store has the record.
func (q *Quarantine) ended(key eventKey) <-chan struct{} {
	q.mutex.Lock()
	q.add(key, 0)
	records := append(q.forget(), q.record(key))
	q.mutex.Unlock()
	return q.writer.enqueue(records...)
}

// waitPublished waits for at most publishTimeout until the store has the record that withholds a request.
func waitPublished(ctx context.Context, published <-chan struct{}) {
	timer := time.NewTimer(publishTimeout)
	defer timer.Stop()
	select {
	case <-published:
	case <-timer.C:
	case <-ctx.Done():
	}
}
