package quarantine

import (
	"context"
	"time"

	"github.com/hillfork/hillfork/internal/engineapi"
	"github.com/hillfork/hillfork/internal/fleet"
)

const (
	// probeTimeout bounds the look whether an engine has ended. The dead port of a living machine refuses within one round trip, a few
	// milliseconds; a machine that says nothing leaves open what became of its engine.
	probeTimeout = 150 * time.Millisecond
	// newsTimeout is how long a caller's answer waits until the store has the news that its request is withheld: the caller may come
	// again at once, at another machine. An append takes some milliseconds, and a few times as long on a store that is busy.
	newsTimeout = 100 * time.Millisecond
)

// Prober looks at an engine from outside.
type Prober interface {
	// Ended tells whether the engine's address refuses connections, so that no process listens there any more.
	Ended(ctx context.Context, engine fleet.Engine) bool
}

// ReportBroken takes that a call was sent to an engine and the engine's answer broke off or never came, for the given cause, and looks whether
// the engine has ended. It returns how the call stands with that many strikes. A first break is looked at while the call goes on: the
// look takes 150 ms where the engine's machine is cut off, as long as callers wait for a whole answer.
func (q *Quarantine) ReportBroken(ctx context.Context, call engineapi.Call, engine fleet.Engine, cause error, strikes int) Standing {
	if q == nil {
		return Clear
	}
	found := breakage{call: call, content: ContentOf(call), engine: engine, cause: cause, strikes: strikes}
	if q.beginLook(found.content) {
		go func() {
			defer q.endLook(found.content)
			q.look(context.WithoutCancel(ctx), found)
		}()
		return Suspect
	}
	defer q.endLook(found.content)
	standing, told := q.look(ctx, found)
	if standing == Withheld && told != nil {
		awaitNews(ctx, told)
	}
	return standing
}

// breakage is an answer that broke off.
type breakage struct {
	call    engineapi.Call
	content Content
	engine  fleet.Engine
	cause   error
	strikes int
}

// beginLook begins a look at an engine. It returns whether nothing is known of the content and nothing else is being found out.
func (q *Quarantine) beginLook(content Content) (first bool) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	_, known := q.histories[content]
	first = !known && q.looks[content] == 0
	q.looks[content]++
	return first
}

func (q *Quarantine) endLook(content Content) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.looks[content]--
	if q.looks[content] == 0 {
		delete(q.looks, content)
	}
}

// look finds out whether an engine has ended under a call and remembers it. It returns how the call stands, and what is closed once the
// store has the news, nil if there is none. An engine that was to leave, or that is no longer listed, ends as planned.
func (q *Quarantine) look(ctx context.Context, found breakage) (standing Standing, told <-chan struct{}) {
	probeCtx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	ended := q.config.Prober.Ended(probeCtx, found.engine)
	known, listed := q.config.Directory.Engine(found.engine.ID)
	leaving := !listed || known.Draining
	if ended && !leaving {
		told = q.ended(eventKey{content: found.content, engine: found.engine.ID})
	}
	crashes := q.crashes(found.content)
	standing = standingOf(crashes, found.strikes)
	q.config.Logger.Info("answer broke off", "request", found.call.RequestID, "content", found.content, "engine", found.engine.ID,
		"pool", found.engine.Pool, "ended", ended, "leaving", leaving, "engines_ended", crashes.Engines, "standing", standing,
		"cause", found.cause)
	return standing, told
}

// ended remembers that an engine ended, and returns what is closed once the store has it.
func (q *Quarantine) ended(key eventKey) <-chan struct{} {
	q.mutex.Lock()
	q.add(key, 0)
	records := append(q.forget(), q.record(key))
	q.mutex.Unlock()
	return q.writer.put(records...)
}

// awaitNews waits a little until the store has what withholds a request.
func awaitNews(ctx context.Context, told <-chan struct{}) {
	timer := time.NewTimer(newsTimeout)
	defer timer.Stop()
	select {
	case <-told:
	case <-timer.C:
	case <-ctx.Done():
	}
}
