package quarantine

import (
	"encoding/hex"
	"strconv"
	"strings"

	"github.com/hillfork/hillfork/internal/fleet"
)

// Kinds of keys: CONTENT/ended/ENGINE, CONTENT/ended/ENGINE@START and CONTENT/trial/NUMBER/CLAIM.
const (
	kindEnded = "ended"
	kindTrial = "trial"
	separator = "/"
	// startSeparator precedes the start of the engine. Builds that know no starts read it as a part of the id.
	startSeparator = "@"
)

// eventKey is the key of an event. An engine ends once after each start, however many machines report it, so each such end has one
// key. Every claim to a trial has a key of its own, so that the first claim can be determined.
type eventKey struct {
	content Content
	// engine is the id of the engine that ended, empty for a trial. startedAt is when it had started, in milliseconds since 1970, 0 if
	// unknown: an engine may start again under its id.
	engine    string
	startedAt int64
	// trial is the number of the trial, counted from 1; claim distinguishes the claims to it.
	trial int
	claim string
}

// endOf returns the key of the end of an engine that ran a request of a content.
func endOf(content Content, engine fleet.Engine) eventKey {
	key := eventKey{content: content, engine: engine.ID}
	if !engine.StartedAt.IsZero() {
		key.startedAt = engine.StartedAt.UnixMilli()
	}
	return key
}

// end returns the end of an engine that the key names.
func (k eventKey) end() engineEnd {
	return engineEnd{engine: k.engine, startedAt: k.startedAt}
}

// String returns the key as it is stored.
func (k eventKey) String() string {
	if k.engine != "" {
		text := k.content.String() + separator + kindEnded + separator + k.engine
		if k.startedAt > 0 {
			text += startSeparator + strconv.FormatInt(k.startedAt, 10)
		}
		return text
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
		key.engine, key.startedAt = parseEngine(parts[2])
		return key, key.engine != ""
	case parts[1] == kindTrial && len(parts) == 4:
		key.claim = parts[3]
		key.trial, err = strconv.Atoi(parts[2])
		return key, err == nil && key.trial > 0
	default:
		return eventKey{}, false
	}
}

// parseEngine decodes the id of an engine and its start, 0 if there is none.
func parseEngine(text string) (id string, startedAt int64) {
	at := strings.LastIndex(text, startSeparator)
	if at <= 0 {
		return text, 0
	}
	startedAt, err := strconv.ParseInt(text[at+1:], 10, 64)
	if err != nil || startedAt <= 0 {
		return text, 0
	}
	return text[:at], startedAt
}
