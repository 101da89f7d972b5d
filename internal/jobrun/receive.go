package jobrun

import (
	"errors"
	"slices"
	"time"

	"github.com/hillfork/hillfork/internal/engineapi"
	"github.com/hillfork/hillfork/internal/job"
)

// Errors by which the receiver ends a run: errMove when the item moves to a better engine, errVersion when the engine's weight
// version is not allowed for the item, errTextTooLarge when the engine sends more events than a result can hold.
var (
	errMove         = errors.New("item moves to a better engine")
	errVersion      = errors.New("weight version is not allowed for the item")
	errTextTooLarge = errors.New("text is too large for a result")
)

// maxTextEvents limits the number of events of an item, which take memory also where they are empty.
const maxTextEvents = 1 << 19

// Head handles the head of an engine's answer. Weights of a version that is not allowed end the run before its first event.
func (e *execution) Head(reply *engineapi.Reply) error {
	if reply.Version != 0 && e.view.Spec.Model != "" {
		e.runner.config.Directory.Correct(e.engine.ID, e.view.Spec.Model, reply.Version)
	}
	return e.recordVersion(reply.Version)
}

// recordVersion records the weight version that the engine runs the item with, and returns errVersion if it is not allowed.
func (e *execution) recordVersion(version int64) error {
	if version == 0 {
		return nil
	}
	e.currentVersion = version
	model := e.view.Spec.Model
	if model != "" {
		e.runner.config.Directory.SetServedVersion(e.engine.ID, model, version)
	}
	if version < e.view.Spec.MinVersion {
		return errVersion
	}
	if route, ok := e.itemRoute(); ok && route.SingleVersion && len(e.versions) > 0 && e.versions[0] != version {
		return errVersion
	}
	return nil
}

// Event appends the next event to the item's text. It returns errVersion if the weight version is not allowed, and errMove if
// the item moves to a better engine.
func (e *execution) Event(event engineapi.Event) error {
	if err := e.recordVersion(event.Version); err != nil {
		return err
	}
	now := time.Now()
	e.recordEvent(now)
	e.mutex.Lock()
	if e.departureSlot != nil {
		// The slot was acquired for the text without this event. The other engine may not serve the version of the event.
		e.mutex.Unlock()
		return errMove
	}
	if len(e.events) >= maxTextEvents || e.textBytes+len(event.Data)+1 > job.MaxTextBytes {
		e.mutex.Unlock()
		return errTextTooLarge
	}
	e.events = append(e.events, event.Data)
	e.textBytes += len(event.Data) + 1
	if e.currentVersion != 0 && !slices.Contains(e.versions, e.currentVersion) {
		e.versions = append(e.versions, e.currentVersion)
	}
	e.mutex.Unlock()
	if e.findBetterSlot(now) {
		return errMove
	}
	return nil
}

func (e *execution) recordEvent(now time.Time) {
	metrics := e.runner.config.Metrics
	if len(e.events) == 0 {
		metrics.firstEvent(now.Sub(e.view.AcceptedAt))
	}
	if !e.runEndedAt.IsZero() {
		metrics.resumed(now.Sub(e.runEndedAt))
		e.runEndedAt = time.Time{}
	}
	if e.lastEventAt.IsZero() {
		e.runner.config.Directory.Answered(e.engine.ID, e.sentAt)
	} else {
		e.runner.config.Directory.RecordGap(e.engine.ID, now.Sub(e.lastEventAt))
	}
	e.lastEventAt = now
}
