package quarantine

import (
	"slices"
	"time"

	"github.com/hillfork/hillfork/internal/engineapi"
	"github.com/hillfork/hillfork/internal/keyedlog"
	"github.com/hillfork/hillfork/internal/policy"
)

const (
	// contentsMost bounds the contents that are remembered, some 200 bytes each. The ones that were quiet longest give way.
	contentsMost = 4096
	// forgetMost bounds the contents that are dropped with one append.
	forgetMost = 64
)

// ReportAnswered takes that an engine ran a call to its end: its content crashes no engines.
func (q *Quarantine) ReportAnswered(call engineapi.Call) {
	if q == nil || q.quiet() {
		return
	}
	content := ContentOf(call)
	q.mutex.Lock()
	q.silences = slices.DeleteFunc(q.silences, func(s silence) bool { return s.content == content })
	known, ok := q.histories[content]
	if !ok {
		q.mutex.Unlock()
		return
	}
	delete(q.histories, content)
	q.mutex.Unlock()
	q.config.Logger.Info("content cleared, an engine answered it", "request", call.RequestID, "content", content,
		"engines_ended", len(known.ended))
	q.writer.put(drops(known.keys(content))...)
}

// forget returns records that drop some of what is too old to count, and the quietest content if there are too many. The mutex must be
// held.
func (q *Quarantine) forget() []keyedlog.Record {
	var records []keyedlog.Record
	var quietest Content
	count := 0
	for content, known := range q.histories {
		if oldest, ok := q.histories[quietest]; !ok || known.last.Before(oldest.last) {
			quietest = content
		}
		if time.Since(known.last) >= policy.CrashMemory && count < forgetMost {
			records = append(records, drops(known.keys(content))...)
			delete(q.histories, content)
			count++
		}
	}
	if len(q.histories) > contentsMost {
		records = append(records, drops(q.histories[quietest].keys(quietest))...)
		delete(q.histories, quietest)
	}
	return records
}

// drops returns the records that drop keys.
func drops(keys []eventKey) []keyedlog.Record {
	records := make([]keyedlog.Record, len(keys))
	for i, key := range keys {
		records[i].Key = key.String()
	}
	return records
}
