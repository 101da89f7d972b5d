package quarantine

import (
	"time"

	"github.com/hillfork/hillfork/internal/policy"
)

// history is what is known of requests of one content.
type history struct {
	// ended holds the engines that ended under them.
	ended map[string]bool
	// trials holds the claims to trials by their keys, with their places in the log.
	trials map[eventKey]int64
	// own holds the claims of this process; made is the last trial of its own that it has made, 0 if there is none.
	own  map[string]bool
	made int
	// last is when this process learned of the last end or trial.
	last time.Time
}

func newHistory() *history {
	return &history{ended: make(map[string]bool), trials: make(map[eventKey]int64), own: make(map[string]bool)}
}

// add takes an event that stands at an offset; one that is known already changes nothing.
func (h *history) add(key eventKey, offset int64, now time.Time) {
	if key.engine != "" {
		if !h.ended[key.engine] {
			h.ended[key.engine] = true
			h.last = now
		}
		return
	}
	if _, known := h.trials[key]; !known {
		h.trials[key] = offset
		h.last = now
	}
}

// remove forgets an event.
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

// crashes sums the history up. Claims to the same trial count as one.
func (h *history) crashes() policy.Crashes {
	return policy.Crashes{Engines: len(h.ended), Trials: h.lastTrial(), Last: h.last}
}

// lastTrial returns the number of the last trial that was claimed, 0 if none was.
func (h *history) lastTrial() int {
	last := 0
	for key := range h.trials {
		last = max(last, key.trial)
	}
	return last
}

// take takes the last trial if it is this process's and was not made yet. It returns whether it was.
func (h *history) take() bool {
	last := h.lastTrial()
	if last <= h.made || !h.own[h.first(last)] {
		return false
	}
	h.made = last
	return true
}

// giveBack undoes take: the trial was not made after all.
func (h *history) giveBack() {
	if h.made > 0 && h.made == h.lastTrial() {
		h.made--
	}
}

// first returns the claim that won a trial: the first in the log.
func (h *history) first(trial int) string {
	winner := eventKey{}
	for key, offset := range h.trials {
		if key.trial == trial && (winner.trial == 0 || offset < h.trials[winner]) {
			winner = key
		}
	}
	return winner.claim
}
