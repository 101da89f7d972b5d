package quarantine

import (
	"time"

	"github.com/hillfork/hillfork/internal/policy"
)

// history contains the events of one content.
type history struct {
	// ended holds the engines that ended while they ran a request of this content.
	ended map[string]bool
	// trials maps the keys of the claims to trials to their offsets in the log.
	trials map[eventKey]int64
	// ownClaims holds the claims of this process. lastMade is the number of the last trial that this process made, 0 if
	// there is none.
	ownClaims map[string]bool
	lastMade  int
	// lastEvent is when this process learned of the last end or trial.
	lastEvent time.Time
}

func newHistory() *history {
	return &history{ended: make(map[string]bool), trials: make(map[eventKey]int64), ownClaims: make(map[string]bool)}
}

// add adds an event at an offset of the log. Adding a known event changes nothing.
func (h *history) add(key eventKey, offset int64, now time.Time) {
	if key.engine != "" {
		if !h.ended[key.engine] {
			h.ended[key.engine] = true
			h.lastEvent = now
		}
		return
	}
	if _, known := h.trials[key]; !known {
		h.trials[key] = offset
		h.lastEvent = now
	}
}

func (h *history) remove(key eventKey) {
	delete(h.ended, key.engine)
	delete(h.trials, key)
}

func (h *history) empty() bool {
	return len(h.ended) == 0 && len(h.trials) == 0
}

// keys returns the keys of all events.
func (h *history) keys(content Content) []eventKey {
	var keys []eventKey
	for engine := range h.ended {
		keys = append(keys, eventKey{content: content, engine: engine})
	}
	for key := range h.trials {
		keys = append(keys, key)
	}
	return keys
}

// crashes returns a summary of the history. Claims to the same trial count as one.
func (h *history) crashes() policy.Crashes {
	return policy.Crashes{Engines: len(h.ended), Trials: h.lastTrial(), Last: h.lastEvent}
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
