package quarantine

import (
	"slices"
	"time"

	"github.com/hillfork/hillfork/internal/engineapi"
	"github.com/hillfork/hillfork/internal/keyedlog"
	"github.com/hillfork/hillfork/internal/policy"
)

const (
	// maxContents limits the number of contents in memory, some 200 bytes each. The contents without an event for the
	// longest time are removed first.
	maxContents = 4096
	// maxForgetPerAppend limits the number of contents that are dropped with one append.
	maxForgetPerAppend = 64
)

// ReportAnswered reports that an engine ran a call to completion: its content does not crash engines.
func (q *Quarantine) ReportAnswered(call engineapi.Call) {
	if q == nil || q.idle() {
		return
	}
	content := ContentOf(call)
	q.mutex.Lock()
	q.silentCalls = slices.DeleteFunc(q.silentCalls, func(s silentCall) bool { return s.content == content })
	known, ok := q.histories[content]
	if !ok {
		q.mutex.Unlock()
		return
	}
	delete(q.histories, content)
	q.mutex.Unlock()
	q.config.Logger.Info("content cleared, an engine answered it", "request", call.RequestID, "content", content,
		"engines_ended", len(known.ended))
	q.writer.enqueue(tombstones(known.keys(content))...)
}

// forget removes some of the contents that have passed policy.CrashMemory, and the content without an event for the longest
// time if there are too many, and returns the records that drop them. The mutex must be held.
func (q *Quarantine) forget() []keyedlog.Record {
	var records []keyedlog.Record
	var leastRecent Content
	count := 0
	for content, known := range q.histories {
		if oldest, ok := q.histories[leastRecent]; !ok || known.lastEvent.Before(oldest.lastEvent) {
			leastRecent = content
		}
		if time.Since(known.lastEvent) >= policy.CrashMemory && count < maxForgetPerAppend {
			records = append(records, tombstones(known.keys(content))...)
			delete(q.histories, content)
			count++
		}
	}
	if len(q.histories) > maxContents {
		records = append(records, tombstones(q.histories[leastRecent].keys(leastRecent))...)
		delete(q.histories, leastRecent)
	}
	return records
}

// tombstones returns the records that drop keys.
func tombstones(keys []eventKey) []keyedlog.Record {
	records := make([]keyedlog.Record, len(keys))
	for i, key := range keys {
		records[i].Key = key.String()
	}
	return records
}
