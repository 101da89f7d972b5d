package quarantine

import (
	"encoding/hex"
	"strconv"
	"strings"
)

// Kinds of keys: CONTENT/ended/ENGINE and CONTENT/trial/NUMBER/CLAIM.
const (
	kindEnded = "ended"
	kindTrial = "trial"
	separator = "/"
)

// eventKey is the key of an event. An engine ends once, however many machines report it, so its end has one key. Every claim
// to a trial has a key of its own, so that the first claim can be determined.
type eventKey struct {
	content Content
	// engine is the id of the engine that ended, empty for a trial.
	engine string
	// trial is the number of the trial, counted from 1; claim distinguishes the claims to it.
	trial int
	claim string
}

// String returns the key as it is stored.
func (k eventKey) String() string {
	if k.engine != "" {
		return k.content.String() + separator + kindEnded + separator + k.engine
	}
	return k.content.String() + separator + kindTrial + separator + strconv.Itoa(k.trial) + separator + k.claim
}

// parseKey decodes a key.
func parseKey(text string) (eventKey, bool) {
	parts := strings.SplitN(text, separator, 4)
	if len(parts) < 3 {
		return eventKey{}, false
	}
	content, err := hex.DecodeString(parts[0])
	if err != nil || len(content) != contentBytes {
		return eventKey{}, false
	}
	key := eventKey{content: Content(content)}
	switch {
	case parts[1] == kindEnded && len(parts) == 3:
		key.engine = parts[2]
		return key, key.engine != ""
	case parts[1] == kindTrial && len(parts) == 4:
		key.claim = parts[3]
		key.trial, err = strconv.Atoi(parts[2])
		return key, err == nil && key.trial > 0
	default:
		return eventKey{}, false
	}
}
