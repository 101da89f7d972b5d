package requestledger

import (
	"container/list"

	"github.com/samber/oops"
)

// Snapshot encodes the state.
func (s *State) Snapshot() ([]byte, error) {
	snapshot := stateSnapshot{Epoch: s.epoch, ClockMillis: s.clock}
	for _, entries := range []*list.List{s.running, s.ended} {
		for element := entries.Front(); element != nil; element = element.Next() {
			snapshot.Entries = append(snapshot.Entries, element.Value.(*entry).encode())
		}
	}
	body, err := snapshot.MarshalMsg(nil)
	if err != nil {
		return nil, oops.In("requestledger").Wrapf(err, "encode snapshot")
	}
	return body, nil
}

func (e *entry) encode() entrySnapshot {
	return entrySnapshot{
		Workload:         e.key.workload,
		RequestID:        e.key.requestID,
		Running:          e.running,
		Ask:              e.ask,
		Epoch:            e.epoch,
		Digest:           e.digest,
		Outcome:          e.result.outcome,
		Reason:           e.result.reason,
		RetryAfterMillis: e.result.retryAfterMillis,
		Tokens:           e.result.tokens,
		Spans:            e.result.spans,
		AnswerDropped:    e.answerDropped,
		OwnerLost:        e.ownerLost,
		Closed:           e.closed,
		EndedUnixMillis:  e.endedAt,
	}
}

// Restore replaces the state with an encoded snapshot. If it returns an error, the state is unchanged.
func (s *State) Restore(body []byte) error {
	var snapshot stateSnapshot
	if _, err := snapshot.UnmarshalMsg(body); err != nil {
		return oops.In("requestledger").Wrapf(err, "decode snapshot")
	}
	restored := NewState()
	restored.epoch = snapshot.Epoch
	restored.clock = snapshot.ClockMillis
	for _, encoded := range snapshot.Entries {
		restored.add(encoded)
	}
	*s = *restored
	return nil
}

func (s *State) add(encoded entrySnapshot) {
	added := &entry{
		key:     key{encoded.Workload, encoded.RequestID},
		running: encoded.Running,
		ask:     encoded.Ask,
		epoch:   encoded.Epoch,
		result: result{
			outcome:          encoded.Outcome,
			reason:           encoded.Reason,
			retryAfterMillis: encoded.RetryAfterMillis,
			tokens:           encoded.Tokens,
			spans:            encoded.Spans,
		},
		answerDropped: encoded.AnswerDropped,
		ownerLost:     encoded.OwnerLost,
		closed:        encoded.Closed,
		endedAt:       encoded.EndedUnixMillis,
	}
	if len(encoded.Digest) > 0 {
		added.digest = encoded.Digest
	}
	if s.entries[added.key] != nil {
		return
	}
	s.entries[added.key] = added
	if added.running {
		added.element = s.running.PushBack(added)
		return
	}
	added.element = s.ended.PushBack(added)
	if len(added.result.tokens) > 0 {
		added.answerElement = s.answers.PushBack(added)
		s.tokens += len(added.result.tokens)
	}
}
