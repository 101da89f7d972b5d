package quarantine

import (
	"time"

	"github.com/hillfork/hillfork/internal/engineapi"
	"github.com/hillfork/hillfork/internal/policy"
)

// ItemPause decides whether an item may be sent, without starting it. Admit must be called before the item is sent.
func (q *Quarantine) ItemPause(call engineapi.Call) Admission {
	if q == nil || q.Contents() == 0 {
		return Admission{}
	}
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.itemAdmission(ContentOf(call), call.RequestID)
}

// startItem decides whether an item may be sent, and records its start if it may.
func (q *Quarantine) startItem(content Content, requestID string) Admission {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	admission := q.itemAdmission(content, requestID)
	if admission.Alone {
		q.histories[content].lastItem = itemStart{requestID: requestID, at: time.Now()}
	}
	return admission
}

// itemAdmission decides on an item. Items of equal content start one after another, so that they don't end several engines at
// once. The mutex must be held.
func (q *Quarantine) itemAdmission(content Content, requestID string) Admission {
	known, ok := q.histories[content]
	if !ok {
		return Admission{}
	}
	crashes := known.crashes()
	if other := known.lastItem; other.requestID != requestID && other.at.After(crashes.LastEnd) {
		crashes.LastEnd = other.at
	}
	access, wait := crashes.Access(policy.CrashItem, time.Now())
	return Admission{Standing: standings[access], Wait: wait, Alone: access == policy.AccessAlone}
}
