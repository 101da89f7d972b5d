package quarantine

import (
	"time"

	"github.com/hillfork/hillfork/internal/policy"
)

// history contains the events of one content.
type history struct {
	// ended holds the ends of engines that ran a request of this content.
	ended map[engineEnd]bool
	// trials maps the keys of the claims to trials to their offsets in the log.
	trials map[eventKey]int64
	// ownClaims holds the claims of this process. lastMade is the number of the last trial that this process made, 0 if
	// there is none.
	ownClaims map[string]bool
	lastMade  int
	// lastEvent is when this process learned of the last end or trial, lastEnd when it learned of the last end.
	lastEvent time.Time
	lastEnd   time.Time
	// lastItem is the last item of this process that was started after its pause.
	lastItem itemStart
}

// itemStart is the start of a run of an item.
type itemStart struct {
	requestID string
	at        time.Time
}

// engineEnd is the end of an engine that had started at a time, see eventKey.
type engineEnd struct {
	engine    string
	startedAt int64
}

func newHistory() *history {
	return &history{ended: make(map[engineEnd]bool), trials: make(map[eventKey]int64), ownClaims: make(map[string]bool)}
}

// add adds an event at an offset of the log. Adding a known event changes nothing.
func (h *history) add(key eventKey, offset int64, now time.Time) {
	if key.engine != "" {
		if end := key.end(); !h.ended[end] {
			h.ended[end] = true
			h.lastEvent, h.lastEnd = now, now
		}
		return
	}
	if _, known := h.trials[key]; !known {
		h.trials[key] = offset
		h.lastEvent = now
	}
}

func (h *history) remove(key eventKey) {
	delete(h.ended, key.end())
	delete(h.trials, key)
}

func (h *history) empty() bool {
	return len(h.ended) == 0 && len(h.trials) == 0
}

// keys returns the keys of all events.
func (h *history) keys(content Content) []eventKey {
	var keys []eventKey
	for end := range h.ended {
		keys = append(keys, eventKey{content: content, engine: end.engine, startedAt: end.startedAt})
	}
	for key := range h.trials {
		keys = append(keys, key)
	}
	return keys
}

// crashes returns a summary of the history. Claims to the same trial count as one.
func (h *history) crashes() policy.Crashes {
	return policy.Crashes{Engines: h.endCount(), Trials: h.lastTrial(), Last: h.lastEvent, LastEnd: h.lastEnd}
}

// endCount returns the number of ends of engines. An end without a known start is not counted beside others of the same engine: a build
// that knows no starts may have reported one of these.
func (h *history) endCount() int {
	count := 0
	for end := range h.ended {
		if end.startedAt > 0 || !h.endedAfterKnownStart(end.engine) {
			count++
		}
	}
	return count
}

// endedAfterKnownStart reports whether an end of an engine is known with its start.
func (h *history) endedAfterKnownStart(engine string) bool {
	for end := range h.ended {
		if end.engine == engine && end.startedAt > 0 {
			return true
		}
	}
	return false
}

// lastTrial returns the number of the last trial that was claimed, 0 if there is none.
func (h *history) lastTrial() int {
	last := 0
	for key := range h.trials {
		last = max(last, key.trial)
	}
	return last
}

// startTrial reports whether the last trial belongs to this process and has not been made yet, and marks it as made.
func (h *history) startTrial() bool {
	last := h.lastTrial()
	if last <= h.lastMade || !h.ownClaims[h.firstClaim(last)] {
		return false
	}
	h.lastMade = last
	return true
}

// returnTrial reverses takeTrial: the trial was not made after all.
func (h *history) returnTrial() {
	if h.lastMade > 0 && h.lastMade == h.lastTrial() {
		h.lastMade--
	}
}

// firstClaim returns the claim that won a trial, which is the first in the log.
func (h *history) firstClaim(trial int) string {
	winner := eventKey{}
	for key, offset := range h.trials {
		if key.trial == trial && (winner.trial == 0 || offset < h.trials[winner]) {
			winner = key
		}
	}
	return winner.claim
}
